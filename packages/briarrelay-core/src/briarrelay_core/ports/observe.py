"""Effects that write metrics and log lines."""

from attrs import field, frozen

__all__ = ["Count", "Note"]


@frozen(slots=True)
class Count:
    """Effect: increment a counter."""

    name: str
    amount: int = 1


@frozen(slots=True)
class Note:
    """Effect: write a structured log line.

    :param fields: names and values, in the order in which they are written.
    """

    level: str
    event: str
    request_id: str = ""
    fields: tuple[tuple[str, str], ...] = field(default=())

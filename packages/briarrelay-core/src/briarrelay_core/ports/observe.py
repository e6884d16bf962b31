"""Effects that tell operators what the core did."""

from attrs import field, frozen

__all__ = ["Count", "Note"]


@frozen(slots=True)
class Count:
    """Effect: raise a counter."""

    name: str
    amount: int = 1


@frozen(slots=True)
class Note:
    """Effect: write a structured log line.

    :param fields: names and values, in order.
    """

    level: str
    event: str
    request_id: str = ""
    fields: tuple[tuple[str, str], ...] = field(default=())

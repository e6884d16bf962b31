"""Effects that write metrics and log lines."""

from attrs import field, frozen

__all__ = ["IncrementCounter", "LogEvent"]


@frozen(slots=True)
class IncrementCounter:
    """Effect: increment a counter."""

    name: str
    amount: int = 1


@frozen(slots=True)
class LogEvent:
    """Effect: write a structured log line.

    :param fields: names and values, in the order in which they are written.
    """

    level: str
    event: str
    request_id: str = ""
    fields: tuple[tuple[str, str], ...] = field(default=())

"""Messages between the core and the platform's append-only log."""

from attrs import frozen

__all__ = ["AppendDone", "AppendFailed", "AppendLog", "LogRecord", "LogRead", "ReadLog"]


@frozen(slots=True)
class LogRecord:
    """A record of a stream.

    :param offset: position in the stream, from 0.
    :param body: the record's JSON text.
    """

    offset: int
    body: str


@frozen(slots=True)
class AppendLog:
    """Effect: append records to a stream in one group."""

    append_id: str
    stream: str
    bodies: tuple[str, ...]


@frozen(slots=True)
class AppendDone:
    """The log has the records from an offset on."""

    append_id: str
    offset: int


@frozen(slots=True)
class AppendFailed:
    """No answer, or an error; the records may be in the log now or later.

    :param sent: False if the log cannot have received the records.
    """

    append_id: str
    sent: bool = True


@frozen(slots=True)
class ReadLog:
    """Effect: read a stream from an offset on, waiting for news if there is none."""

    stream: str
    start: int
    wait_s: float = 0.0


@frozen(slots=True)
class LogRead:
    """Answer to ReadLog.

    :param first: oldest offset that the log still keeps.
    :param end: offset after the newest record.
    """

    stream: str
    start: int
    records: tuple[LogRecord, ...]
    first: int
    end: int
    failed: bool = False

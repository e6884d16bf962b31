"""Messages between the core and the platform's append-only log."""

from attrs import frozen

__all__ = ["AppendDone", "AppendFailed", "AppendLog", "LogRecord", "LogRead", "ReadLog"]


@frozen(slots=True)
class LogRecord:
    """A record of a stream.

    :param offset: position in the stream, from 0.
    :param body: the record's JSON text.
    :param era: era of the log, 0 if it reports none.
    """

    offset: int
    body: str
    era: int = 0


@frozen(slots=True)
class AppendLog:
    """Effect: append records to a stream as one batch."""

    append_id: str
    stream: str
    bodies: tuple[str, ...]


@frozen(slots=True)
class AppendDone:
    """The records were appended.

    :param offset: position of the first of them.
    :param era: era of the log, None if it reports none.
    """

    append_id: str
    offset: int
    era: int | None = None


@frozen(slots=True)
class AppendFailed:
    """An append failed or timed out; the records may still reach the log.

    :param sent: False if the log cannot have received the records.
    """

    append_id: str
    sent: bool = True


@frozen(slots=True)
class ReadLog:
    """Effect: read a stream from an offset on by long polling.

    :param wait_s: maximum seconds to wait for a record.
    """

    stream: str
    start: int
    wait_s: float = 0.0


@frozen(slots=True)
class LogRead:
    """Response to ReadLog.

    :param first: oldest offset that the log retains.
    :param end: offset after the newest record.
    """

    stream: str
    start: int
    records: tuple[LogRecord, ...]
    first: int
    end: int
    failed: bool = False

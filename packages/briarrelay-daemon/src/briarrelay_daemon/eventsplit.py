"""Splits a stream of server-sent events into complete events."""

from attrs import define, field, frozen

__all__ = ["MAX_EVENT_BYTES", "EventSplitter", "ServerSentEvent"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
COMMENT_START = b":"

MAX_EVENT_BYTES = 1_048_576
"""Longest event; a server that sends a longer one sends no event stream."""


@frozen(slots=True)
class ServerSentEvent:
    """An event as received.

    :param event_id: value of the id field, empty if there is none.
    :param data: bytes of the whole event, with the blank line that ends it, after the
        blank lines and comments before it.
    """

    event_id: str
    data: bytes = field(repr=False)


@define(slots=True)
class EventSplitter:
    """Buffers the bytes of an event until it is complete.

    Blank lines and comments are no event; they go with the one that follows.

    :ivar _checked: number of buffered bytes that are such blocks.
    """

    _partial: bytearray = field(factory=bytearray)
    _checked: int = field(default=0, init=False)

    @property
    def is_too_long(self) -> bool:
        """Whether the incomplete event exceeds the length of any event."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event or comment is buffered."""
        return bool(self._partial[self._checked :].strip())

    @property
    def rest(self) -> bytes:
        """Bytes after the last event; blank lines and comments at the end."""
        return bytes(self._partial)

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Add bytes; return the events that they complete."""
        buffered = self._partial
        # the end may have begun with the last byte that is buffered
        search_from = max(0, len(buffered) - 1)
        buffered += data
        events = []
        start, checked = 0, self._checked
        while (end := buffered.find(EVENT_END, search_from)) >= 0:
            search_from = end + 2
            if _has_field(buffered[checked:search_from]):
                block = bytes(buffered[start:search_from])
                events.append(ServerSentEvent(_read_id(block), block))
                start = search_from
            checked = search_from
        del buffered[:start]
        self._checked = checked - start
        return events


def _has_field(block: bytearray) -> bool:
    """Return whether a block has more than blank lines and comments."""
    return any(
        line and not line.startswith(COMMENT_START) for line in block.split(b"\n")
    )


def _read_id(block: bytes) -> str:
    for line in block.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""

"""Cuts a stream of server-sent events into whole events."""

from attrs import define, field, frozen

__all__ = ["EventSplitter", "WholeEvent"]

BLANK = b"\n\n"
ID = b"id:"


@frozen(slots=True)
class WholeEvent:
    """An event as it came.

    :param event_id: empty if the event has none.
    """

    event_id: str
    data: bytes = field(repr=False)


@define(slots=True)
class EventSplitter:
    """Keeps what has come of an event until it is whole."""

    _rest: bytes = b""

    @property
    def has_rest(self) -> bool:
        """Whether part of an event has come."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[WholeEvent]:
        """Take bytes; return the events that are whole now."""
        text = self._rest + data
        events = []
        start = 0
        while (end := text.find(BLANK, start)) >= 0:
            block = text[start : end + 2]
            events.append(WholeEvent(_read_id(block), block))
            start = end + 2
        self._rest = text[start:]
        return events


def _read_id(block: bytes) -> str:
    for line in block.split(b"\n"):
        if line.startswith(ID):
            return line[len(ID) :].strip().decode("latin-1")
    return ""

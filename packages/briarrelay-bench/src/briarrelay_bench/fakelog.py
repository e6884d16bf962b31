"""The platform's log, in memory, without input or output."""

from attrs import define, field

from briarrelay_core.agreement.logtail import NEWEST
from briarrelay_core.ports.log import LogRead, LogRecord

__all__ = ["FakeLog"]


@define(slots=True)
class _Stream:
    first: int = 0
    bodies: list[str] = field(factory=list)

    @property
    def end(self) -> int:
        return self.first + len(self.bodies)


@define(slots=True)
class FakeLog:
    """Streams of records with offsets; old records can be trimmed away."""

    _streams: dict[str, _Stream] = field(factory=dict)
    appends: int = 0

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def append(self, stream: str, bodies: tuple[str, ...] | list[str]) -> int:
        """Append records in one group; return the offset of the first."""
        target = self._stream(stream)
        offset = target.end
        target.bodies.extend(bodies)
        self.appends += 1
        return offset

    def read(self, stream: str, start: int, limit: int = 1_000) -> LogRead:
        """Return records from an offset on, or the newest one."""
        source = self._stream(stream)
        begin = max(source.first, source.end - 1 if start == NEWEST else start)
        index = begin - source.first
        records = tuple(
            LogRecord(begin + i, body)
            for i, body in enumerate(source.bodies[index : index + limit])
        )
        return LogRead(stream, start, records, source.first, source.end)

    def has_news(self, stream: str, start: int) -> bool:
        """Return whether a read would return anything."""
        source = self._stream(stream)
        return start < source.end or start < source.first

    def trim(self, stream: str, keep: int) -> None:
        """Forget all but the newest records."""
        target = self._stream(stream)
        drop = max(0, len(target.bodies) - keep)
        target.first += drop
        del target.bodies[:drop]

    def bodies(self, stream: str) -> list[str]:
        """Return the records that are still kept."""
        return list(self._stream(stream).bodies)

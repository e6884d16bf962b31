"""In-memory implementation of the platform's log."""

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
    """Streams of records with offsets; the oldest records can be trimmed.

    :ivar appends: number of append calls.
    """

    _streams: dict[str, _Stream] = field(factory=dict)
    appends: int = 0

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def append(self, stream: str, bodies: tuple[str, ...] | list[str]) -> int:
        """Append a batch of records; return the offset of the first."""
        log = self._stream(stream)
        offset = log.end
        log.bodies.extend(bodies)
        self.appends += 1
        return offset

    def read(self, stream: str, start: int, limit: int = 1_000) -> LogRead:
        """Return the records from an offset on, or the newest record for `NEWEST`."""
        log = self._stream(stream)
        first_offset = max(log.first, log.end - 1 if start == NEWEST else start)
        index = first_offset - log.first
        records = tuple(
            LogRecord(first_offset + i, body)
            for i, body in enumerate(log.bodies[index : index + limit])
        )
        return LogRead(stream, start, records, log.first, log.end)

    def has_records(self, stream: str, start: int) -> bool:
        """Return whether records from an offset on exist or were trimmed."""
        log = self._stream(stream)
        return start < log.end or start < log.first

    def trim(self, stream: str, keep: int) -> None:
        """Discard all but the newest records.

        :param keep: number of records to keep.
        """
        log = self._stream(stream)
        drop = max(0, len(log.bodies) - keep)
        log.first += drop
        del log.bodies[:drop]

    def bodies(self, stream: str) -> list[str]:
        """Return the bodies of the records that were not trimmed."""
        return list(self._stream(stream).bodies)

"""Bytes that the process holds for callers and servers that read slowly."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from attrs import define, frozen

from briarrelay_daemon.reactor import Reactor

__all__ = ["BufferLimits", "HeldBytes", "SlowReader"]

MEMORY_FRACTION = 0.1
"""Part of the process's memory that may be held for slow readers."""

RESPONSES_IN_TOTAL = 64
"""Responses at their bound that fit into the total."""

MAX_RESPONSE_BYTES = 524_288
"""Bytes of one response from which no more of it is read from its server."""

DEFAULT_TOTAL_BYTES = 67_108_864
"""Bytes held for all slow readers if the process's memory is not known."""


@frozen(slots=True)
class BufferLimits:
    """Bounds on what is held for slow readers.

    :param response_bytes: unsent bytes of one response from which its server is not
        read any more.
    :param total_bytes: bytes held for all of them together.
    """

    response_bytes: int = MAX_RESPONSE_BYTES
    total_bytes: int = DEFAULT_TOTAL_BYTES

    @classmethod
    def for_memory(cls, memory_bytes: int | None) -> "BufferLimits":
        """Return the bounds for a process with some memory, None if not known."""
        if memory_bytes is None:
            return cls()
        total_bytes = max(1, int(MEMORY_FRACTION * memory_bytes))
        response_bytes = max(1, total_bytes // RESPONSES_IN_TOTAL)
        return cls(min(MAX_RESPONSE_BYTES, response_bytes), total_bytes)


class SlowReader(ABC):
    """A connection whose socket takes no more bytes for now."""

    @abstractmethod
    def end_slow(self) -> None:
        """Close the connection, since too much is held in total."""


@define(slots=True)
class _Holding:
    """What is held for one connection.

    :param blocked_at: time at which its socket first took no more, in seconds.
    :param taken: bytes that it has taken since.
    """

    size: int
    blocked_at: float
    taken: int = 0

    def drain_s(self, now: float) -> float:
        """Return seconds until it is empty, at the rate since it was blocked."""
        return self.size * (now - self.blocked_at) / max(1, self.taken)


class HeldBytes:
    """Sums what is held for slow readers, and ends the slowest beyond the bound.

    :param on_ended: called with bytes and blocked seconds of a connection that was
        closed because of the total.
    :ivar total: bytes held now.
    """

    def __init__(
        self,
        reactor: Reactor,
        limits: BufferLimits = BufferLimits(),
        on_ended: Callable[[int, float], None] = lambda size, seconds: None,
    ):
        self._reactor = reactor
        self._holdings: dict[SlowReader, _Holding] = {}
        self._is_trim_due = False
        self.limits = limits
        self.on_ended = on_ended
        self.total = 0

    def update(self, reader: SlowReader, size: int, taken: int = 0) -> None:
        """Record what is held for a connection.

        :param size: bytes that are held for it now.
        :param taken: bytes that it has taken since the last update.
        """
        holding = self._holdings.get(reader)
        if holding is None:
            holding = self._holdings[reader] = _Holding(0, self._reactor.clock())
        else:
            holding.taken += taken
        self.total += size - holding.size
        holding.size = size
        if self.total > self.limits.total_bytes and not self._is_trim_due:
            self._is_trim_due = True
            self._reactor.defer(self._trim)

    def release(self, reader: SlowReader) -> None:
        """Record that nothing is held for a connection any more."""
        holding = self._holdings.pop(reader, None)
        if holding is not None:
            self.total -= holding.size

    def _trim(self) -> None:
        """End the slowest readers until the total is within its bound."""
        self._is_trim_due = False
        now = self._reactor.clock()
        by_slowness = sorted(
            self._holdings.items(), key=lambda item: item[1].drain_s(now), reverse=True
        )
        for reader, holding in by_slowness:
            if self.total <= self.limits.total_bytes:
                return
            if reader in self._holdings:
                self.release(reader)
                self.on_ended(holding.size, now - holding.blocked_at)
                reader.end_slow()

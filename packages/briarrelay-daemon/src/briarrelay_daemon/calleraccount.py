"""Account of the memory that callers hold in the process.

Each connection states what is held for it: state of the parser, the request that is
being read, the one in progress, and unsent bytes of its response. If the total exceeds
its limit, connections without a request in progress are ended.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from itertools import count

from attrs import define, frozen

from briarrelay_daemon.settings import DEFAULT_MEMORY_BYTES

__all__ = ["AccountLimits", "AccountHolder", "CallerAccount"]

MEMORY_FRACTION = 0.3
"""Part of the process's memory that callers may hold. The rest is for the process
itself, for copies of one body, and for memory that the allocator does not return."""

BODIES_IN_TOTAL = 1.5
"""Longest bodies that fit into the limit at least."""

LARGE_REQUEST_BYTES = 65_536
"""Size from which requests may use only `LARGE_FRACTION` of the limit, so that small
requests are admitted beside them."""

LARGE_FRACTION = 0.8

TRIM_FRACTION = 0.9
"""Part of what requests in progress leave of the limit, down to which holders are
ended, so that not every received byte causes a search."""

MIN_RETRY_S = 0.5
RETRY_STEP_S = 0.1
RETRY_STEPS = 10
"""Times after which refused callers may return, spread since many are refused at a
time."""


@frozen(slots=True)
class AccountLimits:
    """Limits on what callers hold.

    :param memory_bytes: bytes for all of them together.
    """

    memory_bytes: int = int(MEMORY_FRACTION * DEFAULT_MEMORY_BYTES)

    @classmethod
    def for_process(
        cls, memory_bytes: int | None, body_bytes: int = 0
    ) -> "AccountLimits":
        """Return the limits for a process.

        :param memory_bytes: memory of the process, None if it is not known.
        :param body_bytes: longest body, one of which is admitted in any case.
        """
        if memory_bytes is None:
            memory_bytes = DEFAULT_MEMORY_BYTES
        at_least = int(BODIES_IN_TOTAL * body_bytes)
        return cls(max(int(MEMORY_FRACTION * memory_bytes), at_least))


class AccountHolder(ABC):
    """A connection for which memory is held."""

    @abstractmethod
    def end_for_memory(self) -> None:
        """Refuse the request that is being read, or close if there is none."""


@define(slots=True)
class _Holding:
    """What is held for one connection.

    :param since: time at which the request that is being read began, or the connection
        became idle, in seconds.
    :param admitted: bytes of a request in progress and its response, 0 without one.
    """

    since: float
    size: int = 0
    admitted: int = 0

    def waste(self, now: float) -> float:
        """Return bytes x seconds held without a complete request."""
        return self.size * (now - self.since)


class CallerAccount:
    """Sums what callers hold, and ends those that hold most for longest.

    :param clock: returns the time in seconds.
    :param on_ended: called with the bytes of a connection that was ended.
    :ivar total: bytes held now.
    :ivar admitted: bytes of requests in progress.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        limits: AccountLimits = AccountLimits(),
        on_ended: Callable[[int], None] = lambda size: None,
    ):
        self._clock = clock
        self._holdings: dict[AccountHolder, _Holding] = {}
        self._refusals = count()
        self.limits = limits
        self.on_ended = on_ended
        self.total = 0
        self.admitted = 0

    def may_admit(self, size: int) -> bool:
        """Return whether a request fits beside those in progress."""
        limit = self.limits.memory_bytes
        if size > LARGE_REQUEST_BYTES:
            limit = int(LARGE_FRACTION * limit)
        return self.admitted + size <= limit

    def next_retry_s(self) -> float:
        """Return the seconds after which a caller that is refused now may return."""
        return MIN_RETRY_S + RETRY_STEP_S * (next(self._refusals) % RETRY_STEPS)

    def update(self, holder: AccountHolder, size: int, admitted: int = 0) -> None:
        """Record what is held for a connection.

        :param size: bytes in total.
        :param admitted: bytes of them for a request in progress and its response.
        """
        holding = self._holdings.get(holder)
        if holding is None:
            holding = self._holdings[holder] = _Holding(self._clock())
        self.total += size - holding.size
        self.admitted += admitted - holding.admitted
        holding.size, holding.admitted = size, admitted

    def restart(self, holder: AccountHolder) -> None:
        """Record that a connection begins to wait for a request, or to read one."""
        holding = self._holdings.get(holder)
        if holding is not None:
            holding.since = self._clock()

    def release(self, holder: AccountHolder) -> None:
        """Record that nothing is held for a connection any more."""
        holding = self._holdings.pop(holder, None)
        if holding is not None:
            self.total -= holding.size
            self.admitted -= holding.admitted

    def make_room(self) -> None:
        """End the holders with the most waste if the total exceeds its limit."""
        if self.total <= self.limits.memory_bytes:
            return
        now = self._clock()
        free = self.limits.memory_bytes - self.admitted
        target = self.admitted + TRIM_FRACTION * free
        by_waste = sorted(
            (item for item in self._holdings.items() if not item[1].admitted),
            key=lambda item: item[1].waste(now),
            reverse=True,
        )
        for holder, holding in by_waste:
            if self.total <= target:
                return
            size = holding.size
            holder.end_for_memory()
            self.on_ended(size)

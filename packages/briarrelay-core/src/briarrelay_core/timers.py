"""Timers of an instance, run by its host process."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from attrs import define, field

__all__ = ["Timer", "TimerService"]


def _do_nothing(now: float) -> list:
    """Do what a cancelled timer does."""
    return []


@define(eq=False, slots=True)
class Timer:
    """A scheduled call.

    :param due: time at which the callback runs, in seconds.
    :param callback: called with the current time; returns effects.
    """

    due: float
    callback: Callable[[float], list]
    cancelled: bool = False

    def cancel(self) -> None:
        """Prevent further calls.

        What the callback refers to is released now, though the timer stays queued.
        """
        self.cancelled = True
        self.callback = _do_nothing


@define(slots=True)
class TimerService:
    """Timers ordered by due time; ties run in the order of scheduling."""

    _heap: list = field(factory=list)
    _order: count = field(factory=count)

    @property
    def next_due(self) -> float | None:
        """Time of the earliest timer that is not cancelled, in seconds, or None."""
        while self._heap and self._heap[0][2].cancelled:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def at(self, due: float, callback: Callable[[float], list]) -> Timer:
        """Schedule a single call.

        :param due: time of the call in seconds.
        """
        timer = Timer(due, callback)
        heappush(self._heap, (due, next(self._order), timer))
        return timer

    def every(
        self, period: float, callback: Callable[[float], list], start: float
    ) -> Timer:
        """Schedule a periodic call; a delayed call delays those after it.

        :param period: seconds from the run of a call to the next one.
        :param start: time of the first call in seconds.
        """
        timer = Timer(start, callback)

        def run_and_reschedule(now: float) -> list:
            try:
                return callback(now)
            finally:
                if not timer.cancelled:
                    timer.due = now + period
                    heappush(self._heap, (timer.due, next(self._order), timer))

        timer.callback = run_and_reschedule
        heappush(self._heap, (start, next(self._order), timer))
        return timer

    def run_due(self, now: float) -> list:
        """Run the timers that are due and return their effects.

        If one raises, the effects so far are returned by the next call.
        """
        effects = []
        try:
            while (due := self.next_due) is not None and due <= now:
                timer = heappop(self._heap)[2]
                effects.extend(timer.callback(now))
        except Exception:
            self.at(now, lambda _: effects)
            raise
        return effects

"""Timer service that the parts of an instance subscribe to."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

from attrs import define, field

__all__ = ["Timer", "TimerService"]


@define(eq=False, slots=True)
class Timer:
    """One subscription.

    :param due: time at which the callback runs, in seconds.
    :param callback: called with the time and returns effects.
    """

    due: float
    callback: Callable[[float], list]
    cancelled: bool = False

    def cancel(self) -> None:
        """Keep the callback from running."""
        self.cancelled = True


@define(slots=True)
class TimerService:
    """Timers ordered by due time; ties run in the order of subscription."""

    _heap: list = field(factory=list)
    _order: count = field(factory=count)

    @property
    def next_due(self) -> float | None:
        """Time of the earliest live timer in seconds, or None."""
        while self._heap and self._heap[0][2].cancelled:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def at(self, due: float, callback: Callable[[float], list]) -> Timer:
        """Subscribe for one call at a time."""
        timer = Timer(due, callback)
        heappush(self._heap, (due, next(self._order), timer))
        return timer

    def every(
        self, period: float, callback: Callable[[float], list], start: float
    ) -> Timer:
        """Subscribe for a call each period; a late call is not made up for."""
        timer = Timer(start, callback)

        def repeat(now: float) -> list:
            effects = callback(now)
            if not timer.cancelled:
                timer.due = now + period
                heappush(self._heap, (timer.due, next(self._order), timer))
            return effects

        timer.callback = repeat
        heappush(self._heap, (start, next(self._order), timer))
        return timer

    def run_due(self, now: float) -> list:
        """Run the timers that are due and return their effects."""
        effects = []
        while (due := self.next_due) is not None and due <= now:
            timer = heappop(self._heap)[2]
            effects.extend(timer.callback(now))
        return effects

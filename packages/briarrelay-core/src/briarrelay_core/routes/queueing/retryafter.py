"""Spreads the times at which refused callers return over the time with room for them.

Answers callers who were refused at the same moment: if all of them returned together,
most would be refused again.
"""

from collections import deque

from attrs import define, field

__all__ = ["ReturnSchedule"]

RETURN_SHARE = 0.5
"""Fraction of the engines' time that returning callers may use; the rest is left for
callers who come for the first time."""

MAX_WAIT_FRACTION = 1.0 / 3.0
"""Fraction of the time left to its deadline after which a caller does not return."""

MAX_RETURNS = 1_024
"""Most refused requests that are kept; the oldest are forgotten first."""


@define(slots=True, eq=False)
class ReturnSchedule:
    """When the callers that this instance refused lately may return.

    :ivar _returns: time of each return and seconds that one engine reads for it.
    """

    _returns: deque[tuple[float, float]] = field(
        factory=lambda: deque(maxlen=MAX_RETURNS)
    )

    def add(
        self,
        *,
        room_in_s: float,
        read_s: float,
        share: float,
        engines: float,
        left_s: float,
        now: float,
    ) -> float:
        """Return the seconds after which a refused caller may return.

        It returns after there is room, and after those refused before it. Callers who
        may not return so late learn that at once, instead of being refused again.

        :param room_in_s: seconds until the reading accepted before is done.
        :param read_s: seconds that one engine reads for the request.
        :param share: in [0, 1), different for each request; keeps the first returns to
            several instances apart.
        :param engines: engines for each instance, may be below 1.
        :param left_s: seconds until the caller's deadline.
        """
        ahead_s = self._pending_s(now) + share * read_s
        returns_in_s = room_in_s + ahead_s / (RETURN_SHARE * engines)
        if returns_in_s <= MAX_WAIT_FRACTION * left_s:
            self._returns.append((now + returns_in_s, read_s))
        return returns_in_s

    def _pending_s(self, now: float) -> float:
        """Return the seconds that one engine reads for callers that will return."""
        return sum(read_s for at, read_s in self._returns if at > now)

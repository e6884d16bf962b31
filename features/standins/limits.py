"""The users' rule on limits that backend servers name."""

from attrs import define, field

__all__ = ["LEARNING_S", "WINDOW_S", "LimitedServer"]

WINDOW_S = 4.0
"""Seconds of each window in which requests are counted."""

LEARNING_S = 3.0
"""Seconds after a server first named its limit from which the limit must be kept."""


@define(slots=True, eq=False)
class LimitedServer:
    """A server that names a limit.

    :param named_at: time of its first response that named one.
    :param arrivals: times of the requests that were sent to it, or that it helped with.
    """

    per_s: float
    named_at: float = float("inf")
    arrivals: list[float] = field(factory=list)

    @property
    def allowed(self) -> float:
        """Most requests in `WINDOW_S`, as the users' rule states."""
        return 1.5 * self.per_s * WINDOW_S + 5

    def most_in_window(self) -> int:
        """Return the most requests that arrived in a window after `LEARNING_S`."""
        counted = [t for t in self.arrivals if t >= self.named_at + LEARNING_S]
        return max(
            (sum(t <= a < t + WINDOW_S for a in counted) for t in counted), default=0
        )

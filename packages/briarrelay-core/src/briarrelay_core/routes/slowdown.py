"""Estimates how much slower than expected each backend server responds."""

from attrs import define, field

__all__ = ["SlowdownTable"]

SMOOTHING = 0.3
"""Weight of a new observation in the estimate."""

HALF_LIFE_S = 4.0
"""Seconds after which an estimate has decayed halfway to 1."""

MAX_SLOWDOWN = 20.0
"""Largest estimate; a slower server is treated as silent anyway."""

NOISE_S = 0.08
"""Seconds that a response may be later than expected without counting as slow."""


@define(slots=True)
class SlowdownTable:
    """Observed time over expected time for each server, 1 without observations.

    :ivar _slowdowns: estimate of each server and the time of its last observation.
    """

    _slowdowns: dict[str, tuple[float, float]] = field(factory=dict)

    def of(self, server: str, now: float) -> float:
        """Return the estimate for a server, decayed to the present."""
        known = self._slowdowns.get(server)
        if known is None:
            return 1.0
        slowdown, observed_at = known
        return 1.0 + (slowdown - 1.0) * 0.5 ** ((now - observed_at) / HALF_LIFE_S)

    def observe(
        self, server: str, expected_s: float, taken_s: float, now: float
    ) -> None:
        """Update the estimate of a server by the time of a first event.

        :param expected_s: seconds that the event was expected to take.
        :param taken_s: seconds that it took.
        """
        if expected_s <= 0:
            return
        observed = max(1.0, (taken_s - NOISE_S) / expected_s)
        old = self.of(server, now)
        slowdown = min(MAX_SLOWDOWN, old + SMOOTHING * (observed - old))
        self._slowdowns[server] = (slowdown, now)

    def forget(self, server: str) -> None:
        """Discard the estimate of a server that restarted."""
        self._slowdowns.pop(server, None)

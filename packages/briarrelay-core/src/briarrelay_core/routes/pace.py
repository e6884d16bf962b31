"""How much slower than expected each backend server is, from its answers."""

from attrs import define, field

__all__ = ["SlowdownTable"]

SMOOTHING = 0.3
"""Part of a new observation that enters the estimate."""

HALF_LIFE_S = 4.0
"""Seconds after which half of an observed slowness is forgotten."""

MAX_SLOWDOWN = 20.0
"""Largest estimate; a slower server is as good as silent."""

NOISE_S = 0.08
"""Seconds that an answer may be later than expected without being slow."""


@define(slots=True)
class SlowdownTable:
    """Observed time over expected time of each server; 1 without news."""

    _slowdowns: dict[str, tuple[float, float]] = field(factory=dict)

    def of(self, server: str, now: float) -> float:
        """Return the estimate for a server."""
        known = self._slowdowns.get(server)
        if known is None:
            return 1.0
        slowdown, at = known
        return 1.0 + (slowdown - 1.0) * 0.5 ** ((now - at) / HALF_LIFE_S)

    def observe(
        self, server: str, expected_s: float, taken_s: float, now: float
    ) -> None:
        """Take the time of a first event."""
        if expected_s <= 0:
            return
        observed = max(1.0, (taken_s - NOISE_S) / expected_s)
        old = self.of(server, now)
        slowdown = min(MAX_SLOWDOWN, old + SMOOTHING * (observed - old))
        self._slowdowns[server] = (slowdown, now)

    def forget(self, server: str) -> None:
        """Drop what was observed of a server that started anew."""
        self._slowdowns.pop(server, None)

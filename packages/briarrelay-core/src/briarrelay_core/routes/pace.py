"""How much slower than expected each backend server is, from its answers."""

from attrs import define, field

__all__ = ["PaceTable"]

GAIN = 0.3
"""Part of a new observation that enters the estimate."""

HALF_LIFE_S = 4.0
"""Seconds after which half of an observed slowness is forgotten."""

MAX_PACE = 20.0
"""Largest estimate; a slower server is as good as silent."""

NOISE_S = 0.08
"""Seconds that an answer may be later than expected without being slow."""


@define(slots=True)
class PaceTable:
    """Observed time over expected time of each server; 1 without news."""

    _paces: dict[str, tuple[float, float]] = field(factory=dict)

    def of(self, server: str, now: float) -> float:
        """Return the estimate for a server."""
        known = self._paces.get(server)
        if known is None:
            return 1.0
        pace, at = known
        return 1.0 + (pace - 1.0) * 0.5 ** ((now - at) / HALF_LIFE_S)

    def observe(
        self, server: str, expected_s: float, taken_s: float, now: float
    ) -> None:
        """Take the time of a first event."""
        if expected_s <= 0:
            return
        seen = max(1.0, (taken_s - NOISE_S) / expected_s)
        old = self.of(server, now)
        pace = min(MAX_PACE, old + GAIN * (seen - old))
        self._paces[server] = (pace, now)

    def forget(self, server: str) -> None:
        """Drop what was observed of a server that started anew."""
        self._paces.pop(server, None)

"""Confidence in what is believed of each server's content."""

from attrs import define, field

__all__ = ["ConfidenceTable"]

REFUTED_FACTOR = 0.5
"""Factor applied to the confidence in a server when a belief is shown to be wrong."""

CONFIRMED_STEP = 0.1
"""Increase of the confidence when a belief is shown to be right."""


@define(slots=True)
class ConfidenceTable:
    """Confidence in each server, from 0 to 1; 1 without observations."""

    _confidence: dict[str, float] = field(factory=dict)

    def of(self, server: str) -> float:
        """Return the confidence in a server."""
        return self._confidence.get(server, 1.0)

    def adjust(self, server: str, *, confirmed: bool, refuted: bool) -> None:
        """Apply an observation of a server, which may be neither."""
        factor = REFUTED_FACTOR if refuted else 1.0
        step = CONFIRMED_STEP if confirmed and not refuted else 0.0
        self._confidence[server] = min(1.0, self.of(server) * factor + step)

    def forget(self, server: str) -> None:
        """Discard the observations of a server."""
        self._confidence.pop(server, None)

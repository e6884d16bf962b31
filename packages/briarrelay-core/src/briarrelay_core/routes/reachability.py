"""Tracks which data centres this instance cannot reach.

Without it, every server behind a network partition would cost a request of its own to
detect.
"""

from attrs import define, field

__all__ = ["ReachabilityTable"]

MIN_SUSPECT_SERVERS = 2
"""Number of unreachable servers from which their data centre is suspected."""

SUSPECT_PERIOD_S = 1.0
"""Seconds after the last failure for which a data centre stays suspected."""


@define(slots=True)
class _Unreachable:
    """Servers of a data centre that could not be reached since its last response."""

    servers: set[str] = field(factory=set)
    at: float = float("-inf")


@define(slots=True)
class ReachabilityTable:
    """Failures to reach servers, by data centre."""

    _unreachable: dict[str, _Unreachable] = field(factory=dict)

    def record_response(self, data_centre: str) -> None:
        """Clear the failures of a data centre, one of whose servers responded."""
        self._unreachable.pop(data_centre, None)

    def record_unreachable(self, data_centre: str, server: str, now: float) -> None:
        """Record that a server could not be reached."""
        unreachable = self._unreachable.setdefault(data_centre, _Unreachable())
        unreachable.servers.add(server)
        unreachable.at = now

    def is_suspect(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre should get no requests for now."""
        unreachable = self._unreachable.get(data_centre)
        if unreachable is None or len(unreachable.servers) < MIN_SUSPECT_SERVERS:
            return False
        return now - unreachable.at < SUSPECT_PERIOD_S

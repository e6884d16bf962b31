"""Tracks which data centres this instance cannot reach.

Otherwise each server behind a network partition would be detected only after a request
to it failed.
"""

from attrs import define, field

__all__ = ["ReachabilityTable"]

MIN_SUSPECT_SERVERS = 2
"""Number of unreachable servers from which their data centre is suspected."""

SUSPECT_PERIOD_S = 1.0
"""Seconds after the last failure for which a data centre stays suspected."""


@define(slots=True)
class _Unreachable:
    """Servers of a data centre that could not be reached since its last response.

    :param last_failure_at: time of the last failure to reach one of them.
    """

    servers: set[str] = field(factory=set)
    last_failure_at: float = float("-inf")


@define(slots=True)
class ReachabilityTable:
    """Unreachable servers of each data centre."""

    _unreachable: dict[str, _Unreachable] = field(factory=dict)

    def record_response(self, data_centre: str) -> None:
        """Clear the failures of a data centre, one of whose servers responded."""
        self._unreachable.pop(data_centre, None)

    def record_unreachable(self, data_centre: str, server: str, now: float) -> None:
        """Record that a server could not be reached."""
        unreachable = self._unreachable.setdefault(data_centre, _Unreachable())
        unreachable.servers.add(server)
        unreachable.last_failure_at = now

    def is_suspect(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre should get no requests for now."""
        unreachable = self._unreachable.get(data_centre)
        if unreachable is None or len(unreachable.servers) < MIN_SUSPECT_SERVERS:
            return False
        return now - unreachable.last_failure_at < SUSPECT_PERIOD_S

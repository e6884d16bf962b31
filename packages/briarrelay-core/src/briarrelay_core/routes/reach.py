"""Which data centres can not be reached, as far as own sends tell.

When the network is cut, each server behind the cut would otherwise be found out by a
request of its own.
"""

from attrs import define, field

__all__ = ["ReachabilityTable"]

MIN_SUSPECT_SERVERS = 2
"""Different servers that must not answer before their data centre is suspected."""

SUSPECT_PERIOD_S = 1.0
"""Seconds without a further sign after which a data centre is tried again."""


@define(slots=True)
class _Unreachable:
    """Servers of a data centre that could not be reached since its last word."""

    servers: set[str] = field(factory=set)
    at: float = float("-inf")


@define(slots=True)
class ReachabilityTable:
    """Silence of each data centre."""

    _unreachable: dict[str, _Unreachable] = field(factory=dict)

    def note_heard(self, data_centre: str) -> None:
        """Note that a server of a data centre answered."""
        self._unreachable.pop(data_centre, None)

    def note_unreached(self, data_centre: str, server: str, now: float) -> None:
        """Note that a server could not be reached in time."""
        unreachable = self._unreachable.setdefault(data_centre, _Unreachable())
        unreachable.servers.add(server)
        unreachable.at = now

    def is_suspect(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre should get no work now."""
        unreachable = self._unreachable.get(data_centre)
        if unreachable is None or len(unreachable.servers) < MIN_SUSPECT_SERVERS:
            return False
        return now - unreachable.at < SUSPECT_PERIOD_S

"""Which data centres can not be reached, as far as own sends tell.

When the network is cut, each server behind the cut would otherwise be found out by a
request of its own.
"""

from attrs import define, field

__all__ = ["ReachTable"]

SERVERS_TO_SUSPECT = 2
"""Different servers that must not answer before their data centre is suspected."""

SUSPECT_S = 1.0
"""Seconds without a further sign after which a data centre is tried again."""


@define(slots=True)
class _Silence:
    """Servers of a data centre that could not be reached since its last word."""

    servers: set[str] = field(factory=set)
    at: float = float("-inf")


@define(slots=True)
class ReachTable:
    """Silence of each data centre."""

    _silences: dict[str, _Silence] = field(factory=dict)

    def note_heard(self, data_centre: str) -> None:
        """Note that a server of a data centre answered."""
        self._silences.pop(data_centre, None)

    def note_unreached(self, data_centre: str, server: str, now: float) -> None:
        """Note that a server could not be reached in time."""
        silence = self._silences.setdefault(data_centre, _Silence())
        silence.servers.add(server)
        silence.at = now

    def is_suspect(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre should get no work now."""
        silence = self._silences.get(data_centre)
        if silence is None or len(silence.servers) < SERVERS_TO_SUSPECT:
            return False
        return now - silence.at < SUSPECT_S

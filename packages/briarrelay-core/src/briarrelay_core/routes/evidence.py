"""What own requests tell of backend servers: failures, pace, silence, reach."""

from attrs import define, field

from briarrelay_core.routes.pace import PaceTable
from briarrelay_core.routes.reach import ReachTable
from briarrelay_core.routes.servers import ServerTable
from briarrelay_core.routing.health import HealthTable

__all__ = ["ServerEvidence"]


@define(slots=True, eq=False)
class ServerEvidence:
    """Observations of servers.

    :param heard_at: time of the last word of each server.
    """

    servers: ServerTable
    health: HealthTable = field(factory=HealthTable)
    pace: PaceTable = field(factory=PaceTable)
    reach: ReachTable = field(factory=ReachTable)
    heard_at: dict[str, float] = field(factory=dict)

    def note_heard(self, server: str, now: float) -> None:
        """Note that a server said something."""
        self.heard_at[server] = now
        known = self.servers.get(server)
        if known is not None:
            self.reach.note_heard(known.entry.data_centre)

    def note_unreached(self, server: str, now: float) -> None:
        """Note that no connection to a server came about."""
        known = self.servers.get(server)
        if known is not None:
            self.reach.note_unreached(known.entry.data_centre, server, now)

    def forget(self, name: str) -> None:
        """Drop what was observed of a server that left or started anew."""
        self.health.forget(name)
        self.pace.forget(name)
        self.heard_at.pop(name, None)

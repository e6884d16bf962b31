"""What own requests tell of backend servers: failures, pace, silence, reach."""

from attrs import define, field

from briarrelay_core.routes.pace import SlowdownTable
from briarrelay_core.routes.reach import ReachabilityTable
from briarrelay_core.routes.servers import ServerTable
from briarrelay_core.routing.health import HealthTable

__all__ = ["ServerObservations"]


@define(slots=True, eq=False)
class ServerObservations:
    """Observations of servers.

    :param last_response_at: time of the last word of each server.
    """

    servers: ServerTable
    health: HealthTable = field(factory=HealthTable)
    slowdown: SlowdownTable = field(factory=SlowdownTable)
    reach: ReachabilityTable = field(factory=ReachabilityTable)
    last_response_at: dict[str, float] = field(factory=dict)

    def note_heard(self, server: str, now: float) -> None:
        """Note that a server said something."""
        self.last_response_at[server] = now
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
        self.slowdown.forget(name)
        self.last_response_at.pop(name, None)

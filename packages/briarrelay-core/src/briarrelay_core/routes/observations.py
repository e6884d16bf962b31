"""Observations of backend servers: failures, crashes, speed, reachability."""

from attrs import define, field

from briarrelay_core.routes.allowances.allowances import Allowances
from briarrelay_core.routes.allowances.limits import ServerLimitTable
from briarrelay_core.routes.cooperation.isolation import IsolationTable
from briarrelay_core.routes.crashes import CrashTable
from briarrelay_core.routes.losses.held import HeldLosses
from briarrelay_core.routes.losses.judge import Finding, LossJudge
from briarrelay_core.routes.pauses import PauseTable
from briarrelay_core.routes.reachability import ReachabilityTable
from briarrelay_core.routes.responsetimes import ResponseTimes
from briarrelay_core.routes.retention.contents import HeldContents
from briarrelay_core.routes.servers import ServerTable
from briarrelay_core.routes.slowdown import SlowdownTable
from briarrelay_core.routing.health import HealthTable

__all__ = ["ServerObservations"]


@define(slots=True, eq=False)
class ServerObservations:
    """Health, slowdown, reachability, pauses, limits, content and times of servers.

    :param last_response_at: time of the last message from each server.
    """

    servers: ServerTable
    health: HealthTable = field(factory=HealthTable)
    slowdown: SlowdownTable = field(factory=SlowdownTable)
    reachability: ReachabilityTable = field(factory=ReachabilityTable)
    pauses: PauseTable = field(factory=PauseTable)
    crashes: CrashTable = field(factory=CrashTable)
    allowances: Allowances = field(factory=Allowances)
    isolation: IsolationTable = field(factory=IsolationTable)
    losses: LossJudge = field(factory=LossJudge)
    held_losses: HeldLosses = field(factory=HeldLosses)
    held: HeldContents = field(factory=HeldContents)
    times: ResponseTimes = field(factory=ResponseTimes)
    last_response_at: dict[str, float] = field(factory=dict)

    @property
    def limits(self) -> ServerLimitTable:
        """Limits that servers name."""
        return self.allowances.limits

    def record_response(self, server: str, now: float) -> None:
        """Record a message from a server."""
        self.last_response_at[server] = now
        known = self.servers.get(server)
        if known is not None:
            self.reachability.record_response(known.entry.data_centre)
            self.crashes.record_response(server, known.entry.born)
            self.isolation.record_response(known.entry.service, now)
            self.losses.record_response(known.entry.service, server, now)
            self.held_losses.record_response(known.incarnation)

    def judge_closed(self, server: str, sent_at: float, now: float) -> Finding | None:
        """Return what a connection that a server closed shows.

        :returns: None if the server is unknown.
        """
        known = self.servers.get(server)
        if known is None:
            return None
        service = known.entry.service
        count = len(self.servers.of_service(service, now))
        return self.losses.judge_closed(service, server, count, sent_at, now)

    def record_unreachable(self, server: str, now: float) -> Finding | None:
        """Record that no connection to a server could be made.

        :returns: what it shows, None if the server is unknown.
        """
        known = self.servers.get(server)
        if known is not None:
            self.reachability.record_unreachable(known.entry.data_centre, server, now)
            return self._record_unreached(known.entry.service, server, now)
        return None

    def record_unacknowledged(self, server: str, now: float) -> Finding | None:
        """Record that a connection to a server failed, which it did not close."""
        known = self.servers.get(server)
        if known is not None:
            return self._record_unreached(known.entry.service, server, now)
        return None

    def _record_unreached(self, service: str, server: str, now: float) -> Finding:
        count = len(self.servers.of_service(service, now))
        self.isolation.record_failure(service, server, count, now)
        return self.losses.judge_unreached(service, server, count, now)

    def forget(self, name: str) -> None:
        """Discard the observations of a server that left or restarted."""
        self.health.forget(name)
        self.slowdown.forget(name)
        self.pauses.forget(name)
        self.allowances.forget(name)
        self.held.forget(name)
        self.last_response_at.pop(name, None)

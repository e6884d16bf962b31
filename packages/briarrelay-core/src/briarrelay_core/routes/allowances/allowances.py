"""When a backend server may get a request of this instance."""

from attrs import define, field

from briarrelay_core.routes.allowances.cold import ColdTable
from briarrelay_core.routes.allowances.limits import ServerLimitTable

__all__ = ["Allowances"]


@define(slots=True)
class Allowances:
    """The limits that servers name and the cold servers; the stricter one counts."""

    limits: ServerLimitTable = field(factory=ServerLimitTable)
    cold: ColdTable = field(factory=ColdTable)

    def __bool__(self) -> bool:
        """Whether any server takes few requests now."""
        return bool(self.limits) or bool(self.cold)

    def is_limited(self, server: str, born: float, now: float) -> bool:
        """Return whether a server takes few requests now."""
        return self.limits.is_limited(server, born) or self.cold.is_cold(
            server, born, now
        )

    def admits_in_s(self, server: str, born: float, now: float) -> float:
        """Return the seconds until a server may get a request of this instance."""
        return max(
            self.limits.admits_in_s(server, born, now),
            self.cold.admits_in_s(server, born, now),
        )

    def period_s(self, server: str, born: float, now: float) -> float:
        """Return the seconds between two turns at a server that takes few requests."""
        periods_s = [0.0]
        if self.limits.is_limited(server, born):
            periods_s.append(self.limits.period_s(server))
        if self.cold.is_cold(server, born, now):
            periods_s.append(self.cold.period_s(server))
        return max(periods_s)

    def record_send(self, server: str, born: float, now: float) -> None:
        """Record a request that was sent to a server, or help with one."""
        self.limits.record_send(server, born, now)
        self.cold.record_send(server, born, now)

    def admit_reserved(
        self, servers: list[tuple[str, float]], reserved_at: float, now: float
    ) -> bool:
        """Return whether a request whose memory is reserved may be sent now.

        Turns that it needs once more are used.

        :param servers: name and ``born`` of each server of the request.
        :param reserved_at: time at which its turns were used.
        """
        if not self:
            return True
        cold = [s for s in servers if self.cold.needs_turn(*s, reserved_at, now)]
        limited = [s for s in servers if self.limits.needs_turn(*s, reserved_at, now)]
        if any(self.cold.admits_in_s(*server, now) > 0 for server in cold):
            return False
        if any(self.limits.admits_in_s(*server, now) > 0 for server in limited):
            return False
        for server in cold:
            self.cold.record_send(*server, now)
        for server in limited:
            self.limits.record_send(*server, now)
        for server in servers:
            self.cold.record_grant(*server, now)
        return True

    def set_members(self, count: int, rank: int, now: float) -> None:
        """Set the number of instances, and how many of them precede this one."""
        membership = self.cold.membership
        if (count, rank) != (membership.count, membership.rank):
            membership.count, membership.rank = count, rank
            self.cold.on_members_changed(now)
        self.limits.set_members(count, rank, now)

    def forget(self, server: str) -> None:
        """Discard what is known of a server that left or restarted."""
        self.limits.forget(server)
        self.cold.forget(server)

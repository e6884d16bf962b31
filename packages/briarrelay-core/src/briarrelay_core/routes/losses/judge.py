"""Judges losses of connections: the path from this instance, or the server.

An instance that has lost most servers of a service at once has lost its links. What it
took for crashes of servers before that became visible is withdrawn.
"""

from enum import StrEnum

from attrs import define, field, frozen

__all__ = ["Cause", "Finding", "LossJudge"]

BURST_S = 0.3
"""Seconds within which losses count as being at once."""

MIN_LOST_SERVERS = 3
"""Servers lost at once from which the links can be the cause."""

LINKS_MEMORY_S = 1.0
"""Seconds after the loss of the links for which further losses, without a response of
the service, have the same cause."""

LOST_MEMORY_S = 3.0
"""Seconds for which a lost server that has not responded is left out of those that are
lost at once."""


class Cause(StrEnum):
    """What a loss shows: the path was lost, or the server may have crashed."""

    LINKS = "links"
    SERVER = "server"


@frozen(slots=True)
class Finding:
    """What a loss shows.

    :param reason: for the log line.
    :param withdrawn_since: time in seconds since which earlier losses were of the links
        too, None if this is no news.
    """

    cause: Cause
    reason: str
    withdrawn_since: float | None = None


@define(slots=True, eq=False)
class _ServiceLosses:
    """Losses of the servers of a service.

    :param lost_at: time of the last loss of each server that has not responded since,
        unless the links were lost.
    :param begun_at: time of the first loss of the latest burst.
    :param burst: servers lost in it.
    :param earlier: servers that were lost before it.
    :param links_until: time until which further losses are of the links.
    :param reach: share of the servers that were reached before and still are.
    """

    lost_at: dict[str, float] = field(factory=dict)
    begun_at: float = float("-inf")
    burst: set[str] = field(factory=set)
    earlier: frozenset[str] = frozenset()
    links_until: float = float("-inf")
    reach: float = 1.0


@define(slots=True, eq=False)
class LossJudge:
    """Judges each loss of a connection to a backend server."""

    _services: dict[str, _ServiceLosses] = field(factory=dict)

    def judge_closed(
        self, service: str, server: str, server_count: int, sent_at: float, now: float
    ) -> Finding:
        """Return what a connection shows that the server closed or that was reset.

        :param server_count: number of servers of the service.
        :param sent_at: time at which the attempt was sent.
        """
        known = self._services.setdefault(service, _ServiceLosses())
        if now - known.begun_at > BURST_S:
            self._begin(known, now)
        elif sent_at > known.begun_at and now >= known.links_until:
            # the path was there after the first loss
            known.lost_at[server] = now
            return Finding(Cause.SERVER, "sent_after_other_loss")
        known.earlier -= {server}
        return self._add(known, server, server_count, now)

    def judge_unreached(
        self, service: str, server: str, server_count: int, now: float
    ) -> Finding:
        """Return what a failure to connect, or to get an acknowledgement, shows."""
        known = self._services.setdefault(service, _ServiceLosses())
        if now - known.begun_at > BURST_S:
            if now >= known.links_until:
                known.lost_at[server] = now
            return self._find(known, now)
        return self._add(known, server, server_count, now)

    def record_response(self, service: str, server: str, now: float) -> None:
        """Record a message from a server."""
        known = self._services.get(service)
        if known is None:
            return
        known.lost_at.pop(server, None)
        if now - known.begun_at > BURST_S:
            known.links_until, known.reach = float("-inf"), 1.0
            if not known.lost_at:
                del self._services[service]

    def reach(self, now: float) -> float:
        """Return the smallest share of a service's servers that is still reached."""
        return min(
            (
                known.reach
                for known in self._services.values()
                if now < known.links_until
            ),
            default=1.0,
        )

    def _begin(self, known: _ServiceLosses, now: float) -> None:
        known.lost_at = {
            server: at
            for server, at in known.lost_at.items()
            if now - at < LOST_MEMORY_S
        }
        known.earlier = frozenset(known.lost_at)
        known.begun_at = now
        known.burst = set()

    def _add(
        self, known: _ServiceLosses, server: str, server_count: int, now: float
    ) -> Finding:
        known.lost_at[server] = now
        if server not in known.earlier:
            known.burst.add(server)
        before = max(len(known.burst), server_count - len(known.earlier))
        is_most = len(known.burst) > before / 2
        if len(known.burst) < MIN_LOST_SERVERS or not is_most:
            return self._find(known, now)
        # their earlier losses say nothing of the servers
        known.lost_at.clear()
        is_news = now >= known.links_until
        known.links_until = now + LINKS_MEMORY_S
        known.reach = 1 - len(known.burst) / before
        since = known.begun_at if is_news else None
        return Finding(Cause.LINKS, "most_servers_at_once", since)

    def _find(self, known: _ServiceLosses, now: float) -> Finding:
        if now < known.links_until:
            return Finding(Cause.LINKS, "links_lost_before")
        return Finding(Cause.SERVER, "others_not_lost")

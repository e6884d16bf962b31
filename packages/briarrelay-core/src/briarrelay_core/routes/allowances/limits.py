"""Limits that backend servers name for the requests of all instances together.

Each instance may use a part of the times at which a server takes a request: those at
which it is its turn among all registered instances, whether they are heard or not. So
no message is needed to keep a limit, and a cut between instances does not exceed it.
"""

from collections.abc import Iterable

from attrs import define, field

from briarrelay_core.membership.rendezvous import unit_hash
from briarrelay_core.ports.digest import MAX_LIMIT_REPORTS, LimitReport
from briarrelay_core.ports.route import RateLimit
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.routes.allowances.turns import Membership, Turns

__all__ = ["ServerLimitTable"]

USED_FRACTION = 0.9
"""Fraction of a limit that is used; below 1 because instances that join are not known
to all others at once."""

MIN_RATE_PER_S = 0.05
"""Requests per second that all instances together send to a server with a lower limit;
only a response shows that the limit is no longer in force."""

MAX_RATE_PER_S = 100_000.0
"""Requests per second from which a limit makes no difference."""

STORED_REQUESTS = 3.0
"""Requests that all instances together may make up for after turns that they did not
use."""

MIN_STORE_S = 0.25
"""Seconds for which an unused turn stays usable at least."""

REPORT_S = 5.0
"""Seconds after its last observation for which an instance reports a limit to peers."""

MIN_EARLIER_S = 0.05
"""Seconds by which a peer must have observed a limit earlier for its time to be used;
digests take some of it."""


@define(slots=True)
class _KnownLimit:
    """What is known of the limit of one server.

    :param born: start of the server's incarnation.
    :param limit: None if it is no longer in force.
    :param observed_at: time of the last response that named the limit; for one that
        did not, the time at which its request was sent.
    :param known_at: time at which this instance learnt the limit in force.
    :param own_at: time of this instance's last own observation.
    """

    born: float
    limit: RateLimit | None
    observed_at: float
    turns: Turns
    known_at: float
    own_at: float = float("-inf")

    def set_limit(self, limit: RateLimit, now: float) -> None:
        """Replace the limit in force."""
        self.limit, self.known_at = limit, now
        self.turns.rate_per_s = _rate_per_s(limit)
        self.turns.store_s = _store_s(self.turns.rate_per_s)


@define(slots=True)
class ServerLimitTable:
    """Limits in force, by server, and this instance's turns.

    A limit is in force until a server responds without one to a request that was sent
    after the last response that named it.

    :ivar has_urgent_change: this instance observed a change that peers have not been
        told.
    """

    has_urgent_change: bool = False
    _known: dict[str, _KnownLimit] = field(factory=dict)
    _membership: Membership = field(factory=Membership)

    def __bool__(self) -> bool:
        """Whether a server has named a limit lately."""
        return bool(self._known)

    # Observations

    def record_limit(
        self, server: str, born: float, limit: RateLimit, now: float
    ) -> list:
        """Record that a server named a limit; return effects.

        :param born: start of the incarnation that responded.
        """
        is_change = self._set(server, born, limit, now, now, now)
        known = self._known[server]
        if known.born != born:
            return []
        known.own_at = now
        if not is_change:
            return []
        self.has_urgent_change = True
        return _log_limited(server, limit, "response")

    def record_no_limit(
        self, server: str, born: float, sent_at: float, now: float
    ) -> list:
        """Record that a server responded without naming a limit; return effects.

        :param born: start of the incarnation that responded.
        :param sent_at: time at which the request was sent.
        """
        if not self._clear(server, born, sent_at):
            return []
        self._known[server].own_at = now
        self.has_urgent_change = True
        return [_log_unlimited(server, "response")]

    def apply_reports(self, reports: Iterable[LimitReport], now: float) -> list:
        """Apply a peer's reports on registered servers; return effects."""
        effects = []
        for report in reports:
            at = now - report.age_s
            if report.limit is None:
                if self._clear(report.server, report.born, at):
                    effects.append(_log_unlimited(report.server, "peer"))
                continue
            since = now - report.since_age_s
            if self._set(report.server, report.born, report.limit, at, since, now):
                effects += _log_limited(report.server, report.limit, "peer")
        return effects

    def own_reports(self, now: float) -> tuple[LimitReport, ...]:
        """Return what this instance observed lately, newest first, for a digest."""
        recent = [
            (known.own_at, server, known)
            for server, known in self._known.items()
            if now - known.own_at < REPORT_S
        ]
        recent.sort(key=lambda entry: entry[:2], reverse=True)
        return tuple(
            LimitReport(
                server=server,
                born=known.born,
                limit=known.limit,
                age_s=now - known.observed_at,
                since_age_s=now - known.turns.since,
            )
            for _, server, known in recent[:MAX_LIMIT_REPORTS]
        )

    def _set(
        self,
        server: str,
        born: float,
        limit: RateLimit,
        at: float,
        since: float,
        now: float,
    ) -> bool:
        """Set a limit that was observed at a time; return whether it is a change."""
        known = self._known.get(server)
        if known is not None and known.born > born:
            return False
        if known is None or known.born < born or known.limit is None:
            if known is not None and known.born == born and at <= known.observed_at:
                return False
            rate_per_s, order = _rate_per_s(limit), unit_hash(server, "turn")
            turns = Turns(rate_per_s, since, now, order, _store_s(rate_per_s))
            self._known[server] = _KnownLimit(born, limit, at, turns, now)
            return True
        if since < known.turns.since - MIN_EARLIER_S:
            known.turns.since = since
            known.turns.use_until(now)
        if at <= known.observed_at:
            return False
        known.observed_at = at
        if known.limit == limit:
            return False
        known.set_limit(limit, now)
        known.turns.use_until(now)
        return True

    def _clear(self, server: str, born: float, sent_at: float) -> bool:
        """End a limit; return whether it was in force.

        :param sent_at: time at which the request of a response without it was sent.
        """
        known = self._known.get(server)
        if known is None or known.limit is None or known.born != born:
            return False
        if sent_at <= known.observed_at:
            return False
        known.limit, known.observed_at = None, sent_at
        return True

    def forget(self, server: str) -> None:
        """Discard the limit of a server that left or restarted."""
        self._known.pop(server, None)

    # Turns

    def set_members(self, count: int, rank: int, now: float) -> None:
        """Set the number of instances, and how many of them precede this one.

        Turns that were not used until then are dropped, since they may have been those
        of another instance.
        """
        membership = self._membership
        if (count, rank) == (membership.count, membership.rank):
            return
        membership.count, membership.rank = count, rank
        for known in self._known.values():
            known.turns.use_until(now)

    def is_limited(self, server: str, born: float) -> bool:
        """Return whether a server has a limit in force."""
        known = self._known.get(server)
        return known is not None and known.limit is not None and known.born == born

    def admits_in_s(self, server: str, born: float, now: float) -> float:
        """Return the seconds until a server may get a request of this instance."""
        if not self._known or not self.is_limited(server, born):
            return 0.0
        turns = self._known[server].turns
        return max(0.0, turns.next(self._membership, now) - now)

    def period_s(self, server: str) -> float:
        """Return the seconds between two turns of this instance at a limited server."""
        return self._known[server].turns.period_s(self._membership)

    def needs_turn(
        self, server: str, born: float, reserved_at: float, now: float
    ) -> bool:
        """Return whether a request whose memory was reserved needs another turn.

        :param reserved_at: time at which its turn was used, if the server was limited.
        """
        if not self._known or not self.is_limited(server, born):
            return False
        known = self._known[server]
        is_late = now - reserved_at > known.turns.store_s
        return is_late or reserved_at <= known.known_at

    def record_send(self, server: str, born: float, now: float) -> None:
        """Use a turn for a request, or for help with one."""
        if not self._known or not self.is_limited(server, born):
            return
        self._known[server].turns.use(self._membership, now)


def _rate_per_s(limit: RateLimit) -> float:
    """Return the requests per second of all instances together."""
    return min(MAX_RATE_PER_S, max(MIN_RATE_PER_S, USED_FRACTION * limit.per_s))


def _store_s(rate_per_s: float) -> float:
    """Return the seconds for which an unused turn stays usable."""
    return max(MIN_STORE_S, STORED_REQUESTS / rate_per_s)


def _log_limited(server: str, limit: RateLimit, source: str) -> list:
    fields = (("server", server), ("per_s", f"{limit.per_s:g}"), ("source", source))
    return [
        LogEvent("info", "server_limited", fields=fields),
        IncrementCounter("route.server_limited"),
    ]


def _log_unlimited(server: str, source: str) -> LogEvent:
    fields = (("server", server), ("source", source))
    return LogEvent("info", "server_unlimited", fields=fields)

"""Cold backend servers, which take few requests from all instances together.

A server is cold while its entry says so, for some time after it has started, and for a
short time after its data centre was evacuated, since its entry may be read later.
"""

from collections.abc import Iterable

from attrs import define, field

from briarrelay_core.membership.rendezvous import unit_hash
from briarrelay_core.ports.cold import MAX_COLD_REPORTS, ColdReport
from briarrelay_core.ports.directory import ServerEntry
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.routes.allowances.turns import Membership, Turns
from briarrelay_core.routes.model import Service

__all__ = ["RETURN_S", "ColdTable"]

USED_FRACTION = 0.9
"""Fraction of the rate that is used; below 1 because instances that join are not known
to all others at once."""

MOST_FRACTION = 1.3
"""Most requests in any second as a fraction of the rate, whatever time each instance
counts its turns from; below the bound of 1.5 because one that joins or leaves changes
which instances have turns at a server."""

STORE_S = 0.3
"""Seconds for which an unused turn stays usable."""

MAX_RESERVE_S = 0.2
"""Seconds after which a request that waited for memory needs another turn."""

RETURN_S = 2.0
"""Seconds after an evacuation for which the servers of the data centre count as cold;
by then each instance has read their entries."""

MAX_STARTS = 4_096
"""Most servers of which the last known start is remembered."""

MIN_EARLIER_S = 0.05
"""Seconds by which a peer must have known of a cold server earlier for its time to be
used; digests take some of it."""


@define(slots=True)
class _Cold:
    """A cold server.

    :param born: start of the server's incarnation.
    :param until: time until which it is cold.
    :param known_at: time at which this instance learnt it.
    :param spaced_until: time before which it gets no further request of this instance,
        which keeps a turn that was used late apart from the next one.
    """

    born: float
    until: float
    turns: Turns
    known_at: float
    spaced_until: float = float("-inf")


@define(slots=True)
class ColdTable:
    """The servers that are cold, with this instance's turns at them.

    :param services: services of the configuration in force, by name.
    :ivar _starts: by name, the ``born`` value of the incarnation that was listed last,
        and the time until which it is cold because it started. It is kept while the
        server is not listed, as in an outage of the store.
    """

    services: dict[str, Service] = field(factory=dict)
    membership: Membership = field(factory=Membership)
    _cold: dict[str, _Cold] = field(factory=dict)
    _starts: dict[str, tuple[float, float]] = field(factory=dict)

    def __bool__(self) -> bool:
        """Whether a server has been cold lately."""
        return bool(self._cold)

    # Observations

    def apply_entry(self, entry: ServerEntry, has_started: bool, now: float) -> list:
        """Apply a server's entry; return effects.

        :param has_started: it is new in the listing, so that it has started unless this
            incarnation was listed before.
        """
        service = self.services.get(entry.service)
        if service is None or service.cold_per_s <= 0:
            return []
        start_s = self._start_remaining_s(
            entry, has_started * service.cold_start_s, now
        )
        return self.mark(entry, max(entry.cold_remaining_s, start_s), now)

    def _start_remaining_s(
        self, entry: ServerEntry, cold_start_s: float, now: float
    ) -> float:
        """Return the seconds for which a server stays cold because it started."""
        born, until = self._starts.pop(entry.name, (None, 0.0))
        if born != entry.born:
            until = now + cold_start_s
        self._starts[entry.name] = entry.born, until
        if len(self._starts) > MAX_STARTS:
            del self._starts[next(iter(self._starts))]
        return until - now

    def mark(self, entry: ServerEntry, cold_s: float, now: float) -> list:
        """Treat a server as cold for some seconds at least; return effects."""
        service = self.services.get(entry.service)
        if cold_s <= 0 or service is None or service.cold_per_s <= 0:
            return []
        return self._set(entry, service.cold_per_s, now + cold_s, now, now)

    def apply_reports(
        self, reports: Iterable[tuple[ColdReport, ServerEntry]], now: float
    ) -> list:
        """Apply a peer's reports, each with the server's entry; return effects."""
        effects = []
        for report, entry in reports:
            service = self.services.get(entry.service)
            if service is None or service.cold_per_s <= 0:
                continue
            since, until = now - report.since_age_s, now + report.remaining_s
            effects += self._set(entry, service.cold_per_s, until, since, now)
        return effects

    def own_reports(self, now: float) -> tuple[ColdReport, ...]:
        """Return the cold servers for a digest, those that became cold last first."""
        if not self._cold:
            return ()
        cold = [
            (-known.turns.since, name)
            for name, known in self._cold.items()
            if known.until > now
        ]
        return tuple(
            ColdReport(
                server=name,
                born=self._cold[name].born,
                remaining_s=self._cold[name].until - now,
                since_age_s=now - self._cold[name].turns.since,
            )
            for _, name in sorted(cold)[:MAX_COLD_REPORTS]
        )

    def _set(
        self, entry: ServerEntry, per_s: float, until: float, since: float, now: float
    ) -> list:
        name, rate_per_s = entry.name, USED_FRACTION * per_s
        known = self._cold.get(name)
        if known is not None and known.born == entry.born and known.until > now:
            known.until = max(known.until, until)
            if since < known.turns.since - MIN_EARLIER_S:
                known.turns.since = since
                known.turns.use_until(now)
            if known.turns.rate_per_s != rate_per_s:
                known.turns.rate_per_s = rate_per_s
                known.turns.most_in_a_second = _most_in_a_second(per_s)
                known.turns.use_until(now)
            return []
        if until <= now:
            return []
        order, most = unit_hash(name, "cold"), _most_in_a_second(per_s)
        turns = Turns(rate_per_s, since, now, order, STORE_S, most)
        self._cold[name] = _Cold(entry.born, until, turns, now)
        fields = (("server", name), ("cold_s", f"{until - now:.2f}"))
        return [
            LogEvent("info", "server_cold", fields=fields),
            IncrementCounter("route.server_cold"),
        ]

    def names(self) -> list[str]:
        """Return the servers that were cold at the last check."""
        return list(self._cold)

    def expire(self, now: float) -> None:
        """Forget the servers that are no longer cold."""
        for name in [n for n, known in self._cold.items() if known.until <= now]:
            del self._cold[name]

    def forget(self, server: str) -> None:
        """Discard what is known of a server that left or restarted."""
        self._cold.pop(server, None)

    # Turns

    def on_members_changed(self, now: float) -> None:
        """Drop the turns so far, which may have been those of another instance."""
        for known in self._cold.values():
            known.turns.use_until(now)

    def is_cold(self, server: str, born: float, now: float) -> bool:
        """Return whether a server is cold."""
        known = self._cold.get(server)
        return known is not None and known.born == born and now < known.until

    def admits_in_s(self, server: str, born: float, now: float) -> float:
        """Return the seconds until a server may get a request of this instance."""
        if not self._cold or not self.is_cold(server, born, now):
            return 0.0
        known = self._cold[server]
        at = max(known.turns.next(self.membership, now), known.spaced_until)
        return max(0.0, min(at, known.until) - now)

    def needs_turn(
        self, server: str, born: float, reserved_at: float, now: float
    ) -> bool:
        """Return whether a request whose memory was reserved needs another turn.

        :param reserved_at: time at which its turn was used, if the server was cold.
        """
        if not self._cold or not self.is_cold(server, born, now):
            return False
        is_late = now - reserved_at > MAX_RESERVE_S
        return is_late or reserved_at <= self._cold[server].known_at

    def period_s(self, server: str) -> float:
        """Return the seconds between two turns of this instance at a cold server."""
        return self._cold[server].turns.period_s(self.membership)

    def record_send(self, server: str, born: float, now: float) -> None:
        """Use a turn for a request, or for help with one."""
        if not self._cold or not self.is_cold(server, born, now):
            return
        self._cold[server].turns.use(self.membership, now)
        self.record_grant(server, born, now)

    def record_grant(self, server: str, born: float, now: float) -> None:
        """Space later requests from one that is sent now, after its turn."""
        if self.is_cold(server, born, now):
            known = self._cold[server]
            known.spaced_until = now + known.turns.period_s(self.membership)


def _most_in_a_second(cold_per_s: float) -> float:
    """Return the most requests in any second at a server that takes a rate."""
    return max(1.0, MOST_FRACTION * cold_per_s)

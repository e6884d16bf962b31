"""Digests between peers, bounded in size, and news of leaving instances."""

from attrs import define

from briarrelay_core.context import Context
from briarrelay_core.membership.rendezvous import ranked
from briarrelay_core.ports.engine import EngineReport
from briarrelay_core.ports.peer import (
    Digest,
    Evidence,
    ReportEntry,
    SendToPeer,
    WorkspaceDemand,
)
from briarrelay_core.ports.platform import LifecycleState

__all__ = ["Gossip"]

PERIOD_S = 1.0
"""Seconds between digests."""

NEAR_FANOUT = 4
"""Most peers of the own data centre that get a digest each period."""

SMALL_FLEET = 5
"""Number of peers up to which every one gets each digest."""

NEWS_TICK_S = 0.1
"""Least seconds between messages that carry nothing but recent sends."""

NEWS_PEER_S = 0.0625
"""Seconds for each peer between such messages, which bounds their cost."""

FAR_PERIODS = 5
"""Periods between digests to another data centre."""

MAX_REPORTS = 32
"""Engine reports in one digest."""

FULL_REPORTS = 8
"""Reports up to which a digest carries every field of each."""

FULL_PERIODS = 8
"""Digests in which each further report comes once with every field."""

MAX_SENDS = 24
"""Recent sends in one digest."""

MAX_DEMANDS = 8
"""Workspaces in one digest, the busiest first."""

MAX_EVIDENCE = 8
"""Changed instances in one digest."""

FRESH_REPORT_S = 10.0
"""Age up to which a report is passed on."""


@define(slots=True)
class Gossip:
    """Sends digests to peers and merges theirs."""

    context: Context
    _turn: int = 0
    _news_at: float = 0.0

    def start(self, now: float) -> None:
        """Begin to send digests."""
        self.context.timers.every(PERIOD_S, self._send, now + PERIOD_S)
        self.context.timers.every(NEWS_TICK_S, self._send_news, now + NEWS_TICK_S)

    def _send_news(self, now: float) -> list:
        """Tell the few peers of a small data centre at once where work went.

        Instances that do not know of each other's latest sends choose the same idle
        engine. In a large data centre each compares other engines, and digests do.
        """
        peers = self.context.entry_peers(now, self.context.identity.data_centre)
        if not peers or len(peers) > SMALL_FLEET:
            return []
        if now - self._news_at < NEWS_PEER_S * len(peers):
            return []
        sends = [s for s in self.context.fleet.recent_sends if s.at > self._news_at]
        if not sends:
            return []
        self._news_at = now
        news = Digest(
            as_of=now,
            revision=self.context.revision,
            draining=self.context.draining,
            demand_rate=round(self.context.total_demand.rate(now), 1),
            sends=tuple(sends[-MAX_SENDS:]),
        )
        return [SendToPeer(peer, news) for peer in peers]

    def _send(self, now: float) -> list:
        self._turn += 1
        here = self.context.identity.data_centre
        near = self.context.entry_peers(now, here)
        if len(near) > SMALL_FLEET:
            turn = f"{self.context.identity.name}:{self._turn}"
            near = ranked(turn, near)[:1]
        targets = near[:NEAR_FANOUT]
        if self._turn % FAR_PERIODS == 0:
            far = set(self.context.entry_peers(now)) - set(
                self.context.entry_peers(now, here)
            )
            targets = targets + ranked(f"far:{self._turn}", sorted(far))[:1]
        if not targets:
            return []
        digest = self.digest(now)
        return [SendToPeer(peer, digest) for peer in targets]

    def digest(self, now: float) -> Digest:
        """Return what this instance knows that is new."""
        context = self.context
        rates = context.limits.local_demand(now)
        busiest = sorted(rates, key=lambda name: (-rates[name], name))[:MAX_DEMANDS]
        return Digest(
            as_of=now,
            revision=context.revision,
            draining=context.draining,
            demand_rate=round(context.total_demand.rate(now), 1),
            sends=self._recent_sends(now),
            evidence=context.membership.recent_evidence(now, MAX_EVIDENCE),
            reports=self._reports(now),
            demands=tuple(
                WorkspaceDemand(name, round(rates[name], 1)) for name in busiest
            ),
        )

    def _reports(self, now: float) -> tuple[ReportEntry, ...]:
        """Return the newest reports; most go without what seldom changes."""
        fleet = self.context.fleet
        entries = fleet.report_entries(now - FRESH_REPORT_S, MAX_REPORTS)
        if len(entries) <= FULL_REPORTS:
            return entries
        return tuple(
            entry
            if (index + self._turn) % FULL_PERIODS == 0
            else entry.without_static_fields()
            for index, entry in enumerate(entries)
        )

    def _recent_sends(self, now: float) -> tuple:
        sends = list(self.context.fleet.recent_sends)[-MAX_SENDS:]
        return tuple(send for send in sends if send.at > now - 2 * PERIOD_S)

    def on_digest(self, peer: str, incarnation: int, digest: Digest, now: float):
        """Merge a peer's digest.

        :returns: names of instances whose state advanced.
        """
        context = self.context
        context.peer_demand[peer] = (digest.demand_rate, now)
        for entry in digest.reports:
            report = self._to_report(entry)
            if report is not None:
                context.fleet.apply_report(report, now)
        context.fleet.record_peer_sends(peer, digest.sends, now)
        demands = {entry.workspace: entry.rate for entry in digest.demands}
        context.limits.set_peer_demand(peer, demands, now)
        evidence = list(digest.evidence)
        if digest.draining:
            evidence.append(Evidence(peer, incarnation, LifecycleState.LEAVING.value))
        return self.merge(evidence, now)

    def merge(self, evidence: list[Evidence], now: float) -> list[str]:
        """Merge evidence; return the names of instances whose state advanced."""
        return [
            item.name
            for item in evidence
            if self.context.membership.observe(
                item.name, item.incarnation, LifecycleState(item.state), now
            )
        ]

    def broadcast(self, now: float) -> list:
        """Tell every peer of the own data centre at once, on first-hand evidence."""
        peers = self.context.entry_peers(now, self.context.identity.data_centre)
        digest = self.digest(now)
        return [SendToPeer(peer, digest) for peer in peers]

    def _to_report(self, entry: ReportEntry) -> EngineReport | None:
        """Return a report; what it goes without is taken from the one before."""
        known = self.context.fleet.view(entry.engine).report
        full = entry if entry.rate > 0 else known
        if full is None:
            return None
        return EngineReport(
            engine=entry.engine,
            as_of=entry.as_of,
            queued=(entry.queued_short, entry.queued_medium, entry.queued_long),
            decoding=entry.decoding,
            memory_free=entry.memory_free,
            memory_total=full.memory_total,
            rate=full.rate,
            step_s=full.step_s,
            models=full.models,
        )

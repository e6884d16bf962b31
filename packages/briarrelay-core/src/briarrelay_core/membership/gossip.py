"""Gossip between peers: digests of load and of instance states, bounded in size."""

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

DIGEST_PERIOD_S = 1.0
"""Seconds between digests."""

LOCAL_FANOUT = 4
"""Maximum peers of the own data centre that get a digest each period."""

BROADCAST_MAX_PEERS = 5
"""Local peers up to which digests are broadcast; with more, each goes to one peer."""

RECENT_SENDS_TICK_S = 0.1
"""Minimum seconds between reduced digests, which carry sends but no reports."""

RECENT_SENDS_PERIOD_PER_PEER_S = 0.0625
"""Seconds per local peer between reduced digests, which bounds their cost."""

REMOTE_DIGEST_PERIODS = 5
"""Periods between digests to a peer of another data centre."""

MAX_REPORTS = 32
"""Maximum engine reports in one digest."""

MAX_FULL_REPORTS = 8
"""Number of reports up to which a digest carries every field of each."""

FULL_REPORT_PERIODS = 8
"""Number of periods in which each report is sent once with every field.

Applies to digests with more than ``MAX_FULL_REPORTS`` reports.
"""

MAX_SENDS = 24
"""Maximum recent sends in one digest."""

MAX_DEMANDS = 8
"""Maximum workspaces in one digest, the busiest first."""

MAX_EVIDENCE = 8
"""Maximum state changes of instances in one digest."""

MAX_REPORT_AGE_S = 10.0
"""Age in seconds up to which an engine report is passed on."""


@define(slots=True)
class Gossip:
    """Sends digests to peers and merges the digests they send."""

    context: Context
    _round: int = 0
    _sends_broadcast_at: float = 0.0

    def start(self, now: float) -> None:
        """Start to send digests periodically."""
        self.context.timers.every(
            DIGEST_PERIOD_S, self._send_digest, now + DIGEST_PERIOD_S
        )
        self.context.timers.every(
            RECENT_SENDS_TICK_S, self._broadcast_recent_sends, now + RECENT_SENDS_TICK_S
        )

    def _broadcast_recent_sends(self, now: float) -> list:
        """Send a reduced digest with recent sends to the peers of a small data centre.

        Instances that lack each other's latest sends choose the same idle engine. In a
        large data centre each instance compares different engines, so the sends in
        the periodic digests are enough.
        """
        peers = self.context.entry_peers(now, self.context.identity.data_centre)
        if not peers or len(peers) > BROADCAST_MAX_PEERS:
            return []
        if now - self._sends_broadcast_at < RECENT_SENDS_PERIOD_PER_PEER_S * len(peers):
            return []
        sends = [
            s
            for s in self.context.fleet.recent_sends
            if s.at > self._sends_broadcast_at
        ]
        if not sends:
            return []
        self._sends_broadcast_at = now
        sends_digest = Digest(
            as_of=now,
            revision=self.context.revision,
            draining=self.context.draining,
            demand_rate=round(self.context.total_demand.rate(now), 1),
            sends=tuple(sends[-MAX_SENDS:]),
        )
        return [SendToPeer(peer, sends_digest) for peer in peers]

    def _send_digest(self, now: float) -> list:
        """Send a digest to local peers and, in some periods, to one remote peer."""
        self._round += 1
        own_data_centre = self.context.identity.data_centre
        local_peers = self.context.entry_peers(now, own_data_centre)
        if len(local_peers) > BROADCAST_MAX_PEERS:
            ranking_key = f"{self.context.identity.name}:{self._round}"
            targets = ranked(ranking_key, local_peers)[:1]
        else:
            targets = self._rotate(local_peers)[:LOCAL_FANOUT]
        if self._round % REMOTE_DIGEST_PERIODS == 0:
            remote_peers = set(self.context.entry_peers(now)) - set(
                self.context.entry_peers(now, own_data_centre)
            )
            targets = targets + ranked(f"far:{self._round}", sorted(remote_peers))[:1]
        if not targets:
            return []
        digest = self.make_digest(now)
        return [SendToPeer(peer, digest) for peer in targets]

    def _rotate(self, peers: list[str]) -> list[str]:
        """Return the peers, beginning with another one each period."""
        start = self._round % len(peers) if peers else 0
        return [*peers[start:], *peers[:start]]

    def make_digest(self, now: float) -> Digest:
        """Return a digest of this instance's load and its latest observations."""
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
        """Return the newest engine reports.

        Above ``MAX_FULL_REPORTS``, most reports omit the fields that rarely change.
        """
        fleet = self.context.fleet
        entries = fleet.report_entries(now - MAX_REPORT_AGE_S, MAX_REPORTS)
        if len(entries) <= MAX_FULL_REPORTS:
            return entries
        return tuple(
            entry
            if (index + self._round) % FULL_REPORT_PERIODS == 0
            else entry.without_static_fields()
            for index, entry in enumerate(entries)
        )

    def _recent_sends(self, now: float) -> tuple:
        sends = list(self.context.fleet.recent_sends)[-MAX_SENDS:]
        return tuple(send for send in sends if send.at > now - 2 * DIGEST_PERIOD_S)

    def on_digest(self, peer: str, incarnation: int, digest: Digest, now: float):
        """Merge a peer's digest.

        :param incarnation: incarnation of the peer.
        :returns: names of instances whose state advanced.
        """
        context = self.context
        context.peer_demand[peer] = (digest.demand_rate, now)
        for entry in digest.reports:
            report = self._complete_report(entry)
            if report is not None:
                context.fleet.apply_report(report, now)
        context.fleet.record_peer_sends(peer, digest.sends, now)
        demands = {entry.workspace: entry.rate for entry in digest.demands}
        context.limits.set_peer_demand(peer, demands, now)
        evidence = list(digest.evidence)
        if digest.draining:
            evidence.append(Evidence(peer, incarnation, LifecycleState.LEAVING.value))
        return self.merge_evidence(evidence, now)

    def merge_evidence(self, evidence: list[Evidence], now: float) -> list[str]:
        """Merge evidence; return the names of instances whose state advanced."""
        return [
            item.name
            for item in evidence
            if self.context.membership.observe(
                item.name, item.incarnation, LifecycleState(item.state), now
            )
        ]

    def broadcast(self, now: float) -> list:
        """Send a digest to every peer of the own data centre at once.

        Called when this instance itself observes that an instance is leaving.
        """
        peers = self.context.entry_peers(now, self.context.identity.data_centre)
        digest = self.make_digest(now)
        return [SendToPeer(peer, digest) for peer in peers]

    def _complete_report(self, entry: ReportEntry) -> EngineReport | None:
        """Return the engine report of a digest's entry.

        Fields that the entry omits come from the last report of the engine.

        :returns: None if the entry omits fields and there is no earlier report.
        """
        last_report = self.context.fleet.view(entry.engine).report
        # The rate is 0 in an entry without the static fields.
        static_fields = entry if entry.rate > 0 else last_report
        if static_fields is None:
            return None
        return EngineReport(
            engine=entry.engine,
            as_of=entry.as_of,
            queued=(entry.queued_short, entry.queued_medium, entry.queued_long),
            decoding=entry.decoding,
            memory_free=entry.memory_free,
            memory_total=static_fields.memory_total,
            rate=static_fields.rate,
            step_s=static_fields.step_s,
            models=static_fields.models,
        )

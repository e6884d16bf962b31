"""Keeps the configuration up to date from the log, its snapshots and peers."""

from attrs import define, field

from briarrelay_core.agreement.changes import (
    CONFIG_STREAM,
    SNAPSHOT_STREAM,
    ChangeKind,
    ChangeRecord,
    ConfigurationFold,
    Verdict,
)
from briarrelay_core.agreement.logtail import NEWEST, LogTail
from briarrelay_core.context import Context
from briarrelay_core.mappings import MappingError
from briarrelay_core.membership.rendezvous import ranked
from briarrelay_core.ports.log import LogRead, LogRecord, ReadLog
from briarrelay_core.ports.peer import FetchRevision, RevisionSnapshot, SendToPeer
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent

__all__ = ["RevisionManager"]

SNAPSHOT_INTERVAL_RECORDS = 100
"""Records since the latest snapshot after which another is due."""

MAX_SNAPSHOT_AGE_S = 3_600.0
"""Age of the latest snapshot after which another is due if there are new records."""

SNAPSHOT_STAGGER_S = 5.0
"""Delay per rank with which an instance writes a due snapshot; rank 0 has none."""

PEER_QUERY_INTERVAL_S = 2.0
"""Interval between queries to peers while the log does not respond."""

PEER_QUERY_FANOUT = 3
"""Number of peers queried at a time; the highest revision returned is used."""


@define(slots=True)
class RevisionManager:
    """Follows the configuration stream and puts each revision in force.

    The revision only increases. After a start, no revision is in force until the end
    of the stream was reached or a peer has sent its revision: one from the middle of
    the stream would revert newer changes.

    :param fold: configuration and verdicts derived from the records read so far.
    :param tail: reads the configuration stream of the log.
    :param in_force_since: time at which the revision was put in force, in seconds.
    :ivar _snapshot_due_at: time at which this instance writes the due snapshot, None
        if none is due.
    """

    context: Context
    fold: ConfigurationFold = field(factory=ConfigurationFold)
    tail: LogTail | None = None
    in_force_since: float = 0.0
    _snapshot_due_at: float | None = None
    _reading_snapshot: bool = False

    def __attrs_post_init__(self):
        self.tail = LogTail(
            CONFIG_STREAM, self.context.timers, self._consume, on_gap=self._on_gap
        )

    @property
    def has_revision(self) -> bool:
        """Whether a revision is in force."""
        return self.context.configuration is not None

    def start(self, now: float) -> list:
        """Read the newest snapshot, then the records that follow it."""
        self.context.timers.every(PEER_QUERY_INTERVAL_S, self._query_peers, now + 0.2)
        self.context.timers.every(1.0, self._check_snapshot, now + 1.0)
        return self._read_snapshot(now)

    def _read_snapshot(self, now: float) -> list:
        self._reading_snapshot = True
        return [ReadLog(SNAPSHOT_STREAM, NEWEST)]

    def on_snapshot_read(self, message: LogRead, now: float) -> list:
        """Install the newest snapshot, if any, and read the stream from there on."""
        self._reading_snapshot = False
        if message.failed:
            self.context.timers.at(now + 1.0, self._read_snapshot)
            return [IncrementCounter("log.read_failed.snapshots")]
        effects = []
        for record in message.records:
            effects += self._install_snapshot(record.body)
        return effects + self.tail.seek(self.fold.next_offset, now)

    def _install_snapshot(self, body: str) -> list:
        try:
            self.fold.install_snapshot(body)
        except (MappingError, ValueError) as error:
            return [
                LogEvent("error", "snapshot_bad", fields=(("problem", str(error)),))
            ]
        return []

    def _on_gap(self, now: float) -> list:
        """Read the newest snapshot again, to cover the records that the log trimmed."""
        self.context.timers.at(now + 1.0, self._read_snapshot)
        return [IncrementCounter("config.gap")]

    def _consume(self, records: tuple[LogRecord, ...], now: float) -> list:
        effects = []
        for record in records:
            bad_before = self.fold.bad_records
            verdict = self.fold.apply(record)
            if verdict is not None:
                effects += self._record_verdict(verdict, now)
            if self.fold.bad_records > bad_before:
                effects.append(IncrementCounter("config.bad_record"))
        return effects

    def put_in_force_if_caught_up(self, now: float) -> list:
        """Put the latest revision in force if the end of the stream was reached."""
        return self._put_in_force(now) if self.tail.caught_up else []

    def _record_verdict(self, verdict: Verdict, now: float) -> list:
        outcome = "accepted" if verdict.accepted else "rejected"
        why = (
            f"{verdict.kind.value} by {verdict.author} on revision {verdict.base}",
            verdict.problem or f"revision {verdict.revision}",
        )
        return [
            IncrementCounter(f"config.{outcome}"),
            *self.context.record_event(now, "change", verdict.id, "", outcome, why),
        ]

    def _put_in_force(self, now: float) -> list:
        if self.fold.configuration is None:
            return []
        if self.fold.revision <= self.context.revision:
            return []
        self.context.configuration = self.fold.configuration
        self.context.workspace_by_key_hash = (
            self.fold.configuration.workspaces_by_key_hash()
        )
        self.context.revision = self.fold.revision
        self.in_force_since = now
        fields = (
            ("revision", str(self.fold.revision)),
            ("preset", self.fold.configuration.preset),
        )
        return [LogEvent("info", "revision_in_force", fields=fields)]

    def _query_peers(self, now: float) -> list:
        """Query peers for their revision if the log may not provide the latest one.

        That is the case while the log cannot be read, and after a start until a
        revision is in force or the end of the stream was reached. The time in the
        ranking key makes successive queries go to different peers.
        """
        if self.has_revision and self.tail.down_since is None:
            return []
        if not self.has_revision and self.tail.caught_up:
            return []
        ranking_key = f"{self.context.identity.name}:{now:.0f}"
        peers = ranked(ranking_key, self.context.entry_peers(now))[:PEER_QUERY_FANOUT]
        request = FetchRevision(self.context.revision)
        return [SendToPeer(peer, request) for peer in peers]

    def on_fetch(self, peer: str, message: FetchRevision) -> list:
        """Send a peer the revision in force if it is newer than the peer's."""
        if not self.has_revision or self.context.revision <= message.known:
            return []
        body = self.fold.to_snapshot()
        snapshot = RevisionSnapshot(self.fold.revision, self.fold.next_offset, body)
        return [SendToPeer(peer, snapshot)]

    def on_peer_revision(self, peer: str, revision: int) -> list:
        """Request a peer's revision if it is newer than the one in force."""
        if revision <= self.context.revision:
            return []
        return [SendToPeer(peer, FetchRevision(self.context.revision))]

    def on_peer_snapshot(self, message: RevisionSnapshot, now: float) -> list:
        """Put a peer's revision in force if it is newer.

        Reading the log then continues after the records that the snapshot covers.
        """
        effects = self._install_snapshot(message.body)
        effects += self._put_in_force(now)
        if self.fold.next_offset > self.tail.next_offset:
            if not self._reading_snapshot:
                effects += self.tail.seek(self.fold.next_offset, now)
        return effects

    def _check_snapshot(self, now: float) -> list:
        """Write a snapshot when one is due and this instance's delay has passed.

        The delay grows with the rank, so that usually one instance alone writes.
        """
        if not self._is_snapshot_due(now):
            self._snapshot_due_at = None
            return []
        if self._snapshot_due_at is None:
            peers = self.context.entry_peers(now)
            name = self.context.identity.name
            order = ranked(f"snapshot:{self.fold.snapshot_covers}", [name, *peers])
            self._snapshot_due_at = now + SNAPSHOT_STAGGER_S * order.index(name)
        if now < self._snapshot_due_at:
            return []
        self._snapshot_due_at = now + 60.0
        return self._write_snapshot(now)

    def _is_snapshot_due(self, now: float) -> bool:
        if self.fold.configuration is None or not self.tail.caught_up:
            return False
        uncovered_records = self.fold.next_offset - self.fold.snapshot_covers
        # The announcement of the latest snapshot is itself one uncovered record.
        is_old = (
            now - self.fold.snapshot_at > MAX_SNAPSHOT_AGE_S and uncovered_records > 1
        )
        return uncovered_records >= SNAPSHOT_INTERVAL_RECORDS or is_old

    def _write_snapshot(self, now: float) -> list:
        covers = self.fold.next_offset
        name = self.context.identity.name
        announcement = ChangeRecord(
            id=f"snapshot-{covers}-{name}",
            kind=ChangeKind.SNAPSHOT,
            author=name,
            base=self.fold.revision,
            at=now,
            covers=covers,
        )
        outbox = self.context.outbox
        effects = outbox.add(SNAPSHOT_STREAM, self.fold.to_snapshot(), now)
        effects += outbox.add(CONFIG_STREAM, announcement.to_json(), now)
        return [IncrementCounter("config.snapshot"), *effects]

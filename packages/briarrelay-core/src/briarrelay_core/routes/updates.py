"""Applies updates of configuration, presets, servers and peer addresses.

Updates come from the topics of the platform's store and from the responses of peers.
"""

from collections.abc import Callable
from enum import Enum
from math import isfinite

from attrs import define, field

from briarrelay_core.ports.digest import PeerResponse
from briarrelay_core.ports.directory import (
    EntryPublished,
    PeerAddress,
    PresetsReplaced,
    PublishEntry,
    ServerEntry,
    Topic,
    TopicChange,
    TopicExpired,
    TopicFailed,
    TopicListed,
    TopicPolled,
    TopicRead,
)
from briarrelay_core.ports.evacuation import Evacuation
from briarrelay_core.ports.position import EraPosition
from briarrelay_core.ports.quarantine import QuarantineWritten
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.record.record import Entry
from briarrelay_core.routes.admission import RouteAdmission
from briarrelay_core.routes.allowances.cold import ColdTable
from briarrelay_core.routes.allowances.evacuationhandler import EvacuationHandler
from briarrelay_core.routes.controller import RequestController
from briarrelay_core.routes.follower import MAX_SKIP_S, TopicFollower
from briarrelay_core.routes.model import RouteConfiguration
from briarrelay_core.routes.peers import PeerExchange
from briarrelay_core.routes.presetrestorer import PresetRestorer
from briarrelay_core.routes.presets import PresetCollection
from briarrelay_core.routes.quarantinekeeper import QuarantineKeeper
from briarrelay_core.routes.servers import REREGISTER_S
from briarrelay_core.routes.storeera import StoreEra
from briarrelay_core.routes.storereads import StoreReads, read_interval_s
from briarrelay_core.timers import TimerService

__all__ = ["Source", "UpdateHandler"]

CONFIGURATION_WAIT_S = 8.0
"""Seconds that a long poll of the configuration waits; each read is charged. Multiplied
by the size factor, since peers announce newer versions; below the store's limit of 30
at its maximum."""

ENTRIES_PAUSE_S = 30.0
"""Seconds between reads of the entries topic, multiplied by the size factor; digests
announce new instances sooner."""

PRESETS_WAIT_S = 25.0
"""Seconds that a long poll of the presets waits, below the store's limit of 30. Changes
are answered at once, and peers announce newer presets meanwhile."""

STALE_AFTER_S = 2.0
"""Seconds by which the response to a read may be overdue before the data may be out of
date."""

RENEWAL_WAIT_S = 4.0
"""Seconds within which a server that is missing from a copy, to which the store has
returned, writes its entry again and the entry is read, also if the store is slow."""

PUBLISH_PAUSE_S = 1.0
"""Seconds between attempts to register this instance."""


class Source(Enum):
    """How a configuration or presets were learnt, as logs and the record name it.

    ``LISTING``, ``READ`` and ``CHECK`` are responses of the store: to a listing, to a
    long poll, and to a read beside a long poll.
    """

    LISTING = "listing"
    READ = "read"
    CHECK = "check"
    PEER = "peer"
    RESTORED = "restored"


def _make_followers(
    timers: TimerService, interval_s: float
) -> dict[Topic, TopicFollower]:
    return {
        Topic.CONFIGURATION: TopicFollower(
            Topic.CONFIGURATION,
            timers,
            0.0,
            CONFIGURATION_WAIT_S,
            last_type=RouteConfiguration,
        ),
        Topic.SERVERS: TopicFollower(Topic.SERVERS, timers, interval_s, 0.0),
        Topic.ENTRIES: TopicFollower(Topic.ENTRIES, timers, ENTRIES_PAUSE_S, 0.0),
        Topic.PRESETS: TopicFollower(Topic.PRESETS, timers, 0.0, PRESETS_WAIT_S),
    }


@define(slots=True, eq=False)
class UpdateHandler:
    """Follows the platform's topics, and applies their updates and those of peers.

    :param news_s: seconds within which a leaving server must get no new requests.
    :param apply_s: seconds within which an accepted configuration must be in force.
    :param on_store_returned: called with the time when the store has returned to a
        copy; returns effects.
    :ivar restorer: writes the presets in force again if the store has older ones.
    :ivar evacuations: applies what operators ask for data centres.
    :ivar reads: shares the reads of the store with the peers.
    :ivar keeper: keeps the quarantined contents in the store.
    :ivar _query_count: number of queries to peers while reads of the store fail.
    :ivar _has_listed_servers: servers that are new from now on have started since.
    :ivar _logged_problems: by topic and key, the last logged problem of an entry that
        is used in spite of it.
    """

    controller: RequestController
    peers: PeerExchange
    timers: TimerService
    news_s: float
    apply_s: float
    on_store_returned: Callable[[float], list] = lambda now: []
    era: StoreEra = field(factory=StoreEra)
    restorer: PresetRestorer = field(init=False)
    keeper: QuarantineKeeper = field(init=False)
    evacuations: EvacuationHandler = field(init=False)
    followers: dict[Topic, TopicFollower] = field(init=False)
    reads: StoreReads = field(init=False)
    _query_count: int = 0
    _has_listed_servers: bool = False
    _logged_problems: dict[tuple[Topic, str], str] = field(factory=dict)

    def __attrs_post_init__(self):
        interval_s = read_interval_s(self.news_s, self.apply_s)
        self.followers = _make_followers(self.timers, interval_s)
        self.reads = StoreReads(self.followers, self.peers, self.era, interval_s)
        self.restorer = PresetRestorer(
            self.admission,
            self.followers[Topic.PRESETS],
            self.era,
            self.timers,
            self.peers.rank,
        )
        self.evacuations = EvacuationHandler(
            self.controller.servers, self._cold, self.controller.recorder
        )
        self.keeper = QuarantineKeeper(
            self.controller.quarantine, self.era, self.timers, self.peers.rank
        )

    @property
    def admission(self) -> RouteAdmission:
        """Admission, which holds the configuration and the presets in force."""
        return self.controller.admission

    def start(self, now: float) -> list:
        """Start to follow the topics, and register this instance."""
        effects = []
        for follower in self.followers.values():
            effects += follower.start(now)
        effects += self.keeper.start(now)
        return [*effects, PublishEntry(self.peers.address, True)]

    def observe_era(self, era: int | None, now: float) -> list:
        """Handle the era of a response of the store.

        If it has returned to a copy, list all topics again, and write again what this
        instance keeps there.
        """
        is_new, effects = self.era.observe(era, now)
        if not is_new:
            return effects
        for follower in self.followers.values():
            effects += follower.restart()
        effects += self.keeper.restart()
        self.reads.on_new_era()
        effects.append(PublishEntry(self.peers.address, True))
        return effects + self.on_store_returned(now)

    def _observe_response(self, message, now: float) -> list:
        """Handle the era of a response, unless its request was sent in an earlier one.

        Such a response may arrive after the store has returned to a copy.
        """
        is_quarantine = message.topic is Topic.QUARANTINE
        source = self.keeper if is_quarantine else self.followers[message.topic]
        is_current = message.generation == source.generation
        is_later = message.era is not None and message.era > self.era.value
        return self.observe_era(message.era, now) if is_current or is_later else []

    def on_listed(self, message: TopicListed, now: float) -> list:
        """Apply a page of a topic's listing."""
        effects = self._observe_response(message, now)
        if message.topic is Topic.QUARANTINE:
            return effects + self.keeper.on_listed(message, now)
        follower = self.followers[message.topic]
        is_complete = message.generation == follower.generation and not (
            message.has_more and message.changes
        )
        changes, follow_up = follower.on_listed(message, now)
        effects += follow_up + self._apply(message, changes, Source.LISTING, now)
        if is_complete and message.topic is Topic.SERVERS:
            self._has_listed_servers = True
            self.reads.on_listed(message.end, now)
        if is_complete:
            self._confirm_read(message, follower.next_offset)
        if is_complete and message.topic is Topic.CONFIGURATION:
            end = EraPosition(self._era_of(message), follower.next_offset)
            evacuations = self.controller.servers.evacuations
            effects += evacuations.apply_listing(follower.known_keys, end, now)
        return effects + self._on_topic_read(message.topic, now)

    def _era_of(self, message) -> int:
        """Return the era in which the store gave a response."""
        return self.era.value if message.era is None else message.era

    def on_read(self, message: TopicRead, now: float) -> list:
        """Apply the changes that a read returned."""
        effects = self._observe_response(message, now)
        changes, follow_up = self.followers[message.topic].on_read(message, now)
        effects += follow_up + self._apply(message, changes, Source.READ, now)
        self._confirm_read(message, message.end)
        return effects + self._on_topic_read(message.topic, now)

    def _confirm_read(self, message, end: int | None) -> None:
        """Record up to where the store has been read, so that older reports are known.

        :param end: offset after the last record, None if it is unknown.
        """
        is_current = message.generation == self.followers[message.topic].generation
        if not is_current or end is None:
            return
        position = EraPosition(self._era_of(message), end)
        servers = self.controller.servers
        if message.topic is Topic.SERVERS:
            servers.confirm_registered(position)
        elif message.topic is Topic.CONFIGURATION:
            servers.evacuations.record_read(position)
        elif message.topic is Topic.ENTRIES:
            known_keys = self.followers[Topic.ENTRIES].known_keys
            self.peers.forget_unregistered(known_keys)

    def _on_topic_read(self, topic: Topic, now: float) -> list:
        if topic is Topic.PRESETS:
            return self.restorer.check(now)
        return self.reads.on_response(topic, now)

    def on_polled(self, message: TopicPolled, now: float) -> list:
        """Apply changes that were read beside another read."""
        effects = self._observe_response(message, now)
        changes, follow_up = self.followers[message.topic].on_polled(message, now)
        self.update_staleness(now)
        effects += self._apply(message, changes, Source.CHECK, now) + follow_up
        self._confirm_read(message, message.end)
        return effects + self._on_topic_read(message.topic, now)

    def on_expired(self, message: TopicExpired, now: float) -> list:
        """List a topic again, since the store has not the records to read next."""
        effects = self._observe_response(message, now)
        return effects + self.followers[message.topic].on_expired(message, now)

    def on_failed(self, message: TopicFailed, now: float) -> list:
        """Retry a failed read, and query a peer if configuration or servers are
        unknown.
        """
        if message.topic is Topic.QUARANTINE:
            return self.keeper.on_failed(message, now)
        effects = self.followers[message.topic].on_failed(message, now)
        if not self.admission.configuration or not len(self.controller.servers):
            self._query_count += 1
            effects += self.peers.query_any_peer(self._query_count)
        return effects

    def on_published(self, message: EntryPublished, now: float) -> list:
        """Schedule another registration if one failed, or was undone since."""
        is_undone = message.era is not None and message.era < self.era.value
        if not message.is_done or is_undone:
            self.timers.at(
                now + PUBLISH_PAUSE_S,
                lambda _: [PublishEntry(self.peers.address, True)],
            )
        is_unanswered = message.era is None and not message.is_done
        if is_undone or is_unanswered:
            return []
        return self.observe_era(message.era, now)

    def on_presets_replaced(self, message: PresetsReplaced, now: float) -> list:
        """Handle the response to an attempt to write the presets again."""
        effects = []
        if message.era is not None and message.era >= self.era.value:
            effects = self.observe_era(message.era, now)
        if message.is_done and message.collection.era == self.era.value:
            effects += self.apply_presets(message.collection, Source.RESTORED, now)
        return effects + self.restorer.on_replaced(message, now)

    def on_quarantine_written(self, message: QuarantineWritten, now: float) -> list:
        """Handle the response to a write of a quarantined content, or its deletion."""
        effects = []
        if message.era is not None and message.era >= self.era.value:
            effects = self.observe_era(message.era, now)
        return effects + self.keeper.on_written(message, now)

    def on_peer_response(self, message: PeerResponse, now: float) -> list:
        """Apply what a peer returned.

        Configuration and presets are applied if they are newer than those in force,
        servers only while the servers topic has not been listed yet. What the peer knew
        first should have come from the store, so the long poll may be dead.
        """
        effects = self.peers.on_response(message)
        for change in message.changes:
            value = change.value
            if isinstance(value, RouteConfiguration):
                applied = self.apply_configuration(value, Source.PEER, now)
                if applied:
                    applied += self.followers[Topic.CONFIGURATION].repeat_read(now)
                effects += applied
            elif isinstance(value, PresetCollection):
                applied = self.apply_presets(value, Source.PEER, now)
                if applied:
                    applied += self.followers[Topic.PRESETS].repeat_read(now)
                effects += applied
            elif isinstance(value, ServerEntry):
                follower = self.followers[Topic.SERVERS]
                if not follower.is_listed:
                    follower.add_known_key(value.name)
                    effects += self._apply_server(value, now)
        return effects

    def mark_stale(self) -> None:
        """Treat all data from the store as stale, after the process was suspended."""
        for follower in self.followers.values():
            follower.mark_stale()
        # its age, by a clock that stood, would seem small to peers
        self.peers.directory_at = float("-inf")

    def update_staleness(self, now: float) -> None:
        """Update whether the configuration may be out of date."""
        follower = self.followers[Topic.CONFIGURATION]
        factor = self.controller.selector.size_factor = self.peers.size_factor
        follower.wait_s = CONFIGURATION_WAIT_S * factor
        self.followers[Topic.ENTRIES].pause_s = ENTRIES_PAUSE_S * factor
        self.followers[Topic.SERVERS].max_skip_s = MAX_SKIP_S * factor
        self.admission.may_be_stale = follower.may_be_stale(now, STALE_AFTER_S)

    def _apply(
        self, message, changes: list[TopicChange], source: Source, now: float
    ) -> list:
        """Apply changes that a response of the store holds."""
        topic, effects = message.topic, []
        for change in changes:
            effects += self._report_problem(topic, change)
            if change.problem and change.value is None:
                continue
            if topic is Topic.SERVERS:
                if self.controller.servers.is_change(change):
                    self.reads.record_change(change.position)
                effects += self._apply_server_change(change, now)
            elif isinstance(change.value, Evacuation):
                position = EraPosition(self._era_of(message), change.position)
                effects += self.evacuations.apply(change, position, now)
            elif topic is Topic.CONFIGURATION and change.value is not None:
                effects += self.apply_configuration(change.value, source, now)
            elif topic is Topic.PRESETS and change.value is not None:
                self.restorer.stored = change.value
                effects += self.apply_presets(change.value, source, now)
            elif topic is Topic.PRESETS:
                self.restorer.stored = None
            elif topic is Topic.ENTRIES:
                self._apply_entry(change)
        return effects

    def _report_problem(self, topic: Topic, change: TopicChange) -> list:
        """Count an invalid record.

        It is logged unless the entry is used and was logged with this problem before,
        since servers renew their entries often.
        """
        key = topic, change.key
        if not change.problem:
            if self._logged_problems:
                self._logged_problems.pop(key, None)
            return []
        counter = IncrementCounter("store.entry_bad")
        if change.value is not None:
            if self._logged_problems.get(key) == change.problem:
                return [counter]
            self._logged_problems[key] = change.problem
        fields = (
            ("topic", topic.value),
            ("key", change.key),
            ("problem", change.problem),
        )
        return [LogEvent("warning", "entry_bad", fields=fields), counter]

    @property
    def _cold(self) -> ColdTable:
        return self.controller.observations.allowances.cold

    def _apply_server_change(self, change: TopicChange, now: float) -> list:
        servers = self.controller.servers
        if change.value is not None:
            if change.is_from_copy and servers.is_gone(change.value):
                return []  # written before the server left
            return self._apply_server(change.value, now)
        if change.is_from_copy:
            return servers.await_renewal(change.key, now + RENEWAL_WAIT_S)
        follower = self.followers[Topic.SERVERS]
        reregister_until = follower.recovered_at + REREGISTER_S
        return servers.remove(change.key, reregister_until, now)

    def _apply_server(self, entry: ServerEntry, now: float) -> list:
        is_new, effects = self.controller.servers.apply(entry, now)
        if is_new:
            self.controller.observations.forget(entry.name)
            quarantine = self.controller.quarantine
            effects += quarantine.record_start(entry.name, entry.born, now)
        has_started = is_new and self._has_listed_servers
        return effects + self._cold.apply_entry(entry, has_started, now)

    def _apply_entry(self, change: TopicChange) -> None:
        if isinstance(change.value, PeerAddress):
            self.peers.add(change.value)
        elif not change.is_from_copy:
            self.peers.remove(change.key)

    def apply_configuration(
        self, configuration: RouteConfiguration, source: Source, now: float
    ) -> list:
        """Put a configuration in force if it is newer than the current one."""
        old = self.admission.configuration
        if old is not None and configuration.version <= old.version:
            return []
        self.admission.configuration = configuration
        self.peers.version = configuration.version
        self._cold.services = configuration.services
        fields = (
            ("version", str(configuration.version)),
            ("before", str(old.version) if old else ""),
            ("source", source.value),
            ("unheard_s", self._unheard_text(Topic.CONFIGURATION, now)),
            ("routes", str(len(configuration.routes))),
            ("workspaces", str(len(configuration.holders))),
        )
        self._record_change(f"configuration-{configuration.version}", source.value, now)
        effects = [LogEvent("info", "configuration_in_force", fields=fields)]
        if old is None:
            # The entries of servers may have been read before.
            for entry in self.controller.servers.entries():
                effects += self._cold.apply_entry(entry, False, now)
        for service in configuration.services.values():
            if service.problem:
                fields = (("service", service.name), ("problem", service.problem))
                effects += [
                    LogEvent("warning", "service_bad", fields=fields),
                    IncrementCounter("store.service_bad"),
                ]
        return effects + self.peers.on_changed(now)

    def apply_presets(self, new: PresetCollection, source: Source, now: float) -> list:
        """Put presets in force if they are newer than the current ones."""
        old = self.admission.preset_collection
        if new.position <= old.position:
            return []
        self.admission.preset_collection = new
        self.controller.budget.preset_ratio = new.in_force.retry_ratio
        self.peers.presets = new.position
        if new.with_era(old.era) == old:
            fields = (("revision", str(new.revision)), ("era", str(new.era)))
            return [LogEvent("info", "presets_restored", fields=fields)]
        fields = (
            ("preset", new.active),
            ("before", old.active),
            ("revision", str(new.revision)),
            ("era", str(new.era)),
            ("author", new.author),
            ("source", source.value),
            ("unheard_s", self._unheard_text(Topic.PRESETS, now)),
        )
        why = f"{new.active or 'built-in'} by {new.author}, {source.value}"
        self._record_change(f"presets-{new.revision}", why, now)
        effects = [LogEvent("info", "preset_in_force", fields=fields)]
        return effects + self.peers.on_changed(now)

    def _unheard_text(self, topic: Topic, now: float) -> str:
        """Return the seconds since a response to a listing or a long poll of a topic.

        It is for logs, and empty before the first response.
        """
        heard_at = self.followers[topic].heard_at
        return f"{now - heard_at:.2f}" if isfinite(heard_at) else ""

    def _record_change(self, subject: str, why: str, now: float) -> None:
        entry = Entry(
            at=round(now, 3),
            kind="change",
            subject=subject,
            outcome="in_force",
            why=why,
        )
        self.controller.recorder.add(entry)

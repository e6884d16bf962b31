"""Simulation of route instances whose store can return to a copy of itself."""

from copy import deepcopy
from functools import partial
from heapq import heappop, heappush
from random import Random

from attrs import define, field

from briarrelay_core.agreement.outbox import Retention
from briarrelay_core.identity import Identity
from briarrelay_core.ports.digest import (
    DigestReceived,
    PeerResponse,
    QueryPeer,
    SendDigest,
)
from briarrelay_core.ports.directory import (
    EntryPublished,
    ListTopic,
    PeerAddress,
    PollTopic,
    PresetsReplaced,
    PublishEntry,
    ReadTopic,
    ReplacePresets,
    Topic,
    TopicChange,
    TopicExpired,
    TopicFailed,
    TopicListed,
    TopicPolled,
    TopicRead,
)
from briarrelay_core.ports.log import AppendDone, AppendFailed, AppendLog
from briarrelay_core.ports.quarantine import QuarantineWritten, WriteQuarantine
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.instance import RouteInstance
from briarrelay_core.routes.presets import PresetCollection
from properties.routeworld import make_configuration, make_entry

HEARTBEAT_S = 1.2
"""Seconds between renewals of a server's entry."""


@define(slots=True, eq=False)
class StoreModel:
    """Records of each topic, in order, as pairs of key and value.

    :ivar copy: an earlier state, which the store may return to.
    """

    era: int = 1
    topics: dict[str, list] = field(factory=dict)
    copy: dict[str, list] = field(factory=dict)

    def records(self, topic: str) -> list:
        return self.topics.setdefault(topic, [])

    def append(self, topic: str, *records: tuple) -> int:
        self.records(topic).extend(records)
        return len(self.records(topic)) - len(records)

    def newest(self, topic: str) -> dict:
        """Return the position and the value of each key."""
        newest = {}
        for offset, (key, value) in enumerate(self.records(topic)):
            newest[key] = (offset + 1, value)
        return {key: entry for key, entry in newest.items() if entry[1] is not None}

    def take_copy(self) -> None:
        self.copy = deepcopy(self.topics)

    def return_to_copy(self) -> None:
        self.topics = deepcopy(self.copy)
        self.era += 1


class EraWorld:
    """Drives instances and one store in virtual time.

    :ivar cut: instances that cannot reach the store.
    :ivar is_down: the store does not respond.
    :ivar lose_ratio: fraction of responses that are lost.
    :ivar version: version of the operator's newest configuration.
    :ivar appended: bodies of the audit record that the store ever acknowledged.
    """

    def __init__(
        self,
        instances: int = 2,
        servers: int = 3,
        seed: int = 0,
        store: StoreModel | None = None,
    ):
        self.now = 1_000.0
        self.random = Random(seed)
        self.store = store or StoreModel()
        self.cut: set[int] = set()
        self.is_down = False
        self.lose_ratio = 0.0
        self.version = 0
        self.appended: list[str] = []
        self.live_servers: dict[str, object] = {}
        self._events: list = []
        self._event_count = 0
        self._waiting: list[tuple[int, ReadTopic]] = []
        self.instances: list[RouteInstance] = []
        self.configure(1)
        for n in range(servers):
            self.add_server(make_entry(f"engine-{n}", "llm"))
        for _ in range(instances):
            self.add_instance()
        self.advance(3.0)

    def add_instance(self) -> RouteInstance:
        n = len(self.instances)
        address = PeerAddress(
            name=f"entry-{n}", host=f"10.9.0.{n}", question_port=1, digest_port=2
        )
        instance = RouteInstance(
            identity=Identity(address.name, 1, "a"),
            address=address,
            repeats=RetryLimits(slack=100.0),
            grace_s=8.0,
            hold_s=3.2,
            seeds=tuple(peer.address for peer in self.instances),
            retention=Retention(60.0, 1_000_000),
        )
        self.instances.append(instance)
        self.perform(n, instance.start(self.now))
        return instance

    # The operator and the servers

    def configure(self, version: int) -> None:
        """Write a configuration, as the operator does."""
        self.version = version
        self.store.append(Topic.CONFIGURATION, ("config", make_configuration(version)))
        self._answer_waiting()

    def change_presets(self, update) -> bool:
        """Change the presets as the operator does; return whether it was accepted."""
        position, collection = self.read_presets()
        changed = update(collection).with_era(self.store.era)
        if len(self.store.records(Topic.PRESETS)) != position:
            return False
        self.store.append(Topic.PRESETS, ("presets", changed))
        self._answer_waiting()
        return True

    def read_presets(self) -> tuple:
        """Return the position and the value of the presets in the store."""
        return self.store.newest(Topic.PRESETS).get("presets", (0, PresetCollection()))

    def add_server(self, entry) -> None:
        """Start a server, which renews its entry until it is removed."""
        self.live_servers[entry.name] = entry
        self._renew(entry.name)

    def remove_server(self, name: str) -> None:
        """Remove a server without a notice."""
        del self.live_servers[name]
        self.store.append(Topic.SERVERS, (name, None))
        self._answer_waiting()

    def _renew(self, name: str) -> None:
        if name in self.live_servers:
            if not self.is_down:
                self.store.append(Topic.SERVERS, (name, self.live_servers[name]))
            self.schedule(HEARTBEAT_S, partial(self._renew, name))

    def return_to_copy(self) -> None:
        """Return the store to its copy; the operator writes its newest version again.

        Pending long polls are broken off.
        """
        self.store.return_to_copy()
        waiting, self._waiting = self._waiting, []
        for n, effect in waiting:
            failed = TopicFailed(effect.topic, "reset", effect.generation)
            self.schedule(0.01, partial(self.deliver, n, failed))
        self.schedule(0.5, lambda: self.configure(self.version))

    # The store's calls

    def schedule(self, seconds: float, action) -> None:
        self._event_count += 1
        heappush(self._events, (self.now + seconds, self._event_count, action))

    def perform(self, n: int, effects: list) -> None:
        for effect in effects:
            handler = self.HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, n, effect)

    def deliver(self, n: int, message) -> None:
        self.perform(n, self.instances[n].handle(message, self.now))

    def _call(self, n: int, serve, failed) -> None:
        """Serve a call of an instance; its response may be lost or arrive late."""

        def run() -> None:
            if n in self.cut or self.is_down:
                self.schedule(0.3, partial(self.deliver, n, failed))
                return
            response = serve()
            if self.random.random() < self.lose_ratio:
                self.schedule(1.2, partial(self.deliver, n, failed))
            elif response is not None:
                delay_s = self.random.choice((0.002, 0.002, 0.05, 0.8))
                self.schedule(delay_s, partial(self.deliver, n, response))

        self.schedule(0.002, run)

    def _list(self, n: int, effect: ListTopic) -> None:
        def serve():
            newest = self.store.newest(effect.topic)
            changes = tuple(
                TopicChange(key, value, position=position)
                for key, (position, value) in newest.items()
            )
            end = len(self.store.records(effect.topic))
            return TopicListed(
                effect.topic, changes, end, False, effect.generation, self.store.era
            )

        self._call(n, serve, TopicFailed(effect.topic, "lost", effect.generation))

    def _read(self, n: int, effect: ReadTopic) -> None:
        def serve():
            records = self.store.records(effect.topic)
            if effect.start == len(records) and effect.wait_s:
                self._waiting.append((n, effect))
                return None
            return self._make_read(effect)

        self._call(n, serve, TopicFailed(effect.topic, "lost", effect.generation))

    def _make_read(self, effect, response_class=TopicRead):
        records = self.store.records(effect.topic)
        if effect.start > len(records):
            return TopicExpired(effect.topic, effect.generation, self.store.era)
        changes = tuple(
            TopicChange(key, value, position=effect.start + index + 1)
            for index, (key, value) in enumerate(records[effect.start :])
        )
        if response_class is TopicPolled:
            return TopicPolled(effect.topic, changes, effect.generation, self.store.era)
        end = effect.start + len(changes)
        return TopicRead(effect.topic, changes, end, effect.generation, self.store.era)

    def _poll(self, n: int, effect: PollTopic) -> None:
        if n not in self.cut and not self.is_down:
            response = self._make_read(effect, TopicPolled)
            self.schedule(0.004, partial(self.deliver, n, response))

    def _answer_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for n, effect in waiting:
            if effect.start < len(self.store.records(effect.topic)):
                response = self._make_read(effect)
                self.schedule(0.002, partial(self.deliver, n, response))
            else:
                self._waiting.append((n, effect))

    def _append(self, n: int, effect: AppendLog) -> None:
        def serve():
            offset = self.store.append(effect.stream, *((b, b) for b in effect.bodies))
            self.appended += effect.bodies
            return AppendDone(effect.append_id, offset, self.store.era)

        self._call(n, serve, AppendFailed(effect.append_id))

    def _publish(self, n: int, effect: PublishEntry) -> None:
        def serve():
            value = effect.address if effect.is_live else None
            self.store.append(Topic.ENTRIES, (effect.address.host, value))
            return EntryPublished(True, self.store.era)

        self._call(n, serve, EntryPublished(False))

    def _replace(self, n: int, effect: ReplacePresets) -> None:
        def serve():
            is_end = len(self.store.records(Topic.PRESETS)) == effect.position
            if is_end:
                self.store.append(Topic.PRESETS, ("presets", effect.collection))
                self._answer_waiting()
            return PresetsReplaced(effect.collection, is_end, self.store.era)

        self._call(n, serve, PresetsReplaced(effect.collection, None))

    def _write_quarantine(self, n: int, effect: WriteQuarantine) -> None:
        def serve():
            self.store.append(Topic.QUARANTINE, (effect.content, effect.record))
            return QuarantineWritten(effect.content, True, self.store.era)

        self._call(n, serve, QuarantineWritten(effect.content, False))

    # Peers

    def _send_digest(self, n: int, effect: SendDigest) -> None:
        for address in effect.peers:
            message = DigestReceived(effect.digest)
            peer = int(address.host.rpartition(".")[2])
            self.schedule(0.002, partial(self.deliver, peer, message))

    def _query(self, n: int, effect: QueryPeer) -> None:
        peer = self.instances[int(effect.peer.host.rpartition(".")[2])]
        admission = peer.controller.admission
        changes = [TopicChange("presets", admission.preset_collection)]
        if admission.configuration is not None:
            changes.append(TopicChange("config", admission.configuration))
        response = PeerResponse(effect.peer, tuple(changes))
        self.schedule(0.004, partial(self.deliver, n, response))

    HANDLERS = {
        ListTopic: _list,
        ReadTopic: _read,
        PollTopic: _poll,
        AppendLog: _append,
        PublishEntry: _publish,
        ReplacePresets: _replace,
        WriteQuarantine: _write_quarantine,
        SendDigest: _send_digest,
        QueryPeer: _query,
    }

    def advance(self, seconds: float) -> None:
        """Advance the clock; run events and timers in order of time."""
        end = self.now + seconds
        while True:
            timers = [
                (instance.next_due, n)
                for n, instance in enumerate(self.instances)
                if instance.next_due is not None
            ]
            next_timer = min(timers, default=(float("inf"), -1))
            event = self._events[0][0] if self._events else float("inf")
            if min(next_timer[0], event) > end:
                break
            if event <= next_timer[0]:
                self.now, _, action = heappop(self._events)
                action()
                continue
            self.now = max(self.now, next_timer[0])
            n = next_timer[1]
            self.perform(n, self.instances[n].run_timers(self.now))
        self.now = end

    # What instances hold

    def presets_in_force(self) -> list:
        """Return the presets that each instance applies."""
        return [i.controller.admission.preset_collection for i in self.instances]

    def versions(self) -> list[int]:
        """Return the configuration version that each instance applies."""
        return [instance.controller.admission.version for instance in self.instances]

    def usable_servers(self, n: int) -> set[str]:
        """Return the names of the servers that an instance may use."""
        servers = self.instances[n].controller.servers.of_service("llm", self.now)
        return {server.entry.name for server in servers}

    def audit_bodies(self) -> list[str]:
        """Return the audit record in the store."""
        return [body for body, _ in self.store.records("audit")]

"""Simulation of several route instances that share one simulated store."""

from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from random import Random

from attrs import evolve

from briarrelay_core.identity import Identity
from briarrelay_core.ports.digest import (
    DigestReceived,
    PeerResponse,
    QueryPeer,
    SendDigest,
)
from briarrelay_core.ports.directory import (
    ListTopic,
    PeerAddress,
    PollTopic,
    ReadTopic,
    ServerState,
    Topic,
    TopicChange,
    TopicExpired,
    TopicFailed,
    TopicListed,
    TopicPolled,
    TopicRead,
)
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.instance import RouteInstance
from properties.routeworld import make_configuration, make_entry

DRAIN_NOTICE_S = 2.0
"""Seconds after which a draining or removed server must get no new requests."""

HEARTBEAT_S = 1.2
"""Seconds between renewals of a server's entry."""


class DirectoryWorld:
    """Drives instances in virtual time.

    Instances are numbered from 0.

    :param apply_s: seconds within which an accepted configuration must be in force.
    :ivar server_reads: number of reads of the server directory, by instance.
    :ivar partitioned: instances whose datagrams are lost in both directions.
    :ivar refused_by_store: instances whose requests the store refuses.
    :ivar suspended: instances whose process is suspended.
    :ivar page_size: most entries on a page of a listing.
    :ivar first_offset: offset of the first record that the store has not deleted.
    :ivar entry_log: every change of a server entry, in order; None for a removal.
    :ivar current_entries: position of the last change and entry, by server.
    :ivar versions: configuration versions in the order of publication.
    :ivar pending_reads: reads of the configuration that wait for a change.
    """

    def __init__(
        self,
        instance_count: int,
        server_count: int,
        seed: int = 0,
        apply_s: float = 2.0,
    ):
        self.now = 1_000.0
        self.random = Random(seed)
        self.entry_log: list[tuple[str, object]] = []
        self.current_entries: dict[str, tuple[int, object]] = {}
        self.server_reads = [0] * instance_count
        self.partitioned: set[int] = set()
        self.refused_by_store: set[int] = set()
        self.suspended: set[int] = set()
        self.store_latency_s = 0.005
        self.page_size = 500
        self.first_offset = 0
        self.versions: list[int] = [1]
        self.pending_reads: list[tuple[int, ReadTopic]] = []
        self._events: list = []
        self._event_count = 0
        self.addresses = [
            PeerAddress(
                name=f"entry-{n}",
                host=f"10.9.0.{n}",
                question_port=1,
                digest_port=2,
                data_centre="abc"[n % 3],
            )
            for n in range(instance_count)
        ]
        self.index_by_host = {a.host: n for n, a in enumerate(self.addresses)}
        self.apply_s = apply_s
        self.instances = [self._make_instance(address) for address in self.addresses]
        for n in range(server_count):
            self.register(make_entry(f"engine-{n}", "llm"))
        for n, instance in enumerate(self.instances):
            self.schedule(
                self.random.random(),
                lambda n=n, instance=instance: self._start(n, instance),
            )

    def _make_instance(self, address: PeerAddress) -> RouteInstance:
        return RouteInstance(
            identity=Identity(address.name, int(self.now * 1_000), address.data_centre),
            address=address,
            repeats=RetryLimits(slack=100.0),
            grace_s=8.0,
            hold_s=3.2,
            news_s=DRAIN_NOTICE_S,
            apply_s=self.apply_s,
            seeds=tuple(self.addresses),
        )

    def _start(self, n: int, instance: RouteInstance) -> None:
        self.run_effects(n, instance.start(self.now))
        changes = self._configurations(0)
        listed = TopicListed(Topic.CONFIGURATION, changes, len(changes), False)
        self.run_effects(n, instance.handle(listed, self.now))

    def restart(self, n: int) -> None:
        """Replace an instance by one that knows nothing."""
        self.instances[n] = self._make_instance(self.addresses[n])
        self._start(n, self.instances[n])

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after some seconds of virtual time."""
        self._event_count += 1
        heappush(self._events, (self.now + seconds, self._event_count, action))

    # The store

    def register(self, entry) -> None:
        """Write a server's entry, which is then renewed until it is removed."""
        self.entry_log.append((entry.name, entry))
        self.current_entries[entry.name] = (len(self.entry_log), entry)
        self.schedule(HEARTBEAT_S, lambda: self._renew(entry.name))

    def _renew(self, name: str) -> None:
        if name in self.current_entries:
            self.register(self.current_entries[name][1])

    def update(self, name: str, **changes) -> None:
        """Update fields of a server's entry."""
        entry = evolve(self.current_entries[name][1], **changes)
        self.entry_log.append((name, entry))
        self.current_entries[name] = (len(self.entry_log), entry)

    def remove(self, name: str) -> None:
        """Remove a server's entry without draining the server first."""
        self.entry_log.append((name, None))
        del self.current_entries[name]

    def drain(self, name: str) -> None:
        self.update(name, state=ServerState.DRAINING)

    def _configurations(self, start: int) -> tuple[TopicChange, ...]:
        return tuple(
            TopicChange("config", make_configuration(version))
            for version in self.versions[start:]
        )

    def configure(self, version: int, is_lost: bool) -> None:
        """Publish a configuration version.

        :param is_lost: the responses to pending reads are lost.
        """
        self.versions.append(version)
        waiting, self.pending_reads = self.pending_reads, []
        for n, effect in waiting:
            if is_lost:
                failed = TopicFailed(effect.topic, "timed out")
                self.schedule(effect.wait_s, partial(self.deliver, n, failed))
            else:
                changes = self._configurations(effect.start)
                end = effect.start + len(changes)
                self.deliver(n, TopicRead(effect.topic, changes, end))

    def active_versions(self) -> list[int]:
        """Return the configuration version that each instance uses."""
        return [instance.controller.admission.version for instance in self.instances]

    def _respond_to_poll(self, n: int, effect: PollTopic) -> None:
        if effect.topic is Topic.CONFIGURATION:
            changes = self._configurations(effect.start)
            end = effect.start + len(changes)
            self.deliver(
                n, TopicPolled(effect.topic, changes, effect.generation, end=end)
            )

    def _respond_to_read(self, n: int, effect) -> None:
        if n in self.refused_by_store:
            failed = TopicFailed(effect.topic, "refused", effect.generation)
            self.deliver(n, failed)
        elif isinstance(effect, ListTopic):
            changes = tuple(
                TopicChange(name, entry, position=position)
                for name, (position, entry) in sorted(self.current_entries.items())
                if name > effect.after
            )
            page = changes[: self.page_size]
            has_more = len(page) < len(changes)
            end = len(self.entry_log)
            self.deliver(
                n, TopicListed(Topic.SERVERS, page, end, has_more, effect.generation)
            )
        elif effect.start < self.first_offset:
            self.deliver(n, TopicExpired(Topic.SERVERS, effect.generation))
        else:
            changes = tuple(
                TopicChange(name, entry, position=effect.start + i + 1)
                for i, (name, entry) in enumerate(self.entry_log[effect.start :])
            )
            end = effect.start + len(changes)
            self.deliver(n, TopicRead(Topic.SERVERS, changes, end, effect.generation))

    # Instances

    def deliver(self, n: int, message) -> None:
        """Deliver a message to an instance, once it is no longer suspended."""
        if n in self.suspended:
            self.schedule(0.05, lambda: self.deliver(n, message))
            return
        self.run_effects(n, self.instances[n].handle(message, self.now))

    def run_effects(self, n: int, effects: list) -> None:
        """Simulate the store accesses and messages among an instance's effects."""
        for effect in effects:
            if isinstance(effect, SendDigest):
                self._deliver_digest(n, effect)
            elif isinstance(effect, PollTopic):
                self.schedule(
                    self.store_latency_s, partial(self._respond_to_poll, n, effect)
                )
            elif isinstance(effect, QueryPeer):
                self.schedule(0.004, partial(self._respond_to_query, n, effect))
            elif isinstance(effect, ReadTopic) and (
                effect.topic is Topic.CONFIGURATION
            ):
                self.pending_reads.append((n, effect))
            elif isinstance(effect, (ListTopic, ReadTopic)):
                if effect.topic is Topic.SERVERS:
                    self.server_reads[n] += 1
                    self.schedule(
                        self.store_latency_s,
                        lambda e=effect: self._respond_to_read(n, e),
                    )

    def _respond_to_query(self, n: int, effect: QueryPeer) -> None:
        controller = self.instances[self.index_by_host[effect.peer.host]].controller
        changes = [TopicChange("config", controller.admission.configuration)]
        changes += [TopicChange(e.name, e) for e in controller.servers.entries()]
        self.deliver(n, PeerResponse(effect.peer, tuple(changes)))

    def _deliver_digest(self, n: int, effect: SendDigest) -> None:
        for address in effect.peers:
            receiver = self.index_by_host[address.host]
            if not {n, receiver} & self.partitioned:
                message = DigestReceived(effect.digest)
                self.schedule(
                    0.002,
                    lambda receiver=receiver, message=message: self.deliver(
                        receiver, message
                    ),
                )

    def advance(self, seconds: float) -> None:
        """Advance the clock; run events and timers in order of time."""
        end = self.now + seconds
        while True:
            due_timers = [
                (instance.next_due, n)
                for n, instance in enumerate(self.instances)
                if instance.next_due is not None and n not in self.suspended
            ]
            next_timer = min(due_timers, default=(float("inf"), -1))
            event = self._events[0][0] if self._events else float("inf")
            if min(next_timer[0], event) > end:
                break
            if event <= next_timer[0]:
                self.now, _, action = heappop(self._events)
                action()
            else:
                self.now = max(self.now, next_timer[0])
                self.run_effects(
                    next_timer[1], self.instances[next_timer[1]].run_timers(self.now)
                )
        self.now = end

    def instances_using(self, name: str) -> list[int]:
        """Return the running instances that may send requests to a server."""
        return [
            n
            for n, instance in enumerate(self.instances)
            if n not in self.suspended
            and instance.controller.servers.is_usable(name, self.now)
        ]

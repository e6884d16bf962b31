"""Several route instances that tell each other, before one made-up store."""

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
    TopicFailed,
    TopicListed,
    TopicPolled,
    TopicRead,
)
from briarrelay_core.routes.budget import RepeatLimits
from briarrelay_core.routes.instance import RouteInstance
from properties.routeworld import make_configuration, make_entry

NEWS_S = 2.0
"""Seconds within which a leaving server must get no new work."""

HEARTBEAT_S = 1.2


class DirectoryWorld:
    """Drives instances in virtual time.

    :ivar reads: calls for the servers, by instance.
    :ivar silent: instances whose datagrams are lost both ways.
    :ivar refused: instances that the store turns away.
    :ivar frozen: instances that do nothing.
    """

    def __init__(self, instances: int, servers: int, seed: int = 0):
        self.now = 1_000.0
        self.random = Random(seed)
        self.records: list[tuple[str, object]] = []
        self.newest: dict[str, tuple[int, object]] = {}
        self.reads = [0] * instances
        self.silent: set[int] = set()
        self.refused: set[int] = set()
        self.frozen: set[int] = set()
        self.store_s = 0.005
        self.versions: list[int] = [1]
        self.watching: list[tuple[int, ReadTopic]] = []
        self._events: list = []
        self._count = 0
        addresses = [
            PeerAddress(
                name=f"entry-{n}",
                host=f"10.9.0.{n}",
                question_port=1,
                digest_port=2,
                data_centre="abc"[n % 3],
            )
            for n in range(instances)
        ]
        self.by_host = {address.host: n for n, address in enumerate(addresses)}
        self.cores = [
            RouteInstance(
                identity=Identity(address.name, 1, address.data_centre),
                address=address,
                repeats=RepeatLimits(slack=100.0),
                grace_s=8.0,
                hold_s=3.2,
                news_s=NEWS_S,
                seeds=tuple(addresses),
            )
            for address in addresses
        ]
        for n in range(servers):
            self.write(make_entry(f"engine-{n}", "llm"))
        for n, core in enumerate(self.cores):
            self.later(
                self.random.random(), lambda n=n, core=core: self._start(n, core)
            )

    def _start(self, n: int, core: RouteInstance) -> None:
        self.run(n, core.start(self.now))
        changes = self._configurations(0)
        listed = TopicListed(Topic.CONFIGURATION, changes, len(changes), False)
        self.run(n, core.handle(listed, self.now))

    def later(self, seconds: float, act: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._events, (self.now + seconds, self._count, act))

    # The store

    def write(self, entry) -> None:
        self.records.append((entry.name, entry))
        self.newest[entry.name] = (len(self.records), entry)
        self.later(HEARTBEAT_S, lambda: self._beat(entry.name))

    def _beat(self, name: str) -> None:
        if name in self.newest:
            self.write(self.newest[name][1])

    def change(self, name: str, **changes) -> None:
        """Let a server write another entry."""
        entry = evolve(self.newest[name][1], **changes)
        self.records.append((name, entry))
        self.newest[name] = (len(self.records), entry)

    def drop(self, name: str) -> None:
        """Remove an entry without a word of leaving."""
        self.records.append((name, None))
        del self.newest[name]

    def drain(self, name: str) -> None:
        self.change(name, state=ServerState.DRAINING)

    def _configurations(self, start: int) -> tuple[TopicChange, ...]:
        return tuple(
            TopicChange("config", make_configuration(version))
            for version in self.versions[start:]
        )

    def configure(self, version: int, is_lost: bool) -> None:
        """Publish a configuration; the answers to waiting reads may be lost."""
        self.versions.append(version)
        waiting, self.watching = self.watching, []
        for n, effect in waiting:
            if is_lost:
                failed = TopicFailed(effect.topic, "timed out")
                self.later(effect.wait_s, partial(self.tell, n, failed))
            else:
                changes = self._configurations(effect.start)
                end = effect.start + len(changes)
                self.tell(n, TopicRead(effect.topic, changes, end))

    def in_force(self) -> list[int]:
        """Return the version that each instance has in force."""
        return [core.controller.admission.version for core in self.cores]

    def _check(self, n: int, effect: PollTopic) -> None:
        if effect.topic is Topic.CONFIGURATION:
            changes = self._configurations(effect.start)
            self.tell(n, TopicPolled(effect.topic, changes))

    def _answer(self, n: int, effect) -> None:
        if n in self.refused:
            self.tell(n, TopicFailed(effect.topic, "turned away"))
        elif isinstance(effect, ListTopic):
            changes = tuple(
                TopicChange(name, entry, position=position)
                for name, (position, entry) in sorted(self.newest.items())
            )
            end = len(self.records)
            self.tell(n, TopicListed(Topic.SERVERS, changes, end, False))
        else:
            changes = tuple(
                TopicChange(name, entry, position=effect.start + i + 1)
                for i, (name, entry) in enumerate(self.records[effect.start :])
            )
            end = effect.start + len(changes)
            self.tell(n, TopicRead(Topic.SERVERS, changes, end))

    # Instances

    def tell(self, n: int, message) -> None:
        if n in self.frozen:
            self.later(0.05, lambda: self.tell(n, message))
            return
        self.run(n, self.cores[n].handle(message, self.now))

    def run(self, n: int, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, SendDigest):
                self._send(n, effect)
            elif isinstance(effect, PollTopic):
                self.later(self.store_s, partial(self._check, n, effect))
            elif isinstance(effect, QueryPeer):
                self.later(0.004, partial(self._ask, n, effect))
            elif isinstance(effect, ReadTopic) and (
                effect.topic is Topic.CONFIGURATION
            ):
                self.watching.append((n, effect))
            elif isinstance(effect, (ListTopic, ReadTopic)):
                if effect.topic is Topic.SERVERS:
                    self.reads[n] += 1
                    self.later(self.store_s, lambda e=effect: self._answer(n, e))

    def _ask(self, n: int, effect: QueryPeer) -> None:
        known = self.cores[self.by_host[effect.peer.host]].controller.admission
        change = TopicChange("config", known.configuration)
        self.tell(n, PeerResponse(effect.peer, (change,)))

    def _send(self, n: int, effect: SendDigest) -> None:
        for address in effect.peers:
            to = self.by_host[address.host]
            if not {n, to} & self.silent:
                heard = DigestReceived(effect.digest)
                self.later(0.002, lambda to=to, heard=heard: self.tell(to, heard))

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while True:
            dues = [
                (core.next_due, n)
                for n, core in enumerate(self.cores)
                if core.next_due is not None and n not in self.frozen
            ]
            due = min(dues, default=(float("inf"), -1))
            event = self._events[0][0] if self._events else float("inf")
            if min(due[0], event) > end:
                break
            if event <= due[0]:
                self.now, _, act = heappop(self._events)
                act()
            else:
                self.now = max(self.now, due[0])
                self.run(due[1], self.cores[due[1]].run_timers(self.now))
        self.now = end

    def users(self, name: str) -> list[int]:
        """Return the instances that would send work to a server."""
        return [
            n
            for n, core in enumerate(self.cores)
            if n not in self.frozen
            and core.controller.servers.is_usable(name, self.now)
        ]

"""Exchanges digests with the other entry instances (peers).

A digest holds the sender's load, the versions of its configuration and presets, how far
it has read the servers topic, and the backend servers that are leaving or gone.
"""

from collections import Counter

from attrs import define, field

from briarrelay_core.ports.cold import ColdReport
from briarrelay_core.ports.digest import (
    MIN_REACH,
    UNKNOWN_AGE_S,
    DigestReceived,
    HeldReport,
    LimitReport,
    LoadDigest,
    PeerResponse,
    QueryPeer,
    SendDigest,
)
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.ports.position import START, EraPosition
from briarrelay_core.ports.room import PeerRoom
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.routes.allowances.cold import ColdTable
from briarrelay_core.routes.allowances.limits import ServerLimitTable
from briarrelay_core.routes.cooperation.capacity import RelayCapacity
from briarrelay_core.routes.cooperation.isolation import IsolationTable
from briarrelay_core.routes.crashes import CrashTable
from briarrelay_core.routes.load import LoadTable
from briarrelay_core.routes.losses.judge import LossJudge
from briarrelay_core.routes.pauses import PauseTable
from briarrelay_core.routes.quarantine import WITHDRAWN_S, ContentQuarantine
from briarrelay_core.routes.retention.contents import HeldContents
from briarrelay_core.routes.servers import ServerTable
from briarrelay_core.timers import TimerService

__all__ = ["MAX_RECEIVERS", "PeerExchange"]

DIGEST_PERIOD_S = 0.5
"""Maximum interval in seconds between digests."""

LOCAL_SPACING_PER_PEER_S = 0.012
"""Minimum interval in seconds between digests, per receiver in the same data centre. A
burst of load changes causes few digests, and their cost does not grow with the square
of the number of peers."""

REMOTE_SPACING_PER_PEER_S = 0.006
"""Minimum interval in seconds between digests to other data centres, per receiver
there; this traffic is charged by the byte."""

PEERS_PER_DIGEST = 2
"""Number of peer addresses in a digest. They rotate, and digests are frequent, so all
addresses spread."""

MIN_SPACING_S = 0.02
"""Minimum interval in seconds between digests, however few peers there are."""

PEER_TIMEOUT_S = 4.0
"""Seconds without a digest after which a peer counts as gone."""

DIRECTORY_REPORT_FRESH_S = 3.0
"""Seconds after a digest for which its report on the servers topic is used; remote
digests come each second or two in a large deployment. An instance that has stopped is
noticed earlier, since its last read grows old."""

CONNECTED_REPORT_FRESH_S = 1.5
"""Seconds after a digest for which its sender counts as able to take requests."""

ANNOUNCE_AFTER_S = 0.5
"""Seconds since the newest read of the servers topic by a peer from which a read is
announced to all peers."""

RANK_DELAY_S = 0.05
"""Delay in seconds per rank before an instance takes over the reads of the servers
topic. The rank is the number of active peers whose names sort before its own."""

MAX_RANK = 6
"""Rank above which the delay no longer grows; it is unlikely that more instances stop
at one time."""

QUERY_DELAY_S = 0.3
"""Seconds for which the data read from the store may be older than a peer's before the
peer is queried."""

BASE_INSTANCES = 25
"""Number of instances from which digests, and reads of the store that digests make
less urgent, become rarer, so that their cost does not grow with the square of it."""

MAX_SIZE_FACTOR = 2.5
"""Largest factor by which they become rarer; a peer's load counts for 1.5 s."""

MAX_RECEIVERS = 24
"""Maximum number of receivers of a digest, each for local and remote peers; bounds
control traffic in large deployments."""

MAX_READ_RECEIVERS = 64
"""Number of peers up to which a long read is announced to all; bounds control traffic,
as a larger deployment also has more long reads."""

MAX_UNREGISTERED = 512
"""Most peers that are known from digests alone, which may name any."""

ANNOUNCE_SPACING_S = 0.05
"""Minimum interval in seconds between digests that announce crashes or long reads to
all peers; it grows with the size of the deployment."""


@define(slots=True)
class _Peer:
    """Another entry instance, with the values of its last digest.

    :param last_digest_at: time of its last digest, None if only its address is known.
    :param digest_number: sequence number of its last digest.
    :param version: version of its configuration in force.
    :param presets: position of its presets.
    :param directory: position after the newest server change that it has read.
    :param directory_at: time at which it was last known to have all changes of the
        servers and of the configuration.
    :param members: number of instances that it knows, itself included.
    :param cut_off: services whose backend servers it can not reach.
    :param room: what it may be given, None if it did not say.
    :param is_registered: the platform names it, not only another peer.
    """

    address: PeerAddress
    last_digest_at: float | None = None
    incarnation: int = 0
    digest_number: int = -1
    version: int = 0
    presets: EraPosition = START
    directory: EraPosition = START
    directory_at: float = float("-inf")
    members: int = 1
    cut_off: tuple[str, ...] = ()
    room: PeerRoom | None = None
    is_registered: bool = False


@define(slots=True)
class PeerExchange:
    """Exchanges digests with the other entry instances.

    :param address: address of this instance.
    :param incarnation: identifies this run of the process.
    :param version: version of the configuration in force.
    :param presets: position of the presets.
    :param directory: position after the newest server change that was read.
    :param directory_at: time at which this instance was last known to have all changes
        of the servers and of the configuration.
    :ivar _missing: hosts of peers that the last read of the store lacked, and that
        were not heard.
    :ivar _digest_number: sequence number of the last digest.
    :ivar _remote_round: number of digests that were sent to remote peers.
    :ivar _last_remote_at: time of the last digest to remote peers.
    :ivar _is_remote_pending: the last digest was not sent to remote peers.
    :ivar _is_query_scheduled: a peer had a newer configuration or newer presets, and
        will be queried unless the store is faster.
    :ivar _last_announced_at: time of the last digest that announced crashes.
    """

    address: PeerAddress
    incarnation: int
    timers: TimerService
    load: LoadTable
    servers: ServerTable
    pauses: PauseTable
    quarantine: ContentQuarantine = field(factory=ContentQuarantine)
    crashes: CrashTable = field(factory=CrashTable)
    limits: ServerLimitTable = field(factory=ServerLimitTable)
    isolation: IsolationTable = field(factory=IsolationTable)
    cold: ColdTable = field(factory=ColdTable)
    held: HeldContents = field(factory=HeldContents)
    capacity: RelayCapacity = field(factory=RelayCapacity)
    losses: LossJudge = field(factory=LossJudge)
    version: int = 0
    presets: EraPosition = START
    directory: EraPosition = START
    directory_at: float = float("-inf")
    _peers: dict[str, _Peer] = field(factory=dict)
    _missing: set[str] = field(factory=set)
    _digest_number: int = 0
    _last_sent_at: float = float("-inf")
    _is_send_scheduled: bool = False
    _remote_round: int = 0
    _last_remote_at: float = float("-inf")
    _is_remote_pending: bool = False
    _is_query_scheduled: bool = False
    _last_announced_at: float = float("-inf")
    _is_announcement_scheduled: bool = False
    _is_urgent_scheduled: bool = False

    @property
    def instances(self) -> int:
        """Number of known entry instances, including this one."""
        return 1 + sum(peer.last_digest_at is not None for peer in self._peers.values())

    @property
    def _unregistered(self) -> int:
        """Number of peers that are known from digests alone."""
        return sum(not peer.is_registered for peer in self._peers.values())

    @property
    def size_factor(self) -> float:
        """Factor by which periodic work becomes rarer in a large deployment."""
        return min(MAX_SIZE_FACTOR, max(1.0, self.instances / BASE_INSTANCES))

    def members(self) -> tuple[int, int]:
        """Return the number of registered instances, and this one's rank among them.

        Instances that are not heard count too; some that peers know may be unknown.
        """
        known_by_peers = (peer.members for peer in self._peers.values())
        count = max(1 + len(self._peers), *known_by_peers, 1)
        return count, sum(host < self.address.host for host in self._peers)

    def connected_to(self, service: str, now: float) -> list[PeerAddress]:
        """Return the peers heard lately that reach the servers of a service."""
        return [
            peer.address
            for peer in self._peers.values()
            if peer.last_digest_at is not None
            and now - peer.last_digest_at <= CONNECTED_REPORT_FRESH_S
            and service not in peer.cut_off
        ]

    def rooms(self, service: str, now: float) -> list[tuple[PeerAddress, PeerRoom]]:
        """Return the peers of :meth:`connected_to` that named their room, with it."""
        return [
            (address, room)
            for address in self.connected_to(service, now)
            if (room := self._peers[address.host].room) is not None
        ]

    def _is_room_asked(self, now: float) -> bool:
        """Return whether this instance or a peer is overloaded; others name no room."""
        return self.capacity.is_overloaded or any(
            peer.room is not None
            and peer.room.is_none
            and now - peer.last_digest_at <= CONNECTED_REPORT_FRESH_S
            for peer in self._peers.values()
            if peer.last_digest_at is not None
        )

    def addresses(self) -> tuple[PeerAddress, ...]:
        """Return the addresses of all peers."""
        return tuple(peer.address for peer in self._peers.values())

    def start(self, now: float) -> list:
        """Start to send digests."""
        self.timers.every(DIGEST_PERIOD_S, self._send_periodic, now + MIN_SPACING_S)
        return []

    def add(self, address: PeerAddress, is_registered: bool = True) -> None:
        """Add a peer's address.

        :param is_registered: it is from the platform, not from another peer.
        """
        if address.host == self.address.host:
            return
        known = self._peers.get(address.host)
        if known is None:
            if is_registered or self._unregistered < MAX_UNREGISTERED:
                self._peers[address.host] = _Peer(address, is_registered=is_registered)
            return
        known.is_registered = known.is_registered or is_registered
        if known.last_digest_at is None:
            known.address = address

    def remove(self, host: str) -> None:
        """Remove a peer that stopped."""
        peer = self._peers.pop(host, None)
        if peer is not None:
            self.load.forget_peer(peer.address.name)

    def forget_unregistered(self, registered: frozenset[str]) -> None:
        """Remove the peers that two reads of the store in a row lack, unless heard.

        Digests of others may name an instance that has stopped, or started lately.

        :param registered: hosts of the registered instances.
        """
        missing = {
            host
            for host, peer in self._peers.items()
            if peer.last_digest_at is None and host not in registered
        }
        for host in missing & self._missing:
            self.remove(host)
        self._missing = missing - self._missing

    def on_digest(self, message: DigestReceived, now: float) -> list:
        """Apply a peer's digest, unless a newer one arrived before."""
        digest = message.digest
        if digest.sender.host == self.address.host:
            return []
        self.add(digest.sender, is_registered=False)
        peer = self._peers.get(digest.sender.host)
        if peer is None:
            return [IncrementCounter("peers.unregistered_dropped")]
        if (digest.incarnation, digest.number) <= (
            peer.incarnation,
            peer.digest_number,
        ):
            return []
        effects = []
        if peer.last_digest_at is None:
            fields = (("peer", digest.sender.name), ("host", digest.sender.host))
            effects.append(LogEvent("info", "peer_heard", fields=fields))
        peer.address = digest.sender
        peer.last_digest_at = now
        peer.incarnation, peer.digest_number = digest.incarnation, digest.number
        peer.version, peer.presets = digest.version, digest.presets
        peer.directory = digest.directory
        peer.directory_at = now - digest.directory_age_s
        peer.members, peer.cut_off = digest.members, digest.cut_off
        if digest.room is not None and digest.room.is_none and peer.room is None:
            effects += self.on_changed(now)
        peer.room = digest.room
        effects += self.limits.apply_reports(
            filter(self._is_of_registered, digest.limits), now
        )
        if digest.invalid_reports:
            effects.append(IncrementCounter("peers.report_bad", digest.invalid_reports))
        effects += self.servers.evacuations.apply_reports(digest.evacuations, now)
        effects += self.cold.apply_reports(
            (
                (report, self.servers.get(report.server).entry)
                for report in filter(self._is_of_registered, digest.cold)
            ),
            now,
        )
        self.held.apply_reports(filter(self._is_of_registered, digest.held), now)
        effects += [
            IncrementCounter(f"digest.{name}_dropped") for name in digest.dropped_fields
        ]
        self.load.apply_digest(digest, now)
        for address in digest.peers:
            self.add(address, is_registered=False)
        for report in digest.leaving:
            effects += self.servers.apply_peer_leaving(report, now)
        for report in digest.gone:
            effects += self.servers.apply_peer_gone(report, digest.directory, now)
        self.pauses.apply_peer_pauses(digest.paused, now)
        effects += self.quarantine.apply_digest(digest, now)
        if digest.reach >= MIN_REACH:
            self._apply_crashes(digest, now)
        else:
            self.crashes.withdraw(digest.sender.name, now - WITHDRAWN_S)
            if digest.crashes:
                ignored = len(digest.crashes)
                effects.append(IncrementCounter("peers.crash_of_links", ignored))
        self._check_behind(peer, now)
        return effects

    def _is_of_registered(self, report: LimitReport | ColdReport | HeldReport) -> bool:
        """Return whether a report is about a registered server and its last start."""
        known = self.servers.get(report.server)
        return known is not None and known.entry.born == report.born

    def _apply_crashes(self, digest: LoadDigest, now: float) -> None:
        """Apply a peer's reports of connections that servers closed."""
        counts = Counter(crash.server for crash in digest.crashes)
        for crash in digest.crashes:
            at = now - crash.lost_age_s
            name = digest.sender.name
            count = counts[crash.server]
            self.crashes.apply_peer_report(name, crash.server, count, at)

    def rank(self, now: float) -> int:
        """Return the number of peers with a recent digest whose names sort first."""
        return sum(p.address.name < self.address.name for p in self._recent_peers(now))

    def _recent_peers(self, now: float) -> list[_Peer]:
        return [
            peer
            for peer in self._peers.values()
            if peer.last_digest_at is not None
            and now - peer.last_digest_at <= DIRECTORY_REPORT_FRESH_S
        ]

    def _readers(self, era: int, now: float) -> list[_Peer]:
        """Return the peers heard lately on whose reads of the store others may rely.

        Those in an earlier era do not count, nor those that name no position: what
        changed before they started is unknown to them.
        """
        return [
            peer
            for peer in self._recent_peers(now)
            if peer.directory.era >= era and peer.directory.number
        ]

    def directory_read_delay_s(
        self, position: EraPosition, max_age_s: float, now: float, is_last: bool = False
    ) -> float:
        """Return the seconds until this instance has to read the servers topic itself.

        The first instance by name reads when the newest read becomes too old, and its
        digests allow the others to skip theirs. If it stops, the next by name takes
        over after a short delay. The result is 0 or negative if a read is due now.

        :param position: position up to which this instance has read.
        :param max_age_s: largest allowed age in seconds of the newest read by any
            instance.
        :param is_last: this instance takes over after all others.
        """
        if any(peer.directory > position for peer in self._recent_peers(now)):
            return 0.0
        readers = self._readers(position.era, now)
        newest = _newest_read(readers)
        rank = sum(peer.address.name < self.address.name for peer in readers)
        rank = MAX_RANK if is_last else min(rank, MAX_RANK)
        return newest + max_age_s + RANK_DELAY_S * rank - now

    def is_read_due(self, era: int, max_age_s: float, now: float) -> bool:
        """Return whether no peer has read the store as recently as one has to.

        :param era: era of the store.
        :param max_age_s: largest allowed age in seconds of the newest read.
        """
        return now - _newest_read(self._readers(era, now)) >= max_age_s

    def newest_change(self, era: int, since: float, now: float) -> EraPosition | None:
        """Return the position after the newest change that the peers' reads show.

        :param era: era of the store.
        :param since: earliest time of a read that counts.
        :returns: None if there is no such read.
        """
        reads = [
            peer.directory
            for peer in self._readers(era, now)
            if peer.directory_at >= since
        ]
        return max(reads, default=None)

    def on_directory_read(self, at: float, now: float) -> list:
        """Record a read of the store, and announce it to spare peers theirs.

        If there are more peers than a digest has receivers, and none of them has read
        lately, all learn of it at once. After a change, when all read, and with fewer
        peers, the usual digests are enough.

        :param at: time at which this instance had all changes of the servers and of the
            configuration.
        """
        newest = _newest_read(self._recent_peers(now))
        self.directory_at = at
        if len(self._peers) <= MAX_RECEIVERS or now - newest < ANNOUNCE_AFTER_S:
            return self.on_changed(now)
        return self._send(now, self.addresses())

    def on_changed(self, now: float, is_urgent: bool = False) -> list:
        """Schedule a digest, since the load, a version or the servers changed.

        :param is_urgent: send it now, also to remote peers, or as soon as the last
            digest is MIN_SPACING_S old.
        """
        if is_urgent:
            return self._send_urgent(now)
        if self._is_send_scheduled:
            return []
        self._is_send_scheduled = True
        local = min(len(self._local_peers()), MAX_RECEIVERS)
        spacing = max(MIN_SPACING_S, LOCAL_SPACING_PER_PEER_S * local)
        self.timers.at(max(now, self._last_sent_at + spacing), self._send_due)
        return []

    def _send_urgent(self, now: float) -> list:
        if self._is_urgent_scheduled:
            return []
        if now - self._last_sent_at < MIN_SPACING_S:
            self._is_urgent_scheduled = True
            self.timers.at(self._last_sent_at + MIN_SPACING_S, self._send_urgent_due)
            return []
        self._last_remote_at = float("-inf")
        return self._send(now)

    def _send_urgent_due(self, now: float) -> list:
        self._is_urgent_scheduled = False
        self._last_remote_at = float("-inf")
        return self._send(now)

    def announce_read(self, now: float) -> list:
        """Send a digest about a long read to all peers, to as many as usual if there
        are more than MAX_READ_RECEIVERS."""
        if len(self._peers) > MAX_READ_RECEIVERS:
            return self._send_urgent(now)
        return self.announce(now)

    def announce(self, now: float) -> list:
        """Send a digest to all peers, soon if one was announced just before."""
        if self._is_announcement_scheduled:
            return []
        due = self._last_announced_at + ANNOUNCE_SPACING_S * self.size_factor
        if now < due:
            self._is_announcement_scheduled = True
            self.timers.at(due, self._announce_due)
            return []
        self._last_announced_at = now
        return self._send(now, self.addresses())

    def _announce_due(self, now: float) -> list:
        self._is_announcement_scheduled = False
        self._last_announced_at = now
        return self._send(now, self.addresses())

    def _local_peers(self) -> list[_Peer]:
        own_data_centre = self.address.data_centre
        return [
            p for p in self._peers.values() if p.address.data_centre == own_data_centre
        ]

    def _receivers(self, now: float) -> list[_Peer]:
        """Return the receivers of the next digest; remote peers get fewer digests."""
        local = self._local_peers()
        own_data_centre = self.address.data_centre
        remote = [
            p for p in self._peers.values() if p.address.data_centre != own_data_centre
        ]
        receivers = _rotate(local, self._digest_number)
        count = min(MAX_RECEIVERS, len(remote))
        spacing = self.size_factor * REMOTE_SPACING_PER_PEER_S * count
        if now - self._last_remote_at < spacing - 1e-6:
            self._is_remote_pending = bool(remote)
            return receivers
        self._last_remote_at = now
        self._is_remote_pending = False
        self._remote_round += 1
        return receivers + _rotate(remote, self._remote_round)

    def _send_periodic(self, now: float) -> list:
        effects = []
        for host, peer in list(self._peers.items()):
            if (
                peer.last_digest_at is not None
                and now - peer.last_digest_at > PEER_TIMEOUT_S
            ):
                fields = (("peer", peer.address.name), ("host", host))
                effects.append(LogEvent("warning", "peer_lost", fields=fields))
                self.load.forget_peer(peer.address.name)
                peer.last_digest_at = None
                # the incarnation is a start time, which may be earlier after a restart
                peer.incarnation, peer.digest_number = 0, -1
        return effects + self._send(now)

    def _send_due(self, now: float) -> list:
        self._is_send_scheduled = False
        return self._send(now)

    def _send(
        self, now: float, receivers: tuple[PeerAddress, ...] | None = None
    ) -> list:
        """Send a digest.

        :param receivers: by default those whose turn it is.
        """
        self._last_sent_at = now
        if not self._peers:
            return []
        self._digest_number += 1
        active = [p for p in self._peers.values() if p.last_digest_at is not None]
        if receivers is None:
            receivers = tuple(peer.address for peer in self._receivers(now))
        digest = LoadDigest(
            sender=self.address,
            incarnation=self.incarnation,
            number=self._digest_number,
            version=self.version,
            presets=self.presets,
            directory=self.directory,
            directory_age_s=min(now - self.directory_at, UNKNOWN_AGE_S),
            gone=self.servers.gone_servers(now),
            loads=self.load.own_loads(now),
            leaving=self.servers.leaving_servers(now),
            paused=self.pauses.own_pauses(now),
            crashes=self.quarantine.own_crashes(now),
            quarantined=self.quarantine.own_quarantines(now),
            survived=self.quarantine.own_survived(now),
            probed=self.quarantine.probes.own(now),
            limits=self.limits.own_reports(now),
            members=1 + len(self._peers),
            cut_off=self.isolation.cut_off_services(now),
            evacuations=self.servers.evacuations.own_reports(now),
            cold=self.cold.own_reports(now),
            held=self.held.own_reports(now),
            room=self.capacity.room(now) if self._is_room_asked(now) else None,
            reach=self.losses.reach(now),
            peers=tuple(
                active[(self._digest_number + index) % len(active)].address
                for index in range(min(PEERS_PER_DIGEST, len(active)))
            ),
        )
        if self._is_remote_pending:
            self.on_changed(now)
        return [SendDigest(digest, receivers)]

    def _check_behind(self, peer: _Peer, now: float) -> None:
        """Schedule a query if a peer is ahead, unless one is scheduled."""
        if not self._is_query_scheduled and self._is_ahead(peer):
            self._is_query_scheduled = True
            self.timers.at(now + QUERY_DELAY_S, self._query_if_behind)

    def _query_if_behind(self, now: float) -> list:
        """Query the most up-to-date peer if peers are still ahead."""
        self._is_query_scheduled = False
        ahead = [p for p in self._peers.values() if self._is_ahead(p)]
        if not ahead:
            return []
        newest = max(ahead, key=lambda peer: (peer.version, peer.presets))
        return [QueryPeer(newest.address)]

    def _is_ahead(self, peer: _Peer) -> bool:
        """Return whether a peer has a newer configuration or newer presets."""
        if peer.last_digest_at is None:
            return False
        return peer.version > self.version or peer.presets > self.presets

    def on_response(self, response: PeerResponse) -> list:
        """Log a query that got no valid response from a peer."""
        if not response.problem:
            return []
        fields = (("peer", response.peer.name), ("problem", response.problem))
        return [LogEvent("warning", "peer_silent", fields=fields)]

    def query_any_peer(self, attempt: int) -> list:
        """Query one of the peers, in turn, while the store does not respond."""
        peers = self.addresses()
        return [QueryPeer(peers[attempt % len(peers)])] if peers else []


def _newest_read(peers: list[_Peer]) -> float:
    """Return the time of the newest read of the store by one of the peers."""
    return max((peer.directory_at for peer in peers), default=float("-inf"))


def _rotate(peers: list[_Peer], turn: int) -> list[_Peer]:
    """Return at most MAX_RECEIVERS of the peers, in rotation if there are more.

    :param turn: increases by one with each call for these peers.
    """
    if len(peers) <= MAX_RECEIVERS:
        return peers
    start = turn * MAX_RECEIVERS % len(peers)
    return [*peers[start:], *peers[:start]][:MAX_RECEIVERS]

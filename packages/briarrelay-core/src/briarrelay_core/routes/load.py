"""Load of each backend server, from this instance's attempts and peers' digests."""

from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field

from briarrelay_core.ports.digest import LoadDigest, ServerLoad

__all__ = ["PEER_STALE_S", "AttemptLoad", "LoadTable"]

PEER_STALE_S = 1.5
"""Seconds after which a peer's last digest is ignored; digests come twice a second."""

URGENT_READ_S = 0.08
"""Reading time in seconds from which an attempt is announced to peers at once; it
occupies an engine for longer than two passes."""

MAX_LIMITS = 64
"""Most pause limits that are remembered; a deployment has one for each route."""

NO_LOAD = ServerLoad()


@define(slots=True, eq=False)
class AttemptLoad:
    """Load that one attempt puts on one server.

    :param tokens: context tokens held on the server.
    :param read_s: seconds that the server spends on reading for the attempt.
    :param read_until: expected end of that reading.
    :param limit_s: longest pause between events in seconds, 0 if the server streams
        nothing for the attempt.
    :param weight: cost of a pause beyond the limit.
    """

    server: str
    is_lead: bool
    tokens: int
    read_s: float
    read_until: float
    limit_s: float = 0.0
    weight: float = 0.0
    is_reading: bool = True

    @property
    def remains_after_read(self) -> bool:
        """Whether the load remains after the prompt is read, until the response
        is complete.
        """
        return self.is_lead or self.tokens > 0

    def remaining_s(self, now: float) -> float:
        """Return the seconds of reading that remain."""
        if not self.is_reading:
            return 0.0
        return max(0.0, min(self.read_s, self.read_until - now))


def _merge_streams(streams: tuple, added: tuple) -> tuple:
    if not streams or not added:
        return streams or added
    merged = dict(streams)
    for limit, weight in added:
        merged[limit] = merged.get(limit, 0.0) + weight
    return tuple(merged.items())


@define(slots=True, eq=False)
class _PeerSum:
    """Sum of the loads that peers reported for one server.

    :param loads: load reported by each peer.
    :param reads: by peer, the seconds of reading that it reported and when; only peers
        that reported any.
    :ivar _total: sum of `loads` without the reading, None after a change.
    """

    loads: dict[str, ServerLoad] = field(factory=dict)
    reads: dict[str, tuple[float, float]] = field(factory=dict)
    _total: ServerLoad | None = None

    def set(self, peer: str, load: ServerLoad, now: float) -> None:
        """Replace the load that a peer reported."""
        self.loads[peer] = load
        self._total = None
        if load.read_s > 0:
            self.reads[peer] = (load.read_s, now)
        else:
            self.reads.pop(peer, None)

    def remove(self, peer: str) -> None:
        """Remove the load that a peer reported."""
        del self.loads[peer]
        self.reads.pop(peer, None)
        self._total = None

    def added_to(self, own: ServerLoad, now: float) -> ServerLoad:
        """Return the sum of this instance's load and those of peers."""
        total = self._total
        if total is None:
            total = self._total = self._sum()
        if own is NO_LOAD and not self.reads:
            return total
        read_s = own.read_s
        for reported_s, received_at in self.reads.values():
            read_s += max(0.0, reported_s - (now - received_at))
        return ServerLoad(
            read_s,
            own.lead_requests + total.lead_requests,
            own.helper_requests + total.helper_requests,
            own.tokens + total.tokens,
            _merge_streams(own.streams, total.streams),
        )

    def _sum(self) -> ServerLoad:
        leads = helpers = tokens = 0
        streams: dict[float, float] = {}
        for load in self.loads.values():
            leads += load.lead_requests
            helpers += load.helper_requests
            tokens += load.tokens
            for limit, weight in load.streams:
                streams[limit] = streams.get(limit, 0.0) + weight
        return ServerLoad(0.0, leads, helpers, tokens, tuple(streams.items()))


@define(slots=True)
class LoadTable:
    """Load of every server, summed over this instance and its peers.

    :ivar is_changed: whether this instance's load changed since peers were last
        notified.
    :ivar is_urgent: whether a long read was added, which must be announced to peers
        before they send more requests to its server.
    :ivar has_long_read: whether a read was added that all peers must know at once; see
        :mod:`briarrelay_core.routes.placing.longreads`.
    :ivar limits_s: pause limits in seconds of the streams that this instance and its
        peers have had.
    :ivar _peer_sums: loads that peers reported, by server.
    :ivar _digest_servers: servers in the last digest of each peer.
    :ivar _received_at: time of the last digest of each peer.
    :ivar _next_expiry: earliest time at which a digest may become too old.
    """

    _by_attempt: dict[int, list[AttemptLoad]] = field(factory=dict)
    _by_server: dict[str, list[AttemptLoad]] = field(factory=dict)
    _peer_sums: dict[str, _PeerSum] = field(factory=dict)
    _digest_servers: dict[str, tuple[str, ...]] = field(factory=dict)
    _received_at: dict[str, float] = field(factory=dict)
    _next_expiry: float = float("inf")
    is_changed: bool = False
    is_urgent: bool = False
    has_long_read: bool = False
    limits_s: set[float] = field(factory=set)

    def add(
        self,
        attempt_id: int,
        server: str,
        now: float,
        *,
        tokens: int = 0,
        read_s: float = 0.0,
        is_lead: bool = True,
        limit_s: float = 0.0,
        weight: float = 0.0,
    ) -> None:
        """Add the load of an attempt on one server, as lead or as helper."""
        server_loads = self._by_server.setdefault(server, [])
        starts_at = max([now, *(s.read_until for s in server_loads if s.is_reading)])
        load = AttemptLoad(
            server, is_lead, tokens, read_s, starts_at + read_s, limit_s, weight
        )
        server_loads.append(load)
        self._by_attempt.setdefault(attempt_id, []).append(load)
        self.is_changed = True
        self.is_urgent = self.is_urgent or read_s >= URGENT_READ_S
        self._add_limit(limit_s)

    def mark_read(self, attempt_id: int) -> None:
        """Mark the prompt of an attempt as read.

        The load of helpers that hold no context of it is removed.
        """
        loads = self._by_attempt.get(attempt_id, [])
        for load in loads:
            load.is_reading = False
            if not load.remains_after_read:
                self._remove_from_server(load)
        self._by_attempt[attempt_id] = [
            load for load in loads if load.remains_after_read
        ]
        self.is_changed = True

    def remove(self, attempt_id: int) -> None:
        """Remove the load of a finished attempt."""
        for load in self._by_attempt.pop(attempt_id, ()):
            self._remove_from_server(load)
            self.is_changed = True

    @contextmanager
    def without(self, attempt_id: int) -> Iterator[None]:
        """Leave out the load of an attempt within the context."""
        loads = self._by_attempt.get(attempt_id, [])
        for load in loads:
            self._remove_from_server(load)
        try:
            yield
        finally:
            for load in loads:
                self._by_server.setdefault(load.server, []).append(load)

    def _remove_from_server(self, load: AttemptLoad) -> None:
        server_loads = self._by_server[load.server]
        server_loads.remove(load)
        if not server_loads:
            del self._by_server[load.server]

    def apply_digest(self, digest: LoadDigest, now: float) -> None:
        """Replace the load that a peer reported by that in its new digest."""
        name = digest.sender.name
        sums = self._peer_sums
        for server in self._digest_servers.get(name, ()):
            if server not in digest.loads:
                self._remove_peer_load(server, name)
        for server, load in digest.loads.items():
            known = sums.get(server)
            if known is None:
                known = sums[server] = _PeerSum()
            known.set(name, load, now)
            for limit, _ in load.streams:
                self._add_limit(limit)
        self._digest_servers[name] = tuple(digest.loads)
        self._received_at[name] = now
        self._next_expiry = min(self._next_expiry, now + PEER_STALE_S)

    def _add_limit(self, limit_s: float) -> None:
        if limit_s > 0 and len(self.limits_s) < MAX_LIMITS:
            self.limits_s.add(limit_s)

    def _remove_peer_load(self, server: str, peer: str) -> None:
        known = self._peer_sums[server]
        known.remove(peer)
        if not known.loads:
            del self._peer_sums[server]

    def forget_peer(self, name: str) -> None:
        """Remove the load reported by a peer, as when it has stopped."""
        for server in self._digest_servers.pop(name, ()):
            self._remove_peer_load(server, name)
        self._received_at.pop(name, None)

    def _expire_digests(self, now: float) -> None:
        """Forget the digests that are too old."""
        outdated = [n for n, at in self._received_at.items() if now - at > PEER_STALE_S]
        for name in outdated:
            self.forget_peer(name)
        oldest = min(self._received_at.values(), default=float("inf"))
        self._next_expiry = oldest + PEER_STALE_S

    def reading_s(self, server: str, now: float) -> float:
        """Return seconds for which a server may be silent because it is reading.

        Reads for this instance's attempts count in full, since it is unknown when the
        server starts them.
        """
        own = self._by_server.get(server, ())
        full = sum(load.read_s for load in own if load.is_reading)
        remaining = sum(load.remaining_s(now) for load in own)
        return self.of(server, now).read_s - remaining + full

    def own_loads(self, now: float) -> dict[str, ServerLoad]:
        """Return the load of this instance's attempts, by server."""
        return {
            server: self._sum_loads(loads, now)
            for server, loads in self._by_server.items()
        }

    def _sum_loads(self, loads: list[AttemptLoad], now: float) -> ServerLoad:
        read_s = lead_count = helper_count = tokens = 0
        streams: dict[float, float] = {}
        for load in loads:
            read_s += load.remaining_s(now)
            tokens += load.tokens
            if not load.is_lead:
                helper_count += load.is_reading
                continue
            lead_count += 1
            if load.limit_s:
                streams[load.limit_s] = streams.get(load.limit_s, 0.0) + load.weight
        return ServerLoad(
            read_s, lead_count, helper_count, tokens, tuple(streams.items())
        )

    def of(self, server: str, now: float) -> ServerLoad:
        """Return the load of a server, summed over this instance and its peers."""
        if now > self._next_expiry:
            self._expire_digests(now)
        loads = self._by_server.get(server)
        own = self._sum_loads(loads, now) if loads else NO_LOAD
        known = self._peer_sums.get(server)
        return own if known is None else known.added_to(own, now)

"""What is in progress on each backend server, by own sends and peers' digests."""

from attrs import define, field

from briarrelay_core.ports.digest import LoadDigest, ServerLoad

__all__ = ["LoadTable", "SendLoad"]

PEER_STALE_S = 1.5
"""Seconds after which a silent peer's load is left out; digests come twice a second."""

URGENT_READ_S = 0.08
"""Seconds of reading that hold an engine up for longer than two passes."""

NO_LOAD = ServerLoad()


@define(slots=True, eq=False)
class SendLoad:
    """One send's part of the load of one server.

    :param read_s: seconds that the server reads for it.
    :param read_until: expected end of that reading.
    :param limit_s: longest pause between events, 0 if nothing is streamed there.
    :param weight: what a pause that is too long costs.
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
    def outlives_read(self) -> bool:
        """Whether it is there until the answer is whole."""
        return self.is_lead or self.tokens > 0

    def left_s(self, now: float) -> float:
        """Return seconds of reading that are left."""
        if not self.is_reading:
            return 0.0
        return max(0.0, min(self.read_s, self.read_until - now))


def _merge(streams: tuple, more: tuple) -> tuple:
    merged = dict(streams)
    for limit, weight in more:
        merged[limit] = merged.get(limit, 0.0) + weight
    return tuple(merged.items())


@define(slots=True)
class LoadTable:
    """Load of every server, as far as this instance knows.

    :ivar is_urgent: something was added that holds engines up, so that peers must know
        it before they send more there.
    :ivar _peers: by server and peer, what the peer has in progress there and when it
        said so.
    :ivar _told: servers that each peer named in its last digest.
    """

    _sends: dict[int, list[SendLoad]] = field(factory=dict)
    _by_server: dict[str, list[SendLoad]] = field(factory=dict)
    _peers: dict[str, dict[str, tuple[ServerLoad, float]]] = field(factory=dict)
    _digest_servers: dict[str, tuple[str, ...]] = field(factory=dict)
    is_changed: bool = False
    is_urgent: bool = False

    def add(
        self,
        send_id: int,
        server: str,
        now: float,
        *,
        tokens: int = 0,
        read_s: float = 0.0,
        is_lead: bool = True,
        limit_s: float = 0.0,
        weight: float = 0.0,
    ) -> None:
        """Note a send, or a part that a helper reads for it."""
        server_loads = self._by_server.setdefault(server, [])
        starts_at = max([now, *(s.read_until for s in server_loads if s.is_reading)])
        load = SendLoad(
            server, is_lead, tokens, read_s, starts_at + read_s, limit_s, weight
        )
        server_loads.append(load)
        self._sends.setdefault(send_id, []).append(load)
        self.is_changed = True
        self.is_urgent = self.is_urgent or read_s >= URGENT_READ_S

    def note_read(self, send_id: int) -> None:
        """Note that the prompt of a send has been read; helpers are done."""
        loads = self._sends.get(send_id, [])
        for load in loads:
            load.is_reading = False
            if not load.outlives_read:
                self._remove_from_server(load)
        self._sends[send_id] = [load for load in loads if load.outlives_read]
        self.is_changed = True

    def remove(self, send_id: int) -> None:
        """Note that a send is over."""
        for load in self._sends.pop(send_id, ()):
            self._remove_from_server(load)
            self.is_changed = True

    def _remove_from_server(self, load: SendLoad) -> None:
        server_loads = self._by_server[load.server]
        server_loads.remove(load)
        if not server_loads:
            del self._by_server[load.server]

    def apply_digest(self, digest: LoadDigest, now: float) -> None:
        """Take a peer's digest."""
        name = digest.sender.name
        self.forget_peer(name)
        for server, load in digest.loads.items():
            self._peers.setdefault(server, {})[name] = (load, now)
        self._digest_servers[name] = tuple(digest.loads)

    def forget_peer(self, name: str) -> None:
        """Leave out a peer that stopped."""
        for server in self._digest_servers.pop(name, ()):
            server_peers = self._peers[server]
            del server_peers[name]
            if not server_peers:
                del self._peers[server]

    def reading_s(self, server: str, now: float) -> float:
        """Return seconds for which a server may be silent because it reads.

        What this instance had read there counts whole, since its start is not known.
        """
        own = self._by_server.get(server, ())
        whole = sum(load.read_s for load in own if load.is_reading)
        left = sum(load.left_s(now) for load in own)
        return self.of(server, now).read_s - left + whole

    def own(self, now: float) -> dict[str, ServerLoad]:
        """Return what this instance has in progress, by server."""
        return {
            server: self._sum_sends(loads, now)
            for server, loads in self._by_server.items()
        }

    def _sum_sends(self, loads: list[SendLoad], now: float) -> ServerLoad:
        read_s = leads = helps = tokens = 0
        streams: dict[float, float] = {}
        for load in loads:
            read_s += load.left_s(now)
            tokens += load.tokens
            if not load.is_lead:
                helps += load.is_reading
                continue
            leads += 1
            if load.limit_s:
                streams[load.limit_s] = streams.get(load.limit_s, 0.0) + load.weight
        return ServerLoad(read_s, leads, helps, tokens, tuple(streams.items()))

    def of(self, server: str, now: float) -> ServerLoad:
        """Return the load of a server by all that is known."""
        loads = self._by_server.get(server)
        total = self._sum_sends(loads, now) if loads else NO_LOAD
        for load, received_at in self._peers.get(server, {}).values():
            age = now - received_at
            if age > PEER_STALE_S:
                continue
            total = ServerLoad(
                total.read_s + max(0.0, load.read_s - age),
                total.leads + load.leads,
                total.helps + load.helps,
                total.tokens + load.tokens,
                _merge(total.streams, load.streams),
            )
        return total

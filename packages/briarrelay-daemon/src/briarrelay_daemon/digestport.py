"""Load digests over UDP and directory state over HTTP between entry instances."""

import socket

import orjson

from briarrelay_core.mappings import MappingError, from_mapping, to_mapping
from briarrelay_core.ports.digest import (
    DigestReceived,
    PeerResponse,
    QueryPeer,
    SendDigest,
)
from briarrelay_core.ports.directory import ServerEntry, TopicChange
from briarrelay_core.routes.instance import RouteInstance
from briarrelay_core.routes.model import RouteConfiguration
from briarrelay_core.routes.presets import PresetCollection
from briarrelay_daemon.digestcodec import DigestError, decode_digest, encode_digest
from briarrelay_daemon.host import Host
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.jsonresponse import JsonResponse
from briarrelay_daemon.pages import PageServer
from briarrelay_daemon.reactor import READ
from briarrelay_daemon.settings import Address

__all__ = ["DigestPort", "read_peer_state"]

MAX_DATAGRAM_BYTES = 60_000
"""Longest digest that is sent or received; UDP carries at most 65,507 bytes."""

MAX_DATAGRAMS_PER_ITERATION = 64
"""Datagrams read in one iteration of the loop."""

READ_PAUSE_S = 0.02
"""Seconds between reads of digests for each unit by which the size factor exceeds 1;
in a large deployment a hundred arrive each second, and each would wake the process."""

STATE_PATH = "/peer/knowledge"
"""Path at which an instance serves its configuration, presets and servers."""

STATE_TIMEOUT_S = 1.0
"""Seconds until a peer's response must be complete."""


class DigestPort:
    """Sends digests and state queries to peers, and serves theirs.

    :param pages: server for requests by peers.
    :param bind: address on which digests are received.
    """

    def __init__(self, host: Host, client: HttpClient, pages: PageServer, bind):
        self._host = host
        self._client = client
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind((bind.host, bind.port))
        host.reactor.watch(self._sock, READ, self._on_ready)
        host.register(SendDigest, self._send)
        host.register(QueryPeer, self._request_state)
        pages.add(STATE_PATH, self._serve_state)

    def _send(self, effect: SendDigest) -> None:
        body = encode_digest(effect.digest)
        if len(body) > MAX_DATAGRAM_BYTES:
            self._host.counters.add("peer.digest_too_long")
            return
        for peer in effect.peers:
            try:
                self._sock.sendto(body, (peer.host, peer.digest_port))
            except (OSError, OverflowError):  # no way to it, or no valid address
                self._host.counters.add("peer.digest_not_sent")

    def _on_ready(self, _: int) -> None:
        for _ in range(MAX_DATAGRAMS_PER_ITERATION):
            try:
                data, _ = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                break  # no more datagrams
            self._receive(data)
        pause_s = READ_PAUSE_S * (self._host.core.peers.size_factor - 1.0)
        if pause_s > 0:
            reactor = self._host.reactor
            reactor.unwatch(self._sock)
            reactor.timers.at(reactor.clock() + pause_s, self._resume_reading)

    def _resume_reading(self, _: float) -> list:
        self._host.reactor.watch(self._sock, READ, self._on_ready)
        return []

    def _receive(self, data: bytes) -> None:
        try:
            digest = decode_digest(data)
        except DigestError:
            self._host.counters.add("peer.digest_bad")
            return
        self._host.dispatch(DigestReceived(digest))

    def _request_state(self, effect: QueryPeer) -> None:
        def on_done(status: int, value) -> None:
            self._host.dispatch(read_peer_state(effect, status, value))

        def on_lost(sent: bool) -> None:
            self._host.dispatch(PeerResponse(effect.peer, problem="no response"))

        self._client.call(
            Address(effect.peer.host, effect.peer.question_port),
            "GET",
            STATE_PATH,
            JsonResponse(on_done, on_lost),
            timeout=STATE_TIMEOUT_S,
            force_new_connection=True,
        )

    def _serve_state(self) -> tuple[int, bytes]:
        core: RouteInstance = self._host.core
        admission = core.controller.admission
        configuration = admission.configuration
        body = {
            "configuration": to_mapping(configuration) if configuration else None,
            "presets": admission.preset_collection.to_mapping(),
            "servers": [
                to_mapping(entry) for entry in core.controller.servers.entries()
            ],
        }
        return 200, orjson.dumps(body)


def read_peer_state(effect: QueryPeer, status: int, value) -> PeerResponse:
    """Return a peer's response for the core: its entries, or why they are invalid.

    :param value: decoded JSON body.
    """
    changes = []
    try:
        if value["configuration"] is not None:
            configuration = from_mapping(
                RouteConfiguration, value["configuration"], "peer"
            )
            changes.append(TopicChange("configuration", configuration))
        if "presets" in value:  # absent from responses of earlier releases
            collection = from_mapping(PresetCollection, value["presets"], "peer")
            changes.append(TopicChange("presets", collection))
        for mapping in value["servers"]:
            entry = from_mapping(ServerEntry, mapping, "peer")
            changes.append(TopicChange(entry.name, entry))
    except (MappingError, KeyError, TypeError) as error:
        return PeerResponse(effect.peer, problem=f"status {status}: {error}")
    return PeerResponse(effect.peer, tuple(changes))

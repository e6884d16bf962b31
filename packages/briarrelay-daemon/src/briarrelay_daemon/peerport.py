"""Other entry instances over gRPC; its threads only pass messages on."""

from concurrent.futures import ThreadPoolExecutor

import grpc
from attrs import define

from briarrelay_core.ports.peer import (
    PeerMessage,
    PeerMessageReceived,
    PeerUnreachable,
    SendToPeer,
)
from briarrelay_daemon import peer_pb2, peer_pb2_grpc
from briarrelay_daemon.host import Host
from briarrelay_daemon.peercodec import PeerCodecError, decode_message, encode_message
from briarrelay_daemon.reactor import Inbox
from briarrelay_daemon.settings import Address

__all__ = ["PeerPort"]

TIMEOUT_S = 2.0
"""Seconds for a peer to take a message."""

MAX_MESSAGE_BYTES = 64_000_000
"""Longest message; a relayed prompt of a million tokens fits."""

THREADS = 2
"""Threads that decode what peers send."""

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1_000),
)


@define(slots=True, frozen=True)
class _Failure:
    """A message that a peer did not take."""

    peer: str
    message: PeerMessage


class _Servicer(peer_pb2_grpc.PeerServicer):
    def __init__(self, inbox: Inbox):
        self._inbox = inbox

    def Deliver(self, request, context):  # noqa: N802
        """Take the messages of a peer."""
        try:
            messages = [decode_message(proto) for proto in request.messages]
        except PeerCodecError as error:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        for message in messages:
            self._inbox.put(
                PeerMessageReceived(request.sender, request.incarnation, message)
            )
        return peer_pb2.Taken()


class PeerPort:
    """Sends messages to peers and takes theirs."""

    def __init__(self, host: Host, bind: Address):
        self._host = host
        self._channels: dict[str, tuple[Address, grpc.Channel, object]] = {}
        self._waiting: dict[str, list[PeerMessage]] = {}
        self._inbox = Inbox(host.reactor, self._take)
        self._server = grpc.server(
            ThreadPoolExecutor(max_workers=THREADS), options=_OPTIONS
        )
        servicer = _Servicer(self._inbox)
        peer_pb2_grpc.add_PeerServicer_to_server(servicer, self._server)
        self.port = self._server.add_insecure_port(str(bind))
        host.register(SendToPeer, self._send)

    def start(self) -> None:
        """Begin to take messages."""
        self._server.start()

    def stop(self) -> None:
        """Take no more messages and wait for those on their way."""
        self._server.stop(grace=1.0).wait()
        for _, channel, _ in self._channels.values():
            channel.close()

    def _take(self, item) -> None:
        if isinstance(item, _Failure):
            self._host.dispatch(PeerUnreachable(item.peer, item.message))
        else:
            self._host.dispatch(item)

    def _stub(self, peer: str):
        member = self._host.core.context.membership.get(peer)
        if member is None or member.listed is None:
            return None
        address = Address(member.listed.host, member.listed.port)
        known = self._channels.get(peer)
        if known is not None and known[0] == address:
            return known[2]
        if known is not None:
            known[1].close()
        channel = grpc.insecure_channel(str(address), options=_OPTIONS)
        stub = peer_pb2_grpc.PeerStub(channel)
        self._channels[peer] = (address, channel, stub)
        return stub

    def _send(self, effect: SendToPeer) -> None:
        """Collect the messages of one turn of the loop into one call."""
        waiting = self._waiting.setdefault(effect.peer, [])
        waiting.append(effect.message)
        if len(waiting) == 1:
            self._host.reactor.defer(lambda: self._flush(effect.peer))

    def _flush(self, peer: str) -> None:
        messages = self._waiting.pop(peer, [])
        stub = self._stub(peer)
        if stub is None:
            for message in messages:
                self._host.dispatch(PeerUnreachable(peer, message))
            return
        identity = self._host.core.identity
        envelope = peer_pb2.Envelope(
            sender=identity.name,
            incarnation=identity.incarnation,
            messages=[encode_message(message) for message in messages],
        )
        call = stub.Deliver.future(envelope, timeout=TIMEOUT_S)
        call.add_done_callback(lambda done: self._on_done(done, peer, messages))

    def _on_done(self, call, peer: str, messages: list[PeerMessage]) -> None:
        """Note failures; this runs on a thread of gRPC."""
        if call.code() is grpc.StatusCode.OK:
            return
        for message in messages:
            self._inbox.put(_Failure(peer, message))

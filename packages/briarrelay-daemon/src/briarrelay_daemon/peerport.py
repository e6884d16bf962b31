"""gRPC adapter for messages between entry instances.

gRPC threads never call the core: they queue messages and failures for the event loop.
"""

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

DELIVER_TIMEOUT_S = 2.0
"""Timeout of the call that delivers messages to a peer."""

MAX_MESSAGE_BYTES = 64_000_000
"""Longest gRPC message; large enough for a relayed prompt of a million tokens."""

SERVER_THREADS = 2
"""Threads that decode messages from peers."""

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1_000),
)


@define(slots=True, frozen=True)
class _FailedDelivery:
    """A message that could not be delivered."""

    peer: str
    message: PeerMessage


class _Servicer(peer_pb2_grpc.PeerServicer):
    def __init__(self, inbox: Inbox):
        self._inbox = inbox

    def Deliver(self, request, context):  # noqa: N802
        """Queue the messages of a peer for the event loop."""
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
    """Sends messages to peers and passes received ones to the core."""

    def __init__(self, host: Host, bind_address: Address):
        self._host = host
        self._channels: dict[str, tuple[Address, grpc.Channel, object]] = {}
        self._outgoing: dict[str, list[PeerMessage]] = {}
        self._inbox = Inbox(host.reactor, self._on_inbox_item)
        self._server = grpc.server(
            ThreadPoolExecutor(max_workers=SERVER_THREADS), options=_OPTIONS
        )
        servicer = _Servicer(self._inbox)
        peer_pb2_grpc.add_PeerServicer_to_server(servicer, self._server)
        self.port = self._server.add_insecure_port(str(bind_address))
        host.register(SendToPeer, self._send)

    def start(self) -> None:
        """Start to accept messages."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting messages and wait for calls in progress."""
        self._server.stop(grace=1.0).wait()
        for _, channel, _ in self._channels.values():
            channel.close()

    def _on_inbox_item(self, item) -> None:
        if isinstance(item, _FailedDelivery):
            self._host.dispatch(PeerUnreachable(item.peer, item.message))
        else:
            self._host.dispatch(item)

    def _stub(self, peer: str):
        """Return the stub of a peer, with a new channel if its address changed.

        :returns: None for a peer without an entry in the instance list.
        """
        member = self._host.core.context.membership.get(peer)
        if member is None or member.listed is None:
            return None
        address = Address(member.listed.host, member.listed.port)
        cached = self._channels.get(peer)
        if cached is not None and cached[0] == address:
            return cached[2]
        if cached is not None:
            cached[1].close()
        channel = grpc.insecure_channel(str(address), options=_OPTIONS)
        stub = peer_pb2_grpc.PeerStub(channel)
        self._channels[peer] = (address, channel, stub)
        return stub

    def _send(self, effect: SendToPeer) -> None:
        """Batch the messages of one iteration of the event loop into one call."""
        batch = self._outgoing.setdefault(effect.peer, [])
        batch.append(effect.message)
        if len(batch) == 1:
            self._host.reactor.defer(lambda: self._flush(effect.peer))

    def _flush(self, peer: str) -> None:
        messages = self._outgoing.pop(peer, [])
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
        call = stub.Deliver.future(envelope, timeout=DELIVER_TIMEOUT_S)
        call.add_done_callback(lambda done: self._on_done(done, peer, messages))

    def _on_done(self, call, peer: str, messages: list[PeerMessage]) -> None:
        """Queue failed messages for the event loop; called on a thread of gRPC."""
        if call.code() is grpc.StatusCode.OK:
            return
        for message in messages:
            self._inbox.put(_FailedDelivery(peer, message))

"""gRPC adapter for messages between entry instances.

gRPC threads never call the core: they queue messages and failures for the event loop.
"""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from threading import Lock

import grpc
from attrs import define
from google.protobuf.message import DecodeError

from briarrelay_core.ports.peer import (
    PeerMessage,
    PeerMessageReceived,
    PeerUnreachable,
    RelayAnswer,
    RelayRequest,
    SendToPeer,
)
from briarrelay_core.reasons import RefusalReason
from briarrelay_daemon import peer_pb2, peer_pb2_grpc
from briarrelay_daemon.calleraccount import AccountHolder, CallerAccount
from briarrelay_daemon.host import Host
from briarrelay_daemon.peercodec import PeerCodecError, decode_message, encode_message
from briarrelay_daemon.reactor import Inbox
from briarrelay_daemon.settings import Address

__all__ = ["PeerPort"]

SERVICE = peer_pb2.DESCRIPTOR.services_by_name["Peer"].full_name

DELIVER_TIMEOUT_S = 2.0
"""Timeout of the call that delivers messages to a peer."""

MAX_MESSAGE_BYTES = 64_000_000
MIN_MESSAGE_BYTES = 4_194_304
"""Range of the longest gRPC message."""

PROMPT_OVERHEAD = 1.25
"""Size of a relayed prompt with its block hashes, as a multiple of its longest body."""

MAX_QUEUED_MESSAGES = 2
"""Messages of full length that wait for the event loop together."""

SERVER_THREADS = 4
"""Threads that receive and decode messages from peers. A peer that does not finish its
message holds one until the call's time limit."""

MAX_CALL_S = 10.0
"""Longest time limit of a call. gRPC ends it then, also within its message."""

MAX_CALLS = 64
"""Calls by peers that are served or wait for a thread."""

MAX_STREAMS = 16
"""Calls at a time on one connection."""

WINDOW_BYTES = 65_536
"""Bytes of a message that are received before a thread takes its call."""

HANDSHAKE_TIMEOUT_MS = 2_000
MAX_IDLE_MS = 10_000
MAX_AGE_MS = 20_000
AGE_GRACE_MS = 5_000
"""Bounds on the connections of peers, in milliseconds. A peer opens a new one when it
has something to send; `AGE_GRACE_MS` exceeds `DELIVER_TIMEOUT_S`."""

BLOCK_BYTES = 40
"""Memory of one hash of a block of a prompt."""

PROMPT_BYTES = 8_192
"""Memory of a relayed prompt in progress beside its text and hashes."""

RELAY_CHECK_S = 0.5
"""Seconds between checks which relayed prompts have ended."""


def _make_options(message_bytes: int) -> tuple[tuple[str, int], ...]:
    """Return the options of servers and channels."""
    return (
        ("grpc.max_receive_message_length", message_bytes),
        ("grpc.max_send_message_length", message_bytes),
        ("grpc.enable_http_proxy", 0),
        ("grpc.so_reuseport", 0),
        ("grpc.initial_reconnect_backoff_ms", 200),
        ("grpc.max_reconnect_backoff_ms", 1_000),
    )


def _make_server_options(max_connections: int) -> tuple[tuple[str, int], ...]:
    return (
        ("grpc.max_allowed_incoming_connections", max_connections),
        ("grpc.max_concurrent_streams", MAX_STREAMS),
        ("grpc.http2.bdp_probe", 0),  # it would raise the window of each call
        ("grpc.http2.lookahead_bytes", WINDOW_BYTES),
        ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
        ("grpc.max_connection_idle_ms", MAX_IDLE_MS),
        ("grpc.max_connection_age_ms", MAX_AGE_MS),
        ("grpc.max_connection_age_grace_ms", AGE_GRACE_MS),
    )


@define(slots=True, frozen=True)
class _FailedDelivery:
    """A message that could not be delivered."""

    peer: str
    message: PeerMessage


@define(slots=True, frozen=True)
class _Delivery:
    """Messages of one call.

    :param size: bytes of the call.
    """

    messages: list[PeerMessageReceived]
    size: int


@define(slots=True, frozen=True)
class _Rejection:
    """Why the messages of a call are not taken."""

    status: grpc.StatusCode
    detail: str


NO_MESSAGE = _Rejection(grpc.StatusCode.INVALID_ARGUMENT, "the call has no message")


class _Intake:
    """Queues the messages of calls for the event loop.

    The methods are called on threads of gRPC, except :meth:`remove`.

    :param limit: most bytes of calls that wait for the event loop.
    """

    def __init__(self, inbox: Inbox, limit: int):
        self._inbox = inbox
        self._limit = limit
        self._queued_bytes = 0
        self._lock = Lock()

    def deliver(self, deliveries: Iterator, context) -> peer_pb2.Taken:
        """Queue the messages of a call, unless too many wait.

        :param deliveries: what :func:`_decode_call` makes of the call's only message;
            raises if the call ends before it.
        """
        left_s = context.time_remaining()
        if left_s is None or left_s > MAX_CALL_S:
            detail = f"set a deadline of at most {MAX_CALL_S:.0f} s"
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, detail)
        delivery = next(deliveries, NO_MESSAGE)
        if isinstance(delivery, _Rejection):
            context.abort(delivery.status, delivery.detail)
        if not self._add(delivery.size):
            detail = "too many messages wait; send them again later"
            context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, detail)
        self._inbox.put(delivery)
        return peer_pb2.Taken()

    def _add(self, size: int) -> bool:
        with self._lock:
            if self._queued_bytes + size > self._limit:
                return False
            self._queued_bytes += size
            return True

    def remove(self, size: int) -> None:
        """Remove a call that the event loop takes."""
        with self._lock:
            self._queued_bytes -= size


def _decode_call(data: bytes) -> _Delivery | _Rejection:
    """Return the messages of a call, or why they can not be read.

    gRPC calls it for one call at a time.
    """
    try:
        return _Delivery(_decode_envelope(data), len(data))
    except (PeerCodecError, DecodeError) as error:
        return _Rejection(grpc.StatusCode.INVALID_ARGUMENT, str(error))


def _decode_envelope(data: bytes) -> list[PeerMessageReceived]:
    envelope = peer_pb2.Envelope.FromString(data)
    return [
        PeerMessageReceived(
            envelope.sender, envelope.incarnation, decode_message(proto)
        )
        for proto in envelope.messages
    ]


@define(slots=True, eq=False)
class _RelayedPrompt(AccountHolder):
    """Memory of a prompt that a peer relays, while it is in progress."""

    request_id: str

    def end_for_memory(self) -> None:
        """Do nothing: requests in progress are not ended."""


class PeerPort:
    """Sends messages to peers and passes received ones to the core.

    :param account: account of what callers hold; prompts that peers relay count.
    :param max_body_bytes: longest body of a request, which limits messages.
    :param max_connections: most connections from peers.
    """

    def __init__(
        self,
        host: Host,
        bind_address: Address,
        account: CallerAccount,
        max_body_bytes: int,
        max_connections: int,
    ):
        self._host = host
        self._account = account
        self._channels: dict[str, tuple[Address, grpc.Channel, object]] = {}
        self._outgoing: dict[str, list[PeerMessage]] = {}
        self._relayed: dict[str, _RelayedPrompt] = {}
        self._inbox = Inbox(host.reactor, self._on_inbox_item)
        prompt_bytes = int(PROMPT_OVERHEAD * max_body_bytes)
        self._message_bytes = min(
            MAX_MESSAGE_BYTES, max(MIN_MESSAGE_BYTES, prompt_bytes)
        )
        self._intake = _Intake(self._inbox, MAX_QUEUED_MESSAGES * self._message_bytes)
        self._options = _make_options(self._message_bytes)
        self._server = grpc.server(
            ThreadPoolExecutor(max_workers=SERVER_THREADS),
            options=self._options + _make_server_options(max_connections),
            maximum_concurrent_rpcs=MAX_CALLS,
        )
        self._server.add_registered_method_handlers(
            SERVICE, {"Deliver": self._make_handler()}
        )
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    SERVICE, {"Deliver": self._make_handler()}
                ),
            )
        )
        self.port = self._server.add_insecure_port(str(bind_address))
        host.register(SendToPeer, self._send)
        host.reactor.timers.every(
            RELAY_CHECK_S, self._release_ended, host.now + RELAY_CHECK_S
        )

    def _make_handler(self) -> grpc.RpcMethodHandler:
        """Return the handler; it sees a call before its message has arrived."""
        return grpc.stream_unary_rpc_method_handler(
            self._intake.deliver,
            request_deserializer=_decode_call,
            response_serializer=peer_pb2.Taken.SerializeToString,
        )

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
            return
        self._intake.remove(item.size)
        for received in item.messages:
            if isinstance(received.message, RelayRequest):
                self._receive_prompt(received)
            else:
                self._host.dispatch(received)

    def _receive_prompt(self, received: PeerMessageReceived) -> None:
        """Pass a relayed prompt to the core, if there is memory for it."""
        prompt = received.message
        if prompt.request_id in self._host.core.context.chats:
            return  # the peer repeats it
        self._release_ended(self._host.now)
        size = len(prompt.payload) + BLOCK_BYTES * len(prompt.blocks) + PROMPT_BYTES
        if not self._account.may_admit(size):
            self._host.counters.add("peer.prompt_refused_for_memory")
            refusal = RelayAnswer(
                prompt.request_id, 0, "", "not_run", RefusalReason.CANNOT_FINISH.value
            )
            self._send(SendToPeer(received.peer, refusal))
            return
        relayed = self._relayed[prompt.request_id] = _RelayedPrompt(prompt.request_id)
        self._account.update(relayed, size, size)
        self._host.dispatch(received)
        self._account.make_room()

    def _release_ended(self, _: float) -> list:
        """Release the memory of relayed prompts that are no longer in progress."""
        chats = self._host.core.context.chats
        for request_id in [i for i in self._relayed if i not in chats]:
            self._account.release(self._relayed.pop(request_id))
        return []

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
        channel = grpc.insecure_channel(str(address), options=self._options)
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
        for batch, protos in self._split(messages):
            self._deliver(stub, peer, batch, protos)

    def _split(self, messages: list[PeerMessage]):
        """Yield the messages in batches that a peer takes, with their encoding."""
        batch, protos, size = [], [], 0
        for message in messages:
            proto = encode_message(message)
            if batch and size + proto.ByteSize() > MIN_MESSAGE_BYTES // 2:
                yield batch, protos
                batch, protos, size = [], [], 0
            batch.append(message)
            protos.append(proto)
            size += proto.ByteSize()
        if batch:
            yield batch, protos

    def _deliver(self, stub, peer: str, messages: list[PeerMessage], protos) -> None:
        identity = self._host.core.identity
        envelope = peer_pb2.Envelope(
            sender=identity.name, incarnation=identity.incarnation, messages=protos
        )
        call = stub.Deliver.future(envelope, timeout=DELIVER_TIMEOUT_S)
        call.add_done_callback(lambda done: self._on_done(done, peer, messages))

    def _on_done(self, call, peer: str, messages: list[PeerMessage]) -> None:
        """Queue failed messages for the event loop; called on a thread of gRPC."""
        if call.code() is grpc.StatusCode.OK:
            return
        for message in messages:
            self._inbox.put(_FailedDelivery(peer, message))

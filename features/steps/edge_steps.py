"""Steps at the edges: broken connections, records, messages and frames."""

import json
import socket
from time import monotonic, time

import grpc
from behave import then, when

from briarrelay_daemon import peer_pb2, peer_pb2_grpc

CLOSE_LIMIT_S = 60.0


def _connect(context, index: int) -> socket.socket:
    port = context.cluster.daemons[f"entry-{index}"].port
    return socket.create_connection(("127.0.0.1", port), timeout=CLOSE_LIMIT_S)


def _chat_request(tokens: int) -> bytes:
    body = json.dumps(
        {
            "model": "base",
            "messages": [{"role": "user", "content": "x" * 4 * tokens}],
            "max_tokens": 1_000,
            "stream": True,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: briarrelay\r\n"
        "Authorization: Bearer key-ws1\r\n"
        f"Request-Deadline: {time() + 120:.0f}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@when("a caller leaves daemon {index:d} in the middle of its answer")
def leave(context, index):
    with _connect(context, index) as sock:
        sock.sendall(_chat_request(1_000))
        received = b""
        while received.count(b"data: ") < 3:
            received += sock.recv(4_096)
    daemon = context.cluster.daemons[f"entry-{index}"]
    context.cluster.wait_until(
        lambda: daemon.call("GET", "/status")[1]["chats"] == 0, "the chat is over"
    )


@when("a request to daemon {index:d} is cut short")
def cut_short(context, index):
    with _connect(context, index) as sock:
        sock.sendall(_chat_request(1_000)[:-100])


@when("a sender of half a header waits at daemon {index:d}")
def half_header(context, index):
    with _connect(context, index) as sock:
        sock.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: b")
        begin = monotonic()
        context.half_answer = sock.recv(1)
        context.half_s = monotonic() - begin


@then("its connection is closed")
def check_closed(context):
    assert context.half_answer == b"", context.half_answer


@when("records that do not parse are on every stream")
def bad_records(context):
    for stream in ("config", "claims", "orders", "audit"):
        path = f"/v1/streams/{stream}"
        records = {"records": ["{", "[]", "null", '{"kind": "patch"}']}
        context.cluster.platform.call("POST", path, records)


@when("a peer message of no known kind reaches daemon {index:d}")
def bad_message(context, index):
    port = context.cluster.daemons[f"entry-{index}"].peer_port
    with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
        stub = peer_pb2_grpc.PeerStub(channel)
        envelope = peer_pb2.Envelope(
            sender="entry-9", incarnation=1, messages=[peer_pb2.PeerMessage()]
        )
        try:
            stub.Deliver(envelope, timeout=10.0)
            context.peer_code = grpc.StatusCode.OK
        except grpc.RpcError as error:
            context.peer_code = error.code()


@then("the peer is told that its message is invalid")
def check_message(context):
    assert context.peer_code is grpc.StatusCode.INVALID_ARGUMENT, context.peer_code

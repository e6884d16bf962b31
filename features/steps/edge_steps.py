"""Steps for broken connections, invalid log records and invalid peer messages."""

import json
import socket
from time import time

import grpc
from behave import then, when

from briarrelay_daemon import peer_pb2, peer_pb2_grpc

SOCKET_TIMEOUT_S = 60.0


def _connect(context, index: int) -> socket.socket:
    port = context.cluster.daemons[f"entry-{index}"].port
    return socket.create_connection(("127.0.0.1", port), timeout=SOCKET_TIMEOUT_S)


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


@when("a caller disconnects from daemon {index:d} during a response")
def disconnect_during_response(context, index):
    with _connect(context, index) as sock:
        sock.sendall(_chat_request(1_000))
        received = b""
        while received.count(b"data: ") < 3:
            received += sock.recv(4_096)
    daemon = context.cluster.daemons[f"entry-{index}"]
    context.cluster.wait_until(
        lambda: daemon.call("GET", "/status")[1]["chats"] == 0,
        "the daemon has no chats",
    )


@when("a caller disconnects from daemon {index:d} during a request")
def disconnect_during_request(context, index):
    with _connect(context, index) as sock:
        sock.sendall(_chat_request(1_000)[:-100])


@when("a caller sends half a header to daemon {index:d} and waits")
def send_half_header(context, index):
    with _connect(context, index) as sock:
        sock.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: b")
        context.received = b""
        while data := sock.recv(4_096):
            context.received += data


@then("the daemon refuses the request and closes the connection")
def check_connection_closed(context):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 408 "), context.received
    assert json.loads(body)["error"]["outcome"] == "not_run", context.received


@when("invalid records are appended to every log stream")
def append_invalid_records(context):
    for stream in ("config", "claims", "orders", "audit"):
        path = f"/v1/streams/{stream}"
        records = {"records": ["{", "[]", "null", '{"kind": "patch"}']}
        context.cluster.platform.call("POST", path, records)


@when("a peer message of unknown kind is sent to daemon {index:d}")
def send_unknown_message(context, index):
    port = context.cluster.daemons[f"entry-{index}"].peer_port
    with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
        stub = peer_pb2_grpc.PeerStub(channel)
        envelope = peer_pb2.Envelope(
            sender="entry-9", incarnation=1, messages=[peer_pb2.PeerMessage()]
        )
        try:
            stub.Deliver(envelope, timeout=10.0)
            context.peer_status = grpc.StatusCode.OK
        except grpc.RpcError as error:
            context.peer_status = error.code()


@then("the peer gets the status INVALID_ARGUMENT")
def check_peer_status(context):
    assert context.peer_status is grpc.StatusCode.INVALID_ARGUMENT, context.peer_status

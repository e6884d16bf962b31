"""A server writes an earlier refusal once more on a connection that is kept open."""

import socket
import unittest
from time import monotonic

from httptools import HttpRequestParser
from logbook import Logger

from briarrelay_core.ports.memory import Reserve, ReserveResponse
from briarrelay_core.ports.route import (
    AbortAttempt,
    ForwardRequest,
    RelayFullResponse,
    ResponseComplete,
    ResponseHead,
    ResponseKind,
    RouteRequest,
)
from briarrelay_daemon.host import Host
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.metrics import Metrics
from briarrelay_daemon.reactor import Reactor
from briarrelay_daemon.routeport import RoutePort
from briarrelay_platform.dialect import PlatformDialect
from briarrelay_platform.orders import OrderPort
from properties.test_http_connections import LOCAL_ADDRESS, run_reactor
from properties.threadserver import ThreadServer

MAX_ATTEMPTS = 3


class _RepeatingServer(ThreadServer):
    """Writes its first response on a connection once more before each later one.

    It refuses the first request or order, and runs the others.

    :param with_id: whether its refusal repeats the id of the request.
    :ivar runs: ids of the requests that it ran, empty for orders.
    """

    def __init__(self, with_id: bool):
        self.with_id = with_id
        self.runs: list[bytes] = []
        self._has_refused = False
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        first = b""
        while (request_id := _read_id(sock)) is not None:
            response = self._respond(request_id)
            sock.sendall(first + response)
            first = first or response

    def _respond(self, request_id: bytes) -> bytes:
        echo = b"X-Attempt-Id: %b\r\n" % request_id if request_id else b""
        if not self._has_refused:
            self._has_refused = True
            return b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n%b%b\r\n" % (
                b"X-Not-Executed: 1\r\n",
                echo if self.with_id else b"",
            )
        self.runs.append(request_id)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Response-Seal: s\r\n"
        return head + echo + b"\r\n{}"


def _read_id(sock: socket.socket) -> bytes | None:
    """Read a request; return its id, None at the end of the connection."""

    class Reader:
        request_id = b""
        is_complete = False

        def on_header(self, name: bytes, value: bytes) -> None:
            if name.lower() == b"x-attempt-id":
                self.request_id = value

        def on_message_complete(self) -> None:
            self.is_complete = True

    reader = Reader()
    parser = HttpRequestParser(reader)
    while not reader.is_complete:
        data = sock.recv(65_536)
        if not data:
            return None
        parser.feed_data(data)
    return reader.request_id


class _RetryingCore:
    """Core that sends each request to one server until it is not refused.

    :ivar kinds: kinds of the responses to each request, by the id of its caller.
    :ivar grants: whether memory was reserved, None if that is unknown.
    """

    next_due = None

    def __init__(self, port: int):
        self.kinds: dict[str, list[ResponseKind]] = {}
        self.grants: list[bool | None] = []
        self._port = port
        self._requests: dict[int, RouteRequest] = {}

    def handle(self, message, now: float) -> list:
        if isinstance(message, RouteRequest):
            self.kinds[message.caller_request_id] = []
            return [self._forward(message)]
        if isinstance(message, ReserveResponse):
            self.grants.append(message.is_granted)
        if isinstance(message, ResponseHead):
            request = self._requests[message.attempt_id]
            kinds = self.kinds[request.caller_request_id]
            kinds.append(message.kind)
            is_refused = message.kind is ResponseKind.NOT_RUN
            if is_refused and len(kinds) < MAX_ATTEMPTS:
                return [AbortAttempt(message.attempt_id), self._forward(request)]
        if isinstance(message, ResponseComplete):
            request = self._requests[message.attempt_id]
            return [RelayFullResponse(request.request_id, message.attempt_id)]
        return []

    def _forward(self, request: RouteRequest) -> ForwardRequest:
        attempt_id = len(self._requests) + 1
        self._requests[attempt_id] = request
        return ForwardRequest(
            request_id=request.request_id,
            attempt_id=attempt_id,
            server="s",
            host="127.0.0.1",
            port=self._port,
            time_limit_s=1.0,
        )


class RepeatedRefusalTest(unittest.TestCase):
    def begin(self, with_id: bool) -> None:
        self.server = _RepeatingServer(with_id)
        self.addCleanup(self.server.close)
        self.reactor = Reactor(monotonic)
        self.core = _RetryingCore(self.server.port)
        self.host = Host(self.core, self.reactor, Metrics(), Logger("test"))
        self.client = HttpClient(self.reactor)
        self.port = RoutePort(
            self.host, self.client, LOCAL_ADDRESS, LOCAL_ADDRESS, PlatformDialect()
        )
        for server in self.port.servers:
            self.addCleanup(server._sock.close)
        OrderPort(self.host, self.client)

    def request(self, request_id: bytes) -> None:
        sock = socket.create_connection(("127.0.0.1", self.port.server.port))
        self.addCleanup(sock.close)
        lines = b"GET /look/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %b\r\n\r\n"
        sock.sendall(lines % request_id)
        run_reactor(self.reactor, lambda: False, 0.3)

    def order(self) -> None:
        reserve = Reserve(
            reservation_id="r",
            host="127.0.0.1",
            port=self.server.port,
            tokens=9,
            hold_s=1.0,
        )
        self.host._perform([reserve])
        run_reactor(self.reactor, lambda: False, 0.3)

    def test_request_that_runs_after_its_refusal_is_not_refused_again(self):
        for with_id in (True, False):
            self.begin(with_id)
            self.request(b"a")
            self.assertEqual([b"a"], self.server.runs)
            expected = [ResponseKind.NOT_RUN, ResponseKind.SUCCESS]
            self.assertEqual(expected, self.core.kinds["a"])

    def test_refusal_of_an_order_is_not_taken_for_that_of_a_request(self):
        """It bears no id, so that nothing tells whose it is."""
        self.begin(with_id=False)
        self.order()
        self.assertEqual([None], self.core.grants)
        self.request(b"b")
        self.assertEqual([b"b"], self.server.runs)
        self.assertEqual([ResponseKind.UNPROVEN], self.core.kinds["b"])

    def test_response_to_a_request_is_not_taken_for_that_of_an_order(self):
        self.begin(with_id=True)
        self.request(b"a")
        self.server._has_refused = False
        self.order()
        self.assertEqual([None], self.core.grants)
        self.assertEqual([b"a"], self.server.runs)


if __name__ == "__main__":
    unittest.main()

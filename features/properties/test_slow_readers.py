"""Callers and backend servers that read slowly: what is held for them is bounded."""

import socket
import unittest
from struct import pack
from time import monotonic
from unittest.mock import patch

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from logbook import Logger, NullHandler

from briarrelay_core.ports.route import (
    AbortAttempt,
    AbortResponse,
    ForwardRequest,
    ReadingPaused,
    RelayEnd,
    RelayEvent,
    RelayHead,
    ResponseComplete,
    ResponseEvent,
    ResponseLost,
    RouteRequest,
)
from briarrelay_core.routes.observations import ServerObservations
from briarrelay_daemon.heldbytes import BufferLimits, HeldBytes, SlowReader
from briarrelay_daemon.host import Host
from briarrelay_daemon.httpcall import READ_BYTES, HttpClient
from briarrelay_daemon.metrics import Metrics
from briarrelay_daemon.reactor import READ, WRITE, Reactor
from briarrelay_daemon.routeport import RoutePort
from briarrelay_platform.dialect import PlatformDialect
from properties.routeworld import RouteWorld, start_response
from properties.test_http_connections import LOCAL_ADDRESS, run_reactor

LIMITS = BufferLimits(response_bytes=65_536, total_bytes=4_000_000)
EVENT = b"id: %d\ndata: " + b"x" * 4_000 + b"\n\n"
EVENT_COUNT = 3_000
"""Events of a long response: 12 MB, more than the buffers of its connections."""

LONG_BODY = b"".join(EVENT % number for number in range(EVENT_COUNT))
SHORT_COUNT = 10
SHORT_BODY = b"".join(EVENT % number for number in range(SHORT_COUNT))

LAST_CHUNK = b"0\r\n\r\n"
RESET = pack("ii", 1, 0)


class _RelayCore:
    """Core that relays each response from one server."""

    next_due = None

    def __init__(self, port: int):
        self.port = port
        self.messages = []

    def handle(self, message, now: float) -> list:
        if isinstance(message, RouteRequest):
            forward = ForwardRequest(
                request_id=message.request_id,
                attempt_id=message.request_id,
                server="s",
                host="127.0.0.1",
                port=self.port,
                time_limit_s=20.0,
            )
            return [forward]
        if isinstance(message, ResponseEvent):
            number = message.attempt_id
            head = [RelayHead(number, number)] if message.event_id == "0" else []
            return [*head, RelayEvent(number, message.data)]
        self.messages.append(message)
        if isinstance(message, ResponseComplete):
            return [RelayEnd(message.attempt_id)]
        if isinstance(message, ResponseLost):
            return [AbortResponse(message.attempt_id)]
        return []

    def of_type(self, kind) -> list:
        return [message for message in self.messages if isinstance(message, kind)]


class _StreamServer:
    """Server that sends long streams as fast as they are read, in the same loop."""

    def __init__(self, reactor: Reactor):
        self.reactor = reactor
        self.reads = True
        self.sockets = []
        self.sent = {}
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.listener.setblocking(False)
        reactor.watch(self.listener, READ, self._accept)

    def _accept(self, _) -> None:
        sock, _ = self.listener.accept()
        sock.setblocking(False)
        self.sockets.append(sock)
        if self.reads:
            self.reactor.watch(sock, READ, lambda _: self._begin(sock))

    def _begin(self, sock) -> None:
        request = sock.recv(100_000)
        body = SHORT_BODY if b"/short" in request else LONG_BODY
        self.sent[sock] = 0
        head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
        head += b"X-Response-Seal: seal.a1\r\nConnection: close\r\n"
        head += b"Content-Type: text/event-stream\r\n"
        sock.send(head + b"Content-Length: %d\r\n\r\n" % len(body))
        rest = memoryview(body)
        self.reactor.watch(sock, WRITE, lambda _: self._send(sock, rest))

    def _send(self, sock, body: memoryview) -> None:
        first = self.sent[sock]
        try:
            self.sent[sock] += sock.send(body[first : first + 65_536])
        except ConnectionError:
            self.reactor.unwatch(sock)
            return
        if self.sent[sock] == len(body):
            self.reactor.unwatch(sock)

    def reset(self, sock) -> None:
        self.reactor.unwatch(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()


class SlowReadersTest(unittest.TestCase):
    def setUp(self):
        self.reactor = Reactor(monotonic)
        self.server = _StreamServer(self.reactor)
        self.core = _RelayCore(self.server.listener.getsockname()[1])
        self.metrics = Metrics()
        host = Host(self.core, self.reactor, self.metrics, Logger("test"))
        self.held = HeldBytes(self.reactor, LIMITS)
        client = HttpClient(self.reactor, self.held)
        self.port = RoutePort(
            host, client, LOCAL_ADDRESS, LOCAL_ADDRESS, PlatformDialect(), self.held
        )
        handler = NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.addCleanup(self.close_all)
        self.callers = []
        # Little stays in the kernel; accepted connections inherit the size.
        for sock in (self.server.listener, self.port.server._sock):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)

    def close_all(self) -> None:
        for sock in (*self.callers, *self.server.sockets, self.server.listener):
            sock.close()
        for server in self.port.servers:
            for connection in list(server._connections):
                connection.close()
            server._sock.close()

    def call(self, path: bytes = b"/chat/x", body: bytes = b"") -> socket.socket:
        """Send a request on a connection with a small receive buffer."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        sock.connect(("127.0.0.1", self.port.server.port))
        head = b"POST %b HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n" % path
        head += b"Content-Length: %d\r\n\r\n" % len(body)
        sock.setblocking(False)
        self.callers.append(sock)
        rest = memoryview(head + body)
        while rest:
            try:
                rest = rest[sock.send(rest) :]
            except BlockingIOError:
                self.run_for(0.01)
        return sock

    def run_for(self, seconds: float, is_done=lambda: False) -> None:
        run_reactor(self.reactor, is_done, seconds)

    def read(self, sock, seconds: float = 15.0, pause_s: float = 0.0) -> bytes:
        """Read a response to its end, or as much as comes in some seconds."""
        received, end = bytearray(), monotonic() + seconds
        while monotonic() < end and not received.endswith(LAST_CHUNK):
            self.run_for(pause_s, lambda: not pause_s)
            run_reactor(self.reactor, iter((False, True)).__next__, 1.0)
            try:
                data = sock.recv(1_000_000)
            except BlockingIOError:
                continue
            except ConnectionResetError:
                break
            if not data:
                break
            received += data
        return bytes(received)

    def test_server_waits_for_a_caller_that_reads_nothing(self):
        caller = self.call()
        self.run_for(8.0, lambda: self.core.of_type(ReadingPaused))
        self.run_for(0.5)
        self.assertEqual(self.core.of_type(ReadingPaused), [ReadingPaused(1, True)])
        bound = LIMITS.response_bytes + 2 * READ_BYTES
        self.assertLess(LIMITS.response_bytes, self.held.total)
        self.assertLess(self.held.total, bound)
        self.assertLess(sum(self.server.sent.values()), len(LONG_BODY))
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1_000_000)
        received = self.read(caller)
        self.assertEqual(received.count(b"id: "), EVENT_COUNT)
        self.assertTrue(received.endswith(LAST_CHUNK))
        self.assertIn(ReadingPaused(1, False), self.core.messages)
        self.assertEqual(self.held.total, 0)

    def test_fast_caller_is_not_delayed_and_the_total_is_bounded(self):
        slow = [self.call() for _ in range(200)]
        totals = []

        def is_settled() -> bool:
            totals.append(self.held.total)
            ended = self.metrics.totals.get("route.slow_reader_ended", 0)
            return len(self.core.of_type(ReadingPaused)) >= len(slow) and ended

        self.run_for(10.0, is_settled)
        self.assertTrue(is_settled())
        self.assertLess(max(totals), LIMITS.total_bytes + READ_BYTES)
        for _ in range(10):
            begun_at = monotonic()
            received = self.read(self.call(b"/chat/short"), 2.0)
            self.assertEqual(received.count(b"id: "), SHORT_COUNT)
            self.assertLess(monotonic() - begun_at, 0.5)
        self.assertLess(self.metrics.totals["route.slow_reader_ended"], len(slow))
        partial = [self.read(sock, 0.02) for sock in slow]
        self.assertFalse(any(data.endswith(LAST_CHUNK) for data in partial))

    def test_response_cut_off_by_the_server_does_not_look_complete(self):
        caller = self.call()
        self.run_for(8.0, lambda: self.core.of_type(ReadingPaused))
        self.server.reset(self.server.sockets[0])
        watched = len(self.reactor._callbacks)
        self.run_for(0.3)
        # The closed connection is not polled on end.
        self.assertEqual(len(self.reactor._callbacks), watched - 1)
        self.assertEqual(self.core.of_type(ResponseLost), [])
        received = self.read(caller)
        self.assertEqual(len(self.core.of_type(ResponseLost)), 1)
        self.assertGreater(received.count(b"id: "), 10)
        self.assertFalse(received.endswith(LAST_CHUNK))
        self.assertEqual(self.held.total, 0)

    def test_request_that_a_server_does_not_read_counts(self):
        self.server.reads = False
        body = b"x" * 12_000_000
        limits = self.port.server.limits
        self.port.server.limits = evolve(limits, body_bytes=len(body))
        self.held.limits = BufferLimits(65_536, 20_000_000)
        self.call(body=body)
        self.run_for(3.0, lambda: self.held.total)
        self.assertGreater(self.held.total, len(body))
        self.call(body=body)
        self.run_for(3.0, lambda: self.core.of_type(ResponseLost))
        (lost,) = self.core.of_type(ResponseLost)
        self.assertTrue(lost.is_ended_here)
        self.assertLess(self.held.total, 20_000_000)


class _Reader(SlowReader):
    def __init__(self, name: str, ended: list):
        self.name, self.ended = name, ended

    def end_slow(self) -> None:
        self.ended.append(self.name)


class HeldBytesTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.ended = []
        self.reactor = Reactor(lambda: self.now)
        self.held = HeldBytes(self.reactor, BufferLimits(100, 1_000))

    def test_slowest_reader_ends_first(self):
        readers = {name: _Reader(name, self.ended) for name in ("none", "some", "new")}
        self.held.update(readers["some"], 400)
        self.held.update(readers["none"], 300)
        self.now = 5.0
        self.held.update(readers["some"], 400, taken=200)
        self.held.update(readers["new"], 400)
        self.reactor.run_deferred()
        self.assertEqual(self.ended, ["none"])
        self.assertEqual(self.held.total, 800)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 5),
                st.integers(0, 500),
                st.integers(0, 99),
                st.booleans(),
            )
        )
    )
    def test_total_is_the_sum_within_its_bound(self, steps):
        self.setUp()
        readers = [_Reader(str(number), self.ended) for number in range(6)]
        for number, size, taken, releases in steps:
            self.now += 0.1
            if releases:
                self.held.release(readers[number])
            else:
                self.held.update(readers[number], size, taken)
            self.reactor.run_deferred()
            sizes = [holding.size for holding in self.held._holdings.values()]
            self.assertEqual(self.held.total, sum(sizes))
            self.assertLessEqual(self.held.total, 1_000)

    def test_bounds_follow_from_the_memory(self):
        limits = BufferLimits.for_memory(200_000_000)
        self.assertEqual(limits, BufferLimits(312_500, 20_000_000))
        self.assertEqual(BufferLimits.for_memory(None), BufferLimits())


class PausedReadingTest(unittest.TestCase):
    """What the core decides about servers that are not read."""

    def start(self, route: str = "chat") -> tuple[RouteWorld, ForwardRequest]:
        world = RouteWorld()
        (sent,) = world.forwards(world.request(route))
        start_response(world, sent.attempt_id)
        world.deliver(ReadingPaused(sent.request_id, True))
        return world, sent

    def test_pause_is_no_silence_of_the_server(self):
        world, sent = self.start()
        effects = world.advance(4.0)
        effects += world.deliver(ReadingPaused(sent.request_id, False))
        effects += world.advance(0.5)
        for kind in (AbortAttempt, AbortResponse, ForwardRequest):
            self.assertEqual(world.of_type(effects, kind), [])

    def test_silence_after_the_pause_counts(self):
        world, sent = self.start()
        world.advance(4.0)
        world.deliver(ReadingPaused(sent.request_id, False))
        effects = world.advance(1.5)
        self.assertEqual(len(world.of_type(effects, ForwardRequest)), 1)

    def test_response_that_was_cut_off_resumes_without_a_strike(self):
        world, sent = self.start()
        world.advance(3.0)
        world.deliver(ReadingPaused(sent.request_id, False))
        world.deliver(ResponseEvent(sent.attempt_id, "2", b"2"))
        controller = world.instance.controller
        health = controller.observations.health
        effects = world.deliver(ResponseLost(sent.attempt_id, True, "reset", True))
        (resumed,) = world.forwards(effects)
        self.assertEqual(resumed.resume_after, "2")
        self.assertNotIn(sent.server, health._by_name)
        self.assertEqual(world.of_type(effects, AbortResponse), [])

    def test_response_that_may_not_resume_is_cut(self):
        world, sent = self.start("once")
        world.advance(3.0)
        world.deliver(ReadingPaused(sent.request_id, False))
        effects = world.deliver(ResponseLost(sent.attempt_id, True, "reset", True))
        self.assertEqual(world.forwards(effects), [])
        self.assertEqual(world.of_type(effects, RelayEnd), [])
        self.assertEqual(len(world.of_type(effects, AbortResponse)), 1)

    def test_request_that_this_instance_ended_is_no_failed_connection(self):
        for is_ended_here in (False, True):
            world = RouteWorld()
            (sent,) = world.forwards(world.request("chat"))
            lost = ResponseLost(sent.attempt_id, True, "slow", False, is_ended_here)
            with patch.object(ServerObservations, "record_unacknowledged") as record:
                world.deliver(lost)
            self.assertEqual(record.called, not is_ended_here)

    def test_loss_during_the_pause_is_no_strike(self):
        world, sent = self.start()
        world.advance(3.0)
        effects = world.deliver(ResponseLost(sent.attempt_id, True, "reset", True))
        health = world.instance.controller.observations.health
        self.assertNotIn(sent.server, health._by_name)
        self.assertEqual(len(world.forwards(effects)), 1)

    def test_response_that_ended_with_its_connection_after_a_pause_may_be_cut(self):
        for route, forwards, aborts in (("chat", 1, 0), ("once", 0, 1)):
            world, sent = self.start(route)
            world.advance(3.0)
            world.deliver(ReadingPaused(sent.request_id, False))
            effects = world.deliver(ResponseComplete(sent.attempt_id, True))
            self.assertEqual(world.of_type(effects, RelayEnd), [])
            self.assertEqual(len(world.forwards(effects)), forwards)
            self.assertEqual(len(world.of_type(effects, AbortResponse)), aborts)

    def test_response_that_ended_with_its_connection_is_complete_if_it_was_read(self):
        world, sent = self.start()
        world.advance(0.5)
        world.deliver(ReadingPaused(sent.request_id, False))
        effects = world.deliver(ResponseComplete(sent.attempt_id, True))
        self.assertEqual(len(world.of_type(effects, RelayEnd)), 1)


if __name__ == "__main__":
    unittest.main()

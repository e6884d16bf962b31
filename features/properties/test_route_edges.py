"""Bytes at the edges: callers' requests, servers' answers, events."""

import socket
import sys
import unittest
from pathlib import Path
from time import monotonic

from hypothesis import given, settings
from hypothesis import strategies as st

from briarrelay_daemon.callerserver import CallerServer
from briarrelay_daemon.eventsplit import EventSplitter
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.reactor import Reactor
from briarrelay_daemon.responsereader import CallSink
from briarrelay_daemon.settings import Address

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))


HERE = Address("127.0.0.1", 0)


def turn(reactor: Reactor, is_over, seconds: float = 2.0) -> None:
    """Run the loop's work until something is so."""
    end = monotonic() + seconds
    while not is_over() and monotonic() < end:
        for fileno, events in reactor._epoll.poll(0.01):
            reactor._callbacks[fileno](events)
        reactor.run_deferred()
        reactor.timers.run_due(reactor.clock())
        reactor.run_deferred()


class CallerServerTest(unittest.TestCase):
    def setUp(self):
        self.reactor = Reactor(monotonic)
        self.requests = []
        self.left = []
        self.server = CallerServer(
            HERE, self.reactor, self.requests.append, self.left.append
        )
        self.sock = socket.create_connection(("127.0.0.1", self.server.port))
        self.addCleanup(self.sock.close)
        self.addCleanup(self.server._sock.close)

    def send(self, data: bytes, is_over=lambda: False, seconds: float = 0.3) -> None:
        self.sock.sendall(data)
        turn(self.reactor, is_over, seconds)

    def receive(self) -> bytes:
        self.sock.settimeout(1.0)
        turn(self.reactor, lambda: False, 0.05)
        return self.sock.recv(65_536)

    def test_whole_request_is_handed_on(self):
        self.send(
            b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-A: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            lambda: self.requests,
        )
        exchange = self.requests[0]
        self.assertEqual((exchange.method, exchange.target), ("POST", b"/a?b=1"))
        self.assertEqual(exchange.body, b"abc")
        self.assertEqual(exchange.headers[1:3], [(b"X-A", b"1"), (b"X-A", b"2")])
        exchange.reply(200, [(b"X-B", b"3")], b"body")
        answer = self.receive()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK\r\nX-B: 3\r\n"))
        self.assertNotIn(b"close", answer)

    def test_second_request_waits_for_the_first_answer(self):
        one = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
        self.send(one % 1 + one % 2)
        self.assertEqual(len(self.requests), 1)
        self.requests[0].reply(200, [], b"1")
        turn(self.reactor, lambda: len(self.requests) > 1)
        self.assertEqual(self.requests[1].target, b"/2")

    def check_refused(self, data: bytes, status: int):
        self.send(data)
        self.assertEqual(self.requests, [])
        self.assertIn(b" %d " % status, self.receive()[:16])

    def test_two_lengths(self):
        self.check_refused(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            400,
        )

    def test_length_beside_chunks(self):
        self.check_refused(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        )

    def test_broken_chunk(self):
        self.check_refused(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            400,
        )

    def test_long_header(self):
        self.check_refused(b"GET / HTTP/1.1\r\nX-A: " + b"a" * 20_000, 431)

    def test_long_body(self):
        self.check_refused(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", 413
        )

    def test_slow_header(self):
        self.server.limits = self.server.limits.__class__(header_s=0.2)
        self.send(b"GET / HTTP/1.1\r\nX-A", seconds=1.2)
        self.assertIn(b" 408 ", self.receive()[:16])

    def test_leaving_caller_is_noticed(self):
        self.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", lambda: self.requests)
        self.sock.close()
        turn(self.reactor, lambda: self.left)
        self.assertEqual(self.left, self.requests)

    def test_cut_answer_does_not_look_complete(self):
        self.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", lambda: self.requests)
        self.requests[0].begin(200, [])
        self.requests[0].send(b"part")
        turn(self.reactor, lambda: False, 0.05)
        self.requests[0].abort()
        turn(self.reactor, lambda: False, 0.05)
        got = b""
        while part := self.sock.recv(1_000):
            got += part
        self.assertIn(b"part", got)
        self.assertNotIn(b"0\r\n\r\n", got)

    @settings(max_examples=60, deadline=None)
    @given(st.binary(max_size=400))
    def test_no_bytes_break_it(self, data):
        sock = socket.create_connection(("127.0.0.1", self.server.port))
        sock.sendall(data)
        sock.close()
        turn(self.reactor, lambda: False, 0.02)


class _Sink(CallSink):
    """Keeps what becomes of a call.

    :param wanted: value of the header x-id that the answer must have.
    """

    def __init__(self, wanted: str = ""):
        self.wanted = wanted
        self.status = 0
        self.body = b""
        self.end = None

    def accepts(self, status: int, headers: dict[str, str]) -> bool:
        return headers.get("x-id", "") in ("", self.wanted)

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status

    def on_data(self, data: bytes) -> None:
        self.body += data

    def on_end(self) -> None:
        self.end = "whole"

    def on_lost(self, sent: bool) -> None:
        self.end = "lost" if sent else "not sent"


class HttpCallTest(unittest.TestCase):
    def setUp(self):
        self.reactor = Reactor(monotonic)
        self.client = HttpClient(self.reactor)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.address = Address("127.0.0.1", self.listener.getsockname()[1])

    def call(self, *answers: bytes, close: bool = False, wanted: str = "") -> _Sink:
        """Make a call to a server that sends bytes and may close."""
        sink = _Sink(wanted)
        self.client.call(self.address, "GET", "/", sink, timeout=1.0, fresh=True)
        sock, _ = self.listener.accept()
        self.addCleanup(sock.close)
        turn(self.reactor, lambda: False, 0.05)
        sock.recv(1_000)
        for data in answers:
            sock.sendall(data)
            turn(self.reactor, lambda: False, 0.02)
        if close:
            sock.close()
        turn(self.reactor, lambda: sink.end)
        return sink

    def idle(self) -> int:
        return len(self.client._idle.get(self.address, ()))

    def test_connection_is_kept(self):
        sink = self.call(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")
        self.assertEqual((sink.status, sink.body, sink.end), (200, b"ab", "whole"))
        self.assertEqual(self.idle(), 1)

    def test_idle_connection_is_closed_after_its_time(self):
        self.call(
            b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(self.idle(), 1)
        self.client._sweep(self.reactor.clock() + 1.5)
        self.assertEqual(self.client._idle, {})

    def test_extra_answer_ends_the_connection(self):
        one = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
        sink = self.call(one + b"ab" + one + b"cd")
        self.assertEqual((sink.body, sink.end), (b"ab", "whole"))
        self.assertEqual(self.idle(), 0)

    def test_foreign_answer_is_skipped(self):
        one = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: 2\r\n\r\n%b"
        sink = self.call(one % (b"old", b"no") + one % (b"new", b"ab"), wanted="new")
        self.assertEqual((sink.body, sink.end), (b"ab", "whole"))

    def test_truncated_answer_is_lost(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"
        self.assertEqual(self.call(answer, close=True).end, "lost")

    def test_answer_may_end_with_its_connection(self):
        sink = self.call(b"HTTP/1.1 200 OK\r\n\r\nab", close=True)
        self.assertEqual((sink.body, sink.end), (b"ab", "whole"))

    def test_bytes_that_are_no_answer(self):
        self.assertEqual(self.call(b"nonsense\r\n\r\n").end, "lost")

    def test_early_answer_to_a_long_request(self):
        """A connection that still owes a body is not used again."""
        sink = _Sink()
        body = b"a" * 8_000_000
        self.client.call(
            self.address, "POST", "/", sink, body=body, timeout=2.0, fresh=True
        )
        sock, _ = self.listener.accept()
        self.addCleanup(sock.close)
        turn(self.reactor, lambda: False, 0.05)
        sock.sendall(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        turn(self.reactor, lambda: sink.end)
        self.assertEqual(sink.status, 503)
        self.assertEqual(self.idle(), 0)

    def start_long_call(self):
        """Begin a call whose body the server does not read."""
        sink = _Sink()
        call = self.client.call(
            self.address,
            "POST",
            "/",
            sink,
            body=b"a" * 30_000_000,
            timeout=5.0,
            fresh=True,
        )
        sock, _ = self.listener.accept()
        self.addCleanup(sock.close)
        sock.settimeout(2.0)
        turn(self.reactor, lambda: False, 0.1)
        return call, sock

    def test_what_was_not_confirmed_does_not_arrive_after_a_drop(self):
        """A cut held a request back; it reached a server that had left meanwhile."""
        call, sock = self.start_long_call()
        call.cancel()
        with self.assertRaises(ConnectionResetError):
            while sock.recv(1_000_000):
                pass

    def test_unconfirmed_bytes_end_a_connection(self):
        self.start_long_call()
        connection = next(iter(self.reactor._callbacks.values())).__self__._connection
        limit = connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(limit, 1_000)

    def test_what_was_confirmed_is_closed_properly(self):
        sink = _Sink()
        call = self.client.call(self.address, "GET", "/", sink, timeout=5.0, fresh=True)
        sock, _ = self.listener.accept()
        self.addCleanup(sock.close)
        turn(self.reactor, lambda: False, 0.1)
        call.cancel()
        sock.settimeout(2.0)
        got = b""
        while part := sock.recv(1_000):
            got += part
        self.assertTrue(got.startswith(b"GET / "))

    def test_refused_connection_is_not_sent(self):
        self.listener.close()
        sink = _Sink()
        self.client.call(self.address, "GET", "/", sink, timeout=1.0)
        turn(self.reactor, lambda: sink.end)
        self.assertEqual(sink.end, "not sent")

    @settings(max_examples=40, deadline=None)
    @given(st.binary(max_size=300))
    def test_no_answer_breaks_it(self, data):
        sink = self.call(data, close=True)
        self.assertIn(sink.end, ("whole", "lost", "not sent"))


class EventTest(unittest.TestCase):
    @given(st.lists(st.integers(1, 99), max_size=8), st.integers(1, 7))
    def test_events_come_whole_however_they_are_cut(self, ids, size):
        text = b"".join(b"id: %d\ndata: x\n\n" % number for number in ids)
        splitter = EventSplitter()
        events = []
        for at in range(0, len(text), size):
            events += splitter.feed(text[at : at + size])
        self.assertEqual([event.event_id for event in events], list(map(str, ids)))
        self.assertEqual(b"".join(event.data for event in events), text)
        self.assertFalse(splitter.has_partial_event)


if __name__ == "__main__":
    unittest.main()

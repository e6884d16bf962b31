"""Whole requests that must get an answer although something fails on the way."""

import errno
import socket
import unittest
from time import monotonic
from unittest import mock

from logbook import Logger, NullHandler

from briarrelay_core.outcomes import Failed
from briarrelay_core.ports.route import (
    ForwardRequest,
    ResponseLost,
    RouteRequest,
    SendErrorResponse,
)
from briarrelay_core.reasons import FailureReason
from briarrelay_core.routes.silence import SilenceChecker
from briarrelay_core.timers import TimerService
from briarrelay_daemon.callerserver import CallerServer
from briarrelay_daemon.host import Host
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.metrics import Metrics
from briarrelay_daemon.reactor import Reactor
from briarrelay_daemon.routeport import RoutePort
from briarrelay_platform.dialect import PlatformDialect
from properties.routeworld import RouteWorld
from properties.test_http_connections import LOCAL_ADDRESS, run_reactor

REQUEST = b"GET /look/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n"


class _OneAttemptCore:
    """Core that sends each request once and answers a lost attempt with an error."""

    next_due = None

    def __init__(self):
        self.messages = []

    def handle(self, message, now: float) -> list:
        self.messages.append(message)
        if isinstance(message, RouteRequest):
            forward = ForwardRequest(
                request_id=message.request_id,
                attempt_id=1,
                server="s",
                host="127.0.0.1",
                port=9,
                time_limit_s=1.0,
            )
            return [forward]
        if isinstance(message, ResponseLost):
            return [SendErrorResponse(1, Failed(FailureReason.SERVER_LOST))]
        return []


def open_no_socket(*_):
    """Fail as when no file descriptor is left."""
    raise OSError(errno.EMFILE, "Too many open files")


class RoutePortTest(unittest.TestCase):
    def setUp(self):
        self.reactor = Reactor(monotonic)
        self.core = _OneAttemptCore()
        host = Host(self.core, self.reactor, Metrics(), Logger("test"))
        self.port = RoutePort(
            host,
            HttpClient(self.reactor),
            LOCAL_ADDRESS,
            LOCAL_ADDRESS,
            PlatformDialect(),
        )
        self.addCleanup(self.port.server._sock.close)
        self.sock = socket.create_connection(("127.0.0.1", self.port.server.port))
        self.sock.settimeout(0.5)
        self.addCleanup(self.sock.close)

    def exchange(self, data: bytes) -> bytes:
        self.sock.sendall(data)
        with NullHandler().applicationbound():
            run_reactor(self.reactor, lambda: False, 0.2)
        return self.sock.recv(65_536)

    def test_request_is_answered_when_no_connection_can_be_opened(self):
        with mock.patch.object(HttpClient, "_acquire_connection", open_no_socket):
            self.assertIn(b"HTTP/1.1 502", self.exchange(REQUEST + b"\r\n"))
        (lost,) = [m for m in self.core.messages if isinstance(m, ResponseLost)]
        self.assertFalse(lost.is_sent)

    def test_request_is_answered_when_the_core_raises(self):
        with (
            mock.patch.object(self.core, "handle", side_effect=KeyError),
            self.assertRaises(KeyError),
        ):
            self.exchange(REQUEST + b"\r\n")
        self.assertIn(b"HTTP/1.1 502", self.exchange(b""))

    def test_request_with_unreadable_numbers_is_refused(self):
        for header in (
            b"X-Request-Deadline: \xb2",
            b"X-Request-Deadline: " + b"9" * 5_000,
            b"X-Token-Counts: \xb2,1",
            b"X-Token-Counts: 1," + b"9" * 400,
        ):
            with self.subTest(header=header[:30]):
                response = self.exchange(REQUEST + header + b"\r\n\r\n")
                self.assertIn(b"HTTP/1.1 400", response)


class LongResponseTest(unittest.TestCase):
    def test_body_longer_than_the_buffer_reaches_the_caller(self):
        reactor, requests, disconnected = Reactor(monotonic), [], []
        server = CallerServer(
            LOCAL_ADDRESS, reactor, requests.append, disconnected.append
        )
        self.addCleanup(server._sock.close)
        sock = socket.create_connection(("127.0.0.1", server.port))
        self.addCleanup(sock.close)
        sock.sendall(REQUEST + b"\r\n")
        run_reactor(reactor, lambda: requests)
        requests[0].reply(200, [], b"x" * 3_000_000)
        sock.setblocking(False)
        received, end = 0, monotonic() + 3.0
        while received < 3_000_000 and monotonic() < end:
            run_reactor(reactor, lambda: True)
            run_reactor(reactor, lambda: False, 0.01)
            try:
                data = sock.recv(1_000_000)
            except BlockingIOError:
                continue
            if not data:
                break
            received += len(data)
        self.assertGreaterEqual(received, 3_000_000)
        self.assertEqual(disconnected, [])


class _FailingTimersCore:
    """Core whose timers raise once."""

    def __init__(self):
        self.calls = 0

    @property
    def next_due(self) -> float | None:
        return 1.0 if self.calls < 2 else None

    def start(self, now: float) -> list:
        return []

    def run_timers(self, now: float) -> list:
        self.calls += 1
        return [1 // 0] if self.calls == 1 else []


class FailingCallbackTest(unittest.TestCase):
    """A callback that raises does not take others with it."""

    def test_deferred_callbacks_after_one_that_raises_still_run(self):
        reactor, done = Reactor(monotonic), []
        reactor.defer(lambda: 1 // 0)
        reactor.defer(lambda: done.append("flushed"))
        with self.assertRaises(ZeroDivisionError):
            reactor.run_deferred()
        reactor.run_deferred()
        self.assertEqual(done, ["flushed"])

    def test_periodic_timer_goes_on_after_a_call_that_raises(self):
        timers, calls = TimerService(), []

        def check(now: float) -> list:
            calls.append(now)
            return [1 // 0] if len(calls) == 1 else []

        timers.every(0.1, check, 1.0)
        with self.assertRaises(ZeroDivisionError):
            timers.run_due(1.0)
        timers.run_due(1.2)
        self.assertEqual(calls, [1.0, 1.2])

    def test_effects_of_timers_before_one_that_raises_are_returned(self):
        """They may hold the answer to a request that is no longer in progress."""
        timers = TimerService()
        timers.at(1.0, lambda now: ["answer"])
        timers.at(1.0, lambda now: [1 // 0])
        with self.assertRaises(ZeroDivisionError):
            timers.run_due(1.0)
        self.assertEqual(timers.next_due, 1.0)
        self.assertEqual(timers.run_due(1.0), ["answer"])

    def test_timers_of_the_core_run_after_one_that_raises(self):
        """Without other messages, nothing else would set the timer again."""
        reactor, core = Reactor(lambda: 1.0), _FailingTimersCore()
        host = Host(core, reactor, Metrics(), Logger("test"))
        host.start()
        with self.assertRaises(ZeroDivisionError):
            reactor.timers.run_due(1.0)
        reactor.timers.run_due(1.0)
        self.assertEqual(core.calls, 2)

    def test_deadlines_are_kept_while_other_checks_raise(self):
        world = RouteWorld()
        world.request("look")
        with mock.patch.object(SilenceChecker, "check", side_effect=KeyError):
            effects = []
            for _ in range(100):
                try:
                    effects += world.advance(0.1)
                except KeyError:
                    effects += world.advance(0.0)
        self.assertEqual(len(world.of_type(effects, SendErrorResponse)), 1)

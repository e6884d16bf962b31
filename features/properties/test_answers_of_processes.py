"""Requests over real connections to servers that break off in all ways.

Whatever a server does before its response has begun to reach the caller, the caller
gets a complete answer or a refusal in its time; the same beside planned work.
"""

import socket
import unittest
from collections.abc import Callable
from itertools import product
from struct import pack
from time import monotonic, sleep

from httptools import HttpResponseParser
from logbook import Logger, NullHandler

from briarrelay_core.agreement.configuration import Preset
from briarrelay_core.identity import Identity
from briarrelay_core.ports.control import (
    CloseIdleConnections,
    DrainRequested,
    ExitProcess,
    ProcessResumed,
)
from briarrelay_core.ports.directory import (
    ListTopic,
    PeerAddress,
    PollTopic,
    PublishEntry,
    ReadTopic,
    Topic,
    TopicChange,
    TopicListed,
    TopicRead,
)
from briarrelay_core.ports.log import AppendLog
from briarrelay_core.ports.memory import Release, Reserve
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.instance import RouteInstance
from briarrelay_core.routes.model import CallerLimits, KeyHolder
from briarrelay_core.routes.presets import PresetCollection
from briarrelay_daemon.host import Host, SteadyClock
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.metrics import Metrics
from briarrelay_daemon.reactor import Reactor
from briarrelay_daemon.routeport import RoutePort
from briarrelay_platform.dialect import PlatformDialect
from properties.routeworld import HOST, KEY, make_configuration, make_entry
from properties.test_http_connections import LOCAL_ADDRESS, run_reactor
from properties.threadserver import ThreadServer

TIME_LIMIT_S = 0.6
ANSWER_MARGIN_S = 0.5
LONGEST_TURN_S = 0.05
"""Seconds that a turn of the loop takes at most while the process runs."""

LONG_BODY = b"a" * 6_000_000
"""More than the sockets' buffers hold."""

WORK_DELAY_S = 0.05
"""Seconds from the last byte sent to the planned work."""

UNUSED_EFFECTS = (
    AppendLog,
    ListTopic,
    PollTopic,
    PublishEntry,
    ReadTopic,
    Release,
    Reserve,
)

RESET_ON_CLOSE = pack("ii", 1, 0)
SEAL = b"X-Attempt-Id: a1\r\nX-Response-Seal: s\r\n"
GOOD = b"HTTP/1.1 200 OK\r\n" + SEAL + b"Content-Length: 2\r\n\r\nok"
GOOD_TO_HEAD = GOOD.removesuffix(b"ok")
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    + SEAL
    + b"Transfer-Encoding: chunked\r\n\r\n"
)
EVENT = b"id: 1\ndata: x\n\n"
CHUNK = b"%x\r\n%b\r\n" % (len(EVENT), EVENT)
STREAM = STREAM_HEAD + CHUNK + b"0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno"


def read_request(sock: socket.socket) -> bytes:
    """Read a request to its end; return it."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65_536)
        if not part:
            return b""
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    received = len(body)
    while received < length:
        part = sock.recv(1_000_000)
        if not part:
            return b""
        received += len(part)
    return head


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def answer_after_head(response: bytes) -> Callable:
    """Return a fault: respond when the first bytes arrive, and then reset or close."""

    def act(sock: socket.socket) -> None:
        sock.recv(100)
        sock.sendall(response)
        sleep(0.02)
        sock.close()  # with unread bytes, which resets the connection

    return act


def answer(*parts: bytes, closes: bool = True, resets: bool = False) -> Callable:
    """Return a fault: read the request, send parts of a response and end."""

    def act(sock: socket.socket) -> None:
        read_request(sock)
        for part in parts:
            sock.sendall(part)
            sleep(0.01)
        if resets:
            reset(sock)
        elif closes:
            sock.close()

    return act


FAULTS = {
    "close at once": lambda sock: sock.close(),
    "reset at once": reset,
    "close after the request": answer(),
    "reset after the request": answer(resets=True),
    "no response": answer(closes=False),
    "interim response only": answer(b"HTTP/1.1 100 Continue\r\n\r\n"),
    "part of a head": answer(b"HTTP/1.1 200 OK\r\nX-A"),
    "head only": answer(GOOD_TO_HEAD),
    "part of a body, reset": answer(GOOD[:-1], resets=True),
    "part of a body, no end": answer(GOOD[:-1], closes=False),
    "no response in the protocol": answer(b"nonsense\r\n\r\n"),
    "unproven": answer(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
    "other protocol": answer(
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
    ),
    "unframed": answer(b"HTTP/1.1 200 OK\r\n" + SEAL + b"\r\nok"),
    "unframed, reset": answer(b"HTTP/1.1 200 OK\r\n" + SEAL + b"\r\nok", resets=True),
    "refused, close": answer(NOT_RUN),
    "refused, open": answer(NOT_RUN, closes=False),
    "refused before the body": answer_after_head(NOT_RUN),
    "failed before the body": answer_after_head(
        b"HTTP/1.1 500 No\r\n" + SEAL + b"Content-Length: 2\r\n\r\nno"
    ),
    "other server": answer(b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"),
    "response of another request": answer(
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a0\r\nContent-Length: 2\r\n\r\nno"
    ),
    "head of a stream": answer(STREAM_HEAD),
    "head of a stream, reset": answer(STREAM_HEAD, resets=True),
    "part of an event": answer(STREAM_HEAD + b"3\r\nid:\r\n", resets=True),
    "empty stream": answer(STREAM_HEAD + b"0\r\n\r\n"),
}


class _Server(ThreadServer):
    """A server with faults for its first requests; later ones get a good answer."""

    def __init__(self, response: bytes, faults: list[Callable], pause_s: float = 0.0):
        self.faults = faults
        self.response = response
        self.pause_s = pause_s
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        if self.faults:
            self.faults.pop()(sock)
            return
        while request := read_request(sock):
            is_head = request.startswith(b"HEAD ")
            response = GOOD_TO_HEAD if is_head else self.response
            # a stream pauses after its first event
            head, event, rest = response.partition(CHUNK)
            sock.sendall(head + event)
            sleep(self.pause_s)
            sock.sendall(rest)


class _CuttingServer(ThreadServer):
    """A server that ends within the head of its second response."""

    def __init__(self, response: bytes, length: int, resets: bool):
        self.response = response
        self.length = length
        self.resets = resets
        self.requests = 0
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        while read_request(sock):
            self.requests += 1
            if self.requests == 2:
                sock.sendall(self.response[: self.length])
                sleep(0.01)
                reset(sock) if self.resets else sock.close()
                return
            sock.sendall(self.response)


class _Reader:
    """Reads one response from a caller's connection.

    :ivar end: ``whole``, or how the connection ended before.
    """

    def __init__(self, is_head: bool):
        self.status = 0
        self.body = b""
        self.end = ""
        self._is_head = is_head
        self._parser = HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        self.status = self._parser.get_status_code()
        if self._is_head:
            self.end = "whole"

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.end = "whole"

    def read(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(65_536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self._parser.feed_data(data)
        elif not self.end:
            self.end = "closed"


class ServerTest(unittest.TestCase):
    def test_no_thread_uses_a_descriptor_after_it_is_closed(self):
        server = _Server(GOOD, [], 0.0)
        with socket.create_connection(("127.0.0.1", server.port)) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            self.assertTrue(sock.recv(65_536))
            server.close()
        self.assertEqual([], [t for t in server.threads if t.is_alive()])


class AnswerTest(unittest.TestCase):
    def start(self, service: str, *servers: _Server) -> None:
        self.reactor = Reactor(SteadyClock())
        core = RouteInstance(
            identity=Identity("entry-1", 1, "a"),
            address=PeerAddress(
                name="entry-1", host="127.0.0.1", question_port=1, digest_port=2
            ),
            repeats=RetryLimits(slack=100.0),
            grace_s=8.0,
            hold_s=3.2,
        )
        self.host = Host(core, self.reactor, Metrics(), Logger("test"))
        for effect in UNUSED_EFFECTS:
            self.host.register(effect, lambda _: None)
        client = HttpClient(self.reactor)
        self.port = RoutePort(
            self.host, client, LOCAL_ADDRESS, LOCAL_ADDRESS, PlatformDialect()
        )
        for effect in (CloseIdleConnections, ExitProcess):
            self.host.register(effect, lambda _: self.port.server.close_idle())
        self.host.start()
        entries = [
            make_entry(f"{service}-{n}", service, host="127.0.0.1", port=server.port)
            for n, server in enumerate(servers)
        ]
        changes = tuple(TopicChange(entry.name, entry) for entry in entries)
        self.host.dispatch(TopicListed(Topic.SERVERS, changes, 0, False))
        configuration = TopicChange("config", make_configuration())
        self.host.dispatch(TopicListed(Topic.CONFIGURATION, (configuration,), 0, False))

    def send(
        self,
        sock: socket.socket,
        method: str,
        route: str,
        body: bytes,
        work: Callable[[], None] = lambda: None,
        is_work_while_reading: bool = False,
        time_limit_s: float = TIME_LIMIT_S,
    ) -> tuple["_Reader", float]:
        """Send a request; return the reader of its response, and its seconds.

        The seconds in which this process did not run are not counted.

        :param work: called when half of the request has been sent, or all of it.
        """
        head = (
            f"{method} /{route}/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a1\r\n"
            f"X-Request-Deadline: {time_limit_s * 1000:.0f}\r\n"
            f"X-Token-Counts: 100,10\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        message = memoryview(head.encode() + body)
        half = len(message) // 2 if is_work_while_reading else len(message)
        unsent, work_at = message[:half], None
        reader, began_at = _Reader(method == "HEAD"), monotonic()
        stalled_s, turn_at = 0.0, began_at
        while not reader.end and monotonic() < began_at + time_limit_s + 2.0:
            if unsent:
                try:
                    unsent = unsent[sock.send(unsent) :]
                except BlockingIOError:
                    pass
                except OSError:
                    unsent = unsent[:0]  # its refusal may have arrived
            elif work_at is None:
                work_at = monotonic() + WORK_DELAY_S
            elif monotonic() >= work_at:
                work()
                unsent, work_at = message[half:], float("inf")
            run_reactor(self.reactor, lambda: False, 0.002)
            reader.read(sock)
            stalled_s += max(0.0, monotonic() - turn_at - LONGEST_TURN_S)
            turn_at = monotonic()
        return reader, turn_at - began_at - stalled_s

    def play(self, route: str, fault: str, method: str, body: bytes) -> _Reader:
        """Let the first server fail; send two requests on one connection."""
        is_stream = route in ("chat", "once")
        response = STREAM if is_stream else GOOD
        faults = [FAULTS[fault]]
        servers = [_Server(response, faults), _Server(response, faults)]
        try:
            self.start("llm" if is_stream else "desk", *servers)
            self.port.server.limits = CallerLimits(body_bytes=len(LONG_BODY))
            address = ("127.0.0.1", self.port.server.port)
            with socket.create_connection(address) as sock:
                sock.setblocking(False)
                readers = []
                for _ in range(2):
                    reader, seconds = self.send(sock, method, route, body)
                    self.assertEqual(reader.end, "whole")
                    self.assertLess(seconds, TIME_LIMIT_S + ANSWER_MARGIN_S)
                    readers.append(reader)
                self.assertEqual(readers[1].status, 200)
                return readers[0]
        finally:
            self.port.server._sock.close()
            for server in servers:
                server.close()

    def change_configuration(self, **changes) -> None:
        configuration = make_configuration(2, **changes)
        change = TopicChange("config", configuration)
        self.host.dispatch(TopicRead(Topic.CONFIGURATION, (change,), 1))
        self.port.server.limits = configuration.limits

    def change_presets(self) -> None:
        preset = Preset(retry_ratio=0.0, accept_long=False, accept_calls=False)
        collection = PresetCollection(revision=1, presets={"a": preset}, active="a")
        change = TopicChange("presets", collection)
        self.host.dispatch(TopicRead(Topic.PRESETS, (change,), 1))

    def remove_servers(self) -> None:
        for service, number in product(("llm", "desk"), range(2)):
            change = TopicChange(f"{service}-{number}", None)
            self.host.dispatch(TopicRead(Topic.SERVERS, (change,), 1))

    def stop(self, elapsed_s: float = 0.0) -> None:
        self.port.server.keeps_alive = False
        self.host.dispatch(DrainRequested())
        self.host.core.stopping.began_at -= elapsed_s

    def suspend(self) -> None:
        sleep(1.2)
        self.host.dispatch(ProcessResumed(1.2))

    def test_each_request_is_answered_beside_planned_work(self):
        limits = CallerLimits(header_bytes=10, body_bytes=0, header_s=0.01, idle_s=0.01)
        others = (KeyHolder(name="others", keys=("key-2",)),)
        works = {
            "nothing": lambda: None,
            "routes": lambda: self.change_configuration(routes=()),
            "keys": lambda: self.change_configuration(holders=others),
            "limits": lambda: self.change_configuration(limits=limits),
            "services": lambda: self.change_configuration(services={}),
            "presets": self.change_presets,
            "servers": self.remove_servers,
            "stop": self.stop,
            "stop that refuses": lambda: self.stop(3.0),
            "stop that ends": lambda: self.stop(7.0),
            "suspension": self.suspend,
        }
        for work, route, body, is_reading in product(
            works, ("look", "chat"), (b"x", LONG_BODY), (False, True)
        ):
            with (
                self.subTest(work=work, route=route, body=len(body), is_r=is_reading),
                NullHandler().applicationbound(),
            ):
                self.play_beside(works[work], route, body, is_reading)

    def play_beside(
        self, work: Callable[[], None], route: str, body: bytes, is_reading: bool
    ) -> _Reader:
        """Send a request with planned work on the way; return its response."""
        is_stream = route == "chat"
        server = _Server(STREAM if is_stream else GOOD, [], 0.2)
        try:
            self.start("llm" if is_stream else "desk", server)
            self.port.server.limits = CallerLimits(body_bytes=len(LONG_BODY))
            address = ("127.0.0.1", self.port.server.port)
            with socket.create_connection(address) as sock:
                sock.setblocking(False)
                reader, _ = self.send(sock, "POST", route, body, work, is_reading, 3.0)
            self.assertEqual(reader.end, "whole")
            if not is_reading:
                self.assertEqual(reader.status, 200)
            return reader
        finally:
            self.port.server._sock.close()
            server.close()

    def test_each_request_is_answered(self):
        requests = (("GET", b""), ("HEAD", b""), ("POST", b"x"), ("POST", LONG_BODY))
        for route, fault, (method, body) in product(
            ("look", "book", "chat", "once"), FAULTS, requests
        ):
            with (
                self.subTest(route=route, fault=fault, method=method, body=len(body)),
                NullHandler().applicationbound(),
            ):
                self.play(route, fault, method, body)

    def test_head_that_is_cut_between_other_responses_is_no_response(self):
        """Callers on kept connections could get it as a short or empty success."""
        for route, cut, resets in product(
            ("look", "book", "chat", "once"), range(0, 180, 13), (False, True)
        ):
            is_stream = route in ("chat", "once")
            response, body = (STREAM, EVENT) if is_stream else (GOOD, b"ok")
            if cut >= response.index(b"\r\n\r\n") + 4:
                continue
            with (
                self.subTest(route=route, cut=cut, resets=resets),
                NullHandler().applicationbound(),
            ):
                server = _CuttingServer(response, cut, resets)
                readers = self.send_three(route, server)
                whole = [(r.status, r.body) == (200, body) for r in readers]
                self.assertEqual([True, True], [whole[0], whole[2]])
                # the only server has failed, so nothing can be tried again
                self.assertEqual(502, readers[1].status)

    def send_three(self, route: str, server: _CuttingServer) -> list[_Reader]:
        """Send three requests on one connection; return what the caller got."""
        service = "llm" if route in ("chat", "once") else "desk"
        try:
            self.start(service, server)
            address = ("127.0.0.1", self.port.server.port)
            with socket.create_connection(address) as sock:
                sock.setblocking(False)
                return [
                    self.send(sock, "POST", route, b"x", time_limit_s=3.0)[0]
                    for _ in range(3)
                ]
        finally:
            self.port.server._sock.close()
            server.close()


if __name__ == "__main__":
    unittest.main()

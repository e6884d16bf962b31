"""Every decoder at the edges against spoilt copies of captured bytes."""

import socket
import sys
import tempfile
import unittest
from pathlib import Path
from time import monotonic

import orjson
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from briarrelay_core.ports.digest import DigestReceived
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_daemon.callerserver import CallerServer, RawExchange
from briarrelay_daemon.digestcodec import DigestError, decode_digest
from briarrelay_daemon.digestport import QueryPeer, read_peer_state
from briarrelay_daemon.eventsplit import EventSplitter
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.reactor import Reactor
from briarrelay_daemon.responsereader import CallSink
from briarrelay_daemon.settings import Address, SettingsError
from properties.routeworld import RouteWorld
from properties.test_route_edges import HERE, turn

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "platform"))

from briarrelay_platform.decode import (  # noqa: E402
    decode_configuration,
    decode_entry,
    decode_server,
)
from briarrelay_platform.dialect import PlatformDialect  # noqa: E402
from briarrelay_platform.fields import DecodeError  # noqa: E402
from briarrelay_platform.records import RecordError, decode_keyed_records  # noqa: E402
from briarrelay_platform.settings import read_platform_settings  # noqa: E402

CORPUS = Path(__file__).resolve().parents[1] / "corpus"
PEER = PeerAddress(name="p", host="10.0.0.1", question_port=1, digest_port=2)


def samples(edge: str) -> list[bytes]:
    """Return the captured samples of an edge."""
    found = [path.read_bytes() for path in sorted(CORPUS.glob(f"{edge}-*.bin"))]
    if not found:
        raise FileNotFoundError(f"no samples of {edge}; run features/corpus/capture.py")
    return found


@st.composite
def spoilt(draw, edge: str) -> bytes:
    """Draw a sample with some bytes cut, changed, doubled or put in."""
    data = bytearray(draw(st.sampled_from(samples(edge))))
    for _ in range(draw(st.integers(0, 3))):
        at = draw(st.integers(0, max(0, len(data) - 1)))
        change = draw(st.sampled_from(("cut", "byte", "double", "insert", "drop")))
        if change == "cut":
            del data[at:]
        elif change == "byte" and data:
            data[at] = draw(st.integers(0, 255))
        elif change == "double":
            data[at:at] = data[at : at + draw(st.integers(1, 40))]
        elif change == "insert":
            data[at:at] = draw(st.binary(min_size=1, max_size=8))
        else:
            del data[at : at + draw(st.integers(1, 20))]
    return bytes(data)


class CallerCorpusTest(unittest.TestCase):
    def setUp(self):
        self.reactor = Reactor(monotonic)
        self.dialect = PlatformDialect()
        self.server = CallerServer(HERE, self.reactor, self.on_request, lambda _: None)

    def on_request(self, exchange: RawExchange) -> None:
        self.dialect.read_request(exchange, 1)
        exchange.reply(200, [], b"ok")

    def ask(self, data: bytes) -> bytes:
        with socket.create_connection(("127.0.0.1", self.server.port)) as sock:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            sock.setblocking(False)
            got = bytearray()

            def is_over() -> bool:
                try:
                    part = sock.recv(65_536)
                except BlockingIOError:
                    return False
                except ConnectionError:
                    return True
                got.extend(part)
                return not part

            turn(self.reactor, is_over, 1.0)
        return bytes(got)

    @settings(max_examples=60, deadline=None)
    @given(st.data())
    def test_spoilt_requests_harm_nobody(self, data):
        self.ask(data.draw(spoilt("caller")))
        good = self.ask(samples("caller")[0])
        self.assertTrue(good.startswith(b"HTTP/1.1 200 "), good[:80])


class _EngineSink(CallSink):
    """Reads an answer as an engine's stream is read."""

    def __init__(self):
        self.end = ""
        self.splitter = EventSplitter()
        self.dialect = PlatformDialect()

    def on_head(self, status, headers):
        self.dialect.read_head(status, headers, 1)

    def on_data(self, data):
        self.splitter.feed(data)

    def on_end(self):
        self.end = "whole"

    def on_lost(self, sent):
        self.end = "lost"


class EngineCorpusTest(unittest.TestCase):
    def setUp(self):
        self.reactor = Reactor(monotonic)
        self.client = HttpClient(self.reactor)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)

    @settings(max_examples=60, deadline=None)
    @given(spoilt("engine"))
    def test_spoilt_answers_end(self, data):
        sink = _EngineSink()
        address = Address("127.0.0.1", self.listener.getsockname()[1])
        self.client.call(address, "GET", "/", sink, timeout=0.4, fresh=True)
        sock, _ = self.listener.accept()
        with sock:
            turn(self.reactor, lambda: False, 0.005)
            sock.sendall(data)
        turn(self.reactor, lambda: sink.end, 1.0)
        self.assertIn(sink.end, ("whole", "lost"))


class PlatformCorpusTest(unittest.TestCase):
    """Decoders of the store, of peers and of the settings file."""

    def bodies(self, data: bytes) -> bytes:
        return data.partition(b"\r\n\r\n")[2]

    @settings(max_examples=200, deadline=None)
    @given(spoilt("store"))
    def test_spoilt_answers_of_the_store(self, data):
        body = self.bodies(data)
        try:
            records = decode_keyed_records(body)
        except RecordError:
            return
        for key, value in records:
            for decode in (decode_server, decode_entry):
                self.check(lambda v, d=decode, k=key: d(k, v), value)
            self.check(decode_configuration, value)

    def check(self, decode, value: bytes) -> None:
        try:
            decode(value)
        except DecodeError as error:
            self.assertTrue(str(error))

    @settings(max_examples=200, deadline=None)
    @given(spoilt("peer"))
    def test_spoilt_digests_harm_no_instance(self, data):
        try:
            digest = decode_digest(data)
        except DigestError:
            return
        world = RouteWorld()
        world.tell(DigestReceived(digest))
        world.tell(DigestReceived(evolve(digest, number=digest.number + 1)))
        world.advance(1.0)
        self.assertEqual(len(world.forwards(world.request("chat"))), 1)

    @settings(max_examples=200, deadline=None)
    @given(spoilt("knowledge"))
    def test_spoilt_knowledge_of_a_peer(self, data):
        try:
            value = orjson.loads(data)
        except ValueError:
            return
        answer = read_peer_state(QueryPeer(PEER), 200, value)
        world = RouteWorld()
        world.tell(answer)
        world.advance(1.0)

    @settings(max_examples=150, deadline=None)
    @given(spoilt("settings"))
    def test_spoilt_settings_are_told_in_a_line(self, data):
        with tempfile.NamedTemporaryFile(suffix=".toml") as file:
            file.write(data)
            file.flush()
            try:
                read_platform_settings(file.name)
            except SettingsError as error:
                self.assertNotIn("\n", str(error))


if __name__ == "__main__":
    unittest.main()

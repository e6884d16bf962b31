"""The daemon's edges: bounded answers, broken peer messages, the codec."""

import socket
import unittest

import orjson
from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.ports.peer import (
    Digest,
    Evidence,
    FetchRevision,
    HandOver,
    RecentSend,
    RelayRequest,
    ReportEntry,
    ReserveMemory,
)
from briarrelay_daemon import peer_pb2
from briarrelay_daemon.chatapi import sse_event_prefix, sse_text_event
from briarrelay_daemon.engineport import EnginePort
from briarrelay_daemon.peercodec import (
    PeerCodecError,
    decode_message,
    encode_message,
)
from briarrelay_daemon.reactor import Reactor
from briarrelay_daemon.responsestream import ResponseStream

LIMIT = 65_536
NAMES = st.text("abc-09", max_size=8)
TIMES = st.floats(0, 2e9)
COUNTS = st.integers(0, 2**40)

MESSAGES = st.one_of(
    st.builds(
        Digest,
        as_of=TIMES,
        revision=COUNTS,
        draining=st.booleans(),
        demand_rate=TIMES,
        sends=st.lists(
            st.builds(RecentSend, NAMES, st.integers(0, 2), COUNTS, TIMES), max_size=3
        ).map(tuple),
        evidence=st.lists(st.builds(Evidence, NAMES, COUNTS, NAMES), max_size=3).map(
            tuple
        ),
        reports=st.lists(
            st.builds(
                ReportEntry,
                engine=NAMES,
                as_of=TIMES,
                queued_short=COUNTS,
                queued_medium=COUNTS,
                queued_long=COUNTS,
                memory_free=COUNTS,
                decoding=st.integers(0, 1_000),
                memory_total=COUNTS,
                rate=TIMES,
                step_s=TIMES,
                models=st.lists(NAMES, max_size=2).map(tuple),
            ),
            max_size=2,
        ).map(tuple),
    ),
    st.builds(ReserveMemory, NAMES, NAMES, st.integers(0, 9), COUNTS, TIMES),
    st.builds(FetchRevision, COUNTS),
    st.builds(HandOver, NAMES, st.lists(st.text(max_size=9), max_size=3).map(tuple)),
    st.builds(
        RelayRequest,
        request_id=NAMES,
        key=NAMES,
        model=NAMES,
        prompt_tokens=COUNTS,
        output_tokens=COUNTS,
        deadline=TIMES,
        hops=st.integers(0, 2),
        blocks=st.lists(st.integers(0, 2**64 - 1), max_size=3).map(tuple),
        payload=st.binary(max_size=9),
    ),
)


class PeerCodecTest(unittest.TestCase):
    @given(MESSAGES)
    def test_messages_survive_the_wire(self, message):
        raw = encode_message(message).SerializeToString()
        self.assertEqual(decode_message(peer_pb2.PeerMessage.FromString(raw)), message)

    def test_a_message_of_no_known_kind_is_refused(self):
        with self.assertRaises(PeerCodecError) as caught:
            decode_message(peer_pb2.PeerMessage())
        self.assertIn("update the older instance", str(caught.exception))


class OutStreamTest(unittest.TestCase):
    def test_a_caller_that_does_not_read_is_bounded(self):
        reactor = Reactor(lambda: 0.0)
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        stream = ResponseStream(ours, reactor, LIMIT)
        accepted = 0
        while stream.write(b"x" * 1_000):
            accepted += 1_000
            reactor.run_deferred()
            self.assertLess(accepted, 10_000_000, "the stream is not bounded")
        self.assertTrue(stream.is_over_limit)
        self.assertLessEqual(len(stream._buffer), LIMIT)
        stream.discard()
        self.assertEqual(len(stream._buffer), 0)
        ours.close()
        theirs.close()

    @given(st.text(max_size=20))
    def test_events_are_json_around_the_text(self, text):
        event = sse_text_event(sse_event_prefix("r1"), text)
        value = orjson.loads(event.removeprefix(b"data: "))
        self.assertEqual(value["choices"][0]["delta"]["content"], text)
        self.assertEqual(value["id"], "r1")


class _Recorder:
    """Stands in for the host: keeps what it is told."""

    def __init__(self):
        self.told = []
        self.counted = []
        self.counters = self

    def register(self, effect_class, perform) -> None:
        """Take what the port performs."""

    def dispatch(self, message) -> None:
        """Keep a message."""
        self.told.append(message)

    def add(self, name: str) -> None:
        """Keep the name of a counter."""
        self.counted.append(name)


class EngineFrameTest(unittest.TestCase):
    KEY = ("e0", "r1", 2)

    def take(self, line: bytes) -> _Recorder:
        host = _Recorder()
        EnginePort(host, None).on_frame_line(self.KEY, line)
        return host

    def test_a_frame_of_another_request_or_attempt_is_dropped(self):
        for other in (b'"r2","a":2', b'"r1","a":1'):
            host = self.take(b'{"r":' + other + b',"s":0,"k":"token","t":"x"}')
            self.assertEqual((host.told, host.counted), ([], ["frame.crossed"]))

    @given(st.binary(max_size=30))
    def test_a_line_that_is_no_frame_is_dropped(self, line):
        host = self.take(line)
        self.assertEqual((host.told, host.counted), ([], ["frame.bad"]))

    def test_a_frame_of_the_request_is_passed_on(self):
        host = self.take(b'{"r":"r1","a":2,"s":3,"k":"token","t":"x"}')
        self.assertEqual(host.told[0].seq, 3)

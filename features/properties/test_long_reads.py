"""Which reads all instances learn of at once, and which engines stay free for them."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from briarrelay_bench.packetloss import RETRANSMIT_S, LossyStreams
from briarrelay_core.ports.digest import (
    DigestReceived,
    LoadDigest,
    SendDigest,
    ServerLoad,
)
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.routes.load import PEER_STALE_S
from briarrelay_core.routes.peers import MAX_RECEIVERS
from briarrelay_core.routes.placing.longreads import breaks_pause_limit
from properties.routeworld import PROFILE, RouteWorld, engine_names

PEERS = 62


def make_peer(number: int) -> PeerAddress:
    """Return the address of one of the peers of a deployment of 63 instances."""
    return PeerAddress(
        name=f"entry-{number}",
        host=f"10.9.0.{number}",
        question_port=1,
        digest_port=2,
        data_centre="abc"[number % 3],
    )


class AnnouncedReadTest(unittest.TestCase):
    """Reads that break a pause limit reach all 62 peers before their next placement."""

    def setUp(self):
        self.world = RouteWorld(engines=40)
        for number in range(2, PEERS + 2):
            self.world.instance.peers.add(make_peer(number))
        self.world.request("chat", prompt_tokens=1_000)
        self.world.advance(0.6)

    def send_long_prompt(self) -> list:
        return self.world.request("file", prompt_tokens=300_000, time_limit_s=15.0)

    def receivers(self, effects: list) -> set[str]:
        digests = self.world.of_type(effects, SendDigest)
        return {peer.name for digest in digests for peer in digest.peers}

    def test_long_read_reaches_all_peers_at_once(self):
        """Two long prompts at different instances find each other's reads."""
        effects = self.send_long_prompt()
        self.assertEqual(len(self.receivers(effects)), PEERS)
        self.assertIn(IncrementCounter("route.long_read_announced"), effects)

    def test_second_long_read_follows_soon(self):
        """A long prompt right after another is announced within 0.15 s."""
        self.send_long_prompt()
        effects = self.send_long_prompt()
        self.assertTrue(self.world.forwards(effects))
        effects += self.world.advance(0.15)
        to_all = [
            digest
            for digest in self.world.of_type(effects, SendDigest)
            if len(digest.peers) == PEERS
        ]
        engines = self.world.instance.controller.load.own_loads(self.world.now)
        self.assertEqual(set(to_all[-1].digest.loads), set(engines))

    def test_lost_report_is_replaced_by_later_digests(self):
        """Each peer gets a further digest with the read within PEER_STALE_S."""
        self.send_long_prompt()
        effects = self.world.advance(PEER_STALE_S)
        self.assertEqual(len(self.receivers(effects)), PEERS)
        digests = self.world.of_type(effects, SendDigest)
        self.assertTrue(all(digest.digest.loads for digest in digests))

    def test_larger_deployments_announce_to_as_many_as_before(self):
        """With more than 64 peers, a long read does not cost a digest for each."""
        for number in range(PEERS + 2, PEERS + 7):
            self.world.instance.peers.add(make_peer(number))
        receivers = self.receivers(self.send_long_prompt())
        self.assertTrue(0 < len(receivers) <= 2 * MAX_RECEIVERS)

    def test_short_prompts_use_the_usual_digests(self):
        """A chat is not announced to all peers; its digest goes by turns."""
        effects = self.world.request("chat", prompt_tokens=2_000)
        self.assertLess(len(self.receivers(effects)), PEERS)

    def test_chat_avoids_the_reads_that_a_peer_announced(self):
        """Of 40 engines, 39 read for a peer; a chat goes to the one that does not."""
        *reading, free = engine_names(self.world)
        loads = dict.fromkeys(reading, ServerLoad(0.4, 0, 1, 0, ()))
        self.deliver_digest(loads)
        effects = self.world.request("chat", prompt_tokens=2_000)
        self.assertEqual(self.world.forwards(effects)[0].server, free)

    def test_reads_of_a_silent_peer_do_not_last(self):
        """A peer that stops after its announcement keeps no engine from others."""
        self.deliver_digest({"engine-1": ServerLoad(9.0, 0, 1, 0, ())})
        self.world.advance(2.0)
        load = self.world.instance.controller.load
        self.assertEqual(load.of("engine-1", self.world.now).read_s, 0.0)

    def deliver_digest(self, loads: dict[str, ServerLoad]) -> None:
        digest = LoadDigest(
            sender=make_peer(2), incarnation=1, number=1, version=0, loads=loads
        )
        self.world.deliver(DigestReceived(digest))


class LimitTest(unittest.TestCase):
    @given(st.floats(0, 2), st.floats(0.01, 2))
    def test_longer_reads_break_no_fewer_limits(self, read_s, more_s):
        """What breaks a limit does so with a longer read and with a further limit."""
        limits = (0.25, 0.6)
        if breaks_pause_limit(PROFILE, read_s, limits):
            self.assertTrue(breaks_pause_limit(PROFILE, read_s + more_s, limits))
            self.assertTrue(breaks_pause_limit(PROFILE, read_s, (*limits, 0.1)))

    def test_streams_without_limits_are_never_broken(self):
        """Services whose streams have no limit announce nothing to all."""
        self.assertFalse(breaks_pause_limit(PROFILE, 100.0, (0.0,)))


class _Chance:
    """Returns given numbers instead of random ones."""

    def __init__(self, *numbers: float):
        self.numbers = list(numbers)

    def random(self) -> float:
        return self.numbers.pop(0)


class PacketLossTest(unittest.TestCase):
    """The emulator delays what a lost packet delays."""

    def test_events_behind_a_lost_one_wait_for_it(self):
        """A connection delivers in order; another connection is not delayed."""
        streams = LossyStreams(0.1, _Chance(0.05, 0.5, 0.5))
        self.assertEqual(streams.arrival_at("a", 1.0), 1.0 + RETRANSMIT_S)
        self.assertEqual(streams.arrival_at("a", 1.05), 1.0 + RETRANSMIT_S)
        self.assertEqual(streams.arrival_at("b", 1.05), 1.05)

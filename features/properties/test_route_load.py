"""Decisions of the route desk under loads that went wrong on played days."""

import unittest

from briarrelay_core.ports.control import DrainRequested, ExitProcess, ProcessResumed
from briarrelay_core.ports.digest import SendDigest
from briarrelay_core.ports.directory import (
    PeerAddress,
    Topic,
    TopicChange,
    TopicFailed,
)
from briarrelay_core.ports.route import (
    AbortResponse,
    RelayEnd,
    RelayEvent,
    RelayFullResponse,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    ResponseLost,
    SendErrorResponse,
)
from briarrelay_core.reasons import RefusalReason
from briarrelay_core.routes.budget import RepeatLimits
from properties.routeworld import (
    RouteWorld,
    begin,
    make_entry,
)


class StreamTest(unittest.TestCase):
    def test_answer_that_is_no_stream_does_not_end_one(self):
        world = RouteWorld()
        first = world.forwards(world.request("chat"))[0]
        begin(world, first.send_id)
        lost = world.tell(ResponseLost(first.send_id, True))
        second = world.forwards(lost)[0]
        world.tell(
            ResponseHead(send_id=second.send_id, kind=ResponseKind.SUCCESS, status=200)
        )
        effects = world.tell(ResponseComplete(second.send_id))
        self.assertEqual(world.of(effects, RelayEnd), [])
        self.assertEqual(len(world.of(effects, AbortResponse)), 1)

    def test_stream_without_an_event_is_passed_on_whole(self):
        world = RouteWorld()
        first = world.forwards(world.request("chat"))[0]
        world.tell(
            ResponseHead(send_id=first.send_id, kind=ResponseKind.SUCCESS, status=200)
        )
        effects = world.tell(ResponseComplete(first.send_id))
        self.assertEqual(len(world.of(effects, RelayFullResponse)), 1)

    def test_events_that_the_caller_has_are_not_repeated(self):
        world = RouteWorld()
        first = world.forwards(world.request("chat", resume_after="4"))[0]
        self.assertEqual(first.resume_after, "4")
        ids = []
        for number in (3, 4, 5):
            event = ResponseEvent(first.send_id, str(number), b"%d" % number)
            ids += [int(e.data) for e in world.of(world.tell(event), RelayEvent)]
        self.assertEqual(ids, [5])


class CutTest(unittest.TestCase):
    def make_world(self) -> RouteWorld:
        world = RouteWorld(engines=0)
        here = [make_entry(f"engine-{n}", "llm") for n in (1, 2, 3)]
        there = [
            make_entry(f"engine-{n}", "llm", data_centre="b") for n in range(4, 20)
        ]
        world.list_servers(*here, *there)
        return world

    def test_two_unreached_servers_condemn_a_data_centre(self):
        world = self.make_world()
        lost = 0
        for _ in range(20):
            queue = world.forwards(world.request("chat"))
            while queue:
                forward = queue.pop()
                if int(forward.server.rpartition("-")[2]) > 3:
                    lost += 1
                    effects = world.tell(ResponseLost(forward.send_id, False))
                    queue += world.forwards(effects)
        self.assertLessEqual(lost, 2)

    def test_what_never_arrived_is_repeated_without_the_budget(self):
        """A cut that resets new connections used the budget up in 6 ms."""
        world = self.make_world()
        world.core.controller.budget.limits = RepeatLimits(ratio=0.0, slack=0.0)
        lost = {f"engine-{n}" for n in range(4, 20)}
        for _ in range(12):
            forward = world.forwards(world.request("chat"))[0]
            while forward.server in lost:
                effects = world.tell(ResponseLost(forward.send_id, False))
                self.assertEqual(world.of(effects, SendErrorResponse), [])
                forward = world.forwards(effects)[0]

    def test_a_word_clears_it(self):
        world = self.make_world()
        reach = world.core.controller.observations.reachability
        reach.record_unreachable("b", "engine-4", world.now)
        reach.record_unreachable("b", "engine-5", world.now)
        self.assertTrue(reach.is_suspect("b", world.now))
        world.core.controller.observations.record_response("engine-6", world.now)
        self.assertFalse(reach.is_suspect("b", world.now))

    def test_it_is_tried_again(self):
        world = self.make_world()
        reach = world.core.controller.observations.reachability
        reach.record_unreachable("b", "engine-4", world.now)
        reach.record_unreachable("b", "engine-5", world.now)
        self.assertFalse(reach.is_suspect("b", world.now + 1.0))


class HelperTest(unittest.TestCase):
    def test_busy_helper_is_avoided_and_stays_in_use(self):
        """An engine that helps others to its limit still serves chats."""
        world = RouteWorld(engines=6)
        first = world.forwards(world.request("file", prompt_tokens=200_000))[0]
        busy = first.helpers[0].address
        head = ResponseHead(
            send_id=first.send_id,
            kind=ResponseKind.NOT_RUN,
            status=503,
            refused_by=busy,
        )
        again = world.forwards(world.tell(head))[0]
        addresses = {helper.address for helper in again.helpers}
        self.assertNotIn(busy, addresses | {f"{again.host}:{again.port}"})
        name = f"engine-{busy.split(':')[0].rpartition('.')[2]}"
        self.assertFalse(
            world.core.controller.observations.health.is_ejected(name, world.now)
        )

    def test_peers_hear_of_long_reads_at_once(self):
        world = RouteWorld(engines=6)
        peer = PeerAddress(
            name="entry-2",
            host="10.9.0.2",
            question_port=1,
            digest_port=2,
            data_centre="b",
        )
        world.core.peers.add(peer)
        world.advance(0.1)
        effects = world.request("file", prompt_tokens=200_000)
        digests = world.of(effects, SendDigest)
        self.assertEqual(digests[0].peers, (peer,))
        self.assertTrue(digests[0].digest.loads)


class LapseTest(unittest.TestCase):
    """Entries that are gone once the store is reached again."""

    def make_world(self) -> RouteWorld:
        world = RouteWorld(engines=9)
        world.tell(TopicFailed(Topic.SERVERS, "no answer"))
        world.advance(3.0)
        return world

    def usable(self, world: RouteWorld) -> int:
        return len(world.core.controller.servers.of_service("llm", world.now))

    def test_few_are_gone_at_once(self):
        """The instance was cut off, not the store: the server had left meanwhile."""
        world = self.make_world()
        world.change(Topic.SERVERS, TopicChange("engine-1", None))
        self.assertEqual(self.usable(world), 8)

    def test_most_may_come_back(self):
        """The store was away, and live servers could not renew their entries."""
        world = self.make_world()
        names = [f"engine-{n}" for n in range(1, 10)]
        world.change(Topic.SERVERS, *[TopicChange(name, None) for name in names])
        self.assertGreaterEqual(self.usable(world), 4)
        world.advance(2.5)
        self.assertEqual(self.usable(world), 0)


class WakeTest(unittest.TestCase):
    def test_nothing_is_refused_for_good_until_the_store_answers(self):
        """A key may have been added while the instance stood still."""
        world = RouteWorld()
        known = world.request("book", key="new-key")
        world.tell(ProcessResumed(4.0))
        world.advance(0.3)
        woken = world.request("book", key="new-key")
        world.change(Topic.CONFIGURATION)
        world.advance(0.3)
        after = world.request("book", key="new-key")
        reasons = [
            world.of(effects, SendErrorResponse)[0].outcome.reason
            for effects in (known, woken, after)
        ]
        self.assertEqual(
            reasons,
            [
                RefusalReason.UNAUTHORIZED,
                RefusalReason.NOT_READY,
                RefusalReason.UNAUTHORIZED,
            ],
        )


class ManyPeersTest(unittest.TestCase):
    def test_every_peer_gets_digests_and_none_gets_many(self):
        world = RouteWorld()
        peers = [
            PeerAddress(
                name=f"entry-{n}",
                host=f"10.8.0.{n}",
                question_port=1,
                digest_port=2,
                data_centre="a" if n % 2 else "b",
            )
            for n in range(1, 121)
        ]
        for peer in peers:
            world.core.peers.add(peer)
        sent = world.of(world.advance(10.0), SendDigest)
        reached = {peer.host for digest in sent for peer in digest.peers}
        self.assertEqual(len(reached), 120)
        self.assertLessEqual(max(len(digest.peers) for digest in sent), 48)


class StopTest(unittest.TestCase):
    """A balancer that knows no other instance sends on until the process ends."""

    def test_new_requests_do_not_hold_up_a_stop(self):
        world = RouteWorld()
        world.tell(DrainRequested())
        sends, ended_at = {}, None
        began = world.now
        while ended_at is None and world.now < began + 8.0:
            effects = world.request("chat", output_tokens=100)
            for forward in world.forwards(effects):
                sends[forward.send_id] = 0
            for send_id in list(sends):
                sends[send_id] += 1
                begin(world, send_id)
                if sends[send_id] == 15:
                    world.tell(ResponseComplete(send_id))
                    del sends[send_id]
            effects += world.advance(0.1)
            if world.of(effects, ExitProcess):
                ended_at = world.now
        self.assertIsNotNone(ended_at)
        self.assertLess(ended_at - began, 5.0)
        self.assertEqual(sends, {})

    def test_refusal_while_stopping_sends_the_caller_elsewhere(self):
        world = RouteWorld()
        world.tell(DrainRequested())
        world.request("chat")
        world.advance(2.7)
        refused = world.of(world.request("chat"), SendErrorResponse)[0]
        self.assertEqual(refused.outcome.reason, RefusalReason.DRAINING)
        self.assertLess(refused.outcome.retry_after, 0.1)


if __name__ == "__main__":
    unittest.main()

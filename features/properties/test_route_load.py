"""Decisions of the route controller under loads that caused failures in load tests."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.ports.control import DrainRequested, ExitProcess, ProcessResumed
from briarrelay_core.ports.digest import (
    DigestReceived,
    LoadDigest,
    SendDigest,
    ServerLoad,
)
from briarrelay_core.ports.directory import (
    PeerAddress,
    PollTopic,
    Topic,
    TopicChange,
    TopicFailed,
    TopicPolled,
)
from briarrelay_core.ports.memory import Reserve
from briarrelay_core.ports.route import (
    AbortResponse,
    CallerDisconnected,
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
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.load import LoadTable
from briarrelay_core.routes.model import KeyHolder
from briarrelay_core.routes.placement import USABLE_MEMORY_FRACTION
from properties.routeworld import (
    PROFILE,
    RouteWorld,
    engine_names,
    make_configuration,
    make_entry,
    start_response,
)


class CountingLoadTable(LoadTable):
    """Counts how often the load of a server is read."""

    __slots__ = ("count",)

    def of(self, server: str, now: float) -> ServerLoad:
        self.count += 1
        return super().of(server, now)


OTHER_HOLDER = KeyHolder(name="others", keys=("key-2",))


class StreamTest(unittest.TestCase):
    def test_plain_response_to_a_resumed_stream_aborts_it(self):
        """The resumed stream must not be reported to its caller as complete."""
        world = RouteWorld()
        first = world.forwards(world.request("chat"))[0]
        start_response(world, first.attempt_id)
        loss_effects = world.deliver(ResponseLost(first.attempt_id, True))
        second = world.forwards(loss_effects)[0]
        world.deliver(
            ResponseHead(
                attempt_id=second.attempt_id, kind=ResponseKind.SUCCESS, status=200
            )
        )
        effects = world.deliver(ResponseComplete(second.attempt_id))
        self.assertEqual(world.of_type(effects, RelayEnd), [])
        self.assertEqual(len(world.of_type(effects, AbortResponse)), 1)

    def test_response_without_events_is_relayed_in_full(self):
        world = RouteWorld()
        first = world.forwards(world.request("chat"))[0]
        world.deliver(
            ResponseHead(
                attempt_id=first.attempt_id, kind=ResponseKind.SUCCESS, status=200
            )
        )
        effects = world.deliver(ResponseComplete(first.attempt_id))
        self.assertEqual(len(world.of_type(effects, RelayFullResponse)), 1)

    def test_events_up_to_the_resume_position_are_not_relayed(self):
        world = RouteWorld()
        first = world.forwards(world.request("chat", resume_after="4"))[0]
        self.assertEqual(first.resume_after, "4")
        ids = []
        for number in (3, 4, 5):
            event = ResponseEvent(first.attempt_id, str(number), b"%d" % number)
            ids += [
                int(e.data) for e in world.of_type(world.deliver(event), RelayEvent)
            ]
        self.assertEqual(ids, [5])


class PartitionTest(unittest.TestCase):
    """A data centre that this instance cannot reach."""

    def make_world(self) -> RouteWorld:
        """Return a world with 3 local engines and 16 in data centre b."""
        world = RouteWorld(engines=0)
        local = [make_entry(f"engine-{n}", "llm") for n in (1, 2, 3)]
        remote = [
            make_entry(f"engine-{n}", "llm", data_centre="b") for n in range(4, 20)
        ]
        world.list_servers(*local, *remote)
        return world

    def test_data_centre_with_two_unreachable_servers_is_avoided(self):
        world = self.make_world()
        lost_sends = 0
        for _ in range(20):
            queue = world.forwards(world.request("chat"))
            while queue:
                forward = queue.pop()
                if int(forward.server.rpartition("-")[2]) > 3:
                    lost_sends += 1
                    effects = world.deliver(ResponseLost(forward.attempt_id, False))
                    queue += world.forwards(effects)
        self.assertLessEqual(lost_sends, 2)

    def test_resending_unsent_requests_needs_no_budget(self):
        """Requests that were never sent are sent again even with an empty budget.

        A partition that resets new connections once used up the budget in 6 ms.
        """
        world = self.make_world()
        world.instance.controller.budget.limits = RetryLimits(ratio=0.0, slack=0.0)
        unreachable = {f"engine-{n}" for n in range(4, 20)}
        for _ in range(12):
            forward = world.forwards(world.request("chat"))[0]
            while forward.server in unreachable:
                effects = world.deliver(ResponseLost(forward.attempt_id, False))
                self.assertEqual(world.of_type(effects, SendErrorResponse), [])
                forward = world.forwards(effects)[0]

    def test_response_clears_the_suspicion(self):
        world = self.make_world()
        reachability_table = world.instance.controller.observations.reachability
        reachability_table.record_unreachable("b", "engine-4", world.now)
        reachability_table.record_unreachable("b", "engine-5", world.now)
        self.assertTrue(reachability_table.is_suspect("b", world.now))
        world.instance.controller.observations.record_response("engine-6", world.now)
        self.assertFalse(reachability_table.is_suspect("b", world.now))

    def test_suspicion_expires(self):
        world = self.make_world()
        reachability_table = world.instance.controller.observations.reachability
        reachability_table.record_unreachable("b", "engine-4", world.now)
        reachability_table.record_unreachable("b", "engine-5", world.now)
        self.assertFalse(reachability_table.is_suspect("b", world.now + 1.0))


class HelperTest(unittest.TestCase):
    def test_busy_helper_is_avoided_but_not_ejected(self):
        """A helper that refuses further helper work can still serve chats itself."""
        world = RouteWorld(engines=6)
        first = world.forwards(world.request("file", prompt_tokens=200_000))[0]
        busy = first.helpers[0].address
        head = ResponseHead(
            attempt_id=first.attempt_id,
            kind=ResponseKind.NOT_RUN,
            status=503,
            refused_by=busy,
        )
        resent = world.forwards(world.deliver(head))[0]
        addresses = {helper.address for helper in resent.helpers}
        self.assertNotIn(busy, addresses | {f"{resent.host}:{resent.port}"})
        name = f"engine-{busy.split(':')[0].rpartition('.')[2]}"
        self.assertFalse(
            world.instance.controller.observations.health.is_ejected(name, world.now)
        )

    def test_long_prompt_is_announced_to_peers_at_once(self):
        """Peers in other data centres get the load digest with the placement."""
        world = RouteWorld(engines=6)
        peer = PeerAddress(
            name="entry-2",
            host="10.9.0.2",
            question_port=1,
            digest_port=2,
            data_centre="b",
        )
        world.instance.peers.add(peer)
        world.advance(0.1)
        effects = world.request("file", prompt_tokens=200_000)
        digests = world.of_type(effects, SendDigest)
        self.assertEqual(digests[0].peers, (peer,))
        self.assertTrue(digests[0].digest.loads)


class SpreadMemoryTest(unittest.TestCase):
    """A prompt that exceeds the memory of one engine is spread over several."""

    def test_no_memory_is_reserved_on_an_engine_without_free_memory(self):
        """Engines deny a reservation of no tokens, and the prompt waits again."""
        world = RouteWorld(engines=4)
        load = world.instance.controller.load
        full_tokens = int(PROFILE.memory_tokens * USABLE_MEMORY_FRACTION)
        load.add("full", "engine-2", world.now, tokens=full_tokens)
        for name in ("engine-3", "engine-4"):
            tokens = full_tokens - 120_000
            load.add(name, name, world.now, tokens=tokens, read_s=0.3)
        effects = world.request("file", prompt_tokens=600_000, time_limit_s=15.0)
        reserved = {r.host: r.tokens for r in world.of_type(effects, Reserve)}
        self.assertEqual(len(reserved), 2)
        self.assertNotIn(0, reserved.values())


class MissingEntriesTest(unittest.TestCase):
    """Server entries that are missing after the store was unreachable for 3 s."""

    def make_world(self) -> RouteWorld:
        world = RouteWorld(engines=9)
        world.deliver(TopicFailed(Topic.SERVERS, "no answer"))
        world.advance(3.0)
        return world

    def usable_count(self, world: RouteWorld) -> int:
        """Return the number of engines that prompts may be sent to."""
        return len(world.instance.controller.servers.of_service("llm", world.now))

    def test_single_missing_server_is_dropped_at_once(self):
        """Only this instance lost the store, so the server has really left."""
        world = self.make_world()
        world.deliver_changes(Topic.SERVERS, TopicChange("engine-1", None))
        self.assertEqual(self.usable_count(world), 8)

    def test_mass_expiry_keeps_servers_for_a_while(self):
        """With the store down, live servers could not renew their entries.

        Some of them stay in use for up to 2.5 s, so that they can register again.
        """
        world = self.make_world()
        names = [f"engine-{n}" for n in range(1, 10)]
        world.deliver_changes(
            Topic.SERVERS, *[TopicChange(name, None) for name in names]
        )
        self.assertGreaterEqual(self.usable_count(world), 4)
        world.advance(2.5)
        self.assertEqual(self.usable_count(world), 0)


class ResumeTest(unittest.TestCase):
    def test_unknown_key_is_refused_as_not_ready_until_the_store_answers(self):
        """The key may have been added while the process was suspended."""
        world = RouteWorld()
        before = world.request("book", key="new-key")
        world.deliver(ProcessResumed(4.0))
        world.advance(0.3)
        resumed = world.request("book", key="new-key") + world.advance(0.3)
        world.deliver_changes(Topic.CONFIGURATION)
        world.advance(0.3)
        after = world.request("book", key="new-key")
        reasons = [
            world.of_type(effects, SendErrorResponse)[0].outcome.reason
            for effects in (before, resumed, after)
        ]
        self.assertEqual(
            reasons,
            [
                RefusalReason.UNAUTHORIZED,
                RefusalReason.NOT_READY,
                RefusalReason.UNAUTHORIZED,
            ],
        )

    def test_request_is_held_until_the_store_confirms_what_it_allows(self):
        """The configuration without the key arrives with the response to the check."""
        world = RouteWorld()
        polls = world.of_type(world.deliver(ProcessResumed(4.0)), PollTopic)
        self.assertEqual(
            {poll.topic for poll in polls}, {Topic.CONFIGURATION, Topic.SERVERS}
        )
        effects = world.request("book")
        revoked = TopicChange("config", make_configuration(2, holders=(OTHER_HOLDER,)))
        effects += world.deliver(TopicPolled(Topic.SERVERS, ()))
        self.assertEqual(world.forwards(effects), [])
        effects = world.deliver(TopicPolled(Topic.CONFIGURATION, (revoked,)))
        answer = world.of_type(effects, SendErrorResponse)[0]
        self.assertEqual(answer.outcome.reason, RefusalReason.UNAUTHORIZED)

    def test_held_request_keeps_its_deadline_and_is_served_without_the_store(self):
        world = RouteWorld()
        world.deliver(ProcessResumed(4.0))
        self.assertEqual(world.forwards(world.request("book", time_limit_s=2.0)), [])
        forward = world.forwards(world.advance(0.5))[0]
        self.assertAlmostEqual(forward.time_limit_s, 1.6, places=2)

    def test_pause_without_activity_counts_as_a_suspension(self):
        """The clock goes on while the process is stopped by a signal."""
        world = RouteWorld()
        world.advance(1.0)
        world.now += 3.0
        effects = world.request("book")
        self.assertEqual(len(world.of_type(effects, PollTopic)), 2)
        self.assertEqual(world.forwards(effects), [])

    def test_held_request_of_a_caller_that_left_is_dropped(self):
        world = RouteWorld()
        world.deliver(ProcessResumed(4.0))
        world.request("book")
        world.deliver(CallerDisconnected(1))
        self.assertEqual(world.forwards(world.advance(1.0)), [])


class PeerLoadTest(unittest.TestCase):
    """The sum of the loads that peers report, compared with a plain sum."""

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"),
                st.dictionaries(
                    st.sampled_from(["s1", "s2", "s3"]),
                    st.builds(
                        ServerLoad,
                        read_s=st.sampled_from([0.0, 0.2, 3.0]),
                        lead_requests=st.integers(0, 3),
                        helper_requests=st.integers(0, 2),
                        tokens=st.integers(0, 9_000),
                        streams=st.sampled_from([(), ((0.2, 1.0),), ((0.8, 2.5),)]),
                    ),
                ),
                st.sampled_from([0.0, 0.1, 0.7, 1.6]),
                st.booleans(),
            ),
            max_size=14,
        )
    )
    def test_sum_equals_that_over_the_newest_digests(self, steps):
        table, newest, now = LoadTable(), {}, 100.0
        for number, (peer, loads, seconds, is_forgotten) in enumerate(steps):
            now += seconds
            if is_forgotten:
                table.forget_peer(peer)
                newest.pop(peer, None)
            else:
                sender = PeerAddress(
                    name=peer, host=peer, question_port=1, digest_port=2
                )
                digest = LoadDigest(
                    sender=sender, incarnation=1, number=number, version=1, loads=loads
                )
                table.apply_digest(digest, now)
                newest[peer] = (loads, now)
            for server in ("s1", "s2", "s3"):
                self.check_sum(table.of(server, now), server, newest, now)

    def check_sum(self, total: ServerLoad, server: str, newest: dict, now: float):
        current = [
            (loads[server], now - at)
            for loads, at in newest.values()
            if server in loads and now - at <= 1.5
        ]
        read_s = sum(max(0.0, load.read_s - age) for load, age in current)
        self.assertAlmostEqual(total.read_s, read_s)
        for name in ("lead_requests", "helper_requests", "tokens"):
            expected = sum(getattr(load, name) for load, _ in current)
            self.assertEqual(getattr(total, name), expected)
        weights = {}
        for load, _ in current:
            for limit, weight in load.streams:
                weights[limit] = weights.get(limit, 0.0) + weight
        self.assertEqual(dict(total.streams), weights)


class SampleTest(unittest.TestCase):
    """Placement among many engines."""

    def test_placement_compares_a_bounded_number_of_engines(self):
        world = RouteWorld(engines=200)
        load = CountingLoadTable()
        world.instance.controller.selector.load = load
        for tokens in (5_000, 300_000):
            load.count = 0
            effects = world.request("file", prompt_tokens=tokens, time_limit_s=15.0)
            self.assertEqual(len(world.forwards(effects)), 1)
            self.assertLessEqual(load.count, 64)

    def test_instances_choose_different_engines_from_the_same_load(self):
        """Many instances decide before they receive each other's digests."""
        leads = set()
        for number in range(40):
            world = RouteWorld(engines=200)
            world.instance.controller.selector.name = f"entry-{number}"
            leads.add(world.forwards(world.request("chat"))[0].server)
        self.assertGreater(len(leads), 30)

    def test_engine_outside_the_sample_is_found_if_the_others_are_full(self):
        world = RouteWorld(engines=200)
        load = world.instance.controller.load
        names = engine_names(world)
        for number, name in enumerate(names[:-1]):
            for slot in range(8):
                load.add(10_000 + 8 * number + slot, name, world.now)
        forward = world.forwards(world.request("chat"))[0]
        self.assertEqual(forward.server, names[-1])


class ManyPeersTest(unittest.TestCase):
    def test_every_peer_gets_digests_and_each_send_has_few_receivers(self):
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
            world.instance.peers.add(peer)
        digests = world.of_type(world.advance(10.0), SendDigest)
        reached_hosts = {peer.host for digest in digests for peer in digest.peers}
        self.assertEqual(len(reached_hosts), 120)
        self.assertLessEqual(max(len(digest.peers) for digest in digests), 48)

    def test_each_remote_peer_gets_digests_before_the_last_one_is_too_old(self):
        """The load changes all the time; a reported load counts for 1.5 s."""
        world = RouteWorld()
        for n in range(1, 78):
            peer = PeerAddress(
                name=f"entry-{n}",
                host=f"10.8.0.{n}",
                question_port=1,
                digest_port=2,
                data_centre="b" if n > 15 else "",
            )
            digest = LoadDigest(sender=peer, incarnation=1, number=1, version=1)
            world.deliver(DigestReceived(digest))
        last_at, gaps = {}, []
        for step in range(600):
            world.instance.controller.load.add(10_000 + step, "engine-1", world.now)
            effects = world.deliver(TopicPolled(Topic.SERVERS, ()))
            effects += world.advance(0.005)
            for sent in world.of_type(effects, SendDigest):
                for peer in sent.peers:
                    gaps.append(world.now - last_at.get(peer.host, world.now))
                    last_at[peer.host] = world.now
        self.assertEqual(len(last_at), 77)
        self.assertLessEqual(max(gaps), 1.5)


class DrainTest(unittest.TestCase):
    """A graceful stop while a load balancer keeps sending new requests.

    A balancer with no other instance to choose sends until the process exits.
    """

    def test_new_requests_do_not_delay_the_exit(self):
        world = RouteWorld()
        world.deliver(DrainRequested())
        sends, ended_at = {}, None
        began = world.now
        while ended_at is None and world.now < began + 8.0:
            effects = world.request("chat", output_tokens=100)
            for forward in world.forwards(effects):
                sends[forward.attempt_id] = 0
            for attempt_id in list(sends):
                sends[attempt_id] += 1
                start_response(world, attempt_id)
                if sends[attempt_id] == 15:
                    world.deliver(ResponseComplete(attempt_id))
                    del sends[attempt_id]
            effects += world.advance(0.1)
            if world.of_type(effects, ExitProcess):
                ended_at = world.now
        self.assertIsNotNone(ended_at)
        self.assertLess(ended_at - began, 5.0)
        self.assertEqual(sends, {})

    def test_refusal_while_draining_has_a_short_retry_delay(self):
        world = RouteWorld()
        world.deliver(DrainRequested())
        world.request("chat")
        world.advance(2.7)
        refused = world.of_type(world.request("chat"), SendErrorResponse)[0]
        self.assertEqual(refused.outcome.reason, RefusalReason.DRAINING)
        self.assertLess(refused.outcome.retry_after, 0.1)


if __name__ == "__main__":
    unittest.main()

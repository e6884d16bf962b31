"""Placement and deferral of prompts under loads that caused failures before."""

import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.ports.digest import DigestReceived, LoadDigest, ServerLoad
from briarrelay_core.ports.directory import (
    PeerAddress,
    ServerState,
    Topic,
    TopicChange,
)
from briarrelay_core.ports.memory import (
    Release,
    ReleaseResponse,
    Reserve,
    ReserveResponse,
)
from briarrelay_core.ports.route import (
    AbortAttempt,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    RouteRequest,
    SendErrorResponse,
)
from briarrelay_core.routes.deferral import DEFER_TARGET_FACTOR, should_defer
from briarrelay_core.routes.model import RouteKind
from briarrelay_core.routes.placement import Placement
from briarrelay_core.routes.requeststate import RoutedRequest
from briarrelay_core.routes.waiting import max_wait_s
from properties.routeworld import (
    PROFILE,
    RouteWorld,
    engine_names,
    make_route,
    start_response,
)


class DeferralTest(unittest.TestCase):
    """Whether a long prompt waits in the queue although it could be placed."""

    def make_case(self, waited_s: float, **placed) -> tuple:
        """Return the arguments of `should_defer` for a prompt of 300,000 tokens.

        :param waited_s: seconds that the prompt has waited.
        :param placed: fields of its placement that differ from the defaults.
        """
        route = make_route("file", RouteKind.STREAM, "llm", target_latency_s=3.0)
        request = RouteRequest(
            request_id=1,
            caller_request_id="a",
            host="h",
            path="/",
            prompt_tokens=300_000,
        )
        routed = RoutedRequest(
            request=request,
            route=route,
            service="llm",
            profile=PROFILE,
            workspace="",
            arrived_at=100.0,
            deadline=115.0,
        )
        fields = {
            "helpers": (),
            "read_s": 0.5,
            "expected_s": 0.6,
            "cost": 0.0,
            "stream_cost": 0.0,
        }
        placement = Placement("engine-1", **{**fields, **placed})
        return routed, placement, 100.0 + waited_s

    def test_prompt_without_cost_to_others_is_not_deferred(self):
        self.assertFalse(should_defer(*self.make_case(0.0)))

    def test_prompt_that_pauses_streams_is_deferred_while_it_has_time(self):
        self.assertTrue(should_defer(*self.make_case(0.0, stream_cost=3.0)))
        self.assertFalse(should_defer(*self.make_case(1.5, stream_cost=3.0)))

    def test_split_prompt_does_not_overtake_older_ones(self):
        """Engines process the newest share of a split prompt first."""
        shared = {"helpers": ("engine-2",), "backlog_s": 0.4}
        self.assertTrue(should_defer(*self.make_case(0.0, **shared)))
        self.assertFalse(should_defer(*self.make_case(1.5, **shared)))
        self.assertFalse(should_defer(*self.make_case(0.0, backlog_s=0.4)))

    def test_prompt_that_misses_its_target_anyway_is_deferred(self):
        self.assertTrue(should_defer(*self.make_case(0.0, expected_s=5.0)))
        self.assertFalse(should_defer(*self.make_case(0.0, expected_s=5.0, read_s=4.8)))

    @given(st.floats(0, 20), st.floats(0, 20), st.floats(0, 20), st.floats(0, 100))
    def test_deferral_ends_before_the_caller_gives_up(self, waited, read, delay, cost):
        routed, placement, now = self.make_case(
            waited, read_s=read, expected_s=read + delay, stream_cost=cost
        )
        if waited >= DEFER_TARGET_FACTOR * routed.route.target_latency_s:
            self.assertFalse(should_defer(routed, placement, now))
        if waited >= max_wait_s(routed) - 0.15:
            self.assertFalse(should_defer(routed, placement, now))


class DeferredPromptTest(unittest.TestCase):
    def test_deferred_prompt_is_sent_before_it_would_be_refused(self):
        """Every engine has 6.5 s of prefill queued, so a long prompt is late anyway."""
        world = RouteWorld(engines=3)
        for number, name in enumerate(engine_names(world)):
            world.instance.controller.load.add(
                900 + number, name, world.now, read_s=6.5
            )
        effects = world.request("file", prompt_tokens=90_000, time_limit_s=15.0)
        self.assertEqual(world.forwards(effects), [])
        for _ in range(50):
            effects += world.advance(0.1)
        self.assertEqual(world.of_type(effects, SendErrorResponse), [])
        self.assertEqual(len(world.forwards(effects)), 1)


class StreamPauseTest(unittest.TestCase):
    def test_pause_during_prefill_does_not_abort_streams(self):
        """Chats pause while their engines prefill a prompt of 500,000 tokens."""
        world = RouteWorld(engines=2)
        chats = [
            world.forwards(world.request("chat", time_limit_s=10.0))[0]
            for _ in range(8)
        ]
        for forward in chats:
            start_response(world, forward.attempt_id)
        effects = world.request("file", prompt_tokens=500_000, time_limit_s=15.0)
        for reserve in world.of_type(effects, Reserve):
            world.deliver(ReserveResponse(reserve.reservation_id, True))
        prefill_s = PROFILE.read_s(500_000, 2)
        effects = world.advance(prefill_s)
        self.assertEqual(world.of_type(effects, AbortAttempt), [])

    def test_stream_moves_before_its_caller_gives_up(self):
        """The chat's engine has 8 s of prefill queued while another one is idle.

        The stream resumes there, and the busy engine is not ejected.
        """
        world = RouteWorld(engines=2)
        first = world.forwards(world.request("chat", time_limit_s=10.0))[0]
        start_response(world, first.attempt_id)
        world.instance.controller.load.add(900, first.server, world.now, read_s=8.0)
        moved = world.forwards(world.advance(1.6))
        self.assertEqual(len(moved), 1)
        self.assertNotEqual(moved[0].server, first.server)
        self.assertEqual(moved[0].resume_after, "1")
        self.assertFalse(
            world.instance.controller.observations.health.is_ejected(
                first.server, world.now
            )
        )

    def test_request_moves_from_an_unresponsive_server(self):
        world = RouteWorld()
        first = world.forwards(world.request("chat"))[0]
        effects = world.advance(1.0)
        resent = world.forwards(effects)
        self.assertEqual(len(resent), 1)
        self.assertNotEqual(resent[0].server, first.server)

    def test_late_event_of_an_abandoned_send_is_ignored(self):
        world = RouteWorld()
        first = world.forwards(world.request("chat"))[0]
        world.advance(1.0)
        self.assertEqual(world.deliver(ResponseEvent(first.attempt_id, "1", b"1")), [])


class PlacementTest(unittest.TestCase):
    def test_chats_share_engines_and_leave_others_for_long_prompts(self):
        world = RouteWorld(engines=6)
        for _ in range(12):
            start_response(world, world.forwards(world.request("chat"))[0].attempt_id)
            world.advance(0.05)
        chat_servers = {forward.server for forward in world.forwards()}
        self.assertLessEqual(len(chat_servers), 3)
        forward = world.forwards(world.request("file", prompt_tokens=210_000))[0]
        chat_addresses = {
            f"10.0.0.{name.rpartition('-')[2]}:8080" for name in sorted(chat_servers)
        }
        helper_addresses = {helper.address for helper in forward.helpers}
        self.assertNotIn(forward.server, chat_servers)
        self.assertEqual(helper_addresses & chat_addresses, set())

    def test_load_reported_by_peers_is_avoided(self):
        world = RouteWorld(engines=2)
        peer = PeerAddress(
            name="entry-2", host="10.9.0.2", question_port=1, digest_port=2
        )
        busy = ServerLoad(read_s=2.0, lead_requests=8, tokens=400_000)
        digest = LoadDigest(
            sender=peer, incarnation=1, number=1, version=1, loads={"engine-1": busy}
        )
        world.deliver(DigestReceived(digest))
        servers = {world.forwards(world.request("chat"))[0].server for _ in range(4)}
        self.assertEqual(servers, {"engine-2"})

    def test_prompt_larger_than_all_memory_is_refused_at_once(self):
        world = RouteWorld(engines=2)
        effects = world.request("file", prompt_tokens=1_000_000)
        refused = world.of_type(effects, SendErrorResponse)
        self.assertEqual(len(refused), 1)

    def test_refusal_at_full_capacity_has_a_retry_delay(self):
        world = RouteWorld(engines=1)
        sends = [world.forwards(world.request("chat"))[0].attempt_id for _ in range(8)]
        effects = world.request("chat")
        for number in range(1, 30):
            for attempt_id in sends:
                head = ResponseHead(
                    attempt_id=attempt_id, kind=ResponseKind.SUCCESS, status=200
                )
                world.deliver(head)
                world.deliver(ResponseEvent(attempt_id, str(number), b"1"))
            effects += world.advance(0.1)
        refused = world.of_type(effects, SendErrorResponse)
        self.assertEqual(len(refused), 1)
        self.assertGreater(refused[0].outcome.retry_after, 0)


class ReservationTest(unittest.TestCase):
    def test_grant_after_release_is_released_again(self):
        """An engine may process a reservation after the release that was sent later."""
        world = RouteWorld(engines=4)
        effects = world.request("file", prompt_tokens=1_300_000, time_limit_s=15.0)
        first, second = world.of_type(effects, Reserve)[:2]
        world.deliver(ReserveResponse(first.reservation_id, False))
        world.deliver(ReleaseResponse(first.reservation_id, True))
        world.deliver(ReleaseResponse(second.reservation_id, True))
        effects = world.deliver(ReserveResponse(second.reservation_id, True))
        released = [e.reservation_id for e in world.of_type(effects, Release)]
        self.assertEqual(released, [second.reservation_id])

    def test_engine_that_denies_a_reservation_is_avoided(self):
        world = RouteWorld(engines=6)
        effects = world.request("file", prompt_tokens=700_000, time_limit_s=15.0)
        first = world.of_type(effects, Reserve)[0]
        effects = world.deliver(ReserveResponse(first.reservation_id, False))
        effects += world.advance(0.2)
        hosts = {reserve.host for reserve in world.of_type(effects, Reserve)}
        self.assertTrue(hosts)
        self.assertNotIn(first.host, hosts)

    def test_prompt_whose_memory_is_not_granted_in_time_has_not_run(self):
        world = RouteWorld(engines=6)
        world.request("file", prompt_tokens=700_000, time_limit_s=1.0)
        world.advance(1.3)
        self.assertEqual(world.forwards(), [])
        answer = world.of_type(world.all_effects, SendErrorResponse)[0]
        self.assertEqual(answer.outcome.tag, "not_run")

    def test_server_that_left_during_the_reservation_excludes_no_engine(self):
        world = RouteWorld(engines=6)
        effects = world.request("file", prompt_tokens=700_000, time_limit_s=15.0)
        reserves = world.of_type(effects, Reserve)
        routed = next(iter(world.instance.controller.requests.values()))
        leaving = routed.active_attempt.server
        entry = world.instance.controller.servers.get(leaving).entry
        world.deliver_changes(
            Topic.SERVERS,
            TopicChange(leaving, evolve(entry, state=ServerState.DRAINING)),
        )
        for reserve in reserves:
            world.deliver(ReserveResponse(reserve.reservation_id, True))
        self.assertEqual(routed.excluded, set())
        self.assertEqual(routed.attempt_count, 0)


class ReservedMemoryTest(unittest.TestCase):
    def test_reserved_memory_counts_as_load_of_its_engine(self):
        """Without it, prompts placed there exceed its memory and wait for seconds."""
        world = RouteWorld(engines=3)
        effects = world.request("file", prompt_tokens=1_000_000, time_limit_s=15.0)
        reserves = world.of_type(effects, Reserve)
        self.assertGreaterEqual(len(reserves), 2)
        for reserve in reserves:
            effects = world.deliver(ReserveResponse(reserve.reservation_id, True))
        forward = world.forwards(effects)[0]
        load = world.instance.controller.load
        reserved_tokens = {r.host: r.tokens for r in reserves}
        for name in ("engine-1", "engine-2", "engine-3"):
            host = world.instance.controller.servers.get(name).entry.host
            if name != forward.server:
                self.assertEqual(load.of(name, world.now).tokens, reserved_tokens[host])
        start_response(world, forward.attempt_id)
        self.assertEqual(
            sum(load.of(n, world.now).tokens > 0 for n in engine_names(world)), 3
        )
        world.deliver(ResponseComplete(forward.attempt_id))
        self.assertEqual(
            sum(load.of(n, world.now).tokens for n in engine_names(world)), 0
        )


if __name__ == "__main__":
    unittest.main()

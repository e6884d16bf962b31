"""Where prompts go and which of them wait, under loads that went wrong."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.ports.digest import DigestReceived, LoadDigest, ServerLoad
from briarrelay_core.ports.directory import (
    PeerAddress,
)
from briarrelay_core.ports.memory import (
    Release,
    ReleaseResponse,
    Reserve,
    ReserveResponse,
)
from briarrelay_core.ports.route import (
    AbortSend,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    RouteRequest,
    SendErrorResponse,
)
from briarrelay_core.routes.deferral import (
    DEFER_TARGET_FACTOR,
    max_wait_s,
    should_defer,
)
from briarrelay_core.routes.model import RouteKind
from briarrelay_core.routes.placement import Placement
from briarrelay_core.routes.requeststate import RoutedRequest
from properties.routeworld import (
    PROFILE,
    RouteWorld,
    begin,
    make_route,
    names,
)


class HoldTest(unittest.TestCase):
    """Whether a long prompt waits though there is a place for it."""

    def make(self, waited_s: float, **placed) -> tuple:
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
        given = {
            "helpers": (),
            "read_s": 0.5,
            "expected_s": 0.6,
            "cost": 0.0,
            "stream_cost": 0.0,
        }
        placement = Placement("engine-1", **{**given, **placed})
        return routed, placement, 100.0 + waited_s

    def test_one_that_harms_nobody_goes(self):
        self.assertFalse(should_defer(*self.make(0.0)))

    def test_one_that_pauses_streams_waits_while_it_has_time(self):
        self.assertTrue(should_defer(*self.make(0.0, stream_cost=3.0)))
        self.assertFalse(should_defer(*self.make(1.5, stream_cost=3.0)))

    def test_a_shared_one_does_not_go_ahead_of_older_ones(self):
        """Engines read the newest shared part first."""
        shared = {"helpers": ("engine-2",), "backlog_s": 0.4}
        self.assertTrue(should_defer(*self.make(0.0, **shared)))
        self.assertFalse(should_defer(*self.make(1.5, **shared)))
        self.assertFalse(should_defer(*self.make(0.0, backlog_s=0.4)))

    def test_one_that_is_late_anyway_lets_others_go(self):
        self.assertTrue(should_defer(*self.make(0.0, expected_s=5.0)))
        self.assertFalse(should_defer(*self.make(0.0, expected_s=5.0, read_s=4.8)))

    @given(st.floats(0, 20), st.floats(0, 20), st.floats(0, 20), st.floats(0, 100))
    def test_nobody_waits_beyond_its_callers_patience(self, waited, read, more, harm):
        routed, placement, now = self.make(
            waited, read_s=read, expected_s=read + more, stream_cost=harm
        )
        if waited >= DEFER_TARGET_FACTOR * routed.route.target_latency_s:
            self.assertFalse(should_defer(routed, placement, now))
        if waited >= max_wait_s(routed) - 0.15:
            self.assertFalse(should_defer(routed, placement, now))


class HeldTest(unittest.TestCase):
    def test_one_that_waits_is_sent_before_it_would_be_refused(self):
        """Every engine reads for 6.5 s, so a long prompt is late in any case."""
        world = RouteWorld(engines=3)
        for number, name in enumerate(names(world)):
            world.core.controller.load.add(900 + number, name, world.now, read_s=6.5)
        effects = world.request("file", prompt_tokens=90_000, time_limit_s=15.0)
        self.assertEqual(world.forwards(effects), [])
        for _ in range(50):
            effects += world.advance(0.1)
        self.assertEqual(world.of(effects, SendErrorResponse), [])
        self.assertEqual(len(world.forwards(effects)), 1)


class SilenceTest(unittest.TestCase):
    def test_reading_is_no_silence(self):
        """Chats wait while a prompt of 500 k tokens is read on their engines."""
        world = RouteWorld(engines=2)
        chats = [
            world.forwards(world.request("chat", time_limit_s=10.0))[0]
            for _ in range(8)
        ]
        for forward in chats:
            begin(world, forward.send_id)
        effects = world.request("file", prompt_tokens=500_000, time_limit_s=15.0)
        for reserve in world.of(effects, Reserve):
            world.tell(ReserveResponse(reserve.reservation_id, True))
        part_s = PROFILE.read_s(500_000, 2)
        effects = world.advance(part_s)
        self.assertEqual(world.of(effects, AbortSend), [])

    def test_a_chat_moves_before_its_caller_leaves(self):
        """Its engine reads for 8 s, another one is idle."""
        world = RouteWorld(engines=2)
        first = world.forwards(world.request("chat", time_limit_s=10.0))[0]
        begin(world, first.send_id)
        world.core.controller.load.add(900, first.server, world.now, read_s=8.0)
        moved = world.forwards(world.advance(1.6))
        self.assertEqual(len(moved), 1)
        self.assertNotEqual(moved[0].server, first.server)
        self.assertEqual(moved[0].resume_after, "1")
        self.assertFalse(
            world.core.controller.observations.health.is_ejected(
                first.server, world.now
            )
        )

    def test_mute_server_is_left(self):
        world = RouteWorld()
        first = world.forwards(world.request("chat"))[0]
        effects = world.advance(1.0)
        again = world.forwards(effects)
        self.assertEqual(len(again), 1)
        self.assertNotEqual(again[0].server, first.server)

    def test_late_answer_of_a_left_server_is_nobodys(self):
        world = RouteWorld()
        first = world.forwards(world.request("chat"))[0]
        world.advance(1.0)
        self.assertEqual(world.tell(ResponseEvent(first.send_id, "1", b"1")), [])


class PlaceTest(unittest.TestCase):
    def test_chats_share_engines_and_leave_others_for_reading(self):
        world = RouteWorld(engines=6)
        for _ in range(12):
            begin(world, world.forwards(world.request("chat"))[0].send_id)
            world.advance(0.05)
        used = {forward.server for forward in world.forwards()}
        self.assertLessEqual(len(used), 3)
        forward = world.forwards(world.request("file", prompt_tokens=210_000))[0]
        addresses = {f"10.0.0.{name.rpartition('-')[2]}:8080" for name in sorted(used)}
        helping = {helper.address for helper in forward.helpers}
        self.assertNotIn(forward.server, used)
        self.assertEqual(helping & addresses, set())

    def test_peers_sends_count(self):
        world = RouteWorld(engines=2)
        peer = PeerAddress(
            name="entry-2", host="10.9.0.2", question_port=1, digest_port=2
        )
        busy = ServerLoad(read_s=2.0, lead_requests=8, tokens=400_000)
        digest = LoadDigest(
            sender=peer, incarnation=1, number=1, version=1, loads={"engine-1": busy}
        )
        world.tell(DigestReceived(digest))
        servers = {world.forwards(world.request("chat"))[0].server for _ in range(4)}
        self.assertEqual(servers, {"engine-2"})

    def test_prompt_that_nothing_holds_is_refused_at_once(self):
        world = RouteWorld(engines=2)
        effects = world.request("file", prompt_tokens=1_000_000)
        refused = world.of(effects, SendErrorResponse)
        self.assertEqual(len(refused), 1)

    def test_full_fleet_refuses_with_a_time_to_return(self):
        world = RouteWorld(engines=1)
        sends = [world.forwards(world.request("chat"))[0].send_id for _ in range(8)]
        effects = world.request("chat")
        for number in range(1, 30):
            for send_id in sends:
                head = ResponseHead(
                    send_id=send_id, kind=ResponseKind.SUCCESS, status=200
                )
                world.tell(head)
                world.tell(ResponseEvent(send_id, str(number), b"1"))
            effects += world.advance(0.1)
        refused = world.of(effects, SendErrorResponse)
        self.assertEqual(len(refused), 1)
        self.assertGreater(refused[0].outcome.retry_after, 0)


class ReservationTest(unittest.TestCase):
    def test_grant_after_release_is_released_again(self):
        """A reserve order may be carried out after the release that left later."""
        world = RouteWorld(engines=4)
        effects = world.request("file", prompt_tokens=1_300_000, time_limit_s=15.0)
        first, second = world.of(effects, Reserve)[:2]
        world.tell(ReserveResponse(first.reservation_id, False))
        world.tell(ReleaseResponse(first.reservation_id, True))
        world.tell(ReleaseResponse(second.reservation_id, True))
        effects = world.tell(ReserveResponse(second.reservation_id, True))
        released = [e.reservation_id for e in world.of(effects, Release)]
        self.assertEqual(released, [second.reservation_id])

    def test_engine_that_denies_is_avoided(self):
        world = RouteWorld(engines=6)
        effects = world.request("file", prompt_tokens=700_000, time_limit_s=15.0)
        first = world.of(effects, Reserve)[0]
        effects = world.tell(ReserveResponse(first.reservation_id, False))
        effects += world.advance(0.2)
        hosts = {reserve.host for reserve in world.of(effects, Reserve)}
        self.assertTrue(hosts)
        self.assertNotIn(first.host, hosts)


class HolderTest(unittest.TestCase):
    def test_memory_that_is_set_aside_counts_on_its_engine(self):
        """Prompts placed on a holder beyond its memory wait there for seconds."""
        world = RouteWorld(engines=3)
        effects = world.request("file", prompt_tokens=1_000_000, time_limit_s=15.0)
        reserves = world.of(effects, Reserve)
        self.assertGreaterEqual(len(reserves), 2)
        for reserve in reserves:
            effects = world.tell(ReserveResponse(reserve.reservation_id, True))
        forward = world.forwards(effects)[0]
        load = world.core.controller.load
        held = {r.host: r.tokens for r in reserves}
        for name in ("engine-1", "engine-2", "engine-3"):
            host = world.core.controller.servers.get(name).entry.host
            if name != forward.server:
                self.assertEqual(load.of(name, world.now).tokens, held[host])
        begin(world, forward.send_id)
        self.assertEqual(sum(load.of(n, world.now).tokens > 0 for n in names(world)), 3)
        world.tell(ResponseComplete(forward.send_id))
        self.assertEqual(sum(load.of(n, world.now).tokens for n in names(world)), 0)


if __name__ == "__main__":
    unittest.main()

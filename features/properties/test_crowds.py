"""Refusals, returns and rejections under crowds of prompts, without a network."""

import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.ports.digest import ServerLoad
from briarrelay_core.ports.route import (
    ResponseHead,
    ResponseKind,
    ResponseLost,
    RouteRequest,
    SendErrorResponse,
)
from briarrelay_core.routes.model import RouteKind
from briarrelay_core.routes.placement import Placement
from briarrelay_core.routes.queueing.feasibility import NoPlaceReason, find_no_place
from briarrelay_core.routes.queueing.rejections import RECENT_REJECTION_S
from briarrelay_core.routes.queueing.retryafter import ReturnSchedule
from briarrelay_core.routes.requeststate import RoutedRequest
from briarrelay_core.routes.waiting import caller_timeout_s, max_wait_s
from properties.routeworld import (
    PROFILE,
    RouteWorld,
    engine_names,
    make_route,
    start_response,
)

CROWD_S = 3.0
"""Seconds for which a crowd lasts."""

CALM_PER_S = 1.0
"""Long prompts that arrive in a second of the calm; they keep three engines about a
quarter busy."""


def add_backlog(world: RouteWorld, read_s: float, count: int = 1) -> None:
    """Queue reading on every engine, as if peers had sent it."""
    for number, name in enumerate(engine_names(world)):
        for share in range(count):
            world.instance.controller.load.add(
                9_000 + 100 * number + share, name, world.now, read_s=read_s / count
            )


def reject(world: RouteWorld, attempt_id: int) -> list:
    """Deliver an engine's statement that it did not run a request."""
    head = ResponseHead(attempt_id=attempt_id, kind=ResponseKind.NOT_RUN, status=503)
    return world.deliver(head)


def make_prompt(tokens: int = 5_000, **changes) -> RoutedRequest:
    """Return a chat that arrived at 100 s, or a long prompt."""
    fields = {"gap_limit_s": 0.2, "is_resumable": True, **changes}
    route = make_route("chat", RouteKind.STREAM, "llm", **fields)
    request = RouteRequest(
        request_id=1, caller_request_id="a", host="h", path="/", prompt_tokens=tokens
    )
    return RoutedRequest(
        request=request,
        route=route,
        service="llm",
        profile=PROFILE,
        workspace="",
        arrived_at=100.0,
        deadline=100.0 + route.timeout_s,
    )


class FeasibilityTest(unittest.TestCase):
    def test_prompt_whose_caller_leaves_is_refused(self):
        placement = Placement("engine-1", (), 0.02, 4.0, 0.0)
        no_place = find_no_place(make_prompt(), placement, (), 100.0)
        self.assertIs(no_place.reason, NoPlaceReason.CALLER_LEAVES)

    def test_late_prompt_is_refused_if_it_delays_others_more(self):
        routed = make_prompt(200_000, target_latency_s=3.0, timeout_s=15.0)
        placement = Placement("engine-1", ("engine-2",), 1.5, 6.0, 0.0)
        busy = ServerLoad(streams=((0.2, 4.0),))
        self.assertIsNone(find_no_place(routed, placement, (), 100.0))
        no_place = find_no_place(routed, placement, (busy, busy), 100.0)
        self.assertIs(no_place.reason, NoPlaceReason.COSTS_OTHERS_MORE)

    def test_largest_prompts_are_not_refused_for_being_late(self):
        """They miss their target on idle engines too."""
        routed = make_prompt(900_000, target_latency_s=3.0, timeout_s=15.0)
        placement = Placement("engine-1", ("engine-2",), 3.5, 6.0, 0.0)
        busy = ServerLoad(streams=((0.2, 4.0),))
        self.assertIsNone(find_no_place(routed, placement, (busy,), 100.0))

    def test_request_that_may_have_run_is_not_refused(self):
        placement = Placement("engine-1", (), 0.02, 40.0, 0.0)
        routed = make_prompt()
        routed.possible_runs = 1
        self.assertIsNone(find_no_place(routed, placement, (), 100.0))

    @given(st.floats(0, 9), st.floats(0, 0.4), st.floats(0, 50))
    def test_prompt_in_time_is_never_refused(self, read_s, wait_s, weight):
        """Neither is one that no reading is queued ahead of."""
        load = ServerLoad(streams=((0.2, weight),))
        placement = Placement("engine-1", (), read_s, read_s + wait_s, 0.0)
        self.assertIsNone(find_no_place(make_prompt(), placement, (load,), 100.0))

    def test_caller_is_refused_before_it_disconnects(self):
        routed = make_prompt()
        self.assertLess(max_wait_s(routed), caller_timeout_s(routed))


class ReturnTest(unittest.TestCase):
    def refuse(self, count: int, engines: float, left_s: float = 90.0) -> list[float]:
        """Return the times after which callers refused together may return."""
        schedule = ReturnSchedule()
        return [
            schedule.add(
                room_in_s=1.0,
                read_s=0.2,
                share=(n * 0.618) % 1,
                engines=engines,
                left_s=left_s,
                now=5.0,
            )
            for n in range(count)
        ]

    @given(st.integers(1, 100), st.floats(0.1, 50))
    def test_no_caller_returns_before_there_is_room(self, count, engines):
        self.assertGreaterEqual(min(self.refuse(count, engines)), 1.0)

    def test_engines_can_read_for_the_callers_that_return_in_any_second(self):
        times_s = self.refuse(400, engines=10.0)
        for second in range(1, 20):
            returning = sum(second <= at < second + 1 for at in times_s)
            self.assertLessEqual(returning * 0.2, 10.0)

    def test_callers_that_do_not_return_take_no_time_of_others(self):
        """Of 9 s, callers wait for up to 3 s."""
        times_s = self.refuse(400, engines=10.0, left_s=9.0)
        self.assertLessEqual(max(times_s), 3.2)

    def test_few_refused_callers_return_soon(self):
        self.assertLess(max(self.refuse(3, engines=10.0)), 1.5)


class CrowdTest(unittest.TestCase):
    """Each crowd arrives at one instance with three engines."""

    def send_crowd(self, world: RouteWorld, factor: float) -> list:
        """Deliver long prompts for `CROWD_S`; return the effects of each arrival."""
        arrivals = []
        for _ in range(int(CROWD_S * CALM_PER_S * factor)):
            arrivals.append(world.request("file", prompt_tokens=150_000))
            world.advance(1 / (CALM_PER_S * factor))
        return arrivals

    def refusals(self, world: RouteWorld) -> list[SendErrorResponse]:
        return world.of_type(world.all_effects, SendErrorResponse)

    def test_calm_sees_no_refusal(self):
        world = RouteWorld(engines=3)
        for _ in range(20):
            effects = world.request("chat") + world.request("look")
            for forward in world.forwards(effects):
                start_response(world, forward.attempt_id)
            world.advance(0.2)
        self.assertEqual(self.refusals(world), [])

    def test_unservable_prompt_is_refused_on_arrival(self):
        """Every engine has 10 s of reading queued; a chat's caller leaves after 2 s."""
        world = RouteWorld(engines=3)
        add_backlog(world, 10.0)
        effects = world.request("chat")
        [refusal] = world.of_type(effects, SendErrorResponse)
        self.assertEqual(world.forwards(effects), [])
        self.assertGreaterEqual(refusal.outcome.retry_after, 9.0)

    def test_return_at_the_named_time_is_served(self):
        world = RouteWorld(engines=3)
        add_backlog(world, 2.6)
        [refusal] = world.of_type(world.request("chat"), SendErrorResponse)
        world.advance(refusal.outcome.retry_after)
        effects = world.request("chat")
        self.assertEqual(len(world.forwards(effects)), 1)

    def test_promise_that_became_false_is_withdrawn_at_once(self):
        """A chat waits for a slot, and other instances send long prompts meanwhile."""
        world = RouteWorld(engines=1)
        first = world.forwards(world.request("chat"))[0]
        reject(world, first.attempt_id)
        earlier = len(self.refusals(world))
        effects = world.request("chat")
        self.assertEqual(world.forwards(effects), [])
        self.assertEqual(len(self.refusals(world)), earlier)
        add_backlog(world, 10.0)
        world.advance(RECENT_REJECTION_S + 0.2)
        self.assertEqual(len(self.refusals(world)), earlier + 1)

    def test_callers_that_repeat_at_once_are_refused_again_on_arrival(self):
        world = RouteWorld(engines=3)
        add_backlog(world, 10.0)
        for count in range(1, 41):
            effects = world.request("chat")
            self.assertEqual(world.forwards(effects), [])
            self.assertEqual(len(self.refusals(world)), count)

    def test_requests_on_lost_servers_find_room_or_are_refused_in_time(self):
        """A third of the full engines stop; their peers' digests end as well."""
        world = RouteWorld(engines=3)
        for _ in range(24):
            world.request("chat")
        sent = [f for f in world.forwards() if f.server == "engine-1"]
        for forward in sent:
            world.deliver(ResponseLost(forward.attempt_id, False, "refused"))
        caller_timeout_s = 2.0
        world.advance(caller_timeout_s - 0.1)
        active = {r.request.request_id for r in self.sent_requests(world)}
        refused = {r.request_id for r in self.refusals(world)}
        self.assertEqual(len(active | refused), 24)

    def sent_requests(self, world: RouteWorld) -> list[RoutedRequest]:
        return list(world.instance.controller.attempts.values())

    def test_crowds_leave_engines_free_soon(self):
        """No engine holds more reading than the callers of its prompts wait for."""
        for factor in (1.5, 4, 15):
            with self.subTest(factor=factor):
                world = RouteWorld(engines=3)
                self.send_crowd(world, factor)
                loads = world.instance.controller.load
                for name in engine_names(world):
                    self.assertLessEqual(loads.of(name, world.now).read_s, 12.0)


class RejectionTest(unittest.TestCase):
    def test_no_prompt_is_sent_while_all_engines_reject(self):
        world = RouteWorld(engines=3)
        effects = world.request("chat")
        rejected = 0
        while forwards := world.forwards(effects):
            effects = reject(world, forwards[0].attempt_id)
            rejected += 1
        self.assertEqual(rejected, 3)
        self.assertEqual(world.forwards(world.request("chat")), [])
        effects = world.advance(RECENT_REJECTION_S + 0.2)
        self.assertGreaterEqual(len(world.forwards(effects)), 1)

    def test_smaller_prompt_is_sent_to_an_engine_without_room_for_a_larger_one(self):
        world = RouteWorld(engines=1)
        effects = world.request("chat", prompt_tokens=20_000)
        reject(world, world.forwards(effects)[0].attempt_id)
        effects = world.request("chat", prompt_tokens=1_000, output_tokens=10)
        self.assertEqual(len(world.forwards(effects)), 1)

    def test_restarted_engine_is_used_at_once(self):
        world = RouteWorld(engines=1)
        effects = world.request("chat")
        reject(world, world.forwards(effects)[0].attempt_id)
        servers = world.instance.controller.servers.of_service("llm", world.now)
        for server in servers:
            server.entry = evolve(server.entry, born=server.entry.born + 1.0)
        self.assertEqual(len(world.forwards(world.request("chat"))), 1)

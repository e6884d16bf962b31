"""Refusals, returns and rejections under crowds of prompts, without a network."""

import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.outcomes import NotRun
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
from briarrelay_core.routes.queueing.rejections import (
    RECENT_REJECTION_S,
    RejectionTable,
)
from briarrelay_core.routes.queueing.retryafter import (
    MAX_USEFUL_FRACTION,
    spread_return_s,
)
from briarrelay_core.routes.requeststate import RoutedRequest
from briarrelay_core.routes.waiting import (
    RETURN_PAUSE_S,
    caller_timeout_s,
    max_wait_s,
)
from properties.routeworld import (
    PROFILE,
    RouteWorld,
    engine_names,
    make_entry,
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
    def find(
        self, routed: RoutedRequest, read_s: float, backlog_s: float, weight: float = 0
    ) -> NoPlaceReason | None:
        """Return why a prompt has no place on two engines with the same load.

        :param weight: weight of the streams on each engine.
        """
        load = ServerLoad(read_s=backlog_s, streams=((0.2, weight),))
        placement = Placement(
            "engine-1", ("engine-2",), read_s, 3 * (read_s + backlog_s), 0.0
        )
        loads = {"engine-1": load, "engine-2": load}
        no_place = find_no_place(routed, placement, loads, 100.0)
        return no_place and no_place.reason

    def test_prompt_whose_caller_leaves_is_refused(self):
        found = self.find(make_prompt(), read_s=0.02, backlog_s=4.0)
        self.assertIs(found, NoPlaceReason.CALLER_LEAVES)

    def test_prompt_that_another_engine_reads_in_time_is_not_refused(self):
        """That engine has no free slot yet."""
        busy, full = ServerLoad(read_s=9.0), ServerLoad(lead_requests=8)
        placement = Placement("engine-1", (), 0.02, 9.02, 0.0)
        loads = {"engine-1": busy, "engine-2": full}
        self.assertIsNone(find_no_place(make_prompt(), placement, loads, 100.0))

    def test_late_prompt_is_refused_if_it_delays_others_more(self):
        routed = make_prompt(200_000, target_latency_s=3.0, timeout_s=15.0)
        self.assertIsNone(self.find(routed, read_s=1.5, backlog_s=7.0))
        found = self.find(routed, read_s=1.5, backlog_s=7.0, weight=4.0)
        self.assertIs(found, NoPlaceReason.COSTS_OTHERS_MORE)

    def test_largest_prompts_are_not_refused_for_being_late(self):
        """They miss their target on idle engines too."""
        routed = make_prompt(900_000, target_latency_s=3.0, timeout_s=15.0)
        found = self.find(routed, read_s=3.5, backlog_s=7.0, weight=4.0)
        self.assertIsNone(found)

    def test_request_that_may_have_run_is_not_refused(self):
        routed = make_prompt()
        routed.possible_runs = 1
        self.assertIsNone(self.find(routed, read_s=0.02, backlog_s=40.0))

    def test_stream_that_has_begun_elsewhere_is_not_refused(self):
        """Its caller names the last event that it received, so it has run."""
        routed = make_prompt()
        routed.request = evolve(routed.request, resume_after="7")
        self.assertIsNone(self.find(routed, read_s=0.02, backlog_s=40.0))

    @given(st.floats(0, 9), st.floats(0, 0.4), st.floats(0, 50))
    def test_prompt_without_reading_ahead_is_never_refused(
        self, read_s, backlog_s, weight
    ):
        self.assertIsNone(self.find(make_prompt(), read_s, backlog_s, weight))

    @given(st.floats(0, 0.25), st.floats(0, 100))
    def test_prompt_in_time_is_never_refused(self, read_s, weight):
        routed = make_prompt(target_latency_s=3.0)
        self.assertIsNone(self.find(routed, read_s, 2.7, weight))

    def test_caller_is_refused_before_it_disconnects(self):
        routed = make_prompt()
        self.assertLess(max_wait_s(routed), caller_timeout_s(routed))


class ReturnTest(unittest.TestCase):
    @given(st.floats(0.01, 30), st.floats(0.01, 30), st.floats(0, 0.999))
    def test_no_caller_returns_before_there_is_room(self, room_in_s, left_s, share):
        self.assertGreaterEqual(spread_return_s(room_in_s, left_s, share), room_in_s)

    @given(st.floats(0.01, 3), st.floats(0, 0.999))
    def test_spread_keeps_returns_useful(self, room_in_s, share):
        returns_in_s = spread_return_s(room_in_s, 9.5, share)
        self.assertLessEqual(returns_in_s, MAX_USEFUL_FRACTION * 9.5)

    def test_callers_refused_together_return_apart(self):
        shares = [n / 100 for n in range(100)]
        times_s = [spread_return_s(1.0, 10.0, share) for share in shares]
        at_once = max(sum(t <= at < t + 0.1 for at in times_s) for t in times_s)
        self.assertLessEqual(at_once, 12)


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
        effects = world.request("chat")
        self.assertEqual(world.forwards(effects), [])
        self.assertEqual(self.refusals(world), [])
        add_backlog(world, 10.0)
        world.advance(RECENT_REJECTION_S + 0.2)
        refused = [refusal.request_id for refusal in self.refusals(world)]
        self.assertEqual(sorted(refused), [1, 2])

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

    def test_long_prompt_avoids_a_helper_that_rejected_another(self):
        world = RouteWorld(engines=6)
        [forward] = world.forwards(world.request("file", prompt_tokens=200_000))
        helper = forward.helpers[0].address
        head = ResponseHead(
            attempt_id=forward.attempt_id,
            kind=ResponseKind.NOT_RUN,
            status=503,
            refused_by=helper,
        )
        repeats = world.forwards(world.deliver(head))
        others = world.forwards(world.request("file", prompt_tokens=250_000))
        self.assertTrue(repeats)
        for sent in repeats + others:
            self.assertNotIn(helper, [h.address for h in sent.helpers])
            self.assertNotEqual(helper, f"{sent.host}:{sent.port}")

    def test_prompt_waits_for_the_only_engine_that_rejected_it(self):
        world = RouteWorld(engines=1)
        effects = world.request("chat")
        effects = reject(world, world.forwards(effects)[0].attempt_id)
        self.assertEqual(world.of_type(effects, SendErrorResponse), [])
        self.assertEqual(world.forwards(effects), [])
        self.assertEqual(world.forwards(world.advance(RETURN_PAUSE_S - 0.1)), [])
        self.assertEqual(len(world.forwards(world.advance(0.3))), 1)

    def test_prompt_that_is_always_rejected_is_refused_while_its_caller_is_there(self):
        world = RouteWorld(engines=1)
        effects, sent = world.request("chat"), 0
        for _ in range(80):
            for forward in world.forwards(effects):
                sent += 1
                effects = effects + reject(world, forward.attempt_id)
            if world.of_type(effects, SendErrorResponse):
                break
            effects = world.advance(0.1)
        [refusal] = world.of_type(effects, SendErrorResponse)
        self.assertIsInstance(refusal.outcome, NotRun)
        self.assertLessEqual(sent, 8)
        self.assertLess(world.now - 1_000.0, 8.0)

    def test_prompt_that_may_have_run_does_not_return_to_its_engine(self):
        world = RouteWorld(engines=1)
        [forward] = world.forwards(world.request("chat"))
        lost = ResponseLost(forward.attempt_id, is_sent=True, problem="closed")
        world.deliver(lost)
        self.assertEqual(world.forwards(world.advance(2.0)), [])

    def test_engines_that_left_are_forgotten(self):
        table = RejectionTable()
        for number in range(1_000):
            engine = make_entry(f"engine-{number}", "llm")
            table.record(make_prompt(), engine, 100.0 + number)
        self.assertEqual(len(table), 1)

    def test_restarted_engine_is_used_at_once(self):
        world = RouteWorld(engines=1)
        effects = world.request("chat")
        reject(world, world.forwards(effects)[0].attempt_id)
        servers = world.instance.controller.servers.of_service("llm", world.now)
        for server in servers:
            server.entry = evolve(server.entry, born=server.entry.born + 1.0)
        self.assertEqual(len(world.forwards(world.request("chat"))), 1)

"""Responses that end although what they were given up for does not work."""

import unittest

from briarrelay_core.outcomes import Failed, NotRun
from briarrelay_core.ports.control import DrainRequested, ExitProcess, ProcessResumed
from briarrelay_core.ports.directory import ServerState, Topic, TopicChange
from briarrelay_core.ports.memory import Release, Reserve, ReserveResponse
from briarrelay_core.ports.route import (
    AbortAttempt,
    AbortResponse,
    CallerDisconnected,
    ForwardRequest,
    RelayEnd,
    RelayEvent,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    ResponseLost,
    SendErrorResponse,
)
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.model import RouteKind
from properties.routeworld import (
    RouteWorld,
    engine_names,
    make_configuration,
    make_entry,
    make_route,
    start_response,
)

SILENCE_S = 1.3


def refuse(world: RouteWorld, attempt_id: int) -> list:
    """Let a server refuse an attempt without running it."""
    head = ResponseHead(attempt_id=attempt_id, kind=ResponseKind.NOT_RUN, status=503)
    return world.deliver(head)


class RefusedMoveTest(unittest.TestCase):
    """A stream that was moved from a silent engine is refused by the next one."""

    def move_stream(self, world: RouteWorld) -> tuple[ForwardRequest, ForwardRequest]:
        """Return the first attempt of a stream, and the one that it moved to."""
        (sent,) = world.forwards(world.request("chat"))
        start_response(world, sent.attempt_id)
        (moved,) = world.forwards(world.advance(SILENCE_S))
        return sent, moved

    def test_stream_returns_to_its_engine_when_the_only_other_one_refuses(self):
        world = RouteWorld(engines=2)
        sent, moved = self.move_stream(world)
        effects = refuse(world, moved.attempt_id)
        effects += world.advance(0.3)
        self.assertEqual(world.of_type(effects, AbortResponse), [])
        (returned,) = world.forwards(effects)
        self.assertEqual((returned.server, returned.resume_after), (sent.server, "1"))

    def test_stream_is_not_cut_when_the_budget_is_used_up_by_the_move(self):
        world = RouteWorld()
        _, moved = self.move_stream(world)
        world.instance.controller.budget.limits = RetryLimits(ratio=0.0, slack=0.0)
        effects = refuse(world, moved.attempt_id)
        effects += world.advance(0.3)
        self.assertEqual(world.of_type(effects, AbortResponse), [])


class OftenRefusedStreamTest(unittest.TestCase):
    """Attempts that did not run never end a begun stream; possible runs are limited."""

    def begin(self, world: RouteWorld) -> ForwardRequest:
        (sent,) = world.forwards(world.request("chat"))
        start_response(world, sent.attempt_id)
        return sent

    def refuse_all(self, world: RouteWorld, effects: list, answer, until: float):
        """Answer each attempt in the same way until a time; the stream is not cut.

        :param answer: returns the message for an attempt's id.
        :returns: the attempts.
        """
        attempts = []
        while world.now < until:
            for sent in world.forwards(effects):
                attempts.append(sent)
                effects = world.deliver(answer(sent.attempt_id))
                self.assertEqual(world.of_type(effects, AbortResponse), [])
                break
            else:
                effects = world.advance(0.05)
                self.assertEqual(world.of_type(effects, AbortResponse), [])
        return attempts

    def check_resumed(self, world: RouteWorld) -> None:
        (sent,) = world.forwards(world.advance(0.6))
        self.assertEqual(sent.resume_after, "1")
        head = ResponseHead(
            attempt_id=sent.attempt_id,
            kind=ResponseKind.SUCCESS,
            status=200,
            is_stream=True,
        )
        effects = world.deliver(head)
        effects += world.deliver(ResponseEvent(sent.attempt_id, "2", b"2"))
        effects += world.deliver(ResponseComplete(sent.attempt_id))
        self.assertEqual([e.data for e in world.of_type(effects, RelayEvent)], [b"2"])
        self.assertEqual(len(world.of_type(effects, RelayEnd)), 1)

    def test_refusals_do_not_end_a_begun_stream(self):
        world = RouteWorld()
        began_at = world.now
        sent = self.begin(world)
        lost = world.deliver(ResponseLost(sent.attempt_id, True, "closed", True))
        attempts = self.refuse_all(
            world,
            lost,
            lambda n: ResponseHead(attempt_id=n, kind=ResponseKind.NOT_RUN, status=503),
            began_at + 1.3,
        )
        self.assertGreater(len(attempts), 4)
        self.assertLessEqual(len(attempts), 4 + 3, "one each 0.5 s after the first 4")
        self.check_resumed(world)

    def test_unreachable_servers_do_not_end_a_begun_stream(self):
        world = RouteWorld(engines=12)
        began_at = world.now
        sent = self.begin(world)
        lost = world.deliver(ResponseLost(sent.attempt_id, True, "closed", True))
        attempts = self.refuse_all(
            world, lost, lambda n: ResponseLost(n, False, "no route"), began_at + 1.3
        )
        self.assertGreater(len(attempts), 7)
        self.assertLessEqual(len(attempts), 7 + 3, "one each 0.5 s after the first 7")
        self.check_resumed(world)

    def test_stream_returns_to_the_only_engine_after_its_refusal(self):
        world = RouteWorld(engines=1)
        sent = self.begin(world)
        world.deliver(ResponseLost(sent.attempt_id, True, "closed", True))
        change = TopicChange("engine-1", make_entry("engine-1", "llm", born=2.0))
        world.deliver_changes(Topic.SERVERS, change)
        (again,) = world.forwards(world.advance(0.2))
        effects = refuse(world, again.attempt_id) + world.advance(0.4)
        self.assertEqual(world.of_type(effects, AbortResponse), [])
        self.assertEqual(world.forwards(effects), [])
        self.check_resumed(world)

    def test_stream_returns_to_its_engine_when_the_next_one_is_another(self):
        world = RouteWorld(engines=2)
        sent = self.begin(world)
        (moved,) = world.forwards(world.advance(SILENCE_S))
        head = ResponseHead(
            attempt_id=moved.attempt_id, kind=ResponseKind.OTHER_SERVER, status=421
        )
        (returned,) = world.forwards(world.deliver(head) + world.advance(0.2))
        self.assertEqual((returned.server, returned.resume_after), (sent.server, "1"))

    def test_stream_never_runs_more_often_than_its_route_allows(self):
        """A 500, a reset and an abort promise nothing, so that they count as runs."""
        for message in (
            lambda n: ResponseLost(n, True, "reset", True),
            lambda n: ResponseHead(attempt_id=n, kind=ResponseKind.FAILURE, status=500),
        ):
            world = RouteWorld()
            self.begin(world)
            (moved,) = world.forwards(world.advance(SILENCE_S))
            effects = world.deliver(message(moved.attempt_id))
            effects += world.deliver(ResponseComplete(moved.attempt_id))
            effects += world.advance(3.0)
            self.assertEqual(world.forwards(effects), [])
            self.assertEqual(len(world.of_type(effects, AbortResponse)), 1)

    def test_request_that_has_not_begun_is_refused_after_few_refusals(self):
        world = RouteWorld(engines=12)
        effects, count = world.request("chat"), 0
        while forwards := world.forwards(effects):
            count += 1
            effects = refuse(world, forwards[0].attempt_id)
        self.assertEqual(count, 5)
        (refusal,) = world.of_type(effects, SendErrorResponse)
        self.assertIsInstance(refusal.outcome, NotRun)


class UselessMoveTest(unittest.TestCase):
    """A stream stays where no other engine is known to work in time."""

    def test_stream_does_not_move_to_an_ejected_engine(self):
        world = RouteWorld(engines=2)
        (sent,) = world.forwards(world.request("chat"))
        start_response(world, sent.attempt_id)
        (other,) = [n for n in engine_names(world) if n != sent.server]
        health = world.instance.controller.observations.health
        health.record_failure(other, world.now + 0.5, certain=True)
        self.assertTrue(health.is_ejected(other, world.now + SILENCE_S))
        effects = world.advance(SILENCE_S)
        self.assertEqual(world.of_type(effects, AbortAttempt), [])

    def test_stream_does_not_move_to_an_engine_that_is_late_for_its_caller(self):
        world = RouteWorld(engines=2)
        (sent,) = world.forwards(world.request("chat"))
        start_response(world, sent.attempt_id)
        (other,) = [n for n in engine_names(world) if n != sent.server]
        world.instance.controller.load.add("busy", other, world.now, read_s=6.0)
        effects = world.advance(SILENCE_S)
        self.assertEqual(world.of_type(effects, AbortAttempt), [])


class LastEngineTest(unittest.TestCase):
    """The only engine closes the connection of a begun stream."""

    def lose_stream(self, world: RouteWorld) -> list:
        """Begin a stream and close its connection; return the effects of the close."""
        (sent,) = world.forwards(world.request("chat"))
        start_response(world, sent.attempt_id)
        return world.deliver(ResponseLost(sent.attempt_id, True, "closed", True))

    def test_stream_goes_on_when_an_engine_is_added(self):
        world = RouteWorld(engines=1)
        effects = self.lose_stream(world) + world.advance(1.0)
        self.assertEqual(world.of_type(effects, AbortResponse), [])
        entry = make_entry("engine-2", "llm")
        effects = world.deliver_changes(Topic.SERVERS, TopicChange("engine-2", entry))
        (sent,) = world.forwards(effects + world.advance(0.2))
        self.assertEqual((sent.server, sent.resume_after), ("engine-2", "1"))

    def test_stream_ends_when_its_caller_is_expected_to_have_left(self):
        world = RouteWorld(engines=1)
        effects = self.lose_stream(world) + world.advance(1.9)
        self.assertEqual(world.of_type(effects, AbortResponse), [])
        effects = world.advance(0.3)
        self.assertEqual(len(world.of_type(effects, AbortResponse)), 1)


class SplitMoveTest(unittest.TestCase):
    """A prompt that several engines hold together moves from a silent lead."""

    def start(self, world: RouteWorld, tokens: int = 600_000) -> int:
        effects = world.request("file", prompt_tokens=tokens, time_limit_s=15.0)
        effects += self.grant(world, effects)
        (sent,) = world.forwards(effects)
        return sent.attempt_id

    def grant(self, world: RouteWorld, effects: list, is_granted: bool = True) -> list:
        answers = []
        for reserve in world.of_type(effects, Reserve):
            answers += world.deliver(
                ReserveResponse(reserve.reservation_id, is_granted)
            )
        return answers

    def test_stream_is_not_given_up_before_memory_is_granted(self):
        world = RouteWorld(engines=8)
        start_response(world, self.start(world))
        effects = []
        for _ in range(40):
            step = world.advance(0.1)
            effects += step + self.grant(world, step, is_granted=False)
        self.assertEqual(world.of_type(effects, AbortAttempt), [])
        self.assertEqual(world.of_type(effects, AbortResponse), [])

    def test_stream_leaves_a_dark_lead_when_its_own_memory_is_all_that_is_missing(self):
        """The two other engines have room for it, but hold a part of the first."""
        world = RouteWorld(engines=3)
        start_response(world, self.start(world, 600_000))
        own = world.open_reservations
        reserves = []
        for _ in range(60):
            reserves += world.of_type(world.advance(0.1), Reserve)
        self.assertNotEqual({r.reservation_id for r in reserves} - own, set())

    def test_stream_keeps_its_own_memory_in_a_pause_of_a_sound_lead(self):
        """Pauses of up to 1.6 s were seen; its own memory is all that is missing."""
        world = RouteWorld(engines=3)
        route = make_route(
            "file",
            RouteKind.STREAM,
            "llm",
            is_resumable=True,
            gap_limit_s=0.2,
            target_latency_s=3.0,
            timeout_s=15.0,
        )
        change = TopicChange("config", make_configuration(2, routes=(route,)))
        world.deliver_changes(Topic.CONFIGURATION, change)
        start_response(world, self.start(world, 600_000))
        effects = world.advance(1.7)
        self.assertEqual(world.of_type(effects, AbortAttempt), [])


class PreparedMoveTest(unittest.TestCase):
    """The old attempt of a stream goes on until memory for the new one is granted."""

    def setUp(self):
        self.world = RouteWorld(engines=8)
        effects = self.world.request("file", prompt_tokens=900_000, time_limit_s=15.0)
        (self.sent,) = self.world.forwards(effects + self.answer(effects))
        start_response(self.world, self.sent.attempt_id)
        self.old_memory = self.world.open_reservations

    def answer(self, effects: list, is_granted: bool = True) -> list:
        """Let engines answer orders to reserve memory; return the effects."""
        answers = []
        for reserve in self.world.of_type(effects, Reserve):
            answers += self.world.deliver(
                ReserveResponse(reserve.reservation_id, is_granted)
            )
        return answers

    def prepare(self) -> list[Reserve]:
        """Let the lead be silent until memory is requested for a move."""
        effects = []
        for _ in range(30):
            step = self.world.advance(0.1)
            effects += step
            new = self.new_reserves(step)
            if new:
                self.assertEqual(self.ends(effects), [])
                return new
        self.fail("no memory requested")

    def new_reserves(self, effects: list) -> list[Reserve]:
        reserves = self.world.of_type(effects, Reserve)
        return [r for r in reserves if r.reservation_id not in self.old_memory]

    def ends(self, effects: list) -> list:
        classes = (AbortAttempt, AbortResponse, SendErrorResponse, ForwardRequest)
        return [e for e in effects if isinstance(e, classes)]

    def grant_late(self, reserves: list[Reserve]) -> None:
        """Check that grants for a dropped move send nothing and are released."""
        ids = {reserve.reservation_id for reserve in reserves}
        self.assertEqual(self.world.open_reservations & ids, set())
        effects = self.answer(reserves)
        self.assertEqual(self.ends(effects), [])
        released = {e.reservation_id for e in self.world.of_type(effects, Release)}
        self.assertEqual(released, ids)

    def check_nothing_left(self) -> None:
        controller = self.world.instance.controller
        self.assertEqual(self.world.open_reservations, set())
        self.assertEqual(controller.load.own_loads(self.world.now), {})
        self.assertEqual(controller.requests, {})

    def test_stream_moves_once_all_its_memory_is_granted(self):
        reserves = self.prepare()
        effects = self.answer(reserves)
        abort, forward = self.ends(effects)
        self.assertEqual(abort, AbortAttempt(self.sent.attempt_id))
        self.assertIsInstance(forward, ForwardRequest)
        self.assertEqual(forward.resume_after, "1")
        self.assertNotEqual(forward.server, self.sent.server)
        released = {e.reservation_id for e in self.world.of_type(effects, Release)}
        self.assertEqual(released, self.old_memory)
        self.world.deliver(ResponseEvent(forward.attempt_id, "2", b"2"))
        self.world.deliver(ResponseComplete(forward.attempt_id))
        self.check_nothing_left()

    def test_move_is_dropped_when_the_old_attempt_goes_on(self):
        reserves = self.prepare()
        effects = self.world.deliver(ResponseEvent(self.sent.attempt_id, "2", b"2"))
        self.assertEqual(len(self.world.of_type(effects, RelayEvent)), 1)
        self.grant_late(reserves)
        self.world.deliver(ResponseComplete(self.sent.attempt_id))
        self.check_nothing_left()

    def test_move_is_dropped_when_the_old_attempt_is_complete(self):
        reserves = self.prepare()
        effects = self.world.deliver(ResponseComplete(self.sent.attempt_id))
        self.assertEqual(len(self.world.of_type(effects, RelayEnd)), 1)
        self.grant_late(reserves)
        self.check_nothing_left()

    def test_move_is_dropped_when_the_caller_leaves(self):
        reserves = self.prepare()
        self.world.deliver(CallerDisconnected(self.sent.request_id))
        self.grant_late(reserves)
        self.check_nothing_left()

    def test_stream_is_placed_anew_when_the_old_attempt_is_lost(self):
        reserves = self.prepare()
        lost = ResponseLost(self.sent.attempt_id, True, "closed", True)
        effects = self.world.deliver(lost)
        self.assertEqual(self.world.of_type(effects, AbortResponse), [])
        self.grant_late(reserves)
        effects += self.world.advance(0.1)
        (forward,) = self.world.forwards(self.answer(self.new_reserves(effects)))
        self.assertEqual(forward.resume_after, "1")

    def test_old_attempt_goes_on_when_no_retry_is_left_at_the_grant(self):
        reserves = self.prepare()
        self.world.instance.controller.budget.limits = RetryLimits(ratio=0.0, slack=0.0)
        self.assertEqual(self.ends(self.answer(reserves)), [])
        self.assertEqual(self.world.open_reservations, self.old_memory)

    def test_old_attempt_goes_on_when_the_new_lead_leaves(self):
        reserves = self.prepare()
        routed = self.world.instance.controller.requests[self.sent.request_id]
        name = routed.prepared_attempt.server
        entry = make_entry(name, "llm", state=ServerState.DRAINING)
        self.world.deliver_changes(Topic.SERVERS, TopicChange(name, entry))
        self.assertEqual(self.ends(self.answer(reserves)), [])
        self.assertEqual(self.world.open_reservations, self.old_memory)

    def test_memory_that_is_not_granted_by_all_is_released(self):
        """The users' bound is 9 s; the caller waits up to 12 s for an event."""
        first, *others = self.prepare()
        self.assertTrue(others)
        self.assertEqual(self.ends(self.answer([first])), [])
        ids = {reserve.reservation_id for reserve in (first, *others)}
        self.world.advance(8.3)
        self.assertEqual(self.world.open_reservations & ids, set())

    def test_denied_move_does_not_stop_others_from_being_tried(self):
        denied = self.prepare()
        self.assertEqual(self.ends(self.answer(denied, is_granted=False)), [])
        effects = self.world.advance(0.1)
        reserves = self.new_reserves(effects)
        self.assertNotIn(denied[0].host, {reserve.host for reserve in reserves})
        self.assertEqual(len(self.ends(self.answer(reserves))), 2)


class NoEngineTest(unittest.TestCase):
    """A begun stream without an eligible engine waits as long as its caller does."""

    def lose(self, world: RouteWorld, **changes) -> list:
        """Let the only engine of a begun stream close its connection."""
        (self.sent,) = world.forwards(world.request("chat", **changes))
        start_response(world, self.sent.attempt_id)
        return world.deliver(ResponseLost(self.sent.attempt_id, True, "closed", True))

    def list_engine(self, world: RouteWorld, name: str, **changes) -> list:
        change = TopicChange(name, make_entry(name, "llm", **changes))
        return world.deliver_changes(Topic.SERVERS, change)

    def check_resumed(self, world: RouteWorld, server: str) -> None:
        (resumed,) = world.forwards(world.advance(0.2))
        self.assertEqual((resumed.server, resumed.resume_after), (server, "1"))

    def test_stream_goes_on_at_a_new_engine(self):
        world = RouteWorld(engines=1)
        effects = self.lose(world) + world.advance(1.0)
        self.assertEqual(world.of_type(effects, AbortResponse), [])
        self.list_engine(world, "engine-2")
        self.check_resumed(world, "engine-2")

    def test_stream_goes_on_at_its_engine_after_a_restart(self):
        world = RouteWorld(engines=1)
        effects = self.lose(world) + world.advance(1.0)
        self.assertEqual(world.of_type(effects, AbortResponse), [])
        self.list_engine(world, "engine-1", born=2.0)
        self.check_resumed(world, "engine-1")

    def test_stream_is_cut_once_its_caller_has_waited_long_enough(self):
        """The users' callers disconnect after 2 s without an event."""
        world = RouteWorld(engines=1)
        effects = self.lose(world) + world.advance(1.9)
        self.assertEqual(world.of_type(effects, AbortResponse), [])
        effects = world.advance(0.3)
        self.assertEqual(
            world.of_type(effects, AbortResponse), [AbortResponse(self.sent.request_id)]
        )
        self.list_engine(world, "engine-2")
        self.assertEqual(world.forwards(world.advance(1.0)), [])

    def test_stream_ends_while_it_waits_at_its_deadline(self):
        world = RouteWorld(engines=1)
        effects = self.lose(world, time_limit_s=0.5) + world.advance(0.45)
        self.assertEqual(world.of_type(effects, AbortResponse), [])
        effects = world.advance(0.3)
        self.assertEqual(len(world.of_type(effects, AbortResponse)), 1)

    def test_caller_may_leave_while_its_stream_waits(self):
        world = RouteWorld(engines=1)
        self.lose(world)
        world.deliver(CallerDisconnected(self.sent.request_id))
        self.list_engine(world, "engine-2")
        effects = world.advance(3.0)
        self.assertEqual(world.forwards(effects), [])
        self.assertEqual(world.of_type(effects, AbortResponse), [])

    def lose_split_stream(self, world: RouteWorld) -> str:
        """Lose a stream that all three engines hold; return its lead."""
        effects = world.request("file", prompt_tokens=1_200_000, time_limit_s=15.0)
        for reserve in world.of_type(effects, Reserve):
            effects += world.deliver(ReserveResponse(reserve.reservation_id, True))
        (sent,) = world.forwards(effects)
        start_response(world, sent.attempt_id)
        effects = world.deliver(ResponseLost(sent.attempt_id, True, "closed", True))
        effects += world.advance(1.0)
        self.assertEqual(world.of_type(effects, AbortResponse), [])
        return sent.server

    def test_stream_waits_while_too_few_engines_can_hold_its_prompt(self):
        world = RouteWorld(engines=3)
        self.lose_split_stream(world)
        self.list_engine(world, "engine-4")
        self.assertNotEqual(world.of_type(world.advance(0.2), Reserve), [])

    def test_stream_waits_for_a_restart_if_all_engines_have_to_hold_its_prompt(self):
        world = RouteWorld(engines=3)
        self.list_engine(world, self.lose_split_stream(world), born=2.0)
        self.assertNotEqual(world.of_type(world.advance(0.2), Reserve), [])

    def test_stream_returns_to_an_engine_that_denied_it_memory(self):
        """The two engines left have to hold it, and the denial was for a moment."""
        world = RouteWorld(engines=3)
        effects = world.request("file", prompt_tokens=600_000, time_limit_s=15.0)
        for reserve in world.of_type(effects, Reserve):
            effects += world.deliver(ReserveResponse(reserve.reservation_id, True))
        (sent,) = world.forwards(effects)
        start_response(world, sent.attempt_id)
        effects = world.deliver(ResponseLost(sent.attempt_id, True, "closed", True))
        (denied,) = world.of_type(effects + world.advance(0.1), Reserve)
        world.deliver(ReserveResponse(denied.reservation_id, False))
        self.assertEqual(world.of_type(world.advance(0.4), Reserve), [])
        (again,) = world.of_type(world.advance(0.2), Reserve)
        self.assertEqual(again.host, denied.host)
        effects = world.deliver(ReserveResponse(again.reservation_id, True))
        (resumed,) = world.forwards(effects)
        self.assertEqual(resumed.resume_after, "1")

    def test_request_that_has_not_begun_is_refused_at_once(self):
        world = RouteWorld(engines=0)
        (refusal,) = world.of_type(world.request("chat"), SendErrorResponse)
        self.assertIsInstance(refusal.outcome, NotRun)


class UnusedMemoryTest(unittest.TestCase):
    """Memory is not reserved for long without being used."""

    def test_memory_of_a_prompt_that_is_not_begun_is_released(self):
        """The users' bound is 9 s; the prompt waits in the queue of its engine."""
        world = RouteWorld(engines=3)
        effects = world.request("file", prompt_tokens=600_000, time_limit_s=15.0)
        for reserve in world.of_type(effects, Reserve):
            world.deliver(ReserveResponse(reserve.reservation_id, True))
        reserved = world.open_reservations
        self.assertTrue(reserved)
        for _ in range(88):
            step = world.advance(0.1)
            for reserve in world.of_type(step, Reserve):
                if reserve.reservation_id in reserved:
                    world.deliver(ReserveResponse(reserve.reservation_id, True))
        self.assertEqual(world.open_reservations & reserved, set())

    def test_memory_of_a_prompt_is_released_if_an_engine_does_not_answer(self):
        world = RouteWorld(engines=8)
        effects = world.request("file", prompt_tokens=900_000, time_limit_s=15.0)
        first, *others = world.of_type(effects, Reserve)
        self.assertTrue(others)
        world.deliver(ReserveResponse(first.reservation_id, True))
        effects = world.advance(8.5)
        self.assertEqual(world.open_reservations, set())
        (refusal,) = world.of_type(effects, SendErrorResponse)
        self.assertIsInstance(refusal.outcome, NotRun)


class EndOfStopTest(unittest.TestCase):
    """Requests whose response has not begun when the process ends get an answer."""

    def test_unbegun_requests_are_answered_before_the_process_ends(self):
        world = RouteWorld(engines=1, plain_servers=1)
        routes = (
            make_route("file", RouteKind.STREAM, "llm", timeout_s=60.0),
            make_route("book", RouteKind.UNSAFE, "desk", timeout_s=60.0, attempts=1),
        )
        configuration = make_configuration(2, routes=routes)
        world.deliver_changes(Topic.CONFIGURATION, TopicChange("config", configuration))
        world.deliver(DrainRequested())
        world.advance(2.5)
        for slot in range(8):
            world.instance.controller.load.add(f"s-{slot}", "engine-1", world.now)
        self.assertEqual(world.forwards(world.request("file", time_limit_s=60.0)), [])
        (sent,) = world.forwards(world.request("book", time_limit_s=60.0))
        effects = world.advance(5.2)
        self.assertEqual(len(world.of_type(effects, ExitProcess)), 1)
        answers = {
            e.request_id: type(e.outcome)
            for e in world.of_type(effects, SendErrorResponse)
        }
        self.assertEqual(
            answers, {sent.request_id - 1: NotRun, sent.request_id: Failed}
        )

    def test_held_request_is_refused_when_the_process_ends(self):
        """Requests are held after a suspension until the store has been read."""
        world = RouteWorld()
        world.deliver(DrainRequested())
        world.advance(2.55)
        world.deliver(ProcessResumed(0.5))
        self.assertEqual(world.of_type(world.request("look"), SendErrorResponse), [])
        effects = world.advance(0.1)
        self.assertEqual(len(world.of_type(effects, ExitProcess)), 1)
        (answer,) = world.of_type(effects, SendErrorResponse)
        self.assertIsInstance(answer.outcome, NotRun)

    def test_no_request_is_admitted_after_the_stop_is_due(self):
        """A grace time may end before new requests are refused."""
        world = RouteWorld()
        world.instance.stopping.grace_s = 3.0
        world.deliver(DrainRequested())
        effects = world.advance(2.45)
        self.assertEqual(len(world.of_type(effects, ExitProcess)), 1)
        effects = world.request("look")
        self.assertEqual(world.forwards(effects), [])
        (answer,) = world.of_type(effects, SendErrorResponse)
        self.assertIsInstance(answer.outcome, NotRun)

"""Responses that end although what they were given up for does not work."""

import unittest

from briarrelay_core.outcomes import Failed, NotRun
from briarrelay_core.ports.control import DrainRequested, ExitProcess, ProcessResumed
from briarrelay_core.ports.directory import Topic, TopicChange
from briarrelay_core.ports.memory import Reserve, ReserveResponse
from briarrelay_core.ports.route import (
    AbortAttempt,
    AbortResponse,
    ForwardRequest,
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

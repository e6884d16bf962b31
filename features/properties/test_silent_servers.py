"""Responses of servers that are silent for about a second and then go on."""

import unittest
from collections import Counter
from unittest.mock import patch

from briarrelay_core.ports.directory import Topic, TopicChange
from briarrelay_core.ports.route import (
    AbortAttempt,
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
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.controller import RequestController
from properties.routeworld import RouteWorld, engine_names, make_entry, start_response

SILENCE_S = 1.3
"""Silence in seconds of a server that goes on; longer than every timeout for a stream
with short gaps, shorter than the time after which its caller disconnects."""

NO_RETRIES = RetryLimits(ratio=0.0, slack=0.0)


def fill_engines(world: RouteWorld, names: list[str]) -> None:
    """Occupy all slots of some engines for good."""
    for name in names:
        for slot in range(8):
            world.instance.controller.load.add(f"{name}-{slot}", name, world.now)


class SilentServerTest(unittest.TestCase):
    """Silence of a sound server never ends a response."""

    def check_not_ended(self, world: RouteWorld, effects: list) -> None:
        """Check that an attempt goes on and its caller still waits."""
        for effect_class in (AbortAttempt, AbortResponse, SendErrorResponse):
            self.assertEqual(world.of_type(effects, effect_class), [])

    def finish_stream(self, world: RouteWorld, attempt_id: int) -> None:
        """Let the server go on, and check that the caller gets the rest."""
        effects = world.deliver(ResponseEvent(attempt_id, "2", b"2"))
        effects += world.deliver(ResponseComplete(attempt_id))
        self.assertEqual([e.data for e in world.of_type(effects, RelayEvent)], [b"2"])
        self.assertEqual(len(world.of_type(effects, RelayEnd)), 1)

    def test_stream_goes_on_when_no_retry_is_left(self):
        world = RouteWorld()
        world.instance.controller.budget.limits = NO_RETRIES
        (sent,) = world.forwards(world.request("chat"))
        start_response(world, sent.attempt_id)
        self.check_not_ended(world, world.advance(SILENCE_S))
        self.finish_stream(world, sent.attempt_id)

    def test_stream_goes_on_while_other_engines_are_full(self):
        world = RouteWorld()
        (sent,) = world.forwards(world.request("chat"))
        start_response(world, sent.attempt_id)
        fill_engines(world, [n for n in engine_names(world) if n != sent.server])
        self.check_not_ended(world, world.advance(SILENCE_S))
        self.finish_stream(world, sent.attempt_id)

    def test_stream_goes_on_when_no_other_engine_is_left(self):
        world = RouteWorld(engines=1)
        (sent,) = world.forwards(world.request("chat"))
        start_response(world, sent.attempt_id)
        self.check_not_ended(world, world.advance(SILENCE_S))
        self.finish_stream(world, sent.attempt_id)

    def test_first_event_is_awaited_when_no_retry_is_left(self):
        world = RouteWorld()
        world.instance.controller.budget.limits = NO_RETRIES
        (sent,) = world.forwards(world.request("chat"))
        self.check_not_ended(world, world.advance(SILENCE_S))
        start_response(world, sent.attempt_id)
        self.finish_stream(world, sent.attempt_id)

    def test_safe_request_is_answered_when_no_retry_is_left(self):
        world = RouteWorld()
        world.instance.controller.budget.limits = NO_RETRIES
        (sent,) = world.forwards(world.request("look"))
        self.check_not_ended(world, world.advance(SILENCE_S))
        head = ResponseHead(
            attempt_id=sent.attempt_id, kind=ResponseKind.SUCCESS, status=200
        )
        effects = world.deliver(head)
        effects += world.deliver(ResponseComplete(sent.attempt_id))
        self.assertEqual(len(world.of_type(effects, RelayFullResponse)), 1)

    def test_stream_still_moves_when_another_engine_has_room(self):
        world = RouteWorld()
        (sent,) = world.forwards(world.request("chat"))
        start_response(world, sent.attempt_id)
        (moved,) = world.forwards(world.advance(SILENCE_S))
        self.assertNotEqual(moved.server, sent.server)
        self.assertEqual(moved.resume_after, "1")


class SlowServiceTest(unittest.TestCase):
    """Plain services whose responses take far longer than their target latency."""

    def begin(self, usual_s: float, time_limit_s: float) -> tuple[RouteWorld, list]:
        """Let a service take some time; return the world and a request's forward."""
        world = RouteWorld(plain_servers=1)
        for _ in range(5):
            (sent,) = world.forwards(world.request("look"))
            world.advance(usual_s)
            self.complete(world, sent.attempt_id)
        others = [make_entry(f"desk-{number}", "desk") for number in (2, 3)]
        changes = [TopicChange(entry.name, entry) for entry in others]
        world.deliver_changes(Topic.SERVERS, *changes)
        return world, world.forwards(world.request("look", time_limit_s=time_limit_s))

    def complete(self, world: RouteWorld, attempt_id: int) -> list:
        """Deliver the response to an attempt; return what the caller gets."""
        head = ResponseHead(
            attempt_id=attempt_id, kind=ResponseKind.SUCCESS, status=200
        )
        effects = world.deliver(head) + world.deliver(ResponseComplete(attempt_id))
        return world.of_type(effects, RelayFullResponse)

    def test_response_that_takes_the_usual_time_is_awaited(self):
        """It was given up as silent, and sent again with too little time left."""
        world, (sent,) = self.begin(4.6, 5.5)
        self.assertEqual([], world.forwards(world.advance(4.6)))
        self.assertEqual(1, len(self.complete(world, sent.attempt_id)))

    def test_request_is_not_sent_again_with_less_time_than_a_response_takes(self):
        world, (sent,) = self.begin(1.0, 2.0)
        self.assertEqual([], world.forwards(world.advance(1.95)))
        self.assertEqual(1, len(self.complete(world, sent.attempt_id)))

    def test_silent_server_of_a_fast_service_is_left_in_time(self):
        world, _ = self.begin(0.05, 2.0)
        self.assertEqual(1, len(world.forwards(world.advance(1.2))))


class DarkEngineTest(unittest.TestCase):
    """An engine that stays silent gets no new requests, whoever waits for it."""

    def test_engine_is_ejected_again_while_it_stays_silent(self):
        world = RouteWorld(engines=1)
        (sent,) = world.forwards(world.request("chat"))
        start_response(world, sent.attempt_id)
        world.advance(1.0)
        health = world.instance.controller.observations.health
        self.assertTrue(health.is_ejected(sent.server, world.now))
        admitted_s = 0.0
        for _ in range(60):
            world.advance(0.1)
            admitted_s += 0.0 if health.is_ejected(sent.server, world.now) else 0.1
        self.assertLess(admitted_s, 1.0)


class ManySilentStreamsTest(unittest.TestCase):
    def test_each_check_searches_for_few_streams_and_all_get_their_turn(self):
        """A search compares dozens of engines, and a check is due each 0.1 s."""
        world = RouteWorld(engines=20)
        for _ in range(100):
            (sent,) = world.forwards(world.request("chat"))
            start_response(world, sent.attempt_id)
        fill_engines(world, engine_names(world))
        searched = []

        def find_alternative(_, routed, now: float) -> None:
            searched.append((round(now, 3), routed.request.request_id))

        with patch.object(RequestController, "find_alternative", find_alternative):
            world.advance(2.0)
        checks = Counter(at for at, _ in searched)
        self.assertLessEqual(max(checks.values()), 20)
        self.assertEqual(len({request_id for _, request_id in searched}), 100)


class InterruptedStreamTest(unittest.TestCase):
    """A stream whose engine is lost waits for another one while its caller does."""

    def test_stream_waits_for_room_on_another_engine(self):
        """Its longest wait counts from the last event, not from its arrival."""
        world = RouteWorld()
        (sent,) = world.forwards(world.request("chat"))
        start_response(world, sent.attempt_id)
        for number in range(2, 30):
            world.advance(0.1)
            world.deliver(ResponseEvent(sent.attempt_id, str(number), b"."))
        others = [n for n in engine_names(world) if n != sent.server]
        fill_engines(world, others)
        effects = world.deliver(ResponseLost(sent.attempt_id, True, "closed", True))
        effects += world.advance(0.5)
        self.assertEqual(world.of_type(effects, AbortResponse), [])
        for slot in range(8):
            world.instance.controller.load.remove(f"{others[0]}-{slot}")
        (moved,) = world.forwards(world.advance(0.2))
        self.assertEqual((moved.server, moved.resume_after), (others[0], "29"))

    def test_event_without_id_keeps_the_position(self):
        world = RouteWorld()
        (sent,) = world.forwards(world.request("chat"))
        start_response(world, sent.attempt_id)
        world.deliver(ResponseEvent(sent.attempt_id, "", b"no id"))
        effects = world.deliver(ResponseLost(sent.attempt_id, True, "closed", True))
        (moved,) = world.forwards(effects)
        self.assertEqual(moved.resume_after, "1")

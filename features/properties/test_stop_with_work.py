"""Requests that come during a planned stop, and the time that is left for them."""

import unittest

from briarrelay_core.ports.control import DrainRequested, RouteSettingsChanged
from briarrelay_core.ports.directory import Topic, TopicChange
from briarrelay_core.ports.route import (
    ForwardRequest,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    ResponseLost,
    SendErrorResponse,
)
from briarrelay_core.reasons import RefusalReason
from briarrelay_core.routes.budget import RetryLimits
from properties.routeworld import RouteWorld, make_entry, start_response

KILL_MARGIN_S = 0.6
"""Seconds before the end of the grace time at which the process ends."""


class StopWorld(RouteWorld):
    """An instance with a grace time, whose servers take a given time."""

    def __init__(self, grace_s: float, **options):
        super().__init__(**options)
        settings = RouteSettingsChanged(
            repeats=RetryLimits(slack=100.0), grace_s=grace_s, seeds=()
        )
        self.deliver(settings)
        self.grace_s = grace_s

    def answer(self, route: str, takes_s: float, **changes) -> None:
        """Let a server answer a request in some seconds."""
        (forward,) = self.forwards(self.request(route, **changes))
        if route in ("look", "book"):
            self.advance(takes_s)
            self.complete(forward.attempt_id)
            return
        start_response(self, forward.attempt_id)
        for number in range(2, 12):
            self.advance(takes_s / 10)
            self.deliver(ResponseEvent(forward.attempt_id, str(number), b"x"))
        self.deliver(ResponseComplete(forward.attempt_id))

    def add_plain_servers(self, count: int) -> None:
        """Register servers besides the first, to which a silent request would move."""
        entries = [make_entry(f"desk-{n}", "desk") for n in range(2, count + 2)]
        changes = [TopicChange(entry.name, entry) for entry in entries]
        self.deliver_changes(Topic.SERVERS, *changes)

    def complete(self, attempt_id: int) -> list:
        head = ResponseHead(
            attempt_id=attempt_id, kind=ResponseKind.SUCCESS, status=200
        )
        return self.deliver(head) + self.deliver(ResponseComplete(attempt_id))

    def stop(self) -> None:
        self.stopped_at = self.now
        self.deliver(DrainRequested())

    @property
    def ends_at(self) -> float:
        return self.stopped_at + self.grace_s - KILL_MARGIN_S

    def outcomes(
        self, route: str, seconds: float, **changes
    ) -> list[tuple[float, str]]:
        """Send requests each 0.1 s; return what became of each, and when it came.

        :returns: times from the stop, and ``sent`` or the reason of the refusal.
        """
        found = []
        while self.now < self.stopped_at + seconds:
            effects = self.request(route, **changes)
            for effect in effects:
                at = self.now - self.stopped_at
                if isinstance(effect, ForwardRequest):
                    found.append((at, "sent"))
                elif isinstance(effect, SendErrorResponse):
                    found.append((at, effect.outcome.reason.value))
            self.advance(0.1)
        return found


class PlannedStopTest(unittest.TestCase):
    def check(self, route: str, takes_s: float, grace_s: float, **changes) -> None:
        """Let requests come during a stop; check which of them are sent."""
        world = StopWorld(grace_s, engines=8, plain_servers=1)
        for _ in range(3):
            world.answer(route, takes_s, **changes)
        world.add_plain_servers(8)
        world.stop()
        outcomes = world.outcomes(route, min(2.0, grace_s - KILL_MARGIN_S), **changes)
        self.assertTrue(outcomes)
        for at, outcome in outcomes:
            left_s = grace_s - KILL_MARGIN_S - at
            if takes_s > left_s:
                self.assertEqual(RefusalReason.DRAINING.value, outcome, f"at {at:.1f}")
            elif takes_s + 0.5 < left_s:
                self.assertEqual("sent", outcome, f"at {at:.1f}")

    def test_request_that_can_not_end_in_the_grace_time_is_refused_untried(self):
        """It was passed on, and cut or failed at the end of the grace time."""
        for route in ("look", "book", "chat", "once"):
            for takes_s, grace_s in (
                (1.5, 4.0),
                (2.5, 4.0),
                (0.3, 4.0),
                (4.6, 8.0),
                (6.0, 8.0),
                (1.5, 2.0),
                (0.2, 2.0),
                (0.5, 1.0),
            ):
                with self.subTest(route=route, takes_s=takes_s, grace_s=grace_s):
                    self.check(route, takes_s, grace_s, time_limit_s=10.0)

    def test_short_work_is_sent_while_long_work_of_another_route_is_refused(self):
        world = StopWorld(4.0, plain_servers=1)
        world.answer("look", 0.1)
        world.answer("book", 3.0)
        world.stop()
        world.advance(1.0)
        self.assertEqual(1, len(world.forwards(world.request("look"))))
        self.assertEqual([], world.forwards(world.request("book")))

    def test_long_stream_is_refused_by_the_tokens_that_it_may_write(self):
        world = StopWorld(4.0, plain_servers=1)
        world.answer("chat", 0.5, output_tokens=100)
        world.stop()
        world.advance(1.0)
        self.assertEqual([], world.forwards(world.request("chat", output_tokens=1_000)))
        self.assertEqual(1, len(world.forwards(world.request("chat", output_tokens=9))))

    def test_request_with_a_deadline_before_the_end_is_sent(self):
        """It is answered by its deadline in any case."""
        world = StopWorld(4.0, plain_servers=1)
        world.answer("look", 3.0)
        world.stop()
        world.advance(1.0)
        self.assertEqual(
            1, len(world.forwards(world.request("look", time_limit_s=1.5)))
        )

    def test_lost_request_is_not_sent_again_when_it_can_not_end_any_more(self):
        world = StopWorld(4.0, plain_servers=1)
        world.answer("look", 1.5)
        world.stop()
        (forward,) = world.forwards(world.request("look"))
        world.advance(2.2)
        effects = world.deliver(ResponseLost(forward.attempt_id, True, "closed", True))
        self.assertEqual([], world.forwards(effects))
        (answer,) = world.of_type(effects, SendErrorResponse)
        self.assertNotEqual(RefusalReason.DRAINING.value, answer.outcome.reason.value)

    def test_request_that_waits_is_refused_as_soon_as_it_can_not_end(self):
        world = StopWorld(4.0, plain_servers=1)
        world.answer("look", 1.5)
        entry = world.instance.controller.servers.entries()
        slots = next(e.slots for e in entry if e.service == "desk")
        for _ in range(4 * slots):
            world.request("look")
        waiting = [
            r for r in world.instance.controller.requests.values() if not r.tried
        ]
        world.stop()
        effects = world.advance(2.3)
        refused = world.of_type(effects, SendErrorResponse)
        self.assertEqual(len(waiting), len(refused))


if __name__ == "__main__":
    unittest.main()

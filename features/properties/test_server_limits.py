"""Limits that backend servers name for the requests of all instances together."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.ports.route import RateLimit, ResponseHead, ResponseKind
from briarrelay_core.ports.telemetry import LogEvent
from briarrelay_platform.announcements import read_limit
from properties.limitworld import LimitedServer, LimitWorld
from properties.routeworld import RouteWorld


def respond(world: RouteWorld, attempt_id: int, limit: RateLimit | None) -> list:
    """Deliver the head of a stream, which may name a limit."""
    head = ResponseHead(
        attempt_id=attempt_id,
        kind=ResponseKind.SUCCESS,
        status=200,
        is_stream=True,
        limit=limit,
    )
    return world.deliver(head)


class LimitHeaderTest(unittest.TestCase):
    def test_valid_values(self):
        for text, per_s in (("1.1", 1.1), ("0", 0.0), ("4, 1.5", 1.5), (" 3 ", 3.0)):
            self.assertEqual(read_limit({"server-limit": text}), (RateLimit(per_s), ""))
        self.assertEqual(read_limit({}), (None, ""))

    def test_invalid_values_are_ignored_and_reported(self):
        for text in ("", "-1", "nan", "inf", "many", "1.1.1"):
            limit, problem = read_limit({"server-limit": text})
            self.assertIsNone(limit)
            self.assertIn("server-limit", problem)

    def test_valid_value_beside_an_invalid_one_counts(self):
        limit, problem = read_limit({"server-limit": "-1, 2"})
        self.assertEqual(limit, RateLimit(2.0))
        self.assertTrue(problem)

    @given(st.text(max_size=12) | st.floats(allow_nan=True).map(str))
    def test_any_value_gives_a_finite_limit_or_a_problem(self, text):
        limit, problem = read_limit({"server-limit": text})
        if limit is None:
            self.assertTrue(problem)
        else:
            self.assertTrue(0.0 <= limit.per_s < float("inf"))


class LimitLogTest(unittest.TestCase):
    def events(self, effects: list) -> list[str]:
        return [e.event for e in effects if isinstance(e, LogEvent)]

    def test_first_naming_a_change_and_the_end_are_logged(self):
        world = RouteWorld(engines=1)
        logged = []
        limits = [RateLimit(2.0), RateLimit(2.0), RateLimit(1.0), None]
        for limit in limits:
            forward = world.forwards(world.request("chat"))[0]
            world.advance(0.01)
            logged.append(self.events(respond(world, forward.attempt_id, limit)))
            world.advance(5.0)
        self.assertIn("server_limited", logged[0])
        self.assertNotIn("server_limited", logged[1])
        self.assertIn("server_limited", logged[2])
        self.assertIn("server_unlimited", logged[3])

    def test_response_to_an_earlier_request_does_not_end_a_limit(self):
        world = RouteWorld(engines=1)
        early = world.forwards(world.request("chat"))[0]
        later = world.forwards(world.request("chat"))[0]
        respond(world, later.attempt_id, RateLimit(2.0))
        world.advance(0.05)
        logged = self.events(respond(world, early.attempt_id, None))
        self.assertNotIn("server_unlimited", logged)


class LimitOfAllInstancesTest(unittest.TestCase):
    """A server gets no more than its limit, from all instances together."""

    def run_limited(
        self, per_s: float, instance_count: int = 4, load_per_s: float = 8.0
    ) -> list[LimitedServer]:
        """Return servers that name a limit while all instances send requests."""
        world = LimitWorld(instance_count, 6, plain_count=3)
        world.advance(2.0)
        limited = [world.limit(name, per_s) for name in ("engine-1", "engine-4")]
        limited.append(world.limit("desk-1", per_s))
        world.schedule_requests(load_per_s / 4, 20.0, "look")
        world.schedule_requests(load_per_s, 20.0)
        world.advance(22.0)
        return limited

    def check(self, limited: list[LimitedServer]) -> None:
        for server in limited:
            self.assertLess(server.named_at, float("inf"))
            self.assertLessEqual(server.most_in_window(), server.allowed)

    def test_limit_of_about_one_a_second(self):
        self.check(self.run_limited(1.1))

    def test_limit_below_one_a_second(self):
        self.check(self.run_limited(0.4))

    def test_limit_of_some_a_second(self):
        self.check(self.run_limited(4.0, load_per_s=24.0))

    def test_limit_shared_by_many_instances(self):
        self.check(self.run_limited(1.1, instance_count=25, load_per_s=2.0))


if __name__ == "__main__":
    unittest.main()

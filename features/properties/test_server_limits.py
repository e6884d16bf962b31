"""Limits that backend servers name for the requests of all instances together."""

import json
import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from standins.limits import LEARNING_S, WINDOW_S, LimitedServer

from briarrelay_core.ports.digest import DigestReceived, LimitReport, LoadDigest
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.ports.route import (
    RateLimit,
    ResponseHead,
    ResponseKind,
    ServerAnnouncement,
)
from briarrelay_core.ports.telemetry import LogEvent
from briarrelay_core.routes.allowances.limits import ServerLimitTable
from briarrelay_daemon.digestcodec import DigestError, decode_digest, encode_digest
from briarrelay_daemon.responsereader import CallSink, ResponseReader
from briarrelay_platform.announcements import read_limit
from properties.limitworld import LimitWorld
from properties.routeworld import RouteWorld

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(st.text(max_size=3), values, max_size=3)
    ),
    max_leaves=6,
)
PEER = PeerAddress(name="entry-2", host="10.9.0.2", question_port=1, digest_port=2)


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


class RepeatedHeaderTest(unittest.TestCase):
    def test_lowest_of_limits_in_several_lines_counts(self):
        reader = ResponseReader(CallSink())
        reader.feed(
            b"HTTP/1.1 200 OK\r\nServer-Limit: 1.1\r\nServer-Limit: 4\r\n"
            b"X-Attempt-Id: a\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(read_limit(reader.headers), (RateLimit(1.1), ""))
        self.assertEqual(reader.headers["x-attempt-id"], "a")


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


class OrderResponseTest(unittest.TestCase):
    def test_limit_in_a_response_to_an_order_is_kept(self):
        world = RouteWorld(engines=2)
        entry = world.instance.controller.servers.get("engine-2").entry
        world.deliver(ServerAnnouncement(entry.address, limit=RateLimit(0.1)))
        world.advance(1.0)
        used = [world.forwards(world.request("chat"))[0].server for _ in range(6)]
        self.assertNotIn("engine-2", used)


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

    def begin(
        self, name: str, per_s: float, seconds: float
    ) -> tuple[LimitWorld, LimitedServer]:
        """Let one of six engines name a limit, and schedule requests for some time."""
        world = LimitWorld(4, 6)
        world.advance(2.0)
        limited = world.limit(name, per_s)
        world.schedule_requests(8.0, seconds)
        return world, limited

    def check_used_freely(self, world: LimitWorld, name: str) -> None:
        sent_before = len(world.sent_to(name))
        world.advance(4.0)
        self.assertGreater(len(world.sent_to(name)) - sent_before, 8)

    def test_limit_of_about_one_a_second(self):
        self.check(self.run_limited(1.1))

    def test_limit_below_one_a_second(self):
        self.check(self.run_limited(0.4))

    def test_limit_of_some_a_second(self):
        self.check(self.run_limited(4.0, load_per_s=24.0))

    def test_limit_shared_by_many_instances(self):
        self.check(self.run_limited(1.1, instance_count=25, load_per_s=2.0))

    def test_long_prompts_that_other_engines_help_with(self):
        world = LimitWorld(4, 8)
        world.advance(2.0)
        limited = [world.limit(f"engine-{n}", 1.1) for n in (1, 4)]
        world.schedule_requests(1.0, 20.0, "file", prompt_tokens=210_000)
        world.schedule_requests(4.0, 20.0)
        world.advance(22.0)
        self.check(limited)

    def test_instances_that_do_not_hear_each_other(self):
        world, limited = self.begin("engine-0", 1.1, 30.0)
        world.advance(3.0)
        world.partitioned = {0, 1, 2, 3}
        world.advance(27.0)
        self.check([limited])

    def test_instance_that_is_suspended(self):
        world, limited = self.begin("engine-0", 1.1, 20.0)
        world.advance(5.0)
        world.suspended = {1}
        world.advance(6.0)
        world.suspended = set()
        world.advance(9.0)
        self.check([limited])

    def test_limited_server_is_still_used(self):
        [server, *_] = self.run_limited(1.1)
        used_s = 20.0 - LEARNING_S
        count = sum(t >= server.named_at + LEARNING_S for t in server.arrivals)
        self.assertGreater(count, 0.5 * 1.1 * used_s)

    def test_limit_that_ends_is_no_longer_kept(self):
        world, _ = self.begin("engine-0", 0.4, 25.0)
        world.advance(10.0)
        world.lift("engine-0")
        world.advance(8.0)
        self.check_used_freely(world, "engine-0")

    def test_limit_that_changes(self):
        world, _ = self.begin("engine-0", 4.0, 25.0)
        world.advance(10.0)
        lowered = world.limit("engine-0", 0.4)
        world.advance(15.0)
        self.check([lowered])

    def test_limit_of_zero_ends(self):
        world, limited = self.begin("engine-0", 0.0, 70.0)
        world.advance(20.0)
        self.check([limited])
        world.lift("engine-0")
        world.advance(45.0)
        self.check_used_freely(world, "engine-0")

    def test_restarted_server_begins_without_a_limit(self):
        world, _ = self.begin("engine-0", 0.4, 20.0)
        world.advance(8.0)
        world.lift("engine-0")
        world.update("engine-0", born=world.now)
        world.advance(3.0)
        self.check_used_freely(world, "engine-0")


class AllServersLimitedTest(unittest.TestCase):
    def test_what_cannot_be_served_is_refused_at_once(self):
        world = LimitWorld(2, 2)
        world.advance(2.0)
        limited = [world.limit(f"engine-{n}", 2.0) for n in range(2)]
        views = world.schedule_requests(20.0, 15.0)
        world.advance(20.0)
        for server in limited:
            self.assertLessEqual(server.most_in_window(), server.allowed)
        late = [view for view in views if view.at > 1_006.0]
        refused = [view for view in late if view.outcome == "servers_limited"]
        served = [view for view in late if view.outcome == "done"]
        self.assertEqual(len(refused) + len(served), len(late))
        self.assertGreater(len(served), 0.5 * 4.0 * 10.0)
        for view in refused:
            self.assertTrue(view.is_not_run)
            self.assertLess(view.ended_at - view.at, 0.05)
            self.assertGreater(view.retry_after_s, 0.0)


class LimitReportTest(unittest.TestCase):
    """Peers learn of limits from digests."""

    def make_digest(self, *reports: LimitReport) -> LoadDigest:
        return LoadDigest(
            sender=PEER, incarnation=1, number=1, version=1, limits=reports, members=7
        )

    @given(
        st.lists(
            st.builds(
                LimitReport,
                server=st.text(max_size=40),
                born=st.floats(0, 1e9),
                limit=st.none() | st.builds(RateLimit, st.floats(0, 1e9)),
                age_s=st.integers(0, 9).map(float),
                since_age_s=st.integers(0, 9).map(float),
            ),
            min_size=1,
            max_size=4,
        )
    )
    def test_digest_keeps_reports(self, reports):
        digest = self.make_digest(*reports)
        self.assertEqual(decode_digest(encode_digest(digest)), digest)

    def test_digest_with_an_invalid_limit_is_rejected(self):
        report = LimitReport(
            server="engine-1", born=1.0, limit=RateLimit(2.5), age_s=0, since_age_s=0
        )
        data = encode_digest(self.make_digest(report))
        for value in (b"-1", b'"2"', b"true", b"1e999"):
            with self.assertRaises(DigestError):
                decode_digest(data.replace(b"2.5", value))

    def test_bad_number_of_instances_is_rejected(self):
        report = LimitReport(
            server="engine-1", born=1.0, limit=RateLimit(2.5), age_s=0, since_age_s=0
        )
        fields = json.loads(encode_digest(self.make_digest(report)))
        for members in (0, -1, 1e300, 10**30, "7", None, True, 2.5):
            data = json.dumps([*fields[:-1], [members, fields[-1][1]]]).encode()
            with self.assertRaises(DigestError, msg=repr(members)):
                decode_digest(data)

    @given(st.sampled_from(range(13, 15)), JSON)
    def test_bad_kinds_of_reports_are_rejected_or_ignored(self, position, value):
        fields = json.loads(encode_digest(self.make_digest()))
        fields += [None] * (position - len(fields)) + [value]
        try:
            digest = decode_digest(json.dumps(fields).encode())
        except DigestError:
            return
        self.assertEqual(digest.limits, ())
        if value and position == 13:
            self.assertEqual(digest.members, value[0])
        elif value:
            self.assertEqual(list(digest.cut_off), value)

    def test_reports_of_unknown_servers_and_starts_are_ignored(self):
        world = RouteWorld(engines=1)
        reports = [
            LimitReport(
                server=server, born=born, limit=RateLimit(0.0), age_s=0, since_age_s=0
            )
            for server, born in (("engine-1", 9e9), ("engine-7", 1.0))
        ]
        world.deliver(DigestReceived(self.make_digest(*reports)))
        self.assertFalse(world.instance.controller.observations.limits)
        known = evolve(reports[0], born=1.0)
        digest = evolve(self.make_digest(known), number=2)
        world.deliver(DigestReceived(digest))
        self.assertTrue(world.instance.controller.observations.limits)

    def test_earlier_news_do_not_replace_later_ones(self):
        table = ServerLimitTable()
        table.record_limit("engine-1", 1.0, RateLimit(2.0), 10.0)
        named, ended = (
            LimitReport(
                server="engine-1", born=1.0, limit=limit, age_s=3.0, since_age_s=3.0
            )
            for limit in (RateLimit(9.0), None)
        )
        table.apply_reports((named, ended), 12.0)
        self.assertEqual(table.own_reports(12.0)[0].limit, RateLimit(2.0))
        table.apply_reports((ended,), 14.0)
        self.assertFalse(table.is_limited("engine-1", 1.0))


class ManyInstancesTest(unittest.TestCase):
    """The size of the users' deployment in two years, with the table alone."""

    def test_390_instances_share_a_limit_of_about_one_a_second(self):
        tables = []
        for rank in range(390):
            table = ServerLimitTable()
            table.set_members(390, rank, 0.0)
            table.record_limit("engine-1", 1.0, RateLimit(1.1), 0.001 * rank)
            tables.append(table)
        reports = tables[0].own_reports(0.4)
        for table in tables[1:]:
            table.apply_reports(reports, 0.4)
        arrivals = []
        for step in range(4_000):
            now = 0.5 + 0.1 * step
            for table in tables:
                if not table.admits_in_s("engine-1", 1.0, now):
                    table.record_send("engine-1", 1.0, now)
                    arrivals.append(now)
        most = max(sum(t <= a < t + WINDOW_S for a in arrivals) for t in arrivals)
        self.assertLessEqual(most, 1.5 * 1.1 * WINDOW_S + 5)
        self.assertGreater(len(arrivals), 0.8 * 1.1 * 400.0)


if __name__ == "__main__":
    unittest.main()

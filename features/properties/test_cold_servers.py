"""Cold servers get few requests from all instances together."""

import json
import unittest
from bisect import bisect_left
from random import Random

from attrs import evolve
from hypothesis import example, given, settings
from hypothesis.strategies import booleans, integers, sampled_from

from briarrelay_core.ports.cold import ColdReport
from briarrelay_core.ports.digest import LoadDigest
from briarrelay_core.ports.directory import PeerAddress, Topic, TopicChange
from briarrelay_core.ports.memory import Reserve, ReserveResponse
from briarrelay_core.ports.route import ForwardRequest, RateLimit
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.routes.allowances.allowances import Allowances
from briarrelay_core.routes.allowances.cold import ColdTable
from briarrelay_core.routes.allowances.turns import Membership
from briarrelay_core.routes.model import Service
from briarrelay_daemon.digestcodec import decode_digest, encode_digest
from briarrelay_platform.decode import decode_server
from properties.evacuationworld import COLD_PER_S, EvacuationWorld
from properties.routeworld import RouteWorld, make_entry

WALL = COLD_PER_S * 1.5 + 5.0
"""Most requests in any second at which a cold server survives."""

PEER = PeerAddress(name="entry-2", host="10.9.0.2", question_port=1, digest_port=2)


class ColdReturnTest(unittest.TestCase):
    def test_all_servers_come_back_cold(self):
        for count in (4, 24, 63):
            with self.subTest(instances=count):
                self.check(count)

    def check(self, count: int) -> None:
        world = EvacuationWorld(count, 3, seed=count)
        world.advance(4.0)
        entries = [entry for _, entry in world.current_entries.values()]
        for entry in entries:
            world.remove(entry.name)
        world.advance(3.0)
        world.partitioned.add(1)
        views = world.load(120.0 / count, 4.0, tokens=500)
        for entry in entries:
            world.register(entry)
            world.update(entry.name, born=world.now, cold_remaining_s=60.0)
        world.advance(2.0)
        world.restart(count - 1)
        world.advance(4.0)
        most = [world.most_in_a_second(entry.name) for entry in entries]
        self.assertLess(max(most), WALL, most)
        self.assertGreater(min(most), COLD_PER_S / 3, most)
        refused = [v for v in views if v.outcome == "servers_limited"]
        self.assertTrue(refused)
        self.assertTrue(all(v.retry_after_s > 0 for v in refused))

    def test_one_that_becomes_cold_again_and_then_warm(self):
        world = EvacuationWorld(4, 1)
        world.advance(4.0)
        cold = world.instances[2].controller.observations.allowances.cold
        self.assertFalse(cold.is_cold("engine-0", 1.0, world.now))
        world.update("engine-0", cold_remaining_s=2.0)
        world.advance(1.5)
        self.assertTrue(cold.is_cold("engine-0", 1.0, world.now))
        world.update("engine-0", cold_remaining_s=0.0)
        world.advance(5.0)
        self.assertFalse(cold.is_cold("engine-0", 1.0, world.now))

    def test_started_server_counts_as_cold_before_its_entry_says_so(self):
        world = EvacuationWorld(4, 2)
        world.advance(4.0)
        world.update("engine-0", born=world.now)
        world.advance(1.5)
        for instance in world.instances:
            cold = instance.controller.observations.allowances.cold
            self.assertTrue(cold.is_cold("engine-0", world.now - 1.5, world.now))

    def test_server_that_is_listed_again_has_not_restarted(self):
        service = Service(name="llm", cold_start_s=30.0, cold_per_s=23.0)
        table = ColdTable({"llm": service})
        entry = make_entry("engine-1", "llm")
        table.apply_entry(entry, False, 1.0)
        table.forget("engine-1")
        table.apply_entry(entry, True, 100.0)
        self.assertFalse(table.is_cold("engine-1", entry.born, 100.0))
        again = evolve(entry, born=entry.born + 1.0)
        table.apply_entry(again, True, 101.0)
        table.forget("engine-1")
        table.apply_entry(again, True, 110.0)
        self.assertTrue(table.is_cold("engine-1", again.born, 130.9))
        self.assertFalse(table.is_cold("engine-1", again.born, 131.1))


class ManyInstancesTest(unittest.TestCase):
    """Tables of many instances that all want one cold server all the time."""

    def test_any_second_with_and_without_digests(self):
        service = Service(name="llm", cold_start_s=30.0, cold_per_s=23.0)
        entry = make_entry("engine-1", "llm")
        for count in (24, 63, 390):
            for is_heard in (True, False):
                with self.subTest(instances=count, is_heard=is_heard):
                    times = self.sends(service, entry, count, is_heard)
                    most = max(
                        sum(at <= t < at + 1.0 for t in times[i : i + 90])
                        for i, at in enumerate(times)
                    )
                    self.assertLess(most, 23.0 * 1.5 + 5.0)
                    self.assertGreater(len(times), 10 * 23.0 / 2)

    def sends(self, service, entry, count: int, is_heard: bool) -> list[float]:
        random = Random(count)
        learnt_at = {n: random.random() for n in range(count)}
        tables = []
        for rank in range(count):
            table = ColdTable({"llm": service}, Membership(count, rank))
            table.apply_entry(entry, True, learnt_at[rank])
            tables.append(table)
        if is_heard:
            first = min(learnt_at, key=learnt_at.get)
            report = tables[first].own_reports(1.0)[0]
            for table in tables:
                table.apply_reports([(report, entry)], 1.0)
        times = []
        for step in range(20, 240):
            now = step / 20
            for table in tables:
                if table.admits_in_s("engine-1", entry.born, now) <= 0:
                    table.record_send("engine-1", entry.born, now)
                    times.append(now)
        return times


class AnyPhaseTest(unittest.TestCase):
    """The bound holds from the first moment, in whatever order instances learn.

    Half of the instances, at random, are silent: they hear no digest.
    """

    SERVICE = Service(name="llm", cold_start_s=30.0, cold_per_s=23.0)
    ENTRY = make_entry("engine-1", "llm")

    @settings(max_examples=12, deadline=None)
    @given(
        count=sampled_from((24, 63, 390)),
        seed=integers(0, 2**32),
        spread_s=sampled_from((0.0, 1.0, 4.0)),
        is_aligned=booleans(),
        grant_s=sampled_from((0.0, 0.2)),
    )
    @example(count=63, seed=0, spread_s=1.0, is_aligned=True, grant_s=0.0)
    @example(count=390, seed=0, spread_s=1.0, is_aligned=True, grant_s=0.2)
    @example(count=20, seed=0, spread_s=1.0, is_aligned=True, grant_s=0.2)
    def test_any_second(self, count, seed, spread_s, is_aligned, grant_s):
        times = self.sends(count, Random(seed), spread_s, is_aligned, grant_s)
        most = max(bisect_left(times, t + 1.0) - i for i, t in enumerate(times))
        self.assertLessEqual(most, 23.0 * 1.5 + 5.0)
        self.assertGreater(len(times), 10 * 23.0 / 2)

    def sends(self, count, random, spread_s, is_aligned, grant_s) -> list[float]:
        """Return the times of requests when all instances always want the server.

        :param is_aligned: instances learn at times that bring their turns together.
        :param grant_s: most seconds from a turn to the grant of memory.
        """
        born = self.ENTRY.born
        tables = []
        for rank in range(count):
            allowances = Allowances()
            allowances.cold.services = {"llm": self.SERVICE}
            allowances.set_members(count, rank, 0.0)
            at = random.uniform(0.0, spread_s)
            allowances.cold.apply_entry(self.ENTRY, True, at)
            if is_aligned:
                at += allowances.admits_in_s("engine-1", born, at + 0.001)
                ahead_s = at % allowances.cold.period_s("engine-1")
                allowances.cold.forget("engine-1")
                allowances.cold.mark(self.ENTRY, 60.0, spread_s - ahead_s)
            tables.append(allowances)
        heard = [a for a in tables if random.random() < 0.5]
        report_at = spread_s + random.uniform(0.0, 1.0)
        sent: list[float] = []
        granted: dict[int, tuple[float, float]] = {}
        for step in range(int(spread_s * 50), 700):
            now = step / 50
            if heard and now >= report_at:
                report = heard[0].cold.own_reports(now)[0]
                for allowances in heard:
                    allowances.cold.apply_reports([(report, self.ENTRY)], now)
                heard = []
            for n, allowances in enumerate(tables):
                if n in granted and granted[n][1] <= now:
                    reserved_at, _ = granted.pop(n)
                    servers = [("engine-1", born)]
                    if allowances.admit_reserved(servers, reserved_at, now):
                        sent.append(now)
                if n in granted or allowances.admits_in_s("engine-1", born, now) > 0:
                    continue
                allowances.record_send("engine-1", born, now)
                granted[n] = now, now + random.uniform(0.0, grant_s)
        return sorted(sent)


class ReservedTest(unittest.TestCase):
    """A request whose memory was granted late needs another turn."""

    def test_turn_of_a_late_grant(self):
        service = Service(name="llm", cold_start_s=30.0, cold_per_s=23.0)
        allowances = Allowances()
        cold = allowances.cold
        cold.services, cold.membership.count = {"llm": service}, 24
        servers = [("engine-1", 1.0)]
        self.assertTrue(allowances.admit_reserved(servers, 0.0, 5.0))
        cold.apply_entry(make_entry("engine-1", "llm"), True, 10.0)
        self.assertFalse(allowances.admit_reserved(servers, 9.9, 10.0))
        at = 10.0 + cold.admits_in_s(*servers[0], 10.0) + 0.001
        cold.record_send(*servers[0], at)
        self.assertTrue(allowances.admit_reserved(servers, at, at + 0.1))
        self.assertFalse(allowances.admit_reserved(servers, at, at + 0.3))
        later = at + 0.3 + cold.admits_in_s(*servers[0], at + 0.3) + 0.001
        self.assertTrue(allowances.admit_reserved(servers, at, later))
        self.assertGreater(cold.admits_in_s(*servers[0], later), 0.5)

    def test_turn_of_a_late_grant_at_a_limited_server(self):
        servers = [("engine-1", 1.0)]
        for limited_at, granted_at in ((10.0, 10.05), (5.0, 13.0)):
            with self.subTest(limited_at=limited_at):
                allowances = Allowances()
                allowances.set_members(4, 0, 0.0)
                limits = allowances.limits
                limits.record_limit(*servers[0], RateLimit(per_s=1.0), limited_at)
                reserved_at = 9.0
                self.assertFalse(
                    allowances.admit_reserved(servers, reserved_at, granted_at)
                    and allowances.admit_reserved(servers, reserved_at, granted_at)
                )
                wait_s = limits.admits_in_s(*servers[0], granted_at + 0.01)
                later = granted_at + 0.02 + wait_s
                self.assertTrue(allowances.admit_reserved(servers, reserved_at, later))
                self.assertGreater(limits.admits_in_s(*servers[0], later), 1.0)
                self.assertTrue(allowances.admit_reserved(servers, later, later + 0.1))

    def test_grant_of_a_server_that_became_cold_sends_nothing(self):
        for is_cold in (False, True):
            world = RouteWorld()
            cold = world.instance.allowances.cold
            cold.services = {"llm": Service(name="llm", cold_per_s=0.1)}
            effects = world.request("file", prompt_tokens=500_000, time_limit_s=15.0)
            reserves = world.of_type(effects, Reserve)
            self.assertTrue(reserves)
            for number in (1, 2, 3) if is_cold else ():
                cold.mark(make_entry(f"engine-{number}", "llm"), 9.0, world.now)
            world.now += 0.01
            effects = []
            for reserve in reserves:
                effects += world.deliver(ReserveResponse(reserve.reservation_id, True))
            self.assertEqual(len(world.of_type(effects, ForwardRequest)), not is_cold)


class BadEntryTest(unittest.TestCase):
    def test_each_bad_value_is_logged_once_and_counted_each_time(self):
        world = RouteWorld()
        start = world.end_positions[Topic.SERVERS]
        log = []
        for number, problem in enumerate(("x", "x", "y", "", "y")):
            entry = make_entry("engine-1", "llm")
            change = TopicChange("engine-1", entry, problem, start + number)
            log += world.deliver_changes(Topic.SERVERS, change)
        bad = [e for e in log if getattr(e, "event", "") == "entry_bad"]
        self.assertEqual([dict(e.fields)["problem"] for e in bad], ["x", "y", "y"])
        self.assertEqual(log.count(IncrementCounter("store.entry_bad")), 4)


class EncodingTest(unittest.TestCase):
    def entry(self, cold_ms):
        value = {"service": "llm", "address": "10.0.0.1:1", "state": "ready"}
        value |= {"slots": 1, "cold-remaining-ms": cold_ms}
        return decode_server("engine-1", json.dumps(value).encode())

    def test_bad_values_lose_nothing_else(self):
        self.assertEqual(self.entry(1500).cold_remaining_s, 1.5)
        self.assertEqual(self.entry(1500).problem, "")
        for bad in (-1, 1e300, "soon", None, True, [3]):
            entry = self.entry(bad)
            self.assertEqual((entry.cold_remaining_s, entry.slots), (0.0, 1))
            self.assertIn("cold-remaining-ms", entry.problem)

    def test_only_the_change_between_cold_and_warm_is_a_change(self):
        self.assertEqual(self.entry(1500), self.entry(700))
        self.assertNotEqual(self.entry(1500), self.entry(0))

    def test_digest_drops_bad_reports_only(self):
        report = ColdReport(server="s", born=2.0, remaining_s=3.0, since_age_s=0.5)
        sent = LoadDigest(
            sender=PEER, incarnation=1, number=1, version=1, cold=(report,)
        )
        data = encode_digest(sent)
        self.assertEqual(decode_digest(data).cold, (report,))
        for bad in (b"7", b'["s",2.0,-3.0,0.5]', b'["s",2.0,"x",0.5]', b'["s"]'):
            changed = data.replace(b'["s",2.0,3.0,0.5]', bad)
            self.assertNotEqual(changed, data)
            self.assertEqual(decode_digest(changed).cold, ())
            self.assertEqual(decode_digest(changed).invalid_reports, 1)


if __name__ == "__main__":
    unittest.main()

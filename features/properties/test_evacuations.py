"""Evacuated data centres get nothing new, and come back in steps."""

import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.ports.digest import DigestReceived, LoadDigest
from briarrelay_core.ports.directory import (
    ListTopic,
    PeerAddress,
    Topic,
    TopicChange,
    TopicFailed,
    TopicListed,
)
from briarrelay_core.ports.evacuation import Evacuation, EvacuationReport
from briarrelay_core.ports.position import EraPosition
from briarrelay_core.ports.telemetry import LogEvent
from briarrelay_core.routes.allowances.evacuations import EvacuationTable
from briarrelay_core.routes.follower import TopicFollower
from briarrelay_core.routes.model import RouteConfiguration
from briarrelay_core.timers import TimerService
from briarrelay_daemon.digestcodec import decode_digest, encode_digest
from briarrelay_platform.store import _decode_change
from properties.evacuationworld import EvacuationWorld
from properties.routeworld import RouteWorld, make_configuration

IN_FORCE_S = 1.0
"""Seconds after a record in which it has to be in force at each instance."""

PEER = PeerAddress(name="entry-2", host="10.9.0.2", question_port=1, digest_port=2)


def make_digest(number: int, **fields) -> LoadDigest:
    return LoadDigest(sender=PEER, incarnation=1, number=number, version=1, **fields)


def digest(number: int, *reports: EvacuationReport) -> DigestReceived:
    return DigestReceived(make_digest(number, evacuations=reports))


class EvacuatedTest(unittest.TestCase):
    def test_nothing_new_goes_there_from_any_instance(self):
        for count in (4, 24, 63):
            with self.subTest(instances=count):
                self.check(count)

    def check(self, count: int) -> None:
        world = EvacuationWorld(count, 12, seed=count)
        world.advance(3.0)
        self.assertTrue(world.instances[0].is_ready)
        views = world.load(40.0 / count, 11.0)
        world.advance(1.0)
        world.refuse(*range(0, count, 4))
        world.advance(0.5)
        self.assertTrue(world.sends_to("a", world.now - 1.0))
        asked_at = world.now
        world.evacuate("a")
        world.advance(1.0)
        world.restart(count - 1)
        world.evacuate("b")
        world.advance(3.0)
        self.assertEqual(world.sends_to("a", asked_at + IN_FORCE_S), [])
        self.assertEqual(world.sends_to("b", asked_at + 1.0 + IN_FORCE_S), [])
        self.assertTrue(world.sends_to("c", asked_at + IN_FORCE_S))
        world.evacuate("a", False)
        world.advance(7.0)
        self.assertEqual(world.sends_to("b", asked_at + 1.0 + IN_FORCE_S), [])
        self.assertTrue(world.sends_to("a", asked_at + 4.0))
        restarted_at = asked_at + 1.0
        lost = [
            view.outcome
            for view in views
            if view.outcome != "done"
            and not (view.instance == count - 1 and view.at <= restarted_at)
        ]
        self.assertEqual(lost, [])

    def test_all_at_once_refuses_at_once_with_a_time(self):
        world = EvacuationWorld(4, 6)
        world.advance(3.0)
        for data_centre in "abc":
            world.evacuate(data_centre)
        world.advance(IN_FORCE_S)
        view = world.send(1, ())
        self.assertEqual(view.ended_at, world.now)
        self.assertEqual(view.outcome, "servers_evacuated")
        self.assertTrue(view.is_not_run)
        self.assertGreater(view.retry_after_s, 0.0)


class NewestStatementTest(unittest.TestCase):
    def evacuated(self, world: RouteWorld) -> frozenset[str]:
        return world.instance.controller.servers.evacuations.in_force

    def listing(self, world: RouteWorld, end: int, era: int, *keys: str) -> list:
        follower = world.instance.updates.followers[Topic.CONFIGURATION]
        changes = [TopicChange("config", make_configuration(), position=1)]
        for key in keys:
            changes.append(TopicChange(f"evacuate/{key}", Evacuation(key, True), "", 2))
        follower.restart()
        listed = TopicListed(
            Topic.CONFIGURATION, tuple(changes), end, False, follower.generation, era
        )
        return world.deliver(listed)

    def test_older_digest_undoes_nothing(self):
        world = RouteWorld()
        world.deliver(digest(1, EvacuationReport("a", True, EraPosition(0, 7))))
        world.deliver(digest(2, EvacuationReport("a", False, EraPosition(0, 6))))
        self.assertEqual(self.evacuated(world), {"a"})
        self.assertEqual(world.forwards(world.request("chat")), [])
        world.deliver(digest(3, EvacuationReport("a", False, EraPosition(0, 8))))
        world.deliver(digest(4, EvacuationReport("a", True, EraPosition(0, 7))))
        self.assertEqual(self.evacuated(world), frozenset())

    def test_listing_without_it_ends_it_unless_it_is_older(self):
        world = RouteWorld()
        world.deliver(digest(1, EvacuationReport("a", True, EraPosition(0, 7))))
        self.listing(world, 7, 0)
        self.assertEqual(self.evacuated(world), {"a"})
        self.listing(world, 8, 0)
        self.assertEqual(self.evacuated(world), frozenset())

    def test_copy_without_it_does_not_end_it(self):
        world = RouteWorld()
        self.listing(world, 7, 1, "a")
        self.assertEqual(self.evacuated(world), {"a"})
        world.instance.updates.observe_era(2, world.now)
        self.listing(world, 9, 2)
        self.assertEqual(self.evacuated(world), {"a"})
        world.deliver(digest(1, EvacuationReport("a", False, EraPosition(2, 1))))
        self.assertEqual(self.evacuated(world), frozenset())

    def test_unknown_data_centre_is_logged_and_harmless(self):
        world = RouteWorld()
        world.end_positions[Topic.CONFIGURATION] = 1
        change = TopicChange("evacuate/z", Evacuation("z", True), position=2)
        effects = world.deliver_changes(Topic.CONFIGURATION, change)
        events = {e.event for e in effects if isinstance(e, LogEvent)}
        self.assertLessEqual({"evacuation_asked", "evacuation_unknown"}, events)
        self.assertEqual(len(world.forwards(world.request("chat"))), 1)

    @given(st.permutations(range(6)), st.lists(st.booleans(), min_size=6, max_size=6))
    def test_any_order_of_statements_gives_the_newest(self, order, asked):
        table = EvacuationTable()
        for number in order:
            table.apply("a", asked[number], EraPosition(0, number + 1), 1.0)
        self.assertEqual(table.is_evacuated("a"), asked[5])


class PagesTest(unittest.TestCase):
    """The configuration is on an earlier page of a listing than an evacuation."""

    PAGE = TopicListed(
        Topic.CONFIGURATION, (TopicChange("config", make_configuration(2)),), 9, True
    )

    def test_configuration_is_in_force_after_all_evacuations(self):
        world = RouteWorld()
        world.deliver(self.PAGE)
        admission = world.instance.controller.admission
        self.assertEqual(admission.configuration.version, 1)
        change = TopicChange("evacuate/a", Evacuation("a", True), position=8)
        world.deliver(TopicListed(Topic.CONFIGURATION, (change,), 9, False))
        self.assertEqual(admission.configuration.version, 2)
        self.assertTrue(world.instance.controller.servers.evacuations.in_force)

    def test_listing_that_fails_between_pages_starts_anew(self):
        timers = TimerService()
        follower = TopicFollower(
            Topic.CONFIGURATION, timers, 0.0, 1.0, last_type=RouteConfiguration
        )
        follower.start(0.0)
        evacuation = TopicChange("evacuate/a", Evacuation("a", True), position=8)
        last = TopicListed(
            Topic.CONFIGURATION, (*self.PAGE.changes, evacuation), 9, False
        )
        self.assertEqual(len(follower.on_listed(last, 0.0)[0]), 2)
        follower.restart()
        self.assertEqual(
            follower.on_listed(evolve(self.PAGE, generation=1), 1.0)[0], []
        )
        follower.on_failed(TopicFailed(Topic.CONFIGURATION, "lost", 1), 1.1)
        self.assertIsInstance(follower._send_request(3.0)[0], ListTopic)
        changes, _ = follower.on_listed(evolve(last, generation=1), 3.1)
        self.assertEqual([c.key for c in changes], ["evacuate/a", "config"])


class EncodingTest(unittest.TestCase):
    def test_presence_of_the_record_counts(self):
        for value, is_asked in ((b"{", True), (b"null", True), (b"", False)):
            change = _decode_change(Topic.CONFIGURATION, "evacuate/a", value, 4)
            self.assertEqual(change.value, Evacuation("a", is_asked))
            self.assertEqual(change.position, 4)

    def test_digest_holds_reports_and_drops_bad_ones_only(self):
        report = EvacuationReport("a", True, EraPosition(2, 7))
        sent = make_digest(1, evacuations=(report,))
        self.assertEqual(decode_digest(encode_digest(sent)).evacuations, (report,))
        for bad in ('"b"', "[1,1,0,1]", '["b",2,0,1]', '["b",1,-1,1]', '["b",1,0]'):
            data = encode_digest(sent).replace(b'[["a",1,2,7]]', f"[{bad}]".encode())
            self.assertEqual(decode_digest(data).evacuations, ())
            self.assertEqual(decode_digest(data).invalid_reports, 1)
            self.assertEqual(decode_digest(data).sender, PEER)


if __name__ == "__main__":
    unittest.main()

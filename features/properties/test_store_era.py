"""The store returns to a copy some seconds old: nothing that is still true is lost."""

import json
import unittest

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from briarrelay_core.agreement.configuration import Preset
from briarrelay_core.agreement.outbox import Outbox, Retention
from briarrelay_core.identity import Identity
from briarrelay_core.ports.digest import LoadDigest
from briarrelay_core.ports.directory import (
    EntryPublished,
    ListTopic,
    PeerAddress,
    ReadTopic,
    Topic,
    TopicExpired,
    TopicListed,
    TopicRead,
)
from briarrelay_core.ports.log import AppendDone
from briarrelay_core.ports.position import EraPosition
from briarrelay_core.record.record import Entry, parse_batch, verify_batches
from briarrelay_core.routes.follower import TopicFollower
from briarrelay_core.routes.storeera import StoreEra
from briarrelay_core.timers import TimerService
from briarrelay_daemon.digestcodec import decode_digest, encode_digest
from briarrelay_platform.records import decode_era
from properties.eraworld import EraWorld
from properties.routeworld import make_entry
from properties.test_audit_record import make_bodies

SETTLE_S = 40.0
"""Seconds after the last trouble within which all instances must agree."""


def publish(name: str):
    """Return a change of presets that adds a preset and activates it."""
    return lambda c: c.with_preset(name, Preset()).with_active(name)


class StoreEraTest(unittest.TestCase):
    def test_presets_changed_after_the_copy_are_written_again(self):
        world = EraWorld()
        world.store.take_copy()
        self.assertTrue(world.change_presets(publish("night")))
        world.advance(2.0)
        world.return_to_copy()
        world.advance(5.0)
        self.assertEqual({c.active for c in world.presets_in_force()}, {"night"})
        stored = world.read_presets()[1]
        self.assertEqual((stored.active, stored.era), ("night", 2))
        started = world.add_instance()
        world.advance(2.0)
        self.assertEqual(started.controller.admission.preset_collection, stored)

    def test_operator_who_writes_first_in_the_new_era_is_in_force_everywhere(self):
        """The change carries a revision that the lost presets had as well."""
        world = EraWorld(instances=3)
        world.store.take_copy()
        world.change_presets(publish("lost"))
        world.advance(2.0)
        world.cut.add(2)
        world.return_to_copy()
        self.assertTrue(world.change_presets(publish("new")))
        world.advance(10.0)
        self.assertEqual({c.active for c in world.presets_in_force()}, {"new"})
        self.assertEqual(world.read_presets()[1].active, "new")

    def test_older_configuration_does_not_replace_a_newer_one(self):
        world = EraWorld()
        world.store.take_copy()
        for version in range(2, 7):
            world.configure(version)
        world.advance(1.0)
        world.return_to_copy()
        world.advance(0.3)
        self.assertEqual(set(world.versions()), {6})
        world.configure(9)
        world.advance(2.0)
        self.assertEqual(set(world.versions()), {9})

    def test_servers_missing_from_the_copy_stay_and_gone_ones_stay_gone(self):
        world = EraWorld(servers=4)
        world.store.take_copy()
        world.add_server(make_entry("engine-9", "llm"))
        world.advance(4.0)
        world.remove_server("engine-0")
        world.advance(2.0)
        self.assertNotIn("engine-0", world.usable_servers(0))
        world.return_to_copy()
        for _ in range(60):
            world.advance(0.1)
            for n in range(2):
                self.assertIn("engine-9", world.usable_servers(n))
                self.assertNotIn("engine-0", world.usable_servers(n))

    def test_server_missing_from_the_copy_that_does_not_return_is_gone(self):
        world = EraWorld(servers=4)
        world.store.take_copy()
        world.add_server(make_entry("engine-9", "llm"))
        world.advance(2.0)
        del world.live_servers["engine-9"]
        world.return_to_copy()
        world.advance(6.0)
        self.assertNotIn("engine-9", world.usable_servers(0))

    def test_record_is_appended_again_and_verifies(self):
        world = EraWorld()
        for number in range(6):
            self.add_entry(world, number)
            if number == 2:
                world.store.take_copy()
            world.advance(5.0)
        world.return_to_copy()
        self.add_entry(world, 6)
        world.advance(15.0)
        bodies = world.audit_bodies()
        eras = [2] * len(bodies)
        self.assertEqual(verify_batches(bodies, [1, *eras][:-1]), [])
        subjects = {e.subject for b in bodies for e in parse_batch(b).entries}
        self.assertLessEqual({f"r{number}" for number in range(7)}, subjects)

    def add_entry(self, world: EraWorld, number: int) -> None:
        entry = Entry(at=world.now, kind="request", subject=f"r{number}")
        world.instances[number % 2].recorder.add(entry)

    def test_entry_that_was_written_before_the_return_is_written_again(self):
        world = EraWorld()
        world.return_to_copy()
        world.advance(2.0)
        hosts = {i.address.host for i in world.instances}
        self.assertEqual(set(world.store.newest("entries")), hosts)
        effects = world.instances[0].handle(EntryPublished(True, 1), world.now)
        self.assertEqual(effects, [])
        # a write without a response says nothing about the store's era
        effects = world.instances[0].handle(EntryPublished(False), world.now)
        self.assertEqual(effects, [])
        self.assertEqual(world.instances[0].updates.era.value, 2)


class EraMachine(RuleBasedStateMachine):
    """Changes, copies and returns while the store is down, lossy or unreachable."""

    def __init__(self):
        super().__init__()
        self.names = 0
        self.version = 1

    @initialize(seed=st.integers(0, 99))
    def start(self, seed):
        self.world = EraWorld(instances=3, seed=seed)
        self.world.store.take_copy()
        self.newest = [0] * 3

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 6.0]))
    def wait(self, seconds):
        self.world.advance(seconds)

    @rule()
    def change_presets(self):
        self.names += 1
        self.world.change_presets(publish(f"p{self.names}"))

    @rule()
    def configure(self):
        self.version += 1
        self.world.configure(self.version)

    @rule()
    def take_copy(self):
        self.world.store.take_copy()

    @rule()
    def return_to_copy(self):
        self.world.return_to_copy()

    @rule(n=st.integers(0, 2))
    def toggle_cut(self, n):
        self.world.cut ^= {n}

    @rule(is_down=st.booleans(), lose=st.sampled_from([0.0, 0.3]))
    def trouble_store(self, is_down, lose):
        self.world.is_down = is_down
        self.world.lose_ratio = lose

    @rule(n=st.integers(0, 2))
    def record(self, n):
        world = self.world
        entry = Entry(at=world.now, kind="refusal", subject=f"{n}-{world.now}")
        world.instances[n].recorder.add(entry)

    @invariant()
    def configuration_never_reverts(self):
        if not hasattr(self, "world"):
            return
        versions = self.world.versions()
        for old, new in zip(self.newest, versions, strict=True):
            assert new >= old, f"version {new} after {old}"
        self.newest = versions

    def teardown(self):
        if not hasattr(self, "world"):
            return
        world = self.world
        world.cut.clear()
        world.is_down, world.lose_ratio = False, 0.0
        world.configure(self.version)
        world.advance(SETTLE_S)
        in_force = world.presets_in_force()
        assert len(set(map(repr, in_force))) == 1, in_force
        stored = world.read_presets()[1]
        assert stored.change_id == in_force[0].change_id
        assert stored.position == in_force[0].position or not in_force[0].revision
        assert set(world.versions()) == {self.version}
        for n in range(3):
            assert world.usable_servers(n) == set(world.live_servers)
        hosts = {instance.address.host for instance in world.instances}
        assert set(world.store.newest("entries")) == hosts
        assert set(world.appended) <= set(world.audit_bodies())


EraMachineTest = EraMachine.TestCase
EraMachineTest.settings = settings(max_examples=25, stateful_step_count=25)


class RecordAcrossErasTest(unittest.TestCase):
    """Verification of a record whose log returned to a copy."""

    @given(st.integers(2, 8), st.data())
    def test_batches_appended_again_are_no_fault(self, count, data):
        """A batch of the new era may precede those that are appended again."""
        bodies = make_bodies(count)
        copied = data.draw(st.integers(0, count - 1))
        kept_from = data.draw(st.integers(0, copied))
        early = data.draw(st.integers(copied, count))
        log = [*bodies[:early], *bodies[:copied], *bodies[early : early + 1]]
        log += bodies[kept_from:]
        eras = [1] * early + [2] * (len(log) - early)
        self.assertEqual(verify_batches(log, eras), [])

    @given(st.integers(3, 8), st.data())
    def test_batch_that_is_missing_in_the_new_era_is_named(self, count, data):
        bodies = make_bodies(count)
        lost = data.draw(st.integers(1, count - 2))
        log = bodies[:lost] + bodies[:lost] + bodies[lost + 1 :]
        eras = [1] * lost + [2] * (len(log) - lost)
        faults = verify_batches(log, eras)
        self.assertEqual(len(faults), 1)
        self.assertIn(f"batches {lost} to {lost} missing", faults[0].problem)

    @given(st.integers(3, 8), st.data())
    def test_reordered_batches_of_the_new_era_are_detected(self, count, data):
        bodies = make_bodies(count)
        first = data.draw(st.integers(1, count - 2))
        log = list(bodies)
        log[first], log[first + 1] = log[first + 1], log[first]
        faults = verify_batches(log, [1] + [2] * (count - 1))
        self.assertTrue(any("reordered" in fault.problem for fault in faults))

    def test_kept_records_beyond_the_limit_are_counted(self):
        outbox = Outbox(
            Identity("i0", 1, "dc1"), TimerService(), retention=Retention(60.0, 10)
        )
        effects = []
        for number in range(3):
            append = outbox.add("audit", "abcd-" * 1, 1.0 + number)[0]
            effects += outbox.on_done(AppendDone(append.append_id, 0), 1.0 + number)
        events = [getattr(effect, "event", "") for effect in effects]
        self.assertEqual(events.count("records_not_kept"), 1)
        requeued = outbox.on_log_returned(9.0)
        self.assertEqual(requeued[-1].bodies, ("abcd-", "abcd-"))

    def test_records_older_than_a_copy_are_forgotten(self):
        outbox = Outbox(
            Identity("i0", 1, "dc1"), TimerService(), retention=Retention(60.0, 1_000)
        )
        for now in (1.0, 30.0, 80.0):
            append = outbox.add("audit", f"at {now}", now)[0]
            outbox.on_done(AppendDone(append.append_id, 0), now)
        requeued = outbox.on_log_returned(81.0)[-1]
        self.assertEqual(requeued.bodies, ("at 30.0", "at 80.0"))


class FollowerTest(unittest.TestCase):
    def test_one_request_is_in_flight_after_a_check_found_records_expired(self):
        """The check was sent beside a long poll, whose response arrives later."""
        follower = TopicFollower(Topic.CONFIGURATION, TimerService(), 0.0, 8.0)
        follower.start(1.0)
        _, effects = follower.on_listed(
            TopicListed(Topic.CONFIGURATION, (), 5, False), 1.0
        )
        self.assertEqual(effects, [ReadTopic(Topic.CONFIGURATION, 5, 8.0)])
        effects = follower.on_expired(TopicExpired(Topic.CONFIGURATION), 3.0)
        self.assertIn(ListTopic(Topic.CONFIGURATION, generation=1), effects)
        late = TopicRead(Topic.CONFIGURATION, (), 5)
        self.assertEqual(follower.on_read(late, 4.0), ([], []))


class EraOfResponsesTest(unittest.TestCase):
    def test_bad_eras_are_logged_once_and_change_nothing(self):
        era = StoreEra()
        self.assertEqual(era.observe(None, 1.0), (False, []))
        self.assertEqual(era.observe(4, 1.0), (False, []))
        for bad in (None, 3, None):
            is_new, effects = era.observe(bad, 2.0)
            self.assertFalse(is_new)
        self.assertEqual(effects, [])
        self.assertEqual(era.value, 4)
        self.assertEqual(era.observe(4, 3.0), (False, []))
        self.assertTrue(era.observe(5, 3.0)[0])

    def test_header_that_is_no_number(self):
        for text in ("", "x", "-1", "1.5", "٣", "9" * 30):
            self.assertIsNone(decode_era({"store-era": text}))
        self.assertIsNone(decode_era({}))
        self.assertEqual(decode_era({"store-era": " 7"}), 7)

    @given(*[st.integers(0, 3)] * 4)
    def test_positions_are_ordered_as_pairs(self, era, number, other_era, other):
        first, second = EraPosition(era, number), EraPosition(other_era, other)
        pairs = (era, number), (other_era, other)
        self.assertEqual(first < second, pairs[0] < pairs[1])
        self.assertEqual(first > second, pairs[0] > pairs[1])
        self.assertEqual(first >= second, pairs[0] >= pairs[1])
        self.assertEqual(first == second, pairs[0] == pairs[1])

    @given(st.integers(0, 9), st.integers(0, 9**9), st.integers(0, 9))
    def test_digests_carry_positions(self, era, number, other):
        sender = PeerAddress(name="p", host="10.0.0.1", question_port=1, digest_port=2)
        digest = LoadDigest(
            sender=sender,
            incarnation=1,
            number=1,
            version=1,
            presets=EraPosition(era, number),
            directory=EraPosition(other, number),
        )
        self.assertEqual(decode_digest(encode_digest(digest)), digest)

    def test_digest_in_the_first_era_is_as_in_earlier_releases(self):
        """They accept eleven fields, and positions without an era."""
        sender = PeerAddress(name="p", host="10.0.0.1", question_port=1, digest_port=2)
        digest = LoadDigest(
            sender=sender,
            incarnation=1,
            number=1,
            version=1,
            presets=EraPosition(0, 5),
        )
        fields = json.loads(encode_digest(digest))
        self.assertEqual((len(fields), fields[7:9]), (11, [5, 0]))
        paused = evolve(digest, paused={"engine-1": 2.5})
        self.assertEqual(decode_digest(encode_digest(paused)), paused)

    def test_digest_of_an_earlier_release_has_no_era(self):
        data = b'[["p","10.0.0.1",1,2,"a"],1,1,1,{},[],[],5,40,0.5,[]]'
        digest = decode_digest(data)
        self.assertEqual(digest.presets, EraPosition(0, 5))
        self.assertEqual(digest.directory, EraPosition(0, 40))


if __name__ == "__main__":
    unittest.main()

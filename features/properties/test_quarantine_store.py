"""Quarantined parts outlive the loss of all instances, by a topic of the store."""

import unittest
from collections import Counter

import orjson
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from briarrelay_core.ports.directory import ListTopic, Topic, TopicChange, TopicListed
from briarrelay_core.ports.quarantine import (
    QuarantineRecord,
    QuarantineWritten,
    WriteQuarantine,
)
from briarrelay_core.ports.telemetry import LogEvent
from briarrelay_core.routes.quarantine import (
    QUARANTINE_S,
    STRIKES_IF_SHARED,
    ContentQuarantine,
)
from briarrelay_core.routes.quarantinekeeper import (
    MAX_RESTORED,
    RELIST_S,
    QuarantineKeeper,
)
from briarrelay_core.routes.storeera import StoreEra
from briarrelay_core.timers import TimerService
from briarrelay_platform.decode import decode_quarantine, encode_quarantine
from briarrelay_platform.fields import DecodeError
from properties.eraworld import EraWorld, StoreModel

BAD_PART = "91bd3f06"
OTHER_PART = "e4402b7d"
RECORD = QuarantineRecord(duration_s=QUARANTINE_S, written_at=900.0)


class QuarantineWorld(EraWorld):
    """Instances whose engines crash, and the calls that concern the quarantine.

    :ivar calls: number of listings, writes and deletions, by instance.
    :ivar logs: log lines of all instances.
    """

    def __init__(self, *arguments, **options):
        self.calls: Counter = Counter()
        self.logs: list[LogEvent] = []
        super().__init__(*arguments, **options)

    def perform(self, n: int, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, ListTopic) and effect.topic is Topic.QUARANTINE:
                self.calls["list", n] += 1
            elif isinstance(effect, WriteQuarantine):
                kind = "write" if effect.record is not None else "delete"
                self.calls[kind, n] += 1
            elif isinstance(effect, LogEvent):
                self.logs.append(effect)
        super().perform(n, effects)

    def crash(self, n: int, part: str = BAD_PART) -> None:
        """Let an instance see as many crashes by a part as quarantine it."""
        quarantine = self.instances[n].controller.quarantine
        for strike in range(STRIKES_IF_SHARED):
            if part in quarantine.contents:
                return
            server = f"engine-{strike}@{self.now}"
            self.perform(
                n, quarantine.record_crash((part,), server, self.now, self.now)
            )
            self.advance(0.01)

    def write_on(self, n: int, part: str = BAD_PART) -> None:
        """Let an instance see that an engine writes on a part."""
        quarantine = self.instances[n].controller.quarantine
        self.perform(n, quarantine.record_survival((part,), self.now))

    def release(self) -> None:
        """Release a stored part, as an operator does."""
        for part, (_, record) in self.store.newest(Topic.QUARANTINE).items():
            released = evolve(record, is_released=True)
            self.store.append(Topic.QUARANTINE, (part, released))
            return

    def quarantined(self) -> list[set[str]]:
        """Return the parts that each instance keeps from engines."""
        return [set(i.controller.quarantine.contents) for i in self.instances]

    def stored(self) -> set[str]:
        """Return the parts in the store."""
        return set(self.store.newest(Topic.QUARANTINE))

    def count(self, kind: str) -> int:
        """Return the number of calls of a kind by all instances."""
        return sum(count for (name, _), count in self.calls.items() if name == kind)


class QuarantineStoreTest(unittest.TestCase):
    def test_quarantine_outlives_the_loss_of_all_instances(self):
        world = QuarantineWorld(instances=4)
        world.crash(2)
        world.advance(1.0)
        self.assertEqual(world.stored(), {BAD_PART})
        restarted = QuarantineWorld(instances=4, store=world.store)
        self.assertEqual(restarted.quarantined(), [{BAD_PART}] * 4)
        restarted.advance(QUARANTINE_S - 10.0)
        self.assertEqual(restarted.quarantined(), [{BAD_PART}] * 4)

    def test_calls_without_a_quarantine_are_one_listing_for_each_start(self):
        world = QuarantineWorld(instances=4)
        world.advance(900.0)
        self.assertEqual(world.calls, {("list", n): 1 for n in range(4)})

    def test_one_instance_writes_and_at_most_two_delete(self):
        world = QuarantineWorld(instances=4)
        world.crash(2)
        world.advance(QUARANTINE_S - 10.0)
        self.assertEqual(world.stored(), {BAD_PART})
        self.assertEqual((world.count("write"), world.count("delete")), (1, 0))
        world.advance(20.0)
        self.assertEqual(world.quarantined(), [set()] * 4)
        self.assertEqual(world.stored(), set())
        self.assertEqual((world.count("write"), world.count("delete")), (1, 2))
        lists = [world.calls["list", n] for n in range(4)]
        self.assertEqual(lists[1:], [1, 1, 1])
        self.assertLessEqual(lists[0], 1 + QUARANTINE_S / RELIST_S)
        world.advance(900.0)
        self.assertEqual([world.calls["list", n] for n in range(4)], lists)

    def test_part_is_released_at_all_instances(self):
        world = QuarantineWorld(instances=4)
        world.crash(2)
        world.advance(1.0)
        world.release()
        world.advance(RELIST_S + 3.0)
        self.assertEqual(world.quarantined(), [set()] * 4)
        self.assertEqual(world.stored(), set())
        world.crash(1)
        world.advance(5.0)
        self.assertEqual(world.quarantined(), [{BAD_PART}] * 4)
        self.assertEqual(world.stored(), {BAD_PART})

    def test_released_part_is_not_restored_at_a_start(self):
        store = StoreModel()
        store.append(Topic.QUARANTINE, (BAD_PART, evolve(RECORD, is_released=True)))
        world = QuarantineWorld(instances=2, store=store)
        self.assertEqual(world.quarantined(), [set()] * 2)
        self.assertEqual(world.stored(), set())

    def test_part_whose_finder_failed_before_its_write_is_written(self):
        world = QuarantineWorld(instances=3)
        world.cut.add(2)
        world.crash(2)
        world.advance(RELIST_S + 3.0)
        self.assertEqual(world.stored(), {BAD_PART})

    def test_deleted_part_is_not_restored(self):
        world = QuarantineWorld(instances=2)
        world.crash(1)
        world.advance(1.0)
        world.write_on(0)
        world.advance(2.0)
        self.assertEqual(world.stored(), set())
        restarted = QuarantineWorld(instances=2, store=world.store)
        self.assertEqual(restarted.quarantined(), [set()] * 2)

    def test_part_whose_writer_is_gone_is_deleted_when_it_lapses(self):
        store = StoreModel()
        store.append(Topic.QUARANTINE, (BAD_PART, RECORD))
        world = QuarantineWorld(instances=3, store=store)
        self.assertEqual(world.quarantined(), [{BAD_PART}] * 3)
        world.advance(QUARANTINE_S + 5.0)
        self.assertEqual(world.stored(), set())
        self.assertEqual((world.count("write"), world.count("delete")), (0, 1))

    def test_store_that_is_down_at_the_start_is_listed_later(self):
        world = QuarantineWorld(instances=1)
        world.store.append(Topic.QUARANTINE, (BAD_PART, RECORD))
        world.is_down = True
        world.add_instance()
        world.advance(30.0)
        self.assertEqual(world.quarantined(), [set(), set()])
        self.assertLess(world.calls["list", 1], 12)
        world.is_down = False
        world.advance(6.0)
        self.assertEqual(world.quarantined(), [{BAD_PART}] * 2)

    def test_quarantine_while_the_store_is_down_is_written_later(self):
        world = QuarantineWorld(instances=3)
        world.is_down = True
        world.crash(1)
        world.crash(1, OTHER_PART)
        world.advance(30.0)
        self.assertEqual(world.stored(), set())
        self.assertLess(world.count("write"), 14)
        world.is_down = False
        world.advance(8.0)
        self.assertEqual(world.stored(), {BAD_PART, OTHER_PART})
        self.assertEqual(len(world.store.records(Topic.QUARANTINE)), 2)

    def test_quarantine_that_ends_while_the_store_is_down_leaves_nothing(self):
        world = QuarantineWorld(instances=3)
        world.crash(1)
        world.advance(1.0)
        world.is_down = True
        world.write_on(2)
        world.advance(10.0)
        world.is_down = False
        world.advance(8.0)
        self.assertEqual(world.stored(), set())

    def test_quarantine_after_the_copy_is_written_again(self):
        for writer in range(3):
            with self.subTest(writer=writer):
                world = QuarantineWorld(instances=3, seed=writer)
                world.store.take_copy()
                world.crash(writer)
                world.advance(2.0)
                world.return_to_copy()
                self.assertEqual(world.stored(), set())
                world.advance(10.0)
                self.assertEqual(world.stored(), {BAD_PART})
                self.assertEqual(world.quarantined(), [{BAD_PART}] * 3)
                self.assertLessEqual(world.count("write"), 3)
                lists = [world.calls["list", n] for n in range(3)]
                self.assertEqual(lists[1:], [2, 2])
                self.assertLessEqual(lists[0], 3)

    def test_end_after_the_copy_holds(self):
        world = QuarantineWorld(instances=3)
        world.crash(1)
        world.advance(1.0)
        world.store.take_copy()
        world.write_on(2)
        world.advance(2.0)
        world.return_to_copy()
        self.assertEqual(world.stored(), {BAD_PART})
        for _ in range(100):
            world.advance(0.1)
            self.assertEqual(world.quarantined(), [set()] * 3)
        self.assertEqual(world.stored(), set())

    def test_part_quarantined_again_while_its_deletion_waits_stays(self):
        world = QuarantineWorld(instances=3)
        world.crash(1)
        world.advance(1.0)
        world.cut.add(0)
        world.cut.add(1)
        world.write_on(2)
        world.advance(3.0)
        world.crash(2)
        world.advance(5.0)
        world.cut.clear()
        world.advance(10.0)
        self.assertEqual(world.quarantined(), [{BAD_PART}] * 3)
        self.assertEqual(world.stored(), {BAD_PART})

    @settings(deadline=None)
    @given(st.integers(0, 10_000), st.lists(st.integers(0, 7), max_size=12))
    def test_store_agrees_after_any_trouble(self, seed, steps):
        """What is quarantined everywhere is stored, and nothing else is."""
        world = QuarantineWorld(instances=3, seed=seed)
        world.store.take_copy()
        for step in steps:
            n = world.random.randrange(3)
            if step == 0:
                world.crash(n, world.random.choice((BAD_PART, OTHER_PART)))
            elif step == 1:
                world.write_on(n, world.random.choice((BAD_PART, OTHER_PART)))
            elif step == 2:
                world.is_down = not world.is_down
            elif step == 3:
                world.cut ^= {n}
            elif step == 4:
                world.store.take_copy()
            elif step == 5 and not world.is_down:
                world.return_to_copy()
            elif step == 6:
                world.lose_ratio = 0.3 - world.lose_ratio
            elif step == 7 and not world.is_down:
                world.release()
            world.advance(world.random.choice((0.05, 1.0, 5.0)))
        world.is_down, world.lose_ratio = False, 0.0
        world.cut.clear()
        world.advance(30.0)
        held = world.quarantined()
        self.assertEqual(held, [held[0]] * 3)
        newest = world.store.newest(Topic.QUARANTINE)
        kept = {part for part, (_, record) in newest.items() if not record.is_released}
        self.assertEqual(kept, held[0])


class KeeperTest(unittest.TestCase):
    """The listing, page by page."""

    def setUp(self):
        self.quarantine = ContentQuarantine()
        self.keeper = QuarantineKeeper(
            self.quarantine, StoreEra(), TimerService(), lambda now: 0
        )
        self.keeper.start(0.0)

    def list(self, *changes: TopicChange, has_more: bool = False, now: float = 1.0):
        page = TopicListed(Topic.QUARANTINE, changes, 9, has_more, 0, 1)
        return self.keeper.on_listed(page, now)

    def test_pages_follow_each_other(self):
        effects = self.list(TopicChange("a1", RECORD), has_more=True)
        self.assertIn(ListTopic(Topic.QUARANTINE, "a1", 0), effects)
        self.list(TopicChange("b2", RECORD))
        self.assertEqual(set(self.quarantine.contents), {"a1", "b2"})

    def test_bad_record_is_logged_and_ignored(self):
        effects = self.list(
            TopicChange("a1", None, "not JSON"), TopicChange("b2", RECORD)
        )
        self.assertEqual(self.quarantine.contents, ("b2",))
        lines = [e.event for e in effects if isinstance(e, LogEvent)]
        self.assertEqual(lines.count("entry_bad"), 1)

    def test_restored_parts_are_bounded(self):
        changes = [TopicChange(f"{n:06x}", RECORD) for n in range(2 * MAX_RESTORED)]
        self.list(*changes)
        self.assertEqual(len(self.quarantine.contents), MAX_RESTORED)

    def test_listing_of_an_earlier_generation_is_ignored(self):
        self.keeper.restart()
        self.assertEqual(self.list(TopicChange("a1", RECORD)), [])
        self.assertEqual(self.quarantine.contents, ())

    def test_late_listing_leaves_what_digests_told(self):
        self.quarantine.restore("a1", 0.0)
        self.keeper.check(0.1)
        effects = self.list(TopicChange("a1", RECORD), now=500.0)
        self.assertEqual(effects, [])
        self.quarantine.expire(QUARANTINE_S)
        self.assertEqual(self.quarantine.contents, ())

    def test_part_that_was_deleted_here_and_is_held_by_peers_is_written_again(self):
        """A suspended instance notices a lapse before peers tell it of renewals."""
        self.list(TopicChange("a1", RECORD))
        self.keeper.check(1.1)
        self.quarantine.expire(1.0 + QUARANTINE_S)
        effects = self.keeper.check(602.0)
        self.assertEqual(effects, [WriteQuarantine("a1", None)])
        self.keeper.on_written(QuarantineWritten("a1", True, 1), 602.1)
        self.quarantine.restore("a1", 602.2)
        effects = self.keeper.check(602.3)
        self.assertEqual([e.content for e in effects if e.record is not None], ["a1"])

    def test_answer_to_no_call_is_ignored(self):
        response = QuarantineWritten("a1", True, 1)
        self.assertEqual(self.keeper.on_written(response, 1.0), [])


class RecordTest(unittest.TestCase):
    def test_record_is_read_as_written(self):
        for record in (RECORD, evolve(RECORD, is_released=True)):
            value = encode_quarantine(record)
            self.assertEqual(decode_quarantine(BAD_PART, value), record)

    def test_records_of_another_writer_are_refused(self):
        good = {"duration_s": 600, "written_at": 1}
        for key, value in (
            ("", good),
            ("91BD", good),
            ("a b", good),
            ("a" * 129, good),
            (BAD_PART, []),
            (BAD_PART, {}),
            (BAD_PART, {**good, "duration_s": -1}),
            (BAD_PART, {**good, "duration_s": True}),
            (BAD_PART, {**good, "written_at": "now"}),
            (BAD_PART, {**good, "released": 1}),
        ):
            with self.subTest(key=key, value=value), self.assertRaises(DecodeError):
                decode_quarantine(key, orjson.dumps(value))
        with self.assertRaises(DecodeError):
            decode_quarantine(BAD_PART, b"\xff")


if __name__ == "__main__":
    unittest.main()

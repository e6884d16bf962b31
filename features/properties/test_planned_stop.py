"""Records of an instance that stops while the log is down, and how long it waits."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.agreement import outbox
from briarrelay_core.agreement.outbox import Outbox
from briarrelay_core.entry import EntryInstance
from briarrelay_core.identity import Identity
from briarrelay_core.ports.control import DrainRequested, ExitProcess
from briarrelay_core.ports.log import AppendDone, AppendFailed, AppendLog
from briarrelay_core.ports.peer import HandOver, HandOverTaken, SendToPeer
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.timers import TimerService

STREAM = "audit"


def make_outbox() -> Outbox:
    """Return an empty outbox that appends without a pause."""
    return Outbox(Identity("i0", 1, "dc1"), TimerService())


class OutboxDropTest(unittest.TestCase):
    def test_record_queued_after_the_hand_over_is_kept(self):
        """The log acknowledges r1 to r3 before the peer confirms that it took them."""
        box = make_outbox()
        append = box.add(STREAM, "r1", 1.0)[0]
        box.add(STREAM, "r2", 1.0)
        box.add(STREAM, "r3", 1.0)
        handed = box.unacknowledged()[STREAM]
        append = box.on_done(AppendDone(append.append_id, 0), 2.0)[0]
        box.on_done(AppendDone(append.append_id, 1), 3.0)
        box.add(STREAM, "r4", 4.0)
        box.drop(STREAM, handed.first, 3, 5.0)
        self.assertEqual(box.unacknowledged()[STREAM].bodies, ("r4",))

    @given(st.lists(st.sampled_from(["add", "done", "fail", "hand", "taken"])))
    def test_each_record_is_acknowledged_or_taken_or_queued(self, steps):
        box, now = make_outbox(), 1.0
        added, kept_elsewhere, handed, appends = [], set(), [], []
        for step in steps:
            now += 1.0
            effects = []
            if step == "add":
                added.append(f"r{len(added)}")
                effects = box.add(STREAM, added[-1], now)
            elif step == "done" and appends:
                done = appends.pop(0)
                kept_elsewhere.update(done.bodies)
                effects = box.on_done(AppendDone(done.append_id, 0), now)
            elif step == "fail" and appends:
                failed = appends.pop(0)
                effects = box.on_failed(AppendFailed(failed.append_id), now)
            elif step == "hand" and STREAM in box.unacknowledged():
                handed.append(box.unacknowledged()[STREAM])
            elif step == "taken" and handed:
                batch = handed.pop()
                kept_elsewhere.update(batch.bodies)
                box.drop(STREAM, batch.first, len(batch.bodies), now)
            appends += [e for e in effects if isinstance(e, AppendLog)]
            queued = box.unacknowledged().get(STREAM)
            held = kept_elsewhere.union(queued.bodies if queued else ())
            self.assertEqual(set(added) - held, set())


class HandOverTest(unittest.TestCase):
    def test_record_that_the_peer_dropped_is_not_confirmed(self):
        instance = EntryInstance(Identity("i1", 1, "dc1"))
        limit = outbox.MAX_QUEUED_RECORDS
        for number in range(limit - 1):
            instance.context.outbox.add(STREAM, f"own-{number}", 1.0)
        effects = instance.drain.on_hand_over("i0", HandOver(STREAM, ("a", "b"), 7), 1)
        taken = [e.message for e in effects if isinstance(e, SendToPeer)]
        self.assertEqual(taken, [HandOverTaken(STREAM, 1, 7)])
        overflow = IncrementCounter(f"outbox.overflow.{STREAM}")
        self.assertIn(overflow, effects)


class StopWithoutPlatformTest(unittest.TestCase):
    def run_stop(self, seconds: float) -> list:
        """Stop an instance whose platform never responds; return the effects."""
        instance, now = EntryInstance(Identity("i0", 1, "dc1")), 1_000.0
        pending = instance.start(now)
        instance.context.record_event(now, "refusal", "r1")
        pending += instance.handle(DrainRequested(), now)
        effects = []
        while pending or instance.next_due <= 1_000.0 + seconds:
            effects += pending
            failed = [
                AppendFailed(e.append_id) for e in pending if isinstance(e, AppendLog)
            ]
            pending = []
            for message in failed:
                pending += instance.handle(message, now)
            if not pending:
                now = max(now, instance.next_due)
                pending = instance.run_timers(now)
            if any(isinstance(e, ExitProcess) for e in pending):
                return effects + pending
        return effects

    def test_stop_ends_and_reports_the_records_that_are_lost(self):
        effects = self.run_stop(120.0)
        self.assertTrue(any(isinstance(e, ExitProcess) for e in effects))
        lost = [e for e in effects if getattr(e, "event", "") == "records_lost"]
        self.assertEqual(len(lost), 1)
        self.assertEqual(dict(lost[0].fields)["records"], "1")

    def test_stop_waits_for_the_log_before_its_limit(self):
        effects = self.run_stop(20.0)
        self.assertFalse(any(isinstance(e, ExitProcess) for e in effects))

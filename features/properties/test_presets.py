"""Presets of the routes: one in force, never an older one, changed by operators."""

import subprocess
import sys
import time
import unittest

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from standins.fleet import ROOT, Fleet, call, post

from briarrelay_core.agreement.configuration import Objective, Preset
from briarrelay_core.mappings import MappingError
from briarrelay_core.ports.digest import (
    DigestReceived,
    LoadDigest,
    PeerResponse,
    QueryPeer,
)
from briarrelay_core.ports.directory import PeerAddress, Topic, TopicChange
from briarrelay_core.ports.route import SendErrorResponse
from briarrelay_core.ports.telemetry import LogEvent
from briarrelay_core.reasons import RefusalReason
from briarrelay_core.routes.budget import RepeatBudget, RepeatLimits
from briarrelay_core.routes.presets import BUILT_IN, PresetBook, read_book
from briarrelay_ctl.presets import PresetCommands
from briarrelay_ctl.remote import RemoteError
from properties.routeworld import RouteWorld

PEER = PeerAddress(name="entry-2", host="10.9.0.2", question_port=1, digest_port=2)


def make_book(revision: int, active: str = "day", **changes) -> PresetBook:
    presets = {
        "day": Preset(retry_ratio=0.2),
        "maintenance": Preset(accept_long=False, accept_calls=False),
        "peak": Preset(objective=Objective.TTFT, retry_ratio=0.05),
    }
    return PresetBook(revision=revision, presets=presets, active=active, **changes)


class PresetBookTest(unittest.TestCase):
    def test_one_is_in_force_from_the_start(self):
        self.assertEqual(PresetBook().in_force, BUILT_IN)
        with self.assertRaises(ValueError):
            PresetBook(active="unknown")

    def test_the_one_in_force_can_not_be_removed(self):
        with self.assertRaises(ValueError):
            make_book(1).without("day")
        self.assertNotIn("peak", make_book(1).without("peak").presets)

    def test_kept_and_read_again(self):
        book = make_book(7, "peak").signed("c1", "asha", 12.5)
        self.assertEqual(read_book(book.to_json(), "test"), book)

    @given(st.binary(max_size=60))
    def test_what_is_no_book_is_told(self, data):
        try:
            book = read_book(data, "test")
        except MappingError:
            return
        self.assertIsInstance(book, PresetBook)


class InForceTest(unittest.TestCase):
    def setUp(self):
        self.world = RouteWorld()
        self.world.list_topic(Topic.PRESETS)

    def put(self, book: PresetBook) -> list:
        return self.world.change(Topic.PRESETS, TopicChange("presets", book))

    def refusals(self, effects: list) -> list:
        refused = self.world.of(effects, SendErrorResponse)
        return [effect.outcome.reason for effect in refused]

    def test_maintenance_refuses_what_it_names(self):
        long = {"prompt_tokens": 200_000}
        self.assertEqual(self.refusals(self.world.request("file", **long)), [])
        self.put(make_book(1, "maintenance"))
        refused = self.world.request("file", **long)
        self.assertEqual(self.refusals(refused), [RefusalReason.MAINTENANCE])
        self.assertGreater(
            self.world.of(refused, SendErrorResponse)[0].outcome.retry_after, 0
        )
        calls = self.refusals(self.world.request("book"))
        self.assertEqual(calls, [RefusalReason.MAINTENANCE])
        self.assertEqual(len(self.world.forwards(self.world.request("chat"))), 1)
        self.put(make_book(2, "day"))
        self.assertEqual(self.refusals(self.world.request("book")), [])

    def test_peak_serves_those_that_wait_in_the_order_of_arrival(self):
        for active, first in (("day", "chat"), ("peak", "file")):
            with self.subTest(active):
                world = RouteWorld(engines=1)
                world.list_topic(Topic.PRESETS, TopicChange("presets", make_book(1)))
                book = make_book(2, active)
                world.change(Topic.PRESETS, TopicChange("presets", book))
                while world.forwards(world.request("chat")):
                    pass
                desk = world.core.controller
                waiting = [desk.requests[key] for key in desk._waiting]
                for routed in waiting:
                    desk.close(routed, "test", world.now)
                world.request("file")
                world.advance(0.01)
                world.request("chat")
                order = sorted(desk._waiting.values(), key=desk._queue_key)
                self.assertEqual(order[0].route.name, first)

    def test_repeats_follow_the_preset(self):
        budget = RepeatBudget(RepeatLimits(ratio=0.5, slack=0.0))
        for _ in range(100):
            budget.record_request("llm", 1.0)
        budget.preset_ratio = 0.04
        self.assertEqual([budget.spend("llm", 1.0) for _ in range(5)].count(True), 3)
        self.put(make_book(1, "peak"))
        self.assertEqual(self.world.core.controller.budget.preset_ratio, 0.05)

    @settings(max_examples=40, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=12))
    def test_never_an_older_one(self, news):
        world = RouteWorld()
        world.list_topic(Topic.PRESETS)
        newest = 0
        for revision, is_from_peer in news:
            active = ("day", "maintenance", "peak")[revision % 3]
            change = TopicChange("presets", make_book(revision, active))
            if is_from_peer:
                world.tell(PeerResponse(PEER, (change,)))
            else:
                world.change(Topic.PRESETS, change)
            newest = max(newest, revision)
            book = world.core.controller.admission.book
            self.assertEqual(book.revision, newest)
            self.assertEqual(book.in_force, book.presets[book.active])

    def test_a_peer_that_is_ahead_is_asked(self):
        digest = LoadDigest(sender=PEER, incarnation=1, number=1, version=1, presets=4)
        effects = self.world.tell(DigestReceived(digest))
        effects += self.world.advance(0.5)
        self.assertEqual(self.world.of(effects, QueryPeer), [QueryPeer(PEER)])

    def test_a_change_is_on_record_and_told(self):
        effects = self.put(make_book(3, "peak", author="asha"))
        note = next(n for n in self.world.of(effects, LogEvent) if "preset" in n.event)
        self.assertEqual(dict(note.fields)["author"], "asha")
        batch = self.world.core.recorder.pop_batch()
        entry = next(e for e in batch.entries if e.subject == "presets-3")
        self.assertIn("peak by asha", entry.why)


class FlakyBooks:
    """Presets in memory; answers may be lost, or another operator may be first."""

    def __init__(self):
        self.written = []
        self.losses = 0
        self.rival = None

    def read(self):
        return (self.written[-1] if self.written else PresetBook()), len(self.written)

    def read_position(self, position):
        return self.written[position] if position < len(self.written) else None

    def replace(self, book, position):
        if self.rival is not None:
            self.written.append(self.rival)
            self.rival = None
        is_last = position == len(self.written)
        if is_last:
            self.written.append(book)
        if self.losses:
            self.losses -= 1
            raise RemoteError("store", "answer lost", sent=True)
        return is_last


class PresetCommandsTest(unittest.TestCase):
    def setUp(self):
        self.books = FlakyBooks()
        self.commands = PresetCommands(self.books, "asha", settle_s=0.5)

    def test_a_lost_answer_is_settled_and_written_once(self):
        self.books.losses = 1
        self.assertEqual(self.commands.publish("day", {}).code, 0)
        self.assertEqual(len(self.books.written), 1)

    def test_the_second_of_two_is_told_so(self):
        rival = evolve(PresetBook(), revision=1, change_id="r", author="binu")
        self.books.rival = rival
        result = self.commands.publish("day", {})
        self.assertEqual(result.code, 3)
        self.assertIn("binu", result.text)
        self.assertEqual(self.books.written, [rival])

    def test_a_change_that_landed_before_another_is_not_called_lost(self):
        self.books.losses = 1
        replace = self.books.replace

        def replace_then_rival(book, position):
            try:
                return replace(book, position)
            finally:
                if len(self.books.written) == 1:
                    self.books.written.append(evolve(book, revision=2, change_id="r"))

        self.books.replace = replace_then_rival
        self.assertEqual(self.commands.publish("day", {}).code, 0)

    def test_unknown_names_and_values(self):
        self.assertEqual(self.commands.activate("none").code, 4)
        self.assertEqual(self.commands.publish("day", {"retry_ratio": 7}).code, 4)
        self.assertEqual(self.commands.publish("day", {"colour": 1}).code, 4)
        self.assertEqual(self.books.written, [])

    def test_no_answer_at_all(self):
        self.books.losses = 100
        self.assertEqual(self.commands.publish("day", {}).code, 5)


class PresetPathTest(unittest.TestCase):
    def ctl(self, *words: str) -> tuple[int, str]:
        store = "--store={}:{}".format(*self.fleet.store)
        done = subprocess.run(
            [sys.executable, str(ROOT / "platform" / "ctl.py"), store, *words],
            capture_output=True,
            text=True,
        )
        return done.returncode, done.stdout + done.stderr

    def statuses(self, attempt: str) -> list[int]:
        return [
            call(entry, "/book/x", f"{attempt}{number}").status
            for number, entry in enumerate(self.fleet.instances)
        ]

    def test_operators_change_the_preset_in_force_everywhere(self):
        with Fleet(engines=1, desks=1, entries=2, base="1.6") as self.fleet:
            folder = self.fleet.folder
            (folder / "closed.jsonc").write_text(
                '{"accept_calls": false}  // bookings are shut'
            )
            (folder / "day.jsonc").write_text("{}")
            for name in ("day", "closed"):
                path = str(folder / f"{name}.jsonc")
                code, text = self.ctl("preset", "publish", name, path)
                self.assertEqual(code, 0, text)
            self.assertEqual(self.statuses("a"), [200, 200])
            code, text = self.ctl("--author=asha", "preset", "activate", "closed")
            self.assertEqual(code, 0, text)
            time.sleep(1.0)
            self.assertEqual(self.statuses("b"), [503, 503])
            entry = self.fleet.instances[0]
            entry.process.kill()
            entry.process.wait()
            self.fleet.start(entry)
            self.fleet.wait(entry.is_ready, 10)
            time.sleep(0.5)
            self.assertEqual(self.statuses("c"), [503, 503])
            self.assertEqual(self.ctl("preset", "remove", "closed")[0], 4)
            code, text = self.ctl("preset", "activate", "day")
            self.assertEqual(code, 0, text)
            time.sleep(1.0)
            self.assertEqual(self.statuses("d"), [200, 200])
            code, text = self.ctl("preset", "list")
            self.assertIn("*", next(x for x in text.splitlines() if "day" in x))
            post(*self.fleet.store, "/standin/trouble", {"busy": 1.0})
            self.assertEqual(self.ctl("preset", "list")[0], 6)


if __name__ == "__main__":
    unittest.main()

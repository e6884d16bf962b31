"""Presets of routes: revisions, enforcement, operator commands and real processes."""

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
from briarrelay_core.ports.position import EraPosition
from briarrelay_core.ports.route import SendErrorResponse
from briarrelay_core.ports.telemetry import LogEvent
from briarrelay_core.reasons import RefusalReason
from briarrelay_core.routes.budget import RetryLimits, ServiceRetryBudget
from briarrelay_core.routes.presets import BUILT_IN, PresetCollection, read_presets
from briarrelay_ctl.presets import PresetCommands
from briarrelay_ctl.remote import RemoteError
from properties.routeworld import RouteWorld

PEER = PeerAddress(name="entry-2", host="10.9.0.2", question_port=1, digest_port=2)


def make_book(revision: int, active: str = "day", **changes) -> PresetCollection:
    presets = {
        "day": Preset(retry_ratio=0.2),
        "maintenance": Preset(accept_long=False, accept_calls=False),
        "peak": Preset(objective=Objective.TTFT, retry_ratio=0.05),
    }
    return PresetCollection(
        revision=revision, presets=presets, active=active, **changes
    )


class PresetBookTest(unittest.TestCase):
    def test_built_in_preset_is_in_force_by_default(self):
        self.assertEqual(PresetCollection().in_force, BUILT_IN)
        with self.assertRaises(ValueError):
            PresetCollection(active="unknown")

    def test_preset_in_force_cannot_be_removed(self):
        with self.assertRaises(ValueError):
            make_book(1).without_preset("day")
        self.assertNotIn("peak", make_book(1).without_preset("peak").presets)

    def test_json_round_trip(self):
        book = make_book(7, "peak").with_change_info("c1", "asha", 12.5)
        self.assertEqual(read_presets(book.to_json(), "test"), book)

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_raise_only_mapping_errors(self, data):
        try:
            book = read_presets(data, "test")
        except MappingError:
            return
        self.assertIsInstance(book, PresetCollection)


class PresetInForceTest(unittest.TestCase):
    """How an instance follows the preset in force."""

    def setUp(self):
        self.world = RouteWorld()
        self.world.list_topic(Topic.PRESETS)

    def publish(self, book: PresetCollection) -> list:
        return self.world.deliver_changes(Topic.PRESETS, TopicChange("presets", book))

    def refusal_reasons(self, effects: list) -> list:
        errors = self.world.of_type(effects, SendErrorResponse)
        return [effect.outcome.reason for effect in errors]

    def test_maintenance_preset_refuses_long_prompts_and_calls(self):
        long_prompt = {"prompt_tokens": 200_000}
        self.assertEqual(
            self.refusal_reasons(self.world.request("file", **long_prompt)), []
        )
        self.publish(make_book(1, "maintenance"))
        refused = self.world.request("file", **long_prompt)
        self.assertEqual(self.refusal_reasons(refused), [RefusalReason.MAINTENANCE])
        self.assertGreater(
            self.world.of_type(refused, SendErrorResponse)[0].outcome.retry_after, 0
        )
        calls = self.refusal_reasons(self.world.request("book"))
        self.assertEqual(calls, [RefusalReason.MAINTENANCE])
        self.assertEqual(len(self.world.forwards(self.world.request("chat"))), 1)
        self.publish(make_book(2, "day"))
        self.assertEqual(self.refusal_reasons(self.world.request("book")), [])

    def test_ttft_objective_serves_the_queue_in_order_of_arrival(self):
        for active, first in (("day", "chat"), ("peak", "file")):
            with self.subTest(active):
                world = RouteWorld(engines=1)
                world.list_topic(Topic.PRESETS, TopicChange("presets", make_book(1)))
                book = make_book(2, active)
                world.deliver_changes(Topic.PRESETS, TopicChange("presets", book))
                while world.forwards(world.request("chat")):
                    pass
                route_controller = world.instance.controller
                waiting = [
                    route_controller.requests[key] for key in route_controller._waiting
                ]
                for routed in waiting:
                    route_controller.close(routed, "test", world.now)
                world.request("file")
                world.advance(0.01)
                world.request("chat")
                order = sorted(
                    route_controller._waiting.values(), key=route_controller._queue_key
                )
                self.assertEqual(order[0].route.name, first)

    def test_retry_ratio_follows_the_preset(self):
        budget = ServiceRetryBudget(RetryLimits(ratio=0.5, slack=0.0))
        for _ in range(100):
            budget.record_request("llm", 1.0)
        budget.preset_ratio = 0.04
        self.assertEqual([budget.withdraw("llm", 1.0) for _ in range(5)].count(True), 3)
        self.publish(make_book(1, "peak"))
        self.assertEqual(self.world.instance.controller.budget.preset_ratio, 0.05)

    @settings(max_examples=40, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=12))
    def test_older_revision_never_replaces_a_newer_one(self, updates):
        world = RouteWorld()
        world.list_topic(Topic.PRESETS)
        newest = 0
        for revision, is_from_peer in updates:
            active = ("day", "maintenance", "peak")[revision % 3]
            change = TopicChange("presets", make_book(revision, active))
            if is_from_peer:
                world.deliver(PeerResponse(PEER, (change,)))
            else:
                world.deliver_changes(Topic.PRESETS, change)
            newest = max(newest, revision)
            book = world.instance.controller.admission.preset_collection
            self.assertEqual(book.revision, newest)
            self.assertEqual(book.in_force, book.presets[book.active])

    def test_peer_with_a_newer_revision_is_queried(self):
        digest = LoadDigest(
            sender=PEER, incarnation=1, number=1, version=1, presets=EraPosition(0, 4)
        )
        effects = self.world.deliver(DigestReceived(digest))
        effects += self.world.advance(0.5)
        self.assertEqual(self.world.of_type(effects, QueryPeer), [QueryPeer(PEER)])

    def test_change_is_recorded_and_logged(self):
        effects = self.publish(make_book(3, "peak", author="asha"))
        log_event = next(
            logged
            for logged in self.world.of_type(effects, LogEvent)
            if "preset" in logged.event
        )
        self.assertEqual(dict(log_event.fields)["author"], "asha")
        batch = self.world.instance.recorder.pop_batch()
        entry = next(e for e in batch.entries if e.subject == "presets-3")
        self.assertIn("peak by asha", entry.why)


class UnreliablePresetStore:
    """In-memory store of presets that can lose responses or apply another change first.

    :ivar written: the stored revisions, in order.
    :ivar responses_to_lose: number of replacements whose response is still to be lost.
    :ivar era: rises when the store returns to a copy.
    :ivar concurrent_change: another operator's revision, stored just before the next
        replacement.
    """

    def __init__(self):
        self.written = []
        self.responses_to_lose = 0
        self.concurrent_change = None
        self.era = 0

    def read(self):
        newest = self.written[-1] if self.written else PresetCollection()
        return newest, EraPosition(self.era, len(self.written))

    def read_position(self, position):
        number = position.number
        return self.written[number] if number < len(self.written) else None

    def replace(self, book, position):
        if self.concurrent_change is not None:
            self.written.append(self.concurrent_change)
            self.concurrent_change = None
        is_last = position.number == len(self.written)
        if is_last:
            self.written.append(book)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise RemoteError("store", "answer lost", sent=True)
        return EraPosition(self.era, len(self.written)) if is_last else None


class PresetCommandsTest(unittest.TestCase):
    """Operator commands against a store that fails."""

    def setUp(self):
        self.store = UnreliablePresetStore()
        self.commands = PresetCommands(self.store, "asha", settle_s=0.5)

    def test_change_with_a_lost_response_is_written_once(self):
        self.store.responses_to_lose = 1
        self.assertEqual(self.commands.publish("day", {}).code, 0)
        self.assertEqual(len(self.store.written), 1)

    def test_later_of_two_concurrent_changes_is_rejected(self):
        concurrent_change = evolve(
            PresetCollection(), revision=1, change_id="r", author="binu"
        )
        self.store.concurrent_change = concurrent_change
        result = self.commands.publish("day", {})
        self.assertEqual(result.code, 3)
        self.assertIn("binu", result.text)
        self.assertEqual(self.store.written, [concurrent_change])

    def test_change_followed_by_another_counts_as_published(self):
        """The response is lost, and another change follows before the store is read."""
        self.store.responses_to_lose = 1
        replace = self.store.replace

        def replace_then_change(book, position):
            try:
                return replace(book, position)
            finally:
                if len(self.store.written) == 1:
                    self.store.written.append(evolve(book, revision=2, change_id="r"))

        self.store.replace = replace_then_change
        self.assertEqual(self.commands.publish("day", {}).code, 0)

    def test_change_in_a_store_that_returned_to_a_copy_carries_its_era(self):
        """The store returns to a copy between the read and the write."""
        self.store.era = 1
        read = self.store.read

        def read_then_return():
            result = read()
            self.store.era = 2
            return result

        self.store.read = read_then_return
        self.assertEqual(self.commands.publish("day", {}).code, 0)
        self.assertEqual([book.era for book in self.store.written], [1, 2])
        self.assertEqual(len({book.change_id for book in self.store.written}), 1)

    def test_unknown_names_and_invalid_values_are_rejected(self):
        self.assertEqual(self.commands.activate("none").code, 4)
        self.assertEqual(self.commands.publish("day", {"retry_ratio": 7}).code, 4)
        self.assertEqual(self.commands.publish("day", {"colour": 1}).code, 4)
        self.assertEqual(self.store.written, [])

    def test_exit_code_when_every_response_is_lost(self):
        self.store.responses_to_lose = 100
        self.assertEqual(self.commands.publish("day", {}).code, 5)


class PresetEndToEndTest(unittest.TestCase):
    """Operator commands on a fleet of real processes."""

    def run_ctl(self, *arguments: str) -> tuple[int, str]:
        store = "--store={}:{}".format(*self.fleet.store_address)
        completed = subprocess.run(
            [sys.executable, str(ROOT / "platform" / "ctl.py"), store, *arguments],
            capture_output=True,
            text=True,
        )
        return completed.returncode, completed.stdout + completed.stderr

    def statuses(self, attempt: str) -> list[int]:
        return [
            call(entry, "/book/x", f"{attempt}{number}").status
            for number, entry in enumerate(self.fleet.instances)
        ]

    def test_activated_preset_applies_on_every_instance(self):
        """It also applies on an instance that is killed and restarted."""
        with Fleet(engines=1, plain_servers=1, entries=2, subnet="1.6") as self.fleet:
            folder = self.fleet.folder
            (folder / "closed.jsonc").write_text(
                '{"accept_calls": false}  // bookings are shut'
            )
            (folder / "day.jsonc").write_text("{}")
            for name in ("day", "closed"):
                path = str(folder / f"{name}.jsonc")
                code, text = self.run_ctl("preset", "publish", name, path)
                self.assertEqual(code, 0, text)
            self.assertEqual(self.statuses("a"), [200, 200])
            code, text = self.run_ctl("--author=asha", "preset", "activate", "closed")
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
            self.assertEqual(self.run_ctl("preset", "remove", "closed")[0], 4)
            code, text = self.run_ctl("preset", "activate", "day")
            self.assertEqual(code, 0, text)
            time.sleep(1.0)
            self.assertEqual(self.statuses("d"), [200, 200])
            code, text = self.run_ctl("preset", "list")
            self.assertIn("*", next(x for x in text.splitlines() if "day" in x))
            post(*self.fleet.store_address, "/standin/trouble", {"busy": 1.0})
            self.assertEqual(self.run_ctl("preset", "list")[0], 6)


if __name__ == "__main__":
    unittest.main()

"""The audit record: an unaltered record verifies, and every alteration is detected."""

import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.identity import Identity
from briarrelay_core.record.record import (
    MAX_ENTRIES,
    Entry,
    Recorder,
    parse_batch,
    verify_batches,
)
from briarrelay_ctl.audits import verify_export


def make_entry(number: int) -> Entry:
    """Return an entry for a request with a number."""
    return Entry(at=1.0, kind="request", subject=f"r{number}", outcome="done")


def make_bodies(count: int, incarnation: int = 1) -> list[str]:
    """Return the JSON texts of an incarnation's batches, one entry in each."""
    recorder = Recorder(Identity("i0", incarnation, "dc1"))
    bodies = []
    for number in range(count):
        recorder.add(make_entry(number))
        bodies.append(recorder.pop_batch().to_json())
    return bodies


class AuditRecordTest(unittest.TestCase):
    def test_unaltered_record_has_no_faults(self):
        bodies = make_bodies(4) + make_bodies(3, incarnation=2)
        self.assertEqual(verify_batches(bodies), [])

    @given(st.integers(1, 6), st.data())
    def test_repeated_batch_is_no_fault(self, count, data):
        bodies = make_bodies(count)
        repeated = data.draw(st.integers(0, count - 1))
        position = data.draw(st.integers(repeated + 1, count))
        self.assertEqual(
            verify_batches(bodies[:position] + [bodies[repeated]] + bodies[position:]),
            [],
        )

    @given(st.integers(2, 6), st.data())
    def test_dropped_batch_is_detected(self, count, data):
        bodies = make_bodies(count)
        del bodies[data.draw(st.integers(0, count - 2))]
        faults = verify_batches(bodies)
        self.assertTrue(any("dropped" in fault.problem for fault in faults))

    @given(st.integers(2, 6), st.data())
    def test_reordered_batches_are_detected(self, count, data):
        bodies = make_bodies(count)
        first = data.draw(st.integers(0, count - 2))
        bodies[first], bodies[first + 1] = bodies[first + 1], bodies[first]
        faults = verify_batches(bodies)
        self.assertTrue(any("reordered" in fault.problem for fault in faults))

    @given(st.integers(1, 5), st.data(), st.sampled_from(["done", "failed", ""]))
    def test_altered_entry_is_detected_and_located(self, count, data, outcome):
        bodies = make_bodies(count)
        index = data.draw(st.integers(0, count - 1))
        value = json.loads(bodies[index])
        value["entries"][0]["outcome"] = outcome + "!"
        bodies[index] = json.dumps(value)
        faults = verify_batches(bodies)
        self.assertIn("altered", faults[0].problem)
        self.assertEqual(faults[0].where, f"i0/1 batch {index}")

    def test_entries_beyond_the_buffer_limit_are_counted_as_lost(self):
        recorder = Recorder(Identity("i0", 1, "dc1"))
        buffered = [recorder.add(make_entry(n)) for n in range(MAX_ENTRIES + 7)]
        self.assertEqual(buffered.count(False), 7)
        batches = []
        while (batch := recorder.pop_batch()) is not None:
            batches.append(batch)
        self.assertEqual(sum(len(batch.entries) for batch in batches), MAX_ENTRIES)
        self.assertEqual([b.lost for b in batches if b.lost], [7])
        self.assertEqual(verify_batches(b.to_json() for b in batches), [])

    def test_missing_line_of_exported_file_is_detected(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "record.jsonl"
            lines = [
                json.dumps({"offset": offset, "body": body})
                for offset, body in enumerate(make_bodies(3))
            ]
            path.write_text("\n".join(lines) + "\n")
            self.assertEqual(verify_export(path), (3, []))
            path.write_text("\n".join([lines[0], lines[2]]) + "\n")
            self.assertTrue(verify_export(path)[1])

    def test_malformed_batch_is_a_fault(self):
        self.assertRaises(ValueError, parse_batch, "{")
        self.assertEqual(len(verify_batches(["{", "[]"])), 2)

"""A release beside the earlier build, and its return, on real processes."""

import signal
import tempfile
import time
import unittest
from pathlib import Path

from soak.callers import Callers, Pause, find_cut_answers, find_violations
from soak.evacuations import DATA_CENTRES, IN_FORCE_S, Evacuations
from soak.stalls import StallWatch
from standins.earlierbuild import LAST_RELEASE, has_history, unpack_build
from standins.fleet import ROOT, EntryInstance, Fleet, configuration
from standins.limits import LEARNING_S, LimitedServer

LIMITED = "engine-1"
PER_S = 1.1
STOP_TIMEOUT_S = 10.0
SETTLE_S = 2.5
"""Seconds between two replacements; requests overlap each of them."""

LIMITED_S = 8.0
EVACUATED_S = 2.0
"""Seconds for which servers are watched once an evacuation is in force everywhere."""

MIN_WHOLE_RATIO = 0.95
REJECTIONS = ("peer.digest_bad", "peer.digest_too_long", "store.entry_bad")
"""Counters of what an instance could not read of its peers or of the store."""


@unittest.skipUnless(has_history(LAST_RELEASE), "needs the history of the repository")
class MixedBuildTest(unittest.TestCase):
    """Four instances: all replaced by the new build, then half by the earlier one."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory(prefix="earlier-")
        cls.addClassCleanup(folder.cleanup)
        earlier = unpack_build(LAST_RELEASE, Path(folder.name))
        cls.pauses: list[Pause] = []
        cls.counters: list[dict[str, int]] = []
        with Fleet(engines=6, entries=4, subnet="1.41", checkout=earlier) as fleet:
            callers = Callers(fleet, seed=41, threads=10)
            callers.start()
            watch = StallWatch()
            watch.start()
            for entry in fleet.instances[:2]:
                cls.replace(fleet, entry, ROOT)
            fleet.send_command("limit", LIMITED, limit=str(PER_S))
            fleet.put("keyed.op", "config", configuration(2))
            time.sleep(LIMITED_S)
            cls.arrivals = fleet.arrivals_when_limited(LIMITED, LEARNING_S)
            evacuations = Evacuations(fleet)
            evacuations.ask(DATA_CENTRES[0])
            for entry in fleet.instances[2:]:
                cls.replace(fleet, entry, ROOT)
            fleet.put("keyed.op", "config", configuration(3))
            evacuations.excuse()
            time.sleep(IN_FORCE_S + EVACUATED_S)
            evacuations.end_all()
            cls.evacuation_violations = evacuations.find_violations()
            for entry in fleet.instances[:2]:
                cls.replace(fleet, entry, earlier)
            fleet.put("keyed.op", "config", configuration(4))
            time.sleep(SETTLE_S)
            callers.stop()
            watch.stop()
            cls.pauses += watch.pauses(fleet)
            cls.counters += [entry.counters() for entry in fleet.instances]
            cls.sent, cls.runs = callers.sent, fleet.runs()
            cls.logs = {e.name: e.log_entries() for e in fleet.instances}

    @classmethod
    def replace(cls, fleet: Fleet, entry: EntryInstance, checkout: Path) -> None:
        """Stop an instance gracefully and start another build in its place."""
        pause = Pause(entry.name, time.monotonic())
        cls.pauses.append(pause)
        cls.counters.append(entry.counters())
        entry.process.send_signal(signal.SIGTERM)
        entry.process.wait(STOP_TIMEOUT_S)
        entry.checkout = checkout
        fleet.start(entry)
        fleet.wait(entry.is_ready)
        pause.ended_at = time.monotonic()
        time.sleep(SETTLE_S)

    def test_no_guarantee_is_violated(self):
        self.assertEqual(find_violations(self.sent, self.runs, self.pauses), [])

    def test_requests_at_other_instances_are_whole(self):
        calm = [r for r in self.sent if not any(p.overlaps(r) for p in self.pauses)]
        whole = [r for r in calm if r.response.status == 200]
        self.assertGreaterEqual(len(whole), MIN_WHOLE_RATIO * len(calm))
        self.assertEqual(find_cut_answers(calm), [])

    def test_both_builds_keep_the_limit_of_a_server(self):
        server = LimitedServer(PER_S, named_at=0.0, arrivals=self.arrivals)
        self.assertLessEqual(server.most_in_window(), server.allowed)

    def test_evacuation_asked_for_during_the_release_is_kept_after_it(self):
        self.assertEqual(self.evacuation_violations, [])

    def test_versions_only_rise_and_reach_all(self):
        for name, lines in self.logs.items():
            versions = [
                int(d["version"])
                for d in lines
                if d["event"] == "configuration_in_force"
            ]
            self.assertEqual(versions[-1], 4, name)

    def test_neither_build_rejects_what_the_other_sends(self):
        self.assertEqual(len(self.counters), 10)
        for counters in self.counters:
            rejected = {name: counters.get(name, 0) for name in REJECTIONS}
            self.assertEqual(rejected, dict.fromkeys(REJECTIONS, 0))


if __name__ == "__main__":
    unittest.main()

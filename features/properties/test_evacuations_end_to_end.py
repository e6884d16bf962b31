"""The operators' tool evacuates data centres of a fleet of real processes."""

import subprocess
import sys
import unittest

from standins.fleet import ROOT, Fleet, call


class EvacuationEndToEndTest(unittest.TestCase):
    def run_ctl(self, *arguments: str) -> tuple[int, str]:
        store = "--store={}:{}".format(*self.fleet.store_address)
        completed = subprocess.run(
            [sys.executable, str(ROOT / "platform" / "ctl.py"), store, *arguments],
            capture_output=True,
            text=True,
        )
        return completed.returncode, completed.stdout + completed.stderr

    def statuses(self, attempt: str) -> set[int]:
        return {
            call(entry, "/book/x", f"{attempt}{number}").status
            for number, entry in enumerate(self.fleet.instances)
        }

    def wait_for(self, attempt: str, status: int) -> None:
        tries = iter(range(1_000))
        self.fleet.wait(
            lambda: self.statuses(f"{attempt}{next(tries)}-") == {status}, 5
        )

    def test_all_data_centres_are_evacuated_and_taken_back(self):
        with Fleet(engines=2, plain_servers=2, entries=2, subnet="1.37") as self.fleet:
            self.assertEqual(self.statuses("a"), {200})
            for name in ("unknown", "a"):
                self.assertEqual(self.run_ctl("evacuation", "ask", name)[0], 0)
            code, text = self.run_ctl("evacuation", "list")
            self.assertEqual((code, text.split()), (0, ["evacuated", "a", "unknown"]))
            self.assertEqual(self.statuses("b"), {200})
            self.assertEqual(self.run_ctl("evacuation", "ask", "b")[0], 0)
            self.wait_for("c", 503)
            self.assertEqual(self.run_ctl("evacuation", "withdraw", "a")[0], 0)
            self.wait_for("d", 200)
            code, text = self.run_ctl("evacuation", "list")
            self.assertEqual(text.split(), ["evacuated", "b", "unknown"])


if __name__ == "__main__":
    unittest.main()

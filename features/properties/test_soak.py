"""Short runs of the fault soak with fixed seeds, among them seeds that once failed."""

import unittest

from soak.callers import MAX_LATE_CRASH_REQUESTS
from soak.run import Soak

SEEDS = (3, 11)
REST_SEEDS = (4, 6)
REST_DURATION_S = 10.0
CRASH_SEED = 5
CRASH_DURATION_S = 16.0
FAULT_DURATION_S = 8.0


class SoakTest(unittest.TestCase):
    def test_no_faults_with_fixed_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                soak = Soak(seed, FAULT_DURATION_S, entries=3)
                self.assertEqual(soak.run(), [], soak.faults)
                self.assertGreater(soak.served, 50)

    def test_servers_that_fall_silent_cut_no_answer(self):
        violations = []
        for seed in REST_SEEDS:
            soak = Soak(seed, REST_DURATION_S, entries=3, rests_only=True)
            violations += soak.run()
            self.assertGreater(soak.served, 50)
        self.assertEqual(violations, [])

    def test_requests_that_crash_engines_are_held_back(self):
        soak = Soak(CRASH_SEED, CRASH_DURATION_S, entries=3, has_crashes=True)
        violations = soak.run()
        self.assertGreater(soak.late_crash_requests, MAX_LATE_CRASH_REQUESTS)
        self.assertGreater(soak.served, 50)
        self.assertEqual(violations, [], soak.faults)


if __name__ == "__main__":
    unittest.main()

"""Short runs of the fault soak with fixed seeds, among them seeds that once failed."""

import unittest

from soak.run import Soak

SEEDS = (3, 11)
FAULT_DURATION_S = 8.0


class SoakTest(unittest.TestCase):
    def test_no_faults_with_fixed_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                soak = Soak(seed, FAULT_DURATION_S, entries=3)
                self.assertEqual(soak.run(), [], soak.faults)
                self.assertGreater(soak.served, 50)


if __name__ == "__main__":
    unittest.main()

"""A short seeded run of the fault soak, and the seeds that failed once."""

import unittest

from soak.run import Soak

SEEDS = (3, 11)
SECONDS = 8.0


class SoakTest(unittest.TestCase):
    def test_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                soak = Soak(seed, SECONDS, entries=3)
                self.assertEqual(soak.run(), [], soak.faults)
                self.assertGreater(soak.served, 50)


if __name__ == "__main__":
    unittest.main()

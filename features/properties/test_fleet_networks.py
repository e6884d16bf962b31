"""Fleets of test runs beside each other use different addresses."""

import unittest

from standins.networks import reserve_network

SUBNET = "1.199"


class ReserveNetworkTest(unittest.TestCase):
    def test_network_in_use_is_replaced_by_another_one(self):
        networks = []
        for _ in range(3):
            network, lock = reserve_network(SUBNET)
            self.addCleanup(lock.close)
            networks.append(network)
        self.assertEqual(networks[0], SUBNET)
        self.assertEqual(len(set(networks)), 3)

    def test_network_is_free_once_its_lock_is_closed(self):
        network, lock = reserve_network(SUBNET)
        lock.close()
        self.assertEqual(network, SUBNET)
        again, lock = reserve_network(SUBNET)
        lock.close()
        self.assertEqual(again, SUBNET)


if __name__ == "__main__":
    unittest.main()

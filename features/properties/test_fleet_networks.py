"""Fleets of test runs beside each other use different addresses."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch

from standins.fleet import Fleet
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


class SharedPortTest(unittest.TestCase):
    def test_port_that_all_instances_share_is_no_other_port_of_any(self):
        """Else an instance cannot bind its address, and the fleet does not start."""
        drawn = [[1, 2], [3, 4, 5, 6], [2, 1, 7, 8]]
        fleet = Fleet(entries=2)
        fleet.store_address = ("127.0.0.1", 9)
        with TemporaryDirectory() as folder, patch("standins.fleet.free_ports") as draw:
            draw.side_effect = drawn
            fleet.folder = Path(folder)
            for number in (1, 2):
                fleet.instances.append(fleet._make_entry(number))
        second = fleet.instances[1]
        self.assertEqual((1, 2), (second.control_port, second.load_digest_port))
        self.assertEqual((7, 8), (second.front_port, second.ready_port))


if __name__ == "__main__":
    unittest.main()

"""Proxies of the rigs."""

import unittest

from standins.fleet import free_ports
from standins.proxy import Proxy

HOST = "127.1.39.1"


class ProxyTest(unittest.TestCase):
    def test_proxy_takes_no_port_kept_for_a_stand_in(self):
        """Stand-ins bind their ports only after the proxies have been made."""
        [port] = free_ports(HOST, 1)
        proxy = Proxy((HOST, port), seed=1)
        self.addCleanup(proxy.close)
        self.assertNotEqual(proxy.address[0], HOST)


if __name__ == "__main__":
    unittest.main()

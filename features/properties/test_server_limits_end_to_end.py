"""Limits that backend servers name, on real processes with stand-ins."""

import time
import unittest

from soak.callers import Callers
from standins.fleet import Fleet
from standins.limits import LEARNING_S, LimitedServer

LIMITED = ("engine-1", "engine-4", "desk-1")
PER_S = 1.1
LOAD_S = 14.0
MIN_WHOLE_RATIO = 0.95


class ServerLimitTest(unittest.TestCase):
    """Four instances; two of six engines and one of three plain servers are limited."""

    @classmethod
    def setUpClass(cls):
        with Fleet(engines=6, plain_servers=3, entries=4, subnet="1.35") as fleet:
            callers = Callers(fleet, seed=35, threads=12)
            callers.start()
            time.sleep(2.0)
            for name in LIMITED:
                fleet.send_command("limit", name, limit=str(PER_S))
            time.sleep(LOAD_S)
            callers.stop()
            cls.arrivals = {
                name: fleet.arrivals_when_limited(name, LEARNING_S) for name in LIMITED
            }
            cls.sent = callers.sent
            cls.logs = [entry.log_entries() for entry in fleet.instances]

    def test_limited_servers_get_no_more_than_their_limit(self):
        for name, arrivals in self.arrivals.items():
            server = LimitedServer(PER_S, named_at=0.0, arrivals=arrivals)
            self.assertLessEqual(server.most_in_window(), server.allowed, name)

    def test_limited_servers_are_still_used(self):
        for name, arrivals in self.arrivals.items():
            self.assertGreater(len(arrivals), 0.3 * PER_S * LOAD_S, name)

    def test_callers_are_served_by_the_others(self):
        whole = [s for s in self.sent if s.response.status == 200]
        self.assertGreaterEqual(len(whole), MIN_WHOLE_RATIO * len(self.sent))

    def test_each_instance_logs_the_limits(self):
        for lines in self.logs:
            named = {d["server"] for d in lines if d["event"] == "server_limited"}
            self.assertEqual(named, set(LIMITED))


if __name__ == "__main__":
    unittest.main()

"""Instances that are cut off from backend servers, as real processes with stand-ins."""

import time
import unittest

from attrs import define
from soak.callers import Callers, SentRequest
from standins.cuts import FAULTS_FOLDER, Links
from standins.fleet import Fleet
from standins.proxy import Proxy

WINDOW_S = 3.0
"""Seconds after the beginning of a cut from which callers must be served as others."""

CUT_S = 8.0
AFTER_S = 2.0
ENGINES, PLAIN_SERVERS = 5, 2


@define(slots=True)
class _Phase:
    """One cut of some instances, and when it was."""

    name: str
    cut: tuple[str, ...]
    hangs: bool
    begun_at: float = 0.0
    ended_at: float = 0.0

    def served(self, sent: list[SentRequest], is_cut: bool) -> float:
        """Return the fraction served of requests to the cut, or the other, instances.

        Of those that were sent from `WINDOW_S` after the cut on.
        """
        counted = [
            request.response.status == 200 and request.response.is_complete
            for request in sent
            if self.begun_at + WINDOW_S <= request.started_at < self.ended_at
            and (request.entry in self.cut) is is_cut
        ]
        return sum(counted) / len(counted)


class CutOffInstanceTest(unittest.TestCase):
    """Four instances; one, then two of them lose all servers for some seconds."""

    @classmethod
    def setUpClass(cls):
        proxies: list[Proxy] = []

        def add_proxy(host: str, port: int) -> tuple[str, int]:
            if len(proxies) == ENGINES + PLAIN_SERVERS:
                return host, port  # the store
            proxies.append(Proxy((host, port), seed=1))
            return proxies[-1].address

        cls.phases = [
            _Phase("hanging", ("entry-1",), True),
            _Phase("reset", ("entry-2",), False),
            _Phase("two hanging", ("entry-1", "entry-4"), True),
        ]
        fleet = Fleet(
            engines=ENGINES,
            plain_servers=PLAIN_SERVERS,
            entries=4,
            subnet="1.36",
            environment={"PYTHONPATH": str(FAULTS_FOLDER)},
            map_address=add_proxy,
        )
        with fleet:
            links = Links(fleet, proxies)
            callers = Callers(fleet, seed=36, threads=8)
            callers.start()
            time.sleep(2.0)
            for phase in cls.phases:
                cls._play(fleet, links, phase)
            callers.stop()
            cls.sent, cls.runs = callers.sent, fleet.runs()
        links.close()
        for proxy in proxies:
            proxy.close()

    @staticmethod
    def _play(fleet: Fleet, links: Links, phase: _Phase) -> None:
        cut = [entry for entry in fleet.instances if entry.name in phase.cut]
        phase.begun_at = time.monotonic()
        for entry in cut:
            links.cut(entry, phase.hangs)
        time.sleep(CUT_S)
        phase.ended_at = time.monotonic()
        for entry in cut:
            links.heal(entry)
        time.sleep(AFTER_S)

    def test_callers_are_served_as_those_of_other_instances(self):
        for phase in self.phases:
            self.assertGreater(phase.served(self.sent, False), 0.98, phase.name)
            self.assertGreater(phase.served(self.sent, True), 0.98, phase.name)

    def test_bookings_run_at_most_once(self):
        attempts = [run["attempt"] for run in self.runs if run["path"] == "/book/x"]
        self.assertEqual(len(attempts), len(set(attempts)))
        ran = set(attempts)
        for request in self.sent:
            if request.kind == "book" and request.response.status == 503:
                self.assertNotIn(request.attempt, ran)


if __name__ == "__main__":
    unittest.main()

"""An engine that has just crashed gets no requests while others can take them."""

import unittest

from attrs import evolve

from briarrelay_core.ports.digest import CrashReport, DigestReceived, LoadDigest
from briarrelay_core.ports.directory import PeerAddress, Topic, TopicChange
from briarrelay_core.ports.route import ResponseComplete, ResponseLost
from properties.crashworld import make_part
from properties.routeworld import RouteWorld, start_response

PARTS = (make_part(1),)


class CrashedServerTest(unittest.TestCase):
    def setUp(self):
        self.world = RouteWorld(engines=3)
        self.digest_number = 0

    def send_to(self, server: str, count: int) -> list[int]:
        """Send requests until some are on a server; return the ids of its attempts."""
        attempts, others = [], []
        for _ in range(24):
            for forward in self.world.forwards(
                self.world.request("chat", prompt_parts=PARTS)
            ):
                if forward.server == server and len(attempts) < count:
                    attempts.append(forward.attempt_id)
                else:
                    others.append(forward.attempt_id)
        self.complete(others)
        self.assertEqual(len(attempts), count)
        return attempts

    def complete(self, attempt_ids: list[int]) -> None:
        for attempt_id in attempt_ids:
            start_response(self.world, attempt_id)
            self.world.deliver(ResponseComplete(attempt_id))

    def lose(self, *attempt_ids: int) -> None:
        for attempt_id in attempt_ids:
            lost = ResponseLost(attempt_id, True, "closed", is_closed=True)
            self.world.deliver(lost)

    def report(self, peer: int, count: int, server: str = "engine-2@1.0") -> None:
        """Deliver a peer's report of some attempts that a server ended."""
        self.digest_number += 1
        crash = CrashReport(
            server=server, contents=PARTS, sent_age_s=0.2, lost_age_s=0.01
        )
        sender = PeerAddress(
            name=f"p-{peer}", host=f"10.8.0.{peer}", question_port=1, digest_port=2
        )
        digest = LoadDigest(
            sender=sender,
            incarnation=1,
            number=self.digest_number,
            version=1,
            crashes=(crash,) * count,
        )
        self.world.deliver(DigestReceived(digest))

    def used_servers(self) -> set[str]:
        """Return the servers that get one of as many requests as fill them all."""
        forwards = []
        for _ in range(24):
            forwards += self.world.forwards(self.world.request("chat"))
        while attempts := list(self.world.instance.controller.attempts):
            self.complete(attempts)
        return {forward.server for forward in forwards}

    def test_server_that_closed_two_connections_is_avoided(self):
        self.lose(*self.send_to("engine-2", 2))
        self.assertNotIn("engine-2", self.used_servers())
        self.world.advance(1.8)
        self.assertNotIn("engine-2", self.used_servers())

    def test_one_closed_connection_means_little(self):
        """A server may close an idle connection just as a request is sent."""
        self.lose(*self.send_to("engine-2", 1))
        self.assertIn("engine-2", self.used_servers())

    def test_connections_closed_at_different_times_mean_little(self):
        first, second = self.send_to("engine-2", 2)
        self.lose(first)
        self.world.advance(0.4)
        self.lose(second)
        self.assertIn("engine-2", self.used_servers())

    def test_it_is_used_again_after_a_time(self):
        self.lose(*self.send_to("engine-2", 2))
        self.world.advance(2.1)
        self.assertIn("engine-2", self.used_servers())

    def test_next_incarnation_is_used_at_once(self):
        self.lose(*self.send_to("engine-2", 2))
        entry = self.world.instance.controller.servers.get("engine-2").entry
        restarted = evolve(entry, born=2.0)
        self.world.deliver_changes(Topic.SERVERS, TopicChange(entry.name, restarted))
        self.assertIn("engine-2", self.used_servers())

    def test_response_ends_it(self):
        first, *others = self.send_to("engine-2", 3)
        self.lose(*others)
        start_response(self.world, first)
        self.assertIn("engine-2", self.used_servers())

    def test_it_is_used_if_there_is_no_other(self):
        for number in (1, 2, 3):
            self.report(1, 2, f"engine-{number}@1.0")
        self.assertTrue(self.used_servers())

    def test_report_that_is_repeated_counts_once(self):
        self.report(1, 1)
        self.report(1, 1)
        self.assertIn("engine-2", self.used_servers())

    def test_reports_of_two_peers_count(self):
        self.report(1, 1)
        self.report(2, 1)
        self.assertNotIn("engine-2", self.used_servers())

    def test_report_counts_with_an_own_loss(self):
        self.lose(*self.send_to("engine-2", 1))
        self.report(2, 1)
        self.assertNotIn("engine-2", self.used_servers())

    def test_report_of_an_earlier_incarnation_is_ignored(self):
        self.report(1, 3, "engine-2@0.5")
        self.assertIn("engine-2", self.used_servers())


if __name__ == "__main__":
    unittest.main()

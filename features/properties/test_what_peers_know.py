"""What an instance learns from peers gives way to what the store shows later."""

import unittest

from briarrelay_core.ports.digest import DigestReceived, EvacuationReport, LoadDigest
from briarrelay_core.ports.directory import (
    PeerAddress,
    Topic,
    TopicChange,
    TopicListed,
)
from briarrelay_core.ports.position import EraPosition
from properties.routeworld import RouteWorld, make_configuration

PEER = PeerAddress(name="entry-2", host="10.9.0.2", question_port=1, digest_port=2)
STOPPED = PeerAddress(name="entry-3", host="10.9.0.3", question_port=1, digest_port=2)


def make_digest(number: int, sender: PeerAddress = PEER, **fields) -> DigestReceived:
    digest = LoadDigest(
        sender=sender, incarnation=1, number=number, version=1, loads={}, **fields
    )
    return DigestReceived(digest)


class EvacuationReportTest(unittest.TestCase):
    def test_report_older_than_a_listing_that_lacks_it_is_ignored(self):
        """It put an evacuation in force that had been taken back before the start."""
        world = RouteWorld()
        follower = world.instance.updates.followers[Topic.CONFIGURATION]
        follower.restart()
        change = TopicChange("config", make_configuration(), position=1)
        world.deliver(
            TopicListed(
                Topic.CONFIGURATION, (change,), 9, False, follower.generation, 0
            )
        )
        report = EvacuationReport("a", True, EraPosition(0, 7))
        world.deliver(make_digest(1, evacuations=(report,)))
        evacuations = world.instance.controller.servers.evacuations
        self.assertEqual(frozenset(), evacuations.in_force)
        report = EvacuationReport("a", True, EraPosition(0, 10))
        world.deliver(make_digest(2, evacuations=(report,)))
        self.assertEqual({"a"}, evacuations.in_force)


if __name__ == "__main__":
    unittest.main()

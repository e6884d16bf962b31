"""Instances share reads of the server directory, and each stays up to date."""

import unittest
from random import Random

from briarrelay_core.ports.control import ProcessResumed
from briarrelay_core.ports.digest import DigestReceived, LoadDigest, ServerLoad
from properties.directoryworld import DRAIN_NOTICE_S, DirectoryWorld
from properties.routeworld import make_entry

REPORTED_LOAD = ServerLoad(lead_requests=3)

APPLY_S = 2.0
"""Seconds within which an accepted configuration must be in force on all instances."""

UNSHARED_PERIOD_S = 0.9
"""Seconds between reads of an instance that gets no changes from peers."""


class LostResponseTest(unittest.TestCase):
    def test_version_is_learnt_although_all_pending_reads_fail(self):
        """The last version of a series is published while the store loses responses."""
        world = DirectoryWorld(5, 6)
        world.advance(5.0)
        self.assertEqual(world.active_versions(), [1] * 5)
        world.configure(60, is_lost=True)
        world.advance(APPLY_S)
        self.assertEqual(world.active_versions(), [60] * 5)

    def test_version_is_learnt_at_once_from_a_pending_read(self):
        world = DirectoryWorld(5, 6)
        world.advance(5.0)
        world.configure(60, is_lost=False)
        world.advance(0.1)
        self.assertEqual(world.active_versions(), [60] * 5)


class SharedReadingTest(unittest.TestCase):
    def test_few_instances_read_while_nothing_changes(self):
        world = DirectoryWorld(8, 12)
        world.advance(5.0)
        before = sum(world.server_reads)
        world.advance(30.0)
        unshared_reads = 8 * 30.0 / UNSHARED_PERIOD_S
        self.assertLess(sum(world.server_reads) - before, 0.4 * unshared_reads)

    def test_draining_and_removed_servers_get_no_requests(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                self.check_removals(seed)

    def check_removals(self, seed: int) -> None:
        """Drain or remove servers while some instances are suspended or partitioned.

        After the notice period no running instance may still use the server.
        """
        random = Random(seed)
        world = DirectoryWorld(6, 14, seed)
        world.store_latency_s = random.choice((0.005, 0.3))
        world.advance(4.0)
        for number in range(12):
            world.suspended = set(random.sample(range(6), random.randrange(3)))
            world.partitioned = set(random.sample(range(6), random.randrange(3)))
            name = f"engine-{number}"
            random.choice((world.drain, world.remove))(name)
            world.advance(DRAIN_NOTICE_S)
            self.assertEqual(world.instances_using(name), [], name)
            world.suspended.clear()
            world.advance(random.random())

    def test_instance_refused_by_the_store_learns_from_peers(self):
        world = DirectoryWorld(4, 6)
        world.advance(4.0)
        world.refused_by_store = {2}
        world.advance(1.0)
        world.drain("engine-1")
        world.remove("engine-2")
        world.advance(DRAIN_NOTICE_S)
        self.assertEqual(
            world.instances_using("engine-1") + world.instances_using("engine-2"), []
        )

    def test_new_server_is_used_by_all_instances(self):
        world = DirectoryWorld(6, 6)
        world.advance(6.0)
        world.register(make_entry("engine-77", "llm"))
        world.advance(DRAIN_NOTICE_S)
        self.assertEqual(world.instances_using("engine-77"), list(range(6)))

    def test_server_that_registers_again_is_used_again(self):
        world = DirectoryWorld(4, 6)
        world.advance(6.0)
        entry = world.current_entries["engine-1"][1]
        world.remove("engine-1")
        world.advance(2.0)
        world.register(entry)
        world.advance(3.0)
        self.assertEqual(world.instances_using("engine-1"), [0, 1, 2, 3])

    def test_few_of_many_instances_read_while_nothing_changes(self):
        """Load changes all the time, so that digests take turns of their receivers."""
        world = DirectoryWorld(60, 12)
        world.advance(4.0)
        before = sum(world.server_reads)
        for step in range(120):
            for n, instance in enumerate(world.instances):
                instance.controller.load.add(1_000 + step, "engine-1", world.now)
                world.run_effects(n, instance.peers.on_changed(world.now))
            world.advance(0.05)
        self.assertLess(sum(world.server_reads) - before, 3 * 6.0 / UNSHARED_PERIOD_S)

    def test_last_running_instance_does_all_reads(self):
        world = DirectoryWorld(4, 6)
        world.advance(4.0)
        world.suspended = {0, 1, 2}
        world.advance(3.0)
        before = world.server_reads[3]
        world.advance(9.0)
        self.assertGreaterEqual(world.server_reads[3] - before, 9)

    def test_digest_of_a_restarted_peer_with_an_earlier_clock_is_accepted(self):
        """The wall clock went back between two starts, so the incarnation is lower."""
        world = DirectoryWorld(2, 4)
        world.advance(4.0)
        address = world.instances[1].address
        digest = LoadDigest(
            sender=address,
            incarnation=0,
            number=1,
            version=1,
            loads={"engine-1": REPORTED_LOAD},
        )
        world.suspended = {1}
        world.advance(5.0)
        world.deliver(0, DigestReceived(digest))
        load = world.instances[0].controller.load.of("engine-1", world.now)
        self.assertEqual(load.lead_requests, 3)

    def test_resumed_instance_reads_itself(self):
        world = DirectoryWorld(4, 6)
        world.advance(6.0)
        before = world.server_reads[3]
        world.deliver(3, ProcessResumed(4.0))
        world.advance(0.6)
        self.assertGreater(world.server_reads[3], before)


if __name__ == "__main__":
    unittest.main()

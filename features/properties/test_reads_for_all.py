"""One instance reads the servers for all; none may miss what it did not read."""

import unittest

from attrs import evolve

from briarrelay_core.ports.control import ProcessResumed
from briarrelay_core.ports.digest import UNKNOWN_AGE_S, DigestReceived, LoadDigest
from briarrelay_core.ports.directory import (
    Topic,
    TopicChange,
    TopicListed,
    TopicPolled,
)
from briarrelay_core.ports.position import EraPosition
from briarrelay_core.routes.instance import RouteInstance
from properties.directoryworld import DRAIN_NOTICE_S, DirectoryWorld

PHASES = 10
"""Moments of an event that are tried within PHASES_S."""

PHASES_S = 1.2
"""Seconds over which they are spread, more than an interval between reads."""


def find_reader(world: DirectoryWorld) -> RouteInstance:
    """Return the instance that announced the newest read."""
    return max(world.instances, key=lambda instance: instance.peers.directory_at)


class RestartedReaderTest(unittest.TestCase):
    """The first instance by name, which reads for all, starts again."""

    def find_late(self, page_size: int) -> list[tuple[int, list[int]]]:
        """Let a server leave just before the listing of a process that starts.

        :returns: the moments at which instances use it after the notice period, and
            these instances.
        """
        late = []
        for phase in range(PHASES):
            world = DirectoryWorld(4, 6, seed=phase)
            world.page_size = page_size
            world.advance(6.0 + PHASES_S * phase / PHASES)
            world.remove("engine-1")
            world.restart(0)
            world.advance(DRAIN_NOTICE_S)
            if using := world.instances_using("engine-1"):
                late.append((phase, using))
        return late

    def test_server_that_left_before_the_first_listing_gets_no_requests(self):
        """Peers skipped their reads, as if nothing had changed before the listing."""
        self.assertEqual([], self.find_late(500))

    def test_restarts_one_after_another_cause_few_reads(self):
        """If all read after each restart, reads would grow with the square of them."""
        world = DirectoryWorld(40, 12)
        world.advance(6.0)
        before = sum(world.server_reads)
        for n in range(20):
            world.restart(n)
            world.advance(0.5)
        reads = sum(world.server_reads) - before
        self.assertLess(reads, 20 + 2 * 40)

    def test_restarted_instance_soon_reads_for_all_again(self):
        """For 15 s the others would read at times when it has the newest changes."""
        world = DirectoryWorld(4, 6)
        world.advance(6.0)
        world.restart(0)
        world.advance(6.0)
        before = world.server_reads[0]
        world.advance(3.0)
        self.assertGreater(world.server_reads[0], before + 1)

    def test_peer_of_an_earlier_build_that_names_no_change_spares_no_read(self):
        """Such a peer announces reads after its first listing, and no position."""
        world = DirectoryWorld(2, 6)
        world.advance(6.0)
        world.suspended = {0}
        world.remove("engine-1")
        for number in range(20):
            digest = LoadDigest(
                sender=world.addresses[0],
                incarnation=10**9,
                number=number,
                version=1,
                loads={},
                directory_age_s=0.0,
            )
            world.deliver(1, DigestReceived(digest))
            world.advance(DRAIN_NOTICE_S / 20)
        self.assertEqual([], world.instances_using("engine-1"))


class MissingFromListingTest(unittest.TestCase):
    """The reader learns by a listing that a server has left, not by a record."""

    def find_late(self, begin) -> list[tuple[int, list[int]]]:
        """Let a server leave at many moments; return those at which it is used late.

        :param begin: called with the world when the server has left; makes the reading
            instance list the servers.
        """
        late = []
        for phase in range(PHASES):
            world = DirectoryWorld(4, 6, seed=phase)
            world.advance(24.0 + PHASES_S * phase / PHASES)
            world.remove("engine-1")
            begin(world)
            world.advance(DRAIN_NOTICE_S)
            using = set()
            for _ in range(3):
                using.update(world.instances_using("engine-1"))
                world.advance(1.0)
            if using:
                late.append((phase, sorted(using)))
        return late

    def test_server_that_left_while_the_reader_was_lost_gets_no_requests(self):
        """The next reader listed; peers used the server again after 2.5 s."""

        def lose_reader(world: DirectoryWorld) -> None:
            reader = find_reader(world)
            n = world.instances.index(reader)
            world.suspended, world.partitioned = {n}, {n}

        self.assertEqual([], self.find_late(lose_reader))

    def test_server_whose_record_the_store_has_deleted_gets_no_requests(self):
        """Reads of deleted records make the reader list the servers."""

        def delete_records(world: DirectoryWorld) -> None:
            world.first_offset = len(world.entry_log)

        self.assertEqual([], self.find_late(delete_records))


class ReportedGoneTest(unittest.TestCase):
    """An instance that the store refuses hears from its peers that a server is gone."""

    def begin(self) -> DirectoryWorld:
        world = DirectoryWorld(4, 6)
        world.advance(6.0)
        world.refused_by_store = {2}
        world.advance(1.0)
        world.remove("engine-1")
        return world

    def test_server_is_not_used_again_while_the_store_can_not_be_read(self):
        """The report was forgotten after 2.5 s."""
        world = self.begin()
        for _ in range(10):
            world.advance(DRAIN_NOTICE_S)
            self.assertEqual([], world.instances_using("engine-1"))

    def test_server_that_registers_again_is_used_after_the_next_read(self):
        world = self.begin()
        entry = world.current_entries["engine-2"][1]
        world.advance(6.0)
        world.register(evolve(entry, name="engine-1"))
        world.advance(6.0)
        world.refused_by_store.clear()
        world.advance(2.0)
        self.assertEqual([0, 1, 2, 3], world.instances_using("engine-1"))

    def test_report_older_than_the_last_read_blocks_for_a_moment_only(self):
        """The server had registered again; it was kept out until the next read."""
        world = DirectoryWorld(2, 6)
        world.advance(8.0)
        entry = world.current_entries["engine-1"][1]
        n = world.instances.index(find_reader(world))
        report = f"engine-1@{entry.born}"
        servers = world.instances[1 - n].controller.servers
        servers.apply_peer_gone(report, EraPosition(0, 1), world.now)
        world.advance(3.0)
        self.assertIn(1 - n, world.instances_using("engine-1"))


class LearntFromPeerTest(unittest.TestCase):
    """An instance starts while the store refuses it, and learns servers from a peer."""

    def test_server_that_left_before_the_first_listing_is_removed(self):
        """The listing lacked it, but only keys of earlier responses were compared."""
        for page_size in (500, 2):
            with self.subTest(page_size=page_size):
                world = DirectoryWorld(4, 6)
                world.page_size = page_size
                world.advance(6.0)
                world.refused_by_store = {1}
                world.restart(1)
                world.advance(2.0)
                self.assertIn(1, world.instances_using("engine-1"))
                world.remove("engine-1")
                world.advance(1.0)
                world.refused_by_store.clear()
                for _ in range(5):
                    world.advance(DRAIN_NOTICE_S)
                    self.assertEqual([], world.instances_using("engine-1"))


class IncompleteListingTest(unittest.TestCase):
    def test_page_of_a_listing_is_announced_as_no_read(self):
        """Peers waited for the next read, although the other pages never came."""
        world = DirectoryWorld(2, 6)
        world.advance(6.0)
        reader = find_reader(world)
        follower = reader.updates.followers[Topic.SERVERS]
        follower.restart()
        announced_at = reader.peers.directory_at
        entries = world.current_entries.items()
        page = tuple(TopicChange(name, entry) for name, (_, entry) in entries)[:2]
        listed = TopicListed(Topic.SERVERS, page, 6, True, follower.generation)
        world.advance(0.3)
        reader.handle(listed, world.now)
        polled = TopicPolled(Topic.CONFIGURATION, (), end=1)
        reader.handle(polled, world.now)
        self.assertEqual(announced_at, reader.peers.directory_at)

    def test_first_listing_of_another_topic_keeps_the_announced_change(self):
        """It was announced that the servers had not changed."""
        world = DirectoryWorld(2, 6)
        world.advance(6.0)
        world.remove("engine-1")
        world.advance(2.0)
        reader = find_reader(world)
        peers = reader.peers
        before = peers.directory
        reader.handle(TopicListed(Topic.ENTRIES, (), 9, False), world.now)
        self.assertGreater(before.number, 0)
        self.assertEqual(before, peers.directory)


class SuspendedReaderTest(unittest.TestCase):
    def test_read_before_a_suspension_is_announced_no_more(self):
        """The clock does not count a suspension, so the read seemed to be recent."""
        world = DirectoryWorld(2, 6)
        world.advance(6.0)
        reader = find_reader(world)
        reader.handle(ProcessResumed(4.0), world.now)
        (effect,) = reader.peers.announce(world.now)
        self.assertEqual(UNKNOWN_AGE_S, effect.digest.directory_age_s)


if __name__ == "__main__":
    unittest.main()

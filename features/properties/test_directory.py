"""Instances share the reading of the servers; none is late for it."""

import unittest
from random import Random

from briarrelay_core.ports.control import ProcessResumed
from briarrelay_core.ports.digest import DigestReceived, LoadDigest, ServerLoad
from properties.directoryworld import NEWS_S, DirectoryWorld
from properties.routeworld import make_entry

BUSY = ServerLoad(lead_requests=3)

ALONE_PERIOD_S = 0.9
"""Seconds between reads of an instance that nobody tells."""


class LostAnswerTest(unittest.TestCase):
    def test_a_version_is_known_though_every_waiting_read_lost_it(self):
        """The last version of a storm, while the store loses answers."""
        world = DirectoryWorld(5, 6)
        world.advance(5.0)
        self.assertEqual(world.in_force(), [1] * 5)
        world.configure(60, is_lost=True)
        world.advance(3.5)
        self.assertEqual(world.in_force(), [60] * 5)

    def test_a_version_is_known_at_once_else(self):
        world = DirectoryWorld(5, 6)
        world.advance(5.0)
        world.configure(60, is_lost=False)
        world.advance(0.1)
        self.assertEqual(world.in_force(), [60] * 5)


class SharedReadingTest(unittest.TestCase):
    def test_few_read_while_nothing_changes(self):
        world = DirectoryWorld(8, 12)
        world.advance(5.0)
        before = sum(world.reads)
        world.advance(30.0)
        alone = 8 * 30.0 / ALONE_PERIOD_S
        self.assertLess(sum(world.reads) - before, 0.4 * alone)

    def test_leaving_servers_get_no_work_in_time(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed: int) -> None:
        """Let servers leave while instances freeze, go silent, are turned away."""
        random = Random(seed)
        world = DirectoryWorld(6, 14, seed)
        world.store_s = random.choice((0.005, 0.3))
        world.advance(4.0)
        for number in range(12):
            world.frozen = set(random.sample(range(6), random.randrange(3)))
            world.silent = set(random.sample(range(6), random.randrange(3)))
            name = f"engine-{number}"
            random.choice((world.drain, world.drop))(name)
            world.advance(NEWS_S)
            self.assertEqual(world.users(name), [], name)
            world.frozen.clear()
            world.advance(random.random())

    def test_one_that_the_store_turns_away_hears_of_it(self):
        world = DirectoryWorld(4, 6)
        world.advance(4.0)
        world.refused = {2}
        world.advance(1.0)
        world.drain("engine-1")
        world.drop("engine-2")
        world.advance(NEWS_S)
        self.assertEqual(world.users("engine-1") + world.users("engine-2"), [])

    def test_new_servers_are_used_soon(self):
        world = DirectoryWorld(6, 6)
        world.advance(6.0)
        world.write(make_entry("engine-77", "llm"))
        world.advance(NEWS_S)
        self.assertEqual(world.users("engine-77"), list(range(6)))

    def test_a_server_that_comes_back_is_used_again(self):
        world = DirectoryWorld(4, 6)
        world.advance(6.0)
        entry = world.newest["engine-1"][1]
        world.drop("engine-1")
        world.advance(2.0)
        world.write(entry)
        world.advance(3.0)
        self.assertEqual(world.users("engine-1"), [0, 1, 2, 3])

    def test_the_only_reader_left_reads_alone(self):
        world = DirectoryWorld(4, 6)
        world.advance(4.0)
        world.frozen = {0, 1, 2}
        world.advance(3.0)
        before = world.reads[3]
        world.advance(9.0)
        self.assertGreaterEqual(world.reads[3] - before, 9)

    def test_one_that_started_again_with_an_earlier_clock_is_heard(self):
        """The time of day went back between its two starts."""
        world = DirectoryWorld(2, 4)
        world.advance(4.0)
        address = world.cores[1].address
        told = LoadDigest(
            sender=address, incarnation=0, number=1, version=1, loads={"engine-1": BUSY}
        )
        world.frozen = {1}
        world.advance(5.0)
        world.tell(0, DigestReceived(told))
        load = world.cores[0].controller.load.of("engine-1", world.now)
        self.assertEqual(load.lead_requests, 3)

    def test_one_that_woke_up_reads_itself(self):
        world = DirectoryWorld(4, 6)
        world.advance(6.0)
        before = world.reads[3]
        world.tell(3, ProcessResumed(4.0))
        world.advance(0.6)
        self.assertGreater(world.reads[3], before)


if __name__ == "__main__":
    unittest.main()

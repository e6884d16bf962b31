"""Reading that is queued on an engine by many instances, without a network."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.ports.digest import LoadDigest, ServerLoad
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.routes.load import PEER_STALE_S, LoadTable

READ_S = 0.4
"""Seconds that an engine reads for one prompt."""


def report(table: LoadTable, number: int, read_s: float, now: float) -> None:
    """Deliver the digest of a peer that has a prompt on the engine."""
    sender = PeerAddress(
        name=f"entry-{number}", host="10.9.0.2", question_port=1, digest_port=2
    )
    digest = LoadDigest(
        sender=sender,
        incarnation=1,
        number=int(now * 100),
        version=1,
        loads={"engine-1": ServerLoad(read_s)},
    )
    table.apply_digest(digest, now)


class QueuedReadingTest(unittest.TestCase):
    """Each crowd is spread over instances that send one prompt each to an engine."""

    def test_own_prompt_behind_those_of_peers_is_not_read_before_them(self):
        table = LoadTable()
        for number in range(20):
            report(table, number, READ_S, 100.0)
        table.add(1, "engine-1", 100.0, read_s=READ_S)
        self.assertAlmostEqual(table.own_loads(101.0)["engine-1"].read_s, READ_S)

    def test_engine_reads_the_prompts_of_peers_one_after_another(self):
        table = LoadTable()
        for number in range(20):
            report(table, number, READ_S, 100.0)
        self.assertAlmostEqual(table.of("engine-1", 100.4).read_s, 20 * READ_S - 0.4)

    def test_crowd_of_instances_sees_its_reading_end_when_it_does(self):
        """Each instance tells the others of its prompt; 8 s of reading are queued."""
        tables = [LoadTable() for _ in range(20)]
        for number, table in enumerate(tables):
            table.add(1, "engine-1", 100.0 + number / 1_000, read_s=READ_S)
            load = table.own_loads(100.0 + number / 1_000)["engine-1"]
            for other in tables:
                if other is not table:
                    report(other, number, load.read_s, 100.0 + number / 1_000)
        for step in range(1, 20):
            now = 100.02 + step * READ_S
            for number, table in enumerate(tables):
                load = table.own_loads(now)["engine-1"]
                for other in tables:
                    if other is not table:
                        report(other, number, load.read_s, now)
            known_s = tables[0].of("engine-1", now).read_s
            self.assertAlmostEqual(known_s, 8.0 - step * READ_S, delta=0.1)

    def test_reading_of_silent_peers_lapses(self):
        table = LoadTable()
        report(table, 1, 9.0, 100.0)
        self.assertEqual(table.of("engine-1", 100.1 + PEER_STALE_S).read_s, 0.0)

    @given(st.lists(st.floats(0.01, 5), min_size=1, max_size=9), st.floats(0, 1.4))
    def test_known_reading_never_exceeds_what_was_reported(self, reads, age_s):
        table = LoadTable()
        for number, read_s in enumerate(reads):
            report(table, number, read_s, 100.0)
        known_s = table.of("engine-1", 100.0 + age_s).read_s
        self.assertLessEqual(known_s, sum(reads) + 1e-9)
        self.assertGreaterEqual(known_s, sum(reads) - age_s - 1e-9)

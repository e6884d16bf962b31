"""What a loss shows: the links of an instance, or a crash of a server."""

import unittest
from functools import partial

import orjson
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.ports.digest import CrashReport, LoadDigest
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.ports.route import ResponseLost
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.routes.contents import request_content
from briarrelay_core.routes.losses.held import MAX_HELD
from briarrelay_core.routes.losses.judge import Cause, LossJudge
from briarrelay_core.routes.quarantine import ContentQuarantine
from briarrelay_daemon.digestcodec import decode_digest, encode_digest
from properties.crashworld import make_part
from properties.cutworld import Cut, CutWorld

PEER = PeerAddress(name="entry-2", host="10.9.0.2", question_port=1, digest_port=2)
CONTENT = request_content("same", "owners")
BAD_PART = make_part(7)


class ResetWorld(CutWorld):
    """The open connections of a cut instance are reset one after another."""

    def cut(self, n: int, kind: Cut) -> None:
        self.cuts[n] = kind
        keys = [key for key in self._attempts if key[0] == n]
        for number, key in enumerate(keys):
            del self._attempts[key]
            lost = ResponseLost(key[1], True, "reset", is_closed=True)
            self.schedule(0.001 * (1 + number), partial(self.deliver, n, lost))

    def avoided(self, n: int) -> list[str]:
        """Return the servers that an instance takes for crashed."""
        instance = self.instances[n]
        servers = instance.controller.servers
        crashes = instance.controller.observations.crashes
        return [
            f"engine-{k}"
            for k in range(6)
            if crashes.is_crashed(
                f"engine-{k}", servers.get(f"engine-{k}").entry.born, self.now
            )
        ]

    def quarantined(self) -> set[str]:
        return {c for i in self.instances for c in i.controller.quarantine.contents}


class CutTest(unittest.TestCase):
    """All requests have one body; two of four instances are reset at a cut."""

    def run_cuts(self, kind: str, seed: int) -> ResetWorld:
        world = ResetWorld(4, 6, plain_count=6, seed=seed)
        world.advance(2.0)
        world.request_steadily(24.0, 1.0, kind, "same")
        return world

    def test_no_server_is_avoided_at_peers(self):
        for seed in range(3):
            world = self.run_cuts("chat", seed)
            for _ in range(3):
                for n in (0, 3):
                    world.cut(n, Cut.RESET)
                world.request_steadily(24.0, 0.3, "chat", "same")
                self.assertEqual([world.avoided(n) for n in (1, 2)], [[], []])
                world.request_steadily(24.0, 1.0, "chat", "same")
                for n in (0, 3):
                    world.heal(n)
                world.request_steadily(24.0, 1.0, "chat", "same")
            self.assertEqual(world.quarantined(), set())

    def test_real_crash_among_it_is_found(self):
        world = ResetWorld(4, 6, bad_parts=(BAD_PART,))
        world.advance(2.0)
        for tick in range(40):
            world.schedule(0.2 * tick, partial(world.send, 1 + tick % 2, (BAD_PART,)))
        world.request_steadily(12.0, 1.0)
        for n in (0, 3):
            world.cut(n, Cut.RESET)
        world.request_steadily(12.0, 7.0)
        self.assertEqual(world.quarantined(), {BAD_PART})
        self.assertLess(len(world.forwarded(BAD_PART, 0.0)), 16)

    def test_server_that_restarts_in_the_cut(self):
        """Its crash is one, the resets of the living ones are none."""
        world = self.run_cuts("look", 1)
        world.crash("desk-1")
        for n in (0, 3):
            world.cut(n, Cut.RESET)
        world.request_steadily(24.0, 3.0, "look", "same")
        for n in (0, 3):
            world.heal(n)
        views = world.request_steadily(24.0, 2.0, "look", "same")
        world.advance(2.0)
        self.assertEqual(world.quarantined(), set())
        late = [view.outcome for view in views if view.at > world.now - 3.5]
        self.assertEqual(set(late), {"done"})

    def test_without_peers(self):
        world = ResetWorld(1, 6, plain_count=6)
        world.advance(2.0)
        world.request_steadily(24.0, 1.0, "chat", "same")
        world.cut(0, Cut.RESET)
        world.request_steadily(24.0, 0.3, "chat", "same")
        self.assertEqual(world.avoided(0), [])
        world.heal(0)
        world.request_steadily(24.0, 2.0, "chat", "same")
        self.assertEqual(world.quarantined(), set())

    def test_many_engines_crash_at_one_moment(self):
        for step_s in (2.5, 4.0):
            world = ResetWorld(4, 6)
            world.advance(2.0)
            for _ in range(3):
                world.request_steadily(24.0, 1.0, "chat", "same")
                for n in range(6):
                    world.crash(f"engine-{n}")
                world.request_steadily(24.0, step_s, "chat", "same")
            self.assertEqual(world.quarantined(), set())


class JudgeTest(unittest.TestCase):
    def close(self, judge: LossJudge, *servers: str, sent_at: float = 0.0, now=1.0):
        return [judge.judge_closed("chat", s, 6, sent_at, now) for s in servers]

    def test_most_servers_at_once_are_links(self):
        findings = self.close(LossJudge(), "a", "b", "c", "d")
        self.assertIs(findings[-1].cause, Cause.LINKS)
        self.assertEqual(findings[-1].withdrawn_since, 1.0)

    def test_some_servers_at_once_are_servers(self):
        findings = self.close(LossJudge(), "a", "b", "c")
        self.assertEqual({f.cause for f in findings}, {Cause.SERVER})

    def test_crashes_one_after_another_are_servers(self):
        judge = LossJudge()
        for number, server in enumerate("abcdef"):
            at = 1.0 + 0.06 * number
            [finding] = self.close(judge, server, sent_at=at - 0.055, now=at)
            self.assertIs(finding.cause, Cause.SERVER)

    def test_servers_that_were_down_before_are_not_lost_at_once(self):
        judge = LossJudge()
        for server in "abcd":
            judge.judge_unreached("chat", server, 6, 0.5)
        self.close(judge, "e")
        for server in "abcd":
            finding = judge.judge_unreached("chat", server, 6, 1.01)
            self.assertIs(finding.cause, Cause.SERVER)

    def test_reach_returns_with_a_response(self):
        judge = LossJudge()
        self.close(judge, "a", "b", "c", "d")
        self.assertAlmostEqual(judge.reach(1.1), 1 / 3)
        judge.record_response("chat", "a", 1.5)
        self.assertEqual(judge.reach(1.5), 1.0)


class HeldLossTest(unittest.TestCase):
    """Losses that looked like those of the links."""

    def lose_most(self, table: ContentQuarantine, now: float) -> None:
        for number in range(4):
            table.hold_loss((CONTENT,), f"s-{number}@1.0", now - 0.1, now)

    def test_they_are_no_strikes_until_the_servers_restart(self):
        table = ContentQuarantine()
        for burst in range(3):
            self.lose_most(table, 1.0 + burst)
        self.assertEqual(table.own_crashes(3.1), ())
        self.assertEqual(table.suspects((CONTENT,)), frozenset())
        for number in range(4):
            table.record_start(f"s-{number}", 2.0, 4.0)
        self.assertNotEqual(table.own_crashes(4.1), ())
        self.assertEqual(table.suspects((CONTENT,)), {CONTENT})

    def test_response_or_time_ends_them(self):
        table = ContentQuarantine()
        self.lose_most(table, 1.0)
        table.held_losses.record_response("s-0@1.0")
        table.record_start("s-0", 2.0, 2.0)
        table.record_start("s-1", 1.0, 2.0)
        table.record_start("s-2", 2.0, 7.0)
        self.assertEqual(table.own_crashes(7.0), ())

    def test_they_are_bounded(self):
        table = ContentQuarantine()
        for number in range(1_000):
            table.hold_loss((f"{CONTENT}{number}",), "s-0@1.0", 0.9, 1.0)
        effects = table.record_start("s-0", 2.0, 1.1)
        counted = [e for e in effects if isinstance(e, IncrementCounter)]
        names = [e.name for e in counted]
        self.assertEqual(names.count("route.held_loss_was_crash"), MAX_HELD)


class PeerReportTest(unittest.TestCase):
    """Half of the instances are cut off, and report crashes of all servers."""

    def digest(self, peer: int, number: int, reach: float, crash: str) -> LoadDigest:
        report = CrashReport(
            server=crash, contents=(CONTENT,), sent_age_s=0.1, lost_age_s=0.0
        )
        return LoadDigest(
            sender=evolve(PEER, name=f"p-{peer}"),
            incarnation=1,
            number=number,
            version=1,
            crashes=(report,),
            reach=reach,
        )

    def test_reports_of_cut_off_peers_quarantine_nothing(self):
        for count in (24, 63, 390):
            table = ContentQuarantine()
            now = 1.0
            for peer in range(count // 2):
                now += 0.2
                table.apply_digest(self.digest(peer, 1, 1.0, f"s-{peer % 9}@1"), now)
                now += 0.01
                table.apply_digest(self.digest(peer, 2, 0.3, f"s-{peer % 9}@1"), now)
            self.assertEqual(table.contents, ())
            self.assertEqual(table.suspects((CONTENT,)), frozenset())

    def test_sound_peers_still_count_meanwhile(self):
        table = ContentQuarantine()
        now = 1.0
        for peer in range(3):
            now += 0.2
            table.apply_digest(self.digest(peer, 1, 1.0, f"s-{peer}@1"), now)
            table.apply_digest(self.digest(9, peer, 0.0, f"s-{peer}@1"), now)
        self.assertEqual(table.contents, (CONTENT,))


class ReachTest(unittest.TestCase):
    @given(st.floats(0.0, 1.0))
    def test_digest_keeps_it(self, reach):
        digest = LoadDigest(
            sender=PEER, incarnation=1, number=1, version=1, reach=round(reach, 3)
        )
        self.assertEqual(decode_digest(encode_digest(digest)), digest)

    def test_bad_value_is_dropped_alone(self):
        digest = LoadDigest(
            sender=PEER, incarnation=1, number=1, version=1, reach=0.5, gone=("a@1",)
        )
        rows = orjson.loads(encode_digest(digest))
        for bad in (-1, 2, "x", [], ["x"], [-0.1], [1.5], [True], 0):
            decoded = decode_digest(orjson.dumps([*rows[:-1], bad]))
            self.assertEqual(decoded.reach, 1.0)
            self.assertEqual(decoded.dropped_fields, ("reach",))
            self.assertEqual(decoded.gone, ("a@1",))


if __name__ == "__main__":
    unittest.main()

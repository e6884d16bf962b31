"""Instances hand on what they can not relay in time, to peers that have room."""

import tempfile
import unittest
from collections import Counter
from pathlib import Path

import orjson
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.ports.digest import LoadDigest
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.ports.room import PeerRoom, RelayLimits
from briarrelay_core.ports.route import ResponseLost
from briarrelay_core.routes.cooperation.capacity import (
    HIGH_MARK,
    LOW_MARK,
    RelayCapacity,
)
from briarrelay_core.routes.cooperation.overload import OverloadRelief
from briarrelay_daemon.digestcodec import decode_digest, encode_digest
from briarrelay_platform.settings import read_platform_settings
from properties import test_settings
from properties.routeworld import RouteWorld, start_response
from properties.unevenworld import UnevenWorld

SMALL = RelayLimits(cores=0.5, link_bytes_per_s=1_250_000.0, memory_bytes=200_000_000)

TARGET_S = 0.3
"""Target latency of the route for chats."""

SENDER = PeerAddress(name="entry-2", host="10.9.0.2", question_port=1, digest_port=2)


def late_count(views: list) -> int:
    """Return the number of responses that did not begin within the target."""
    return sum(view.begun_at - view.at > TARGET_S for view in views)


class SettingsTest(unittest.TestCase):
    """What an instance can relay comes from its settings."""

    def read_limits(self, text: str) -> RelayLimits:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(
                f"{test_settings.PlatformSettingsTest.TEXT}[limits]\n{text}\n",
                encoding="utf-8",
            )
            return read_platform_settings(str(path)).entry.relay_limits

    def test_amounts(self):
        limits = self.read_limits(
            "cpu-share = 0.5\ncores = 3\nlink-mbps = 10.0\nmemory-mb = 200"
        )
        self.assertEqual((limits.cores, limits.link_bytes_per_s), (1.5, 1_250_000.0))
        self.assertEqual((limits.memory_bytes, limits.invalid), (200_000_000, ()))

    def test_without_them_it_is_off(self):
        limits = self.read_limits("")
        self.assertFalse(limits.is_known)
        self.assertIsNone(RelayCapacity(limits).room(1.0))

    def test_what_is_no_amount_is_dropped_alone(self):
        for value in ("0", "-1", "inf", "nan", '"much"', "true"):
            for name in ("cpu-share", "cores", "link-mbps"):
                amounts = {"cpu-share": "0.5", "cores": "2", "link-mbps": "10"}
                amounts[name] = value
                limits = self.read_limits(
                    "\n".join(f"{k} = {v}" for k, v in amounts.items())
                )
                self.assertEqual(limits.invalid, (name,))
                self.assertFalse(limits.is_known)
                self.assertEqual(limits.cores is None, name != "link-mbps")


class CapacityTest(unittest.TestCase):
    """Marks, and what counts as in use."""

    def test_overload_lasts_from_the_high_mark_to_the_low_one(self):
        capacity = RelayCapacity(SMALL)
        now, seen = 100.0, []
        for step in range(120):
            for _ in range(80 if step < 40 else 0):
                capacity.record_request(0, now)
            now += 0.1
            effects = capacity.check([], now)
            seen += [(effects[0].event, capacity.part_in_use(now))] if effects else []
        self.assertEqual([s[0] for s in seen], ["overload_begun", "overload_ended"])
        self.assertGreaterEqual(seen[0][1], HIGH_MARK)
        self.assertLessEqual(seen[1][1], LOW_MARK)

    def test_delay_of_the_loop_alone_begins_it(self):
        capacity = RelayCapacity(SMALL)
        for _ in range(20):
            capacity.record_delay(0.1)
        self.assertEqual(capacity.check([], 100.0)[0].event, "overload_begun")
        self.assertEqual(capacity.room(100.0), PeerRoom(0.0, 0.0))

    def test_one_long_pause_does_not(self):
        capacity = RelayCapacity(SMALL)
        capacity.record_delay(30.0)
        self.assertEqual(capacity.check([], 100.0), [])

    def test_bodies_that_the_link_is_sending_fill_it(self):
        world = RouteWorld()
        capacity = world.instance.capacity
        capacity.limits = SMALL
        attempts = [
            world.forwards(world.request("chat", body_bytes=400_000)) for _ in range(4)
        ]
        world.advance(0.15)
        self.assertEqual(capacity.open_bytes, 1_600_000)
        self.assertTrue(capacity.is_overloaded)
        self.assertEqual(capacity.room(world.now), PeerRoom(0.0, 0.0))
        for [forward] in attempts:
            start_response(world, forward.attempt_id)
        world.advance(5.0)
        self.assertEqual(capacity.open_bytes, 0)
        self.assertFalse(capacity.is_overloaded)


class ChoiceTest(unittest.TestCase):
    """Which peers get requests of an overloaded instance."""

    def setUp(self):
        self.world = RouteWorld()
        self.rooms: dict[PeerAddress, PeerRoom] = {}
        capacity = RelayCapacity(SMALL, is_overloaded=True)
        self.relief = OverloadRelief(capacity, "a", lambda *_: [*self.rooms.items()])

    def add(self, name: str, data_centre: str, requests: float) -> None:
        peer = evolve(SENDER, name=name, host=name, data_centre=data_centre)
        self.rooms[peer] = PeerRoom(requests, 1e9)

    def choose(self, **changes) -> str:
        self.world.request("chat", **changes)
        routed = [*self.world.instance.controller.requests.values()][-1]
        routed.attempt_count, routed.active_attempt = 0, None
        peer = self.relief.choose(routed, self.world.now)
        return peer.name if peer else ""

    def test_peers_of_the_own_data_centre_come_first(self):
        self.add("near", "a", 50.0)
        self.add("far", "b", 5_000.0)
        names = Counter(self.choose() for _ in range(60))
        self.assertEqual(set(names), {"near", "far"})
        self.assertGreaterEqual(names["near"], 49)

    def test_they_are_spread_by_room_and_never_beyond_it(self):
        self.add("big", "a", 90.0)
        self.add("small", "a", 30.0)
        names = Counter(self.choose() for _ in range(200))
        self.assertLessEqual(names["big"], 90)
        self.assertLessEqual(names["small"], 30)
        self.assertGreater(names["big"], 2 * names["small"])
        self.assertGreaterEqual(names[""], 80)

    def test_peer_above_its_mark_gets_nothing(self):
        self.add("full", "a", 0.0)
        self.assertEqual(self.choose(), "")

    def test_delegated_request_is_not_passed_on(self):
        self.add("near", "a", 50.0)
        self.assertEqual(self.choose(is_delegated=True), "")

    def test_body_that_the_link_can_not_carry_twice_is_kept(self):
        self.add("near", "a", 50.0)
        self.assertEqual(self.choose(body_bytes=100_000), "near")
        self.assertEqual(self.choose(body_bytes=200_000), "")

    def test_request_that_was_sent_is_kept(self):
        self.add("near", "a", 50.0)
        self.world.request("chat")
        routed = [*self.world.instance.controller.requests.values()][-1]
        self.assertIsNone(self.relief.choose(routed, self.world.now))


class CrowdTest(unittest.TestCase):
    """A crowd comes to one small instance beside large ones."""

    CORES = [0.25, 2.0, 2.0, 2.0]

    def run_crowd(self, world: UnevenWorld, per_s: float = 160.0) -> list:
        world.advance(2.0)
        views = []
        for number in range(int(4.0 * per_s)):
            world.schedule(
                number / per_s, lambda: views.append(world.send(0, (), "chat"))
            )
        world.advance(4.0)
        world.advance(10.0)
        return views

    def test_late_without_and_in_time_with(self):
        before = self.run_crowd(UnevenWorld(self.CORES, is_relieved=False))
        world = UnevenWorld(self.CORES)
        after = self.run_crowd(world)
        self.assertGreater(late_count(before), len(before) / 2)
        self.assertLess(late_count(after), len(after) / 20)
        self.assertTrue(all(view.outcome == "done" for view in after))
        self.assertTrue(all(len(view.sent_at) == 1 for view in after))
        peers = Counter(delegated.peer for delegated in world.delegated.values())
        # That of the own data centre has room for all, once it has named it.
        self.assertGreater(peers[3], 0.9 * len(world.delegated))
        self.assertTrue(world.events_logged("overload_begun"))
        self.assertTrue(world.events_logged("overload_ended"))

    def test_quiet_instances_hand_on_nothing(self):
        world = UnevenWorld(self.CORES)
        self.run_crowd(world, per_s=20.0)
        self.assertEqual(world.delegated, {})

    def test_room_is_named_only_while_an_instance_is_overloaded(self):
        world = UnevenWorld(self.CORES)
        world.advance(2.0)
        self.assertEqual(world.named, set())
        self.run_crowd(world)
        self.assertEqual(world.named, {0, 1, 2, 3})
        world.named.clear()
        world.advance(3.0)
        self.assertEqual(world.named, set())

    def test_older_builds_get_nothing(self):
        world = UnevenWorld(self.CORES)
        world.without_room = {1, 3}
        self.run_crowd(world)
        self.assertEqual({d.peer for d in world.delegated.values()}, {2})

    def test_peers_that_are_not_heard_get_nothing(self):
        world = UnevenWorld(self.CORES)
        world.advance(2.0)
        world.mute = {1, 2, 3}
        world.advance(1.6)
        views = self.run_crowd(world)
        self.assertEqual(world.delegated, {})
        self.assertTrue(views)

    def test_all_full_keep_their_own(self):
        world = UnevenWorld([0.25] * 4)
        world.advance(2.0)
        for instance in world.instances:
            instance.capacity.is_overloaded = True
            instance.capacity.delay_s = 10.0
            instance.capacity.has_urgent_change = True
        world.advance(0.15)
        self.assertTrue(all(i.capacity.is_overloaded for i in world.instances))
        for n in range(4):
            for _ in range(5):
                world.send(n, (), "chat")
        world.advance(3.0)
        self.assertEqual(world.delegated, {})
        self.assertTrue(all(v.outcome == "done" for v in world.views.values()))

    def test_peer_that_is_lost_halfway(self):
        world = UnevenWorld(self.CORES)
        world.advance(2.0)
        world.instances[0].capacity.is_overloaded = True
        world.instances[0].capacity.delay_s = 10.0
        world.instances[0].capacity.has_urgent_change = True
        world.advance(0.3)
        self.assertTrue(world.instances[0].capacity.is_overloaded)
        view = world.send(0, (), "chat")
        world.advance(0.01)
        [delegated] = world.delegated.values()
        self.assertEqual(delegated.request.max_attempts, 1)
        world.deliver(0, ResponseLost(delegated.attempt_id, True, "", is_closed=True))
        world.advance(5.0)
        self.assertEqual(view.outcome, "done")
        self.assertEqual(len(world.delegated), 1)


class MessageTest(unittest.TestCase):
    """The field of a digest."""

    def make_digest(self, **fields) -> LoadDigest:
        return LoadDigest(sender=SENDER, incarnation=1, number=1, version=1, **fields)

    @given(st.integers(0, 10**6), st.integers(0, 10**12))
    def test_room_is_read_as_written(self, requests_per_s, bytes_per_s):
        digest = self.make_digest(room=PeerRoom(requests_per_s, bytes_per_s))
        self.assertEqual(decode_digest(encode_digest(digest)), digest)

    def test_digest_without_room_is_unchanged(self):
        fields = orjson.loads(encode_digest(self.make_digest()))
        self.assertEqual(len(fields), 11)

    def test_bad_room_is_dropped_alone(self):
        written = encode_digest(
            self.make_digest(cut_off=("llm",), room=PeerRoom(77, 88))
        )
        for bad in (b"[-1,88]", b'["a",1]', b"[1]", b"[true,1]", b'"x"', b"[null,2]"):
            digest = decode_digest(written.replace(b"[77,88]", bad))
            self.assertIsNone(digest.room)
            self.assertEqual(digest.dropped_fields, ("room",))
            self.assertEqual(digest.cut_off, ("llm",))


if __name__ == "__main__":
    unittest.main()

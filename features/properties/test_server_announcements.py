"""What backend servers announce in their responses: shutdown, and pauses."""

import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from briarrelay_core.ports.digest import DigestReceived, LoadDigest, SendDigest
from briarrelay_core.ports.directory import PeerAddress, Topic, TopicChange
from briarrelay_core.ports.route import (
    MAX_PAUSE_S,
    AbortAttempt,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    SendErrorResponse,
    ServerAnnouncement,
)
from briarrelay_platform.dialect import PlatformDialect
from properties.routeworld import RouteWorld, engine_names, start_response

PEER = PeerAddress(name="entry-2", host="10.9.0.2", question_port=1, digest_port=2)


def refuse(world: RouteWorld, attempt_id: int, pause_s: float = 0.0, **fields) -> list:
    """Deliver a refusal of a backend server, which may name a pause."""
    head = ResponseHead(
        attempt_id=attempt_id,
        kind=ResponseKind.NOT_RUN,
        status=503,
        pause_s=pause_s,
        **fields,
    )
    return world.deliver(head)


class LeavingHeaderTest(unittest.TestCase):
    """A server that announces its shutdown in a response gets no new requests."""

    def check_unused(self, world: RouteWorld, server: str) -> None:
        for _ in range(12):
            for forward in world.forwards(world.request("chat")):
                self.assertNotEqual(forward.server, server)

    def test_each_kind_of_response_marks_the_server(self):
        for kind in ResponseKind:
            if kind is ResponseKind.OTHER_SERVER:
                continue
            with self.subTest(kind=kind):
                world = RouteWorld()
                forward = world.forwards(world.request("chat"))[0]
                head = ResponseHead(
                    attempt_id=forward.attempt_id,
                    kind=kind,
                    status=200,
                    is_stream=True,
                    is_leaving=True,
                )
                world.deliver(head)
                self.check_unused(world, forward.server)

    def test_response_to_an_order_marks_the_server(self):
        world = RouteWorld()
        entry = world.instance.controller.servers.get("engine-2").entry
        world.deliver(ServerAnnouncement(entry.address, is_leaving=True))
        self.check_unused(world, "engine-2")

    def test_running_stream_ends_at_the_leaving_server(self):
        world = RouteWorld()
        forward = world.forwards(world.request("chat"))[0]
        head = ResponseHead(
            attempt_id=forward.attempt_id,
            kind=ResponseKind.SUCCESS,
            status=200,
            is_stream=True,
            is_leaving=True,
        )
        effects = world.deliver(head)
        effects += world.deliver(ResponseEvent(forward.attempt_id, "1", b"1"))
        effects += world.advance(0.3)
        effects += world.deliver(ResponseComplete(forward.attempt_id))
        self.assertEqual(world.of_type(effects, AbortAttempt), [])
        self.assertEqual(len(world.forwards()), 1)

    def test_peers_are_notified_at_once(self):
        world = RouteWorld()
        world.instance.peers.add(PEER)
        world.advance(1.0)
        forward = world.forwards(world.request("chat"))[0]
        world.advance(0.2)
        effects = refuse(world, forward.attempt_id, is_leaving=True)
        digests = [e.digest for e in world.of_type(effects, SendDigest)]
        self.assertTrue(digests)
        self.assertIn(f"{forward.server}@1.0", digests[-1].leaving)

    def test_entry_does_not_bring_the_same_incarnation_back(self):
        world = RouteWorld()
        forward = world.forwards(world.request("chat"))[0]
        refuse(world, forward.attempt_id, is_leaving=True)
        entry = world.instance.controller.servers.get(forward.server).entry
        world.advance(70.0)
        world.deliver_changes(Topic.SERVERS, TopicChange(entry.name, entry))
        self.check_unused(world, entry.name)
        restarted = evolve(entry, born=2.0)
        world.deliver_changes(Topic.SERVERS, TopicChange(entry.name, restarted))
        self.assertIn(entry.name, engine_names(world))

    def test_late_response_of_an_earlier_incarnation_is_ignored(self):
        world = RouteWorld()
        forward = world.forwards(world.request("chat"))[0]
        entry = world.instance.controller.servers.get(forward.server).entry
        restarted = evolve(entry, born=2.0)
        world.deliver_changes(Topic.SERVERS, TopicChange(entry.name, restarted))
        refuse(world, forward.attempt_id, is_leaving=True)
        self.assertIn(entry.name, engine_names(world))


class PauseTest(unittest.TestCase):
    """A server that refuses with a time gets no requests until it has passed."""

    def test_paused_server_gets_nothing_until_the_time_has_passed(self):
        world = RouteWorld(engines=3)
        forward = world.forwards(world.request("chat"))[0]
        retried = world.forwards(refuse(world, forward.attempt_id, pause_s=4.0))[0]
        start_response(world, retried.attempt_id)
        world.deliver(ResponseComplete(retried.attempt_id))
        paused_at = world.now
        used_at = []
        for _ in range(90):
            world.advance(0.1)
            for sent in world.forwards(world.request("chat")):
                if sent.server == forward.server:
                    used_at.append(world.now - paused_at)
                start_response(world, sent.attempt_id)
                world.deliver(ResponseComplete(sent.attempt_id))
        self.assertGreaterEqual(min(used_at), 4.0)
        self.assertLess(min(used_at), 5.6)

    def test_one_request_is_sent_first(self):
        world = RouteWorld(engines=1)
        forward = world.forwards(world.request("chat"))[0]
        refuse(world, forward.attempt_id, pause_s=0.6)
        world.advance(0.2)
        for _ in range(6):
            world.request("chat")
        effects = world.advance(1.0)
        first = world.forwards(effects)
        self.assertEqual(len(first), 1)
        start_response(world, first[0].attempt_id)
        self.assertGreater(len(world.forwards(world.advance(0.2))), 1)

    def test_pause_is_no_failure_of_the_server(self):
        world = RouteWorld(engines=3)
        for _ in range(6):
            sent = world.forwards(world.request("chat"))
            while sent:
                sent = world.forwards(refuse(world, sent[0].attempt_id, pause_s=0.1))
            world.advance(0.3)
        health = world.instance.controller.observations.health
        for name in engine_names(world):
            self.assertTrue(health.admits(name, "1", world.now))

    def test_callers_are_told_when_the_servers_are_back(self):
        """Every server is paused for longer than the request can wait."""
        world = RouteWorld(engines=1)
        forward = world.forwards(world.request("chat"))[0]
        effects = refuse(world, forward.attempt_id, pause_s=9.0)
        effects += world.request("chat")
        answers = world.of_type(effects, SendErrorResponse)
        self.assertEqual(len(answers), 2)
        for answer in answers:
            self.assertEqual(answer.outcome.tag, "not_run")
            self.assertGreaterEqual(answer.outcome.retry_after, 9.0)

    def test_request_waits_for_a_short_pause(self):
        world = RouteWorld(engines=1)
        forward = world.forwards(world.request("chat"))[0]
        refuse(world, forward.attempt_id, pause_s=0.3)
        effects = world.request("chat")
        self.assertEqual(world.of_type(effects, SendErrorResponse), [])
        self.assertTrue(world.forwards(world.advance(0.8)))

    def test_events_of_a_running_stream_do_not_end_the_pause(self):
        world = RouteWorld(engines=1)
        first = world.forwards(world.request("chat"))[0]
        start_response(world, first.attempt_id)
        second = world.forwards(world.request("chat"))[0]
        refuse(world, second.attempt_id, pause_s=2.0)
        world.deliver(ResponseEvent(first.attempt_id, "2", b"2"))
        self.assertEqual(world.forwards(world.request("chat")), [])

    def test_pause_reported_by_a_peer_is_only_a_preference(self):
        world = RouteWorld(engines=2)
        digest = LoadDigest(
            sender=PEER, incarnation=1, number=1, version=1, paused={"engine-1": 5.0}
        )
        world.deliver(DigestReceived(digest))
        used = {world.forwards(world.request("chat"))[0].server for _ in range(4)}
        self.assertEqual(used, {"engine-2"})
        entry = world.instance.controller.servers.get("engine-2").entry
        world.deliver(ServerAnnouncement(entry.address, is_leaving=True))
        self.assertEqual(world.forwards(world.request("chat"))[0].server, "engine-1")

    @given(st.text(max_size=12) | st.floats(allow_nan=True).map(str))
    def test_any_value_of_the_header_gives_a_bounded_pause(self, text):
        headers = {"retry-after": text, "x-not-executed": "1"}
        head = PlatformDialect().read_head(503, headers, 1)
        self.assertTrue(0.0 <= head.pause_s <= MAX_PAUSE_S)
        self.assertFalse(head.pause_s and head.problem and head.pause_s < MAX_PAUSE_S)

    def test_invalid_values_are_logged(self):
        for text in ("soon", "-1", "nan", "inf", "1e9", "0x10", ""):
            head = PlatformDialect().read_head(503, {"retry-after": text}, 1)
            self.assertTrue(head.problem, text)
            world = RouteWorld()
            forward = world.forwards(world.request("chat"))[0]
            effects = world.deliver(evolve(head, attempt_id=forward.attempt_id))
            events = [getattr(effect, "event", "") for effect in effects]
            self.assertIn("header_bad", events)

    def test_only_a_refusal_pauses_its_server(self):
        for status in (200, 429, 500):
            head = PlatformDialect().read_head(status, {"retry-after": "5"}, 1)
            self.assertEqual(head.pause_s, 0.0)


if __name__ == "__main__":
    unittest.main()

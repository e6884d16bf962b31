"""Reads of the store beside others: when they come, and what their changes do."""

import unittest
from errno import EMFILE
from time import monotonic
from types import SimpleNamespace
from unittest.mock import patch

from briarrelay_core.ports.directory import (
    ListTopic,
    ReadTopic,
    Topic,
    TopicChange,
    TopicFailed,
    TopicListed,
    TopicPolled,
    TopicRead,
)
from briarrelay_core.routes.follower import OVERDUE_S, TopicFollower
from briarrelay_core.routes.storereads import MIN_READ_INTERVAL_S, read_interval_s
from briarrelay_core.timers import TimerService
from briarrelay_daemon import httpcall
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.reactor import Reactor
from briarrelay_daemon.settings import Address
from briarrelay_platform.records import READ_HEADER, encode_keyed_record
from briarrelay_platform.store import StorePort
from properties.directoryworld import DirectoryWorld
from properties.routeworld import make_entry

START_S = 100.0
PAUSE_S = 0.9


def change(name: str) -> TopicChange:
    return TopicChange(name, make_entry(name, "llm"))


class FollowerTest(unittest.TestCase):
    """One follower of the servers topic, whose timers are run by the test."""

    def begin(self, **options) -> TopicFollower:
        self.timers = TimerService()
        follower = TopicFollower(Topic.SERVERS, self.timers, PAUSE_S, 0.0, **options)
        follower.start(START_S)
        follower.on_listed(TopicListed(Topic.SERVERS, (), 5, False), START_S)
        return follower

    def test_changes_of_a_check_are_applied_while_the_topic_is_listed_again(self):
        """Requests that are held until the check would be served by older data."""
        follower = self.begin(read_delay_s=lambda offset, now: -1.0)
        follower.last_response_at = START_S - 60.0
        (listing,) = follower._read_if_needed(START_S)
        self.assertIsInstance(listing, ListTopic)
        polled = TopicPolled(Topic.SERVERS, (change("engine-1"),), end=6)
        changes, effects = follower.on_polled(polled, START_S)
        self.assertEqual([change("engine-1")], changes)
        self.assertEqual([], effects)

    def test_next_read_follows_the_age_of_the_newest_read_by_a_peer(self):
        """It was a whole pause after a read that a change had caused."""
        follower = self.begin(read_delay_s=lambda offset, now: 0.1)
        follower.on_read(TopicRead(Topic.SERVERS, (), 5), START_S)
        self.assertAlmostEqual(START_S + 0.1, self.timers.next_due)

    def test_check_with_older_changes_than_the_read_itself_is_dropped(self):
        """They would undo what came after them."""
        follower = self.begin()
        follower.on_read(TopicRead(Topic.SERVERS, (change("engine-1"),), 6), START_S)
        polled = TopicPolled(Topic.SERVERS, (change("engine-1"),), end=6)
        self.assertEqual(([], []), follower.on_polled(polled, START_S))

    def test_response_that_comes_after_its_replacement_is_dropped(self):
        follower = self.begin()
        follower._send_request(START_S)
        polled = TopicPolled(Topic.SERVERS, (change("engine-1"),), end=6)
        changes, _ = follower.on_polled(polled, START_S)
        self.assertEqual([change("engine-1")], changes)
        late = TopicRead(Topic.SERVERS, (), 5)
        self.assertEqual(([], []), follower.on_read(late, START_S))
        self.assertEqual(6, follower.next_offset)

    def test_read_that_does_not_hold_all_changes_goes_on_at_once(self):
        """It was announced as one after which all changes are known."""
        follower = self.begin()
        read = TopicRead(Topic.SERVERS, (change("engine-1"),), 6, has_more=True)
        _, effects = follower.on_read(read, START_S + 1.0)
        self.assertEqual([ReadTopic(Topic.SERVERS, 6, 0.0)], effects)
        self.assertEqual(START_S, follower.current_at)

    def test_overdue_read_is_repeated_once_on_a_new_connection(self):
        follower = self.begin()
        (read,) = follower._send_request(START_S)
        self.assertIsInstance(read, ReadTopic)
        _, poll = self.timers.run_due(START_S + OVERDUE_S)
        self.assertTrue(poll.needs_new_connection)
        self.assertEqual(read.start, poll.start)
        follower.on_read(TopicRead(Topic.SERVERS, (), 5), START_S + OVERDUE_S)
        self.assertEqual([], self.timers.run_due(START_S + OVERDUE_S + 0.1))


class ReadIntervalTest(unittest.TestCase):
    def test_interval_follows_the_smaller_bound(self):
        self.assertEqual(0.9, read_interval_s(2.0, 4.0))
        self.assertEqual(0.9, read_interval_s(4.0, 2.0))

    def test_bound_of_zero_does_not_make_reads_follow_without_a_pause(self):
        self.assertEqual(MIN_READ_INTERVAL_S, read_interval_s(0.0, 2.0))
        self.assertEqual(MIN_READ_INTERVAL_S, read_interval_s(2.0, 0.0))

    def test_version_is_in_force_within_a_shorter_bound(self):
        world = DirectoryWorld(5, 6, apply_s=1.0)
        world.advance(6.0)
        world.configure(60, is_lost=True)
        world.advance(1.0)
        self.assertEqual([60] * 5, world.active_versions())


class _RaisingHost:
    """Host whose core raises when it handles a listing; it records the rest."""

    def __init__(self):
        self.messages: list = []
        self.performers: dict = {}

    def register(self, effect_class: type, perform) -> None:
        self.performers[effect_class] = perform

    def dispatch(self, message) -> None:
        if isinstance(message, TopicListed):
            raise RecursionError
        self.messages.append(message)


class StorePortTest(unittest.TestCase):
    def test_response_that_ends_before_its_topic_has_more(self):
        """A response holds 1 MB; of hundreds of servers that is some seconds."""
        for end, has_more in ((6, False), (9, True)):
            host, sinks = _RaisingHost(), []

            def call(address, method, target, sink, sinks=sinks, **_):
                sinks.append(sink)
                return SimpleNamespace(problem="")

            settings = SimpleNamespace(address=Address("127.0.0.1", 9))
            StorePort(host, SimpleNamespace(call=call), settings)
            host.performers[ReadTopic](ReadTopic(Topic.SERVERS, 5, 0.0))
            record = encode_keyed_record("engine-1", b"")
            sinks[0].on_head(200, {})
            sinks[0].on_data(READ_HEADER.pack(end, 0) + record)
            sinks[0].on_end()
            self.assertEqual(has_more, host.messages[0].has_more)

    def test_topic_whose_response_raises_is_read_again(self):
        """Without an outcome the follower would wait for ever."""
        host, sinks = _RaisingHost(), []

        def call(address, method, target, sink, **_):
            sinks.append(sink)
            return SimpleNamespace(problem="")

        settings = SimpleNamespace(address=Address("127.0.0.1", 9))
        StorePort(host, SimpleNamespace(call=call), settings)
        host.performers[ListTopic](ListTopic(Topic.SERVERS))
        sinks[0].on_head(200, {})
        sinks[0].on_data(b'{"items":[],"end":0,"has-more":false}')
        with self.assertRaises(RecursionError):
            sinks[0].on_end()
        self.assertIsInstance(host.messages[0], TopicFailed)

    def test_topic_is_read_again_when_no_connection_can_be_made(self):
        """No descriptor was free once, and the topic was not read any more."""
        host, reactor = _RaisingHost(), Reactor(monotonic)
        settings = SimpleNamespace(address=Address("127.0.0.1", 9))
        StorePort(host, HttpClient(reactor), settings)
        error = OSError(EMFILE, "too many open files")
        with patch.object(httpcall.socket, "socket", side_effect=error):
            host.performers[ReadTopic](ReadTopic(Topic.SERVERS, 5, 0.0))
            reactor.run_deferred()
        (failed,) = host.messages
        self.assertIsInstance(failed, TopicFailed)
        self.assertIn("too many open files", failed.problem)


if __name__ == "__main__":
    unittest.main()

"""Follows a topic of the platform's store: lists it, then reads its changes."""

from collections.abc import Callable

from attrs import define, evolve, field

from briarrelay_core.ports.directory import (
    ListTopic,
    PollTopic,
    ReadTopic,
    Topic,
    TopicChange,
    TopicExpired,
    TopicFailed,
    TopicListed,
    TopicPolled,
    TopicRead,
)
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.timers import Timer, TimerService

__all__ = ["MAX_SKIP_S", "TopicFollower"]

FIRST_BACKOFF_S = 0.15
"""Seconds before the first retry; the store responds within some milliseconds."""

MAX_BACKOFF_S = 0.8
"""Longest pause between retries, so that changes are seen within a second of
recovery."""


PEER_CHECK_S = 0.2
"""Maximum seconds between checks whether peers still make a read unnecessary."""

OVERDUE_S = 0.4
"""Seconds without a response after which a read that does not wait is repeated beside
the first one; a slow store takes some hundred ms."""

RELIST_AFTER_S = 5.0
"""Seconds without a read after which listing the topic is cheaper than reading all
changes."""

MAX_SKIP_S = 15.0
"""Seconds without a read of the topic by this instance after which it reads although
peers report no changes."""


@define(slots=True)
class TopicFollower:
    """Keeps exactly one request to the platform in flight for one topic.

    Reads beside it (:class:`PollTopic`) detect that it is dead, and replace it.

    :param pause_s: seconds between reads; 0 for long polls.
    :param wait_s: seconds that a long poll may wait for changes.
    :param read_delay_s: called with the offset of the next record and the time; returns
        the seconds for which reads by peers make a read unnecessary.
    :param max_skip_s: seconds for which reads by peers replace own ones.
    :param last_type: type of the values of a listing that are applied at its end,
        None if each is applied with its own page.
    :ivar is_listed: a listing has been completed.
    :ivar last_response_at: time of the platform's last response.
    :ivar current_at: time up to which all changes are known; for a listing that of its
        first page, once it is complete.
    :ivar heard_at: time of its last response to a listing, a read or a long poll; those
        to reads beside a long poll do not count.
    :ivar failing_since: time of the first of the current consecutive failures, None
        without any.
    :ivar recovered_at: time of the first response after the last failures.
    :ivar generation: number of restarts; responses to earlier requests are ignored.
    :ivar _is_listing_copy: the current listing is the first after the store returned to
        a copy.
    :ivar _timer: start of the next request, None if none is scheduled.
    :ivar _overdue_timer: when the request in flight is overdue, None if it may wait.
    :ivar _next_offset: offset of the next record to read, None before a listing.
    :ivar _listing_at: time of the first page of the current listing.
    :ivar _listed_keys: keys on the pages of the current listing so far.
    :ivar _held: changes of the listing so far that are applied with its last page.
    :ivar _known_keys: keys that exist, as of the last response, and before the first
        listing those that peers know.
    :ivar _failures: number of consecutive failures.
    """

    topic: Topic
    timers: TimerService
    pause_s: float
    wait_s: float
    read_delay_s: Callable[[int, float], float] | None = None
    max_skip_s: float = MAX_SKIP_S
    last_type: type | None = None
    is_listed: bool = False
    last_response_at: float = float("-inf")
    current_at: float = float("-inf")
    heard_at: float = float("-inf")
    failing_since: float | None = None
    recovered_at: float = float("-inf")
    generation: int = 0
    _is_listing_copy: bool = False
    _timer: Timer | None = None
    _overdue_timer: Timer | None = None
    _next_offset: int | None = None
    _listing_at: float = float("-inf")
    _listed_keys: set[str] = field(factory=set)
    _held: list[TopicChange] = field(factory=list)
    _known_keys: set[str] = field(factory=set)
    _failures: int = 0

    def start(self, now: float) -> list:
        """Start to follow the topic."""
        return [self._list()]

    def restart(self) -> list:
        """List the topic again, since the store has returned to a copy.

        Responses to requests that were sent before are ignored.
        """
        self._is_listing_copy = self.is_listed
        return self._list_anew()

    def _list_anew(self) -> list:
        """List the topic, and ignore the responses to earlier requests."""
        self._start_generation()
        return [self._list()]

    def _start_generation(self) -> None:
        """Ignore the responses to earlier requests, and send no scheduled one."""
        self.generation += 1
        self._cancel_overdue()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _list(self, after: str = "") -> ListTopic:
        if not after:
            self._next_offset = None
            self._listed_keys = set()
            self._held = []
        return ListTopic(self.topic, after, self.generation)

    def on_listed(self, page: TopicListed, now: float) -> tuple[list, list]:
        """Handle a page of a listing; return changes to apply and effects."""
        if page.generation != self.generation:
            return [], []
        effects = self._record_response(now)
        if self._next_offset is None:
            self._next_offset, self._listing_at = page.end, now
        changes = list(page.changes)
        self._listed_keys.update(change.key for change in changes)
        if page.has_more and changes:
            next_page = self._list(changes[-1].key)
            return self._mark_copy(self._hold(changes)), [*effects, next_page]
        changes = self._hold(changes)
        gone = self._known_keys - self._listed_keys
        # Each record that deleted one of them comes before the end.
        changes += [TopicChange(key, None, position=page.end) for key in sorted(gone)]
        changes = self._mark_copy(changes + self._held)
        self._held = []
        self._is_listing_copy = False
        self._known_keys = self._listed_keys
        self._listed_keys = set()
        self.is_listed = True
        self.current_at = self._listing_at
        return changes, effects + self._schedule_read(now)

    def _hold(self, changes: list[TopicChange]) -> list[TopicChange]:
        """Keep the changes that are applied last; return the others."""
        if self.last_type is None:
            return changes
        held = [c for c in changes if isinstance(c.value, self.last_type)]
        self._held += held
        return [change for change in changes if change not in held]

    def _mark_copy(self, changes: list[TopicChange]) -> list[TopicChange]:
        if not self._is_listing_copy:
            return changes
        return [evolve(change, is_from_copy=True) for change in changes]

    def on_read(self, read: TopicRead, now: float) -> tuple[list, list]:
        """Handle the response to a read; return changes to apply and effects."""
        if read.generation != self.generation:
            return [], []
        effects = self._record_response(now)
        self._advance(read.changes, read.end)
        if read.has_more:
            return list(read.changes), effects + self._send_request(now)
        self.current_at = now
        return list(read.changes), effects + self._schedule_read(now)

    def _advance(self, changes: tuple[TopicChange, ...], end: int) -> None:
        """Go on after changes that were read."""
        self._next_offset = end
        self._record_keys(changes)

    def _record_keys(self, changes: tuple[TopicChange, ...]) -> None:
        """Update the keys that exist."""
        for change in changes:
            if change.value is None:
                self._known_keys.discard(change.key)
            else:
                self._known_keys.add(change.key)

    def add_known_key(self, key: str) -> None:
        """Record a key that was learnt from a peer, so that a listing can lack it."""
        self._known_keys.add(key)

    @property
    def known_keys(self) -> frozenset[str]:
        """Keys that exist, as of the last complete response."""
        return frozenset(self._known_keys)

    @property
    def next_offset(self) -> int | None:
        """Offset of the next record to read, None if a listing has to come first."""
        return self._next_offset if self.is_listed else None

    def on_polled(
        self, polled: TopicPolled, now: float
    ) -> tuple[list[TopicChange], list]:
        """Handle the response to a read that was sent beside another one.

        If it has changes, the response to the other, mostly a long poll, is lost or
        late. Then a new request takes its place, so that later changes are not missed
        as well.

        :returns: changes to apply and effects.
        """
        if polled.generation != self.generation:
            return [], []
        self.last_response_at = now
        if not polled.has_more:
            self.current_at = now
        changes = list(polled.changes)
        if not changes or polled.end is None:
            return changes, []
        if self._next_offset is None:  # it is being listed again
            self._record_keys(polled.changes)
            return changes, []
        if polled.end <= self._next_offset:
            return [], []  # the other was faster
        self._start_generation()
        self._advance(polled.changes, polled.end)
        fields = (
            ("topic", self.topic.value),
            ("unheard_s", f"{now - self.heard_at:.2f}"),
        )
        return changes, [
            LogEvent("warning", "store_read_replaced", fields=fields),
            IncrementCounter("store.read_replaced"),
            *self._schedule_read(now),
        ]

    def repeat_read(self, now: float) -> list:
        """Read on a new connection beside a read that has no response.

        Nothing is sent before the first listing, or while the store fails.
        """
        if self.next_offset is None or self.failing_since is not None:
            return []
        poll = PollTopic(self.topic, self._next_offset, self.generation, True)
        return [IncrementCounter("store.read_repeated"), poll]

    def on_expired(self, expired: TopicExpired, now: float) -> list:
        """List the topic again, since the store has not the records to read next.

        The read may have been sent beside a long poll, which is then ignored.
        """
        if expired.generation != self.generation:
            return []
        log_event = LogEvent(
            "warning", "topic_expired", fields=(("topic", self.topic.value),)
        )
        return [log_event, *self._record_response(now), *self._list_anew()]

    def on_failed(self, failed: TopicFailed, now: float) -> list:
        """Schedule a retry with exponential backoff."""
        if failed.generation != self.generation:
            return []
        self._cancel_overdue()
        effects = []
        if self.failing_since is None:
            self.failing_since = now
            fields = (("topic", self.topic.value), ("problem", failed.problem))
            effects.append(LogEvent("warning", "store_lost", fields=fields))
        pause = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self._failures)
        self._failures += 1
        if self._listed_keys:
            self._next_offset = None
        self._timer = self.timers.at(now + pause, self._send_request)
        return effects

    def mark_stale(self) -> None:
        """Treat what is known as out of date."""
        self.last_response_at = self.current_at = float("-inf")

    def may_be_stale(self, now: float, margin_s: float) -> bool:
        """Return whether changes may have been missed.

        :param margin_s: seconds by which a response may be overdue.
        """
        return now - self.last_response_at > margin_s + self.wait_s + self.pause_s

    def _schedule_read(self, now: float) -> list:
        if not self.pause_s:
            return self._send_request(now)
        pause_s = self.pause_s
        if self.read_delay_s is not None:
            delay_s = self.read_delay_s(self._next_offset, now)
            # A read of peers that ages earlier makes a read necessary earlier.
            pause_s = min(pause_s, delay_s) if delay_s > 0 else pause_s
        self._timer = self.timers.at(now + pause_s, self._read_if_needed)
        return []

    def _read_if_needed(self, now: float) -> list:
        """Send a read, unless peers that read recently report no changes."""
        if self.read_delay_s is None:
            return self._send_request(now)
        delay_s = self.read_delay_s(self._next_offset, now)
        if delay_s > 0 and now - self.last_response_at < self.max_skip_s:
            check_at = now + min(delay_s, PEER_CHECK_S)
            self._timer = self.timers.at(check_at, self._read_if_needed)
            return []
        if now - self.last_response_at > RELIST_AFTER_S:
            self._next_offset = None
        return self._send_request(now)

    def _send_request(self, now: float) -> list:
        if self._next_offset is None or not self.is_listed:
            return [self._list()]
        if not self.wait_s:
            self._overdue_timer = self.timers.at(now + OVERDUE_S, self.repeat_read)
        return [ReadTopic(self.topic, self._next_offset, self.wait_s, self.generation)]

    def _cancel_overdue(self) -> None:
        if self._overdue_timer is not None:
            self._overdue_timer.cancel()
            self._overdue_timer = None

    def _record_response(self, now: float) -> list:
        self._cancel_overdue()
        self.last_response_at = self.heard_at = now
        self._failures = 0
        if self.failing_since is None:
            return []
        fields = (
            ("topic", self.topic.value),
            ("lost_s", f"{now - self.failing_since:.2f}"),
        )
        self.failing_since = None
        self.recovered_at = now
        return [LogEvent("info", "store_regained", fields=fields)]

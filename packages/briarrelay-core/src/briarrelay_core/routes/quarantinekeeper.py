"""Keeps the quarantined contents in the platform's store.

Digests spread a quarantine among instances; the store carries it over the loss of all
of them. The instance that found a content writes it. That instance and the first one by
name delete it when it ends, since the writer may be gone by then. The topic is listed
at the start and when the store has returned to a copy. It is not followed, since each
read is charged; while a content is quarantined, the first instance by name lists it now
and then, for releases by operators and for contents whose writer failed.
"""

from collections import OrderedDict
from collections.abc import Callable

from attrs import define, field

from briarrelay_core.ports.directory import ListTopic, Topic, TopicFailed, TopicListed
from briarrelay_core.ports.quarantine import (
    QuarantineRecord,
    QuarantineWritten,
    WriteQuarantine,
)
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.routes.quarantine import QUARANTINE_S, ContentQuarantine
from briarrelay_core.routes.storeera import StoreEra
from briarrelay_core.timers import TimerService

__all__ = ["QuarantineKeeper"]

FIRST_BACKOFF_S = 0.25
"""Seconds before the first retry of a call that failed."""

MAX_BACKOFF_S = 4.0
"""Longest pause in seconds between retries; each call is charged."""

RELIST_S = 10.0
"""Seconds between listings while a content is quarantined, by one instance."""

MAX_PENDING = 256
"""Number of contents that wait to be written or deleted; beyond it the oldest goes."""

MAX_RESTORED = 256
"""Number of contents of a listing that are quarantined; another writer may add more."""


@define(slots=True)
class _Backoff:
    """Pauses between the retries of one kind of call.

    :ivar _failures: number of consecutive failures.
    """

    _failures: int = 0

    def reset(self) -> None:
        """Start over, after a success."""
        self._failures = 0

    def next_pause_s(self) -> float:
        """Return the seconds before the next retry."""
        pause_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        return pause_s


@define(slots=True, eq=False)
class QuarantineKeeper:
    """Writes quarantined contents to the store, and restores those that it lists.

    :param rank: returns the number of live peers whose names sort before this instance.
    :ivar generation: number of listings that were begun; responses to earlier ones are
        ignored.
    :ivar _is_listing: a listing has begun and is not complete.
    :ivar _has_listed: a listing has been completed.
    :ivar _listed_at: time at which the last listing was complete, or at which the first
        content was quarantined since then.
    :ivar _listed: contents on the pages of the current listing so far.
    :ivar _held_before: contents that were quarantined when the current listing began.
    :ivar _held: contents that were quarantined at the last check.
    :ivar _owned: those of them that this instance found.
    :ivar _ended: contents whose quarantine ended here, and when.
    :ivar _deleted: those of them that this instance has deleted, or tried to.
    :ivar _pending: contents to write (True) or delete (False), the oldest first.
    :ivar _in_flight: the write or deletion that has no response yet, None for none.
    :ivar _is_retry_scheduled: the last call failed, and the next is scheduled.
    """

    quarantine: ContentQuarantine
    era: StoreEra
    timers: TimerService
    rank: Callable[[float], int]
    generation: int = 0
    _is_listing: bool = False
    _has_listed: bool = False
    _listed_at: float = float("-inf")
    _listed: set[str] = field(factory=set)
    _held_before: frozenset[str] = frozenset()
    _list_backoff: _Backoff = field(factory=_Backoff)
    _held: set[str] = field(factory=set)
    _owned: set[str] = field(factory=set)
    _ended: dict[str, float] = field(factory=dict)
    _deleted: set[str] = field(factory=set)
    _pending: OrderedDict[str, bool] = field(factory=OrderedDict)
    _in_flight: tuple[str, bool] | None = None
    _write_backoff: _Backoff = field(factory=_Backoff)
    _is_retry_scheduled: bool = False

    # The listing

    def start(self, now: float) -> list:
        """List what the store holds."""
        return [self._list()]

    def restart(self) -> list:
        """List the topic again, since the store has returned to a copy."""
        self.generation += 1
        return [self._list()]

    def _list(self, after: str = "") -> ListTopic:
        if not after:
            self._is_listing = True
            self._listed = set()
            self._held_before = frozenset(self._held)
        return ListTopic(Topic.QUARANTINE, after, self.generation)

    def on_listed(self, page: TopicListed, now: float) -> list:
        """Quarantine the contents on a page of the listing."""
        if page.generation != self.generation:
            return []
        self._list_backoff.reset()
        effects = []
        for change in page.changes:
            if change.problem:
                effects += _report_problem(change.key, change.problem)
            elif isinstance(change.value, QuarantineRecord):
                effects += self._apply(change.key, change.value, now)
        if page.has_more and page.changes:
            return [*effects, self._list(page.changes[-1].key)]
        self._is_listing = False
        self._listed_at = now
        self._write_missing(now)
        return effects + self._write_next(now)

    def _apply(self, content: str, record: QuarantineRecord, now: float) -> list:
        """Quarantine a listed content, unless its quarantine has ended here.

        If an operator has released it, end its quarantine.
        """
        if record.is_released:
            self._listed.add(content)
            if self.rank(now) == 0:
                self._want(content, False)
            return self.quarantine.release(content, now)
        if len(self._listed) >= MAX_RESTORED:
            return [IncrementCounter("quarantine.not_restored")]
        self._listed.add(content)
        if now - self._ended.get(content, float("-inf")) < QUARANTINE_S:
            if self.rank(now) == 0:
                self._want(content, False)
            return []
        return self.quarantine.restore(content, now)

    def _write_missing(self, now: float) -> None:
        """Write the contents that the store lacks, in one or two instances.

        The first listing shows nothing lost: what it lacks and peers reported before
        may have been released since.
        """
        writes_all = self._has_listed and self.rank(now) == 0
        for content in sorted((self._held & self._held_before) - self._listed):
            if writes_all or content in self._owned:
                self._want(content, True)
        self._has_listed = True

    def on_failed(self, failed: TopicFailed, now: float) -> list:
        """Schedule another listing."""
        if failed.generation == self.generation:
            generation = self.generation
            pause_s = self._list_backoff.next_pause_s()
            self.timers.at(now + pause_s, lambda _: self._list_again(generation))
        return []

    def _list_again(self, generation: int) -> list:
        return [self._list()] if generation == self.generation else []

    # Changes of the quarantine

    def check(self, now: float) -> list:
        """Notice which contents are quarantined now, and no longer."""
        current = self.quarantine.contents
        if not current and not self._held:
            return []
        if not self._held:
            self._listed_at = now
        new = [content for content in current if content not in self._held]
        ended = self._held.difference(current)
        for content in new:
            self._on_quarantined(content)
        for content in sorted(ended):
            self._on_ended(content, now)
        effects = self._write_next(now) if new or ended else []
        return effects + self._list_if_due(now)

    def _list_if_due(self, now: float) -> list:
        if self._is_listing or not self._held or now - self._listed_at < RELIST_S:
            return []
        return [self._list()] if self.rank(now) == 0 else []

    def _on_quarantined(self, content: str) -> None:
        self._held.add(content)
        self._ended.pop(content, None)
        if self.quarantine.is_own(content):
            self._owned.add(content)
            self._want(content, True)
        elif content in self._deleted:
            self._want(content, True)
        elif self._pending.get(content) is False:
            del self._pending[content]
        self._deleted.discard(content)

    def _on_ended(self, content: str, now: float) -> None:
        self._held.discard(content)
        # a copy of the store that still lists it is much younger than this
        self._ended = {
            p: at for p, at in self._ended.items() if now - at < QUARANTINE_S
        }
        self._ended[content] = now
        self._deleted.intersection_update(self._ended)
        if content in self._owned or self.rank(now) == 0:
            self._want(content, False)
        elif self._pending.get(content):
            del self._pending[content]
        self._owned.discard(content)

    # Writes

    def _want(self, content: str, is_quarantined: bool) -> None:
        self._pending[content] = is_quarantined
        if len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)

    def _write_next(self, now: float) -> list:
        """Write or delete the oldest pending content, one at a time."""
        if self._in_flight or self._is_retry_scheduled or not self._pending:
            return []
        content, is_quarantined = self._in_flight = next(iter(self._pending.items()))
        if not is_quarantined:
            self._deleted.add(content)
            return [WriteQuarantine(content, None)]
        record = QuarantineRecord(duration_s=QUARANTINE_S, written_at=round(now, 3))
        return [WriteQuarantine(content, record)]

    def on_written(self, message: QuarantineWritten, now: float) -> list:
        """Handle the response to a write, and continue with the next one.

        A write that was answered in an earlier era may be lost, so it is repeated.
        """
        if self._in_flight is None or self._in_flight[0] != message.content:
            return []
        content, is_quarantined = self._in_flight
        self._in_flight = None
        is_undone = message.era is not None and message.era < self.era.value
        if not message.is_done or is_undone:
            self._is_retry_scheduled = True
            self.timers.at(now + self._write_backoff.next_pause_s(), self._retry)
            return [IncrementCounter("quarantine.write_failed")]
        self._write_backoff.reset()
        if self._pending.get(content) is is_quarantined:
            del self._pending[content]
        name = "written" if is_quarantined else "deleted"
        return [IncrementCounter(f"quarantine.{name}"), *self._write_next(now)]

    def _retry(self, now: float) -> list:
        self._is_retry_scheduled = False
        return self._write_next(now)


def _report_problem(key: str, problem: str) -> list:
    """Return the log line and the count of an invalid record."""
    fields = (("topic", Topic.QUARANTINE.value), ("key", key), ("problem", problem))
    return [
        LogEvent("warning", "entry_bad", fields=fields),
        IncrementCounter("store.entry_bad"),
    ]

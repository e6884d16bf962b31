"""Appends records to the log.

Records are sent in batches, with one append in flight per stream, and an append is
repeated until the log acknowledges it.
"""

from collections import deque

from attrs import define, field, frozen

from briarrelay_core.identity import Identity
from briarrelay_core.ports.log import AppendDone, AppendFailed, AppendLog
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.timers import Timer, TimerService

__all__ = ["Outbox", "QueuedRecords", "Retention"]

MAX_BATCH_RECORDS = 200
"""Largest number of records in one append."""

MAX_QUEUED_RECORDS = 50_000
"""Largest number of unacknowledged records per stream; further ones are dropped."""

MAX_QUEUED_CHARS = 33_554_432
"""Most characters of unacknowledged records per stream; further ones are dropped."""

MAX_RECORD_CHARS = 262_144
"""Longest record that is taken from a peer."""

MAX_STREAMS = 16
"""Streams of which records are taken from peers."""

RESPONSE_TIMEOUT_S = 10.0
"""Time after which an append without a response is repeated."""

MAX_BACKOFF_S = 5.0
"""Longest delay before a failed append is repeated."""


@frozen(slots=True)
class Retention:
    """How long the outbox keeps records after the log has acknowledged them.

    The log may return to a copy that lacks them; then they are appended again.

    :param keep_s: seconds by which a copy may be older than the log; 0 keeps none.
    :param keep_bytes: most characters of acknowledged records, per stream.
    """

    keep_s: float = 0.0
    keep_bytes: int = 0


@frozen(slots=True)
class QueuedRecords:
    """Records of a stream that the log has not acknowledged, oldest first.

    :param first: number of the first of them; a queue numbers its records from 0.
    """

    first: int
    bodies: tuple[str, ...]


@define(slots=True)
class _StreamQueue:
    """Records of one stream that the log has not acknowledged.

    :param first: number of the oldest pending record.
    :param pending_chars: characters of the pending records.
    :param in_flight: number of records at the head that the current append holds.
    :param append_id: id of the current append, empty if there is none.
    :param started_at: time at which the current append was sent.
    :param failures: consecutive failed appends.
    :param timer: timeout of the current append, or start of the next one.
    :param next_append_at: time before which no further append is sent.
    :param kept: acknowledged records and the times of their acknowledgement.
    :param kept_bytes: characters of the kept records.
    """

    stream: str
    min_interval_s: float
    first: int = 0
    pending: deque = field(factory=deque)
    pending_chars: int = 0
    in_flight: int = 0
    append_id: str = ""
    started_at: float = 0.0
    failures: int = 0
    timer: Timer | None = None
    next_append_at: float = 0.0
    kept: deque = field(factory=deque)
    kept_bytes: int = 0

    @property
    def is_full(self) -> bool:
        """Whether a further record would be dropped."""
        is_long = self.pending_chars >= MAX_QUEUED_CHARS
        return is_long or len(self.pending) >= MAX_QUEUED_RECORDS

    def append(self, body: str) -> None:
        """Add a record."""
        self.pending.append(body)
        self.pending_chars += len(body)

    def remove_oldest(self, count: int) -> None:
        """Remove records that the log or a peer has."""
        for _ in range(count):
            self.pending_chars -= len(self.pending.popleft())
        self.first += count

    def keep(self, count: int, now: float) -> None:
        """Keep copies of the oldest records, which the log has acknowledged."""
        for index in range(count):
            self.kept.append((now, self.pending[index]))
            self.kept_bytes += len(self.pending[index])

    def forget_oldest(self) -> None:
        """Forget the oldest acknowledged record."""
        _, body = self.kept.popleft()
        self.kept_bytes -= len(body)

    def requeue_kept(self) -> int:
        """Queue the kept records again, before the others; return their number."""
        count = len(self.kept)
        self.pending.extendleft(body for _, body in reversed(self.kept))
        self.first -= count
        self.pending_chars += self.kept_bytes
        self.kept.clear()
        self.kept_bytes = 0
        return count


@define(slots=True)
class Outbox:
    """Queues of records to be appended to the log, one per stream.

    An append without a response is repeated, so a record may be in the log twice. Every
    record is idempotent by an id within it, so readers count it once.

    :param min_intervals_s: minimum seconds between appends, by stream; 0 if not given.
    :param retention: how long acknowledged records are kept.
    :param down_since: time of the first failure since an append last succeeded.
    """

    identity: Identity
    timers: TimerService
    min_intervals_s: dict[str, float] = field(factory=dict)
    retention: Retention = Retention()
    _queues: dict[str, _StreamQueue] = field(factory=dict)
    _queues_by_append: dict[str, _StreamQueue] = field(factory=dict)
    _append_count: int = 0
    down_since: float | None = None

    @property
    def is_empty(self) -> bool:
        """Whether the log has acknowledged every record."""
        return not any(queue.pending for queue in self._queues.values())

    def queued_count(self, stream: str) -> int:
        """Return the number of records of a stream that are not acknowledged."""
        queue = self._queues.get(stream)
        return len(queue.pending) if queue else 0

    def may_take_over(self, stream: str, body: str) -> bool:
        """Return whether a record of a stopping peer is taken; half the room is kept.

        A record that is longer than the log takes is none of a peer's.
        """
        queue = self._queues.get(stream)
        if queue is None:
            return len(self._queues) < MAX_STREAMS and len(body) <= MAX_RECORD_CHARS
        pending_chars = queue.pending_chars + len(body)
        is_short = len(body) <= MAX_RECORD_CHARS
        return is_short and not queue.is_full and pending_chars <= MAX_QUEUED_CHARS / 2

    def is_down(self, now: float, grace_s: float) -> bool:
        """Return whether appends have failed for more than a number of seconds."""
        return self.down_since is not None and now - self.down_since > grace_s

    def add(self, stream: str, body: str, now: float) -> list:
        """Queue a record, and append it at once if the stream is ready."""
        queue = self._queues.get(stream)
        if queue is None:
            queue = _StreamQueue(stream, self.min_intervals_s.get(stream, 0.0))
            self._queues[stream] = queue
        if queue.is_full:
            return [IncrementCounter(f"outbox.overflow.{stream}")]
        queue.append(body)
        return self._append_if_ready(queue, now)

    def _append_if_ready(self, queue: _StreamQueue, now: float) -> list:
        if queue.append_id or not queue.pending:
            return []
        if now < queue.next_append_at:
            if queue.timer is None or queue.timer.cancelled:
                queue.timer = self.timers.at(
                    queue.next_append_at, lambda t: self._on_timer(queue, t)
                )
            return []
        return [self._start_append(queue, now)]

    def _on_timer(self, queue: _StreamQueue, now: float) -> list:
        queue.timer = None
        return self._append_if_ready(queue, now)

    def _start_append(self, queue: _StreamQueue, now: float) -> AppendLog:
        self._append_count += 1
        append_id = (
            f"{self.identity.name}.{self.identity.incarnation}.{self._append_count}"
        )
        queue.append_id = append_id
        queue.started_at = now
        queue.in_flight = min(MAX_BATCH_RECORDS, len(queue.pending))
        self._queues_by_append[append_id] = queue
        if queue.timer is not None:
            queue.timer.cancel()
        queue.timer = self.timers.at(
            now + RESPONSE_TIMEOUT_S,
            lambda t: self.on_failed(AppendFailed(append_id), t),
        )
        bodies = tuple(queue.pending[index] for index in range(queue.in_flight))
        return AppendLog(append_id, queue.stream, bodies)

    def on_done(self, message: AppendDone, now: float) -> list:
        """Remove acknowledged records; a response to an earlier append is ignored."""
        queue = self._queues_by_append.pop(message.append_id, None)
        if queue is None or queue.append_id != message.append_id:
            return []
        self.down_since = None
        queue.failures = 0
        effects = self._keep_appended(queue, now)
        queue.remove_oldest(queue.in_flight)
        self._end_append(queue, now + queue.min_interval_s)
        return effects + self._append_if_ready(queue, now)

    def _keep_appended(self, queue: _StreamQueue, now: float) -> list:
        """Keep the records of the current append, and forget the oldest kept ones.

        The log had not returned to a copy when the append was sent, so records that it
        had acknowledged longer before than the age of a copy are safe.
        """
        if not self.retention.keep_s:
            return []
        queue.keep(queue.in_flight, now)
        safe_until = queue.started_at - self.retention.keep_s
        while queue.kept and queue.kept[0][0] < safe_until:
            queue.forget_oldest()
        forgotten = 0
        while queue.kept_bytes > self.retention.keep_bytes:
            queue.forget_oldest()
            forgotten += 1
        if not forgotten:
            return []
        fields = (("stream", queue.stream), ("records", str(forgotten)))
        return [
            LogEvent("warning", "records_not_kept", fields=fields),
            IncrementCounter(f"outbox.not_kept.{queue.stream}", forgotten),
        ]

    def on_log_returned(self, now: float) -> list:
        """Append the kept records again, since the log has returned to a copy.

        A response to an append in flight is ignored, since it may have been undone.
        """
        effects = []
        for queue in self._queues.values():
            self._queues_by_append.pop(queue.append_id, None)
            count = queue.requeue_kept()
            self._end_append(queue, now)
            if count:
                fields = (("stream", queue.stream), ("records", str(count)))
                effects.append(LogEvent("info", "records_requeued", fields=fields))
            effects += self._append_if_ready(queue, now)
        return effects

    def on_failed(self, message: AppendFailed, now: float) -> list:
        """Repeat the append after an exponential backoff."""
        queue = self._queues_by_append.pop(message.append_id, None)
        if queue is None or queue.append_id != message.append_id:
            return []
        if self.down_since is None:
            self.down_since = now
        queue.failures += 1
        backoff = min(MAX_BACKOFF_S, 0.1 * 2 ** min(queue.failures, 10))
        self._end_append(queue, now + max(backoff, queue.min_interval_s))
        return [
            IncrementCounter("log.append_failed"),
            *self._append_if_ready(queue, now),
        ]

    def _end_append(self, queue: _StreamQueue, next_append_at: float) -> None:
        queue.append_id = ""
        queue.in_flight = 0
        queue.next_append_at = next_append_at
        if queue.timer is not None:
            queue.timer.cancel()
            queue.timer = None

    def flush(self, now: float) -> list:
        """Append queued records at once, except on streams whose appends fail."""
        effects = []
        for queue in self._queues.values():
            if not queue.failures:
                queue.next_append_at = now
                effects.extend(self._append_if_ready(queue, now))
        return effects

    def retry_now(self, now: float) -> list:
        """Repeat failed appends at once; called when a read of the log succeeds."""
        if self.down_since is None:
            return []
        effects = []
        for queue in self._queues.values():
            if queue.failures:
                queue.failures = 0
                queue.next_append_at = now
                effects.extend(self._append_if_ready(queue, now))
        return effects

    def unacknowledged(self) -> dict[str, QueuedRecords]:
        """Return every record that the log has not acknowledged, by stream."""
        return {
            queue.stream: QueuedRecords(queue.first, tuple(queue.pending))
            for queue in self._queues.values()
            if queue.pending
        }

    def drop(self, stream: str, first: int, count: int, now: float) -> None:
        """Remove records of a stream that a peer has taken over.

        A response to the stream's current append is then ignored. Records that the log
        has acknowledged meanwhile are no longer queued; later ones are kept.

        :param first: number of the first record that was taken over.
        """
        queue = self._queues.get(stream)
        if queue is None:
            return
        taken = min(first + count - queue.first, len(queue.pending))
        if first > queue.first or taken <= 0:
            return
        self._queues_by_append.pop(queue.append_id, None)
        self._end_append(queue, now)
        queue.remove_oldest(taken)

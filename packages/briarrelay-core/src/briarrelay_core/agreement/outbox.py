"""Appends to the log: grouped, one in flight a stream, repeated until answered."""

from collections import deque

from attrs import define, field

from briarrelay_core.identity import Identity
from briarrelay_core.ports.log import AppendDone, AppendFailed, AppendLog
from briarrelay_core.ports.observe import Count
from briarrelay_core.timers import Timer, TimerService

__all__ = ["Outbox"]

MAX_GROUP = 200
"""Most records of one append."""

MAX_WAITING = 50_000
"""Records kept for a stream while the log is down."""

ANSWER_S = 10.0
"""Seconds after which an append without an answer is repeated."""

MAX_BACKOFF_S = 5.0
"""Longest pause between tries."""


@define(slots=True)
class _Lane:
    """Records of one stream; the first ``sent`` of them are in flight."""

    stream: str
    pause_s: float
    waiting: deque = field(factory=deque)
    sent: int = 0
    append_id: str = ""
    failures: int = 0
    timer: Timer | None = None
    ready_at: float = 0.0


@define(slots=True)
class Outbox:
    """Records on their way to the log.

    Every record is idempotent by an id within it, so an append without an answer
    is repeated: a record that stands twice counts once.

    :param pauses: least seconds between appends to a stream, 0 if not given.
    """

    identity: Identity
    timers: TimerService
    pauses: dict[str, float] = field(factory=dict)
    _lanes: dict[str, _Lane] = field(factory=dict)
    _in_flight: dict[str, _Lane] = field(factory=dict)
    _count: int = 0
    down_since: float | None = None

    @property
    def is_empty(self) -> bool:
        """Whether the log has everything."""
        return not any(lane.waiting for lane in self._lanes.values())

    def waiting(self, stream: str) -> int:
        """Return the number of records that a stream has waiting."""
        lane = self._lanes.get(stream)
        return len(lane.waiting) if lane else 0

    def is_down(self, now: float, patience_s: float) -> bool:
        """Return whether appends have failed for some seconds."""
        return self.down_since is not None and now - self.down_since > patience_s

    def add(self, stream: str, body: str, now: float) -> list:
        """Send a record, or keep it until it can be sent."""
        lane = self._lanes.get(stream)
        if lane is None:
            lane = _Lane(stream, self.pauses.get(stream, 0.0))
            self._lanes[stream] = lane
        if len(lane.waiting) >= MAX_WAITING:
            return [Count(f"outbox.overflow.{stream}")]
        lane.waiting.append(body)
        return self._advance(lane, now)

    def _advance(self, lane: _Lane, now: float) -> list:
        if lane.append_id or not lane.waiting:
            return []
        if now < lane.ready_at:
            if lane.timer is None or lane.timer.cancelled:
                lane.timer = self.timers.at(
                    lane.ready_at, lambda t: self._wake(lane, t)
                )
            return []
        return [self._send(lane, now)]

    def _wake(self, lane: _Lane, now: float) -> list:
        lane.timer = None
        return self._advance(lane, now)

    def _send(self, lane: _Lane, now: float) -> AppendLog:
        self._count += 1
        append_id = f"{self.identity.name}.{self.identity.incarnation}.{self._count}"
        lane.append_id = append_id
        lane.sent = min(MAX_GROUP, len(lane.waiting))
        self._in_flight[append_id] = lane
        if lane.timer is not None:
            lane.timer.cancel()
        lane.timer = self.timers.at(
            now + ANSWER_S, lambda t: self.on_failed(AppendFailed(append_id), t)
        )
        bodies = tuple(lane.waiting[index] for index in range(lane.sent))
        return AppendLog(append_id, lane.stream, bodies)

    def on_done(self, message: AppendDone, now: float) -> list:
        """Take the log's answer; a late one of an earlier try counts as well."""
        lane = self._in_flight.pop(message.append_id, None)
        if lane is None or lane.append_id != message.append_id:
            return []
        self.down_since = None
        lane.failures = 0
        for _ in range(lane.sent):
            lane.waiting.popleft()
        self._settle(lane, now + lane.pause_s)
        return self._advance(lane, now)

    def on_failed(self, message: AppendFailed, now: float) -> list:
        """Try again after a pause that grows."""
        lane = self._in_flight.pop(message.append_id, None)
        if lane is None or lane.append_id != message.append_id:
            return []
        if self.down_since is None:
            self.down_since = now
        lane.failures += 1
        backoff = min(MAX_BACKOFF_S, 0.1 * 2 ** min(lane.failures, 10))
        self._settle(lane, now + max(backoff, lane.pause_s))
        return [Count("log.append_failed"), *self._advance(lane, now)]

    def _settle(self, lane: _Lane, ready_at: float) -> None:
        lane.append_id = ""
        lane.sent = 0
        lane.ready_at = ready_at
        if lane.timer is not None:
            lane.timer.cancel()
            lane.timer = None

    def flush(self, now: float) -> list:
        """Send what waits for its pause now."""
        effects = []
        for lane in self._lanes.values():
            if not lane.failures:
                lane.ready_at = now
                effects.extend(self._advance(lane, now))
        return effects

    def retry_now(self, now: float) -> list:
        """Try failed appends at once, since the log answers again."""
        if self.down_since is None:
            return []
        effects = []
        for lane in self._lanes.values():
            if lane.failures:
                lane.failures = 0
                lane.ready_at = now
                effects.extend(self._advance(lane, now))
        return effects

    def unsent(self) -> dict[str, tuple[str, ...]]:
        """Return every record that the log is not known to have, by stream."""
        return {
            lane.stream: tuple(lane.waiting)
            for lane in self._lanes.values()
            if lane.waiting
        }

    def drop(self, stream: str, count: int, now: float) -> None:
        """Forget records that a peer has taken over, oldest first."""
        lane = self._lanes[stream]
        self._in_flight.pop(lane.append_id, None)
        self._settle(lane, now)
        for _ in range(min(count, len(lane.waiting))):
            lane.waiting.popleft()

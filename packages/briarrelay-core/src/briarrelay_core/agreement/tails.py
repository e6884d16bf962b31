"""Reading a stream of the log to its end and on."""

from collections.abc import Callable

from attrs import define

from briarrelay_core.ports.log import LogRead, LogRecord, ReadLog
from briarrelay_core.ports.observe import Count
from briarrelay_core.timers import Timer, TimerService

__all__ = ["NEWEST", "LogTail"]

NEWEST = -1
"""Start of a read that asks for the newest record alone."""

WAIT_S = 20.0
"""Seconds that the log may wait for news before it answers."""

ANSWER_S = 10.0
"""Seconds beyond the wait after which a read without an answer is repeated."""

MAX_BACKOFF_S = 2.0
"""Longest pause between failed reads."""


@define(slots=True, eq=False)
class LogTail:
    """Reads one stream; a consumer folds the records.

    :param consume: called with the records of an answer and returns effects.
    :param next_offset: first offset that is not read yet.
    :param caught_up: whether the end that stood at the first read was reached.
    :param on_gap: called when the log has forgotten records that were not read; the
        tail then stands still until a jump. Without it the tail goes on behind them.
    """

    stream: str
    timers: TimerService
    consume: Callable[[tuple[LogRecord, ...], float], list]
    next_offset: int = 0
    caught_up: bool = False
    on_gap: Callable[[float], list] | None = None
    down_since: float | None = None
    _failures: int = 0
    _timer: Timer | None = None

    def start(self, now: float) -> list:
        """Send the next read; after a failure one that is answered at once."""
        is_healthy = self.caught_up and not self._failures
        wait = WAIT_S if is_healthy else 0.0
        self._set_timer(now + wait + ANSWER_S, self._on_timeout)
        return [ReadLog(self.stream, self.next_offset, wait)]

    def jump(self, offset: int, now: float) -> list:
        """Go on from a later offset, which a snapshot covers up to."""
        self.next_offset = max(self.next_offset, offset)
        return self.start(now)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _set_timer(self, due: float, callback: Callable[[float], list]) -> None:
        self._stop_timer()
        self._timer = self.timers.at(due, callback)

    def _on_timeout(self, now: float) -> list:
        return self._on_failure(now)

    def on_read(self, message: LogRead, now: float) -> list:
        """Take an answer; one to an earlier read is dropped."""
        if message.start != self.next_offset:
            return []
        if message.failed:
            return self._on_failure(now)
        self.down_since = None
        self._failures = 0
        if message.first > self.next_offset:
            if self.on_gap is not None:
                self._stop_timer()
                return self.on_gap(now)
            self.next_offset = message.first
        effects = self.consume(message.records, now) if message.records else []
        if message.records:
            self.next_offset = max(self.next_offset, message.records[-1].offset + 1)
        if self.next_offset >= message.end:
            self.caught_up = True
        return [*effects, *self.start(now)]

    def _on_failure(self, now: float) -> list:
        if self.down_since is None:
            self.down_since = now
        self._failures += 1
        pause = min(MAX_BACKOFF_S, 0.1 * 2 ** min(self._failures, 8))
        self._set_timer(now + pause, self.start)
        return [Count(f"log.read_failed.{self.stream}")]

"""Reads a log stream to its end and then follows it by long polling."""

from collections.abc import Callable

from attrs import define

from briarrelay_core.ports.log import LogRead, LogRecord, ReadLog
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.timers import Timer, TimerService

__all__ = ["NEWEST", "LogTail"]

NEWEST = -1
"""Start offset of a read that returns the newest record only."""

LONG_POLL_S = 20.0
"""Time for which the log may hold a read open until a new record arrives."""

RESPONSE_TIMEOUT_S = 10.0
"""Time beyond the long poll after which a read without a response has failed."""

MAX_BACKOFF_S = 2.0
"""Longest delay before a failed read is repeated."""


@define(slots=True, eq=False)
class LogTail:
    """Reads one stream and passes its records to a consumer.

    :param consume: called with the records of a response; returns effects.
    :param next_offset: first offset that is not read yet.
    :param caught_up: whether a read has reached the end of the stream at least once.
    :param on_gap: called when the log has trimmed records that were not read yet; no
        read is sent after that until `seek`. Without it, reading continues at the
        oldest record that the log keeps.
    :param down_since: time of the first of the latest consecutive failed reads, None
        if the latest read succeeded.
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
        """Send the next read.

        Until the end was reached, and after a failure, the log responds at once
        instead of holding the read open.
        """
        is_healthy = self.caught_up and not self._failures
        wait = LONG_POLL_S if is_healthy else 0.0
        self._set_timer(now + wait + RESPONSE_TIMEOUT_S, self._on_timeout)
        return [ReadLog(self.stream, self.next_offset, wait)]

    def seek(self, offset: int, now: float) -> list:
        """Continue from an offset, or from `next_offset` if that is later."""
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
        """Handle the response to a read; one to an earlier read is ignored."""
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
        backoff = min(MAX_BACKOFF_S, 0.1 * 2 ** min(self._failures, 8))
        self._set_timer(now + backoff, self.start)
        return [IncrementCounter(f"log.read_failed.{self.stream}")]

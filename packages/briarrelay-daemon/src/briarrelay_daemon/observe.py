"""JSON log lines through logbook, and counters through statsd."""

import os
import sys
from time import monotonic

import orjson
from logbook import Handler, Logger, lookup_level
from statsd import StatsClient

from briarrelay_core.ports.telemetry import LogEvent
from briarrelay_core.reasons import RefusalReason, RetryReason
from briarrelay_daemon.settings import Settings

__all__ = [
    "Counters",
    "JsonHandler",
    "RateLimitedOutput",
    "reason_counter_names",
    "write_log_event",
]


MAX_LINES_PER_S = 300.0
"""Sustained rate of log lines per second; a line costs about 0.1 ms."""

MAX_BURST_LINES = 3_000.0
"""Log lines that may be written in one burst."""


class RateLimitedOutput:
    """Writes lines to a descriptor without blocking, limited by a token bucket.

    Lines over the limit, or that the descriptor can not take, are dropped and
    counted. The count is logged before the next line that is written.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._tokens = MAX_BURST_LINES
        self._refilled_at = monotonic()
        self._unwritten = b""
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Write a line, or drop and count it."""
        now = monotonic()
        self._tokens += (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens)
        self._refilled_at = now
        if self._tokens < 1.0 or not self._write_pending(b""):
            self.dropped += 1
            return
        self._tokens -= 1.0
        if self.dropped:
            line = b'{"event":"lines_left_out","count":%d}\n' % self.dropped + line
            self.dropped = 0
        self._write_pending(line)

    def _write_pending(self, data: bytes) -> bool:
        """Write what is left of an earlier line, then more.

        :returns: whether nothing is left.
        """
        data = self._unwritten + data
        self._unwritten = b""
        if not data:
            return True
        try:
            count = os.write(self._descriptor, data)
        except BlockingIOError:
            count = 0
        except OSError:
            return True  # the reader of the log is gone; the error can not be reported
        self._unwritten = data[count:]
        return not self._unwritten

    def flush(self) -> None:
        """Do nothing; lines are written at once."""


class JsonHandler(Handler):
    """Writes each record as one line of JSON.

    :param instance: name of the instance, written in every line.
    """

    def __init__(self, instance: str, level: str, output=None):
        super().__init__(level=lookup_level(level.upper()))
        self._instance = instance
        self._output = output or sys.stderr.buffer

    def emit(self, record) -> None:
        """Write one record."""
        line = {
            "at": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "instance": self._instance,
            "event": record.message,
            **record.kwargs,
        }
        self._output.write(orjson.dumps(line, default=str) + b"\n")
        self._output.flush()


def write_log_event(logger: Logger, log_event: LogEvent) -> None:
    """Log an event from the core."""
    fields = dict(log_event.fields)
    if log_event.request_id:
        fields["request_id"] = log_event.request_id
    logger.log(log_event.level.upper(), log_event.event, **fields)


def reason_counter_names() -> list[str]:
    """Return the counter names of all refusal and retry reasons."""
    refusals = [f"refused.{reason.value}" for reason in RefusalReason]
    return refusals + [f"retried.{reason.value}" for reason in RetryReason]


class Counters:
    """Counts in memory for the status page, and sends the counts to statsd.

    The counters of all reasons start at zero, so that graphs show them before the
    first refusal or retry.
    """

    def __init__(self, settings: Settings):
        self.totals = dict.fromkeys(reason_counter_names(), 0)
        self._client = None
        if settings.statsd is not None:
            self._client = StatsClient(
                settings.statsd.host,
                settings.statsd.port,
                prefix=f"briarrelay.{settings.name.replace('.', '_')}",
            )

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.totals[name] = self.totals.get(name, 0) + amount
        if self._client is not None:
            self._client.incr(name, amount)

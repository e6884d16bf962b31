"""JSON log lines by logbook and counters by statsd."""

import os
import sys
from time import monotonic

import orjson
from logbook import Handler, Logger, lookup_level
from statsd import StatsClient

from briarrelay_core.ports.telemetry import LogEvent
from briarrelay_core.reasons import RefusalReason, RetryReason
from briarrelay_daemon.settings import Settings

__all__ = ["BoundedOutput", "Counters", "JsonHandler", "reason_counters", "write_note"]


LINES_PER_S = 300.0
"""Log lines a second in the long run; a line costs about 0.1 ms."""

BURST_LINES = 3_000.0
"""Log lines that may come at once."""


class BoundedOutput:
    """Writes lines to a descriptor without blocking, and not more than allowed.

    Lines that are left out are counted, and the count is written with the next one.
    """

    def __init__(self, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._allowed = BURST_LINES
        self._at = monotonic()
        self._rest = b""
        self.left_out = 0

    def write(self, line: bytes) -> None:
        """Write a line, or count it as left out."""
        now = monotonic()
        self._allowed += (now - self._at) * LINES_PER_S
        self._allowed = min(BURST_LINES, self._allowed)
        self._at = now
        if self._allowed < 1.0 or not self._push(b""):
            self.left_out += 1
            return
        self._allowed -= 1.0
        if self.left_out:
            line = b'{"event":"lines_left_out","count":%d}\n' % self.left_out + line
            self.left_out = 0
        self._push(line)

    def _push(self, data: bytes) -> bool:
        """Write what is left of an earlier line, then more; True if all left."""
        data = self._rest + data
        self._rest = b""
        if not data:
            return True
        try:
            count = os.write(self._descriptor, data)
        except BlockingIOError:
            count = 0
        except OSError:
            return True  # nobody reads the log; there is nowhere to say so
        self._rest = data[count:]
        return not self._rest

    def flush(self) -> None:
        """Do nothing; lines are written at once."""


class JsonHandler(Handler):
    """Writes each record as one line of JSON.

    :param instance: name that every line carries.
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


def write_note(logger: Logger, note: LogEvent) -> None:
    """Write a line that the core asked for."""
    fields = dict(note.fields)
    if note.request_id:
        fields["request_id"] = note.request_id
    logger.log(note.level.upper(), note.event, **fields)


def reason_counters() -> list[str]:
    """Return the counter of each refusal and retry reason."""
    refusals = [f"refused.{reason.value}" for reason in RefusalReason]
    return refusals + [f"retried.{reason.value}" for reason in RetryReason]


class Counters:
    """Counts in memory for the status page and sends to statsd.

    Every reason stands from the start, so that a graph of it shows zero.
    """

    def __init__(self, settings: Settings):
        self.totals = dict.fromkeys(reason_counters(), 0)
        self._client = None
        if settings.statsd is not None:
            self._client = StatsClient(
                settings.statsd.host,
                settings.statsd.port,
                prefix=f"briarrelay.{settings.name.replace('.', '_')}",
            )

    def add(self, name: str, amount: int = 1) -> None:
        """Raise a counter."""
        self.totals[name] = self.totals.get(name, 0) + amount
        if self._client is not None:
            self._client.incr(name, amount)

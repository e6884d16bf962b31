"""JSON log lines by logbook and counters by statsd."""

import sys

import orjson
from logbook import Handler, Logger, lookup_level
from statsd import StatsClient

from briarrelay_core.ports.observe import Note
from briarrelay_core.reasons import RefusalReason, RetryReason
from briarrelay_daemon.settings import Settings

__all__ = ["Counters", "JsonHandler", "reason_counters", "write_note"]


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


def write_note(logger: Logger, note: Note) -> None:
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

"""Periodic reads of the instance list, engine reports and residents."""

from attrs import define, field

from briarrelay_core.context import Context
from briarrelay_core.membership.rendezvous import ranked
from briarrelay_core.memory.sweeper import orphan_cancels
from briarrelay_core.ports.engine import (
    CacheEvents,
    EngineReport,
    ReadReport,
    ReadResidents,
    ReportLost,
    Residents,
)
from briarrelay_core.ports.platform import ReadInstanceList
from briarrelay_core.ports.telemetry import IncrementCounter

__all__ = ["Poller"]

REPORT_PERIOD_S = 1.0
"""Seconds between reads of an engine's report."""

LIST_PERIOD_S = 1.0
"""Seconds between reads of the instance list."""

SWEEP_PERIOD_S = 5.0
"""Seconds between reads of an engine's residents."""

POLL_BUDGET = 3
"""Engines that an instance may read each period, on average.

It is exceeded where an engine would otherwise have no reader.
"""

READ_TIMEOUT_S = 2.0
"""Seconds after which a read without a response may be repeated."""


@define(slots=True)
class Poller:
    """Polls engines; in a large data centre, a few instances read each engine.

    The readers of an engine are the first entry instances in its rendezvous order;
    the other instances get its reports from digests.
    """

    context: Context
    _pending_until: dict[str, float] = field(factory=dict)
    _assigned: dict[int, tuple] = field(factory=dict)

    def start(self, now: float) -> list:
        """Start the periodic reads; read the instance list at once."""
        timers = self.context.timers
        timers.every(LIST_PERIOD_S, self._read_list, now + LIST_PERIOD_S)
        timers.every(REPORT_PERIOD_S, self._read_reports, now + 0.1)
        timers.every(SWEEP_PERIOD_S, self._read_residents, now + SWEEP_PERIOD_S)
        return self._read_list(now)

    def _read_list(self, now: float) -> list:
        return [ReadInstanceList(self.context.membership.version)]

    def assigned_engines(self, now: float, readers: int | None = None) -> list[str]:
        """Return the engines that this instance reads.

        :param readers: number of instances that read each engine, by default as many
            as `POLL_BUDGET` allows.
        """
        identity = self.context.identity
        peers = self.context.entry_peers(now, identity.data_centre)
        engines = self.context.fleet.live_engines()
        instances = [identity.name, *peers]
        if readers is None:
            readers = POLL_BUDGET * len(instances) // max(1, len(engines))
        readers = max(1, readers)
        if readers >= len(instances):
            return engines
        inputs = (tuple(instances), tuple(engines))
        if self._assigned.get(readers, (None, None))[0] != inputs:
            assigned = [
                engine
                for engine in engines
                if identity.name in ranked(engine, instances)[:readers]
            ]
            self._assigned[readers] = (inputs, assigned)
        return self._assigned[readers][1]

    def _read_reports(self, now: float) -> list:
        effects = []
        for engine in self.assigned_engines(now):
            if self._pending_until.get(engine, 0.0) > now:
                continue
            self._pending_until[engine] = now + READ_TIMEOUT_S
            events_from = self.context.fleet.prefix.next_event(engine)
            effects.append(ReadReport(engine, events_from))
        return effects

    def on_report(self, report: EngineReport, now: float) -> list:
        """Apply an engine's report."""
        self._pending_until.pop(report.engine, None)
        self.context.fleet.apply_report(report, now)
        return []

    def on_events(self, events: CacheEvents) -> list:
        """Apply an engine's cache events to the prefix index."""
        gap = self.context.fleet.prefix.apply(events)
        return [IncrementCounter("cache_events.gap")] if gap else []

    def on_report_lost(self, message: ReportLost, now: float) -> list:
        """Record a failed read of an engine's report."""
        self._pending_until.pop(message.engine, None)
        health = self.context.fleet.health
        if health.record_failure(message.engine, now, certain=message.refused):
            return [IncrementCounter("engine.ejected")]
        return []

    def _read_residents(self, now: float) -> list:
        return [
            ReadResidents(engine) for engine in self.assigned_engines(now, readers=1)
        ]

    def sweep_now(self, now: float) -> list:
        """Read residents at once, as after an owner is found to be gone."""
        return self._read_residents(now)

    def on_residents(self, message: Residents, now: float) -> list:
        """Cancel the orphaned residents of an engine."""
        is_gone = self.context.membership.is_gone
        cancels = orphan_cancels(message.engine, message.residents, is_gone, now)
        return [*[IncrementCounter("resident.swept") for _ in cancels], *cancels]

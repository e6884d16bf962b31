"""Applies records of evacuations, and follows those that come in force or end."""

from attrs import define

from briarrelay_core.ports.directory import TopicChange
from briarrelay_core.ports.position import EraPosition
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.record.record import Entry, Recorder
from briarrelay_core.routes.allowances.cold import RETURN_S, ColdTable
from briarrelay_core.routes.servers import ServerTable

__all__ = ["EvacuationHandler"]


@define(slots=True, eq=False)
class EvacuationHandler:
    """Connects the evacuations with the servers, the cold ones and the record."""

    servers: ServerTable
    cold: ColdTable
    recorder: Recorder

    def apply(self, change: TopicChange, position: EraPosition, now: float) -> list:
        """Apply a record of the store; return effects."""
        evacuation = change.value
        effects = self.servers.evacuations.apply(
            evacuation.data_centre,
            evacuation.is_asked,
            position,
            now,
            change.key,
            change.is_from_copy,
        )
        known = {entry.data_centre for entry in self.servers.entries()}
        if effects and evacuation.is_asked and evacuation.data_centre not in known:
            fields = (("data_centre", evacuation.data_centre),)
            effects += [
                LogEvent("warning", "evacuation_unknown", fields=fields),
                IncrementCounter("evacuation.unknown_data_centre"),
            ]
        return effects

    def follow(self, now: float) -> list:
        """Record the evacuations that came in force or ended; return effects.

        The servers of one that ended are taken up again in steps, as cold ones.
        """
        effects = []
        evacuations = self.servers.evacuations
        for data_centre, outcome, source in evacuations.pop_changes():
            entry = Entry(
                at=round(now, 3),
                kind="evacuation",
                subject=data_centre,
                outcome=outcome,
                why=source,
            )
            self.recorder.add(entry)
            if evacuations.is_evacuated(data_centre):
                continue
            for server in self.servers.entries():
                if server.data_centre == data_centre:
                    effects += self.cold.mark(server, RETURN_S, now)
        return effects

"""Refusals of requests that were not admitted: log lines, counts and the record."""

from attrs import define

from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.route import (
    InvalidRequest,
    RouteRequest,
    SendErrorResponse,
)
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.record.record import Entry, Recorder
from briarrelay_core.routes.admission import RouteAdmission

__all__ = ["RefusalHandler"]


@define(slots=True, eq=False)
class RefusalHandler:
    """Refuses requests that never become requests in progress."""

    admission: RouteAdmission
    recorder: Recorder

    def on_invalid(self, message: InvalidRequest, now: float) -> list:
        """Record a request that was refused as invalid before admission."""
        entry = Entry(
            at=round(now, 3),
            kind="refusal",
            subject=message.caller_request_id,
            why=message.reason,
        )
        self.recorder.add(entry)
        fields = (("reason", message.reason), ("problem", message.problem))
        return [
            LogEvent("info", "refused", message.caller_request_id, fields),
            IncrementCounter(f"refused.{message.reason}"),
        ]

    def refuse(self, request: RouteRequest, refusal: NotRun, now: float) -> list:
        """Refuse a request that was not admitted."""
        reason = refusal.reason.value
        fields = (
            ("reason", reason),
            ("host", request.host),
            ("path", request.path),
            ("version", str(self.admission.version)),
            ("preset", self.admission.preset_collection.active),
        )
        self.recorder.add(
            Entry(
                at=round(now, 3),
                kind="refusal",
                subject=request.caller_request_id,
                why=reason,
            )
        )
        return [
            LogEvent("info", "refused", request.caller_request_id, fields),
            IncrementCounter(f"refused.{reason}"),
            SendErrorResponse(request.request_id, refusal),
        ]

"""Requests whose callers read too slowly for more of their responses."""

from briarrelay_core.ports.route import ReadingPaused
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.routes.controller import RequestController

__all__ = ["apply_reading_paused"]

MIN_UNREAD_S = 1.0
"""Seconds without reading from which a server may cut off its response."""


def apply_reading_paused(
    controller: RequestController, message: ReadingPaused, now: float
) -> list:
    """Record that reading from a request's server has stopped, or goes on.

    Silence of the server counts from the time at which reading goes on.
    """
    routed = controller.requests.get(message.request_id)
    if routed is None or message.is_paused == (routed.reading_paused_at is not None):
        return []
    if message.is_paused:
        routed.reading_paused_at = now
        return [IncrementCounter("route.reading_paused")]
    paused_at, routed.reading_paused_at = routed.reading_paused_at, None
    paused_s = now - paused_at
    attempt = routed.active_attempt
    if attempt is not None:
        attempt.progress_at = now
        unread_s = now - max(paused_at, attempt.sent_at)
        attempt.was_unread |= unread_s >= MIN_UNREAD_S
    fields = (("paused_s", f"{paused_s:.2f}"),)
    caller_request_id = routed.request.caller_request_id
    return [LogEvent("info", "reading_resumed", caller_request_id, fields)]

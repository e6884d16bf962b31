"""Requests whose callers read too slowly for more of their responses."""

from briarrelay_core.ports.route import ReadingPaused
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.routes.controller import RequestController
from briarrelay_core.routes.requeststate import RoutedRequest

__all__ = ["apply_reading_paused", "was_unread"]

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
    attempt = routed.active_attempt
    if attempt is not None:
        attempt.progress_at = now
        attempt.was_unread = was_unread(routed, now)
    paused_s = now - routed.reading_paused_at
    routed.reading_paused_at = None
    fields = (("paused_s", f"{paused_s:.2f}"),)
    caller_request_id = routed.request.caller_request_id
    return [LogEvent("info", "reading_resumed", caller_request_id, fields)]


def was_unread(routed: RoutedRequest, now: float) -> bool:
    """Return whether the server may have cut off the active attempt as unread.

    A pause in reading that still lasts counts too.
    """
    attempt, paused_at = routed.active_attempt, routed.reading_paused_at
    if attempt.was_unread or paused_at is None:
        return attempt.was_unread
    return now - max(paused_at, attempt.sent_at) >= MIN_UNREAD_S

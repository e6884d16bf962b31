"""Moves requests from backend servers that are silent to others."""

from attrs import define

from briarrelay_core.ports.telemetry import LogEvent
from briarrelay_core.reasons import RetryReason
from briarrelay_core.routes.controller import RequestController
from briarrelay_core.routes.model import RouteKind
from briarrelay_core.routes.requeststate import AttemptState, RoutedRequest
from briarrelay_core.routes.waiting import caller_timeout_s

__all__ = ["SilenceChecker"]

FIRST_EVENT_SLACK_S = 0.35
"""Seconds allowed for the first event of a stream in addition to `FIRST_EVENT_FACTOR`
times the expected time."""

FIRST_EVENT_FACTOR = 2.0
"""Multiple of the expected time allowed for the first event of a stream."""

MIN_GAP_TIMEOUT_S = 0.8
"""Shortest pause in seconds between events after which a stream counts as lost."""

GAP_TIMEOUT_FACTOR = 2.5
"""Multiple of the route's gap limit after which a stream counts as lost."""

READING_FACTOR = 1.5
"""Multiple of the reading time queued on the server that is added to the silence
timeout."""

MOVE_FRACTION = 0.65
"""Fraction of the caller's timeout after which its stream moves to another server; the
rest is left for reading the prompt again."""

SAFE_TIMEOUT_FACTOR = 3.0
"""Multiple of the target latency after which a request on a safe route counts as
lost."""

USUAL_TIME_FACTOR = 1.5
"""Multiple of the usual time of a route's responses before which none counts as lost on
a safe route, whatever its target latency."""

MAX_FAILED_SEARCHES = 20
"""Requests of a check for which no other server is found before the rest waits for the
next check; a search compares dozens of servers."""


@define(slots=True, eq=False)
class SilenceChecker:
    """Finds requests in progress whose servers are silent for too long.

    :param max_unused_s: seconds for which reserved memory may stay unused.
    """

    controller: RequestController
    max_unused_s: float

    def check(self, now: float) -> list:
        """Move repeatable requests from silent servers to other servers.

        A request without an alternative stays, since its server may only be slow. The
        requests for which a server was looked for last come last.
        """
        effects, failed_searches = self._end_unused_reservations(now), 0
        silent = sorted(
            self._find_silent(now),
            key=lambda found: found[0].active_attempt.searched_at,
        )
        for routed, max_expected_s in silent:
            routed.active_attempt.searched_at = now
            moved = self._move(routed, now, max_expected_s)
            effects += moved
            failed_searches += not moved
            if failed_searches == MAX_FAILED_SEARCHES:
                break
        return effects

    def _end_unused_reservations(self, now: float) -> list:
        """End attempts whose memory is reserved too long before a first event.

        Some of the memory may not be granted yet. If it is, the engine may not have
        begun to read, and others wait for that memory.
        """
        controller = self.controller
        effects = []
        for attempt_id, routed in list(controller.attempts.items()):
            attempt = routed.active_attempt
            if routed.reading_paused_at is not None:
                continue
            if attempt.events or now - attempt.sent_at <= self.max_unused_s:
                continue
            if not attempt.is_sent:
                effects += controller.on_denied(attempt_id, "", now)
            elif controller.reservations.ids_of(attempt_id):
                effects += controller.abandon(routed, RetryReason.SERVER_SILENT, now)
        controller.drop_old_moves(now - self.max_unused_s, now)
        return effects

    def _find_silent(self, now: float) -> list[tuple[RoutedRequest, float]]:
        """Return the requests that should move, and the time for their first event.

        Requests that will move once their memory has been reserved are left out.

        That time is the largest one in seconds within which a server has to be expected
        to send it.
        """
        found = []
        for routed in list(self.controller.requests.values()):
            attempt = routed.active_attempt
            if attempt is None or not attempt.is_sent or attempt.is_delegated:
                continue  # a peer watches the server of a delegated request
            if not routed.route.is_repeatable or routed.reading_paused_at is not None:
                continue
            timeout_s = self._silence_timeout_s(routed, attempt)
            timeout_s += READING_FACTOR * self._read_allowance_s(attempt, now)
            silent_s = now - attempt.progress_at
            leaves_after_s = caller_timeout_s(routed)
            if silent_s > timeout_s:
                self._record_silence(attempt, timeout_s, now)
                found.append((routed, _remaining_patience_s(routed, now)))
            elif silent_s > MOVE_FRACTION * leaves_after_s:
                found.append((routed, leaves_after_s - silent_s))
        return [pair for pair in found if pair[0].prepared_attempt is None]

    def _silence_timeout_s(self, routed: RoutedRequest, attempt: AttemptState) -> float:
        """Return seconds of silence after which an attempt counts as lost."""
        if routed.route.kind is not RouteKind.STREAM:
            usual_s = self.controller.observations.times.usual_s(routed)
            target_s = routed.route.target_latency_s
            return max(SAFE_TIMEOUT_FACTOR * target_s, USUAL_TIME_FACTOR * usual_s)
        if not attempt.events:
            unheld_s = attempt.expected_s + attempt.saved_s
            return FIRST_EVENT_SLACK_S + FIRST_EVENT_FACTOR * unheld_s
        return max(
            MIN_GAP_TIMEOUT_S, GAP_TIMEOUT_FACTOR * (routed.route.gap_limit_s or 0.0)
        )

    def _has_time_elsewhere(self, routed: RoutedRequest, now: float) -> bool:
        """Return whether another server usually responds before the deadline.

        The rest of a stream may take any part of the time of a whole one.
        """
        if routed.route.kind is RouteKind.STREAM:
            return True
        usual_s = self.controller.observations.times.usual_s(routed)
        return now + usual_s <= routed.deadline

    def _read_allowance_s(self, attempt: AttemptState, now: float) -> float:
        """Return seconds for which an attempt may be silent while its engines read."""
        load = self.controller.load
        names = (attempt.server, *(() if attempt.events else attempt.helpers))
        reading_s = max(load.reading_s(name, now) for name in names)
        return reading_s + attempt.saved_s

    def _record_silence(
        self, attempt: AttemptState, timeout_s: float, now: float
    ) -> None:
        """Count each `timeout_s` of silence as a failure of the server."""
        since = max(attempt.progress_at, attempt.silence_counted_at)
        if now - since <= timeout_s:
            return
        attempt.silence_counted_at = now
        observations = self.controller.observations
        last_response_at = observations.last_response_at.get(attempt.server, 0.0)
        is_fully_silent = last_response_at <= since
        observations.health.record_failure(attempt.server, now, certain=is_fully_silent)

    def _move(self, routed: RoutedRequest, now: float, max_expected_s: float) -> list:
        """Send a request to another server if one can take it now.

        :param max_expected_s: seconds within which its first event must be expected.
        """
        if not self._has_time_elsewhere(routed, now):
            return []
        attempt = routed.active_attempt
        fields = (
            ("server", attempt.server),
            ("silent_s", f"{now - attempt.progress_at:.2f}"),
            ("expected_s", f"{attempt.expected_s:.2f}"),
            ("events", str(attempt.events)),
        )
        log_event = LogEvent(
            "info", "server_silent", routed.request.caller_request_id, fields
        )
        reason = RetryReason.SERVER_SILENT
        if self.controller.can_delegate(routed, now):
            return [log_event, *self.controller.abandon(routed, reason, now)]
        placement = self.controller.find_alternative(routed, now)
        if placement is None or placement.expected_s >= max_expected_s:
            return []
        return [log_event, *self.controller.move(routed, placement, reason, now)]


def _remaining_patience_s(routed: RoutedRequest, now: float) -> float:
    """Return seconds for which the caller is expected to wait for an event.

    A caller that is still there after the expected time may wait for any time.
    """
    begun_at = routed.last_event_at if routed.is_head_relayed else routed.arrived_at
    remaining_s = begun_at + caller_timeout_s(routed) - now
    return remaining_s if remaining_s > 0 else float("inf")

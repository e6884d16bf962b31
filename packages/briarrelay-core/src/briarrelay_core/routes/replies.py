"""Handles answers of backend servers, and sends on which a server falls silent."""

from attrs import define

from briarrelay_core.ports.route import (
    AbortSend,
    RelayEnd,
    RelayEvent,
    RelayFullResponse,
    RelayHead,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    ResponseLost,
)
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.reasons import RetryReason
from briarrelay_core.routes.controller import RequestController
from briarrelay_core.routes.model import RouteKind
from briarrelay_core.routes.requeststate import RoutedRequest, SendState

__all__ = ["ReplyHandler"]

FIRST_EVENT_SLACK_S = 0.35
"""Seconds allowed for the first event of a stream on top of FIRST_EVENT_FACTOR."""

FIRST_EVENT_FACTOR = 2.0
"""Multiple of the expected time allowed for the first event of a stream."""

MIN_GAP_TIMEOUT_S = 0.8
"""Shortest pause in seconds between events after which a stream counts as lost."""

GAP_TIMEOUT_FACTOR = 2.5
"""Multiple of the route's gap limit after which a stream counts as lost."""

READING_FACTOR = 1.5
"""Multiple of the server's known reading time that is added to a silence timeout."""

CALLER_MIN_PATIENCE_S = 2.0
"""Seconds of silence that every caller of a stream waits out, as the users'
requirements state."""

CALLER_TARGET_FACTOR = 4.0
"""Multiple of the target latency that such a caller waits out."""

CALLER_GAP_FACTOR = 8.0
"""Multiple of the gap limit that such a caller waits out."""

MOVE_FRACTION = 0.65
"""Fraction of the caller's patience after which its stream moves to another server; the
rest is left for reading the prompt again."""

SAFE_TIMEOUT_FACTOR = 3.0
"""Multiple of the target latency after which a repeatable call counts as lost."""


@define(slots=True, eq=False)
class ReplyHandler:
    """Applies answers of backend servers to the requests in progress."""

    controller: RequestController

    def on_head(self, message: ResponseHead, now: float) -> list:
        """Handle the head of an answer."""
        routed = self.controller.sends.get(message.send_id)
        if routed is None:
            return []
        send = routed.active_send
        self.controller.observations.record_response(send.server, now)
        send.kind = message.kind
        send.status = message.status
        send.is_stream = message.is_stream
        send.progress_at = now
        if message.kind is ResponseKind.NOT_RUN:
            return self._on_refused(routed, message, now)
        if message.kind is ResponseKind.OTHER_SERVER:
            return self._on_replaced(routed, now)
        if message.kind is ResponseKind.UNPROVEN:
            return self._on_unusable(routed, "unproven answer", now)
        return []

    def _on_refused(
        self, routed: RoutedRequest, message: ResponseHead, now: float
    ) -> list:
        send = self.controller.end_send(routed, now)
        blamed = self._server_by_address(message.refused_by, send) or send.server
        fields = (
            ("server", send.server),
            ("blamed", blamed),
            ("status", str(message.status)),
        )
        note = LogEvent("info", "not_run", routed.request.caller_request_id, fields)
        if blamed != send.server:
            routed.excluded.add(blamed)
            self.controller.observations.health.record_failure(blamed, now)
        effects = [note, AbortSend(send.send_id)]
        return effects + self.controller.retry_or_give_up(
            routed, RetryReason.SERVER_REFUSED, now
        )

    def _server_by_address(self, address: str, send: SendState) -> str:
        """Return which server or helper of a send has an address, empty if none."""
        if not address:
            return ""
        for name in (send.server, *send.helpers):
            known = self.controller.servers.get(name)
            if known is not None and known.entry.address == address:
                return name
        return ""

    def _on_replaced(self, routed: RoutedRequest, now: float) -> list:
        send = self.controller.end_send(routed, now)
        known = self.controller.servers.get(send.server)
        if known is not None:
            known.is_address_reused = True
        fields = (("server", send.server),)
        note = LogEvent(
            "warning", "server_replaced", routed.request.caller_request_id, fields
        )
        effects = [note, AbortSend(send.send_id)]
        return effects + self.controller.retry_or_give_up(
            routed, RetryReason.SERVER_REPLACED, now
        )

    def on_event(self, message: ResponseEvent, now: float) -> list:
        """Relay an event, unless the caller already has it."""
        routed = self.controller.sends.get(message.send_id)
        if routed is None:
            return []
        send = routed.active_send
        if routed.is_head_relayed:
            routed.longest_gap_s = max(routed.longest_gap_s, now - routed.last_event_at)
        routed.last_event_at = now
        send.progress_at = now
        self.controller.observations.record_response(send.server, now)
        send.events += 1
        effects = []
        if send.events == 1:
            self._on_first_event(routed, now)
        if not routed.is_head_relayed:
            routed.is_head_relayed = True
            routed.first_event_at = now
            effects.append(RelayHead(routed.request.request_id, send.send_id))
        if not _is_newer(message.event_id, routed.resume_after):
            return [*effects, IncrementCounter("route.event_repeated")]
        routed.last_event = message.event_id
        effects.append(RelayEvent(routed.request.request_id, message.data))
        return effects

    def _on_first_event(self, routed: RoutedRequest, now: float) -> None:
        send = routed.active_send
        self.controller.load.mark_read(send.send_id)
        taken = now - send.sent_at
        self.controller.observations.slowdown.observe(
            send.server, send.expected_s, taken, now
        )
        self.controller.observations.health.record_success(send.server)

    def on_done(self, message: ResponseComplete, now: float) -> list:
        """Handle the end of a complete answer."""
        dispatcher = self.controller
        routed = dispatcher.sends.get(message.send_id)
        if routed is None:
            return []
        send = routed.active_send
        if send.kind is ResponseKind.FAILURE:
            return self._on_failure(routed, now)
        if routed.is_head_relayed and not send.is_stream:
            return self._on_unusable(routed, "not a stream", now)
        dispatcher.observations.health.record_success(send.server)
        request_id = routed.request.request_id
        if routed.is_head_relayed:
            relay = [RelayEnd(request_id)]
        else:
            routed.first_event_at = now
            relay = [RelayFullResponse(request_id, send.send_id)]
        dispatcher.load.remove(send.send_id)
        effects = [
            effect
            for effect in dispatcher.close(routed, "done", now)
            if not isinstance(effect, AbortSend)
        ]
        return effects + relay + dispatcher.place_waiting(now)

    def _on_failure(self, routed: RoutedRequest, now: float) -> list:
        dispatcher = self.controller
        send = dispatcher.end_send(routed, now)
        routed.possible_runs += 1
        routed.failed_send_id = send.send_id
        if send.status < 500:
            return dispatcher.give_up(routed, now) + dispatcher.place_waiting(now)
        dispatcher.observations.health.record_failure(send.server, now)
        fields = (("server", send.server), ("status", str(send.status)))
        note = LogEvent(
            "info", "server_failed", routed.request.caller_request_id, fields
        )
        return [
            note,
            *dispatcher.retry_or_give_up(routed, RetryReason.SERVER_FAILED, now),
            *dispatcher.place_waiting(now),
        ]

    def on_lost(self, message: ResponseLost, now: float) -> list:
        """Handle a send whose answer will not be complete."""
        routed = self.controller.sends.get(message.send_id)
        if routed is None:
            return []
        if message.is_sent:
            return self._on_unusable(routed, message.problem, now)
        send = self.controller.end_send(routed, now)
        self.controller.observations.health.record_failure(
            send.server, now, certain=True
        )
        self.controller.observations.record_unreachable(send.server, now)
        routed.undelivered += 1
        return [
            self._make_lost_note(routed, send, message.problem),
            *self.controller.retry_or_give_up(
                routed, RetryReason.SERVER_LOST, now, has_arrived=False
            ),
            *self.controller.place_waiting(now),
        ]

    def _on_unusable(self, routed: RoutedRequest, problem: str, now: float) -> list:
        """Handle a send that failed after the request may have run."""
        send = self.controller.end_send(routed, now)
        routed.possible_runs += 1
        self.controller.observations.health.record_failure(send.server, now)
        return [
            self._make_lost_note(routed, send, problem),
            AbortSend(send.send_id),
            *self.controller.retry_or_give_up(routed, RetryReason.SERVER_LOST, now),
            *self.controller.place_waiting(now),
        ]

    def _make_lost_note(
        self, routed: RoutedRequest, send: SendState, problem: str
    ) -> LogEvent:
        fields = (
            ("server", send.server),
            ("problem", problem),
            ("events", str(send.events)),
        )
        return LogEvent("info", "send_lost", routed.request.caller_request_id, fields)

    def check_silence(self, now: float) -> list:
        """Move repeatable requests away from servers that have fallen silent."""
        effects = []
        for routed in list(self.controller.requests.values()):
            send = routed.active_send
            if send is None or send.pending_placement is not None:
                continue
            if not routed.route.is_repeatable:
                continue
            timeout_s = _silence_timeout_s(routed, send)
            timeout_s += READING_FACTOR * self._read_allowance_s(send, now)
            silent_s = now - send.progress_at
            if silent_s > timeout_s:
                effects += self._on_silent(routed, now)
            elif self._should_move(routed, silent_s, now):
                effects += self._move(routed, now)
        return effects

    def _should_move(self, routed: RoutedRequest, silent_s: float, now: float) -> bool:
        """Return whether to move a stream before its caller disconnects.

        It moves once its caller would leave before the reading engine continues, and
        only to an engine that is expected to send an event before that.
        """
        patience_s = _caller_patience_s(routed)
        if silent_s <= MOVE_FRACTION * patience_s:
            return False
        selector = self.controller.selector
        known = selector.candidates(routed, now)
        placement = selector.choose(routed, known, now) if known else None
        return placement is not None and placement.expected_s < patience_s - silent_s

    def _read_allowance_s(self, send: SendState, now: float) -> float:
        """Return seconds for which a send may be silent while its engines read."""
        load = self.controller.load
        names = (send.server, *(() if send.events else send.helpers))
        return max(load.reading_s(name, now) for name in names)

    def _on_silent(self, routed: RoutedRequest, now: float) -> list:
        dispatcher = self.controller
        send = routed.active_send
        is_fully_silent = (
            dispatcher.observations.last_response_at.get(send.server, 0.0)
            <= send.progress_at
        )
        dispatcher.observations.health.record_failure(
            send.server, now, certain=is_fully_silent
        )
        return self._move(routed, now)

    def _move(self, routed: RoutedRequest, now: float) -> list:
        """Send a request to another server, if it may still be sent."""
        dispatcher = self.controller
        send = routed.active_send
        if routed.possible_runs + 1 >= routed.route.attempts:
            send.progress_at = now
            return []
        dispatcher.end_send(routed, now)
        routed.possible_runs += 1
        fields = (
            ("server", send.server),
            ("silent_s", f"{now - send.progress_at:.2f}"),
            ("expected_s", f"{send.expected_s:.2f}"),
            ("events", str(send.events)),
        )
        return [
            LogEvent("info", "server_silent", routed.request.caller_request_id, fields),
            AbortSend(send.send_id),
            *dispatcher.retry_or_give_up(routed, RetryReason.SERVER_SILENT, now),
        ]


def _silence_timeout_s(routed: RoutedRequest, send: SendState) -> float:
    """Return seconds of silence after which a send counts as lost."""
    if routed.route.kind is not RouteKind.STREAM:
        return SAFE_TIMEOUT_FACTOR * routed.route.target_latency_s
    if not send.events:
        return FIRST_EVENT_SLACK_S + FIRST_EVENT_FACTOR * send.expected_s
    return max(
        MIN_GAP_TIMEOUT_S, GAP_TIMEOUT_FACTOR * (routed.route.gap_limit_s or 0.0)
    )


def _caller_patience_s(routed: RoutedRequest) -> float:
    """Return seconds of silence after which the caller of a stream disconnects."""
    if routed.route.kind is not RouteKind.STREAM:
        return float("inf")
    target_s, gap_s = routed.route.target_latency_s, routed.route.gap_limit_s or 0.0
    return max(
        CALLER_MIN_PATIENCE_S,
        CALLER_TARGET_FACTOR * target_s,
        CALLER_GAP_FACTOR * gap_s,
    )


def _is_newer(event_id: str, last: str) -> bool:
    if not last:
        return True
    try:
        return int(event_id) > int(last)
    except ValueError:
        return event_id != last

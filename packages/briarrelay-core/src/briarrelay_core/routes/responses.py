"""Handles responses of backend servers."""

from attrs import define

from briarrelay_core.membership.rendezvous import unit_hash
from briarrelay_core.ports.route import (
    AbortAttempt,
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
from briarrelay_core.routes.backpressure import was_unread
from briarrelay_core.routes.controller import RequestController
from briarrelay_core.routes.losses.judge import Cause, Finding
from briarrelay_core.routes.quarantine import SURVIVAL_EVENTS
from briarrelay_core.routes.requeststate import AttemptState, RoutedRequest

__all__ = ["ResponseHandler"]

_KINDS_WITH_LIMIT = (ResponseKind.SUCCESS, ResponseKind.NOT_RUN)
"""Kinds of responses in which a server names its limit while it has one."""


@define(slots=True, eq=False)
class ResponseHandler:
    """Applies responses of backend servers to the requests in progress.

    Its methods return the effects to execute.
    """

    controller: RequestController

    def on_head(self, message: ResponseHead, now: float) -> list:
        """Handle the head of a response."""
        routed = self.controller.attempts.get(message.attempt_id)
        if routed is None:
            return []
        attempt = routed.active_attempt
        self.controller.observations.record_response(attempt.server, now)
        attempt.kind = message.kind
        attempt.status = message.status
        attempt.is_stream = message.is_stream
        self.controller.record_progress(routed, now)
        if message.kind is ResponseKind.OTHER_SERVER:
            return self._on_replaced(routed, now)
        effects = []
        if not attempt.is_delegated:
            effects += self._apply_announcements(routed, message, now)
        if message.kind is ResponseKind.NOT_RUN:
            return effects + self._on_refused(routed, message, now)
        if message.kind is ResponseKind.UNPROVEN:
            return effects + self._on_unusable(routed, "unproven response", now)
        return effects

    def _apply_announcements(
        self, routed: RoutedRequest, message: ResponseHead, now: float
    ) -> list:
        """Apply what the head says about the server itself: shutdown, limit, pause."""
        attempt = routed.active_attempt
        pauses = self.controller.observations.pauses
        effects = []
        if message.problem:
            fields = (("server", attempt.server), ("problem", message.problem))
            effects += [
                LogEvent(
                    "warning", "header_bad", routed.request.caller_request_id, fields
                ),
                IncrementCounter("route.header_bad"),
            ]
        if message.is_leaving:
            effects += self.controller.servers.apply_announcement(
                attempt.server, attempt.server_born, now
            )
        effects += self._apply_limit(attempt, message, now)
        if not message.pause_s:
            pauses.record_response(attempt.server, attempt.sent_at)
            return effects
        jitter = unit_hash(attempt.server, self.controller.selector.name)
        pauses.pause(attempt.server, message.pause_s, jitter, now)
        fields = (("server", attempt.server), ("pause_s", f"{message.pause_s:.2f}"))
        return [
            *effects,
            LogEvent("info", "server_paused", fields=fields),
            IncrementCounter("route.server_paused"),
        ]

    def _apply_limit(
        self, attempt: AttemptState, message: ResponseHead, now: float
    ) -> list:
        """Apply the limit on requests that the head names, or that it names none."""
        limits = self.controller.observations.limits
        server, born = attempt.server, attempt.server_born
        if message.limit is not None:
            return limits.record_limit(server, born, message.limit, now)
        # An invalid value, or an error response, does not show that there is no limit.
        if message.problem or message.kind not in _KINDS_WITH_LIMIT:
            return []
        return limits.record_no_limit(server, born, attempt.sent_at, now)

    def _on_refused(
        self, routed: RoutedRequest, message: ResponseHead, now: float
    ) -> list:
        attempt = self.controller.end_attempt(routed, now)
        refusing_server = (
            self._server_by_address(message.refused_by, attempt) or attempt.server
        )
        fields = (
            ("server", attempt.server),
            ("blamed", refusing_server),
            ("status", str(message.status)),
        )
        log_event = LogEvent(
            "info", "not_run", routed.request.caller_request_id, fields
        )
        if refusing_server != attempt.server:
            routed.exclude(refusing_server, now)
            self.controller.observations.health.record_failure(refusing_server, now)
        refusing = self.controller.servers.get(refusing_server)
        # A pause that it names says itself when it takes requests again.
        if refusing is not None and not attempt.is_delegated and not message.pause_s:
            self.controller.rejections.record(routed, refusing.entry, now)
        if attempt.is_delegated:
            routed.peer_retry_after_s = message.pause_s
        effects = [log_event, AbortAttempt(attempt.attempt_id)]
        return effects + self.controller.retry_or_give_up(
            routed, RetryReason.SERVER_REFUSED, now, not attempt.is_delegated
        )

    def _server_by_address(self, address: str, attempt: AttemptState) -> str:
        """Return the server or helper of an attempt by address, empty if none."""
        if not address:
            return ""
        for name in (attempt.server, *attempt.helpers):
            known = self.controller.servers.get(name)
            if known is not None and known.entry.address == address:
                return name
        return ""

    def _on_replaced(self, routed: RoutedRequest, now: float) -> list:
        attempt = self.controller.end_attempt(routed, now)
        known = self.controller.servers.get(attempt.server)
        if known is not None:
            known.is_address_reused = True
        fields = (("server", attempt.server),)
        log_event = LogEvent(
            "warning", "server_replaced", routed.request.caller_request_id, fields
        )
        effects = [log_event, AbortAttempt(attempt.attempt_id)]
        return effects + self.controller.retry_or_give_up(
            routed, RetryReason.SERVER_REPLACED, now
        )

    def on_event(self, message: ResponseEvent, now: float) -> list:
        """Relay an event, unless the caller already has it."""
        routed = self.controller.attempts.get(message.attempt_id)
        if routed is None:
            return []
        attempt = routed.active_attempt
        if routed.is_head_relayed:
            routed.longest_gap_s = max(routed.longest_gap_s, now - routed.last_event_at)
        routed.last_event_at = now
        self.controller.record_progress(routed, now)
        self.controller.observations.record_response(attempt.server, now)
        attempt.events += 1
        effects = []
        if attempt.events == 1:
            effects += self._on_first_event(routed, now)
        elif attempt.events == SURVIVAL_EVENTS:
            effects += self.controller.record_survival(routed, attempt, now)
        if not routed.is_head_relayed:
            routed.is_head_relayed = True
            routed.first_event_at = now
            effects.append(RelayHead(routed.request.request_id, attempt.attempt_id))
        if not _is_newer(message.event_id, routed.resume_after):
            return [*effects, IncrementCounter("route.event_repeated")]
        routed.last_event = message.event_id or routed.last_event
        effects.append(RelayEvent(routed.request.request_id, message.data))
        return effects

    def _on_first_event(self, routed: RoutedRequest, now: float) -> list:
        attempt = routed.active_attempt
        self.controller.load.mark_read(attempt.attempt_id)
        retention = self.controller.retention
        effects, expected_s = retention.on_first_event(routed, attempt, now)
        taken_s = now - attempt.sent_at
        self.controller.observations.slowdown.observe(
            attempt.server, expected_s, taken_s, now
        )
        self.controller.observations.health.record_success(attempt.server)
        return effects

    def on_done(self, message: ResponseComplete, now: float) -> list:
        """Handle the end of a complete response."""
        request_controller = self.controller
        routed = request_controller.attempts.get(message.attempt_id)
        if routed is None:
            return []
        attempt = routed.active_attempt
        if attempt.kind is ResponseKind.FAILURE:
            return self._on_failure(routed, now)
        if message.is_closed and was_unread(routed, now):
            problem = "ended with its connection after a pause in reading"
            return self._on_unusable(routed, problem, now, is_closed=True)
        if routed.is_head_relayed and not attempt.is_stream:
            return self._on_unusable(routed, "not a stream", now)
        request_controller.observations.health.record_success(attempt.server)
        request_id = routed.request.request_id
        if routed.is_head_relayed:
            relay = [RelayEnd(request_id)]
        else:
            routed.first_event_at = now
            relay = [RelayFullResponse(request_id, attempt.attempt_id)]
        request_controller.observations.times.record(routed, now)
        request_controller.load.remove(attempt.attempt_id)
        effects = request_controller.record_survival(routed, attempt, now)
        effects += [
            effect
            for effect in request_controller.close(routed, "done", now)
            if not isinstance(effect, AbortAttempt)
        ]
        return effects + relay + request_controller.place_waiting(now)

    def _on_failure(self, routed: RoutedRequest, now: float) -> list:
        request_controller = self.controller
        attempt = request_controller.end_attempt(routed, now)
        routed.possible_runs += attempt.max_runs
        routed.failed_attempt_id = attempt.attempt_id
        effects = request_controller.record_survival(routed, attempt, now)
        if attempt.status < 500:
            return [
                *effects,
                *request_controller.give_up(routed, now),
                *request_controller.place_waiting(now),
            ]
        request_controller.observations.health.record_failure(attempt.server, now)
        fields = (("server", attempt.server), ("status", str(attempt.status)))
        log_event = LogEvent(
            "info", "server_failed", routed.request.caller_request_id, fields
        )
        return [
            *effects,
            log_event,
            *request_controller.retry_or_give_up(
                routed, RetryReason.SERVER_FAILED, now
            ),
            *request_controller.place_waiting(now),
        ]

    def on_lost(self, message: ResponseLost, now: float) -> list:
        """Handle an attempt that ended without a complete response."""
        routed = self.controller.attempts.get(message.attempt_id)
        if routed is None:
            return []
        if message.is_sent:
            effects = []
            is_explained = message.is_closed or message.is_ended_here
            if not is_explained and not was_unread(routed, now):
                server = routed.active_attempt.server
                finding = self.controller.observations.record_unacknowledged(
                    server, now
                )
                effects = self._withdraw(finding)
            return effects + self._on_unusable(
                routed, message.problem, now, message.is_closed
            )
        attempt = self.controller.end_attempt(routed, now)
        observations = self.controller.observations
        if not observations.isolation.is_cut_off(routed.service, now):
            observations.health.record_failure(attempt.server, now, certain=True)
        finding = observations.record_unreachable(attempt.server, now)
        routed.undelivered += 1
        return [
            self._make_lost_log(
                routed, attempt, message.problem, message.is_closed, finding
            ),
            *self._withdraw(finding),
            *self.controller.retry_or_give_up(
                routed, RetryReason.SERVER_LOST, now, was_delivered=False
            ),
            *self.controller.place_waiting(now),
        ]

    def _on_unusable(
        self,
        routed: RoutedRequest,
        problem: str,
        now: float,
        is_closed: bool = False,
    ) -> list:
        """Handle an attempt that failed after the request may have run.

        :param is_closed: the server closed or reset the connection.
        """
        is_unread = was_unread(routed, now)
        attempt = self.controller.end_attempt(routed, now)
        routed.possible_runs += attempt.max_runs
        is_closing = is_closed and not attempt.is_delegated and not is_unread
        observations = self.controller.observations
        finding = (
            observations.judge_closed(attempt.server, attempt.sent_at, now)
            if is_closing
            else None
        )
        is_of_links = finding is not None and finding.cause is Cause.LINKS
        effects = [
            self._make_lost_log(routed, attempt, problem, is_closed, finding),
            *self._withdraw(finding),
            AbortAttempt(attempt.attempt_id),
        ]
        if is_unread:
            effects.append(IncrementCounter("route.cut_unread"))
        elif not is_of_links:
            observations.health.record_failure(attempt.server, now)
        is_crash = is_closing and not is_of_links
        if is_crash:
            observations.crashes.record_closed(attempt.incarnation, now)
        if is_of_links and not attempt.is_survived:
            self.controller.quarantine.hold_loss(
                routed.contents, attempt.incarnation, attempt.sent_at, now
            )
        if is_crash and not attempt.is_survived:
            effects += self.controller.record_crash(routed, attempt, now)
        if routed.request.request_id not in self.controller.requests:
            return [*effects, *self.controller.place_waiting(now)]
        return [
            *effects,
            *self.controller.retry_or_give_up(routed, RetryReason.SERVER_LOST, now),
            *self.controller.place_waiting(now),
        ]

    def _withdraw(self, finding: Finding | None) -> list:
        """Withdraw what was taken for crashes before the links proved to be lost."""
        if finding is None or finding.withdrawn_since is None:
            return []
        since = finding.withdrawn_since
        self.controller.observations.crashes.withdraw("", since)
        return self.controller.quarantine.withdraw("", since)

    def _make_lost_log(
        self,
        routed: RoutedRequest,
        attempt: AttemptState,
        problem: str,
        is_closed: bool,
        finding: Finding | None = None,
    ) -> LogEvent:
        fields = (
            ("server", attempt.server),
            ("problem", problem),
            ("closed", "yes" if is_closed else "no"),
            ("events", str(attempt.events)),
            ("parts", ",".join(routed.request.prompt_parts)),
            ("content", routed.content),
            ("shows", finding.cause.value if finding else ""),
            ("reason", finding.reason if finding else ""),
        )
        return LogEvent("info", "send_lost", routed.request.caller_request_id, fields)


def _is_newer(event_id: str, last: str) -> bool:
    """Return whether an event follows the last one that the caller received."""
    if not last:
        return True
    try:
        return int(event_id) > int(last)
    except ValueError:
        return event_id != last

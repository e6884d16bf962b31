"""Calls to plain services; non-repeatable ones are claimed in the log first."""

from base64 import b64encode

from attrs import define, field

from briarrelay_core.agreement.callstate import Call, CallPhase, recorded_outcome
from briarrelay_core.agreement.claims import (
    CLAIM_STREAM,
    CLOCK_SLACK_S,
    ClaimFold,
    ClaimKind,
    ClaimRecord,
    KeyPhase,
    uuid7_timestamp,
)
from briarrelay_core.agreement.logtail import LogTail
from briarrelay_core.context import Context
from briarrelay_core.membership.rendezvous import ranked
from briarrelay_core.outcomes import Done, NotRun, Outcome, Unknown
from briarrelay_core.ports.caller import CallerGone, SendOutcome, ServiceRequest
from briarrelay_core.ports.log import LogRecord
from briarrelay_core.ports.platform import InstanceKind
from briarrelay_core.ports.service import CallService, ServiceLost, ServiceResponse
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.reasons import RefusalReason, RetryReason
from briarrelay_core.routing.admission import Admission

__all__ = ["CallController"]

MAX_KEY_AGE_S = 3_600.0
"""Age beyond which an idempotency key is refused.

It is shorter than the log's retention, so that the claims of every accepted key are
still in the log.
"""

CLAIM_TIMEOUT_S = 3.0
"""Time within which an appended claim must be read back from the log."""

SEND_MARGIN_S = 0.05
"""Shortest time before its deadline at which a call is still sent."""

LOG_OUTAGE_GRACE_S = 1.0
"""Time for which log appends or reads may fail before new calls are refused."""

GONE_CHECKS_REQUIRED = 4
"""Consecutive checks, 1 s apart, that must find that the claimant has ended.

After them the outcome of its claim is reported as unknown.
"""

MAX_ATTEMPTS = 3
"""Maximum number of instances of a service that one call is sent to."""

LATE_RESPONSE_WINDOW_S = 30.0
"""Time after the caller was answered for which a late response is still recorded."""

MAX_STORED_BODY_BYTES = 65_536
"""Longest response body that is stored in the log for later calls with the same key.

A longer one is recorded as an unknown outcome.
"""


@define(slots=True)
class CallController:
    """Admits, claims, sends and answers calls to plain services.

    A call that is not repeatable and has an idempotency key is claimed: the instance
    appends a claim of the key to the log and reads the log back. The first claim of a
    key in the log wins. Only the instance that made it, the claimant, sends its call,
    and only if it has not voided the claim. Other calls with the key wait for the
    outcome that the claimant records in the log.

    :param fold: state of the claimed keys, derived from the log.
    :param tail: reads the claim stream of the log.
    :param calls: calls in progress, by request id.
    :ivar _calls_by_key: calls in progress, by workspace and idempotency key.
    :ivar _claim_count: claims made by this incarnation; makes claim ids unique.
    """

    context: Context
    admission: Admission
    fold: ClaimFold = field(factory=ClaimFold)
    tail: LogTail | None = None
    calls: dict[str, Call] = field(factory=dict)
    _calls_by_key: dict[str, list[Call]] = field(factory=dict)
    _claim_count: int = 0

    def __attrs_post_init__(self):
        self.tail = LogTail(CLAIM_STREAM, self.context.timers, self._apply_records)

    def on_request(self, request: ServiceRequest, now: float) -> list:
        """Admit a call, then send it, claim its key or await its outcome.

        A call that is not admitted is refused.
        """
        admission_result = self.admission.check_call(request, now)
        if isinstance(admission_result, NotRun):
            return self._refuse_unregistered(request, "", admission_result, now)
        spec = self.context.configuration.services[request.service]
        call = Call(request, admission_result.workspace, spec.repeatable, now)
        if request.request_id in self.calls:
            refusal = NotRun(RefusalReason.DUPLICATE_REQUEST, detail=request.request_id)
            return self._refuse_unregistered(request, "", refusal, now)
        if spec.repeatable or not request.idempotency_key:
            self._register(call)
            return self._send(call, now)
        key_refusal = self._check_key(call, now)
        if key_refusal is not None:
            return self._refuse_unregistered(request, call.workspace, key_refusal, now)
        self._register(call)
        return self._claim_or_wait(call, now)

    def _check_key(self, call: Call, now: float) -> Outcome | None:
        """Check the idempotency key of a call and set `Call.key`.

        :returns: the outcome to refuse the call with, None if the key is accepted.
        """
        key = call.request.idempotency_key
        created_at = uuid7_timestamp(key)
        if created_at is None or created_at > now + CLOCK_SLACK_S:
            return NotRun(RefusalReason.KEY_INVALID, detail=f"given {key!r}.")
        if created_at < now - MAX_KEY_AGE_S:
            reason = RefusalReason.KEY_EXPIRED
            detail = f"the key is {now - created_at:.0f} s old. {reason.remedy}"
            return Unknown(detail, reason.value)
        call.key = f"{call.workspace}/{key}"
        if not self.tail.caught_up:
            return NotRun(
                RefusalReason.LOG_UNAVAILABLE,
                2.0,
                "claims are not read.",
            )
        return None

    def _register(self, call: Call) -> None:
        self.calls[call.id] = call
        if call.key:
            self._calls_by_key.setdefault(call.key, []).append(call)
        timer = self.context.timers.at(
            call.request.deadline, lambda t: self._on_deadline(call, t)
        )
        call.timers.append(timer)

    def _claim_or_wait(self, call: Call, now: float) -> list:
        """Claim the key of a call, or wait if another call already uses the key."""
        state = self.fold.state_of(call.key)
        same_key_calls = [c for c in self._calls_by_key[call.key] if c is not call]
        if state.phase is not KeyPhase.FREE or same_key_calls:
            call.why.append("waits for the claim made before it")
            return self._wait_for_outcome(call, now)
        if self._log_is_down(now):
            refusal = NotRun(RefusalReason.LOG_UNAVAILABLE, 2.0, "the log is down.")
            return self._finish(call, refusal, now)
        return self._claim(call, now)

    def _log_is_down(self, now: float) -> bool:
        failing_since = self.tail.down_since
        reads_down = (
            failing_since is not None and now - failing_since > LOG_OUTAGE_GRACE_S
        )
        return reads_down or self.context.outbox.is_down(now, LOG_OUTAGE_GRACE_S)

    def _claim(self, call: Call, now: float) -> list:
        self._claim_count += 1
        identity = self.context.identity
        call.claim_id = f"{identity.name}.{identity.incarnation}.{self._claim_count}"
        timeout_at = min(now + CLAIM_TIMEOUT_S, call.request.deadline - SEND_MARGIN_S)
        timer = self.context.timers.at(
            timeout_at, lambda t: self._on_claim_timeout(call, t)
        )
        call.timers.append(timer)
        return self._append(call, ClaimKind.CLAIM, now)

    def _append(
        self, call: Call, kind: ClaimKind, now: float, status: int = 0, body: str = ""
    ) -> list:
        record = ClaimRecord(
            kind=kind,
            key=call.key,
            claim_id=call.claim_id,
            claimant=self.context.identity.name,
            incarnation=self.context.identity.incarnation,
            status=status,
            body=body,
        )
        return self.context.outbox.add(CLAIM_STREAM, record.to_json(), now)

    def _on_claim_timeout(self, call: Call, now: float) -> list:
        """Void a claim that was not read back in time, so that it is never sent."""
        if call.phase is not CallPhase.CLAIMING:
            return []
        refusal = NotRun(
            RefusalReason.LOG_UNAVAILABLE,
            2.0,
            "the claim is unanswered.",
        )
        return self._void_and_refuse(call, refusal, now)

    def _void_and_refuse(self, call: Call, refusal: NotRun, now: float) -> list:
        """Refuse a call that is not sent, or not sent again; void its claim, if any.

        A call that may have run ends with an unknown outcome instead.
        """
        if call.may_have_run:
            return self._end_unanswered(call, now)
        call.why.append("claim voided before it was sent")
        effects = self._append(call, ClaimKind.VOID, now) if call.claim_id else []
        return effects + self._finish(call, refusal, now)

    def _apply_records(self, records: tuple[LogRecord, ...], now: float) -> list:
        """Apply records of the claim stream and advance the calls of their keys."""
        changed_keys = {}
        for record in records:
            claim = self.fold.apply(record)
            if claim is not None:
                changed_keys[claim.key] = None
        self.fold.drop_keys_before(now - MAX_KEY_AGE_S - 2 * CLOCK_SLACK_S)
        effects = []
        for key in changed_keys:
            for call in list(self._calls_by_key.get(key, ())):
                effects += self._apply_key_state(call, now)
        return effects

    def _apply_key_state(self, call: Call, now: float) -> list:
        """Advance a call after the log changed the state of its key."""
        state = self.fold.state_of(call.key)
        if call.phase is CallPhase.CLAIMING:
            if state.phase is KeyPhase.FREE:
                return []
            if state.claim_id == call.claim_id and state.phase is KeyPhase.CLAIMED:
                return self._send(call, now)
            call.why.append(f"{state.claimant} claimed the key first")
            return self._wait_for_outcome(call, now)
        recorded = recorded_outcome(state) if call.phase is CallPhase.WAITING else None
        return [] if recorded is None else self._finish(call, recorded, now)

    def _wait_for_outcome(self, call: Call, now: float) -> list:
        """Finish with the recorded outcome of the key, or check the claimant in 1 s."""
        call.phase = CallPhase.WAITING
        recorded = recorded_outcome(self.fold.state_of(call.key))
        if recorded is not None:
            return self._finish(call, recorded, now)
        timer = self.context.timers.at(
            now + 1.0, lambda t: self._check_claimant(call, t)
        )
        call.timers.append(timer)
        return []

    def _check_claimant(self, call: Call, now: float) -> list:
        """Finish a waiting call if its claimant has ended, otherwise wait on."""
        if call.phase is not CallPhase.WAITING:
            return []
        state = self.fold.state_of(call.key)
        claimant_gone = self.context.membership.is_gone(
            state.claimant, state.incarnation
        )
        call.claimant_gone_checks = (
            call.claimant_gone_checks + 1 if claimant_gone else 0
        )
        if call.claimant_gone_checks >= GONE_CHECKS_REQUIRED:
            detail = f"{state.claimant} claimed the key and is gone."
            return self._finish(call, Unknown(detail), now)
        return self._wait_for_outcome(call, now)

    def _send(self, call: Call, now: float) -> list:
        """Send a call to an instance of the service that was not tried yet.

        A call with a key may be sent only if its claim is the first one of the key.
        """
        if now > call.request.deadline - SEND_MARGIN_S:
            refusal = NotRun(RefusalReason.CANNOT_FINISH, 1.0, scope=call.scope)
            return self._void_and_refuse(call, refusal, now)
        instance = self._choose_instance(call, now)
        if instance is None or call.attempts >= MAX_ATTEMPTS:
            refusal = NotRun(RefusalReason.NO_SERVICE, 2.0, scope=call.scope)
            return self._void_and_refuse(call, refusal, now)
        call.phase = CallPhase.SENT
        call.attempts += 1
        call.instance = instance
        call.tried_instances.add(instance)
        call.why.append(f"sent to {instance} after {now - call.arrived_at:.3f} s")
        request = call.request
        return [
            CallService(
                instance=instance,
                call_id=call.id,
                path=request.path,
                body=request.body,
                idempotency_key=request.idempotency_key,
                deadline=request.deadline,
            )
        ]

    def _choose_instance(self, call: Call, now: float) -> str | None:
        """Return an untried healthy instance, in this data centre if there is one.

        Instances are ranked by rendezvous hashing of the call's id.
        """
        local_data_centre = self.context.identity.data_centre
        eligible = [
            m
            for m in self.context.membership.live(InstanceKind.SERVICE)
            if m.listed.service == call.request.service
            and m.name not in call.tried_instances
            and not self.context.fleet.health.is_ejected(m.name, now)
        ]
        local_names = [
            m.name for m in eligible if m.listed.data_centre == local_data_centre
        ]
        ranked_names = ranked(call.id, local_names or [m.name for m in eligible])
        return ranked_names[0] if ranked_names else None

    def on_response(self, message: ServiceResponse, now: float) -> list:
        """Record a service's complete response and pass it to the caller."""
        call = self.calls.get(message.call_id)
        if call is None or call.phase not in (CallPhase.SENT, CallPhase.DETACHED):
            return []
        self.context.fleet.health.record_success(call.instance)
        effects = self._record_outcome(call, message.status, message.body, now)
        return effects + self._finish(call, Done(message.status, message.body), now)

    def _record_outcome(self, call: Call, status: int, body: bytes, now: float) -> list:
        if not call.key:
            return []
        if len(body) > MAX_STORED_BODY_BYTES:
            status, body = 0, b""
        encoded_body = b64encode(body).decode()
        return self._append(call, ClaimKind.OUTCOME, now, status, encoded_body)

    def on_lost(self, message: ServiceLost, now: float) -> list:
        """Handle a call whose response will not arrive.

        It is retried if it was not sent or is repeatable. Otherwise it ends with an
        unknown outcome.
        """
        call = self.calls.get(message.call_id)
        if call is None or call.phase not in (CallPhase.SENT, CallPhase.DETACHED):
            return []
        self.context.fleet.health.record_failure(call.instance, now)
        if message.sent:
            call.may_have_run = True
        may_repeat = call.repeatable and call.phase is CallPhase.SENT
        if not message.sent or may_repeat:
            return self._retry(call, message.sent, now)
        return self._end_unanswered(call, now)

    def _end_unanswered(self, call: Call, now: float) -> list:
        """End a call that was sent and not answered with an unknown outcome."""
        effects = self._record_outcome(call, 0, b"", now)
        detail = f"{call.instance} was sent the call and did not answer."
        return effects + self._finish(call, Unknown(detail), now)

    def _retry(self, call: Call, was_sent: bool, now: float) -> list:
        reason = RetryReason.SERVICE_LOST if was_sent else RetryReason.SERVICE_NOT_SENT
        effects = [IncrementCounter(f"retried.{reason.value}")]
        effects += self.context.record_event(
            now, "retry", call.id, call.workspace, reason.value, (call.instance,)
        )
        if call.phase is CallPhase.DETACHED or not self.context.retry_budget.withdraw(
            now
        ):
            refusal = NotRun(RefusalReason.NO_SERVICE, 2.0, scope=call.scope)
            return effects + self._void_and_refuse(call, refusal, now)
        return effects + self._send(call, now)

    def _on_deadline(self, call: Call, now: float) -> list:
        """Answer the caller of a call that has no outcome at its deadline.

        A claim that was not read back has already timed out before the deadline.
        """
        if call.phase is CallPhase.SENT:
            return self._detach(call, "no answer before the deadline.", now)
        if call.phase is CallPhase.WAITING:
            return self._finish(call, self._unresolved_outcome(call), now)
        return []

    def _unresolved_outcome(self, call: Call) -> Outcome:
        """Return the outcome of a call that is still waiting at its deadline."""
        state = self.fold.state_of(call.key)
        if state.phase is KeyPhase.FREE:
            detail = "no claim was read."
            return NotRun(RefusalReason.LOG_UNAVAILABLE, 1.0, detail)
        return Unknown(f"{state.claimant} holds the claim and has not answered.")

    def _detach(self, call: Call, detail: str, now: float) -> list:
        """Answer the caller that the outcome is unknown.

        The call stays open for a late response of the service, which is recorded in the
        log for later calls with the same key.
        """
        effects = self._answer_caller(call, Unknown(detail), now)
        call.phase = CallPhase.DETACHED
        timer = self.context.timers.at(
            now + LATE_RESPONSE_WINDOW_S,
            lambda t: self._on_late_response_timeout(call, t),
        )
        call.timers.append(timer)
        return effects

    def _on_late_response_timeout(self, call: Call, now: float) -> list:
        """Record an unknown outcome for a detached call and stop waiting for it."""
        effects = self._record_outcome(call, 0, b"", now)
        return effects + self._finish(call, Unknown("never answered."), now)

    def on_caller_disconnected(self, message: CallerGone, now: float) -> list:
        """Handle a caller that disconnected.

        A call that was sent continues until its outcome is recorded; others are voided.
        """
        call = self.calls.get(message.request_id)
        if call is None or call.phase is CallPhase.DETACHED:
            return []
        if call.phase is CallPhase.SENT:
            return self._detach(call, "the caller is gone.", now)
        refusal = NotRun(RefusalReason.CANNOT_FINISH, 0.0, "the caller is gone.")
        return self._void_and_refuse(call, refusal, now)

    def _refuse_unregistered(
        self, request: ServiceRequest, workspace: str, outcome: Outcome, now: float
    ) -> list:
        """Answer a call that is refused before it was added to `calls`."""
        reason = outcome.reason
        message = getattr(outcome, "message", "") or outcome.detail
        return [
            IncrementCounter(f"refused.{reason}"),
            SendOutcome(request.request_id, outcome),
            *self.context.record_event(
                now, "refusal", request.request_id, workspace, str(reason), (message,)
            ),
        ]

    def _finish(self, call: Call, outcome: Outcome, now: float) -> list:
        """Answer the caller unless that is done, and remove the call."""
        already_answered = call.phase is CallPhase.DETACHED
        effects = [] if already_answered else self._answer_caller(call, outcome, now)
        call.phase = CallPhase.DONE
        call.cancel_timers()
        self.calls.pop(call.id, None)
        same_key_calls = self._calls_by_key.get(call.key, [])
        if call in same_key_calls:
            same_key_calls.remove(call)
        if not same_key_calls:
            self._calls_by_key.pop(call.key, None)
        return effects

    def _answer_caller(self, call: Call, outcome: Outcome, now: float) -> list:
        reason = getattr(outcome, "reason", "")
        outcome_label = f"{outcome.tag}.{reason}" if reason else outcome.tag
        counter = (
            f"refused.{reason}" if outcome.tag == "not_run" else f"call.{outcome_label}"
        )
        kind = "refusal" if outcome.tag == "not_run" else "request"
        return [
            SendOutcome(call.id, outcome),
            IncrementCounter(counter),
            *self.context.record_event(
                now, kind, call.id, call.workspace, outcome_label, tuple(call.why)
            ),
        ]

"""Calls to plain services; those that may not be repeated are claimed first."""

from base64 import b64encode

from attrs import define, field

from briarrelay_core.agreement.callstate import Call, CallPhase, settled
from briarrelay_core.agreement.claims import (
    CLAIM_STREAM,
    CLOCK_SLACK_S,
    ClaimFold,
    ClaimKind,
    ClaimRecord,
    KeyPhase,
    key_time,
)
from briarrelay_core.agreement.tails import LogTail
from briarrelay_core.context import Context
from briarrelay_core.membership.rendezvous import ranked
from briarrelay_core.outcomes import Done, NotRun, Outcome, Unknown
from briarrelay_core.ports.caller import CallerGone, Finish, ServiceRequest
from briarrelay_core.ports.log import LogRecord
from briarrelay_core.ports.observe import Count
from briarrelay_core.ports.platform import InstanceKind
from briarrelay_core.ports.service import CallService, ServiceAnswer, ServiceLost
from briarrelay_core.reasons import RefusalReason, RetryReason
from briarrelay_core.routing.admission import Admission

__all__ = ["CallDesk"]

KEY_WINDOW_S = 3_600.0
"""Age of the oldest key that is accepted; less than the log's retention."""

CLAIM_S = 3.0
"""Longest time to wait for a claim to be read back."""

SEND_MARGIN_S = 0.05
"""Least time before the deadline at which a call is still sent."""

LOG_PATIENCE_S = 1.0
"""Seconds of failing appends or reads after which calls are refused at once."""

GONE_CHECKS = 4
"""Looks, a second apart, after which a claim of a gone claimant is unknown."""

MAX_SENDS = 3
"""Most instances that one call is offered to."""

LATE_ANSWER_S = 30.0
"""Seconds beyond the deadline for which a late answer is still recorded."""

MAX_KEPT_BODY = 65_536
"""Bytes of an answer that the log keeps for a later call under the same key."""


@define(slots=True)
class CallDesk:
    """Takes calls in, claims, sends and answers them.

    Only the first claim of a key in the order of the log is ever sent, and only by
    the instance that made it, while it has not decided to void it.
    """

    context: Context
    admission: Admission
    fold: ClaimFold = field(factory=ClaimFold)
    tail: LogTail | None = None
    calls: dict[str, Call] = field(factory=dict)
    _by_key: dict[str, list[Call]] = field(factory=dict)
    _claims: int = 0

    def __attrs_post_init__(self):
        self.tail = LogTail(CLAIM_STREAM, self.context.timers, self._consume)

    def on_request(self, request: ServiceRequest, now: float) -> list:
        """Take a call."""
        checked = self.admission.check_call(request, now)
        if isinstance(checked, NotRun):
            return self._refuse(request, "", checked, now)
        spec = self.context.configuration.services[request.service]
        call = Call(request, checked.workspace, spec.repeatable, now)
        if request.request_id in self.calls:
            refusal = NotRun(RefusalReason.DUPLICATE_REQUEST, detail=request.request_id)
            return self._refuse(request, "", refusal, now)
        if spec.repeatable or not request.idempotency_key:
            self._open(call)
            return self._send(call, now)
        answer = self._check_key(call, now)
        if answer is not None:
            return self._refuse(request, call.workspace, answer, now)
        self._open(call)
        return self._begin(call, now)

    def _check_key(self, call: Call, now: float) -> Outcome | None:
        key = call.request.idempotency_key
        made = key_time(key)
        if made is None or made > now + CLOCK_SLACK_S:
            return NotRun(RefusalReason.KEY_INVALID, detail=f"given {key!r}.")
        if made < now - KEY_WINDOW_S:
            reason = RefusalReason.KEY_EXPIRED
            detail = f"the key is {now - made:.0f} s old. {reason.remedy}"
            return Unknown(detail, reason.value)
        call.key = f"{call.workspace}/{key}"
        if not self.tail.caught_up:
            return NotRun(RefusalReason.LOG_UNAVAILABLE, 2.0, "claims are not read.")
        return None

    def _open(self, call: Call) -> None:
        self.calls[call.id] = call
        if call.key:
            self._by_key.setdefault(call.key, []).append(call)
        timer = self.context.timers.at(
            call.request.deadline, lambda t: self._on_deadline(call, t)
        )
        call.timers.append(timer)

    def _begin(self, call: Call, now: float) -> list:
        state = self.fold.state_of(call.key)
        twins = [c for c in self._by_key[call.key] if c is not call]
        if state.phase is not KeyPhase.FREE or twins:
            call.why.append("waits for the claim made before it")
            return self._wait(call, now)
        if self._log_is_down(now):
            refusal = NotRun(RefusalReason.LOG_UNAVAILABLE, 2.0, "the log is down.")
            return self._finish(call, refusal, now)
        return self._claim(call, now)

    def _log_is_down(self, now: float) -> bool:
        down = self.tail.down_since
        reads_down = down is not None and now - down > LOG_PATIENCE_S
        return reads_down or self.context.outbox.is_down(now, LOG_PATIENCE_S)

    def _claim(self, call: Call, now: float) -> list:
        self._claims += 1
        identity = self.context.identity
        call.claim_id = f"{identity.name}.{identity.incarnation}.{self._claims}"
        due = min(now + CLAIM_S, call.request.deadline - SEND_MARGIN_S)
        timer = self.context.timers.at(due, lambda t: self._on_claim_late(call, t))
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

    def _on_claim_late(self, call: Call, now: float) -> list:
        """Give a claim up that was not read back in time; it is never sent."""
        if call.phase is not CallPhase.CLAIMING:
            return []
        refusal = NotRun(RefusalReason.LOG_UNAVAILABLE, 2.0, "the claim is unanswered.")
        return self._void(call, refusal, now)

    def _void(self, call: Call, refusal: NotRun, now: float) -> list:
        call.why.append("claim voided before it was sent")
        effects = self._append(call, ClaimKind.VOID, now) if call.claim_id else []
        return effects + self._finish(call, refusal, now)

    def _consume(self, records: tuple[LogRecord, ...], now: float) -> list:
        touched = {}
        for record in records:
            claim = self.fold.apply(record)
            if claim is not None:
                touched[claim.key] = None
        self.fold.forget_before(now - KEY_WINDOW_S - 2 * CLOCK_SLACK_S)
        effects = []
        for key in touched:
            for call in list(self._by_key.get(key, ())):
                effects += self._look(call, now)
        return effects

    def _look(self, call: Call, now: float) -> list:
        """Act on what the log now says of a call's key."""
        state = self.fold.state_of(call.key)
        if call.phase is CallPhase.CLAIMING:
            if state.phase is KeyPhase.FREE:
                return []
            if state.claim_id == call.claim_id and state.phase is KeyPhase.CLAIMED:
                return self._send(call, now)
            call.why.append(f"{state.claimant} claimed the key first")
            return self._wait(call, now)
        answer = settled(state) if call.phase is CallPhase.WAITING else None
        return [] if answer is None else self._finish(call, answer, now)

    def _wait(self, call: Call, now: float) -> list:
        """Wait for the outcome of another claim under the same key."""
        call.phase = CallPhase.WAITING
        answer = settled(self.fold.state_of(call.key))
        if answer is not None:
            return self._finish(call, answer, now)
        timer = self.context.timers.at(now + 1.0, lambda t: self._on_wait(call, t))
        call.timers.append(timer)
        return []

    def _on_wait(self, call: Call, now: float) -> list:
        if call.phase is not CallPhase.WAITING:
            return []
        state = self.fold.state_of(call.key)
        gone = self.context.membership.is_gone(state.claimant, state.incarnation)
        call.gone_checks = call.gone_checks + 1 if gone else 0
        if call.gone_checks >= GONE_CHECKS:
            detail = f"{state.claimant} claimed the key and is gone."
            return self._finish(call, Unknown(detail), now)
        return self._wait(call, now)

    def _send(self, call: Call, now: float) -> list:
        """Send a call; for a claimed one this happens for the winner only."""
        if now > call.request.deadline - SEND_MARGIN_S:
            refusal = NotRun(RefusalReason.CANNOT_FINISH, 1.0, scope=call.scope)
            return self._void(call, refusal, now)
        instance = self._choose(call, now)
        if instance is None or call.sends >= MAX_SENDS:
            refusal = NotRun(RefusalReason.NO_SERVICE, 2.0, scope=call.scope)
            return self._void(call, refusal, now)
        call.phase = CallPhase.SENT
        call.sends += 1
        call.instance = instance
        call.tried.add(instance)
        call.why.append(f"sent to {instance} after {now - call.arrived:.3f} s")
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

    def _choose(self, call: Call, now: float) -> str | None:
        here = self.context.identity.data_centre
        live = [
            m
            for m in self.context.membership.live(InstanceKind.SERVICE)
            if m.listed.service == call.request.service
            and m.name not in call.tried
            and not self.context.fleet.health.is_ejected(m.name, now)
        ]
        near = [m.name for m in live if m.listed.data_centre == here]
        names = ranked(call.id, near or [m.name for m in live])
        return names[0] if names else None

    def on_answer(self, message: ServiceAnswer, now: float) -> list:
        """Take a service's whole answer."""
        call = self.calls.get(message.call_id)
        if call is None or call.phase not in (CallPhase.SENT, CallPhase.DETACHED):
            return []
        self.context.fleet.health.record_success(call.instance)
        effects = self._record_outcome(call, message.status, message.body, now)
        return effects + self._finish(call, Done(message.status, message.body), now)

    def _record_outcome(self, call: Call, status: int, body: bytes, now: float) -> list:
        if not call.key:
            return []
        if len(body) > MAX_KEPT_BODY:
            status, body = 0, b""
        text = b64encode(body).decode()
        return self._append(call, ClaimKind.OUTCOME, now, status, text)

    def on_lost(self, message: ServiceLost, now: float) -> list:
        """Take word that a call got no answer."""
        call = self.calls.get(message.call_id)
        if call is None or call.phase not in (CallPhase.SENT, CallPhase.DETACHED):
            return []
        self.context.fleet.health.record_failure(call.instance, now)
        may_repeat = call.repeatable and call.phase is CallPhase.SENT
        if not message.sent or may_repeat:
            return self._send_again(call, now)
        effects = self._record_outcome(call, 0, b"", now)
        detail = f"{call.instance} was sent the call and did not answer."
        return effects + self._finish(call, Unknown(detail), now)

    def _send_again(self, call: Call, now: float) -> list:
        reason = RetryReason.SERVICE_NOT_SENT
        effects = [Count(f"retried.{reason.value}")]
        effects += self.context.note(
            now, "retry", call.id, call.workspace, reason.value, (call.instance,)
        )
        if call.phase is CallPhase.DETACHED or not self.context.budget.withdraw(now):
            refusal = NotRun(RefusalReason.NO_SERVICE, 2.0, scope=call.scope)
            return effects + self._void(call, refusal, now)
        return effects + self._send(call, now)

    def _on_deadline(self, call: Call, now: float) -> list:
        if call.phase is CallPhase.SENT:
            return self._detach(call, "no answer before the deadline.", now)
        if call.phase is CallPhase.WAITING:
            return self._finish(call, self._unsettled(call), now)
        return []

    def _unsettled(self, call: Call) -> Outcome:
        state = self.fold.state_of(call.key)
        if state.phase is KeyPhase.FREE:
            detail = "no claim was read."
            return NotRun(RefusalReason.LOG_UNAVAILABLE, 1.0, detail)
        return Unknown(f"{state.claimant} holds the claim and has not answered.")

    def _detach(self, call: Call, detail: str, now: float) -> list:
        """Answer the caller and go on waiting for the service, for the log."""
        effects = self._answer(call, Unknown(detail), now)
        call.phase = CallPhase.DETACHED
        timer = self.context.timers.at(
            now + LATE_ANSWER_S, lambda t: self._on_never_answered(call, t)
        )
        call.timers.append(timer)
        return effects

    def _on_never_answered(self, call: Call, now: float) -> list:
        effects = self._record_outcome(call, 0, b"", now)
        return effects + self._finish(call, Unknown("never answered."), now)

    def on_caller_gone(self, message: CallerGone, now: float) -> list:
        """Take word that a caller does not wait any more."""
        call = self.calls.get(message.request_id)
        if call is None or call.phase is CallPhase.DETACHED:
            return []
        if call.phase is CallPhase.SENT:
            return self._detach(call, "the caller is gone.", now)
        refusal = NotRun(RefusalReason.CANNOT_FINISH, 0.0, "the caller is gone.")
        return self._void(call, refusal, now)

    def _refuse(
        self, request: ServiceRequest, workspace: str, outcome: Outcome, now: float
    ) -> list:
        reason = outcome.reason
        message = getattr(outcome, "message", "") or outcome.detail
        return [
            Count(f"refused.{reason}"),
            Finish(request.request_id, outcome),
            *self.context.note(
                now, "refusal", request.request_id, workspace, str(reason), (message,)
            ),
        ]

    def _finish(self, call: Call, outcome: Outcome, now: float) -> list:
        answered = call.phase is CallPhase.DETACHED
        effects = [] if answered else self._answer(call, outcome, now)
        call.phase = CallPhase.DONE
        call.cancel_timers()
        self.calls.pop(call.id, None)
        twins = self._by_key.get(call.key, [])
        if call in twins:
            twins.remove(call)
        if not twins:
            self._by_key.pop(call.key, None)
        return effects

    def _answer(self, call: Call, outcome: Outcome, now: float) -> list:
        reason = getattr(outcome, "reason", "")
        label = f"{outcome.tag}.{reason}" if reason else outcome.tag
        name = f"refused.{reason}" if outcome.tag == "not_run" else f"call.{label}"
        kind = "refusal" if outcome.tag == "not_run" else "request"
        return [
            Finish(call.id, outcome),
            Count(name),
            *self.context.note(
                now, kind, call.id, call.workspace, label, tuple(call.why)
            ),
        ]

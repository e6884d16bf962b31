"""Lifecycle of prompts: admission, retries and the final outcome."""

from attrs import define

from briarrelay_core.chats.cancels import CancelRetrier
from briarrelay_core.chats.chatstate import Chat, Phase
from briarrelay_core.context import Context
from briarrelay_core.memory.reservations import ReservationCoordinator
from briarrelay_core.outcomes import Done, Failed, NotRun, Outcome
from briarrelay_core.ports.caller import CallerGone, ChatRequest, SendOutcome
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.reasons import FailureReason, RefusalReason, RetryReason
from briarrelay_core.routing.admission import Admission, whole_seconds
from briarrelay_core.routing.dispatch import Dispatcher
from briarrelay_core.routing.retries import retry_delay
from briarrelay_core.routing.spill import SpillRelay

__all__ = ["ChatController"]

ENGINE_FAILURE_REASONS = {
    RetryReason.STREAM_SILENT,
    RetryReason.ENGINE_LOST,
    RetryReason.SEGMENT_LOST,
}
"""Retry reasons that count as a failure of the engine."""


@define(slots=True)
class ChatController:
    """Admits prompts, retries them and ends each with exactly one outcome."""

    context: Context
    admission: Admission
    dispatcher: Dispatcher
    reservations: ReservationCoordinator
    cancels: CancelRetrier
    spill: SpillRelay

    def on_request(self, request: ChatRequest, now: float) -> list:
        """Admit, relay or refuse a prompt of a caller or a peer."""
        checked = self.admission.check_chat(request, now)
        if isinstance(checked, NotRun):
            return self.refuse(request, "", checked, now)
        self._record_demand(request, now)
        chat = Chat(request, checked.workspace, checked.weight, now)
        refusal = self._find_refusal(chat, now)
        if refusal is not None:
            relayed = self.spill.try_relay(chat, refusal, now)
            if relayed is None:
                return self.refuse(request, checked.workspace, refusal, now)
            self._admit(chat, now)
            return relayed
        self._admit(chat, now)
        return self.dispatcher.submit(chat, now)

    def _record_demand(self, request: ChatRequest, now: float) -> None:
        self.context.total_demand.add(request.prompt_tokens, now)
        self.context.retry_budget.deposit(self.context.preset.retry_ratio, now)

    def _find_refusal(self, chat: Chat, now: float) -> NotRun | None:
        if not self.context.fleet.usable(chat.request.model, now):
            return NotRun(RefusalReason.NO_ENGINE, 2.0)
        return self.dispatcher.check_feasibility(chat, now)

    def _admit(self, chat: Chat, now: float) -> None:
        self.context.chats[chat.id] = chat
        timer = self.context.timers.at(
            chat.request.deadline, lambda t: self._on_deadline(chat, t)
        )
        chat.set_timer("deadline", timer)
        margin = self.context.preset.admit_margin_s
        latest_start = (
            chat.request.deadline - margin - self.dispatcher.service_time_s(chat)
        )
        if latest_start > now:
            timer = self.context.timers.at(
                latest_start, lambda t: self._on_latest_start(chat, t)
            )
            chat.set_timer("latest", timer)

    def _on_latest_start(self, chat: Chat, now: float) -> list:
        """End a prompt that is not in an engine and cannot meet its deadline any more.

        The outcome is Failed if an earlier attempt failed or generated tokens, and
        NotRun otherwise.
        """
        waiting = chat.phase in (Phase.QUEUED, Phase.PAUSED, Phase.RESERVING)
        if not waiting:
            return []
        if chat.next_seq or chat.attempt and chat.why and chat.tried:
            return self.finish(chat, Failed(FailureReason.DEADLINE), now)
        wait = whole_seconds(self.dispatcher.expected_wait(chat, now))
        return self.finish(chat, NotRun(RefusalReason.OVERLOADED, wait), now)

    def _on_deadline(self, chat: Chat, now: float) -> list:
        return self.finish(chat, Failed(FailureReason.DEADLINE), now)

    def refuse(
        self, request: ChatRequest, workspace: str, refusal: NotRun, now: float
    ) -> list:
        """Refuse a prompt that has no state or resources yet."""
        effects = [
            IncrementCounter(f"refused.{refusal.reason.value}"),
            SendOutcome(request.request_id, refusal),
        ]
        if refusal.reason is not RefusalReason.DUPLICATE_REQUEST:
            why = (refusal.message,)
            effects += self.context.record_event(
                now,
                "refusal",
                request.request_id,
                workspace,
                refusal.reason.value,
                why,
            )
        return effects

    def retry(self, chat: Chat, engine: str, reason: RetryReason, now: float) -> list:
        """End an attempt and retry on another engine if budget and deadline allow.

        :param engine: engine that failed or refused the attempt.
        """
        fleet = self.context.fleet
        is_segment = chat.engines and engine != chat.engines[0]
        if reason is RetryReason.ENGINE_LOST and is_segment:
            reason = RetryReason.SEGMENT_LOST
        if reason in ENGINE_FAILURE_REASONS:
            silent = reason is RetryReason.STREAM_SILENT
            fleet.health.record_failure(engine, now, certain=silent)
        effects = self._end_attempt(chat, now)
        if reason is RetryReason.ENGINE_REFUSED and len(chat.tried) > 2:
            chat.tried.clear()
        chat.tried.add(engine)
        chat.why.append(f"{engine} failed: {reason.value}")
        effects.append(IncrementCounter(f"retried.{reason.value}"))
        effects += self.context.record_event(
            now, "retry", chat.id, chat.workspace, reason.value, (engine,)
        )
        if not self.context.retry_budget.withdraw(now):
            failed = Failed(FailureReason.RETRY_BUDGET)
            return effects + self.finish(chat, failed, now)
        return effects + self._schedule_retry(chat, now)

    def _schedule_retry(self, chat: Chat, now: float) -> list:
        due = now + retry_delay(chat.id, chat.attempt)
        if due >= chat.request.deadline:
            return self.finish(chat, Failed(FailureReason.DEADLINE), now)
        chat.phase = Phase.PAUSED
        timer = self.context.timers.at(due, lambda t: self._resubmit(chat, t))
        chat.set_timer("resubmit", timer)
        return []

    def _resubmit(self, chat: Chat, now: float) -> list:
        if chat.phase is not Phase.PAUSED:
            return []
        usable = self.context.fleet.usable(chat.request.model, now)
        if usable and not set(usable) - chat.tried:
            chat.tried.clear()
        return self.dispatcher.submit(chat, now)

    def _end_attempt(self, chat: Chat, now: float) -> list:
        """Release everything that the current attempt holds or may hold."""
        effects = []
        if chat.phase in (Phase.SENT, Phase.STREAMING):
            for engine in chat.engines:
                self.context.fleet.view(engine).remove_sent(chat.id)
                effects += self.cancels.cancel(
                    engine, chat.id, chat.attempt, chat.request.deadline, now
                )
        elif chat.phase is Phase.QUEUED:
            self.dispatcher.dequeue(chat)
        elif chat.phase is Phase.RELAYED:
            effects += self.spill.cancel(chat)
        effects += self.reservations.release_all(chat, now)
        chat.set_timer("silence", None)
        chat.engines = ()
        return effects

    def finish(self, chat: Chat, outcome: Outcome, now: float) -> list:
        """Send the final outcome and release everything the prompt holds.

        Does nothing if the prompt is already done.
        """
        if chat.phase is Phase.DONE:
            return []
        effects = []
        if isinstance(outcome, Done) and chat.phase is Phase.STREAMING:
            effects += self._release_completed(chat, now)
        else:
            effects += self._end_attempt(chat, now)
        chat.phase = Phase.DONE
        chat.cancel_timers()
        self.spill.forget(chat)
        del self.context.chats[chat.id]
        effects.append(SendOutcome(chat.id, outcome, chat.next_seq))
        effects += self._record_outcome(chat, outcome, now)
        return effects + self.dispatcher.dispatch(now)

    def _release_completed(self, chat: Chat, now: float) -> list:
        """Cancel the other engines of a gang; the lead engine frees its own memory."""
        effects = []
        for engine in chat.engines[1:]:
            effects += self.cancels.cancel(
                engine, chat.id, chat.attempt, chat.request.deadline, now
            )
        return effects + self.reservations.release_all(chat, now)

    def _record_outcome(self, chat: Chat, outcome: Outcome, now: float) -> list:
        reason = getattr(outcome, "reason", "")
        label = f"{outcome.tag}.{reason.value}" if reason else outcome.tag
        name = f"refused.{reason.value}" if outcome.tag == "not_run" else label
        kind = "refusal" if outcome.tag == "not_run" else "request"
        if chat.first_token_at is not None:
            chat.why.append(
                f"first token after {chat.first_token_at - chat.arrived:.3f} s"
            )
        chat.why.append(f"{label} after {now - chat.arrived:.3f} s")
        return [
            IncrementCounter(name),
            *self.context.record_event(
                now, kind, chat.id, chat.workspace, label, tuple(chat.why)
            ),
        ]

    def on_caller_disconnected(self, message: CallerGone, now: float) -> list:
        """End a request whose caller disconnected or reads too slowly."""
        chat = self.context.chats.get(message.request_id)
        if chat is None:
            return []
        slow = message.slow
        reason = FailureReason.CALLER_SLOW if slow else FailureReason.CALLER_GONE
        return self.finish(chat, Failed(reason), now)

    def on_engine_gone(self, engine: str, now: float) -> list:
        """Retry at once the requests that were in progress on a lost engine."""
        effects = []
        for chat in list(self.context.chats.values()):
            active = chat.phase in (Phase.SENT, Phase.STREAMING)
            if active and engine in chat.engines:
                effects += self.retry(chat, engine, RetryReason.ENGINE_LOST, now)
        return effects

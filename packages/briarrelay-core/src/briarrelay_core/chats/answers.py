"""Frames of engines' answers: checked, put in order, and watched for silence."""

from attrs import define

from briarrelay_core.chats.chatdesk import ChatDesk
from briarrelay_core.chats.chatstate import Chat, Phase
from briarrelay_core.outcomes import Done, Failed
from briarrelay_core.ports.caller import SendResponseText
from briarrelay_core.ports.engine import (
    EngineFrame,
    EngineLost,
    FrameKind,
    ResumeStream,
    SendRequest,
    StartGang,
)
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.reasons import FailureReason, RetryReason

__all__ = ["AnswerKeeper"]

TOKEN_SILENCE_S = 1.5
"""Seconds without a token after which a started answer is probed."""

FIRST_SILENCE_S = 2.0
"""Least seconds without a first token after which a request is probed."""

EXPECTATION_FACTOR = 2.0
"""How many times its estimate a first token may take before a probe."""

PROBE_S = 1.0
"""Seconds that a probe on a new connection may go unanswered."""


@define(slots=True)
class AnswerKeeper:
    """Carries answers from engines to callers.

    A frame counts only if engine, request, attempt and sequence number are the ones
    that are due; all others are dropped.
    """

    desk: ChatDesk

    def watch(self, effects: list, now: float) -> list:
        """Start to watch the attempts that effects are about to send."""
        for effect in effects:
            if isinstance(effect, SendRequest) and effect.segment == 0:
                chat = self.desk.context.chats.get(effect.request_id)
                if chat is not None:
                    self._watch_first(chat, now)
        return effects

    def _watch_first(self, chat: Chat, now: float) -> None:
        allowed = max(FIRST_SILENCE_S, EXPECTATION_FACTOR * chat.expected_s)
        self._set_silence(chat, now + allowed)

    def _set_silence(self, chat: Chat, due: float) -> None:
        due = min(due, chat.request.deadline)
        attempt = chat.attempt
        timer = self.desk.context.timers.at(
            due, lambda t: self._on_silence(chat, attempt, t)
        )
        chat.set_timer("silence", timer)

    def _on_silence(self, chat: Chat, attempt: int, now: float) -> list:
        active = chat.phase in (Phase.SENT, Phase.STREAMING)
        if not active or chat.attempt != attempt:
            return []
        engine = chat.engines[0]
        if chat.probed:
            return self.desk.retry(chat, engine, RetryReason.STREAM_SILENT, now)
        chat.probed = True
        chat.why.append(f"probed {engine} from token {chat.next_seq}")
        self._set_silence(chat, now + PROBE_S)
        probes = [
            ResumeStream(name, chat.id, chat.attempt, chat.next_seq)
            for name in chat.engines
            if name == engine or name not in chat.ready
        ]
        return [IncrementCounter("stream.probed"), *probes]

    def on_frame(self, frame: EngineFrame, now: float) -> list:
        """Take a frame from an engine."""
        chat = self.desk.context.chats.get(frame.request_id)
        if not self._is_due(chat, frame):
            return [IncrementCounter("frame.stale")]
        self.desk.context.fleet.health.record_success(frame.engine)
        if frame.kind is FrameKind.TOKEN:
            return self._on_token(chat, frame, now)
        if frame.kind is FrameKind.END:
            return self._on_end(chat, frame, now)
        if frame.kind is FrameKind.ACCEPTED:
            return self._on_accepted(chat, now)
        if frame.kind is FrameKind.READY:
            return self._on_ready(chat, frame, now)
        return self._on_refusal(chat, frame, now)

    def _is_due(self, chat: Chat | None, frame: EngineFrame) -> bool:
        if chat is None or chat.phase not in (Phase.SENT, Phase.STREAMING):
            return False
        if frame.attempt != chat.attempt or frame.engine not in chat.engines:
            return False
        is_lead = frame.engine == chat.engines[0]
        return is_lead or frame.kind not in (FrameKind.TOKEN, FrameKind.END)

    def _on_accepted(self, chat: Chat, now: float) -> list:
        if chat.probed:
            chat.probed = False
            self._watch_next(chat, now)
        return []

    def _watch_next(self, chat: Chat, now: float) -> None:
        if chat.phase is Phase.STREAMING:
            self._set_silence(chat, now + TOKEN_SILENCE_S)
        else:
            self._watch_first(chat, now)

    def _on_token(self, chat: Chat, frame: EngineFrame, now: float) -> list:
        if frame.seq < chat.next_seq:
            return [IncrementCounter("frame.repeated")]
        if frame.seq > chat.next_seq:
            return [IncrementCounter("frame.gap"), self._reopen(chat)]
        if chat.phase is Phase.SENT:
            chat.phase = Phase.STREAMING
            self._on_first_token(chat, frame, now)
        chat.probed = False
        chat.next_seq += 1
        chat.generated.append(frame.text)
        self._touch(chat, now)
        return [SendResponseText(chat.id, frame.text)]

    def _touch(self, chat: Chat, now: float) -> None:
        """Move the silence timer only now and then, since tokens are many."""
        timer = chat.timers.get("silence")
        if timer is None or timer.due < now + TOKEN_SILENCE_S / 2:
            self._set_silence(chat, now + TOKEN_SILENCE_S)

    def _on_first_token(self, chat: Chat, frame: EngineFrame, now: float) -> None:
        if chat.first_token_at is None:
            chat.first_token_at = now
        if len(chat.engines) == 1:
            self.desk.context.fleet.prefix.add(frame.engine, chat.request.blocks)
        self._set_silence(chat, now + TOKEN_SILENCE_S)

    def _reopen(self, chat: Chat) -> ResumeStream:
        return ResumeStream(chat.engines[0], chat.id, chat.attempt, chat.next_seq)

    def _on_end(self, chat: Chat, frame: EngineFrame, now: float) -> list:
        if frame.seq != chat.next_seq:
            return [IncrementCounter("frame.gap"), self._reopen(chat)]
        return self.desk.finish(chat, Done(), now)

    def _on_ready(self, chat: Chat, frame: EngineFrame, now: float) -> list:
        chat.ready.add(frame.engine)
        if len(chat.ready) < len(chat.engines) or len(chat.engines) == 1:
            return []
        self._set_silence(chat, now + FIRST_SILENCE_S)
        lead = chat.engines[0]
        return [StartGang(lead, chat.id, chat.attempt, chat.engines)]

    def _on_refusal(self, chat: Chat, frame: EngineFrame, now: float) -> list:
        if frame.kind is FrameKind.REFUSED:
            reason = RetryReason.ENGINE_REFUSED
            if frame.text == "leaving":
                reason = RetryReason.ENGINE_LEAVING
            return self.desk.retry(chat, frame.engine, reason, now)
        if frame.text == "invalid":
            return self.desk.finish(chat, Failed(FailureReason.ENGINE_ERROR), now)
        return self.desk.retry(chat, frame.engine, RetryReason.ENGINE_LOST, now)

    def on_lost(self, message: EngineLost, now: float) -> list:
        """Take word that a connection to an engine failed.

        A started answer is first looked for on a new connection: the engine may
        well be alive, and the answer with it.
        """
        chat = self.desk.context.chats.get(message.request_id)
        active = chat is not None and chat.phase in (Phase.SENT, Phase.STREAMING)
        if not active or chat.attempt != message.attempt:
            return []
        if message.engine not in chat.engines:
            return []
        if message.sent and not chat.probed:
            chat.probed = True
            self._set_silence(chat, now + PROBE_S)
            engine = message.engine
            return [ResumeStream(engine, chat.id, chat.attempt, chat.next_seq)]
        self.desk.context.fleet.health.record_failure(message.engine, now, certain=True)
        return self.desk.retry(chat, message.engine, RetryReason.ENGINE_LOST, now)

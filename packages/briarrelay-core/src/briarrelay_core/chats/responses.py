"""Forwards response streams from engines to callers, with stall detection."""

from attrs import define

from briarrelay_core.chats.chatcontroller import ChatController
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

__all__ = ["ResponseForwarder"]

TOKEN_TIMEOUT_S = 1.5
"""Seconds without a token after which a started response is probed."""

MIN_FIRST_TOKEN_TIMEOUT_S = 2.0
"""Minimum seconds to wait for the first token before the request is probed."""

FIRST_TOKEN_TIMEOUT_FACTOR = 2.0
"""Multiple of the estimated time to first token after which a probe is sent."""

PROBE_TIMEOUT_S = 1.0
"""Seconds to wait for a response to a probe on a new connection."""


@define(slots=True)
class ResponseForwarder:
    """Forwards the tokens of engines to callers and detects stalled streams.

    Only frames of the current attempt are accepted, and tokens only from its lead
    engine and in sequence. Stale and repeated frames are dropped; after a gap the
    stream is resumed from the next expected token.
    """

    controller: ChatController

    def start_timeouts(self, effects: list, now: float) -> list:
        """Start the first-token timeout of each attempt that the effects send."""
        for effect in effects:
            if isinstance(effect, SendRequest) and effect.segment == 0:
                chat = self.controller.context.chats.get(effect.request_id)
                if chat is not None:
                    self._start_first_token_timeout(chat, now)
        return effects

    def _start_first_token_timeout(self, chat: Chat, now: float) -> None:
        timeout_s = max(
            MIN_FIRST_TOKEN_TIMEOUT_S,
            FIRST_TOKEN_TIMEOUT_FACTOR * chat.expected_first_token_s,
        )
        self._set_timeout(chat, now + timeout_s)

    def _set_timeout(self, chat: Chat, due: float) -> None:
        due = min(due, chat.request.deadline)
        attempt = chat.attempt
        timer = self.controller.context.timers.at(
            due, lambda t: self._on_timeout(chat, attempt, t)
        )
        chat.set_timer("silence", timer)

    def _on_timeout(self, chat: Chat, attempt: int, now: float) -> list:
        active = chat.phase in (Phase.SENT, Phase.STREAMING)
        if not active or chat.attempt != attempt:
            return []
        engine = chat.engines[0]
        if chat.probed:
            return self.controller.retry(chat, engine, RetryReason.STREAM_SILENT, now)
        chat.probed = True
        chat.why.append(f"probed {engine} from token {chat.next_seq}")
        self._set_timeout(chat, now + PROBE_TIMEOUT_S)
        probes = [
            ResumeStream(name, chat.id, chat.attempt, chat.next_seq)
            for name in chat.engines
            if name == engine or name not in chat.ready_engines
        ]
        return [IncrementCounter("stream.probed"), *probes]

    def on_frame(self, frame: EngineFrame, now: float) -> list:
        """Handle a frame from an engine."""
        chat = self.controller.context.chats.get(frame.request_id)
        if not self._is_current(chat, frame):
            return [IncrementCounter("frame.stale")]
        self.controller.context.fleet.health.record_success(frame.engine)
        if frame.kind is FrameKind.TOKEN:
            return self._on_token(chat, frame, now)
        if frame.kind is FrameKind.END:
            return self._on_end(chat, frame, now)
        if frame.kind is FrameKind.ACCEPTED:
            return self._on_accepted(chat, now)
        if frame.kind is FrameKind.READY:
            return self._on_ready(chat, frame, now)
        return self._on_engine_error(chat, frame, now)

    def _is_current(self, chat: Chat | None, frame: EngineFrame) -> bool:
        if chat is None or chat.phase not in (Phase.SENT, Phase.STREAMING):
            return False
        if frame.attempt != chat.attempt or frame.engine not in chat.engines:
            return False
        is_lead = frame.engine == chat.engines[0]
        return is_lead or frame.kind not in (FrameKind.TOKEN, FrameKind.END)

    def _on_accepted(self, chat: Chat, now: float) -> list:
        if chat.probed:
            chat.probed = False
            self._restart_timeout(chat, now)
        return []

    def _restart_timeout(self, chat: Chat, now: float) -> None:
        if chat.phase is Phase.STREAMING:
            self._set_timeout(chat, now + TOKEN_TIMEOUT_S)
        else:
            self._start_first_token_timeout(chat, now)

    def _on_token(self, chat: Chat, frame: EngineFrame, now: float) -> list:
        if frame.seq < chat.next_seq:
            return [IncrementCounter("frame.repeated")]
        if frame.seq > chat.next_seq:
            return [IncrementCounter("frame.gap"), self._resume_stream(chat)]
        if chat.phase is Phase.SENT:
            chat.phase = Phase.STREAMING
            self._on_first_token(chat, frame, now)
        chat.probed = False
        chat.next_seq += 1
        chat.generated.append(frame.text)
        self._extend_timeout(chat, now)
        return [SendResponseText(chat.id, frame.text)]

    def _extend_timeout(self, chat: Chat, now: float) -> None:
        """Extend the token timeout.

        The timer is replaced only once half of the timeout has passed, since
        replacing it for every token would be costly.
        """
        timer = chat.timers.get("silence")
        if timer is None or timer.due < now + TOKEN_TIMEOUT_S / 2:
            self._set_timeout(chat, now + TOKEN_TIMEOUT_S)

    def _on_first_token(self, chat: Chat, frame: EngineFrame, now: float) -> None:
        if chat.first_token_at is None:
            chat.first_token_at = now
        if len(chat.engines) == 1:
            self.controller.context.fleet.prefix.add(frame.engine, chat.request.blocks)
        self._set_timeout(chat, now + TOKEN_TIMEOUT_S)

    def _resume_stream(self, chat: Chat) -> ResumeStream:
        return ResumeStream(chat.engines[0], chat.id, chat.attempt, chat.next_seq)

    def _on_end(self, chat: Chat, frame: EngineFrame, now: float) -> list:
        if frame.seq != chat.next_seq:
            return [IncrementCounter("frame.gap"), self._resume_stream(chat)]
        return self.controller.finish(chat, Done(), now)

    def _on_ready(self, chat: Chat, frame: EngineFrame, now: float) -> list:
        chat.ready_engines.add(frame.engine)
        if len(chat.ready_engines) < len(chat.engines) or len(chat.engines) == 1:
            return []
        self._set_timeout(chat, now + MIN_FIRST_TOKEN_TIMEOUT_S)
        lead = chat.engines[0]
        return [StartGang(lead, chat.id, chat.attempt, chat.engines)]

    def _on_engine_error(self, chat: Chat, frame: EngineFrame, now: float) -> list:
        if frame.kind is FrameKind.REFUSED:
            reason = RetryReason.ENGINE_REFUSED
            if frame.text == "leaving":
                reason = RetryReason.ENGINE_LEAVING
            return self.controller.retry(chat, frame.engine, reason, now)
        if frame.text == "invalid":
            return self.controller.finish(chat, Failed(FailureReason.ENGINE_ERROR), now)
        return self.controller.retry(chat, frame.engine, RetryReason.ENGINE_LOST, now)

    def on_lost(self, message: EngineLost, now: float) -> list:
        """Handle a failed connection to an engine.

        If the engine may have received the request, the stream is first resumed on a
        new connection: the engine may still be up and generating the response.
        """
        chat = self.controller.context.chats.get(message.request_id)
        active = chat is not None and chat.phase in (Phase.SENT, Phase.STREAMING)
        if not active or chat.attempt != message.attempt:
            return []
        if message.engine not in chat.engines:
            return []
        if message.sent and not chat.probed:
            chat.probed = True
            self._set_timeout(chat, now + PROBE_TIMEOUT_S)
            engine = message.engine
            return [ResumeStream(engine, chat.id, chat.attempt, chat.next_seq)]
        self.controller.context.fleet.health.record_failure(
            message.engine, now, certain=True
        )
        return self.controller.retry(chat, message.engine, RetryReason.ENGINE_LOST, now)

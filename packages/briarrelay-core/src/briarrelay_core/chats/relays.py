"""Prompts that cross between data centres: both ends of a relay."""

from attrs import define

from briarrelay_core.chats.chatdesk import ChatDesk
from briarrelay_core.chats.chatstate import Chat, Phase
from briarrelay_core.outcomes import Done, Failed, NotRun, Outcome
from briarrelay_core.ports.caller import CallerGone, SendOutcome, SendResponseText
from briarrelay_core.ports.peer import (
    RelayAnswer,
    RelayCancel,
    RelayRequest,
    SendToPeer,
)
from briarrelay_core.reasons import FailureReason, RefusalReason

__all__ = ["RelayKeeper"]

SILENCE_S = 5.0
"""Seconds between parts of a peer's answer after which it counts as lost."""

FIRST_SILENCE_S = 30.0
"""Seconds before the first part of a peer's answer."""


@define(slots=True)
class RelayKeeper:
    """Serves peers' prompts and takes peers' answers."""

    desk: ChatDesk

    def on_request(self, peer: str, message: RelayRequest, now: float) -> list:
        """Serve a peer's prompt as if a caller had sent it."""
        request = self.desk.spill.accept(peer, message)
        if request is None or request.request_id in self.desk.context.chats:
            return []
        return self.desk.on_request(request, now)

    def redirect(self, effects: list, now: float) -> list:
        """Turn answers to peers' prompts into messages to those peers."""
        spill = self.desk.spill
        if not spill.is_serving_any and isinstance(effects[0], SendResponseText):
            return effects
        redirected = []
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self._watch_sent(effect, now)
            is_answer = isinstance(effect, SendResponseText | SendOutcome)
            if not is_answer or not spill.is_serving(effect.request_id):
                redirected.append(effect)
            elif isinstance(effect, SendResponseText):
                redirected += spill.relay_text(effect.request_id, effect.text, now)
            else:
                redirected += spill.relay_outcome(effect)
        return redirected

    def _watch_sent(self, effect: SendToPeer, now: float) -> None:
        if isinstance(effect.message, RelayRequest):
            chat = self.desk.context.chats.get(effect.message.request_id)
            if chat is not None and chat.phase is Phase.RELAYED:
                self._set_silence(chat, now + FIRST_SILENCE_S)

    def _set_silence(self, chat: Chat, due: float) -> None:
        timer = self.desk.context.timers.at(due, lambda t: self._on_silence(chat, t))
        chat.set_timer("silence", timer)

    def _on_silence(self, chat: Chat, now: float) -> list:
        if chat.phase is not Phase.RELAYED:
            return []
        return self.desk.finish(chat, Failed(FailureReason.PEER_LOST), now)

    def on_answer(self, peer: str, answer: RelayAnswer, now: float) -> list:
        """Take part of a peer's answer."""
        chat = self.desk.context.chats.get(answer.request_id)
        if chat is None or chat.phase is not Phase.RELAYED or chat.relay_peer != peer:
            return []
        effects = []
        for part in self.desk.spill.reorder(chat, answer):
            effects += self._take(chat, part, now)
        return effects

    def _take(self, chat: Chat, part: RelayAnswer, now: float) -> list:
        self._set_silence(chat, now + SILENCE_S)
        effects = []
        if part.text:
            if chat.first_token_at is None:
                chat.first_token_at = now
            effects.append(SendResponseText(chat.id, part.text))
        if part.outcome:
            chat.next_seq = part.output_tokens
            effects += self.desk.finish(chat, _outcome(part), now)
        return effects

    def on_cancel(self, peer: str, message: RelayCancel, now: float) -> list:
        """Stop a prompt that the peer's caller does not want any more."""
        spill = self.desk.spill
        if not spill.is_serving(message.request_id):
            return []
        if spill.origin_of(message.request_id) != peer:
            return []
        return self.desk.on_caller_gone(CallerGone(message.request_id), now)

    def on_unreachable(self, message: RelayRequest, now: float) -> list:
        """Try another peer for a prompt that could not be handed over."""
        chat = self.desk.context.chats.get(message.request_id)
        if chat is None or chat.phase is not Phase.RELAYED or chat.relay_next > 0:
            return []
        relayed = self.desk.spill.relay_to_next_peer(chat, now)
        if relayed is None:
            return self.desk.finish(chat, Failed(FailureReason.PEER_LOST), now)
        return relayed


def _outcome(part: RelayAnswer) -> Outcome:
    if part.outcome == "done":
        return Done()
    if part.outcome == "not_run":
        return NotRun(RefusalReason(part.reason), 2.0)
    return Failed(FailureReason(part.reason))

"""Relaying of prompts between data centres: the origin and the serving side."""

from attrs import define

from briarrelay_core.chats.chatcontroller import ChatController
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

__all__ = ["RelayHandler"]

PART_TIMEOUT_S = 5.0
"""Seconds without a further part after which a peer's response counts as lost."""

FIRST_PART_TIMEOUT_S = 30.0
"""Seconds to wait for the first part of a peer's response."""


@define(slots=True)
class RelayHandler:
    """Serves prompts that peers relay and handles the responses to relayed prompts."""

    controller: ChatController

    def on_request(self, peer: str, message: RelayRequest, now: float) -> list:
        """Serve a prompt that a peer relays, as if a caller had sent it."""
        request = self.controller.spill.accept(peer, message)
        if request is None or request.request_id in self.controller.context.chats:
            return []
        return self.controller.on_request(request, now)

    def redirect_to_peers(self, effects: list, now: float) -> list:
        """Redirect responses to relayed prompts to the peers that relayed them.

        Also starts the first-part timeout of each prompt that the effects relay.
        """
        spill = self.controller.spill
        if not spill.is_serving_any and isinstance(effects[0], SendResponseText):
            return effects
        redirected = []
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self._start_first_part_timeout(effect, now)
            is_response = isinstance(effect, SendResponseText | SendOutcome)
            if not is_response or not spill.is_serving(effect.request_id):
                redirected.append(effect)
            elif isinstance(effect, SendResponseText):
                redirected += spill.relay_text(effect.request_id, effect.text, now)
            else:
                redirected += spill.relay_outcome(effect)
        return redirected

    def _start_first_part_timeout(self, effect: SendToPeer, now: float) -> None:
        if isinstance(effect.message, RelayRequest):
            chat = self.controller.context.chats.get(effect.message.request_id)
            if chat is not None and chat.phase is Phase.RELAYED:
                self._set_timeout(chat, now + FIRST_PART_TIMEOUT_S)

    def _set_timeout(self, chat: Chat, due: float) -> None:
        timer = self.controller.context.timers.at(
            due, lambda t: self._on_timeout(chat, t)
        )
        chat.set_timer("silence", timer)

    def _on_timeout(self, chat: Chat, now: float) -> list:
        if chat.phase is not Phase.RELAYED:
            return []
        return self.controller.finish(chat, Failed(FailureReason.PEER_LOST), now)

    def on_response_part(self, peer: str, received: RelayAnswer, now: float) -> list:
        """Handle a part of a peer's response."""
        chat = self.controller.context.chats.get(received.request_id)
        if chat is None or chat.phase is not Phase.RELAYED or chat.relay_peer != peer:
            return []
        effects = []
        for part in self.controller.spill.reorder(chat, received):
            effects += self._apply_part(chat, part, now)
        return effects

    def _apply_part(self, chat: Chat, part: RelayAnswer, now: float) -> list:
        self._set_timeout(chat, now + PART_TIMEOUT_S)
        effects = []
        if part.text:
            if chat.first_token_at is None:
                chat.first_token_at = now
            effects.append(SendResponseText(chat.id, part.text))
        if part.outcome:
            chat.next_seq = part.output_tokens
            effects += self.controller.finish(chat, _parse_outcome(part), now)
        return effects

    def on_cancel(self, peer: str, message: RelayCancel, now: float) -> list:
        """End a relayed prompt that the peer has cancelled."""
        spill = self.controller.spill
        if not spill.is_serving(message.request_id):
            return []
        if spill.origin_of(message.request_id) != peer:
            return []
        return self.controller.on_caller_disconnected(
            CallerGone(message.request_id), now
        )

    def on_unreachable(self, message: RelayRequest, now: float) -> list:
        """Relay a prompt to another peer after its peer was unreachable."""
        chat = self.controller.context.chats.get(message.request_id)
        if chat is None or chat.phase is not Phase.RELAYED or chat.relay_next_seq > 0:
            return []
        relayed = self.controller.spill.relay_to_next_peer(chat, now)
        if relayed is None:
            return self.controller.finish(chat, Failed(FailureReason.PEER_LOST), now)
        return relayed


def _parse_outcome(part: RelayAnswer) -> Outcome:
    if part.outcome == "done":
        return Done()
    if part.outcome == "not_run":
        return NotRun(RefusalReason(part.reason), 2.0)
    return Failed(FailureReason(part.reason))

"""Relay of whole prompts to other data centres, over one hop at most."""

from attrs import define, field

from briarrelay_core.chats.chatstate import Chat, Phase
from briarrelay_core.context import Context
from briarrelay_core.identity import Identity
from briarrelay_core.membership.rendezvous import ranked
from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.caller import ChatRequest, SendOutcome
from briarrelay_core.ports.peer import (
    RelayAnswer,
    RelayCancel,
    RelayRequest,
    SendToPeer,
)
from briarrelay_core.ports.platform import InstanceKind
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.reasons import RefusalReason

__all__ = ["SpillRelay"]

SPILL_REASONS = {RefusalReason.NO_ENGINE, RefusalReason.OVERLOADED}
"""Refusals that may not apply in another data centre."""

FLUSH_DELAY_S = 0.05
"""Seconds for which response text is batched before it is sent to a peer."""

MAX_RELAY_TOKENS = 200_000
"""Longest prompt, in tokens, that is relayed.

The whole body is sent between data centres.
"""


@define(slots=True)
class _Served:
    """A prompt served for a peer.

    :param seq: sequence number of the next part of the response.
    :param text: response text that has not been sent yet.
    """

    peer: str
    seq: int = 0
    text: str = ""


@define(slots=True)
class SpillRelay:
    """Relays prompts to peers in other data centres and serves prompts of peers."""

    context: Context
    _serving: dict[str, _Served] = field(factory=dict)
    _out_of_order: dict[str, dict[int, RelayAnswer]] = field(factory=dict)

    @property
    def identity(self) -> Identity:
        """Identity of this instance."""
        return self.context.identity

    def peers(self, request_id: str, now: float) -> list[str]:
        """Return entry instances of other data centres, the preferred one first."""
        own_data_centre = self.identity.data_centre
        names = [
            m.name
            for m in self.context.membership.live(InstanceKind.ENTRY)
            if m.listed.data_centre != own_data_centre
            and not self.context.membership.is_suspect(m.name, now)
        ]
        return ranked(request_id, names)

    def try_relay(self, chat: Chat, problem: NotRun, now: float) -> list | None:
        """Relay a prompt that would be refused here; return None if it can not be."""
        request = chat.request
        if problem.reason not in SPILL_REASONS or request.hops > 0:
            return None
        if request.prompt_tokens > MAX_RELAY_TOKENS:
            return None
        peers = self.peers(chat.id, now)
        if not peers:
            return None
        return self._relay(chat, peers[0], now)

    def _relay(self, chat: Chat, peer: str, now: float) -> list:
        request = chat.request
        chat.phase = Phase.RELAYED
        chat.relay_peer = peer
        chat.relay_next_seq = 0
        chat.why.append(f"handed to {peer} of another data centre")
        message = RelayRequest(
            request_id=request.request_id,
            key=request.key,
            model=request.model,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            deadline=request.deadline,
            hops=request.hops + 1,
            blocks=request.blocks,
            payload=request.payload,
        )
        return [IncrementCounter("spill.sent"), SendToPeer(peer, message)]

    def cancel(self, chat: Chat) -> list:
        """Cancel a relayed prompt at its peer."""
        return [SendToPeer(chat.relay_peer, RelayCancel(chat.id))]

    def accept(self, peer: str, message: RelayRequest) -> ChatRequest | None:
        """Accept a peer's prompt; return None if it is already being served."""
        if message.request_id in self._serving:
            return None
        self._serving[message.request_id] = _Served(peer)
        return ChatRequest(
            request_id=message.request_id,
            key=message.key,
            model=message.model,
            prompt_tokens=message.prompt_tokens,
            output_tokens=message.output_tokens,
            deadline=message.deadline,
            blocks=message.blocks,
            payload=message.payload,
            hops=message.hops,
        )

    @property
    def is_serving_any(self) -> bool:
        """Whether any prompt is being served for a peer."""
        return bool(self._serving)

    def is_serving(self, request_id: str) -> bool:
        """Return whether a request is being served for a peer."""
        return request_id in self._serving

    def origin_of(self, request_id: str) -> str:
        """Return the peer that a request is being served for."""
        return self._serving[request_id].peer

    def relay_text(self, request_id: str, text: str, now: float) -> list:
        """Batch response text for the peer that relayed the prompt."""
        served = self._serving[request_id]
        if not served.text:
            self.context.timers.at(
                now + FLUSH_DELAY_S, lambda t: self._flush(request_id)
            )
        served.text += text
        return []

    def _flush(self, request_id: str) -> list:
        served = self._serving.get(request_id)
        if served is None or not served.text:
            return []
        part = RelayAnswer(request_id, served.seq, served.text)
        served.seq += 1
        served.text = ""
        return [SendToPeer(served.peer, part)]

    def relay_outcome(self, finish: SendOutcome) -> list:
        """Send remaining text and the outcome to the peer that relayed the prompt."""
        effects = self._flush(finish.request_id)
        served = self._serving.pop(finish.request_id)
        reason = getattr(finish.outcome, "reason", "")
        part = RelayAnswer(
            request_id=finish.request_id,
            seq=served.seq,
            text="",
            outcome=finish.outcome.tag,
            reason=str(reason),
            output_tokens=finish.output_tokens,
        )
        return [*effects, SendToPeer(served.peer, part)]

    def reorder(self, chat: Chat, part: RelayAnswer) -> list[RelayAnswer]:
        """Return the parts of a peer's response that are next in sequence.

        Parts that arrive out of order are kept until then; duplicates are dropped.
        """
        pending = self._out_of_order.setdefault(chat.id, {})
        if part.seq >= chat.relay_next_seq:
            pending[part.seq] = part
        ready = []
        while chat.relay_next_seq in pending:
            ready.append(pending.pop(chat.relay_next_seq))
            chat.relay_next_seq += 1
        return ready

    def forget(self, chat: Chat) -> None:
        """Drop out-of-order parts of a request that has ended."""
        self._out_of_order.pop(chat.id, None)

    def relay_to_next_peer(self, chat: Chat, now: float) -> list | None:
        """Relay a prompt to another peer; return None if none is left."""
        chat.tried.add(chat.relay_peer)
        peers = [p for p in self.peers(chat.id, now) if p not in chat.tried]
        return self._relay(chat, peers[0], now) if peers else None

"""Handing whole prompts to another data centre, one hop at most."""

from attrs import define, field

from briarrelay_core.chats.chatstate import Chat, Phase
from briarrelay_core.context import Context
from briarrelay_core.identity import Identity
from briarrelay_core.membership.rendezvous import ranked
from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.caller import ChatRequest, Finish
from briarrelay_core.ports.observe import Count
from briarrelay_core.ports.peer import (
    RelayAnswer,
    RelayCancel,
    RelayRequest,
    SendPeer,
)
from briarrelay_core.ports.platform import InstanceKind
from briarrelay_core.reasons import RefusalReason

__all__ = ["Spill"]

SPILL_REASONS = {RefusalReason.NO_ENGINE, RefusalReason.OVERLOADED}
"""Refusals that another data centre may not share."""

FLUSH_S = 0.05
"""Seconds for which text is collected before it is passed on to a peer."""

MAX_SPILL_TOKENS = 200_000
"""Longest prompt that is handed over; the body crosses between data centres."""


@define(slots=True)
class _Served:
    """A peer's prompt that is served here."""

    peer: str
    seq: int = 0
    text: str = ""


@define(slots=True)
class Spill:
    """Relays prompts to peers of other data centres and serves theirs."""

    context: Context
    _serving: dict[str, _Served] = field(factory=dict)
    _early: dict[str, dict[int, RelayAnswer]] = field(factory=dict)

    @property
    def identity(self) -> Identity:
        """Who this process is."""
        return self.context.identity

    def peers(self, request_id: str, now: float) -> list[str]:
        """Return entry instances of other data centres, best first."""
        here = self.identity.data_centre
        names = [
            m.name
            for m in self.context.membership.live(InstanceKind.ENTRY)
            if m.listed.data_centre != here
            and not self.context.membership.is_suspect(m.name, now)
        ]
        return ranked(request_id, names)

    def try_relay(self, chat: Chat, problem: NotRun, now: float) -> list | None:
        """Hand a prompt over; return None if it has to be refused here."""
        request = chat.request
        if problem.reason not in SPILL_REASONS or request.hops > 0:
            return None
        if request.prompt_tokens > MAX_SPILL_TOKENS:
            return None
        peers = self.peers(chat.id, now)
        if not peers:
            return None
        return self._relay(chat, peers[0], now)

    def _relay(self, chat: Chat, peer: str, now: float) -> list:
        request = chat.request
        chat.phase = Phase.RELAYED
        chat.relay_peer = peer
        chat.relay_next = 0
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
        return [Count("spill.sent"), SendPeer(peer, message)]

    def cancel(self, chat: Chat) -> list:
        """Tell the peer that the answer is not wanted any more."""
        return [SendPeer(chat.relay_peer, RelayCancel(chat.id))]

    def accept(self, peer: str, message: RelayRequest) -> ChatRequest | None:
        """Return a peer's prompt to serve; None if it is being served already."""
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
    def is_busy(self) -> bool:
        """Whether anything is served for a peer."""
        return bool(self._serving)

    def is_serving(self, request_id: str) -> bool:
        """Return whether a request is served for a peer."""
        return request_id in self._serving

    def server_of(self, request_id: str) -> str:
        """Return the peer that a request is served for."""
        return self._serving[request_id].peer

    def answer_text(self, request_id: str, text: str, now: float) -> list:
        """Pass text on to the peer that handed the prompt over, a little later."""
        served = self._serving[request_id]
        if not served.text:
            self.context.timers.at(now + FLUSH_S, lambda t: self._flush(request_id))
        served.text += text
        return []

    def _flush(self, request_id: str) -> list:
        served = self._serving.get(request_id)
        if served is None or not served.text:
            return []
        answer = RelayAnswer(request_id, served.seq, served.text)
        served.seq += 1
        served.text = ""
        return [SendPeer(served.peer, answer)]

    def answer_end(self, finish: Finish) -> list:
        """Pass the outcome on to the peer that handed the prompt over."""
        effects = self._flush(finish.request_id)
        served = self._serving.pop(finish.request_id)
        reason = getattr(finish.outcome, "reason", "")
        answer = RelayAnswer(
            request_id=finish.request_id,
            seq=served.seq,
            text="",
            outcome=finish.outcome.tag,
            reason=str(reason),
            output_tokens=finish.output_tokens,
        )
        return [*effects, SendPeer(served.peer, answer)]

    def in_order(self, chat: Chat, answer: RelayAnswer) -> list[RelayAnswer]:
        """Return the parts of a peer's answer that are due now.

        Parts that came too early are kept, and repeated ones dropped.
        """
        early = self._early.setdefault(chat.id, {})
        if answer.seq >= chat.relay_next:
            early[answer.seq] = answer
        due = []
        while chat.relay_next in early:
            due.append(early.pop(chat.relay_next))
            chat.relay_next += 1
        return due

    def forget(self, chat: Chat) -> None:
        """Drop parts that came too early for a request that has ended."""
        self._early.pop(chat.id, None)

    def next_peer(self, chat: Chat, now: float) -> list | None:
        """Hand a prompt to another peer, None if there is none left."""
        chat.tried.add(chat.relay_peer)
        peers = [p for p in self.peers(chat.id, now) if p not in chat.tried]
        return self._relay(chat, peers[0], now) if peers else None

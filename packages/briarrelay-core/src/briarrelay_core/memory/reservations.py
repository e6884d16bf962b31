"""Reserving engine memory: the asking side and the allocator's side."""

from collections.abc import Callable

from attrs import define, field

from briarrelay_core.chats.chatstate import Chat, Phase
from briarrelay_core.context import Context
from briarrelay_core.membership.rendezvous import owner_of
from briarrelay_core.memory.allocator import Allocator, GangPlan, Reservation
from briarrelay_core.memory.sweeper import GRACE_S
from briarrelay_core.ports.observe import Count
from briarrelay_core.ports.peer import (
    MemoryReply,
    ReleaseMemory,
    ReserveMemory,
    SendPeer,
)

__all__ = ["ReservationKeeper"]

ANSWER_S = 1.0
"""Seconds to wait for an allocator's answer."""


@define(slots=True)
class ReservationKeeper:
    """Reserves the engines of a plan one after the other, all or nothing.

    Engines are asked in the order of their names and a refusal gives back at once
    what was granted, so two plans never wait for each other.

    :param on_granted: called when the whole plan is reserved.
    :param on_denied: called with the engine that had no room.
    """

    context: Context
    on_granted: Callable[[Chat, float], list]
    on_denied: Callable[[Chat, str, float], list]
    allocator: Allocator = field(factory=Allocator)

    def allocator_of(self, engine: str, now: float) -> str:
        """Return the entry instance that keeps an engine's table."""
        identity = self.context.identity
        peers = self.context.entry_peers(now, identity.data_centre)
        return owner_of(engine, [identity.name, *peers])

    def is_allocator(self, engine: str, now: float) -> bool:
        """Return whether this instance keeps an engine's table."""
        return self.allocator_of(engine, now) == self.context.identity.name

    def start(self, chat: Chat, plan: GangPlan, now: float) -> list:
        """Begin to reserve a plan for the next attempt of a prompt."""
        chat.phase = Phase.RESERVING
        chat.plan = plan
        chat.granted = 0
        chat.attempt += 1
        return self._ask(chat, now)

    def _ask(self, chat: Chat, now: float) -> list:
        engine = chat.plan.engines[chat.granted]
        wish = ReserveMemory(
            engine=engine,
            request_id=chat.id,
            attempt=chat.attempt,
            tokens=chat.plan.tokens[chat.granted] + chat.request.output_tokens,
            expires=chat.request.deadline + GRACE_S,
        )
        holder = self.allocator_of(engine, now)
        attempt, index = chat.attempt, chat.granted
        if holder == self.context.identity.name:
            granted = self.grant(holder, self.context.identity.incarnation, wish, now)
            return self.on_reply(granted, now)
        chat.set_timer(
            "reserve",
            self.context.timers.at(
                now + ANSWER_S, lambda t: self._on_timeout(chat, attempt, index, t)
            ),
        )
        return [SendPeer(holder, wish)]

    def _on_timeout(self, chat: Chat, attempt: int, index: int, now: float) -> list:
        if chat.phase is not Phase.RESERVING or chat.attempt != attempt:
            return []
        if chat.granted != index:
            return []
        engine = chat.plan.engines[index]
        self.context.membership.suspect(self.allocator_of(engine, now), now)
        return self._fail(chat, engine, now)

    def on_reply(self, reply: MemoryReply, now: float) -> list:
        """Take an allocator's answer; one that comes too late is given back."""
        chat = self.context.chats.get(reply.request_id)
        if chat is None or not self._awaits(chat, reply):
            if reply.granted and not self._holds(chat, reply):
                return self._release(reply.engine, reply.request_id, reply.attempt, now)
            return []
        chat.set_timer("reserve", None)
        if not reply.granted:
            return self._fail(chat, reply.engine, now)
        chat.granted += 1
        if chat.granted < len(chat.plan.engines):
            return self._ask(chat, now)
        return self.on_granted(chat, now)

    def _awaits(self, chat: Chat, reply: MemoryReply) -> bool:
        return (
            chat.phase is Phase.RESERVING
            and chat.attempt == reply.attempt
            and chat.granted < len(chat.plan.engines)
            and chat.plan.engines[chat.granted] == reply.engine
        )

    def _holds(self, chat: Chat | None, reply: MemoryReply) -> bool:
        if chat is None or chat.plan is None or chat.attempt != reply.attempt:
            return False
        return reply.engine in chat.plan.engines[: chat.granted]

    def _fail(self, chat: Chat, engine: str, now: float) -> list:
        effects = [Count("reservation.denied")]
        effects.extend(self.release_all(chat, now))
        effects.extend(self.on_denied(chat, engine, now))
        return effects

    def release_all(self, chat: Chat, now: float) -> list:
        """Give back everything that an attempt reserved or asked for."""
        if chat.plan is None:
            return []
        effects = []
        for engine in chat.plan.engines[: chat.granted + 1]:
            effects.extend(self._release(engine, chat.id, chat.attempt, now))
        chat.set_timer("reserve", None)
        chat.plan = None
        chat.granted = 0
        return effects

    def _release(self, engine: str, request_id: str, attempt: int, now: float) -> list:
        holder = self.allocator_of(engine, now)
        if holder == self.context.identity.name:
            self.allocator.release(engine, request_id, attempt)
            return []
        return [SendPeer(holder, ReleaseMemory(engine, request_id, attempt))]

    def grant(
        self, owner: str, incarnation: int, wish: ReserveMemory, now: float
    ) -> MemoryReply:
        """Decide on a peer's wish as the allocator of an engine."""
        view = self.context.fleet.view(wish.engine)
        headroom = self.context.preset.memory_headroom
        room = int(view.memory_total * (1 - headroom))
        reservation = Reservation(
            request_id=wish.request_id,
            attempt=wish.attempt,
            owner=owner,
            incarnation=incarnation,
            tokens=wish.tokens,
            expires=wish.expires,
        )
        granted = self.allocator.reserve(wish.engine, reservation, room, now)
        free = room - self.allocator.reserved(wish.engine, now)
        return MemoryReply(wish.engine, wish.request_id, wish.attempt, granted, free)

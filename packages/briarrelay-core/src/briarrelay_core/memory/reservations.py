"""Distributed reservation of engine memory, for requesters and allocators."""

from collections.abc import Callable

from attrs import define, field

from briarrelay_core.chats.chatstate import Chat, Phase
from briarrelay_core.context import Context
from briarrelay_core.membership.rendezvous import owner_of
from briarrelay_core.memory.allocator import Allocator, GangPlan, Reservation
from briarrelay_core.memory.sweeper import ORPHAN_GRACE_S
from briarrelay_core.ports.peer import (
    MemoryReply,
    ReleaseMemory,
    ReserveMemory,
    SendToPeer,
)
from briarrelay_core.ports.telemetry import IncrementCounter

__all__ = ["ReservationCoordinator"]

REPLY_TIMEOUT_S = 1.0
"""Seconds to wait for an allocator's reply."""


@define(slots=True)
class ReservationCoordinator:
    """Reserves the engines of a plan one after the other, all or nothing.

    Engines are reserved in the order of their names, and a denial at once releases
    the reservations already granted, so two plans can not deadlock.

    :param on_granted: called when the whole plan is reserved.
    :param on_denied: called with the engine whose allocator denied the reservation
        or did not reply.
    :param allocator: tables of the engines that this instance is the allocator of.
    """

    context: Context
    on_granted: Callable[[Chat, float], list]
    on_denied: Callable[[Chat, str, float], list]
    allocator: Allocator = field(factory=Allocator)

    def allocator_of(self, engine: str, now: float) -> str:
        """Return the entry instance that is the allocator of an engine."""
        identity = self.context.identity
        peers = self.context.entry_peers(now, identity.data_centre)
        return owner_of(engine, [identity.name, *peers])

    def is_allocator(self, engine: str, now: float) -> bool:
        """Return whether this instance is the allocator of an engine."""
        return self.allocator_of(engine, now) == self.context.identity.name

    def start(self, chat: Chat, plan: GangPlan, now: float) -> list:
        """Start reserving the engines of a plan for the next attempt of a prompt."""
        chat.phase = Phase.RESERVING
        chat.plan = plan
        chat.granted = 0
        chat.attempt += 1
        return self._request_next(chat, now)

    def _request_next(self, chat: Chat, now: float) -> list:
        engine = chat.plan.engines[chat.granted]
        message = ReserveMemory(
            engine=engine,
            request_id=chat.id,
            attempt=chat.attempt,
            tokens=chat.plan.tokens[chat.granted] + chat.request.output_tokens,
            expires=chat.request.deadline + ORPHAN_GRACE_S,
        )
        allocator_name = self.allocator_of(engine, now)
        attempt, index = chat.attempt, chat.granted
        if allocator_name == self.context.identity.name:
            granted = self.decide_reservation(
                allocator_name, self.context.identity.incarnation, message, now
            )
            return self.on_reply(granted, now)
        chat.set_timer(
            "reserve",
            self.context.timers.at(
                now + REPLY_TIMEOUT_S,
                lambda t: self._on_timeout(chat, attempt, index, t),
            ),
        )
        return [SendToPeer(allocator_name, message)]

    def _on_timeout(self, chat: Chat, attempt: int, index: int, now: float) -> list:
        if chat.phase is not Phase.RESERVING or chat.attempt != attempt:
            return []
        if chat.granted != index:
            return []
        engine = chat.plan.engines[index]
        self.context.membership.mark_suspect(self.allocator_of(engine, now), now)
        return self._deny(chat, engine, now)

    def on_reply(self, reply: MemoryReply, now: float) -> list:
        """Handle an allocator's reply; a grant that arrives too late is released."""
        chat = self.context.chats.get(reply.request_id)
        if chat is None or not self._is_expected(chat, reply):
            if reply.granted and not self._is_reserved(chat, reply):
                return self._release(reply.engine, reply.request_id, reply.attempt, now)
            return []
        chat.set_timer("reserve", None)
        if not reply.granted:
            return self._deny(chat, reply.engine, now)
        chat.granted += 1
        if chat.granted < len(chat.plan.engines):
            return self._request_next(chat, now)
        return self.on_granted(chat, now)

    def _is_expected(self, chat: Chat, reply: MemoryReply) -> bool:
        return (
            chat.phase is Phase.RESERVING
            and chat.attempt == reply.attempt
            and chat.granted < len(chat.plan.engines)
            and chat.plan.engines[chat.granted] == reply.engine
        )

    def _is_reserved(self, chat: Chat | None, reply: MemoryReply) -> bool:
        if chat is None or chat.plan is None or chat.attempt != reply.attempt:
            return False
        return reply.engine in chat.plan.engines[: chat.granted]

    def _deny(self, chat: Chat, engine: str, now: float) -> list:
        effects = [IncrementCounter("reservation.denied")]
        effects.extend(self.release_all(chat, now))
        effects.extend(self.on_denied(chat, engine, now))
        return effects

    def release_all(self, chat: Chat, now: float) -> list:
        """Release every reservation that an attempt holds or has requested."""
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
        allocator_name = self.allocator_of(engine, now)
        if allocator_name == self.context.identity.name:
            self.allocator.release(engine, request_id, attempt)
            return []
        return [SendToPeer(allocator_name, ReleaseMemory(engine, request_id, attempt))]

    def decide_reservation(
        self, owner: str, incarnation: int, message: ReserveMemory, now: float
    ) -> MemoryReply:
        """Decide on a reservation request as the allocator of an engine.

        :param owner: entry instance that requests the reservation.
        :param incarnation: incarnation of the owner.
        """
        view = self.context.fleet.view(message.engine)
        headroom = self.context.preset.memory_headroom
        limit = int(view.memory_total * (1 - headroom))
        reservation = Reservation(
            request_id=message.request_id,
            attempt=message.attempt,
            owner=owner,
            incarnation=incarnation,
            tokens=message.tokens,
            expires=message.expires,
        )
        granted = self.allocator.reserve(message.engine, reservation, limit, now)
        free = limit - self.allocator.reserved(message.engine, now)
        return MemoryReply(
            message.engine, message.request_id, message.attempt, granted, free
        )

"""Messages of peers, each to the part that it is for."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from attrs import define

from briarrelay_core.chats.chatstate import Phase
from briarrelay_core.ports.peer import (
    Digest,
    FetchRevision,
    HandOver,
    HandOverTaken,
    MemoryReply,
    PeerMessageReceived,
    PeerUnreachable,
    RelayAnswer,
    RelayCancel,
    RelayRequest,
    ReleaseMemory,
    ReserveMemory,
    RevisionSnapshot,
    SendToPeer,
)

if TYPE_CHECKING:
    from briarrelay_core.entry import EntryInstance

__all__ = ["PeerMail"]


@define(slots=True)
class PeerMail:
    """Hands messages of peers to the parts of an instance."""

    instance: EntryInstance

    def deliver(self, envelope: PeerMessageReceived, now: float) -> list:
        """Take a message of a peer."""
        return self._deliver(envelope.message, envelope, now)

    @singledispatchmethod
    def _deliver(self, message, envelope: PeerMessageReceived, now: float) -> list:
        raise TypeError(f"given {message!r}, which no peer sends")

    @_deliver.register(Digest)
    def _(self, message: Digest, envelope: PeerMessageReceived, now: float) -> list:
        instance = self.instance
        changed = instance.gossip.on_digest(
            envelope.peer, envelope.incarnation, message, now
        )
        effects = instance.on_members_changed(changed, now)
        return effects + instance.revisions.on_peer_revision(
            envelope.peer, message.revision
        )

    @_deliver.register(ReserveMemory)
    def _(
        self, message: ReserveMemory, envelope: PeerMessageReceived, now: float
    ) -> list:
        if self.instance.context.configuration is None:
            return []
        reply = self.instance.chats.reservations.decide_reservation(
            envelope.peer, envelope.incarnation, message, now
        )
        return [SendToPeer(envelope.peer, reply)]

    @_deliver.register(MemoryReply)
    def _(
        self, message: MemoryReply, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.chats.reservations.on_reply(message, now)

    @_deliver.register(ReleaseMemory)
    def _(
        self, message: ReleaseMemory, envelope: PeerMessageReceived, now: float
    ) -> list:
        self.instance.chats.reservations.allocator.release(
            message.engine, message.request_id, message.attempt
        )
        return []

    @_deliver.register(FetchRevision)
    def _(
        self, message: FetchRevision, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.revisions.on_fetch(envelope.peer, message)

    @_deliver.register(RevisionSnapshot)
    def _(
        self, message: RevisionSnapshot, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.revisions.on_peer_snapshot(message, now)

    @_deliver.register(HandOver)
    def _(self, message: HandOver, envelope: PeerMessageReceived, now: float) -> list:
        return self.instance.drain.on_hand_over(envelope.peer, message, now)

    @_deliver.register(HandOverTaken)
    def _(
        self, message: HandOverTaken, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.drain.on_taken(message, now)

    @_deliver.register(RelayRequest)
    def _(
        self, message: RelayRequest, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.relays.on_request(envelope.peer, message, now)

    @_deliver.register(RelayAnswer)
    def _(
        self, message: RelayAnswer, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.relays.on_answer(envelope.peer, message, now)

    @_deliver.register(RelayCancel)
    def _(
        self, message: RelayCancel, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.relays.on_cancel(envelope.peer, message, now)

    def on_unreachable(self, failure: PeerUnreachable, now: float) -> list:
        """React to a message that did not reach its peer."""
        instance = self.instance
        instance.context.membership.suspect(failure.peer, now)
        message = failure.message
        if isinstance(message, RelayRequest):
            return instance.relays.on_unreachable(message, now)
        if isinstance(message, ReserveMemory):
            return self._on_reserve_unreachable(message, now)
        if isinstance(message, RelayAnswer):
            return []
        return []

    def _on_reserve_unreachable(self, message: ReserveMemory, now: float) -> list:
        chat = self.instance.context.chats.get(message.request_id)
        if chat is None or chat.phase is not Phase.RESERVING:
            return []
        reply = MemoryReply(
            message.engine, message.request_id, message.attempt, False, 0
        )
        return self.instance.chats.reservations.on_reply(reply, now)

"""Dispatches messages of peers to their handlers."""

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

__all__ = ["PeerMessageHandler"]


@define(slots=True)
class PeerMessageHandler:
    """Dispatches messages of peers to the components of an instance."""

    instance: EntryInstance

    def handle(self, envelope: PeerMessageReceived, now: float) -> list:
        """Handle a message of a peer."""
        return self._handle(envelope.message, envelope, now)

    @singledispatchmethod
    def _handle(self, message, envelope: PeerMessageReceived, now: float) -> list:
        raise TypeError(f"unexpected message from a peer: {message!r}")

    @_handle.register(Digest)
    def _(self, message: Digest, envelope: PeerMessageReceived, now: float) -> list:
        instance = self.instance
        changed = instance.gossip.on_digest(
            envelope.peer, envelope.incarnation, message, now
        )
        effects = instance.on_members_changed(changed, now)
        return effects + instance.revisions.on_peer_revision(
            envelope.peer, message.revision
        )

    @_handle.register(ReserveMemory)
    def _(
        self, message: ReserveMemory, envelope: PeerMessageReceived, now: float
    ) -> list:
        if self.instance.context.configuration is None:
            return []
        reply = self.instance.chats.reservations.decide_reservation(
            envelope.peer, envelope.incarnation, message, now
        )
        return [SendToPeer(envelope.peer, reply)]

    @_handle.register(MemoryReply)
    def _(
        self, message: MemoryReply, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.chats.reservations.on_reply(message, now)

    @_handle.register(ReleaseMemory)
    def _(
        self, message: ReleaseMemory, envelope: PeerMessageReceived, now: float
    ) -> list:
        self.instance.chats.reservations.allocator.release(
            message.engine, message.request_id, message.attempt
        )
        return []

    @_handle.register(FetchRevision)
    def _(
        self, message: FetchRevision, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.revisions.on_fetch(envelope.peer, message)

    @_handle.register(RevisionSnapshot)
    def _(
        self, message: RevisionSnapshot, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.revisions.on_peer_snapshot(message, now)

    @_handle.register(HandOver)
    def _(self, message: HandOver, envelope: PeerMessageReceived, now: float) -> list:
        return self.instance.drain.on_hand_over(envelope.peer, message, now)

    @_handle.register(HandOverTaken)
    def _(
        self, message: HandOverTaken, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.drain.on_hand_over_taken(message, now)

    @_handle.register(RelayRequest)
    def _(
        self, message: RelayRequest, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.relays.on_request(envelope.peer, message, now)

    @_handle.register(RelayAnswer)
    def _(
        self, message: RelayAnswer, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.relays.on_response_part(envelope.peer, message, now)

    @_handle.register(RelayCancel)
    def _(
        self, message: RelayCancel, envelope: PeerMessageReceived, now: float
    ) -> list:
        return self.instance.relays.on_cancel(envelope.peer, message, now)

    def on_unreachable(self, failure: PeerUnreachable, now: float) -> list:
        """Mark an unreachable peer as suspect and handle the undelivered message."""
        instance = self.instance
        instance.context.membership.mark_suspect(failure.peer, now)
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

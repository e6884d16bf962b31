"""Dispatch of messages from outside systems to the components of an instance."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from briarrelay_core.agreement.changes import CONFIG_STREAM, SNAPSHOT_STREAM
from briarrelay_core.agreement.claims import CLAIM_STREAM
from briarrelay_core.agreement.leases import LEASE_STREAM
from briarrelay_core.ports.caller import CallerGone, ChatRequest, ServiceRequest
from briarrelay_core.ports.control import DrainRequested
from briarrelay_core.ports.engine import (
    CacheEvents,
    Cancelled,
    EngineFrame,
    EngineLost,
    EngineReport,
    FrameKind,
    ReportLost,
    Residents,
)
from briarrelay_core.ports.log import AppendDone, AppendFailed, LogRead
from briarrelay_core.ports.peer import PeerMessageReceived, PeerUnreachable
from briarrelay_core.ports.platform import (
    EngineState,
    InstanceKind,
    InstanceList,
    WeightsStatus,
)
from briarrelay_core.ports.service import ServiceLost, ServiceResponse

if TYPE_CHECKING:
    from briarrelay_core.entry import EntryInstance

__all__ = ["handle_message"]


@singledispatch
def handle_message(message, instance: EntryInstance, now: float) -> list:
    """Pass a message to the component that handles it; return its effects.

    :raises TypeError: if no handler is registered for the type of the message.
    """
    raise TypeError(f"no handler is registered for message {message!r}")


@handle_message.register(EngineFrame)
def _(message: EngineFrame, instance: EntryInstance, now: float) -> list:
    effects = instance.responses.on_frame(message, now)
    refused = message.kind is FrameKind.REFUSED and message.text == "leaving"
    return (
        effects + instance.on_engine_leaving(message.engine, now)
        if refused
        else effects
    )


@handle_message.register(ChatRequest)
def _(message: ChatRequest, instance: EntryInstance, now: float) -> list:
    return instance.chats.on_request(message, now)


@handle_message.register(ServiceRequest)
def _(message: ServiceRequest, instance: EntryInstance, now: float) -> list:
    return instance.calls.on_request(message, now)


@handle_message.register(CallerGone)
def _(message: CallerGone, instance: EntryInstance, now: float) -> list:
    if message.request_id in instance.calls.calls:
        return instance.calls.on_caller_disconnected(message, now)
    return instance.chats.on_caller_disconnected(message, now)


@handle_message.register(EngineLost)
def _(message: EngineLost, instance: EntryInstance, now: float) -> list:
    return instance.responses.on_lost(message, now)


@handle_message.register(EngineReport)
def _(message: EngineReport, instance: EntryInstance, now: float) -> list:
    return instance.poller.on_report(message, now)


@handle_message.register(ReportLost)
def _(message: ReportLost, instance: EntryInstance, now: float) -> list:
    return instance.poller.on_report_lost(message, now)


@handle_message.register(CacheEvents)
def _(message: CacheEvents, instance: EntryInstance, now: float) -> list:
    return instance.poller.on_events(message)


@handle_message.register(Residents)
def _(message: Residents, instance: EntryInstance, now: float) -> list:
    return instance.poller.on_residents(message, now)


@handle_message.register(Cancelled)
def _(message: Cancelled, instance: EntryInstance, now: float) -> list:
    instance.chats.cancels.on_cancelled(message)
    return []


@handle_message.register(AppendDone)
def _(message: AppendDone, instance: EntryInstance, now: float) -> list:
    return instance.context.outbox.on_done(message, now)


@handle_message.register(AppendFailed)
def _(message: AppendFailed, instance: EntryInstance, now: float) -> list:
    return instance.context.outbox.on_failed(message, now)


@handle_message.register(LogRead)
def _(message: LogRead, instance: EntryInstance, now: float) -> list:
    effects = _dispatch_log_read(message, instance, now)
    if not message.failed:
        effects += instance.context.outbox.retry_now(now)
    return effects


def _dispatch_log_read(message: LogRead, instance: EntryInstance, now: float) -> list:
    if message.stream == SNAPSHOT_STREAM:
        return instance.revisions.on_snapshot_read(message, now)
    if message.stream == CONFIG_STREAM:
        effects = instance.revisions.tail.on_read(message, now)
        return effects + instance.revisions.put_in_force_if_caught_up(now)
    if message.stream == CLAIM_STREAM:
        return instance.calls.tail.on_read(message, now)
    if message.stream == LEASE_STREAM:
        return instance.orders.tail.on_read(message, now)
    return []


@handle_message.register(InstanceList)
def _(message: InstanceList, instance: EntryInstance, now: float) -> list:
    if message.failed:
        return []
    membership = instance.context.membership
    changed = membership.apply_list(message.version, message.instances, now)
    local = membership.live(InstanceKind.ENTRY, instance.identity.data_centre)
    instance.context.limits.live = max(1, len(local))
    return instance.on_members_changed(changed, now)


@handle_message.register(PeerMessageReceived)
def _(message: PeerMessageReceived, instance: EntryInstance, now: float) -> list:
    return instance.peer_messages.handle(message, now)


@handle_message.register(PeerUnreachable)
def _(message: PeerUnreachable, instance: EntryInstance, now: float) -> list:
    return instance.peer_messages.on_unreachable(message, now)


@handle_message.register(ServiceResponse)
def _(message: ServiceResponse, instance: EntryInstance, now: float) -> list:
    return instance.calls.on_response(message, now)


@handle_message.register(ServiceLost)
def _(message: ServiceLost, instance: EntryInstance, now: float) -> list:
    return instance.calls.on_lost(message, now)


@handle_message.register(EngineState)
def _(message: EngineState, instance: EntryInstance, now: float) -> list:
    return instance.orders.on_engine_state(message, now)


@handle_message.register(WeightsStatus)
def _(message: WeightsStatus, instance: EntryInstance, now: float) -> list:
    return instance.orders.on_weights(message, now)


@handle_message.register(DrainRequested)
def _(message: DrainRequested, instance: EntryInstance, now: float) -> list:
    return instance.drain.start(now)

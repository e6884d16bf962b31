"""The core of an entry instance: its components behind one message interface.

A host process (the daemon, a test or an experiment) drives the instance. It passes
messages to :meth:`EntryInstance.handle`, calls :meth:`EntryInstance.run_timers` at
:attr:`EntryInstance.next_due`, and performs the effects that both return.
"""

from attrs import define, field

from briarrelay_core.agreement.calls import CallController
from briarrelay_core.agreement.orders import OrderController
from briarrelay_core.agreement.outbox import Outbox
from briarrelay_core.agreement.revisions import RevisionManager
from briarrelay_core.chats.cancels import CancelRetrier
from briarrelay_core.chats.chatcontroller import ChatController
from briarrelay_core.chats.relays import RelayHandler
from briarrelay_core.chats.responses import ResponseForwarder
from briarrelay_core.context import Context
from briarrelay_core.identity import Identity
from briarrelay_core.membership.drain import Drain
from briarrelay_core.membership.gossip import Gossip
from briarrelay_core.membership.membership import Membership
from briarrelay_core.membership.peermessages import PeerMessageHandler
from briarrelay_core.memory.reservations import ReservationCoordinator
from briarrelay_core.messagehandlers import handle_message
from briarrelay_core.ports.control import DEFAULT_RECORD_WAIT_S
from briarrelay_core.ports.platform import (
    InstanceKind,
    LifecycleState,
)
from briarrelay_core.record.record import AUDIT_STREAM, Recorder
from briarrelay_core.routing.admission import Admission
from briarrelay_core.routing.dispatch import Dispatcher
from briarrelay_core.routing.fleet import Fleet
from briarrelay_core.routing.polling import Poller
from briarrelay_core.routing.spill import SpillRelay
from briarrelay_core.timers import TimerService

__all__ = ["EntryInstance"]

AUDIT_BATCH_PERIOD_S = 2.0
"""Seconds between batches of the audit record."""


def _make_context(identity: Identity) -> Context:
    timers = TimerService()
    membership = Membership()
    return Context(
        identity=identity,
        timers=timers,
        membership=membership,
        fleet=Fleet(identity, membership),
        outbox=Outbox(identity, timers, {AUDIT_STREAM: AUDIT_BATCH_PERIOD_S}),
        recorder=Recorder(identity),
    )


@define(slots=True)
class EntryInstance:
    """An entry instance; all entry instances have the same role.

    :param identity: name, incarnation and data centre of this process.
    :param record_wait_s: seconds for which a stop waits, after the last request, until
        the log or a peer has the records.
    """

    identity: Identity
    record_wait_s: float = DEFAULT_RECORD_WAIT_S
    context: Context = field(init=False)
    chats: ChatController = field(init=False)
    calls: CallController = field(init=False)
    revisions: RevisionManager = field(init=False)
    orders: OrderController = field(init=False)
    drain: Drain = field(init=False)
    gossip: Gossip = field(init=False)
    poller: Poller = field(init=False)
    responses: ResponseForwarder = field(init=False)
    relays: RelayHandler = field(init=False)
    peer_messages: PeerMessageHandler = field(init=False)

    def __attrs_post_init__(self):
        context = _make_context(self.identity)
        self.context = context
        admission = Admission(context)
        dispatcher = Dispatcher(context, admission)
        reservations = ReservationCoordinator(
            context, dispatcher.on_granted, dispatcher.on_denied
        )
        dispatcher.reservations = reservations
        self.chats = ChatController(
            context=context,
            admission=admission,
            dispatcher=dispatcher,
            reservations=reservations,
            cancels=CancelRetrier(context.timers, context.membership),
            spill=SpillRelay(context),
        )
        self.calls = CallController(context, admission)
        self.revisions = RevisionManager(context)
        self.orders = OrderController(context)
        self.gossip = Gossip(context)
        self.poller = Poller(context)
        self.drain = Drain(context, self.calls, self.gossip, self.record_wait_s)
        self.responses = ResponseForwarder(self.chats)
        self.relays = RelayHandler(self.chats)
        self.peer_messages = PeerMessageHandler(self)

    @property
    def is_ready(self) -> bool:
        """Whether the instance accepts requests of callers."""
        return self.revisions.has_revision and not self.context.draining

    @property
    def next_due(self) -> float | None:
        """Time at which to call :meth:`run_timers` next, in seconds; None for never."""
        return self.context.timers.next_due

    def start(self, now: float) -> list:
        """Start the instance; return the first effects."""
        identity = self.identity
        self.context.membership.observe(
            identity.name, identity.incarnation, LifecycleState.LIVE, now
        )
        self.context.timers.every(
            AUDIT_BATCH_PERIOD_S, self._flush_audit_record, now + AUDIT_BATCH_PERIOD_S
        )
        self.gossip.start(now)
        effects = self.poller.start(now)
        effects += self.revisions.start(now)
        effects += self.calls.tail.start(now)
        effects += self.orders.start(now)
        return effects

    def handle(self, message, now: float) -> list:
        """Process a message from an outside system; return effects to perform."""
        return self._post_process(handle_message(message, self, now), now)

    def run_timers(self, now: float) -> list:
        """Run the timers that are due; return effects to perform."""
        return self._post_process(self.context.timers.run_due(now), now)

    def _post_process(self, effects: list, now: float) -> list:
        if not effects:
            return effects
        return self.relays.redirect_to_peers(
            self.responses.start_timeouts(effects, now), now
        )

    def _flush_audit_record(self, now: float) -> list:
        batch = self.context.recorder.pop_batch()
        if batch is None:
            return []
        return self.context.outbox.add(AUDIT_STREAM, batch.to_json(), now)

    def on_engine_leaving(self, name: str, now: float) -> list:
        """Record and broadcast that an engine shuts down, as it refused a request."""
        member = self.context.membership.get(name)
        incarnation = member.incarnation if member else 0
        if not self.context.membership.observe(
            name, incarnation, LifecycleState.LEAVING, now
        ):
            return []
        return self.gossip.broadcast(now)

    def on_members_changed(self, names: list[str], now: float) -> list:
        """Update state for instances whose lifecycle state advanced."""
        effects = []
        for name in names:
            member = self.context.membership.get(name)
            listed = member.listed
            if listed is not None and listed.kind is InstanceKind.ENGINE:
                effects += self._on_engine_changed(name, member.state, now)
            else:
                effects += self._on_entry_changed(member, now)
        return effects

    def _on_engine_changed(self, name: str, state: LifecycleState, now: float) -> list:
        if state is LifecycleState.LEAVING:
            return []
        self.chats.reservations.allocator.drop_engine(name)
        effects = self.chats.on_engine_gone(name, now)
        self.context.fleet.forget(name)
        return effects

    def _on_entry_changed(self, member, now: float) -> list:
        is_gone = member.state is LifecycleState.GONE
        oldest_live = member.incarnation + (1 if is_gone else 0)
        allocator = self.chats.reservations.allocator
        allocator.release_earlier_incarnations(member.name, oldest_live)
        if is_gone:
            self.context.limits.drop_peer(member.name)
            self.context.peer_demand.pop(member.name, None)
        return self.poller.sweep_now(now) if member.incarnation else []

"""An entry instance that handles routes, with all its components behind one interface.

As with :class:`briarrelay_core.entry.EntryInstance`, the driver passes messages to
:meth:`RouteInstance.handle`, runs the timers and carries out the effects.
"""

from functools import singledispatchmethod

from attrs import define, field

from briarrelay_core.agreement.outbox import Outbox, Retention
from briarrelay_core.identity import Identity
from briarrelay_core.ports.control import (
    DrainRequested,
    ProcessResumed,
    RouteSettingsChanged,
)
from briarrelay_core.ports.digest import DigestReceived, PeerResponse
from briarrelay_core.ports.directory import (
    EntryPublished,
    PeerAddress,
    PresetsReplaced,
    TopicExpired,
    TopicFailed,
    TopicListed,
    TopicPolled,
    TopicRead,
)
from briarrelay_core.ports.log import AppendDone, AppendFailed
from briarrelay_core.ports.memory import ReleaseResponse, ReserveResponse
from briarrelay_core.ports.quarantine import QuarantineWritten
from briarrelay_core.ports.room import RelayLimits
from briarrelay_core.ports.route import (
    CallerDisconnected,
    InvalidRequest,
    ReadingPaused,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseLost,
    RouteRequest,
    ServerAnnouncement,
)
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.record.record import AUDIT_STREAM, Recorder
from briarrelay_core.routes.allowances.allowances import Allowances
from briarrelay_core.routes.backpressure import apply_reading_paused
from briarrelay_core.routes.budget import RetryLimits, ServiceRetryBudget
from briarrelay_core.routes.controller import RequestController
from briarrelay_core.routes.cooperation.capacity import RelayCapacity
from briarrelay_core.routes.cooperation.delegation import Delegation
from briarrelay_core.routes.cooperation.overload import OverloadRelief
from briarrelay_core.routes.gracefulstop import GracefulStop
from briarrelay_core.routes.load import LoadTable
from briarrelay_core.routes.observations import ServerObservations
from briarrelay_core.routes.peers import PeerExchange
from briarrelay_core.routes.reservations import Reservations
from briarrelay_core.routes.responses import ResponseHandler
from briarrelay_core.routes.resumption import MAX_HOLD_S, ResumptionGuard
from briarrelay_core.routes.selection import ServerSelector
from briarrelay_core.routes.servers import ServerTable
from briarrelay_core.routes.silence import SilenceChecker
from briarrelay_core.routes.updates import UpdateHandler
from briarrelay_core.timers import TimerService

__all__ = ["RouteInstance"]

CHECK_PERIOD_S = 0.1
"""Seconds between checks for overdue requests and silent servers."""

MAX_INACTIVE_S = 1.0
"""Seconds without any activity after which the process counts as having been suspended;
checks run every 0.1 s."""

RECORD_PERIOD_S = 5.0
"""Seconds between appends of the audit record, in batches; each append is charged."""


@define(slots=True, eq=False)
class RouteInstance:
    """One of several equivalent entry instances, for routes.

    :param identity: name, incarnation and data centre of this process.
    :param address: address at which peers reach it.
    :param repeats: limits on retries, over all instances.
    :param grace_s: seconds that a graceful stop may take.
    :param hold_s: seconds that an engine keeps reserved memory without a renewal.
    :param max_unused_s: seconds for which reserved memory may stay unused.
    :param news_s: seconds within which a leaving server must get no new requests.
    :param apply_s: seconds within which an accepted configuration must be in force.
    :param seeds: addresses of the peers to contact at the start.
    :param relay_limits: what it can relay, from its settings.
    :param retention: how long the audit record is kept after the store has it.
    """

    identity: Identity
    address: PeerAddress
    repeats: RetryLimits
    grace_s: float
    hold_s: float
    max_unused_s: float = 8.0
    news_s: float = 2.0
    apply_s: float = 2.0
    seeds: tuple[PeerAddress, ...] = ()
    retention: Retention = Retention()
    relay_limits: RelayLimits = RelayLimits()
    timers: TimerService = field(factory=TimerService)
    recorder: Recorder = field(init=False)
    outbox: Outbox = field(init=False)
    reservations: Reservations = field(init=False)
    controller: RequestController = field(init=False)
    responses: ResponseHandler = field(init=False)
    silence: SilenceChecker = field(init=False)
    capacity: RelayCapacity = field(init=False)
    peers: PeerExchange = field(init=False)
    updates: UpdateHandler = field(init=False)
    stopping: GracefulStop = field(init=False)
    resumption: ResumptionGuard = field(init=False)
    _active_at: float | None = None

    def __attrs_post_init__(self):
        identity = self.identity
        self.recorder = Recorder(identity)
        self.outbox = Outbox(
            identity, self.timers, {AUDIT_STREAM: RECORD_PERIOD_S}, self.retention
        )
        self.reservations = Reservations(
            f"{identity.name}-{identity.incarnation}", self.hold_s, self.timers
        )
        load = LoadTable()
        servers = ServerTable()
        observations = ServerObservations(servers)
        self.controller = RequestController(
            servers=servers,
            load=load,
            budget=ServiceRetryBudget(self.repeats),
            recorder=self.recorder,
            reservations=self.reservations,
            observations=observations,
            selector=ServerSelector(
                identity.name, identity.data_centre, servers, load, observations
            ),
        )
        self.reservations.on_granted = self.controller.on_granted
        self.reservations.on_denied = self.controller.on_denied
        self.responses = ResponseHandler(self.controller)
        self.silence = SilenceChecker(self.controller, self.max_unused_s)
        self.capacity = RelayCapacity(self.relay_limits)
        self.peers = PeerExchange(
            self.address,
            identity.incarnation,
            self.timers,
            load,
            servers,
            observations.pauses,
            self.controller.quarantine,
            observations.crashes,
            observations.limits,
            observations.isolation,
            observations.allowances.cold,
            observations.held,
            self.capacity,
            observations.losses,
        )
        relief = None
        if self.capacity.is_known:
            relief = OverloadRelief(
                self.capacity, identity.data_centre, self.peers.rooms
            )
        self.controller.delegation = Delegation(
            observations.isolation, self.peers, relief
        )
        for seed in self.seeds:
            self.peers.add(seed)
        self.updates = UpdateHandler(
            self.controller,
            self.peers,
            self.timers,
            self.news_s,
            self.apply_s,
            self.outbox.on_log_returned,
        )
        self.resumption = ResumptionGuard(self.updates.followers)
        self.stopping = GracefulStop(
            self.controller,
            self.peers,
            self.outbox,
            self._append_audit_batch,
            self.grace_s,
        )

    @property
    def allowances(self) -> Allowances:
        """What servers may get from this instance now."""
        return self.controller.observations.allowances

    @property
    def is_ready(self) -> bool:
        """Whether this instance accepts requests of callers."""
        return (
            self.controller.admission.configuration is not None
            and len(self.controller.servers) > 0
            and not self.stopping.is_begun
        )

    @property
    def next_due(self) -> float | None:
        """Time in seconds at which timers have to run next, None if there are none."""
        return self.timers.next_due

    def start(self, now: float) -> list:
        """Start periodic work; return the first effects."""
        # on its own, so that requests are answered though another check may raise
        self.timers.every(
            CHECK_PERIOD_S, self.controller.expire_requests, now + CHECK_PERIOD_S
        )
        self.timers.every(CHECK_PERIOD_S, self._run_checks, now + CHECK_PERIOD_S)
        self.timers.every(
            RECORD_PERIOD_S, self._append_audit_batch, now + RECORD_PERIOD_S
        )
        dropped = [
            effect
            for name in self.relay_limits.invalid
            for effect in (
                LogEvent("warning", "setting_dropped", fields=(("name", name),)),
                IncrementCounter("settings.limit_dropped"),
            )
        ]
        return dropped + self.peers.start(now) + self.updates.start(now)

    def handle(self, message, now: float) -> list:
        """Handle a message from the driver; return effects to carry out."""
        effects = self._check_suspension(now)
        effects += self._dispatch(message, now)
        return self._add_pending(effects, now)

    def run_timers(self, now: float) -> list:
        """Run the timers that are due; return effects to carry out."""
        effects = self._check_suspension(now)
        if (due := self.timers.next_due) is not None:
            self.capacity.record_delay(now - due)
        effects += self.timers.run_due(now)
        return self._add_pending(effects, now)

    def _check_suspension(self, now: float) -> list:
        """Detect that the process was suspended while its clock went on."""
        inactive_s = now - self._active_at if self._active_at is not None else 0.0
        self._active_at = now
        return self._on_resumed(inactive_s, now) if inactive_s > MAX_INACTIVE_S else []

    def _on_resumed(self, suspended_s: float, now: float) -> list:
        fields = (("stood_s", f"{suspended_s:.2f}"),)
        self.updates.mark_stale()
        self.updates.update_staleness(now)
        self.timers.at(now + MAX_HOLD_S, self._end_hold)
        return [
            LogEvent("warning", "woke_up", fields=fields),
            *self.resumption.begin(),
        ]

    def _end_hold(self, now: float) -> list:
        self.resumption.give_up()
        return self._release_held(now)

    def _release_held(self, now: float) -> list:
        effects = []
        for request in self.resumption.pop_released(now):
            effects += self.controller.on_request(request, now)
        return effects

    def _add_pending(self, effects: list, now: float) -> list:
        """Append queued memory releases, and a digest if load or servers changed."""
        effects += self.controller.end_quarantined(now)
        effects += self.reservations.pop_effects()
        quarantine = self.controller.quarantine
        limits = self.controller.observations.limits
        isolation = self.controller.observations.isolation
        evacuations = self.controller.servers.evacuations
        sources = (quarantine, limits, isolation, evacuations, self.capacity)
        effects += self.updates.evacuations.follow(now)
        if any(source.has_urgent_change for source in sources):
            for source in sources:
                source.has_urgent_change = False
            effects += self.peers.announce(now)
        load = self.controller.load
        servers = self.controller.servers
        if servers.has_urgent_change:
            servers.has_urgent_change = False
            load.is_changed = load.is_urgent = True
        if load.has_long_read:
            effects.append(IncrementCounter("route.long_read_announced"))
            effects += self.peers.announce_read(now)
            load.has_long_read = load.is_urgent = False
        if load.is_changed:
            effects += self.peers.on_changed(now, load.is_urgent)
            load.is_changed = load.is_urgent = False
        return effects

    def _run_checks(self, now: float) -> list:
        self.updates.update_staleness(now)
        self.controller.budget.instances = self.peers.instances
        self.allowances.set_members(*self.peers.members(), now)
        self.allowances.cold.expire(now)
        effects = self.capacity.check(self.controller.requests.values(), now)
        effects += self.silence.check(now)
        for name in self.controller.servers.remove_expired(now):
            self.controller.observations.forget(name)
        self.controller.observations.crashes.expire(now)
        effects += self.controller.quarantine.expire(now)
        effects += self.updates.keeper.check(now)
        effects += self.controller.place_waiting(now)
        effects += self.stopping.check(now)
        if self.controller.admission.is_closing:
            # Held requests are refused; nothing would answer them after the exit.
            effects += self._end_hold(now)
        return effects

    def _append_audit_batch(self, now: float) -> list:
        batch = self.recorder.pop_batch()
        if batch is None:
            return []
        return self.outbox.add(AUDIT_STREAM, batch.to_json(), now)

    @singledispatchmethod
    def _dispatch(self, message, now: float) -> list:
        raise TypeError(f"unsupported message: {message!r}")

    @_dispatch.register
    def _(self, message: RouteRequest, now: float) -> list:
        self.capacity.record_request(message.body_bytes, now)
        if self.resumption.is_active:
            self.resumption.hold(message, now)
            return [IncrementCounter("route.held")]
        return self.controller.on_request(message, now)

    @_dispatch.register
    def _(self, message: InvalidRequest, now: float) -> list:
        return self.controller.refusals.on_invalid(message, now)

    @_dispatch.register
    def _(self, message: CallerDisconnected, now: float) -> list:
        if self.resumption.discard(message.request_id):
            return [IncrementCounter("route.caller_gone")]
        return self.controller.on_caller_disconnected(message, now)

    @_dispatch.register
    def _(self, message: ReadingPaused, now: float) -> list:
        return apply_reading_paused(self.controller, message, now)

    @_dispatch.register
    def _(self, message: ResponseHead, now: float) -> list:
        return self.responses.on_head(message, now)

    @_dispatch.register
    def _(self, message: ResponseEvent, now: float) -> list:
        self.capacity.record_event(len(message.data), now)
        return self.responses.on_event(message, now)

    @_dispatch.register
    def _(self, message: ResponseComplete, now: float) -> list:
        return self.responses.on_done(message, now)

    @_dispatch.register
    def _(self, message: ResponseLost, now: float) -> list:
        return self.responses.on_lost(message, now)

    @_dispatch.register
    def _(self, message: ServerAnnouncement, now: float) -> list:
        servers = self.controller.servers
        limits = self.controller.observations.limits
        effects = []
        for entry in servers.at_address(message.address):
            if message.is_leaving:
                effects += servers.apply_announcement(entry.name, entry.born, now)
            if message.limit is not None:
                effects += limits.record_limit(
                    entry.name, entry.born, message.limit, now
                )
        return effects

    @_dispatch.register
    def _(self, message: ReserveResponse, now: float) -> list:
        return self.reservations.on_reserved(message, now)

    @_dispatch.register
    def _(self, message: ReleaseResponse, now: float) -> list:
        return self.reservations.on_released(message, now)

    @_dispatch.register
    def _(self, message: TopicListed, now: float) -> list:
        return self.updates.on_listed(message, now)

    @_dispatch.register
    def _(self, message: TopicRead, now: float) -> list:
        return self.updates.on_read(message, now)

    @_dispatch.register
    def _(self, message: TopicPolled, now: float) -> list:
        effects = self.updates.on_polled(message, now)
        self.resumption.confirm(message.topic)
        return effects + self._release_held(now)

    @_dispatch.register
    def _(self, message: TopicExpired, now: float) -> list:
        return self.updates.on_expired(message, now)

    @_dispatch.register
    def _(self, message: TopicFailed, now: float) -> list:
        return self.updates.on_failed(message, now)

    @_dispatch.register
    def _(self, message: EntryPublished, now: float) -> list:
        if self.stopping.is_begun:
            return []
        return self.updates.on_published(message, now)

    @_dispatch.register
    def _(self, message: PresetsReplaced, now: float) -> list:
        return self.updates.on_presets_replaced(message, now)

    @_dispatch.register
    def _(self, message: QuarantineWritten, now: float) -> list:
        return self.updates.on_quarantine_written(message, now)

    @_dispatch.register
    def _(self, message: DigestReceived, now: float) -> list:
        return self.peers.on_digest(message, now)

    @_dispatch.register
    def _(self, message: PeerResponse, now: float) -> list:
        return self.updates.on_peer_response(message, now)

    @_dispatch.register
    def _(self, message: AppendDone, now: float) -> list:
        effects = []
        if message.era is None or message.era >= self.updates.era.value:
            effects = self.updates.observe_era(message.era, now)
        return effects + self.outbox.on_done(message, now)

    @_dispatch.register
    def _(self, message: AppendFailed, now: float) -> list:
        return self.outbox.on_failed(message, now)

    @_dispatch.register
    def _(self, message: DrainRequested, now: float) -> list:
        return self.stopping.begin(now)

    @_dispatch.register
    def _(self, message: RouteSettingsChanged, now: float) -> list:
        self.controller.budget.limits = message.repeats
        self.stopping.grace_s = message.grace_s
        for seed in message.seeds:
            self.peers.add(seed)
        return []

    @_dispatch.register
    def _(self, message: ProcessResumed, now: float) -> list:
        return self._on_resumed(message.suspended_s, now)

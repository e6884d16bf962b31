"""Simulation in virtual time of everything that entry instances interact with.

Fakes stand in for the engines, the log, the platform, plain services and the network.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from heapq import heappop, heappush

from attrs import define, field

from briarrelay_bench.engine_model import EngineModel
from briarrelay_bench.fakelog import FakeLog
from briarrelay_bench.simulated_faults import LATE_APPEND_S, LogFault, ServiceFault
from briarrelay_core.ports.caller import SendOutcome, SendResponseText
from briarrelay_core.ports.engine import (
    Cancelled,
    CancelRequest,
    EngineLost,
    ReadReport,
    ReadResidents,
    ReportLost,
    Residents,
    ResumeStream,
    SendRequest,
    StartGang,
)
from briarrelay_core.ports.log import (
    AppendDone,
    AppendFailed,
    AppendLog,
    LogRead,
    ReadLog,
)
from briarrelay_core.ports.peer import PeerMessageReceived, PeerUnreachable, SendToPeer
from briarrelay_core.ports.platform import (
    EngineState,
    FetchWeights,
    InstanceList,
    ListedInstance,
    ReadEngineState,
    ReadInstanceList,
    SendOrder,
    WeightsStatus,
)
from briarrelay_core.ports.service import CallService, ServiceLost, ServiceResponse
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent

__all__ = ["EngineHost", "InstanceHost", "VirtualCluster"]

LATENCY_S = 0.001
"""One-way delay between any two processes of a data centre."""

REPORT_LAG_S = 0.5
"""Delay in seconds of engine reports and cache events."""

CONNECT_TIMEOUT_S = 1.0
"""Seconds after which an operation that gets no answer fails."""


@define(slots=True, eq=False)
class EngineHost:
    """An engine of the simulation, which can crash or stop responding for a while.

    :ivar alive: False after a crash: connections are refused.
    :ivar silent: messages to it are lost, and it sends none.
    :ivar is_stepping: whether its next batch step is scheduled.
    """

    model: EngineModel
    data_centre: str = "dc1"
    alive: bool = True
    silent: bool = False
    is_stepping: bool = False

    @property
    def is_reachable(self) -> bool:
        """Whether messages to it are answered."""
        return self.alive and not self.silent


@define(slots=True, eq=False)
class InstanceHost:
    """An entry instance of the simulation.

    :param core: any object with the interface of ``EntryInstance``.
    :ivar timer_at: time of the scheduled timer run, infinity for none.
    :ivar paused: whether the instance runs neither timers nor messages.
    :ivar inbox: messages that arrived during a pause.
    """

    core: object
    data_centre: str = "dc1"
    alive: bool = True
    timer_at: float = float("inf")
    paused: bool = False
    inbox: list = field(factory=list)

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.core.identity.name


@define(slots=True)
class VirtualCluster:
    """Event loop with engines, entry instances, the log and the instance list.

    :param now: virtual Unix time in seconds.
    :param instance_list: entries of the instance list.
    :param is_partitioned: whether messages between two data centres are lost; the
        platform is in a data centre of its own, named ``platform``.
    :param on_text: called with request id, text and time of each text of an answer.
    :param on_finish: called with each outcome and its time.
    :param service_calls: calls that plain services have run, in order.
    """

    now: float = 1_000.0
    engines: dict[str, EngineHost] = field(factory=dict)
    instances: dict[str, InstanceHost] = field(factory=dict)
    log: FakeLog = field(factory=FakeLog)
    instance_list: tuple[ListedInstance, ...] = ()
    list_version: int = 1
    is_partitioned: Callable[[str, str], bool] = lambda a, b: False
    on_text: Callable[[str, str, float], None] = lambda i, t, now: None
    on_finish: Callable[[SendOutcome, float], None] = lambda f, now: None
    counters: dict[str, int] = field(factory=dict)
    log_fault: LogFault = LogFault.NONE
    service_fault: ServiceFault = ServiceFault.NONE
    service_calls: list[CallService] = field(factory=list)
    _events: list = field(factory=list)
    _sequence: int = 0
    _waiting_reads: list = field(factory=list)

    def schedule(self, due: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        self._sequence += 1
        heappush(self._events, (due, self._sequence, action))

    def run_until(self, end: float) -> None:
        """Run all actions that are due up to a time, and set the clock to it."""
        while self._events and self._events[0][0] <= end:
            due, _, action = heappop(self._events)
            self.now = max(self.now, due)
            action()
        self.now = max(self.now, end)

    def start(self, host: InstanceHost) -> None:
        """Add an instance and start it."""
        self.instances[host.name] = host
        self.perform_all(host, host.core.start(self.now))

    def deliver(self, host: InstanceHost, message) -> None:
        """Deliver a message to an instance now, or at the end of its pause."""
        if host.paused:
            host.inbox.append(message)
        elif host.alive:
            self.perform_all(host, host.core.handle(message, self.now))

    def deliver_later(self, host: InstanceHost, message, delay: float) -> None:
        """Deliver a message to an instance after a delay in seconds."""
        self.schedule(self.now + delay, lambda: self.deliver(host, message))

    def perform_all(self, host: InstanceHost, effects: list) -> None:
        """Perform effects and schedule the instance's next timer."""
        for effect in effects:
            self.perform(effect, host)
        due = host.core.next_due
        if due is not None and due < host.timer_at:
            host.timer_at = due
            self.schedule(max(due, self.now), lambda: self._run_timers(host, due))

    def _run_timers(self, host: InstanceHost, due: float) -> None:
        if not host.alive or host.paused or host.timer_at != due:
            return
        host.timer_at = float("inf")
        self.perform_all(host, host.core.run_timers(self.now))

    def resume(self, host: InstanceHost) -> None:
        """End the pause of an instance; timers run first, then deferred messages."""
        host.paused = False
        host.timer_at = float("inf")
        self.perform_all(host, host.core.run_timers(self.now))
        inbox, host.inbox = host.inbox, []
        for message in inbox:
            self.deliver(host, message)

    def reaches_platform(self, host: InstanceHost) -> bool:
        """Return whether an instance can reach the platform."""
        return not self.is_partitioned(host.data_centre, "platform")

    @singledispatchmethod
    def perform(self, effect, host: InstanceHost) -> None:
        """Perform one effect of an instance.

        :raises TypeError: the simulation does not support the effect.
        """
        raise TypeError(f"unsupported effect: {effect!r}")

    @perform.register
    def _(self, effect: IncrementCounter, host: InstanceHost) -> None:
        total = self.counters.get(effect.name, 0) + effect.amount
        self.counters[effect.name] = total

    @perform.register
    def _(self, effect: LogEvent, host: InstanceHost) -> None:
        pass

    @perform.register
    def _(self, effect: SendResponseText, host: InstanceHost) -> None:
        self.on_text(effect.request_id, effect.text, self.now)

    @perform.register
    def _(self, effect: SendOutcome, host: InstanceHost) -> None:
        self.on_finish(effect, self.now)

    @perform.register
    def _(self, effect: SendRequest, host: InstanceHost) -> None:
        self.schedule(self.now + LATENCY_S, lambda: self._submit(effect, host))

    def _submit(self, effect: SendRequest, host: InstanceHost) -> None:
        engine = self.engines[effect.engine]
        if not engine.alive:
            key = (effect.engine, effect.request_id, effect.attempt)
            self.deliver_later(host, EngineLost(*key, sent=False), LATENCY_S)
        elif not engine.silent:
            frame = engine.model.submit(effect)
            self.deliver_later(host, frame, LATENCY_S)
            self._ensure_stepping(engine)

    def _ensure_stepping(self, engine: EngineHost) -> None:
        if not engine.is_stepping and not engine.model.is_idle:
            engine.is_stepping = True
            self._step(engine)

    def _step(self, engine: EngineHost) -> None:
        if not engine.alive or engine.model.is_idle:
            engine.is_stepping = False
            return
        owners = {(r.request_id, r.attempt): r.owner for r in engine.model.residents()}
        seconds, frames = engine.model.step()
        due = self.now + seconds
        for frame in frames:
            host = self.instances.get(owners[(frame.request_id, frame.attempt)])
            self.schedule(
                due + LATENCY_S,
                lambda f=frame, h=host: self._deliver_frame(engine, h, f),
            )
        self.schedule(due, lambda: self._step(engine))

    def _deliver_frame(self, engine: EngineHost, host: InstanceHost, frame) -> None:
        if engine.is_reachable and host is not None:
            self.deliver(host, frame)

    @perform.register
    def _(self, effect: StartGang, host: InstanceHost) -> None:
        self.schedule(self.now + LATENCY_S, lambda: self._start_gang(effect))

    def _start_gang(self, effect: StartGang) -> None:
        engine = self.engines[effect.engine]
        if engine.is_reachable:
            engine.model.start(effect.request_id, effect.attempt)
            self._ensure_stepping(engine)

    @perform.register
    def _(self, effect: CancelRequest, host: InstanceHost) -> None:
        self.schedule(self.now + LATENCY_S, lambda: self._cancel(effect, host))

    def _cancel(self, effect: CancelRequest, host: InstanceHost) -> None:
        engine = self.engines[effect.engine]
        if engine.is_reachable:
            engine.model.cancel(effect.request_id, effect.attempt)
        key = (effect.engine, effect.request_id, effect.attempt)
        delay = LATENCY_S if engine.is_reachable else CONNECT_TIMEOUT_S
        self.deliver_later(host, Cancelled(*key, engine.is_reachable), delay)

    @perform.register
    def _(self, effect: ResumeStream, host: InstanceHost) -> None:
        self.schedule(self.now + LATENCY_S, lambda: self._resume(effect, host))

    def _resume(self, effect: ResumeStream, host: InstanceHost) -> None:
        engine = self.engines[effect.engine]
        key = (effect.engine, effect.request_id, effect.attempt)
        if not engine.alive:
            self.deliver_later(host, EngineLost(*key, sent=False), LATENCY_S)
        elif not engine.silent:
            for frame in engine.model.resume(*key[1:], effect.start_at):
                self.deliver_later(host, frame, LATENCY_S)

    @perform.register
    def _(self, effect: ReadReport, host: InstanceHost) -> None:
        engine = self.engines[effect.engine]
        if not engine.is_reachable:
            lost = ReportLost(effect.engine, refused=not engine.alive)
            delay = CONNECT_TIMEOUT_S if engine.alive else LATENCY_S
            self.deliver_later(host, lost, delay)
            return
        self.deliver_later(host, engine.model.report(self.now), REPORT_LAG_S)
        events = engine.model.events(effect.events_from)
        self.deliver_later(host, events, REPORT_LAG_S)

    @perform.register
    def _(self, effect: ReadResidents, host: InstanceHost) -> None:
        engine = self.engines[effect.engine]
        if engine.is_reachable:
            residents = Residents(effect.engine, engine.model.residents())
            self.deliver_later(host, residents, 2 * LATENCY_S)

    @perform.register
    def _(self, effect: ReadEngineState, host: InstanceHost) -> None:
        self._send_state(host, effect.engine, True)

    @perform.register
    def _(self, effect: SendOrder, host: InstanceHost) -> None:
        engine = self.engines[effect.engine]
        accepted = engine.is_reachable and engine.model.apply_order(
            effect.kind.value, effect.value, effect.fencing
        )
        self._send_state(host, effect.engine, accepted)

    def _send_state(self, host: InstanceHost, name: str, accepted: bool) -> None:
        engine = self.engines[name]
        if not engine.is_reachable:
            return
        model = engine.model
        answer = EngineState(
            engine=name,
            accepted=accepted,
            highest_fencing=model.highest_fencing,
            models=model.models,
            adapters=model.adapters,
            role=model.role,
        )
        self.deliver_later(host, answer, 2 * LATENCY_S)

    @perform.register
    def _(self, effect: FetchWeights, host: InstanceHost) -> None:
        self.deliver_later(host, WeightsStatus(effect.model, True), 2 * LATENCY_S)

    @perform.register
    def _(self, effect: ReadInstanceList, host: InstanceHost) -> None:
        if self.reaches_platform(host):
            answer = InstanceList(self.list_version, self.instance_list)
            self.deliver_later(host, answer, 2 * LATENCY_S)

    @perform.register
    def _(self, effect: AppendLog, host: InstanceHost) -> None:
        if not self.reaches_platform(host) or self.log_fault is LogFault.DOWN:
            failed = AppendFailed(effect.append_id)
            self.deliver_later(host, failed, CONNECT_TIMEOUT_S)
        elif self.log_fault is LogFault.LATE:
            self.schedule(self.now + LATE_APPEND_S, lambda: self._append(effect))
        elif self.log_fault is LogFault.LOSE_ANSWERS:
            self._append(effect)
        else:
            done = AppendDone(effect.append_id, self._append(effect))
            self.deliver_later(host, done, 2 * LATENCY_S)

    def _append(self, effect: AppendLog) -> int:
        offset = self.log.append(effect.stream, effect.bodies)
        self.answer_waiting_reads()
        return offset

    def answer_waiting_reads(self) -> None:
        """Repeat the log reads that wait for new records."""
        waiting, self._waiting_reads = self._waiting_reads, []
        for read, reader in waiting:
            self.perform(read, reader)

    @perform.register
    def _(self, effect: CallService, host: InstanceHost) -> None:
        if self.service_fault is ServiceFault.REFUSE:
            lost = ServiceLost(effect.call_id, sent=False)
            self.deliver_later(host, lost, LATENCY_S)
            return
        self.service_calls.append(effect)
        if self.service_fault is ServiceFault.LOSE_ANSWERS:
            lost = ServiceLost(effect.call_id, sent=True)
            self.deliver_later(host, lost, CONNECT_TIMEOUT_S)
            return
        body = f"{effect.idempotency_key}:{len(self.service_calls)}".encode()
        answer = ServiceResponse(effect.call_id, 200, body)
        self.deliver_later(host, answer, 2 * LATENCY_S)

    @perform.register
    def _(self, effect: ReadLog, host: InstanceHost) -> None:
        if not self.reaches_platform(host) or self.log_fault is LogFault.DOWN:
            failed = LogRead(effect.stream, effect.start, (), 0, 0, failed=True)
            self.deliver_later(host, failed, CONNECT_TIMEOUT_S)
        elif effect.wait_s and not self.log.has_records(effect.stream, effect.start):
            self._waiting_reads.append((effect, host))
        else:
            answer = self.log.read(effect.stream, effect.start)
            self.deliver_later(host, answer, 2 * LATENCY_S)

    @perform.register
    def _(self, effect: SendToPeer, host: InstanceHost) -> None:
        peer = self.instances.get(effect.peer)
        is_unreachable = peer is None or self.is_partitioned(
            host.data_centre, peer.data_centre
        )
        if is_unreachable or not peer.alive:
            lost = PeerUnreachable(effect.peer, effect.message)
            self.deliver_later(host, lost, CONNECT_TIMEOUT_S)
            return
        identity = host.core.identity
        message = PeerMessageReceived(
            identity.name, identity.incarnation, effect.message
        )
        self.deliver_later(peer, message, LATENCY_S)

"""Route instances, engines and callers in virtual time."""

from collections.abc import Callable
from functools import partial, singledispatchmethod
from heapq import heappop, heappush
from random import Random

from attrs import define, field

from briarrelay_bench.passengine import FIRST_EVENT_S, Job, PassEngine, ReadPart
from briarrelay_bench.routecaller import Caller
from briarrelay_bench.sheets import Arrival, Site
from briarrelay_core.identity import Identity
from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.digest import DigestHeard, SendDigest
from briarrelay_core.ports.directory import (
    ListTopic,
    PeerAddress,
    ServerEntry,
    ServerState,
    Topic,
    TopicChange,
    TopicListed,
)
from briarrelay_core.ports.memory import (
    Release,
    ReleaseAnswered,
    Reserve,
    ReserveAnswered,
)
from briarrelay_core.ports.route import (
    AbortSend,
    CallerLeft,
    CutAnswer,
    Forward,
    HeadKind,
    RelayEnd,
    RelayEvent,
    RelayWhole,
    RouteRefused,
    RouteRequest,
    SendDone,
    SendEvent,
    SendHead,
    SendLost,
)
from briarrelay_core.routes.budget import RepeatLimits
from briarrelay_core.routes.instance import RouteInstance
from briarrelay_core.routes.model import (
    CallerLimits,
    Route,
    RouteConfiguration,
    RouteKind,
    Service,
    ServiceShare,
)

__all__ = ["RouteFleet"]

HOST = "fleet.example"

WARM_UP_S = 3.0
"""Seconds before the first request, in which instances find each other."""

DESK_SLOTS = 6
"""Calls that a plain service runs at a time, from the users' sheets."""


@define(slots=True, eq=False)
class _Send:
    """One send on its way: which instance it is of and what runs for it."""

    instance: int
    send_id: int
    server: str
    job: Job | None = None
    is_over: bool = False


@define(slots=True, eq=False)
class RouteFleet:
    """Drives the instances of a deployment against engines that work in passes.

    :param hop_s: seconds between instances and engines, one way.
    :ivar callers: by number of the request.
    """

    site: Site
    seed: int = 1
    now: float = 0.0
    cores: list[RouteInstance] = field(factory=list)
    engines: dict[str, PassEngine] = field(factory=dict)
    callers: dict[int, Caller] = field(factory=dict)
    _desks: dict[str, int] = field(factory=dict)
    _sends: dict[tuple[int, int], _Send] = field(factory=dict)
    _events: list = field(factory=list)
    _count: int = 0
    _by_host: dict[str, int] = field(factory=dict)
    _names: dict[str, str] = field(factory=dict)
    _random: Random = field(init=False)

    def __attrs_post_init__(self):
        self._random = Random(self.seed)
        self._make_servers()
        self._make_instances()
        for number in range(self.site.instances):
            self._later(self._random.random(), partial(self._start, number))

    # The deployment

    def _make_servers(self) -> None:
        for number in range(self.site.engines):
            name = f"engine-{number:03d}"
            self.engines[name] = PassEngine(name, self.site.profile, self.site.slots)
        for number in range(self.site.desks):
            self._desks[f"desk-{number}"] = 0

    def _make_instances(self) -> None:
        addresses = [
            PeerAddress(
                name=f"entry-{n}",
                host=f"10.9.0.{n}",
                question_port=1,
                digest_port=2,
                data_centre=f"centre-{n % self.site.centres}",
            )
            for n in range(self.site.instances)
        ]
        self._by_host = {address.host: n for n, address in enumerate(addresses)}
        self.cores = [
            RouteInstance(
                identity=Identity(address.name, 1, address.data_centre),
                address=address,
                repeats=RepeatLimits(slack=100.0),
                grace_s=8.0,
                hold_s=3.2,
                seeds=tuple(addresses),
            )
            for address in addresses
        ]

    def _entries(self) -> list[ServerEntry]:
        entries = []
        for count, names, service, slots in (
            (self.site.engines, list(self.engines), "llm", self.site.slots),
            (self.site.desks, list(self._desks), "desk", DESK_SLOTS),
        ):
            for number in range(count):
                host = f"10.{1 if service == 'llm' else 2}.0.{number}"
                self._names[f"{host}:80"] = names[number]
                entries.append(
                    ServerEntry(
                        name=names[number],
                        service=service,
                        host=host,
                        port=80,
                        data_centre=f"centre-{number % self.site.centres}",
                        state=ServerState.READY,
                        slots=slots,
                    )
                )
        return entries

    def _configuration(self) -> RouteConfiguration:
        routes = []
        for kind in self.site.kinds:
            is_prompt = kind.tokens is not None
            named = RouteKind.SAFE if kind.route == "look" else RouteKind.UNSAFE
            routes.append(
                Route(
                    name=kind.name,
                    host=HOST,
                    prefix=f"/{kind.route}/",
                    kind=RouteKind.STREAM if is_prompt else named,
                    shares=(ServiceShare("llm" if is_prompt else "desk", 1.0),),
                    timeout_s=kind.deadline_s,
                    target_latency_s=kind.aim_s,
                    attempts=1 if kind.route == "book" else 2,
                    is_anonymous=True,
                    is_resumable=is_prompt,
                    gap_limit_s=kind.gap_s or None,
                )
            )
        services = {
            "llm": Service(name="llm", profile=self.site.profile),
            "desk": Service(name="desk"),
        }
        return RouteConfiguration(
            version=1, routes=tuple(routes), services=services, limits=CallerLimits()
        )

    def _start(self, number: int) -> None:
        self._carry(number, self.cores[number].start(self.now))

    # Time

    def _later(self, seconds: float, act: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._events, (self.now + seconds, self._count, act))

    def run(self, arrivals: list[Arrival], seconds: float) -> None:
        """Play requests, and what follows from them, to the end."""
        for arrival in arrivals:
            self._later(WARM_UP_S + arrival.at, partial(self._arrive, arrival))
        end = WARM_UP_S + seconds
        while True:
            dues = [core.next_due for core in self.cores]
            due = min((d for d in dues if d is not None), default=float("inf"))
            event = self._events[0][0] if self._events else float("inf")
            if min(due, event) > end:
                return
            if event <= due:
                self.now, _, act = heappop(self._events)
                act()
            else:
                self.now = max(self.now, due)
                number = dues.index(due)
                self._carry(number, self.cores[number].run_timers(self.now))

    def _tell(self, number: int, message) -> None:
        self._carry(number, self.cores[number].handle(message, self.now))

    def _carry(self, number: int, effects: list) -> None:
        for effect in effects:
            self._perform(effect, number)

    @singledispatchmethod
    def _perform(self, effect, number: int) -> None:
        """Carry out an effect; those that nothing here depends on are dropped."""

    # Callers

    def _arrive(self, arrival: Arrival) -> None:
        caller = Caller(arrival, self.now)
        self.callers[arrival.number] = caller
        self._send_attempt(caller)
        self._later(caller.patience_s, partial(self._look, caller))

    def _send_attempt(self, caller: Caller) -> None:
        arrival = caller.arrival
        near = [
            n
            for n in range(self.site.instances)
            if n % self.site.centres == arrival.zone % self.site.centres
        ]
        caller.instance = self._random.choice(near)
        caller.attempt += 1
        self._count += 1
        caller.request_id = self._count
        request = RouteRequest(
            request_id=caller.request_id,
            caller_id=f"{arrival.number}.{caller.attempt}",
            host=HOST,
            path=f"/{arrival.kind.route}/x",
            patience_s=caller.left_s(self.now),
            prompt_tokens=arrival.tokens,
            output_tokens=arrival.events * self.site.profile.stride,
            resume_after=str(caller.events) if caller.events else "",
        )
        self._later(self.site.caller_s, partial(self._tell, caller.instance, request))

    def _find(self, request_id: int, number: int) -> Caller | None:
        for caller in self.callers.values():
            if caller.request_id == request_id and caller.instance == number:
                return None if caller.is_over else caller
        return None

    def _look(self, caller: Caller) -> None:
        """Let a caller leave that has heard nothing for too long."""
        if caller.is_over:
            return
        quiet_s = self.now - caller.heard_at
        if quiet_s >= caller.patience_s or caller.left_s(self.now) <= 0:
            caller.end("left", self.now)
            self._tell(caller.instance, CallerLeft(caller.request_id))
            return
        wait_s = min(caller.patience_s - quiet_s, caller.left_s(self.now))
        self._later(max(0.001, wait_s), partial(self._look, caller))

    def _retry(self, caller: Caller, cause: str, wait_s: float) -> None:
        if not caller.may_retry(wait_s, self.now):
            caller.end(cause, self.now)
            return
        caller.causes.append(cause)
        self._later(wait_s, partial(self._again, caller))

    def _again(self, caller: Caller) -> None:
        if not caller.is_over:
            self._send_attempt(caller)

    @_perform.register
    def _(self, effect: RelayEvent, number: int) -> None:
        caller = self._find(effect.request_id, number)
        if caller is not None:
            caller.note_event(self.now + self.site.caller_s)

    @_perform.register
    def _(self, effect: RelayEnd, number: int) -> None:
        caller = self._find(effect.request_id, number)
        if caller is not None:
            caller.end("done", self.now + self.site.caller_s)

    @_perform.register
    def _(self, effect: RelayWhole, number: int) -> None:
        caller = self._find(effect.request_id, number)
        if caller is not None:
            caller.note_event(self.now + self.site.caller_s)
            caller.end("done", self.now + self.site.caller_s)

    @_perform.register
    def _(self, effect: CutAnswer, number: int) -> None:
        caller = self._find(effect.request_id, number)
        if caller is not None:
            self._retry(caller, "broken", 0.02)

    @_perform.register
    def _(self, effect: RouteRefused, number: int) -> None:
        caller = self._find(effect.request_id, number)
        if caller is None:
            return
        is_refused = isinstance(effect.outcome, NotRun)
        wait_s = effect.outcome.retry_after or 0.02 if is_refused else 0.02
        self._retry(caller, "refused" if is_refused else "failed", wait_s)

    # Backend servers

    @_perform.register
    def _(self, effect: Forward, number: int) -> None:
        send = _Send(number, effect.send_id, effect.server)
        self._sends[number, effect.send_id] = send
        caller = self._find(effect.request_id, number)
        if caller is None:
            return
        act = self._take_prompt if effect.server in self.engines else self._take_call
        self._later(self.site.hop_s, partial(act, send, effect, caller.arrival))

    def _answer(self, send: _Send, message) -> None:
        if not send.is_over:
            self._later(self.site.hop_s, partial(self._tell, send.instance, message))

    def _refuse(self, send: _Send, at_fault: str = "") -> None:
        head = SendHead(
            send_id=send.send_id,
            kind=HeadKind.NOT_RUN,
            status=503,
            at_fault=at_fault,
        )
        self._answer(send, head)

    def _at(self, address: str) -> PassEngine:
        return self.engines[self._names[address]]

    def _take_call(self, send: _Send, effect: Forward, arrival: Arrival) -> None:
        if self._desks[send.server] >= 2 * DESK_SLOTS:
            self._refuse(send)
            return
        self._desks[send.server] += 1
        self._later(arrival.work_s, partial(self._end_call, send))

    def _end_call(self, send: _Send) -> None:
        self._desks[send.server] -= 1
        head = SendHead(send_id=send.send_id, kind=HeadKind.SUCCESS, status=200)
        self._answer(send, head)
        self._answer(send, SendDone(send.send_id))

    def _take_prompt(self, send: _Send, effect: Forward, arrival: Arrival) -> None:
        if send.is_over:
            return
        lead = self.engines[effect.server]
        if lead.is_down:
            self._answer(send, SendLost(send.send_id, False, "connection refused"))
            return
        done = int(effect.resume_after or 0)
        helpers = [
            (self._at(helper.address), helper.reservation_id)
            for helper in effect.helpers
        ]
        gone = [h.address for h in effect.helpers if self._at(h.address).is_down]
        if gone:
            self._refuse(send, gone[0])
            return
        kept = sum(engine.held.get(ticket, 0) for engine, ticket in helpers if ticket)
        job = Job(
            (send, done),
            arrival.tokens + done * self.site.profile.stride,
            max(1, arrival.events - done),
            kept=kept,
            parts_left=1 + len(helpers),
        )
        if not lead.accepts(job):
            self._refuse(send)
            return
        send.job = job
        lead.jobs.append(job)
        for engine, ticket in ((lead, ""), *helpers):
            engine.reading.append(engine.make_part(job, 1 + len(helpers), ticket))
            self._wake(engine)

    def _wake(self, engine: PassEngine) -> None:
        if engine.is_busy:
            return
        seconds = engine.begin_pass()
        if seconds is not None:
            self._later(seconds, partial(self._end_pass, engine))

    def _end_pass(self, engine: PassEngine) -> None:
        wrote, done = engine.end_pass()
        for job in wrote:
            self._write(job, job.written)
        for part in done:
            self._note_read(part)
        self._wake(engine)

    def _note_read(self, part: ReadPart) -> None:
        """Let the lead write its first event once all parts are read."""
        job = part.job
        job.parts_left -= 1
        if job.parts_left or job.is_cancelled:
            return
        send, _ = job.key
        lead = self.engines[send.server]
        lead.note_event(job)
        self._later(FIRST_EVENT_S, partial(self._write, job, job.written))
        if job.events > 0:
            lead.ready.append(job)
            self._wake(lead)

    def _write(self, job: Job, written: int) -> None:
        """Tell the instance of an event of a job, the last one with the end."""
        send, before = job.key
        number = str(before + written)
        if written == 1:
            head = SendHead(
                send_id=send.send_id,
                kind=HeadKind.SUCCESS,
                status=200,
                is_stream=True,
            )
            self._answer(send, head)
        self._answer(send, SendEvent(send.send_id, number, b""))
        if job.events <= 0:
            self._answer(send, SendDone(send.send_id))

    @_perform.register
    def _(self, effect: AbortSend, number: int) -> None:
        send = self._sends.pop((number, effect.send_id), None)
        if send is None:
            return
        send.is_over = True
        if send.job is not None:
            engine = self.engines[send.server]
            self._later(self.site.hop_s, partial(engine.cancel, send.job))

    @_perform.register
    def _(self, effect: Reserve, number: int) -> None:
        engine = self._at(f"{effect.host}:{effect.port}")
        is_granted = None
        if not engine.is_down:
            is_granted = engine.reserve(effect.reservation_id, effect.tokens)
        answer = ReserveAnswered(effect.reservation_id, is_granted)
        self._later(2 * self.site.hop_s, partial(self._tell, number, answer))

    @_perform.register
    def _(self, effect: Release, number: int) -> None:
        engine = self._at(f"{effect.host}:{effect.port}")
        engine.held.pop(effect.reservation_id, None)
        answer = ReleaseAnswered(effect.reservation_id, True)
        self._later(2 * self.site.hop_s, partial(self._tell, number, answer))

    def lose_engine(self, name: str) -> None:
        """Let an engine crash: its streams break off, new connections fail."""
        engine = self.engines[name]
        engine.is_down = True
        for job in list(engine.jobs):
            engine.cancel(job)
            send, _ = job.key
            self._answer(send, SendLost(send.send_id, True, "connection reset"))

    # Peers and platform

    @_perform.register
    def _(self, effect: SendDigest, number: int) -> None:
        heard = DigestHeard(effect.digest)
        for address in effect.peers:
            to = self._by_host[address.host]
            self._later(self.site.hop_s, partial(self._tell, to, heard))

    @_perform.register
    def _(self, effect: ListTopic, number: int) -> None:
        changes = ()
        if effect.topic is Topic.CONFIGURATION:
            changes = (TopicChange("config", self._configuration()),)
        elif effect.topic is Topic.SERVERS:
            changes = tuple(TopicChange(e.name, e) for e in self._entries())
        listed = TopicListed(effect.topic, changes, 0, False)
        self._later(0.004, partial(self._tell, number, listed))

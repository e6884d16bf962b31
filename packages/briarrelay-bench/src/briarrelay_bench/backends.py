"""Engines and plain services in virtual time, as route instances meet them."""

from collections.abc import Callable
from functools import partial

from attrs import define, field

from briarrelay_bench.deployment import DESK_SLOTS, make_entries
from briarrelay_bench.passengine import FIRST_EVENT_S, Job, PassEngine, ReadShare
from briarrelay_bench.sheets import Arrival, Site
from briarrelay_core.ports.memory import (
    Release,
    ReleaseResponse,
    Reserve,
    ReserveResponse,
)
from briarrelay_core.ports.route import (
    AbortSend,
    ForwardRequest,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    ResponseLost,
)

__all__ = ["Backends"]


@define(slots=True, eq=False)
class _Send:
    """One send on its way: which instance it is of and what runs for it."""

    instance: int
    send_id: int
    server: str
    job: Job | None = None
    is_over: bool = False


@define(slots=True, eq=False)
class Backends:
    """The backend servers of a deployment.

    :param later: called with seconds and what to do then.
    :param tell: called with the number of an instance and a message to it.
    :ivar calls: calls that each plain service runs, by name.
    """

    site: Site
    _later: Callable[[float, Callable[[], None]], None]
    _tell: Callable[[int, object], None]
    engines: dict[str, PassEngine] = field(factory=dict)
    calls: dict[str, int] = field(factory=dict)
    _names: dict[str, str] = field(factory=dict)
    _engines_of: dict[Job, list[tuple[PassEngine, str]]] = field(factory=dict)
    _sends: dict[tuple[int, int], _Send] = field(factory=dict)

    def __attrs_post_init__(self):
        for entry in make_entries(self.site):
            self._names[entry.address] = entry.name
            if entry.service == "llm":
                engine = PassEngine(entry.name, self.site.profile, entry.slots)
                self.engines[entry.name] = engine
            else:
                self.calls[entry.name] = 0

    def forward(self, effect: ForwardRequest, number: int, arrival: Arrival) -> None:
        """Take a request that an instance sends to a server."""
        send = _Send(number, effect.send_id, effect.server)
        self._sends[number, effect.send_id] = send
        act = self._take_prompt if effect.server in self.engines else self._take_call
        self._later(self.site.hop_s, partial(act, send, effect, arrival))

    def abort(self, effect: AbortSend, number: int) -> None:
        """Let an instance close the connection of a send."""
        send = self._sends.pop((number, effect.send_id), None)
        if send is None:
            return
        send.is_over = True
        if send.job is not None:
            engine = self.engines[send.server]
            self._later(self.site.hop_s, partial(self._cancel, engine, send.job))

    def _cancel(self, engine: PassEngine, job: Job) -> None:
        engine.cancel(job)
        self._wake(engine)

    def reserve(self, effect: Reserve, number: int) -> None:
        """Set memory aside for an instance, or renew it."""
        engine = self._at(f"{effect.host}:{effect.port}")
        is_granted = None
        if not engine.is_down:
            is_granted = engine.reserve(effect.reservation_id, effect.tokens)
        answer = ReserveResponse(effect.reservation_id, is_granted)
        self._later(2 * self.site.hop_s, partial(self._tell, number, answer))

    def release(self, effect: Release, number: int) -> None:
        """Free memory that was set aside."""
        engine = self._at(f"{effect.host}:{effect.port}")
        engine.reservations.pop(effect.reservation_id, None)
        self._wake(engine)
        answer = ReleaseResponse(effect.reservation_id, True)
        self._later(2 * self.site.hop_s, partial(self._tell, number, answer))

    def lose_engine(self, name: str) -> None:
        """Let an engine crash: its streams break off, new connections fail."""
        engine = self.engines[name]
        engine.is_down = True
        for job in list(engine.jobs):
            engine.cancel(job)
            send, _ = job.key
            self._answer(send, ResponseLost(send.send_id, True, "connection reset"))

    def _answer(self, send: _Send, message) -> None:
        if not send.is_over:
            self._later(self.site.hop_s, partial(self._tell, send.instance, message))

    def _refuse(self, send: _Send, refused_by: str = "") -> None:
        head = ResponseHead(
            send_id=send.send_id,
            kind=ResponseKind.NOT_RUN,
            status=503,
            refused_by=refused_by,
        )
        self._answer(send, head)

    def _at(self, address: str) -> PassEngine:
        return self.engines[self._names[address]]

    def _take_call(self, send: _Send, effect: ForwardRequest, arrival: Arrival) -> None:
        if self.calls[send.server] >= 2 * DESK_SLOTS:
            self._refuse(send)
            return
        self.calls[send.server] += 1
        self._later(arrival.work_s, partial(self._end_call, send))

    def _end_call(self, send: _Send) -> None:
        self.calls[send.server] -= 1
        head = ResponseHead(send_id=send.send_id, kind=ResponseKind.SUCCESS, status=200)
        self._answer(send, head)
        self._answer(send, ResponseComplete(send.send_id))

    def _take_prompt(
        self, send: _Send, effect: ForwardRequest, arrival: Arrival
    ) -> None:
        if send.is_over:
            return
        lead = self.engines[effect.server]
        if lead.is_down:
            self._answer(send, ResponseLost(send.send_id, False, "connection refused"))
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
        kept = sum(
            engine.reservations.get(ticket, 0) for engine, ticket in helpers if ticket
        )
        job = Job(
            (send, done),
            arrival.tokens + done * self.site.profile.stride,
            max(1, arrival.events - done),
            remote_tokens=kept,
            unread_shares=1 + len(helpers),
        )
        if not lead.accepts(job):
            self._refuse(send)
            return
        send.job = job
        self._engines_of[job] = [(lead, ""), *helpers]
        lead.waiting.append(job)
        self._wake(lead)

    def _begin_reading(self, job: Job) -> None:
        """Give each engine of a job its part; a shared one goes ahead of all others."""
        engines = self._engines_of.pop(job)
        for engine, ticket in engines:
            part = engine.make_read_share(job, len(engines), ticket)
            engine.read_queue.insert(
                0 if part.is_shared else len(engine.read_queue), part
            )
            self._wake(engine)

    def _wake(self, engine: PassEngine) -> None:
        for job in engine.admit():
            self._begin_reading(job)
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

    def _note_read(self, part: ReadShare) -> None:
        """Let the lead write its first event once all parts are read."""
        job = part.job
        job.unread_shares -= 1
        if job.unread_shares or job.is_cancelled:
            return
        send, _ = job.key
        lead = self.engines[send.server]
        lead.record_event(job)
        self._later(FIRST_EVENT_S, partial(self._write, job, job.written))
        if job.events > 0:
            lead.ready.append(job)
            self._wake(lead)

    def _write(self, job: Job, written: int) -> None:
        """Tell the instance of an event of a job, the last one with the end."""
        send, before = job.key
        number = str(before + written)
        if written == 1:
            head = ResponseHead(
                send_id=send.send_id,
                kind=ResponseKind.SUCCESS,
                status=200,
                is_stream=True,
            )
            self._answer(send, head)
        self._answer(send, ResponseEvent(send.send_id, number, b""))
        if job.events <= 0:
            self._answer(send, ResponseComplete(send.send_id))

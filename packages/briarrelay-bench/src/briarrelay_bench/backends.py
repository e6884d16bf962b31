"""Simulated engines and plain services that route instances send requests to."""

from collections.abc import Callable
from functools import partial

from attrs import define, field

from briarrelay_bench.deployment import SERVICE_SLOTS, make_entries
from briarrelay_bench.passengine import FIRST_EVENT_S, Job, PassEngine, ReadShare
from briarrelay_bench.sites import Arrival, Site
from briarrelay_core.ports.memory import (
    Release,
    ReleaseResponse,
    Reserve,
    ReserveResponse,
)
from briarrelay_core.ports.route import (
    AbortAttempt,
    ForwardRequest,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    ResponseLost,
)
from briarrelay_core.routes.retention.beginnings import beginnings_of

__all__ = ["Backends"]


@define(slots=True, eq=False)
class _Send:
    """One request sent to a server.

    :param instance: index of the instance that sent it.
    :param job: the engine's work for it, None for calls and prompts not accepted.
    :param is_closed: whether the instance closed the connection.
    """

    instance: int
    attempt_id: int
    server: str
    job: Job | None = None
    is_closed: bool = False


@define(slots=True, eq=False)
class Backends:
    """The backend servers of a deployment, in virtual time.

    :param schedule: runs a callback after a delay in seconds.
    :param deliver: passes a message to the instance with the given index.
    :ivar running_calls: calls in progress at each plain service, by name.
    """

    site: Site
    _schedule: Callable[[float, Callable[[], None]], None]
    _deliver: Callable[[int, object], None]
    engines: dict[str, PassEngine] = field(factory=dict)
    running_calls: dict[str, int] = field(factory=dict)
    _names_by_address: dict[str, str] = field(factory=dict)
    _engines_by_job: dict[Job, list[tuple[PassEngine, str]]] = field(factory=dict)
    _sends: dict[tuple[int, int], _Send] = field(factory=dict)

    def __attrs_post_init__(self):
        for entry in make_entries(self.site):
            self._names_by_address[entry.address] = entry.name
            if entry.service == "llm":
                engine = PassEngine(
                    entry.name,
                    self.site.profile,
                    entry.slots,
                    keeps_prompts=self.site.keeps_prompts,
                )
                self.engines[entry.name] = engine
            else:
                self.running_calls[entry.name] = 0

    def forward(self, effect: ForwardRequest, instance: int, arrival: Arrival) -> None:
        """Send a request from an instance to a server."""
        send = _Send(instance, effect.attempt_id, effect.server)
        self._sends[instance, effect.attempt_id] = send
        start = (
            self._queue_prompt if effect.server in self.engines else self._start_call
        )
        self._schedule(self.site.hop_s, partial(start, send, effect, arrival))

    def abort(self, effect: AbortAttempt, instance: int) -> None:
        """Close the connection of a send and cancel its job."""
        send = self._sends.pop((instance, effect.attempt_id), None)
        if send is None:
            return
        send.is_closed = True
        if send.job is not None:
            engine = self.engines[send.server]
            self._schedule(self.site.hop_s, partial(self._cancel_job, engine, send.job))

    def _cancel_job(self, engine: PassEngine, job: Job) -> None:
        engine.cancel(job)
        self._advance(engine)

    def reserve(self, effect: Reserve, instance: int) -> None:
        """Reserve engine memory for an instance, or renew a reservation."""
        engine = self._engine_at(f"{effect.host}:{effect.port}")
        is_granted = None
        if not engine.is_down:
            is_granted = engine.reserve(effect.reservation_id, effect.tokens)
        response = ReserveResponse(effect.reservation_id, is_granted)
        self._schedule(2 * self.site.hop_s, partial(self._deliver, instance, response))

    def release(self, effect: Release, instance: int) -> None:
        """Release reserved engine memory."""
        engine = self._engine_at(f"{effect.host}:{effect.port}")
        engine.reservations.pop(effect.reservation_id, None)
        self._advance(engine)
        response = ReleaseResponse(effect.reservation_id, True)
        self._schedule(2 * self.site.hop_s, partial(self._deliver, instance, response))

    def crash_engine(self, name: str) -> None:
        """Crash an engine: its streams are reset, new connections are refused."""
        engine = self.engines[name]
        engine.is_down = True
        for job in list(engine.jobs):
            engine.cancel(job)
            send, _ = job.key
            self._respond(send, ResponseLost(send.attempt_id, True, "connection reset"))

    def _respond(self, send: _Send, response) -> None:
        if not send.is_closed:
            self._schedule(
                self.site.hop_s, partial(self._deliver, send.instance, response)
            )

    def _refuse(self, send: _Send, refused_by: str = "") -> None:
        head = ResponseHead(
            attempt_id=send.attempt_id,
            kind=ResponseKind.NOT_RUN,
            status=503,
            refused_by=refused_by,
        )
        self._respond(send, head)

    def _engine_at(self, address: str) -> PassEngine:
        return self.engines[self._names_by_address[address]]

    def _start_call(
        self, send: _Send, effect: ForwardRequest, arrival: Arrival
    ) -> None:
        if self.running_calls[send.server] >= 2 * SERVICE_SLOTS:
            self._refuse(send)
            return
        self.running_calls[send.server] += 1
        self._schedule(arrival.work_s, partial(self._finish_call, send))

    def _finish_call(self, send: _Send) -> None:
        self.running_calls[send.server] -= 1
        head = ResponseHead(
            attempt_id=send.attempt_id, kind=ResponseKind.SUCCESS, status=200
        )
        self._respond(send, head)
        self._respond(send, ResponseComplete(send.attempt_id))

    def _queue_prompt(
        self, send: _Send, effect: ForwardRequest, arrival: Arrival
    ) -> None:
        if send.is_closed:
            return
        lead = self.engines[effect.server]
        if lead.is_down:
            self._respond(
                send, ResponseLost(send.attempt_id, False, "connection refused")
            )
            return
        received = int(effect.resume_after or 0)
        helpers = [
            (self._engine_at(helper.address), helper.reservation_id)
            for helper in effect.helpers
        ]
        down = [h.address for h in effect.helpers if self._engine_at(h.address).is_down]
        if down:
            self._refuse(send, down[0])
            return
        reserved = sum(
            engine.reservations.get(reservation, 0)
            for engine, reservation in helpers
            if reservation
        )
        job = Job(
            (send, received),
            arrival.tokens + received * self.site.profile.stride,
            max(1, arrival.events - received),
            remote_tokens=reserved,
            unread_shares=1 + len(helpers),
            beginnings=beginnings_of(arrival.layout, "llm", None),
        )
        if not lead.accepts(job):
            self._refuse(send)
            return
        send.job = job
        self._engines_by_job[job] = [(lead, ""), *helpers]
        lead.waiting.append(job)
        self._advance(lead)

    def _start_parts(self, job: Job) -> None:
        """Queue a job's part at each of its engines; shared parts go to the front."""
        engines = self._engines_by_job.pop(job)
        kept_tokens = engines[0][0].kept_tokens(job)
        for engine, reservation in engines:
            part = engine.make_read_share(job, len(engines), reservation, kept_tokens)
            engine.read_queue.insert(
                0 if part.is_shared else len(engine.read_queue), part
            )
            self._advance(engine)

    def _advance(self, engine: PassEngine) -> None:
        """Admit waiting jobs and start the next pass of an idle engine."""
        for job in engine.admit():
            self._start_parts(job)
        if engine.is_busy:
            return
        seconds = engine.begin_pass()
        if seconds is not None:
            self._schedule(seconds, partial(self._end_pass, engine))

    def _end_pass(self, engine: PassEngine) -> None:
        jobs, parts_read = engine.end_pass()
        for job in jobs:
            self._emit_event(job, job.written)
        for part in parts_read:
            self._on_part_read(part)
        self._advance(engine)

    def _on_part_read(self, part: ReadShare) -> None:
        """Start the output of the lead engine once all parts are read."""
        job = part.job
        job.unread_shares -= 1
        if job.unread_shares or job.is_cancelled:
            return
        send, _ = job.key
        lead = self.engines[send.server]
        if not job.remote_tokens:
            lead.keep(job)
        lead.record_event(job)
        self._schedule(FIRST_EVENT_S, partial(self._emit_event, job, job.written))
        if job.events > 0:
            lead.ready.append(job)
            self._advance(lead)

    def _emit_event(self, job: Job, written: int) -> None:
        """Send an event of a job to its instance, and the end after the last one."""
        send, received = job.key
        event_id = str(received + written)
        if written == 1:
            head = ResponseHead(
                attempt_id=send.attempt_id,
                kind=ResponseKind.SUCCESS,
                status=200,
                is_stream=True,
            )
            self._respond(send, head)
        self._respond(send, ResponseEvent(send.attempt_id, event_id, b""))
        if job.events <= 0:
            self._respond(send, ResponseComplete(send.attempt_id))

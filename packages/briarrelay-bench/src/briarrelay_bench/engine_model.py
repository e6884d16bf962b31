"""A model engine that batches continuously, without input or output.

A batch step has a budget of tokens. Requests that generate take one each, the rest
goes to prompts in the order of priority. A step lasts as long as its tokens take,
but never less than a step that only generates.
"""

from collections import OrderedDict

from attrs import define, field

from briarrelay_core.membership.rendezvous import unit_hash
from briarrelay_core.ports.engine import (
    CacheEvent,
    CacheEvents,
    EngineFrame,
    EngineReport,
    FrameKind,
    Resident,
    SendRequest,
)
from briarrelay_core.routing.lengths import length_class_of
from briarrelay_core.routing.prefix import BLOCK_TOKENS

__all__ = ["EngineModel", "EngineSpec", "answer_text", "token_text"]

MAX_EVENTS = 5_000
"""Cache events kept for readers."""

EVENT_LOSS = 0.05
"""Part of the cache events that is never published."""


def token_text(request_id: str, seq: int) -> str:
    """Return the text of a generated token; it names its request and place."""
    return f"{request_id[-8:]}.{seq} "


def answer_text(request_id: str, tokens: int) -> str:
    """Return the whole answer to a request."""
    return "".join(token_text(request_id, seq) for seq in range(tokens))


@define(slots=True, frozen=True)
class EngineSpec:
    """Size and speed of an engine.

    :param rate: prompt tokens processed a second.
    :param step_s: seconds of a full batch step.
    :param decode_step_s: seconds of a step that only generates.
    :param memory: tokens that it can hold.
    """

    rate: float = 20_000.0
    step_s: float = 0.025
    decode_step_s: float = 0.010
    memory: int = 450_000


@define(slots=True, eq=False)
class _Job:
    request: SendRequest
    order: int
    remaining: int
    seq: int
    processed: int = 0
    started: bool = False
    done: bool = False
    texts: list[str] = field(factory=list)

    @property
    def key(self) -> tuple[str, int]:
        return (self.request.request_id, self.request.attempt)

    @property
    def is_generating(self) -> bool:
        return self.remaining == 0 and self.started and not self.done


@define(slots=True)
class EngineModel:
    """State of one engine.

    :param honours_priority: False serves prompts in the order of arrival.
    """

    name: str
    spec: EngineSpec = field(factory=EngineSpec)
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = "serve"
    checks_fencing: bool = True
    highest_fencing: int = -1
    leaving: bool = False
    honours_priority: bool = True
    _jobs: dict[tuple[str, int], _Job] = field(factory=dict)
    _cache: OrderedDict = field(factory=OrderedDict)
    _events: list[CacheEvent] = field(factory=list)
    _first_event: int = 0
    _order: int = 0
    _used: int = 0
    processed: dict[str, int] = field(factory=dict)

    @property
    def held(self) -> int:
        """Tokens of memory that requests hold."""
        return self._used

    @property
    def is_idle(self) -> bool:
        """Whether the next step would do nothing."""
        return not any(j.remaining or j.is_generating for j in self._jobs.values())

    def submit(self, request: SendRequest) -> EngineFrame:
        """Take a request in, or refuse it if it does not fit."""
        key = (request.request_id, request.attempt)
        if key in self._jobs:
            return self._frame(self._jobs[key], FrameKind.ACCEPTED)
        job = _Job(request, self._order, max(1, request.tokens), request.start_at)
        if self.leaving:
            return self._frame(job, FrameKind.REFUSED, "leaving")
        if request.model not in {m.partition("@")[0] for m in self.models}:
            return self._frame(job, FrameKind.REFUSED, "model")
        if not self._make_room(request.reserve):
            return self._frame(job, FrameKind.REFUSED, "memory")
        cached = self._cached(request)
        job.remaining = max(1, request.tokens - cached)
        job.started = request.segments == 1
        self._order += 1
        self._used += request.reserve
        self._jobs[key] = job
        return self._frame(job, FrameKind.ACCEPTED)

    def _make_room(self, tokens: int) -> bool:
        if self._used + tokens > self.spec.memory:
            return False
        while self._used + len(self._cache) * BLOCK_TOKENS + tokens > self.spec.memory:
            block, _ = self._cache.popitem(last=False)
            self._publish(CacheEvent(block, False))
        return True

    def _cached(self, request: SendRequest) -> int:
        count = 0
        for block in request.blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def _publish(self, event: CacheEvent) -> None:
        self._events.append(event)
        if len(self._events) > MAX_EVENTS:
            self._first_event += 1
            self._events.pop(0)

    def start(self, request_id: str, attempt: int) -> bool:
        """Let the lead of a gang generate, since every segment is ready."""
        job = self._jobs.get((request_id, attempt))
        if job is None:
            return False
        job.started = True
        return True

    def cancel(self, request_id: str, attempt: int) -> bool:
        """Free a request's memory; return whether it held any."""
        job = self._jobs.pop((request_id, attempt), None)
        if job is None:
            return False
        self._used -= job.request.reserve
        return True

    def resume(self, request_id: str, attempt: int, start_at: int) -> list[EngineFrame]:
        """Return the answer from a sequence number on, as far as it has come."""
        job = self._jobs.get((request_id, attempt))
        if job is None:
            return [
                EngineFrame(
                    self.name, request_id, attempt, 0, FrameKind.ERROR, "unknown"
                )
            ]
        frames = [self._frame(job, FrameKind.ACCEPTED)]
        if job.request.segments > 1 and not job.started and not job.remaining:
            frames.append(self._frame(job, FrameKind.READY))
        first = job.request.start_at
        for seq in range(max(start_at, first), job.seq):
            frames.append(self._token(job, seq))
        if job.done:
            frames.append(self._end(job))
        return frames

    def step(self) -> tuple[float, list[EngineFrame]]:
        """Run one batch step; return its seconds and the frames at its end."""
        generating = [j for j in self._jobs.values() if j.is_generating]
        budget = max(1, int(self.spec.rate * self.spec.step_s) - len(generating))
        used = len(generating)
        frames = []
        for job in self._waiting():
            taken = min(budget, job.remaining)
            budget -= taken
            used += taken
            job.remaining -= taken
            job.processed += taken
            self._count(job, taken)
            if job.remaining == 0:
                frames += self._on_processed(job)
            if budget == 0:
                break
        for job in generating:
            frames += self._generate(job)
        return max(self.spec.decode_step_s, used / self.spec.rate), frames

    def _waiting(self) -> list[_Job]:
        jobs = [j for j in self._jobs.values() if j.remaining]
        if self.honours_priority:
            jobs.sort(key=lambda j: (j.request.priority, j.order))
        return jobs

    def _count(self, job: _Job, tokens: int) -> None:
        name = job.request.request_id
        self.processed[name] = self.processed.get(name, 0) + tokens

    def _on_processed(self, job: _Job) -> list[EngineFrame]:
        for block in job.request.blocks:
            if block not in self._cache:
                self._publish(CacheEvent(block, True))
            self._cache[block] = None
        self._trim_cache()
        if job.request.segments > 1:
            return [self._frame(job, FrameKind.READY)]
        return self._generate(job)

    def _trim_cache(self) -> None:
        while (
            self._cache
            and self._used + len(self._cache) * BLOCK_TOKENS > self.spec.memory
        ):
            block, _ = self._cache.popitem(last=False)
            self._publish(CacheEvent(block, False))

    def _generate(self, job: _Job) -> list[EngineFrame]:
        frame = self._token(job, job.seq)
        job.seq += 1
        self._count(job, 1)
        if job.seq < job.request.output_tokens:
            return [frame]
        job.done = True
        end = self._end(job)
        self.cancel(*job.key)
        return [frame, end]

    def _token(self, job: _Job, seq: int) -> EngineFrame:
        text = token_text(job.request.request_id, seq)
        return EngineFrame(self.name, *job.key, seq, FrameKind.TOKEN, text)

    def _end(self, job: _Job) -> EngineFrame:
        return EngineFrame(self.name, *job.key, job.seq, FrameKind.END)

    def _frame(self, job: _Job, kind: FrameKind, text: str = "") -> EngineFrame:
        return EngineFrame(self.name, *job.key, job.seq, kind, text)

    def report(self, now: float) -> EngineReport:
        """Return the load as of now."""
        queued = [0, 0, 0]
        decoding = 0
        for job in self._jobs.values():
            if job.remaining:
                size = job.request.tokens * job.request.segments
                queued[length_class_of(size)] += job.remaining
            elif job.is_generating:
                decoding += 1
        return EngineReport(
            engine=self.name,
            as_of=now,
            queued=tuple(queued),
            decoding=decoding,
            memory_free=self.spec.memory - self._used,
            memory_total=self.spec.memory,
            rate=self.spec.rate,
            step_s=self.spec.step_s,
            models=tuple(sorted({m.partition("@")[0] for m in self.models})),
        )

    def events(self, start: int, limit: int = 200) -> CacheEvents:
        """Return published cache events; some are missing, so that gaps appear."""
        first = max(start, self._first_event)
        index = first - self._first_event
        if unit_hash("gap", self.name, first) < EVENT_LOSS:
            index += 1
            first += 1
        return CacheEvents(self.name, first, tuple(self._events[index : index + limit]))

    def residents(self) -> tuple[Resident, ...]:
        """Return the requests that hold memory."""
        return tuple(
            Resident(
                request_id=job.request.request_id,
                attempt=job.request.attempt,
                owner=job.request.owner,
                incarnation=job.request.incarnation,
                tokens=job.request.reserve,
                deadline=job.request.deadline,
            )
            for job in self._jobs.values()
        )

    def order(self, kind: str, value: str, fencing: int) -> bool:
        """Obey an order; one with an old fencing number is refused if checked."""
        if self.checks_fencing and fencing < self.highest_fencing:
            return False
        self.highest_fencing = max(self.highest_fencing, fencing)
        if kind == "load_model":
            name = value.partition("@")[0]
            kept = [m for m in self.models if m.partition("@")[0] != name]
            self.models = tuple(sorted([*kept, value]))
        elif kind == "load_adapter":
            self.adapters = tuple(sorted({*self.adapters, value}))
        else:
            self.role = value
        return True

"""Model of an engine with continuous batching, without I/O.

Each batch step has a token budget. Every generating request uses one token of it; the
rest is used for prompt processing, in the order of priority. The duration of a step is
proportional to its tokens, but at least that of a step that only generates.
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
"""Most cache events kept for readers; older ones are dropped."""

EVENT_LOSS_FRACTION = 0.05
"""Fraction of reads of cache events whose first event is skipped, to simulate loss."""


def token_text(request_id: str, seq: int) -> str:
    """Return the text of a generated token, unique by request and position."""
    return f"{request_id[-8:]}.{seq} "


def answer_text(request_id: str, tokens: int) -> str:
    """Return the complete answer to a request."""
    return "".join(token_text(request_id, seq) for seq in range(tokens))


@define(slots=True, frozen=True)
class EngineSpec:
    """Memory and speed of an engine.

    :param rate: prompt tokens processed per second.
    :param step_s: seconds of a full batch step.
    :param decode_step_s: seconds of a step that only generates.
    :param memory: capacity in tokens.
    """

    rate: float = 20_000.0
    step_s: float = 0.025
    decode_step_s: float = 0.010
    memory: int = 450_000


@define(slots=True, eq=False)
class _Job:
    request: SendRequest
    arrival_index: int
    remaining_tokens: int
    next_seq: int
    processed_tokens: int = 0
    started: bool = False
    done: bool = False
    texts: list[str] = field(factory=list)

    @property
    def key(self) -> tuple[str, int]:
        return (self.request.request_id, self.request.attempt)

    @property
    def is_generating(self) -> bool:
        return self.remaining_tokens == 0 and self.started and not self.done


@define(slots=True)
class EngineModel:
    """State of one engine.

    :param honours_priority: whether prompts are processed in the order of priority;
        otherwise, in the order of arrival.
    :ivar processed_tokens: prompt and output tokens processed, by request id.
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
    _first_event_index: int = 0
    _next_arrival_index: int = 0
    _reserved_tokens: int = 0
    processed_tokens: dict[str, int] = field(factory=dict)

    @property
    def reserved_tokens(self) -> int:
        """Tokens of memory reserved by requests."""
        return self._reserved_tokens

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to process or generate."""
        return not any(
            j.remaining_tokens or j.is_generating for j in self._jobs.values()
        )

    def submit(self, request: SendRequest) -> EngineFrame:
        """Accept or refuse a request.

        It is refused if the engine is leaving, or lacks the model or the memory.
        A repeated attempt is accepted again without effect.
        """
        key = (request.request_id, request.attempt)
        if key in self._jobs:
            return self._frame(self._jobs[key], FrameKind.ACCEPTED)
        job = _Job(
            request, self._next_arrival_index, max(1, request.tokens), request.start_at
        )
        if self.leaving:
            return self._frame(job, FrameKind.REFUSED, "leaving")
        if request.model not in {m.partition("@")[0] for m in self.models}:
            return self._frame(job, FrameKind.REFUSED, "model")
        if not self._evict_to_fit(request.reserve):
            return self._frame(job, FrameKind.REFUSED, "memory")
        cached = self._cached_tokens(request)
        job.remaining_tokens = max(1, request.tokens - cached)
        job.started = request.segments == 1
        self._next_arrival_index += 1
        self._reserved_tokens += request.reserve
        self._jobs[key] = job
        return self._frame(job, FrameKind.ACCEPTED)

    def _evict_to_fit(self, tokens: int) -> bool:
        if self._reserved_tokens + tokens > self.spec.memory:
            return False
        while (
            self._reserved_tokens + len(self._cache) * BLOCK_TOKENS + tokens
            > self.spec.memory
        ):
            block, _ = self._cache.popitem(last=False)
            self._record_event(CacheEvent(block, False))
        return True

    def _cached_tokens(self, request: SendRequest) -> int:
        count = 0
        for block in request.blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def _record_event(self, event: CacheEvent) -> None:
        self._events.append(event)
        if len(self._events) > MAX_EVENTS:
            self._first_event_index += 1
            self._events.pop(0)

    def start(self, request_id: str, attempt: int) -> bool:
        """Start generation on the lead of a gang, once every segment is ready.

        :returns: False if the request is unknown.
        """
        job = self._jobs.get((request_id, attempt))
        if job is None:
            return False
        job.started = True
        return True

    def cancel(self, request_id: str, attempt: int) -> bool:
        """Remove a request and free its memory; return whether it was present."""
        job = self._jobs.pop((request_id, attempt), None)
        if job is None:
            return False
        self._reserved_tokens -= job.request.reserve
        return True

    def resume(self, request_id: str, attempt: int, start_at: int) -> list[EngineFrame]:
        """Return the answer generated so far, from a sequence number on."""
        job = self._jobs.get((request_id, attempt))
        if job is None:
            return [
                EngineFrame(
                    self.name, request_id, attempt, 0, FrameKind.ERROR, "unknown"
                )
            ]
        frames = [self._frame(job, FrameKind.ACCEPTED)]
        if job.request.segments > 1 and not job.started and not job.remaining_tokens:
            frames.append(self._frame(job, FrameKind.READY))
        first = job.request.start_at
        for seq in range(max(start_at, first), job.next_seq):
            frames.append(self._token_frame(job, seq))
        if job.done:
            frames.append(self._end_frame(job))
        return frames

    def step(self) -> tuple[float, list[EngineFrame]]:
        """Run one batch step; return its duration in seconds and its frames."""
        generating = [j for j in self._jobs.values() if j.is_generating]
        budget = max(1, int(self.spec.rate * self.spec.step_s) - len(generating))
        used = len(generating)
        frames = []
        for job in self._pending_prompts():
            taken = min(budget, job.remaining_tokens)
            budget -= taken
            used += taken
            job.remaining_tokens -= taken
            job.processed_tokens += taken
            self._count_processed(job, taken)
            if job.remaining_tokens == 0:
                frames += self._on_processed(job)
            if budget == 0:
                break
        for job in generating:
            frames += self._generate_token(job)
        return max(self.spec.decode_step_s, used / self.spec.rate), frames

    def _pending_prompts(self) -> list[_Job]:
        jobs = [j for j in self._jobs.values() if j.remaining_tokens]
        if self.honours_priority:
            jobs.sort(key=lambda j: (j.request.priority, j.arrival_index))
        return jobs

    def _count_processed(self, job: _Job, tokens: int) -> None:
        name = job.request.request_id
        self.processed_tokens[name] = self.processed_tokens.get(name, 0) + tokens

    def _on_processed(self, job: _Job) -> list[EngineFrame]:
        for block in job.request.blocks:
            if block not in self._cache:
                self._record_event(CacheEvent(block, True))
            self._cache[block] = None
        self._trim_cache()
        if job.request.segments > 1:
            return [self._frame(job, FrameKind.READY)]
        return self._generate_token(job)

    def _trim_cache(self) -> None:
        while (
            self._cache
            and self._reserved_tokens + len(self._cache) * BLOCK_TOKENS
            > self.spec.memory
        ):
            block, _ = self._cache.popitem(last=False)
            self._record_event(CacheEvent(block, False))

    def _generate_token(self, job: _Job) -> list[EngineFrame]:
        frame = self._token_frame(job, job.next_seq)
        job.next_seq += 1
        self._count_processed(job, 1)
        if job.next_seq < job.request.output_tokens:
            return [frame]
        job.done = True
        end = self._end_frame(job)
        self.cancel(*job.key)
        return [frame, end]

    def _token_frame(self, job: _Job, seq: int) -> EngineFrame:
        text = token_text(job.request.request_id, seq)
        return EngineFrame(self.name, *job.key, seq, FrameKind.TOKEN, text)

    def _end_frame(self, job: _Job) -> EngineFrame:
        return EngineFrame(self.name, *job.key, job.next_seq, FrameKind.END)

    def _frame(self, job: _Job, kind: FrameKind, text: str = "") -> EngineFrame:
        return EngineFrame(self.name, *job.key, job.next_seq, kind, text)

    def report(self, now: float) -> EngineReport:
        """Return the current load."""
        queued = [0, 0, 0]
        decoding = 0
        for job in self._jobs.values():
            if job.remaining_tokens:
                size = job.request.tokens * job.request.segments
                queued[length_class_of(size)] += job.remaining_tokens
            elif job.is_generating:
                decoding += 1
        return EngineReport(
            engine=self.name,
            as_of=now,
            queued=tuple(queued),
            decoding=decoding,
            memory_free=self.spec.memory - self._reserved_tokens,
            memory_total=self.spec.memory,
            rate=self.spec.rate,
            step_s=self.spec.step_s,
            models=tuple(sorted({m.partition("@")[0] for m in self.models})),
        )

    def events(self, start: int, limit: int = 200) -> CacheEvents:
        """Return cache events from an index on; some are skipped to simulate gaps."""
        first = max(start, self._first_event_index)
        index = first - self._first_event_index
        if unit_hash("gap", self.name, first) < EVENT_LOSS_FRACTION:
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

    def apply_order(self, kind: str, value: str, fencing: int) -> bool:
        """Apply an order; return whether it was accepted.

        With `checks_fencing`, orders with an outdated fencing number are refused.
        """
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

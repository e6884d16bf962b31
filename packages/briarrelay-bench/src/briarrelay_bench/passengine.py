"""Model of an engine that works in passes, without I/O.

While streams are generated, a pass has a fixed number of steps, each of which may read
(prefill) one chunk of a prompt; at the end of the pass every stream gets an event.
While no stream is generated, a pass ends as soon as one prompt is read. Jobs that
arrive during a pass wait for the next one.
"""

from collections import OrderedDict
from math import ceil

from attrs import define, field

from briarrelay_core.routes.model import EngineProfile
from briarrelay_core.routes.retention.beginnings import Beginning

__all__ = ["Job", "PassEngine", "ReadShare"]

CHUNK_TOKENS = 2_048
"""Prompt tokens read in one step, from the users' sheets."""

QUEUE_FACTOR = 3
"""Most jobs, running and waiting, that an engine accepts per slot."""

FIRST_EVENT_S = 0.004
"""Seconds from the end of reading to the first event, measured with one stream."""


@define(slots=True, eq=False)
class ReadShare:
    """The share of a job's prompt that one engine reads.

    :param chunks: chunks left to read.
    :param chunk_s: seconds per chunk.
    :param is_shared: whether other engines read shares of the same prompt.
    :param reservation_id: memory reservation on this engine, empty for none.
    """

    job: "Job"
    chunks: int
    chunk_s: float
    is_shared: bool = False
    reservation_id: str = ""


@define(slots=True, eq=False)
class Job:
    """A prompt that is processed by one or more engines.

    :param key: identifies the job to the caller of the engine.
    :param tokens: prompt tokens.
    :param remote_tokens: prompt tokens whose memory is on other engines.
    :param events: events of the answer that are not generated yet.
    :param unread_shares: engines that have not finished their share of reading.
    :param written: events generated.
    :param beginnings: beginnings of its prompt that an engine may keep.
    """

    key: object
    tokens: int
    events: int
    remote_tokens: int = 0
    unread_shares: int = 1
    written: int = 0
    is_cancelled: bool = False
    beginnings: tuple[Beginning, ...] = ()


@define(slots=True, eq=False)
class PassEngine:
    """State of one engine.

    :param slots: requests that run at a time.
    :param slowdown_factor: duration of a pass relative to the profile.
    :param is_unresponsive: accepts connections but runs no passes.
    :param is_down: refuses connections.
    :param reservations: reserved tokens of memory, by reservation id.
    :param jobs: admitted jobs.
    :param generating_jobs: jobs that get an event in each pass.
    :param ready: jobs that start to generate with the next pass.
    :param read_queue: shares of prompts to read, in order.
    :param waiting: accepted jobs that wait for memory, in order.
    :param is_busy: whether a pass is running.
    :param keeps_prompts: what it has read is kept until requests need the memory.
    :ivar _kept: tokens that each kept beginning adds, the least recently used first.
    """

    name: str
    profile: EngineProfile
    slots: int
    slowdown_factor: float = 1.0
    is_unresponsive: bool = False
    is_down: bool = False
    reservations: dict[str, int] = field(factory=dict)
    jobs: list[Job] = field(factory=list)
    generating_jobs: list[Job] = field(factory=list)
    ready: list[Job] = field(factory=list)
    read_queue: list[ReadShare] = field(factory=list)
    waiting: list[Job] = field(factory=list)
    is_busy: bool = False
    keeps_prompts: bool = False
    _kept: OrderedDict[str, int] = field(factory=OrderedDict)
    _finished_reads: list[ReadShare] = field(factory=list)

    @property
    def used(self) -> int:
        """Tokens of memory in use or reserved."""
        tokens = sum(
            job.tokens - job.remote_tokens + job.written * self.profile.stride
            for job in self.jobs
        )
        return tokens + sum(self.reservations.values())

    def accepts(self, job: Job) -> bool:
        """Return whether a job is accepted; it may still have to wait for memory."""
        if len(self.jobs) + len(self.waiting) >= self.slots * QUEUE_FACTOR:
            return False
        return job.tokens - job.remote_tokens <= self.profile.memory_tokens

    def admit(self) -> list[Job]:
        """Admit waiting jobs, in order, while memory suffices; return them."""
        admitted = []
        while self.waiting:
            job = self.waiting[0]
            if job.tokens - job.remote_tokens + self.used > self.profile.memory_tokens:
                break
            self.jobs.append(self.waiting.pop(0))
            admitted.append(job)
            self.yield_memory()
        return admitted

    def make_read_share(
        self,
        job: Job,
        engine_count: int,
        reservation_id: str = "",
        kept_tokens: int = 0,
    ) -> ReadShare:
        """Return the share of a job's prompt that each engine reads.

        :param engine_count: engines that split the prompt.
        :param kept_tokens: leading tokens that the lead engine has kept.
        """
        tokens = job.tokens - kept_tokens
        chunks = max(1, ceil(tokens / CHUNK_TOKENS / engine_count))
        read_s = self.profile.read_s(job.tokens, engine_count)
        read_s -= self.profile.read_s(kept_tokens, engine_count)
        return ReadShare(job, chunks, read_s / chunks, engine_count > 1, reservation_id)

    def kept_tokens(self, job: Job) -> int:
        """Return the leading tokens of a job's prompt that it need not read."""
        kept = [b.tokens for b in job.beginnings if b.key in self._kept]
        return min(max(kept, default=0), job.tokens - 1)

    def keep(self, job: Job) -> None:
        """Keep the prompt of a job that has been read, if there is memory for it."""
        if not self.keeps_prompts:
            return
        for beginning in reversed(job.beginnings):
            self._kept[beginning.key] = beginning.added_tokens
            self._kept.move_to_end(beginning.key)
        self.yield_memory()

    def yield_memory(self) -> None:
        """Drop kept prompts that exceed the memory that jobs leave."""
        while self._kept and self.used + sum(self._kept.values()) > (
            self.profile.memory_tokens
        ):
            self._kept.popitem(last=False)

    def reserve(self, reservation_id: str, tokens: int) -> bool:
        """Reserve memory, or renew a reservation; return whether it is granted."""
        if (
            reservation_id not in self.reservations
            and self.used + tokens > self.profile.memory_tokens
        ):
            return False
        self.reservations[reservation_id] = tokens
        return True

    def cancel(self, job: Job) -> None:
        """Remove a job and free its memory."""
        job.is_cancelled = True
        for jobs in (self.jobs, self.generating_jobs, self.ready, self.waiting):
            if job in jobs:
                jobs.remove(job)

    def begin_pass(self) -> float | None:
        """Begin a pass; return its duration in seconds, None if there is no work."""
        self.read_queue = [
            share for share in self.read_queue if not share.job.is_cancelled
        ]
        self.generating_jobs += self.ready
        self.ready = []
        if (
            self.is_unresponsive
            or self.is_down
            or not (self.generating_jobs or self.read_queue)
        ):
            return None
        self.is_busy = True
        seconds = 0.0
        steps = self.profile.stride
        while self.read_queue and steps > 0:
            share = self.read_queue[0]
            read = min(share.chunks, steps)
            share.chunks -= read
            steps -= read
            seconds += read * share.chunk_s
            if share.chunks == 0:
                self._finished_reads.append(self.read_queue.pop(0))
                if not self.generating_jobs:
                    break
        tokens = sum(j.tokens - j.remote_tokens for j in self.generating_jobs)
        return (
            seconds + self.profile.pass_s(len(self.generating_jobs), tokens)
        ) * self.slowdown_factor

    def end_pass(self) -> tuple[list[Job], list[ReadShare]]:
        """End a pass; return the jobs that got an event, and the shares read."""
        self.is_busy = False
        finished, self._finished_reads = self._finished_reads, []
        advanced = [job for job in self.generating_jobs if not job.is_cancelled]
        for job in advanced:
            self.record_event(job)
        return advanced, finished

    def record_event(self, job: Job) -> None:
        """Count a generated event; the last one ends the job."""
        job.written += 1
        job.events -= 1
        if job.events <= 0:
            self.cancel(job)
            job.is_cancelled = False

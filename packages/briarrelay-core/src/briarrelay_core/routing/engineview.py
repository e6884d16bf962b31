"""One instance's estimate of an engine's load between load reports."""

from collections import deque

from attrs import define, field

from briarrelay_core.ports.engine import EngineReport
from briarrelay_core.ports.peer import ReportEntry
from briarrelay_core.routing.lengths import LengthClass

__all__ = ["EngineView", "SentWork"]

SENT_WINDOW_S = 10.0
"""Seconds for which sent work is kept to correct later reports."""

DEFAULT_RATE_TOKENS_PER_S = 20_000.0
"""Processing rate assumed before an engine's first report."""

DEFAULT_STEP_S = 0.025
"""Duration of a batch step assumed before an engine's first report."""

DEFAULT_MEMORY_TOKENS = 400_000
"""Memory assumed before an engine's first report."""


@define(slots=True)
class SentWork:
    """Prompt tokens sent to an engine by this instance or a peer.

    :param at: Unix seconds when they were sent.
    :param request_id: empty for the work of a peer.
    :param excess: whether the workspace was beyond its share, so that the work of
        others goes first.
    """

    at: float
    length_class: LengthClass
    tokens: int
    request_id: str = ""
    excess: bool = False

    @property
    def queue_index(self) -> int:
        """Index of the queue that the work is in."""
        return EXCESS_QUEUE if self.excess else int(self.length_class)


EXCESS_QUEUE = 3
"""Index of the queue of excess work, served after every length class."""


def _drain(queued: list[float], tokens: float) -> None:
    """Subtract processed tokens from the queues in place, in queue order."""
    for index, remaining in enumerate(queued):
        processed = min(remaining, tokens)
        queued[index] -= processed
        tokens -= processed


@define(slots=True)
class EngineView:
    """An engine's last load report, corrected by the work sent since.

    :param rate: prompt tokens processed a second.
    :param memory_total: tokens.
    :param memory_free: tokens, less the work sent since the report.
    :param as_of: Unix seconds of the last report, 0 before the first.
    """

    name: str
    rate: float = DEFAULT_RATE_TOKENS_PER_S
    step_s: float = DEFAULT_STEP_S
    memory_total: int = DEFAULT_MEMORY_TOKENS
    memory_free: int = DEFAULT_MEMORY_TOKENS
    decoding: int = 0
    models: tuple[str, ...] = ()
    as_of: float = 0.0
    report: EngineReport | None = None
    _queued: list[float] = field(factory=lambda: [0.0, 0.0, 0.0, 0.0])
    _drained_at: float = 0.0
    _sent: deque = field(factory=deque)

    def apply_report(self, report: EngineReport, now: float) -> bool:
        """Apply a report unless it is no newer than the last one.

        :returns: whether the report was applied.
        """
        if report.as_of <= self.as_of:
            return False
        self.as_of = report.as_of
        self.report = report
        self.rate = max(1.0, report.rate)
        self.step_s = report.step_s
        self.memory_total = report.memory_total
        self.decoding = report.decoding
        self.models = report.models
        sent_tokens = 0
        self._expire_sent(now)
        queued = self._split_excess(report, now)
        drained_at = report.as_of
        for work in self._sent:
            if work.at >= report.as_of:
                _drain(queued, (work.at - drained_at) * self.rate)
                drained_at = work.at
                queued[work.queue_index] += work.tokens
                sent_tokens += work.tokens
        _drain(queued, max(0.0, now - drained_at) * self.rate)
        self._queued = queued
        self._drained_at = now
        self.memory_free = report.memory_free - sent_tokens
        return True

    def to_entry(self) -> ReportEntry:
        """Return the last report as an entry of a digest."""
        report = self.report
        short, medium, long = report.queued
        return ReportEntry(
            engine=self.name,
            as_of=report.as_of,
            queued_short=short,
            queued_medium=medium,
            queued_long=long,
            memory_free=report.memory_free,
            decoding=report.decoding,
            memory_total=report.memory_total,
            rate=report.rate,
            step_s=report.step_s,
            models=report.models,
        )

    def _split_excess(self, report: EngineReport, now: float) -> list[float]:
        """Return the reported queues with the excess work moved to its own queue.

        Engines do not report excess work separately. It is estimated from this view's
        excess queue, and is at most the medium and long work of the report.
        """
        self.advance(now)
        sent_later = sum(
            w.tokens for w in self._sent if w.excess and w.at >= report.as_of
        )
        short, medium, long = (float(tokens) for tokens in report.queued)
        excess = min(max(0.0, self._queued[EXCESS_QUEUE] - sent_later), medium + long)
        from_long = min(long, excess)
        medium -= excess - from_long
        return [short, medium, long - from_long, excess]

    def _expire_sent(self, now: float) -> None:
        while self._sent and self._sent[0].at < now - SENT_WINDOW_S:
            self._sent.popleft()

    def advance(self, now: float) -> None:
        """Subtract the work that the engine processes up to a time."""
        if now > self._drained_at:
            _drain(self._queued, (now - self._drained_at) * self.rate)
            self._drained_at = now

    def add_sent(self, work: SentWork, now: float) -> None:
        """Add work sent to the engine; work that its last report covers is ignored."""
        self.advance(now)
        self._expire_sent(now)
        if work.at < self.as_of:
            return
        self._sent.append(work)
        processed = max(0.0, now - work.at) * self.rate
        self._queued[work.queue_index] += max(0.0, work.tokens - processed)
        self.memory_free -= work.tokens

    def remove_sent(self, request_id: str) -> None:
        """Remove the work of a request that ended before it was processed."""
        for work in self._sent:
            if work.request_id == request_id:
                index = work.queue_index
                self._queued[index] = max(0.0, self._queued[index] - work.tokens)
                self._sent.remove(work)
                return

    def queued(self, now: float) -> tuple[float, float, float, float]:
        """Return unprocessed prompt tokens by length class, excess work last."""
        self.advance(now)
        return tuple(self._queued)

    def backlog_s(self, now: float) -> float:
        """Return the seconds of queued work over all queues."""
        self.advance(now)
        return sum(self._queued) / self.rate

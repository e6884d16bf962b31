"""What one instance believes of an engine's load between reports."""

from collections import deque

from attrs import define, field

from briarrelay_core.ports.engine import EngineReport
from briarrelay_core.ports.peer import ReportEntry
from briarrelay_core.routing.lengths import LengthClass

__all__ = ["EngineView", "SentWork"]

SENT_WINDOW_S = 10.0
"""Seconds for which sent work is kept to correct later reports."""

DEFAULT_RATE = 20_000.0
"""Prompt tokens a second assumed before an engine's first report."""

DEFAULT_STEP_S = 0.025
"""Seconds of a batch step assumed before an engine's first report."""

DEFAULT_MEMORY = 400_000
"""Tokens of memory assumed before an engine's first report."""


@define(slots=True)
class SentWork:
    """Prompt tokens given to an engine at a time, by this instance or a peer.

    :param excess: the workspace was beyond its share, others go before it.
    """

    at: float
    length_class: LengthClass
    tokens: int
    request_id: str = ""
    excess: bool = False

    @property
    def queue(self) -> int:
        """Index of the queue that the work waits in."""
        return EXCESS if self.excess else int(self.length_class)


EXCESS = 3
"""Index of work that others of any class go before."""


def _drain(queued: list[float], tokens: float) -> None:
    """Take processed tokens off the queues, first queue first, in place."""
    for index, waiting in enumerate(queued):
        taken = min(waiting, tokens)
        queued[index] -= taken
        tokens -= taken


@define(slots=True)
class EngineView:
    """An engine's last report, corrected by what has been sent since.

    :param as_of: Unix seconds of the last report, 0 before the first.
    """

    name: str
    rate: float = DEFAULT_RATE
    step_s: float = DEFAULT_STEP_S
    memory_total: int = DEFAULT_MEMORY
    memory_free: int = DEFAULT_MEMORY
    decoding: int = 0
    models: tuple[str, ...] = ()
    as_of: float = 0.0
    report: EngineReport | None = None
    _queued: list[float] = field(factory=lambda: [0.0, 0.0, 0.0, 0.0])
    _clock: float = 0.0
    _sent: deque = field(factory=deque)

    def apply_report(self, report: EngineReport, now: float) -> bool:
        """Take a report unless a newer one is known.

        :returns: whether the report was newer.
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
        held = 0
        self._forget_sent(now)
        queued = self._split_excess(report, now)
        clock = report.as_of
        for work in self._sent:
            if work.at >= report.as_of:
                _drain(queued, (work.at - clock) * self.rate)
                clock = work.at
                queued[work.queue] += work.tokens
                held += work.tokens
        _drain(queued, max(0.0, now - clock) * self.rate)
        self._queued = queued
        self._clock = now
        self.memory_free = report.memory_free - held
        return True

    def to_entry(self) -> ReportEntry:
        """Return the last report in the form in which peers pass it on."""
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
        """Return the reported queues with the excess work in a queue of its own.

        Engines do not tell it apart; it is what this view held and the report allows.
        """
        self.advance(now)
        later = sum(w.tokens for w in self._sent if w.excess and w.at >= report.as_of)
        short, medium, long = (float(tokens) for tokens in report.queued)
        excess = min(max(0.0, self._queued[EXCESS] - later), medium + long)
        from_long = min(long, excess)
        medium -= excess - from_long
        return [short, medium, long - from_long, excess]

    def _forget_sent(self, now: float) -> None:
        while self._sent and self._sent[0].at < now - SENT_WINDOW_S:
            self._sent.popleft()

    def advance(self, now: float) -> None:
        """Let the engine process what is queued until a time."""
        if now > self._clock:
            _drain(self._queued, (now - self._clock) * self.rate)
            self._clock = now

    def add_sent(self, work: SentWork, now: float) -> None:
        """Note work that was given to the engine after its last report."""
        self.advance(now)
        self._forget_sent(now)
        if work.at < self.as_of:
            return
        self._sent.append(work)
        processed = max(0.0, now - work.at) * self.rate
        self._queued[work.queue] += max(0.0, work.tokens - processed)
        self.memory_free -= work.tokens

    def remove_sent(self, request_id: str) -> None:
        """Take back work of a request that ended before it was processed."""
        for work in self._sent:
            if work.request_id == request_id:
                index = work.queue
                self._queued[index] = max(0.0, self._queued[index] - work.tokens)
                self._sent.remove(work)
                return

    def queued(self, now: float) -> tuple[float, float, float, float]:
        """Return unprocessed prompt tokens by length class, and those in excess."""
        self.advance(now)
        return tuple(self._queued)

    def backlog_s(self, now: float) -> float:
        """Return seconds of queued work of every class."""
        self.advance(now)
        return sum(self._queued) / self.rate

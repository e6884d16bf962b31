"""What an experiment measures, from the fates of its requests."""

from attrs import define, field
from hdrh.histogram import HdrHistogram

from briarrelay_bench.engine_model import answer_text
from briarrelay_bench.workload import Arrival
from briarrelay_core.outcomes import Outcome
from briarrelay_core.routing.lengths import LengthClass, length_class_of

__all__ = ["Fate", "Report", "percentile", "slowdown_p95", "ttft_by_class"]

MICROSECONDS = 1_000_000


@define(slots=True)
class Fate:
    """What became of one request.

    :param first_at: seconds from the start of the run, None without a token.
    :param ended_at: seconds from the start of the run, None without an answer.
    """

    arrival: Arrival
    first_at: float | None = None
    ended_at: float | None = None
    outcome: Outcome | None = None
    lost: bool = False
    text: list[str] = field(factory=list)

    @property
    def ttft(self) -> float | None:
        """Seconds to the first token."""
        return None if self.first_at is None else self.first_at - self.arrival.at

    @property
    def is_done(self) -> bool:
        """Whether the whole answer came in its time."""
        return self.outcome is not None and self.outcome.tag == "done"

    @property
    def is_refused(self) -> bool:
        """Whether it was refused without having run."""
        return self.outcome is not None and self.outcome.tag == "not_run"

    @property
    def is_missed(self) -> bool:
        """Whether it neither finished nor failed in its time."""
        if self.lost:
            return False
        return self.ended_at is None or self.ended_at > self.arrival.deadline + 0.001

    @property
    def is_crossed(self) -> bool:
        """Whether it got something else than its own whole answer."""
        expected = answer_text(self.arrival.id, self.arrival.output_tokens)
        given = "".join(self.text)
        return given != expected if self.is_done else not expected.startswith(given)


def percentile(values: list[float], part: float) -> float:
    """Return a percentile of non-negative values, 0 for none.

    :param part: from 0 to 100.
    """
    if not values:
        return 0.0
    histogram = HdrHistogram(1, 10_000 * MICROSECONDS, 4)
    for value in values:
        histogram.record_value(max(1, int(value * MICROSECONDS)))
    return round(histogram.get_value_at_percentile(part) / MICROSECONDS, 4)


def ttft_by_class(fates: dict[str, Fate]) -> dict[str, dict[str, float]]:
    """Return p50 and p95 of the time to first token of each length class."""
    table = {}
    for length_class in LengthClass:
        values = [
            fate.ttft
            for fate in fates.values()
            if length_class_of(fate.arrival.tokens) is length_class
            and fate.ttft is not None
        ]
        table[length_class.label] = {
            "p50": percentile(values, 50),
            "p95": percentile(values, 95),
            "n": len(values),
        }
    return table


def slowdown_p95(mixed: dict[str, Fate], alone: dict[str, Fate]) -> float:
    """Return the p95 of each short request's time to first token over its own alone."""
    ratios = [
        mixed[name].ttft / fate.ttft
        for name, fate in alone.items()
        if fate.ttft and name in mixed and mixed[name].ttft
    ]
    return percentile(ratios, 95)


@define(slots=True)
class Report:
    """Figures of one run, in the order in which they are printed."""

    scenario: str
    policy: str
    objective: str
    seed: int
    load: float
    requests: int
    ttft_s: dict
    short_slowdown_p95: float
    missed: int
    failed: dict
    refused: dict
    refused_within_share: int
    answered_part: float
    goodput_ratio: float
    leaked_tokens: int
    crossed: int

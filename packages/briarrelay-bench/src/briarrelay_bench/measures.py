"""Metrics of an experiment, computed from the results of its requests."""

from attrs import define, field
from hdrh.histogram import HdrHistogram

from briarrelay_bench.engine_model import answer_text
from briarrelay_bench.workload import Arrival
from briarrelay_core.outcomes import Outcome
from briarrelay_core.routing.lengths import LengthClass, length_class_of

__all__ = ["Report", "RequestResult", "percentile", "slowdown_p95", "ttft_by_class"]

MICROSECONDS = 1_000_000


@define(slots=True)
class RequestResult:
    """Result of one request.

    :param first_token_at: seconds from the start of the run, None without a token.
    :param ended_at: seconds from the start of the run, None without an outcome.
    :param is_instance_lost: whether the entry instance that served it was killed.
    :param text: texts of the answer, in the order received.
    """

    arrival: Arrival
    first_token_at: float | None = None
    ended_at: float | None = None
    outcome: Outcome | None = None
    is_instance_lost: bool = False
    text: list[str] = field(factory=list)

    @property
    def ttft(self) -> float | None:
        """Time to first token in seconds, None without a token."""
        return (
            None
            if self.first_token_at is None
            else self.first_token_at - self.arrival.at
        )

    @property
    def is_done(self) -> bool:
        """Whether the request was answered completely."""
        return self.outcome is not None and self.outcome.tag == "done"

    @property
    def is_refused(self) -> bool:
        """Whether the request was refused without having run."""
        return self.outcome is not None and self.outcome.tag == "not_run"

    @property
    def is_overdue(self) -> bool:
        """Whether the request had no outcome by its deadline (1 ms of tolerance)."""
        if self.is_instance_lost:
            return False
        return self.ended_at is None or self.ended_at > self.arrival.deadline + 0.001

    @property
    def has_wrong_text(self) -> bool:
        """Whether the text received is not the request's own answer.

        An unfinished request may have received any prefix of it.
        """
        expected = answer_text(self.arrival.id, self.arrival.output_tokens)
        received = "".join(self.text)
        return (
            received != expected if self.is_done else not expected.startswith(received)
        )


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile of non-negative values, 0.0 for an empty list.

    :param percent: from 0 to 100.
    """
    if not values:
        return 0.0
    histogram = HdrHistogram(1, 10_000 * MICROSECONDS, 4)
    for value in values:
        histogram.record_value(max(1, int(value * MICROSECONDS)))
    return round(histogram.get_value_at_percentile(percent) / MICROSECONDS, 4)


def ttft_by_class(results: dict[str, RequestResult]) -> dict[str, dict[str, float]]:
    """Return p50, p95 and count of the time to first token, by length class."""
    table = {}
    for length_class in LengthClass:
        values = [
            result.ttft
            for result in results.values()
            if length_class_of(result.arrival.tokens) is length_class
            and result.ttft is not None
        ]
        table[length_class.label] = {
            "p50": percentile(values, 50),
            "p95": percentile(values, 95),
            "n": len(values),
        }
    return table


def slowdown_p95(
    mixed: dict[str, RequestResult], alone: dict[str, RequestResult]
) -> float:
    """Return the p95 slowdown of short requests in time to first token.

    :param mixed: results under the full workload.
    :param alone: results of the short requests without the others.
    """
    ratios = [
        mixed[name].ttft / result.ttft
        for name, result in alone.items()
        if result.ttft and name in mixed and mixed[name].ttft
    ]
    return percentile(ratios, 95)


@define(slots=True)
class Report:
    """Metrics of one run, in the order in which they are printed."""

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

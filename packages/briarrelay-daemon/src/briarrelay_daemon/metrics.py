"""Counters and latency histograms, rendered as text."""

from collections.abc import Callable, Iterable

import orjson
from hdrh.histogram import HdrHistogram

from briarrelay_daemon.observe import reason_counter_names

__all__ = ["Metrics"]

LOWEST_US = 100
HIGHEST_US = 60_000_000
"""Range of the histograms in microseconds; requests end before their deadline."""

SIGNIFICANT_DIGITS = 2
"""Precision of the histograms in significant decimal digits."""

PERCENTILES = (50.0, 90.0, 99.0, 100.0)


class Metrics:
    """Counters and histograms in memory; the counters of all reasons start at zero.

    :ivar states: by name, a function that returns what is in that state now.
    """

    def __init__(self):
        self.totals = dict.fromkeys(reason_counter_names(), 0)
        self.states: dict[str, Callable[[], Iterable[str]]] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.totals[name] = self.totals.get(name, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Record a latency in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def render(self) -> bytes:
        """Return all counters and percentiles, one per line."""
        lines = [
            f'briarrelay_total{{name="{name}"}} {value}'
            for name, value in sorted(self.totals.items())
        ]
        for name, read_members in sorted(self.states.items()):
            lines += [
                f'briarrelay_state{{name="{name}",of={orjson.dumps(of).decode()}}} 1'
                for of in sorted(read_members())
            ]
        for name, histogram in sorted(self._histograms.items()):
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                label = f'name="{name}",quantile="{percentile / 100:g}"'
                lines.append(f"briarrelay_latency_seconds{{{label}}} {value:.6f}")
            count = histogram.get_total_count()
            lines.append(f'briarrelay_latency_count{{name="{name}"}} {count}')
        return ("\n".join(lines) + "\n").encode()

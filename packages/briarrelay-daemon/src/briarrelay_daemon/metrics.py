"""Counters and latency histograms, served as text."""

from hdrh.histogram import HdrHistogram

from briarrelay_daemon.observe import reason_counters

__all__ = ["Metrics"]

LOWEST_US = 100
HIGHEST_US = 60_000_000
"""Range of the histograms in microseconds; requests end within their time."""

DIGITS = 2
"""Significant digits that the histograms keep."""

QUANTILES = (50.0, 90.0, 99.0, 100.0)


class Metrics:
    """Counts and observes in memory; every reason stands from the start."""

    def __init__(self):
        self.totals = dict.fromkeys(reason_counters(), 0)
        self._histograms: dict[str, HdrHistogram] = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Raise a counter."""
        self.totals[name] = self.totals.get(name, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Take a latency."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def render(self) -> bytes:
        """Return all figures, one a line."""
        lines = [
            f'briarrelay_total{{name="{name}"}} {value}'
            for name, value in sorted(self.totals.items())
        ]
        for name, histogram in sorted(self._histograms.items()):
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile) / 1e6
                label = f'name="{name}",quantile="{quantile / 100:g}"'
                lines.append(f"briarrelay_latency_seconds{{{label}}} {value:.6f}")
            count = histogram.get_total_count()
            lines.append(f'briarrelay_latency_count{{name="{name}"}} {count}')
        return ("\n".join(lines) + "\n").encode()

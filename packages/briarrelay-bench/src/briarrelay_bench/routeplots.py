"""Plots of the worth that policies earn and lose, by cause."""

from pathlib import Path

import matplotlib

from briarrelay_bench.routeexperiment import RouteReport

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["draw_losses"]


def draw_losses(reports: list[RouteReport], path: Path) -> None:
    """Write a bar chart with one bar per report: worth earned, and lost by cause."""
    labels = [f"{r.policy}\n{r.site}\n{r.day}, seed {r.seed}" for r in reports]
    causes = sorted({cause for report in reports for cause in report.losses})
    figure, axes = pyplot.subplots(figsize=(max(6.0, 1.4 * len(reports)), 4.5))
    base = [report.worth for report in reports]
    axes.bar(labels, base, label="earned", color="lightgrey")
    for cause in causes:
        lost = [report.losses.get(cause, 0.0) for report in reports]
        axes.bar(labels, lost, bottom=base, label=cause)
        base = [low + more for low, more in zip(base, lost, strict=True)]
    axes.set_ylabel("fraction of the worth of all requests")
    axes.set_ylim(max(0.0, min(r.worth for r in reports) - 0.05), 1.0)
    axes.tick_params(axis="x", labelsize=6)
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)

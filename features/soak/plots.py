"""Plots of a seed: outcomes of requests and times of faults."""

from pathlib import Path

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["draw_seed"]

BIN_WIDTH_S = 0.5

OUTCOME_COLORS = {
    "200": "tab:green",
    "refused": "tab:orange",
    "failed": "tab:red",
    "no answer": "black",
}


def _outcome_of(status: int) -> str:
    if status == 200:
        return "200"
    if status == 0:
        return "no answer"
    return "refused" if status in (408, 421, 429, 503) else "failed"


def draw_seed(
    title: str,
    faults: list[tuple[float, str]],
    sent: list[tuple[float, int]],
    path: Path,
) -> None:
    """Draw the outcomes of a seed's requests over time, and its faults below them.

    :param faults: seconds from the start and name of each fault.
    :param sent: seconds from the start and status of each request, 0 for none.
    """
    figure, (outcome_axes, fault_axes) = pyplot.subplots(2, sharex=True, figsize=(9, 6))
    end = max([1.0, *(at for at, _ in sent)])
    bins = [n * BIN_WIDTH_S for n in range(int(end / BIN_WIDTH_S) + 2)]
    times = {
        outcome: [at for at, s in sent if _outcome_of(s) == outcome]
        for outcome in OUTCOME_COLORS
    }
    outcome_axes.hist(
        list(times.values()),
        bins,
        stacked=True,
        color=list(OUTCOME_COLORS.values()),
        label=list(OUTCOME_COLORS),
    )
    outcome_axes.set_ylabel(f"requests started in {BIN_WIDTH_S} s")
    outcome_axes.legend(fontsize=7)
    outcome_axes.set_title(title)
    names = sorted({name for _, name in faults})
    fault_axes.scatter(
        [at for at, _ in faults], [names.index(name) for _, name in faults], marker="|"
    )
    fault_axes.set_yticks(range(len(names)), names, fontsize=7)
    fault_axes.set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)

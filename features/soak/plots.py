"""Plots of a seed: what callers got, and which faults came when."""

from pathlib import Path

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["draw_seed"]

BIN_S = 0.5
"""Seconds of a bar."""

KINDS = {
    "200": "tab:green",
    "refused": "tab:orange",
    "failed": "tab:red",
    "no answer": "black",
}


def _kind_of(status: int) -> str:
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
    """Draw a seed's answers over time above its faults.

    :param faults: seconds from the start and name of each fault.
    :param sent: seconds from the start and status of each request.
    """
    figure, (top, bottom) = pyplot.subplots(2, sharex=True, figsize=(9, 6))
    end = max([1.0, *(at for at, _ in sent)])
    bins = [n * BIN_S for n in range(int(end / BIN_S) + 2)]
    times = {kind: [at for at, s in sent if _kind_of(s) == kind] for kind in KINDS}
    top.hist(
        list(times.values()),
        bins,
        stacked=True,
        color=list(KINDS.values()),
        label=list(KINDS),
    )
    top.set_ylabel(f"requests begun in {BIN_S} s")
    top.legend(fontsize=7)
    top.set_title(title)
    names = sorted({name for _, name in faults})
    bottom.scatter(
        [at for at, _ in faults], [names.index(name) for _, name in faults], marker="|"
    )
    bottom.set_yticks(range(len(names)), names, fontsize=7)
    bottom.set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)

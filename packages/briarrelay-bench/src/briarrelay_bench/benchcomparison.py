"""Comparison of the emulated engines with the users' bench, on days with few streams.

The days are in ``packages/briarrelay-bench/settle``. The measurements of the bench are
recorded here; they were read from the ``request`` lines of its runs of these days.
"""

from statistics import median

from attrs import evolve, frozen

from briarrelay_bench.routefleet import RouteFleet
from briarrelay_bench.sites import SITES, Arrival, Site, draw_arrivals

__all__ = [
    "BENCH_FIGURES",
    "BenchFigure",
    "compare_with_bench",
    "format_bench_comparison",
]

DAY_S = 30.0
"""Length in seconds of the days on the bench."""

SEEDS = (1, 2, 3)
"""Seeds of the emulated load; the load on the bench is an independent draw."""


@frozen(slots=True, kw_only=True)
class BenchFigure:
    """Medians measured on the bench for prompts of some length.

    :param day: name of the day's file in ``settle``.
    :param tokens: least and most prompt tokens of the requests.
    :param first_event_ms: median milliseconds to the first event at the instance.
    :param gap_ms: median milliseconds of the longest pause in each answer.
    """

    day: str
    tokens: tuple[int, int]
    first_event_ms: float
    gap_ms: float


BENCH_FIGURES = (
    BenchFigure(day="chats-alone", tokens=(4_400, 5_400), first_event_ms=25, gap_ms=44),
    BenchFigure(
        day="one-engine-chats", tokens=(2_001, 4_000), first_event_ms=83, gap_ms=72
    ),
    BenchFigure(
        day="one-engine-chats", tokens=(4_001, 8_000), first_event_ms=94, gap_ms=70
    ),
    BenchFigure(
        day="one-engine-chats", tokens=(8_001, 24_000), first_event_ms=122, gap_ms=72
    ),
    BenchFigure(
        day="files-alone", tokens=(120_001, 300_000), first_event_ms=358, gap_ms=70
    ),
)


def _spaced_chats(arrivals: list[Arrival]) -> list[Arrival]:
    """Return chats with prompts of 5,000 tokens, two seconds apart."""
    chat = next(a for a in arrivals if a.kind.route == "chat")
    return [
        evolve(chat, at=2.0 * n, number=n, tokens=5_000, events=20)
        for n in range(1, 12)
    ]


def _with_single_route(site: Site, route: str, per_s: float) -> Site:
    kinds = tuple(
        evolve(k, requests_per_s=per_s) for k in site.kinds if k.route == route
    )
    return evolve(site, kinds=kinds)


def _simulate_day(day: str, seed: int) -> RouteFleet:
    full_site = SITES["himali-salons"]
    site = evolve(full_site, instances=1, data_centres=1)
    if day == "one-engine-chats":
        # the bench served 59 chats in the 30 s of this day
        site = _with_single_route(evolve(site, engines=1), "chat", 2.0)
    elif day == "files-alone":
        site = _with_single_route(site, "file", 0.35)
    arrivals = draw_arrivals(site, "even", DAY_S, seed)
    if day == "chats-alone":
        arrivals = _spaced_chats(arrivals)
    fleet = RouteFleet(site, seed)
    fleet.run(arrivals, DAY_S + 16.0)
    return fleet


def compare_with_bench() -> list[tuple[BenchFigure, float, float]]:
    """Return each bench measurement with the emulator's medians in milliseconds.

    :returns: rows of the measurement, time to first event and longest pause.
    """
    rows = []
    callers_by_day: dict[str, list] = {}
    for figure in BENCH_FIGURES:
        if figure.day not in callers_by_day:
            callers_by_day[figure.day] = [
                (caller, fleet.site)
                for fleet in (_simulate_day(figure.day, seed) for seed in SEEDS)
                for caller in fleet.callers.values()
            ]
        low, high = figure.tokens
        matching = [
            (caller, site)
            for caller, site in callers_by_day[figure.day]
            if low <= caller.arrival.tokens <= high and caller.outcome == "done"
        ]
        first = median(
            1e3 * (c.first_event_s - 2 * s.caller_delay_s) for c, s in matching
        )
        gap = median(1e3 * c.longest_gap_s for c, _ in matching)
        rows.append((figure, first, gap))
    return rows


def format_bench_comparison() -> str:
    """Return the comparison as a Markdown table, for docs/POLICY.md."""
    lines = [
        "| day | prompt tokens | first event, bench | ours "
        "| longest pause, bench | ours |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for figure, first, gap in compare_with_bench():
        low, high = figure.tokens
        lines.append(
            f"| {figure.day} | {low:,} to {high:,} | {figure.first_event_ms:.0f} ms "
            f"| {first:.0f} ms | {figure.gap_ms:.0f} ms | {gap:.0f} ms |"
        )
    return "\n".join(lines)

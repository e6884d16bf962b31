"""The emulator of engines beside the users' bench, on days with few streams.

The days are in ``packages/briarrelay-bench/settle``; what the bench showed is kept
here, read from the ``request`` lines of the played days.
"""

from statistics import median

from attrs import evolve, frozen

from briarrelay_bench.routefleet import RouteFleet
from briarrelay_bench.sheets import SITES, Arrival, Site, draw_arrivals

__all__ = ["SETTLED", "Settled", "format_settled", "measure_settled"]

SECONDS = 30.0
"""Length of the days on the bench."""

SEEDS = (1, 2, 3)
"""Seeds of the emulator's load; the bench's day is one draw of its own."""


@frozen(slots=True, kw_only=True)
class Settled:
    """One figure of the bench.

    :param day: file in ``settle`` that it was read from.
    :param tokens: prompt tokens of the requests, from and to.
    :param first_ms: median milliseconds to the first event at the instance.
    :param gap_ms: median of the longest pauses.
    """

    day: str
    tokens: tuple[int, int]
    first_ms: float
    gap_ms: float


SETTLED = (
    Settled(day="chats-alone", tokens=(4_400, 5_400), first_ms=25, gap_ms=44),
    Settled(day="one-engine-chats", tokens=(2_001, 4_000), first_ms=83, gap_ms=72),
    Settled(day="one-engine-chats", tokens=(4_001, 8_000), first_ms=94, gap_ms=70),
    Settled(day="one-engine-chats", tokens=(8_001, 24_000), first_ms=122, gap_ms=72),
    Settled(day="files-alone", tokens=(120_001, 300_000), first_ms=358, gap_ms=70),
)


def _alone(arrivals: list[Arrival]) -> list[Arrival]:
    """Return prompts of 5,000 tokens two seconds apart."""
    chat = next(a for a in arrivals if a.kind.route == "chat")
    return [
        evolve(chat, at=2.0 * n, number=n, tokens=5_000, events=20)
        for n in range(1, 12)
    ]


def _only(site: Site, route: str, per_s: float) -> Site:
    kinds = tuple(evolve(k, per_s=per_s) for k in site.kinds if k.route == route)
    return evolve(site, kinds=kinds)


def _play(day: str, seed: int) -> RouteFleet:
    whole = SITES["himali-salons"]
    site = evolve(whole, instances=1, centres=1)
    if day == "one-engine-chats":
        # the bench served 59 chats in the 30 s of this day
        site = _only(evolve(site, engines=1), "chat", 2.0)
    elif day == "files-alone":
        site = _only(site, "file", 0.35)
    arrivals = draw_arrivals(site, "even", SECONDS, seed)
    if day == "chats-alone":
        arrivals = _alone(arrivals)
    fleet = RouteFleet(site, seed)
    fleet.run(arrivals, SECONDS + 16.0)
    return fleet


def measure_settled() -> list[tuple[Settled, float, float]]:
    """Return each figure of the bench with first event and pause of the emulator."""
    rows = []
    played: dict[str, list] = {}
    for settled in SETTLED:
        if settled.day not in played:
            played[settled.day] = [
                (caller, fleet.site)
                for fleet in (_play(settled.day, seed) for seed in SEEDS)
                for caller in fleet.callers.values()
            ]
        low, high = settled.tokens
        same = [
            (caller, site)
            for caller, site in played[settled.day]
            if low <= caller.arrival.tokens <= high and caller.outcome == "done"
        ]
        first = median(1e3 * (c.first_s - 2 * s.caller_s) for c, s in same)
        gap = median(1e3 * c.longest_gap_s for c, _ in same)
        rows.append((settled, first, gap))
    return rows


def format_settled() -> str:
    """Return the table for docs/POLICY.md."""
    lines = [
        "| day | prompt tokens | first event, bench | ours "
        "| longest pause, bench | ours |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for settled, first, gap in measure_settled():
        low, high = settled.tokens
        lines.append(
            f"| {settled.day} | {low:,} to {high:,} | {settled.first_ms:.0f} ms "
            f"| {first:.0f} ms | {settled.gap_ms:.0f} ms | {gap:.0f} ms |"
        )
    return "\n".join(lines)

"""Plays a deployment's load against a policy and tells what it earned and why not."""

from collections import Counter
from itertools import count

from attrs import define, evolve, field, frozen

from briarrelay_bench.routefleet import RouteFleet
from briarrelay_bench.sheets import DAYS, SITES, draw_arrivals
from briarrelay_core.routes.placement import USABLE_MEMORY_FRACTION, Placement
from briarrelay_core.routes.requeststate import RoutedRequest
from briarrelay_core.routes.selection import ServerSelector
from briarrelay_core.routes.servers import KnownServer

__all__ = [
    "ROUTE_DAYS",
    "ROUTE_POLICIES",
    "ROUTE_SITES",
    "RouteReport",
    "format_report",
    "play",
]

ROUTE_SITES = tuple(SITES)
ROUTE_DAYS = tuple(DAYS)

TAIL_S = 16.0
"""Seconds after the last arrival, so that every answer ends."""

TOKENS_A_PART = 12_000
"""Prompt tokens for each helper of the policy that knows no loads."""


@define(slots=True, eq=False)
class _Fewest:
    """Fewest outstanding requests first, as a plain balancer does.

    :param with_helpers: share long prompts between engines without a look at loads.
    """

    inner: ServerSelector
    with_helpers: bool = False

    def candidates(self, routed: RoutedRequest, now: float) -> list[KnownServer]:
        return self.inner.candidates(routed, now)

    def choose(
        self, routed: RoutedRequest, known: list[KnownServer], now: float
    ) -> Placement | None:
        loads = {s.entry.name: self.inner.load.of(s.entry.name, now) for s in known}
        ranked = sorted(
            known,
            key=lambda s: (
                loads[s.entry.name].lead_requests,
                s.entry.data_centre != self.inner.data_centre,
                s.entry.name,
            ),
        )
        free = [s for s in ranked if loads[s.entry.name].lead_requests < s.entry.slots]
        if not free:
            return None
        lead = self._pick(free)
        if not routed.is_prompt:
            return Placement(lead, (), 0.0, 0.0, 0.0)
        return self._share(routed, lead, [s.entry.name for s in ranked])

    def _pick(self, free: list[KnownServer]) -> str:
        return free[0].entry.name

    def _share(
        self, routed: RoutedRequest, lead: str, names: list[str]
    ) -> Placement | None:
        tokens, profile = routed.request.prompt_tokens, routed.profile
        if tokens > profile.memory_tokens * USABLE_MEMORY_FRACTION:
            return None
        wanted = min(15, tokens // TOKENS_A_PART) if self.with_helpers else 0
        helpers = tuple([name for name in names if name != lead][:wanted])
        read_s = profile.read_s(tokens, 1 + len(helpers))
        return Placement(lead, helpers, read_s, read_s, 0.0)


@define(slots=True, eq=False)
class _RoundRobin(_Fewest):
    """One server after the other."""

    turns: object = field(factory=count)

    def _pick(self, free: list[KnownServer]) -> str:
        names = sorted(server.entry.name for server in free)
        return names[next(self.turns) % len(names)]


ROUTE_POLICIES = {
    "briarrelay": lambda chooser: chooser,
    "one-mind": lambda chooser: chooser,
    "fewest": _Fewest,
    "fewest-helpers": lambda chooser: _Fewest(chooser, with_helpers=True),
    "round-robin": _RoundRobin,
}
"""Policies by name; one-mind is ours with a single instance that sees every send at
once, a bound for what better news between instances could earn."""


@frozen(slots=True)
class RouteReport:
    """What a day earned.

    :param worth: earned over what all requests on time would earn.
    :param late_chats: part of the short streams that were late or had a long pause.
    :param losses: worth not earned by cause, as parts of the whole.
    :param kinds: by kind, requests, part served on time, part served at all.
    """

    site: str
    day: str
    policy: str
    seed: int
    requests: int
    worth: float
    late_chats: float
    losses: dict[str, float]
    kinds: dict[str, tuple[int, float, float]]


def play(
    site_name: str, day: str, policy: str, seed: int, seconds: float = 34.0
) -> tuple[RouteReport, RouteFleet]:
    """Play a day of a deployment."""
    site = SITES[site_name]
    arrivals = draw_arrivals(site, day, seconds, seed)
    if policy == "one-mind":
        site = evolve(site, instances=1, centres=1)
    fleet = RouteFleet(site, seed)
    for core in fleet.cores:
        core.controller.selector = ROUTE_POLICIES[policy](core.controller.selector)
    fleet.run(arrivals, seconds + TAIL_S)
    return _report(fleet, site_name, day, policy, seed), fleet


def _report(
    fleet: RouteFleet, site: str, day: str, policy: str, seed: int
) -> RouteReport:
    callers = list(fleet.callers.values())
    whole = sum(c.arrival.kind.worth[0] for c in callers)
    losses: Counter = Counter()
    for caller in callers:
        if caller.loss:
            losses[caller.loss] += caller.arrival.kind.worth[0] - caller.earned
    kinds = {}
    for kind in fleet.site.kinds:
        same = [c for c in callers if c.arrival.kind.route == kind.route]
        total = max(1, len(same))
        kinds[kind.name] = (
            len(same),
            round(sum(c.is_on_time for c in same) / total, 4),
            round(sum(c.outcome == "done" for c in same) / total, 4),
        )
    chats = [c for c in callers if c.arrival.kind.route == "chat"]
    return RouteReport(
        site=site,
        day=day,
        policy=policy,
        seed=seed,
        requests=len(callers),
        worth=round(sum(c.earned for c in callers) / whole, 4),
        late_chats=round(sum(not c.is_on_time for c in chats) / len(chats), 4),
        losses={k: round(v / whole, 4) for k, v in losses.most_common()},
        kinds=kinds,
    )


def format_report(report: RouteReport) -> str:
    """Return a line for people."""
    losses = ", ".join(f"{cause} {part:.3f}" for cause, part in report.losses.items())
    return (
        f"{report.site} {report.day} seed {report.seed} {report.policy:15}"
        f" worth {report.worth:.3f} late chats {report.late_chats:.3f} lost: {losses}"
    )

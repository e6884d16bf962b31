"""Simulates a deployment's load under a policy and reports worth earned and lost."""

from collections import Counter
from itertools import count

from attrs import define, evolve, field, frozen

from briarrelay_bench.routefleet import RouteFleet
from briarrelay_bench.sites import DAYS, SITES, draw_arrivals
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
    "simulate_day",
]

ROUTE_SITES = tuple(SITES)
ROUTE_DAYS = tuple(DAYS)

TAIL_S = 16.0
"""Seconds simulated after the last arrival, in which every answer ends."""

TOKENS_PER_HELPER = 12_000
"""Prompt tokens per helper engine in the policy that ignores loads."""


@define(slots=True, eq=False)
class _FewestRequests:
    """Least-outstanding-requests balancing.

    :param selector: lists the candidates and has the loads.
    :param uses_helpers: whether long prompts are split over engines, whatever their
        loads.
    """

    selector: ServerSelector
    uses_helpers: bool = False
    size_factor: float = 1.0

    @property
    def name(self) -> str:
        return self.selector.name

    def resumes_in_s(
        self,
        routed: RoutedRequest,
        now: float,
        is_untried: bool = False,
        requests_ahead: int = 0,
    ) -> float | None:
        return self.selector.resumes_in_s(routed, now, is_untried, requests_ahead)

    def has_limited(self, service: str, now: float) -> bool:
        return self.selector.has_limited(service, now)

    def candidates(self, routed: RoutedRequest, now: float) -> list[KnownServer]:
        return self.selector.candidates(routed, now)

    def choose(
        self, routed: RoutedRequest, known: list[KnownServer], now: float
    ) -> Placement | None:
        loads = {s.entry.name: self.selector.load.of(s.entry.name, now) for s in known}
        ranked = sorted(
            known,
            key=lambda s: (
                loads[s.entry.name].lead_requests,
                s.entry.data_centre != self.selector.data_centre,
                s.entry.name,
            ),
        )
        free = [s for s in ranked if loads[s.entry.name].lead_requests < s.entry.slots]
        if not free:
            return None
        lead = self._choose_lead(free)
        if not routed.is_prompt:
            return Placement(lead, (), 0.0, 0.0, 0.0)
        return self._place(routed, lead, [s.entry.name for s in ranked])

    def _choose_lead(self, free: list[KnownServer]) -> str:
        return free[0].entry.name

    def _place(
        self, routed: RoutedRequest, lead: str, names: list[str]
    ) -> Placement | None:
        tokens, profile = routed.request.prompt_tokens, routed.profile
        if tokens > profile.memory_tokens * USABLE_MEMORY_FRACTION:
            return None
        helper_count = min(15, tokens // TOKENS_PER_HELPER) if self.uses_helpers else 0
        helpers = tuple([name for name in names if name != lead][:helper_count])
        read_s = profile.read_s(tokens, 1 + len(helpers))
        return Placement(lead, helpers, read_s, read_s, 0.0)


@define(slots=True, eq=False)
class _RoundRobin(_FewestRequests):
    """Round robin over the servers with a free slot."""

    turn_counter: object = field(factory=count)

    def _choose_lead(self, free: list[KnownServer]) -> str:
        names = sorted(server.entry.name for server in free)
        return names[next(self.turn_counter) % len(names)]


ROUTE_POLICIES = {
    "briarrelay": lambda selector: selector,
    "one-mind": lambda selector: selector,
    "fewest": _FewestRequests,
    "fewest-helpers": lambda selector: _FewestRequests(selector, uses_helpers=True),
    "round-robin": _RoundRobin,
}
"""Policies by name.

The policy one-mind is briarrelay with a single instance, which sees every send at once:
an upper bound for what faster updates between instances could gain.
"""


@frozen(slots=True)
class RouteReport:
    """Results of one simulated day.

    :param worth: worth earned, as a fraction of that of all requests on time.
    :param late_chats: fraction of the short streams that were not on time: failed, late
        or with a long pause.
    :param losses: worth not earned by cause, as fractions of that of all requests.
    :param kinds: by kind: number of requests, fraction served on time, fraction served.
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


def simulate_day(
    site_name: str, day: str, policy: str, seed: int, seconds: float = 34.0
) -> tuple[RouteReport, RouteFleet]:
    """Simulate a day of a deployment.

    :param seconds: time in which requests arrive.
    """
    site = SITES[site_name]
    arrivals = draw_arrivals(site, day, seconds, seed)
    if policy == "one-mind":
        site = evolve(site, instances=1, data_centres=1)
    fleet = RouteFleet(site, seed)
    for core in fleet.cores:
        core.controller.selector = ROUTE_POLICIES[policy](core.controller.selector)
    fleet.run(arrivals, seconds + TAIL_S)
    return _report(fleet, site_name, day, policy, seed), fleet


def _report(
    fleet: RouteFleet, site: str, day: str, policy: str, seed: int
) -> RouteReport:
    callers = list(fleet.callers.values())
    total_worth = sum(c.arrival.kind.worth[0] for c in callers)
    losses: Counter = Counter()
    for caller in callers:
        if caller.loss_cause:
            losses[caller.loss_cause] += (
                caller.arrival.kind.worth[0] - caller.earned_worth
            )
    kinds = {}
    for kind in fleet.site.kinds:
        matching = [c for c in callers if c.arrival.kind.route == kind.route]
        total = max(1, len(matching))
        kinds[kind.name] = (
            len(matching),
            round(sum(c.is_on_time for c in matching) / total, 4),
            round(sum(c.outcome == "done" for c in matching) / total, 4),
        )
    chats = [c for c in callers if c.arrival.kind.route == "chat"]
    return RouteReport(
        site=site,
        day=day,
        policy=policy,
        seed=seed,
        requests=len(callers),
        worth=round(sum(c.earned_worth for c in callers) / total_worth, 4),
        late_chats=round(sum(not c.is_on_time for c in chats) / len(chats), 4),
        losses={k: round(v / total_worth, 4) for k, v in losses.most_common()},
        kinds=kinds,
    )


def format_report(report: RouteReport) -> str:
    """Return a report as one line of text."""
    losses = ", ".join(
        f"{cause} {fraction:.3f}" for cause, fraction in report.losses.items()
    )
    return (
        f"{report.site} {report.day} seed {report.seed} {report.policy:15}"
        f" worth {report.worth:.3f} late chats {report.late_chats:.3f} lost: {losses}"
    )

"""Deployments from the users' data sheets: request kinds, sizes and rates."""

from math import exp, log
from random import Random

from attrs import evolve, frozen

from briarrelay_core.ports.route import PromptPart
from briarrelay_core.routes.model import EngineProfile, PromptRetention

__all__ = ["DAYS", "SITES", "Arrival", "Burst", "RequestKind", "Site", "draw_arrivals"]

PROFILE = EngineProfile(
    memory_tokens=450_000,
    step_s=0.000925,
    step_per_stream_s=0.00000483,
    step_per_token_s=2.54e-9,
    read_tokens_per_s=256_000.0,
    pair_s=0.0917e-9,
    stride=46,
    hop_s=0.0001,
)


@frozen(slots=True, kw_only=True)
class RequestKind:
    """A kind of request.

    :param route: first segment of the path.
    :param requests_per_s: requests per second from all callers.
    :param tokens: prompt tokens: mean, sigma of the lognormal distribution and
        maximum; None for calls of a plain service.
    :param events: events of a response, described in the same way.
    :param work_s: mean seconds that a call takes.
    :param aim_s: longest time to the first event of a response that is on time.
    :param gap_s: longest gap between events of a response that is on time, 0 for no
        limit.
    :param worth: what a response earns if it is on time, and if it is late.
    """

    name: str
    route: str
    requests_per_s: float
    aim_s: float
    deadline_s: float
    worth: tuple[float, float]
    tokens: tuple[float, float, float] | None = None
    events: tuple[float, float, float] = (1.0, 0.0, 1.0)
    gap_s: float = 0.0
    work_s: float = 0.0


@frozen(slots=True, kw_only=True)
class Site:
    """A deployment.

    :param slots: requests that each engine runs at a time.
    :param services: number of plain service servers.
    :param hop_s: one-way delay between instances, peers and servers, in seconds.
    :param caller_delay_s: one-way delay between callers and instances, in seconds.
    :param packet_loss: fraction of packets that are lost and sent again.
    :param keeps_prompts: whether engines keep prompts that they have read.
    :param retention: what the configuration says of that.
    """

    name: str
    instances: int
    data_centres: int
    engines: int
    slots: int
    services: int
    kinds: tuple[RequestKind, ...]
    profile: EngineProfile = PROFILE
    hop_s: float = 0.0015
    caller_delay_s: float = 0.003
    packet_loss: float = 0.0
    keeps_prompts: bool = False
    retention: PromptRetention | None = None


@frozen(slots=True)
class Burst:
    """Changes the rate of requests during an interval of a day.

    :param factors: multiples of the usual rate, by route; 1 for routes not named.
    """

    start: float
    end: float
    factors: dict[str, float]


@frozen(slots=True, kw_only=True)
class Arrival:
    """One request of a caller.

    :param at: seconds since the start of the day.
    :param zone: number of the data centre that the caller is near.
    :param layout: parts of the prompt, none if other prompts share nothing with it.
    """

    at: float
    number: int
    kind: RequestKind
    tokens: int = 0
    events: int = 1
    work_s: float = 0.0
    zone: int = 0
    layout: tuple[PromptPart, ...] = ()


def _make_site(name: str, spec: dict, **sizes) -> Site:
    def prompt(route: str, per_s, aim_s, deadline_s, worth, tokens, events, gap_s):
        return RequestKind(
            name=spec["names"][route],
            route=route,
            requests_per_s=per_s,
            aim_s=aim_s,
            deadline_s=deadline_s,
            worth=worth,
            tokens=tokens,
            events=events,
            gap_s=gap_s,
        )

    per_s = spec["per_s"]
    worth = spec["worth"]
    long_mean, long_aim = spec["long"]
    gaps = spec.get("gaps", (0.2, 0.5, 0.8))
    kinds = (
        prompt(
            "chat", per_s[0], spec.get("chat_aim_s", 0.3), 10.0, worth[0],
            (4_960, 0.9, 23_800), (34.9, 0.7, 87.2), gaps[0],
        ),
        prompt(
            "history", per_s[1], 1.5, 10.0, worth[1], (45_000, 0.5, 110_000),
            (20.9, 0.6, 52.3), gaps[1],
        ),
        prompt(
            "file", per_s[2], long_aim, 15.0, worth[2], (long_mean, 0.55, 1_000_000),
            (17.4, 0.5, 43.6), gaps[2],
        ),
        RequestKind(
            name=spec["names"]["book"], route="book", requests_per_s=per_s[3],
            **spec["call"],
        ),
        RequestKind(
            name=spec["names"]["look"], route="look", requests_per_s=per_s[4],
            **spec["call"],
        ),
    )  # fmt: skip
    return Site(name=name, kinds=kinds, **sizes)


_HIMALI_NAMES = {
    "chat": "owner-chat", "history": "coat-history", "file": "breed-file",
    "book": "slot-book", "look": "slot-look",
}  # fmt: skip
_KOCHI_NAMES = {
    "chat": "quote-draft", "history": "history-readback", "file": "season-review",
    "book": "order-book", "look": "stock-check",
}  # fmt: skip
_HIMALI_CALL = {
    "aim_s": 0.2, "deadline_s": 2.5, "worth": (1.0, 0.5), "work_s": 0.045,
}  # fmt: skip
_KOCHI_CALL = {
    "aim_s": 0.4, "deadline_s": 3.0, "worth": (1.0, 0.1), "work_s": 0.09,
}  # fmt: skip
_KOCHI_GROWN_CALL = {
    "aim_s": 0.153, "deadline_s": 1.1, "worth": (1.0, 0.1), "work_s": 0.0225,
}  # fmt: skip
_CESTA_NAMES = {
    "chat": "shopper-chat", "history": "contract-digest", "file": "catalogue-audit",
    "book": "order-book", "look": "basket-lookup",
}  # fmt: skip
_CESTA_CALL = {
    "aim_s": 0.3, "deadline_s": 4.0, "worth": (1.0, 0.3), "work_s": 0.06,
}  # fmt: skip
_CESTA = {
    "worth": ((1.3, 0.34), (3.3, 0.82), (34.0, 8.6)), "long": (260_000, 4.0),
    "gaps": (0.25, 0.6, 1.0),
}  # fmt: skip
_CESTA_PROFILE = EngineProfile(
    memory_tokens=344_250,
    step_s=0.00131,
    step_per_stream_s=0.000000917,
    step_per_token_s=2.13e-9,
    read_tokens_per_s=154_000.0,
    pair_s=0.162e-9,
    stride=38,
    hop_s=0.0001,
)
_SOROT_NAMES = {
    "chat": "clip-caption", "history": "half-summary", "file": "season-review",
    "book": "license-grant", "look": "catalogue-browse",
}  # fmt: skip
_SOROT_CALL = {
    "aim_s": 0.3, "deadline_s": 4.0, "worth": (1.0, 0.5), "work_s": 0.06,
}  # fmt: skip
_SOROT = {
    "worth": ((1.8, 0.18), (2.5, 0.64), (11.0, 4.0)), "long": (220_000, 8.0),
    "gaps": (0.25, 0.6, 1.0), "chat_aim_s": 0.25,
}  # fmt: skip
_SOROT_PROFILE = EngineProfile(
    memory_tokens=315_000,
    step_s=0.00085,
    step_per_stream_s=0.00000425,
    step_per_token_s=2.85e-9,
    read_tokens_per_s=177_000.0,
    pair_s=0.184e-9,
    stride=57,
    hop_s=0.00005,
)
_SMALL = {"worth": ((1.3, 0.33), (3.1, 0.79), (22.0, 5.4)), "long": (210_000, 3.0)}
_GROWN = {"worth": ((1.4, 0.34), (2.6, 0.66), (30.0, 7.5)), "long": (300_000, 4.0)}

SITES = {
    site.name: site
    for site in (
        _make_site(
            "himali-salons",
            {**_SMALL, "names": _HIMALI_NAMES, "per_s": (25.2, 1.83, 0.759, 2.38, 1.5),
             "call": _HIMALI_CALL},
            instances=4, data_centres=3, engines=23, slots=8, services=3,
        ),
        _make_site(
            "tfx-kochi",
            {**_SMALL, "names": _KOCHI_NAMES, "per_s": (23.0, 1.67, 0.689, 2.18, 1.5),
             "call": _KOCHI_CALL},
            instances=5, data_centres=3, engines=21, slots=8, services=3,
        ),
        _make_site(
            "himali-salons-grown",
            {**_GROWN, "names": _HIMALI_NAMES, "per_s": (66.5, 6.1, 1.38, 6.35, 2.54),
             "call": _HIMALI_CALL},
            instances=25, data_centres=3, engines=78, slots=6, services=3,
        ),
        _make_site(
            "tfx-kochi-grown",
            {**_GROWN, "names": _KOCHI_NAMES, "per_s": (59.0, 5.4, 1.23, 5.6, 2.25),
             "call": _KOCHI_GROWN_CALL},
            instances=25, data_centres=4, engines=69, slots=6, services=4,
        ),
        _make_site(
            "prpn-sorot-grown",
            {**_SOROT, "names": _SOROT_NAMES, "per_s": (41.6, 4.59, 0.87, 6.7, 1.55),
             "call": _SOROT_CALL},
            instances=24, data_centres=3, engines=69, slots=12, services=6,
            profile=_SOROT_PROFILE, hop_s=0.0004,
        ),
        _make_site(
            "cesta-norte-grown",
            {**_CESTA, "names": _CESTA_NAMES, "per_s": (41.9, 2.94, 0.955, 3.9, 1.56),
             "call": _CESTA_CALL},
            instances=63, data_centres=3, engines=60, slots=12, services=4,
            profile=_CESTA_PROFILE, hop_s=0.003, packet_loss=0.0015,
        ),
    )
}  # fmt: skip
"""The users' deployments by name."""

_FILE_HEAVY = {"chat": 0.36, "history": 1.3, "file": 2.7}
_CHAT_HEAVY = {"chat": 2.5, "history": 0.5, "file": 0.05}

DAYS = {
    "even": (),
    "quiet-1": (
        Burst(2.4, 11.9, _FILE_HEAVY),
        Burst(12.0, 21.5, _CHAT_HEAVY),
        Burst(23.0, 32.5, _FILE_HEAVY),
    ),
    "peak": (Burst(0.0, 40.0, {"chat": 1.6, "history": 1.6, "file": 1.6}),),
    "crowd": (Burst(13.0, 16.0, {"chat": 2.0, "file": 15.0}),),
    "calls": (Burst(5.0, 25.0, {"book": 8.0, "look": 8.0}),),
}
"""Bursts by day: the users' standard days, one at 1.6 times the prompt traffic, and one
with a crowd of three seconds."""


def _draw_length(random: Random, mean: float, sigma: float, maximum: float) -> float:
    length = random.lognormvariate(log(mean) - sigma * sigma / 2, sigma)
    return min(maximum, length) if sigma else mean


def draw_arrivals(site: Site, day: str, seconds: float, seed: int) -> list[Arrival]:
    """Draw the requests of a day, with a Poisson process for each kind.

    Arrivals are drawn at the highest rate of the day, then thinned to the rate at their
    time.
    """
    random = Random(seed)
    bursts = DAYS[day]
    arrivals = []
    for kind in site.kinds:
        at, peak = 0.0, max([1.0, *(b.factors.get(kind.route, 1.0) for b in bursts)])
        while (at := at + random.expovariate(kind.requests_per_s * peak)) < seconds:
            factor = next(
                (
                    b.factors.get(kind.route, 1.0)
                    for b in bursts
                    if b.start <= at < b.end
                ),
                1.0,
            )
            if random.random() * peak > factor:
                continue
            arrivals.append(_draw_arrival(random, site, kind, at))
    arrivals.sort(key=lambda arrival: arrival.at)
    return [evolve(arrival, number=n) for n, arrival in enumerate(arrivals, 1)]


def _draw_arrival(random: Random, site: Site, kind: RequestKind, at: float) -> Arrival:
    zone = random.randrange(site.data_centres)
    if kind.tokens is None:
        work_s = kind.work_s * exp(random.gauss(-0.125, 0.5))
        return Arrival(at=at, number=0, kind=kind, work_s=work_s, zone=zone)
    return Arrival(
        at=at,
        number=0,
        kind=kind,
        tokens=max(50, int(_draw_length(random, *kind.tokens))),
        events=max(1, round(_draw_length(random, *kind.events))),
        zone=zone,
    )

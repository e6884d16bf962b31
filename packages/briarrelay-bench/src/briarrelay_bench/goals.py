"""Checks of the goals stated for the policy, over several seeds."""

from concurrent.futures import ProcessPoolExecutor

from attrs import evolve, frozen

from briarrelay_bench.experiment import Settings, run_experiment
from briarrelay_bench.measures import Report

__all__ = ["Check", "check_goals"]

MAX_SLOWDOWN = 1.3
MIN_SLOWDOWN_GAIN = 3.0
MAX_LONG_RATIO = 1.3
MIN_ANSWERED = 0.99
MIN_GOODPUT = 0.9
MIXED_LOAD = 0.7
OVERLOAD_LOAD = 1.5

BASELINE = "least-connections"


@frozen(slots=True)
class Check:
    """Result of checking one goal with one seed.

    :param figure: measured value.
    :param bound: stated target.
    :param held: whether the measured value meets the target.
    """

    goal: str
    seed: int
    figure: float
    bound: float
    held: bool


def _settings_by_run(seed: int, duration: float) -> dict[str, Settings]:
    mixed = Settings(seed=seed, duration=duration, load=MIXED_LOAD)
    return {
        "short": mixed,
        "ttft": evolve(mixed, objective="ttft"),
        "baseline": evolve(mixed, policy=BASELINE),
        "engine-loss": evolve(mixed, scenario="engine-loss"),
        "instance-loss": evolve(mixed, scenario="instance-loss"),
        "overload": evolve(mixed, scenario="overload", load=OVERLOAD_LOAD),
        "cut": evolve(mixed, scenario="cut"),
    }


def _report(settings: Settings) -> Report:
    return run_experiment(settings)[0]


def _at_most(goal: str, seed: int, figure: float, bound: float) -> Check:
    return Check(goal, seed, round(figure, 4), round(bound, 4), figure <= bound)


def _at_least(goal: str, seed: int, figure: float, bound: float) -> Check:
    return Check(goal, seed, round(figure, 4), round(bound, 4), figure >= bound)


def _check_mixed(seed: int, reports: dict[str, Report]) -> list[Check]:
    short, ttft = reports["short"], reports["ttft"]
    baseline = reports["baseline"]
    gain = baseline.short_slowdown_p95 / short.short_slowdown_p95
    long_bound = MAX_LONG_RATIO * baseline.ttft_s["long"]["p95"]
    checks = [
        _at_most("short-slowdown", seed, short.short_slowdown_p95, MAX_SLOWDOWN),
        _at_least("short-slowdown-gain", seed, gain, MIN_SLOWDOWN_GAIN),
        _at_most("long-ttft", seed, short.ttft_s["long"]["p95"], long_bound),
    ]
    for name, figures in ttft.ttft_s.items():
        bound = baseline.ttft_s[name]["p95"]
        checks.append(_at_most(f"ttft-{name}", seed, figures["p95"], bound))
    return checks


def _check_faults(seed: int, reports: dict[str, Report]) -> list[Check]:
    checks = []
    for name in ("engine-loss", "instance-loss", "overload", "cut"):
        report = reports[name]
        for figure in ("missed", "leaked_tokens", "crossed"):
            value = getattr(report, figure)
            checks.append(_at_most(f"{name}-{figure}", seed, value, 0))
    loss, overload = reports["engine-loss"], reports["overload"]
    checks += [
        _at_least("engine-loss-answered", seed, loss.answered_part, MIN_ANSWERED),
        _at_least("overload-goodput", seed, overload.goodput_ratio, MIN_GOODPUT),
        _at_most("overload-shares", seed, overload.refused_within_share, 0),
    ]
    return checks


def check_goals(seeds: list[int], duration: float, jobs: int) -> list[Check]:
    """Run every scenario for each seed and check the goals.

    :param duration: seconds for which requests arrive in each run.
    :param jobs: number of worker processes.
    """
    plan = [
        (seed, name, settings)
        for seed in seeds
        for name, settings in _settings_by_run(seed, duration).items()
    ]
    with ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(_report, [settings for _, _, settings in plan]))
    by_seed: dict[int, dict[str, Report]] = {}
    for (seed, name, _), report in zip(plan, results, strict=True):
        by_seed.setdefault(seed, {})[name] = report
    checks = []
    for seed, reports in by_seed.items():
        checks += _check_mixed(seed, reports) + _check_faults(seed, reports)
    return checks

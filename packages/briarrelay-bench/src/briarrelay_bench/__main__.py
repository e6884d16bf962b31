"""Simulations and benchmarks of briarrelay.

Usage:
  briarrelay_bench experiment [--scenario NAME] [--policy NAME] [--objective NAME]
                   [--seed N] [--load F] [--duration S] [--prefix-share F] [--json]
  briarrelay_bench routes [--site NAME] [--day NAME] [--policies LIST]
                   [--seeds LIST] [--plot FILE] [--json]
  briarrelay_bench settle
  briarrelay_bench relay-cost [--json]
  briarrelay_bench propagate [--json]
  briarrelay_bench control-cost [--instances N] [--engines N] [--json]
  briarrelay_bench route-costs
  briarrelay_bench capacity
  briarrelay_bench table [--seeds LIST] [--duration S] [--jobs N]
  briarrelay_bench goals [--seeds LIST] [--duration S] [--jobs N] [--json]

Options:
  --scenario NAME   mixed, engine-loss, instance-loss, overload or cut
                    [default: mixed]
  --policy NAME     briarrelay, least-connections or round-robin
                    [default: briarrelay]
  --objective NAME  short or ttft [default: short]
  --seed N          random seed of the workload [default: 1]
  --load F          offered load relative to the fleet's capacity [default: 0.7]
  --duration S      seconds during which requests arrive [default: 300]
  --prefix-share F  fraction of prompts that share a prefix with an earlier one
                    [default: 0]
  --site NAME       deployment: himali-salons, tfx-kochi, or either with -grown
                    [default: himali-salons]
  --day NAME        traffic pattern: even, quiet-1, peak, crowd or
                    calls [default: quiet-1]
  --policies LIST   comma-separated policies: briarrelay, one-mind, fewest,
                    fewest-helpers, round-robin
                    [default: briarrelay,one-mind,fewest-helpers,fewest,round-robin]
  --plot FILE       write a chart of earned and lost worth to an SVG file
  --seeds LIST      comma-separated random seeds [default: 1,2,3]
  --instances N     entry instances in the daemon's data centre [default: 56]
  --engines N       engines in the daemon's data centre [default: 157]
  --jobs N          number of worker processes [default: 4]
  --json            print the results as JSON
"""

import json
import sys
from pathlib import Path

from attrs import asdict
from docopt import docopt

from briarrelay_bench.benchcomparison import format_bench_comparison
from briarrelay_bench.capacity import Size, format_capacity
from briarrelay_bench.control_cost import measure_slopes
from briarrelay_bench.experiment import POLICIES, SCENARIOS, Settings, run_experiment
from briarrelay_bench.goals import check_goals
from briarrelay_bench.policytable import format_policies
from briarrelay_bench.propagate import measure_propagation
from briarrelay_bench.relay_cost import measure_relay_cost
from briarrelay_bench.routecosts import format_limit_costs, format_route_costs
from briarrelay_bench.routeexperiment import (
    ROUTE_DAYS,
    ROUTE_POLICIES,
    ROUTE_SITES,
    format_report,
    simulate_day,
)
from briarrelay_bench.routeplots import draw_losses


def _check_choice(option: str, value: str, allowed: tuple[str, ...]) -> str:
    if value not in allowed:
        raise SystemExit(
            f"{option}: invalid value {value!r}; choose from {', '.join(allowed)}"
        )
    return value


def _experiment(options: dict) -> dict:
    settings = Settings(
        scenario=_check_choice("--scenario", options["--scenario"], SCENARIOS),
        policy=_check_choice("--policy", options["--policy"], POLICIES),
        objective=_check_choice(
            "--objective", options["--objective"], ("short", "ttft")
        ),
        seed=int(options["--seed"]),
        load=float(options["--load"]),
        duration=float(options["--duration"]),
        prefix_share=float(options["--prefix-share"]),
    )
    report, _ = run_experiment(settings)
    return asdict(report)


def _routes(options: dict) -> int:
    """Simulate a day of a deployment's traffic under each of the given policies."""
    site = _check_choice("--site", options["--site"], ROUTE_SITES)
    day = _check_choice("--day", options["--day"], ROUTE_DAYS)
    policies = options["--policies"].split(",")
    for policy in policies:
        _check_choice("--policies", policy, tuple(ROUTE_POLICIES))
    reports = [
        simulate_day(site, day, policy, int(seed))[0]
        for policy in policies
        for seed in options["--seeds"].split(",")
    ]
    if options["--json"]:
        print(json.dumps([asdict(report) for report in reports]))
    else:
        print("\n".join(map(format_report, reports)))
    if options["--plot"]:
        draw_losses(reports, Path(options["--plot"]))
    return 0


def _control_cost(options: dict) -> dict:
    counts = int(options["--instances"]), int(options["--engines"])
    runs, slopes = measure_slopes(*counts)
    return {
        **asdict(runs[0]),
        "other_sizes": [asdict(run) for run in runs[1:]],
        "slopes": asdict(slopes),
    }


def _goals(options: dict) -> int:
    seeds = [int(seed) for seed in options["--seeds"].split(",")]
    checks = check_goals(seeds, float(options["--duration"]), int(options["--jobs"]))
    if options["--json"]:
        print(json.dumps([asdict(check) for check in checks]))
    else:
        for goal in dict.fromkeys(check.goal for check in checks):
            goal_checks = [check for check in checks if check.goal == goal]
            held = sum(check.held for check in goal_checks)
            figures = " ".join(f"{c.figure:g}/{c.bound:g}" for c in goal_checks)
            print(f"{goal:24} held {held} of {len(goal_checks)}  {figures}")
    return 0 if all(check.held for check in checks) else 1


def main(argv: list[str] | None = None) -> int:
    """Run the command given on the command line; return the exit code."""
    options = docopt(__doc__, argv)
    if options["goals"]:
        return _goals(options)
    if options["routes"]:
        return _routes(options)
    if options["settle"]:
        print(format_bench_comparison())
        return 0
    if options["route-costs"]:
        print(format_route_costs())
        print(format_limit_costs())
        return 0
    if options["capacity"]:
        print(format_capacity(Size()))
        return 0
    if options["table"]:
        seeds = [int(seed) for seed in options["--seeds"].split(",")]
        duration, jobs = float(options["--duration"]), int(options["--jobs"])
        print(format_policies(seeds, duration, jobs))
        return 0
    if options["relay-cost"]:
        results = asdict(measure_relay_cost())
    elif options["propagate"]:
        results = asdict(measure_propagation())
    elif options["control-cost"]:
        results = _control_cost(options)
    else:
        results = _experiment(options)
    if options["--json"]:
        print(json.dumps(results))
    else:
        for name, value in results.items():
            print(f"{name:22} {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Stand-ins and measurements of briarrelay.

Usage:
  briarrelay_bench experiment [--scenario NAME] [--policy NAME] [--objective NAME]
                   [--seed N] [--load F] [--duration S] [--prefix-share F] [--json]
  briarrelay_bench routes [--site NAME] [--day NAME] [--policies LIST]
                   [--seeds LIST] [--plot FILE] [--json]
  briarrelay_bench settle
  briarrelay_bench relay-cost [--json]
  briarrelay_bench propagate [--json]
  briarrelay_bench control-cost [--instances N] [--engines N] [--json]
  briarrelay_bench capacity
  briarrelay_bench table [--seeds LIST] [--duration S] [--jobs N]
  briarrelay_bench goals [--seeds LIST] [--duration S] [--jobs N] [--json]

Options:
  --scenario NAME   mixed, engine-loss, instance-loss, overload or cut
                    [default: mixed]
  --policy NAME     briarrelay, least-connections or round-robin
                    [default: briarrelay]
  --objective NAME  short or ttft [default: short]
  --seed N          seed of the load [default: 1]
  --load F          offered work over what the fleet can serve [default: 0.7]
  --duration S      seconds for which requests arrive [default: 300]
  --prefix-share F  part of the prompts that begin like an earlier one [default: 0]
  --site NAME       himali-salons, tfx-kochi or one of them with -grown
                    [default: himali-salons]
  --day NAME        even, quiet-1, peak or calls [default: quiet-1]
  --policies LIST   briarrelay, one-mind, fewest, fewest-helpers, round-robin
                    [default: briarrelay,one-mind,fewest-helpers,fewest,round-robin]
  --plot FILE       draw earned and lost worth, as SVG
  --seeds LIST      seeds after commas [default: 1,2,3]
  --instances N     entry instances of the daemon's data centre [default: 56]
  --engines N       engines of the daemon's data centre [default: 157]
  --jobs N          processes to use [default: 4]
  --json            print JSON
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
from briarrelay_bench.routeexperiment import (
    ROUTE_DAYS,
    ROUTE_POLICIES,
    ROUTE_SITES,
    format_report,
    simulate_day,
)
from briarrelay_bench.routeplots import draw_losses


def _choice(name: str, given: str, known: tuple[str, ...]) -> str:
    if given not in known:
        raise SystemExit(f"{name}: given {given!r}; name one of {', '.join(known)}")
    return given


def _experiment(options: dict) -> dict:
    settings = Settings(
        scenario=_choice("--scenario", options["--scenario"], SCENARIOS),
        policy=_choice("--policy", options["--policy"], POLICIES),
        objective=_choice("--objective", options["--objective"], ("short", "ttft")),
        seed=int(options["--seed"]),
        load=float(options["--load"]),
        duration=float(options["--duration"]),
        prefix_share=float(options["--prefix-share"]),
    )
    report, _ = run_experiment(settings)
    return asdict(report)


def _routes(options: dict) -> int:
    """Play a day of a deployment on emulated engines, under some policies."""
    site = _choice("--site", options["--site"], ROUTE_SITES)
    day = _choice("--day", options["--day"], ROUTE_DAYS)
    policies = options["--policies"].split(",")
    for policy in policies:
        _choice("--policies", policy, tuple(ROUTE_POLICIES))
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
    sizes = int(options["--instances"]), int(options["--engines"])
    runs, slopes = measure_slopes(*sizes)
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
            same = [check for check in checks if check.goal == goal]
            held = sum(check.held for check in same)
            figures = " ".join(f"{c.figure:g}/{c.bound:g}" for c in same)
            print(f"{goal:24} held {held} of {len(same)}  {figures}")
    return 0 if all(check.held for check in checks) else 1


def main(argv: list[str] | None = None) -> int:
    """Run one command."""
    options = docopt(__doc__, argv)
    if options["goals"]:
        return _goals(options)
    if options["routes"]:
        return _routes(options)
    if options["settle"]:
        print(format_bench_comparison())
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
        figures = asdict(measure_relay_cost())
    elif options["propagate"]:
        figures = asdict(measure_propagation())
    elif options["control-cost"]:
        figures = _control_cost(options)
    else:
        figures = _experiment(options)
    if options["--json"]:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name:22} {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

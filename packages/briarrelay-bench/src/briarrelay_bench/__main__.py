"""Stand-ins and measurements of briarrelay.

Usage:
  briarrelay_bench experiment [--scenario NAME] [--policy NAME] [--objective NAME]
                   [--seed N] [--load F] [--duration S] [--prefix-share F] [--json]

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
  --json            print JSON
"""

import json
import sys

from attrs import asdict
from docopt import docopt

from briarrelay_bench.experiment import POLICIES, SCENARIOS, Settings, run_experiment


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


def main(argv: list[str] | None = None) -> int:
    """Run one command."""
    options = docopt(__doc__, argv)
    figures = _experiment(options)
    if options["--json"]:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name:22} {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

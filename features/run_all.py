"""Runs every test: properties and focused tests by unittest, scenarios by behave.

The last line is ``N passed, N failed``. A failure that KNOWN-RED.txt lists is
printed and passed over.
"""

import sys
import unittest
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Status
from behave.runner import Runner
from hypothesis import settings

HERE = Path(__file__).resolve().parent
KNOWN_RED = HERE.parent / "KNOWN-RED.txt"
EXAMPLES = 60
"""Examples of each property."""

settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, max_examples=EXAMPLES
)
settings.load_profile("ci")


def known_red() -> set[str]:
    """Return the tests that may fail, each the first word of a line."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line and not line.startswith("#")}


def run_properties() -> tuple[int, list[str]]:
    """Run the unittest tests; return the passed number and the failed ids."""
    loader = unittest.TestLoader()
    suite = loader.discover(str(HERE / "properties"), top_level_dir=str(HERE))
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = [test.id() for test, _ in result.failures + result.errors]
    failed += [test.id() for test in result.unexpectedSuccesses]
    return result.testsRun - len(failed), failed


def run_scenarios() -> tuple[int, list[str]]:
    """Run the behave scenarios; return the passed number and the failed names."""
    configuration = Configuration(
        ["--no-color", "--format", "progress3", str(HERE)], load_config=False
    )
    runner = Runner(configuration)
    runner.run()
    passed, failed = 0, []
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            if scenario.status == Status.passed:
                passed += 1
            else:
                failed.append(f"{feature.name}:{scenario.name}".replace(" ", "-"))
    return passed, failed


def main() -> int:
    """Run everything; return 0 if all that failed is known."""
    passed, failed = run_properties()
    more, broken = run_scenarios()
    passed, failed = passed + more, failed + broken
    red = known_red()
    for name in failed:
        mark = "known red" if name in red else "FAILED"
        print(f"{mark}: {name}")
    new = [name for name in failed if name not in red]
    sys.stdout.flush()
    print(f"{passed} passed, {len(new)} failed")
    return 1 if new or not passed else 0


if __name__ == "__main__":
    sys.exit(main())

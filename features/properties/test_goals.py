"""The targets of the routing policy, over fixed seeds in virtual time."""

import unittest
from functools import cache

from briarrelay_bench.goals import Check, check_goals

SEEDS = [1, 2, 3]
DURATION_S = 300.0
JOBS = 4

GOALS = (
    "short-slowdown",
    "short-slowdown-gain",
    "long-ttft",
    "ttft-short",
    "ttft-medium",
    "ttft-long",
    "engine-loss-missed",
    "engine-loss-leaked_tokens",
    "engine-loss-crossed",
    "engine-loss-answered",
    "instance-loss-missed",
    "instance-loss-leaked_tokens",
    "instance-loss-crossed",
    "overload-missed",
    "overload-leaked_tokens",
    "overload-crossed",
    "overload-goodput",
    "overload-shares",
    "cut-missed",
    "cut-leaked_tokens",
    "cut-crossed",
)


@cache
def run_checks() -> list[Check]:
    """Run all scenarios once; the result is shared by all tests."""
    return check_goals(SEEDS, DURATION_S, JOBS)


class GoalsTest(unittest.TestCase):
    """One test for each goal, whose bound is the stated target.

    The tests are added below, one for each name in `GOALS`.
    """


def _make_test(goal: str):
    def test(self):
        goal_checks = [check for check in run_checks() if check.goal == goal]
        self.assertEqual([check.seed for check in goal_checks], SEEDS)
        self.assertEqual([check for check in goal_checks if not check.held], [])

    return test


for _goal in GOALS:
    setattr(GoalsTest, f"test_{_goal.replace('-', '_')}", _make_test(_goal))

"""The stated goals of the policy, over fixed seeds in virtual time."""

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
def checks() -> list[Check]:
    """Run every scenario once for all tests."""
    return check_goals(SEEDS, DURATION_S, JOBS)


class GoalsTest(unittest.TestCase):
    """One test a goal; the bound is the stated target."""


def _make_test(goal: str):
    def test(self):
        same = [check for check in checks() if check.goal == goal]
        self.assertEqual([check.seed for check in same], SEEDS)
        self.assertEqual([check for check in same if not check.held], [])

    return test


for _goal in GOALS:
    setattr(GoalsTest, f"test_{_goal.replace('-', '_')}", _make_test(_goal))

"""Callers of instances that are cut off from backend servers are served as others."""

import unittest

from properties.crashworld import CallerView
from properties.cutworld import Cut, CutWorld

WINDOW_S = 3.0
"""Seconds after the beginning of a cut from which callers must be served as others."""

CUT_S = 9.0


def served_ratio(views: list[CallerView]) -> float:
    """Return the fraction of requests that ended with a whole response."""
    return sum(view.outcome == "done" for view in views) / len(views)


class CutOffInstanceTest(unittest.TestCase):
    """An instance loses all backend servers, and its peers do not."""

    def check_served(self, kind: Cut, cut: tuple[int, ...], route: str) -> None:
        """Check the users' rule on first attempts, and that few fail."""
        world = CutWorld(4, 6, plain_count=3)
        world.advance(2.0)
        world.request_steadily(4.0, 3.0, route)
        for n in cut:
            world.cut(n, kind)
        cut_at = world.now
        views = world.request_steadily(4.0, CUT_S, route)
        for n in cut:
            world.heal(n)
        world.advance(3.0)
        counted = [view for view in views if view.at >= cut_at + WINDOW_S]
        there = [view for view in counted if view.instance in cut]
        elsewhere = [view for view in counted if view.instance not in cut]
        self.assertGreater(served_ratio(elsewhere), 0.98)
        self.assertGreater(served_ratio(there), 0.98)

    def test_prompts_when_connections_hang(self):
        self.check_served(Cut.HANG, (0,), "chat")

    def test_prompts_when_connections_are_reset(self):
        self.check_served(Cut.RESET, (0,), "chat")

    def test_prompts_when_only_new_connections_are_refused(self):
        self.check_served(Cut.LIVE, (0,), "chat")

    def test_plain_requests_when_connections_hang(self):
        self.check_served(Cut.HANG, (0,), "look")

    def test_bookings_when_connections_are_reset(self):
        self.check_served(Cut.RESET, (0,), "book")

    def test_two_of_four_instances(self):
        self.check_served(Cut.HANG, (0, 3), "chat")


if __name__ == "__main__":
    unittest.main()

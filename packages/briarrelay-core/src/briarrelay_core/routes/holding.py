"""Whether a prompt that could be sent now had better wait in the queue.

Engines read whole prompts in the order of arrival, and the parts of shared ones ahead
of all that they have: the newest first, so that a herd of them starves the oldest. The
load patterns: such a herd, and prompts so large that they are late in any case, ahead
of many that could be on time.
"""

from briarrelay_core.routes.placement import Placement
from briarrelay_core.routes.routed import RoutedRequest

__all__ = ["is_better_later", "longest_wait_s"]

MAX_WAIT_FRACTION = 0.25
"""Part of a request's time that it may wait for a free place."""

DEFER_STREAM_COST = 0.5
"""Expected loss to streams from which a prompt with time to spare waits; a short
stream that is paused for too long loses about 1."""

RECHECK_S = 0.1
"""Seconds between looks at prompts that wait."""

LAST_CHECKS_S = 0.25
"""Seconds before the longest wait at which a prompt goes all the same; two looks."""

DEFER_BACKLOG_S = 0.1
"""Seconds of reading for others from which a shared prompt waits rather than go ahead
of it; about two passes."""

DEFER_TARGET_FRACTION = 0.6
"""Part of the target latency up to which a late first event is not yet expected."""

BUSY_BACKLOG_S = 0.5
"""Seconds of others' work before a prompt from which engines count as busy."""

DEFER_PART = 2.4
"""Times the target latency within which a late prompt gets its first event; callers
bear silence for four times the target."""

ANSWER_MARGIN_S = 3.0
"""Seconds left to write the answer of a prompt that was put behind others."""


def is_better_later(routed: RoutedRequest, placement: Placement, now: float) -> bool:
    """Return whether a prompt should wait though there is a place for it."""
    if not routed.is_prompt:
        return False
    waited_s = now - routed.arrived_at
    if waited_s >= longest_wait_s(routed) - LAST_CHECKS_S:
        return False
    return _delays_others(routed, placement, waited_s) or _misses_target_anyway(
        routed, placement, waited_s
    )


def longest_wait_s(routed: RoutedRequest) -> float:
    """Return seconds after which a request that has no place is refused."""
    total_s = routed.due - routed.arrived_at
    return min(max(routed.route.target_latency_s, MAX_WAIT_FRACTION * total_s), total_s)


def _delays_others(
    routed: RoutedRequest, placement: Placement, waited_s: float
) -> bool:
    """Return whether it would hold others up and has time to let engines read on."""
    jumps_queue = placement.helpers and placement.backlog_s > DEFER_BACKLOG_S
    if placement.harm < DEFER_STREAM_COST and not jumps_queue:
        return False
    first_s = waited_s + RECHECK_S + placement.expected_s
    return first_s < DEFER_TARGET_FRACTION * routed.route.target_latency_s


def _misses_target_anyway(
    routed: RoutedRequest, placement: Placement, waited_s: float
) -> bool:
    """Return whether it is late in any case and would delay others that are not.

    It goes once the engines have little before it, or when its caller's patience or
    its deadline come near.
    """
    first_s = waited_s + placement.expected_s
    if first_s <= routed.route.target_latency_s:
        return False
    if placement.expected_s - placement.read_s <= BUSY_BACKLOG_S:
        return False
    total_s = routed.due - routed.arrived_at
    latest_s = min(
        DEFER_PART * routed.route.target_latency_s, total_s - ANSWER_MARGIN_S
    )
    return first_s < latest_s

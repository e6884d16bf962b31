"""Decides whether a prompt that could be placed now should wait in the queue.

Engines read unsplit prompts in order of arrival. Shares of split prompts jump ahead of
everything queued on the engine, the newest first, so a burst of split prompts starves
the oldest ones. Waiting helps under two load patterns: such a burst, and prompts so
large that they miss their latency target in any case, queued ahead of many prompts that
could still meet theirs.
"""

from briarrelay_core.routes.placement import Placement
from briarrelay_core.routes.requeststate import RoutedRequest
from briarrelay_core.routes.waiting import max_wait_s

__all__ = ["should_defer"]

DEFER_STREAM_COST = 0.5
"""Expected cost to other streams from which a prompt waits if it can still meet its
target; a short stream that pauses for too long costs about 1."""

RECHECK_S = 0.1
"""Seconds between placement checks of waiting prompts."""

LAST_CHECKS_S = 0.25
"""Seconds before the end of the longest wait from which a prompt is no longer deferred;
leaves time for two checks."""

DEFER_BACKLOG_S = 0.1
"""Seconds of backlog from which a split prompt waits instead of jumping ahead of it;
about two passes."""

DEFER_TARGET_FRACTION = 0.6
"""Fraction of the target latency within which the first event of a prompt must be
expected for it to wait on behalf of other streams."""

BUSY_BACKLOG_S = 0.5
"""Seconds of work queued ahead of a prompt above which an engine counts as busy."""

DEFER_TARGET_FACTOR = 2.4
"""Multiple of the target latency within which a deferred late prompt must get its first
event; callers disconnect after four times the target without one."""

GENERATION_MARGIN_S = 3.0
"""Seconds before the deadline kept free for generating the response to a
deferred prompt."""


def should_defer(routed: RoutedRequest, placement: Placement, now: float) -> bool:
    """Return whether a prompt should wait although it could be placed now.

    A stream that has begun never waits by choice, since its caller sees the pause.
    """
    if not routed.is_prompt or routed.is_head_relayed:
        return False
    waited_s = now - routed.arrived_at
    if waited_s >= max_wait_s(routed) - LAST_CHECKS_S:
        return False
    return _delays_others(routed, placement, waited_s) or _misses_target_anyway(
        routed, placement, waited_s
    )


def _delays_others(
    routed: RoutedRequest, placement: Placement, waited_s: float
) -> bool:
    """Return whether a prompt would delay others and can wait without being late."""
    jumps_queue = placement.helpers and placement.backlog_s > DEFER_BACKLOG_S
    if placement.stream_cost < DEFER_STREAM_COST and not jumps_queue:
        return False
    first_event_s = waited_s + RECHECK_S + placement.expected_s
    return first_event_s < DEFER_TARGET_FRACTION * routed.route.target_latency_s


def _misses_target_anyway(
    routed: RoutedRequest, placement: Placement, waited_s: float
) -> bool:
    """Return whether a prompt is late in any case and would delay others that are not.

    Such a prompt is deferred until the engines have little work queued, or until its
    caller is about to disconnect or its deadline is near.
    """
    first_event_s = waited_s + placement.expected_s
    if first_event_s <= routed.route.target_latency_s:
        return False
    if placement.expected_s - placement.read_s <= BUSY_BACKLOG_S:
        return False
    total_s = routed.deadline - routed.arrived_at
    latest_s = min(
        DEFER_TARGET_FACTOR * routed.route.target_latency_s,
        total_s - GENERATION_MARGIN_S,
    )
    return first_event_s < latest_s

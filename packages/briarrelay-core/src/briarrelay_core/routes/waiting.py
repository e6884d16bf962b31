"""Limits on the time for which a request may wait, and its caller does."""

from briarrelay_core.routes.model import RouteKind
from briarrelay_core.routes.requeststate import RoutedRequest

__all__ = ["RETURN_PAUSE_S", "caller_timeout_s", "max_wait_s", "remaining_wait_s"]

MAX_WAIT_FRACTION = 0.25
"""Fraction of the time from a request's arrival to its deadline that it may wait for a
free slot."""

MAX_TIMEOUT_FRACTION = 0.75
"""Fraction of its caller's timeout that a request may wait for a free slot. A caller
that disconnects learns neither that the request has not run nor when to return."""

RETURN_PAUSE_S = 0.5
"""Seconds after a refusal, or a denial of memory, before a begun stream may return to
the server; also between its attempts once it has been refused often."""

CALLER_MIN_TIMEOUT_S = 2.0
"""Shortest silence in seconds after which a caller of a stream may disconnect, as the
users' requirements state."""

CALLER_TARGET_FACTOR = 4.0
"""Multiple of the target latency for which a caller of a stream stays connected without
an event."""

CALLER_GAP_FACTOR = 8.0
"""Multiple of the gap limit for which a caller of a stream stays connected without an
event."""


def caller_timeout_s(routed: RoutedRequest) -> float:
    """Return seconds of silence after which the caller of a stream disconnects."""
    if routed.route.kind is not RouteKind.STREAM:
        return float("inf")
    target_s, gap_s = routed.route.target_latency_s, routed.route.gap_limit_s or 0.0
    return max(
        CALLER_MIN_TIMEOUT_S,
        CALLER_TARGET_FACTOR * target_s,
        CALLER_GAP_FACTOR * gap_s,
    )


def max_wait_s(routed: RoutedRequest) -> float:
    """Return seconds after arrival at which a request without placement is refused."""
    total_s = routed.deadline - routed.arrived_at
    wait_s = max(routed.route.target_latency_s, MAX_WAIT_FRACTION * total_s)
    return min(wait_s, MAX_TIMEOUT_FRACTION * caller_timeout_s(routed), total_s)


def remaining_wait_s(routed: RoutedRequest, now: float) -> float:
    """Return the seconds for which a request without placement may still wait.

    A stream that has begun waits as long as its caller is expected to; it can no longer
    be refused.
    """
    if not routed.is_head_relayed:
        return routed.arrived_at + max_wait_s(routed) - now
    caller_leaves_at = routed.last_event_at + caller_timeout_s(routed)
    return min(caller_leaves_at, routed.deadline) - now

"""Decides whether a prompt that may be placed still is of use to its caller.

Answers a short crowd of long prompts. Engines that accept more reading than they finish
in time spend it on callers who leave, and go on to do so after the crowd has ended.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum

from attrs import frozen

from briarrelay_core.ports.digest import ServerLoad
from briarrelay_core.routes.placement import LATE_LOSS_FRACTION, Placement
from briarrelay_core.routes.requeststate import RoutedRequest
from briarrelay_core.routes.waiting import caller_timeout_s

__all__ = ["MIN_BACKLOG_S", "NoPlace", "NoPlaceReason", "find_no_place"]

ERROR_FACTOR = 0.8
"""Fraction of the known reading that is taken as certain; the rest is left for errors
of the estimate."""

LATE_FACTOR = 2.0
"""Multiple of the target latency up to which a late first event is still served,
whatever it costs others; a short burst is then served in full."""

MIN_BACKLOG_S = 0.5
"""Seconds of reading queued ahead of a prompt up to which nothing is short."""

STREAM_LIFE_S = 1.0
"""Seconds for which one stream is expected to be generated. Each second of reading then
pauses as many streams as the engine generates at a time."""


class NoPlaceReason(StrEnum):
    """Why a prompt is not sent."""

    CALLER_LEAVES = "caller_leaves"
    DEADLINE = "deadline"
    COSTS_OTHERS_MORE = "costs_others_more"


@frozen(slots=True)
class NoPlace:
    """No engine reads a prompt in time.

    :param first_event_s: seconds after arrival at which its first event is expected.
    :param room_in_s: seconds until the reading queued ahead of it is done.
    """

    reason: NoPlaceReason
    first_event_s: float
    room_in_s: float


def find_no_place(
    routed: RoutedRequest,
    placement: Placement,
    loads: Mapping[str, ServerLoad],
    now: float,
) -> NoPlace | None:
    """Return why a prompt should be refused now, None if it should not be.

    Waiting makes no first event earlier: the reading ahead of it has to be done in
    either case. A prompt that is late without any backlog is refused only if its
    caller could not get the response at all.

    :param placement: the best one now.
    :param loads: current loads of all engines that accept prompts, by name. One without
        a free slot counts too, since a slot may become free before others have read.
    """
    if not _is_refusable(routed):
        return None
    engines = (placement.lead, *placement.helpers)
    # As many engines as read the prompt, those with the least reading.
    backlogs_s = sorted(load.read_s for load in loads.values())
    backlog_s = backlogs_s[min(len(engines), len(backlogs_s)) - 1]
    if backlog_s <= MIN_BACKLOG_S:
        return None
    # The slowdown in the expected time is left out: one slow response raises it.
    waited_s = now - routed.arrived_at
    read_by_s = waited_s + backlog_s + placement.read_s
    first_event_s = waited_s + ERROR_FACTOR * (backlog_s + placement.read_s)
    reason = None
    if first_event_s > caller_timeout_s(routed):
        reason = NoPlaceReason.CALLER_LEAVES
    elif first_event_s + _generation_s(routed) > routed.deadline - routed.arrived_at:
        reason = NoPlaceReason.DEADLINE
    elif _costs_others_more(
        routed, placement, first_event_s, [loads[name] for name in engines]
    ):
        reason = NoPlaceReason.COSTS_OTHERS_MORE
    if reason is None:
        return None
    return NoPlace(reason, read_by_s, backlog_s)


def _is_refusable(routed: RoutedRequest) -> bool:
    """Return whether a prompt can be refused: it has not run and never will."""
    if not routed.is_prompt or routed.is_head_relayed or routed.resume_after:
        return False
    return not routed.possible_runs and not routed.failed_attempt_id


def _generation_s(routed: RoutedRequest) -> float:
    """Return the seconds that an otherwise idle engine takes to generate a response."""
    return routed.request.output_tokens * routed.profile.step_s


def _costs_others_more(
    routed: RoutedRequest,
    placement: Placement,
    first_event_s: float,
    loads: Iterable[ServerLoad],
) -> bool:
    """Return whether a late prompt costs streams more than its caller gains from it.

    :param first_event_s: seconds after arrival, at the earliest.
    """
    target_s = routed.route.target_latency_s
    if first_event_s <= LATE_FACTOR * target_s or placement.read_s > target_s:
        return False
    weight = sum(weight for load in loads for _, weight in load.streams)
    cost = weight * placement.read_s / STREAM_LIFE_S
    return cost > (1.0 - LATE_LOSS_FRACTION) * routed.weight

"""Estimates of the time to first token on an engine."""

from attrs import frozen

from briarrelay_core.agreement.configuration import Objective
from briarrelay_core.routing.engineview import EngineView
from briarrelay_core.routing.lengths import LengthClass

__all__ = ["Estimate", "estimate_first_token", "priority_key"]

HEAD_START_S = {Objective.SHORT: 600.0, Objective.TTFT: 10.0}
"""Seconds by which short prompts go ahead of others that came at the same time."""

EXCESS_DELAY_S = 10.0
"""Seconds by which requests of a workspace beyond its share go after others."""

DECODE_SLOT_TOKENS = 1
"""Tokens of a batch step that each generating request takes."""


@frozen(slots=True)
class Estimate:
    """Expected delays of a request on an engine.

    :param wait_s: seconds before its first prompt token is processed.
    :param first_token_s: seconds until its first token.
    :param cached: prompt tokens that need no processing.
    """

    engine: str
    wait_s: float
    first_token_s: float
    cached: int = 0


def estimate_first_token(
    view: EngineView,
    length_class: LengthClass,
    tokens: int,
    cached: int,
    now: float,
    excess: bool = False,
) -> Estimate:
    """Estimate the time to first token of a prompt.

    Work of the same or a shorter class goes ahead. Work of any class costs a step:
    half of the one in progress, on average, and half of the last one, which other
    prompts fill up.

    :param excess: the request's workspace is beyond its share, all work goes ahead.
    """
    queued = view.queued(now)
    ahead = sum(queued) if excess else _ahead(queued, length_class)
    behind = sum(queued) - ahead
    slots = view.decoding * DECODE_SLOT_TOKENS / max(view.step_s, 1e-6)
    rate = max(view.rate - slots, view.rate / 4)
    interference = view.step_s if ahead + behind > 0 else 0.0
    wait = ahead / rate + interference
    prefill = max(tokens - cached, 1) / rate
    return Estimate(view.name, wait, wait + prefill, cached)


def _ahead(queued: tuple, length_class: LengthClass) -> float:
    """Return tokens that go before a prompt of a class.

    Medium and long prompts go in the order of arrival; a medium one that arrives now
    meets a long one half done on average.
    """
    ahead = sum(queued[: length_class + 1])
    if length_class is LengthClass.MEDIUM:
        ahead += queued[LengthClass.LONG] / 2
    return ahead


def priority_key(
    objective: Objective,
    length_class: LengthClass,
    arrived: float,
    excess: bool = False,
) -> float:
    """Return the priority of a request; lower is served sooner.

    The key is a time, so that a waiting request ages without being sent again:
    each later arrival gets a later key.
    """
    if excess:
        return arrived + EXCESS_DELAY_S
    if length_class is LengthClass.SHORT:
        return arrived - HEAD_START_S[objective]
    return arrived

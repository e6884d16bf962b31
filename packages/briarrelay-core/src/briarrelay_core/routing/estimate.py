"""Estimated time to first token on an engine, and request priorities."""

from attrs import frozen

from briarrelay_core.agreement.configuration import Objective
from briarrelay_core.routing.engineview import EngineView
from briarrelay_core.routing.lengths import LengthClass

__all__ = ["Estimate", "estimate_first_token", "priority_key"]

SHORT_PRIORITY_S = {Objective.SHORT: 600.0, Objective.TTFT: 10.0}
"""Seconds by which short prompts are ranked as if they had arrived earlier."""

EXCESS_PENALTY_S = 10.0
"""Seconds by which excess requests are ranked as if they had arrived later."""

DECODE_SLOT_TOKENS = 1
"""Tokens of each batch step that a decoding request uses."""


@frozen(slots=True)
class Estimate:
    """Expected delays of a request on an engine.

    :param wait_s: seconds until its first prompt token is processed.
    :param first_token_s: seconds until its first output token.
    :param cached: prompt tokens that the engine has cached and need not process.
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

    Queued work of the same or a shorter class is processed first. Queued work of any
    class adds one batch step on average: half of the step in progress, and half of the
    prompt's last step, which is shared with other prompts.

    :param cached: prompt tokens expected in the engine's cache.
    :param excess: whether the request's workspace is beyond its share, so that all
        queued work is processed first.
    """
    queued = view.queued(now)
    ahead = sum(queued) if excess else _ahead(queued, length_class)
    behind = sum(queued) - ahead
    decode_rate = view.decoding * DECODE_SLOT_TOKENS / max(view.step_s, 1e-6)
    rate = max(view.rate - decode_rate, view.rate / 4)
    step_delay_s = view.step_s if ahead + behind > 0 else 0.0
    wait_s = ahead / rate + step_delay_s
    prefill_s = max(tokens - cached, 1) / rate
    return Estimate(view.name, wait_s, wait_s + prefill_s, cached)


def _ahead(queued: tuple, length_class: LengthClass) -> float:
    """Return the queued tokens that are processed before a prompt of a class.

    Medium and long prompts are processed in the order of arrival; on average, half of
    the queued long work is still ahead of a medium prompt that arrives now.
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
    """Return the priority of a request; lower values are served first.

    The priority is a time in Unix seconds: later arrivals get higher values, so a
    waiting request ages without being sent to its engine again.
    """
    if excess:
        return arrived + EXCESS_PENALTY_S
    if length_class is LengthClass.SHORT:
        return arrived - SHORT_PRIORITY_S[objective]
    return arrived

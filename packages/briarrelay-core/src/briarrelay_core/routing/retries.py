"""Budget and timing of retries."""

from attrs import define, field

from briarrelay_core.membership.rendezvous import unit_hash

__all__ = ["RetryBudget", "retry_delay"]

BASE_DELAY_S = 0.05
"""Longest delay before the first retry."""

MAX_DELAY_S = 2.0
"""Longest delay before any retry."""

BUDGET_WINDOW_S = 60.0
"""Seconds of requests that the budget is a share of."""

MIN_RETRIES = 10.0
"""Retries in a window that are allowed however few requests there are."""


def retry_delay(request_id: str, attempt: int) -> float:
    """Return seconds to wait before an attempt, between half and all of its step."""
    step = min(MAX_DELAY_S, BASE_DELAY_S * 2**attempt)
    return step * (0.5 + 0.5 * unit_hash(request_id, attempt))


@define(slots=True)
class RetryBudget:
    """Lets retries be at most a share of recent requests.

    Requests earn a part of a retry and unused earnings run out, so that a failing
    fleet is not loaded by its own retries.
    """

    _balance: float = field(default=MIN_RETRIES)
    _at: float = 0.0
    _earned: float = 0.0

    def earn(self, ratio: float, now: float) -> None:
        """Note a new request."""
        self._settle(now)
        self._earned += ratio
        cap = max(MIN_RETRIES, self._earned)
        self._balance = min(cap, self._balance + ratio)

    def spend(self, now: float) -> bool:
        """Take one retry from the budget if there is one."""
        self._settle(now)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _settle(self, now: float) -> None:
        elapsed = max(0.0, now - self._at)
        self._at = now
        self._earned *= max(0.0, 1.0 - elapsed / BUDGET_WINDOW_S)
        refill = MIN_RETRIES * elapsed / BUDGET_WINDOW_S
        self._balance = min(max(MIN_RETRIES, self._earned), self._balance + refill)

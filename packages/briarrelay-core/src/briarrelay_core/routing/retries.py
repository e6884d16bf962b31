"""Retry budget and backoff."""

from attrs import define, field

from briarrelay_core.membership.rendezvous import unit_hash

__all__ = ["RetryBudget", "retry_delay"]

BASE_BACKOFF_S = 0.05
"""Backoff at attempt 0, in seconds; it doubles with each attempt."""

MAX_BACKOFF_S = 2.0
"""Largest backoff, in seconds."""

BUDGET_WINDOW_S = 60.0
"""Seconds of recent requests that the budget is computed from."""

MIN_RETRIES = 10.0
"""Retries allowed in a window whatever the number of requests."""


def retry_delay(request_id: str, attempt: int) -> float:
    """Return the seconds to wait before a retry: exponential backoff with jitter.

    The delay is between half and all of the backoff; the jitter is derived from the
    request id and the attempt.
    """
    backoff = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**attempt)
    return backoff * (0.5 + 0.5 * unit_hash(request_id, attempt))


@define(slots=True)
class RetryBudget:
    """Limits retries to a fraction of recent requests.

    Each request deposits a fraction of a retry, and deposits expire over a window, so
    that retries can not overload a failing fleet.
    """

    _balance: float = field(default=MIN_RETRIES)
    _updated_at: float = 0.0
    _deposited: float = 0.0

    def deposit(self, ratio: float, now: float) -> None:
        """Add the deposit of a new request.

        :param ratio: retries for each request.
        """
        self._replenish(now)
        self._deposited += ratio
        cap = max(MIN_RETRIES, self._deposited)
        self._balance = min(cap, self._balance + ratio)

    def withdraw(self, now: float) -> bool:
        """Withdraw one retry; return whether the budget allowed it."""
        self._replenish(now)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _replenish(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._deposited *= max(0.0, 1.0 - elapsed / BUDGET_WINDOW_S)
        refill = MIN_RETRIES * elapsed / BUDGET_WINDOW_S
        self._balance = min(max(MIN_RETRIES, self._deposited), self._balance + refill)

"""Limits the retries of each service, over all entry instances."""

from collections import deque

from attrs import define, field, frozen

__all__ = ["RetryLimits", "ServiceRetryBudget"]

GRANTED_FRACTION = 0.75
"""Fraction of the allowed retries that is granted; below 1 because the instances'
counts are not exact."""


@frozen(slots=True, kw_only=True)
class RetryLimits:
    """Limits on the retries of a service, over all entry instances.

    :param ratio: retries allowed per request in the window.
    :param window_s: length of the window in seconds.
    :param slack: retries allowed in the window regardless of the number of requests.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 20.0


@define(slots=True)
class _SlidingWindow:
    """Times of the events within a sliding window."""

    times: deque = field(factory=deque)

    def count(self, now: float, window_s: float) -> int:
        """Discard older events, and return the number within the window."""
        while self.times and self.times[0] <= now - window_s:
            self.times.popleft()
        return len(self.times)


@define(slots=True)
class ServiceRetryBudget:
    """Retries that this instance may make for each service, within the limits.

    :param instances: number of entry instances that share the limits.
    :param preset_ratio: retries per request that the preset in force allows.
    """

    limits: RetryLimits
    instances: int = 1
    preset_ratio: float = 1.0
    _requests: dict[str, _SlidingWindow] = field(factory=dict)
    _retries: dict[str, _SlidingWindow] = field(factory=dict)

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller to a service."""
        self._requests.setdefault(service, _SlidingWindow()).times.append(now)
        self._requests[service].count(now, self.limits.window_s)

    def allows(self, service: str, now: float) -> bool:
        """Return whether a service's budget has a retry left."""
        limits = self.limits
        requests = self._requests.setdefault(service, _SlidingWindow())
        retries = self._retries.setdefault(service, _SlidingWindow())
        ratio = min(limits.ratio, self.preset_ratio)
        allowed = ratio * requests.count(now, limits.window_s)
        allowed += limits.slack / max(1, self.instances)
        return retries.count(now, limits.window_s) + 1 <= GRANTED_FRACTION * allowed

    def withdraw(self, service: str, now: float) -> bool:
        """Withdraw one retry from a service's budget; return whether one was left."""
        if not self.allows(service, now):
            return False
        self._retries[service].times.append(now)
        return True

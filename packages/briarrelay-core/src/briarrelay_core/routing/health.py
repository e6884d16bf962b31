"""Ejection of failing backend servers, and their gradual return to service."""

from attrs import define, field

from briarrelay_core.membership.rendezvous import unit_hash

__all__ = ["Health", "HealthTable"]

FAILURES_TO_EJECT = 3
"""Consecutive failures after which a backend server is ejected."""

BASE_EJECTION_S = 2.0
"""Seconds of the first ejection; each further one lasts twice as long."""

MAX_EJECTION_S = 60.0
"""Longest ejection, in seconds."""

RAMP_S = 10.0
"""Seconds over which the load of a returning backend server is ramped up."""


@define(slots=True)
class Health:
    """Recent failures and ejections of one backend server.

    :param failures: consecutive failures.
    :param ejected_until: Unix seconds.
    :param ramp_start: Unix seconds at which the ramp-up starts.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    ramp_start: float = -RAMP_S

    def is_ejected(self, now: float) -> bool:
        """Return whether the backend server is ejected now."""
        return now < self.ejected_until

    def ramp_ratio(self, now: float) -> float:
        """Return the fraction of requests that it may get, 0 while it is ejected."""
        if self.is_ejected(now):
            return 0.0
        return min(1.0, max(0.1, (now - self.ramp_start) / RAMP_S))


@define(slots=True)
class HealthTable:
    """Health of the backend servers that have failed."""

    _by_name: dict[str, Health] = field(factory=dict)

    def record_success(self, name: str) -> None:
        """Record a success, which ends a run of failures."""
        health = self._by_name.get(name)
        if health is not None:
            health.failures = 0

    def record_failure(self, name: str, now: float, certain: bool = False) -> bool:
        """Record a failure; it is ignored while the backend server is ejected.

        :param certain: whether to eject at once, as after a refused connection.
        :returns: whether the failure ejected the backend server.
        """
        health = self._by_name.setdefault(name, Health())
        if health.is_ejected(now):
            return False
        health.failures += FAILURES_TO_EJECT if certain else 1
        if health.failures < FAILURES_TO_EJECT:
            return False
        health.failures = FAILURES_TO_EJECT - 1
        duration = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until = now + duration
        health.ramp_start = health.ejected_until
        return True

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether a backend server is ejected now."""
        health = self._by_name.get(name)
        return health is not None and health.is_ejected(now)

    def admits(self, name: str, request_id: str, now: float) -> bool:
        """Return whether a backend server may get a request.

        During the ramp-up after an ejection, a growing fraction of requests may.
        """
        health = self._by_name.get(name)
        if health is None:
            return True
        return unit_hash(name, request_id) < health.ramp_ratio(now)

    def forget(self, name: str) -> None:
        """Drop the state of a backend server that is gone or has restarted."""
        self._by_name.pop(name, None)

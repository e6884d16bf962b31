"""Ejection of failing backend servers and their gradual return."""

from attrs import define, field

from briarrelay_core.membership.rendezvous import unit_hash

__all__ = ["Health", "HealthTable"]

FAILURES_TO_EJECT = 3
"""Failures in a row after which a backend server gets no work."""

BASE_EJECTION_S = 2.0
"""Seconds of the first ejection; each further one doubles."""

MAX_EJECTION_S = 60.0
"""Longest ejection."""

RAMP_S = 10.0
"""Seconds over which a returning backend server gets more and more work."""


@define(slots=True)
class Health:
    """Recent failures of one backend server."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    ramp_from: float = -RAMP_S

    def is_ejected(self, now: float) -> bool:
        """Return whether the backend server gets no work now."""
        return now < self.ejected_until

    def ramp(self, now: float) -> float:
        """Return the part of its usual work that it may get, from 0.1 to 1."""
        if self.is_ejected(now):
            return 0.0
        return min(1.0, max(0.1, (now - self.ramp_from) / RAMP_S))


@define(slots=True)
class HealthTable:
    """Health of every backend server that has failed of late."""

    _table: dict[str, Health] = field(factory=dict)

    def note_success(self, name: str) -> None:
        """Note an answer."""
        health = self._table.get(name)
        if health is not None:
            health.failures = 0

    def note_failure(self, name: str, now: float, certain: bool = False) -> bool:
        """Note a failure.

        :param certain: eject at once, as after a refused connection.
        :returns: whether the backend server was ejected by it.
        """
        health = self._table.setdefault(name, Health())
        if health.is_ejected(now):
            return False
        health.failures += FAILURES_TO_EJECT if certain else 1
        if health.failures < FAILURES_TO_EJECT:
            return False
        health.failures = FAILURES_TO_EJECT - 1
        time = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until = now + time
        health.ramp_from = health.ejected_until
        return True

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether a backend server gets no work now."""
        health = self._table.get(name)
        return health is not None and health.is_ejected(now)

    def admits(self, name: str, request_id: str, now: float) -> bool:
        """Return whether a backend server may get a certain request.

        While it returns, a growing part of the requests passes.
        """
        health = self._table.get(name)
        if health is None:
            return True
        return unit_hash(name, request_id) < health.ramp(now)

    def forget(self, name: str) -> None:
        """Drop the past of a backend server that started anew."""
        self._table.pop(name, None)

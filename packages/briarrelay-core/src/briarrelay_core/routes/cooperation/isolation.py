"""Tracks the services whose backend servers this instance can not reach.

A server that can not be reached may be down. Several in a row, without a response of
any other server of the service, mean that the instance is cut off from them.
"""

from attrs import define, field

__all__ = ["IsolationTable"]

MIN_SERVERS = 3
"""Servers that could not be reached since the last response of the service from which
the instance counts as cut off from it; all of them if there are fewer."""

MIN_SPAN_S = 0.1
"""Seconds from the first of these failures to the last; when many servers crash at one
moment, the others respond within that time."""

MEMORY_S = 5.0
"""Seconds after the last failure for which an instance counts as cut off."""

PROBE_INTERVAL_S = 1.0
"""Seconds between requests that are sent to a server to find out whether the instance
is still cut off."""


@define(slots=True)
class _Failures:
    """Servers of a service that could not be reached since its last response.

    :param server_count: number of servers of the service.
    :param first_at: time of the first failure.
    :param last_at: time of the last failure.
    :param probed_at: time at which a request was last sent to a server nevertheless.
    """

    servers: set[str] = field(factory=set)
    server_count: int = MIN_SERVERS
    first_at: float = float("inf")
    last_at: float = float("-inf")
    probed_at: float = float("-inf")

    def is_cut_off(self, now: float) -> bool:
        """Return whether the instance counts as cut off from the service."""
        is_enough = len(self.servers) >= min(MIN_SERVERS, self.server_count)
        is_lasting = self.last_at - self.first_at >= MIN_SPAN_S
        return is_enough and is_lasting and now - self.last_at < MEMORY_S


@define(slots=True)
class IsolationTable:
    """Failures to reach the servers of each service.

    :ivar has_urgent_change: a service became unreachable or reachable, and peers have
        not been told.
    """

    has_urgent_change: bool = False
    _failures: dict[str, _Failures] = field(factory=dict)

    def record_failure(
        self, service: str, server: str, server_count: int, now: float
    ) -> None:
        """Record that a connection to a server failed, which it did not close.

        :param server_count: number of servers of the service.
        """
        failures = self._failures.setdefault(service, _Failures())
        if now - failures.last_at >= MEMORY_S:
            failures.servers.clear()
            failures.first_at = now
        was_cut_off = failures.is_cut_off(now)
        failures.servers.add(server)
        failures.server_count = server_count
        failures.last_at = now
        if failures.is_cut_off(now) and not was_cut_off:
            failures.probed_at = now
            self.has_urgent_change = True

    def record_response(self, service: str, now: float) -> None:
        """Record a message from a server of a service."""
        if not self._failures:
            return
        failures = self._failures.pop(service, None)
        if failures is not None and failures.is_cut_off(now):
            self.has_urgent_change = True

    def is_cut_off(self, service: str, now: float) -> bool:
        """Return whether this instance counts as cut off from a service."""
        failures = self._failures.get(service)
        return failures is not None and failures.is_cut_off(now)

    def take_probe(self, service: str, now: float) -> bool:
        """Return whether the next request should be sent to a server nevertheless.

        The answer is yes once in `PROBE_INTERVAL_S`.
        """
        failures = self._failures[service]
        if now - failures.probed_at < PROBE_INTERVAL_S:
            return False
        failures.probed_at = now
        return True

    def cut_off_services(self, now: float) -> tuple[str, ...]:
        """Return the services that this instance is cut off from, for a digest."""
        return tuple(
            service
            for service, failures in self._failures.items()
            if failures.is_cut_off(now)
        )

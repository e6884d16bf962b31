"""Limits that backend servers name for the requests of all instances together."""

from attrs import define, field

from briarrelay_core.ports.route import RateLimit
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent

__all__ = ["ServerLimitTable"]


@define(slots=True)
class _KnownLimit:
    """What is known of the limit of one server.

    :param born: start of the server's incarnation.
    :param limit: None if it is no longer in force.
    :param observed_at: time of the last response that named the limit; for one that
        did not, the time at which its request was sent.
    """

    born: float
    limit: RateLimit | None
    observed_at: float


@define(slots=True)
class ServerLimitTable:
    """Limits in force, by server.

    A limit is in force until a server responds without one to a request that was sent
    after the last response that named it.
    """

    _known: dict[str, _KnownLimit] = field(factory=dict)

    def record_limit(
        self, server: str, born: float, limit: RateLimit, now: float
    ) -> list:
        """Record that a server named a limit; return effects.

        :param born: start of the incarnation that responded.
        """
        known = self._known.get(server)
        if known is not None and known.born > born:
            return []
        self._known[server] = _KnownLimit(born, limit, now)
        if known is not None and (known.born, known.limit) == (born, limit):
            return []
        fields = (("server", server), ("per_s", f"{limit.per_s:g}"))
        return [
            LogEvent("info", "server_limited", fields=fields),
            IncrementCounter("route.server_limited"),
        ]

    def record_no_limit(self, server: str, born: float, sent_at: float) -> list:
        """Record that a server responded without naming a limit; return effects.

        :param born: start of the incarnation that responded.
        :param sent_at: time at which the request was sent.
        """
        known = self._known.get(server)
        if known is None or known.limit is None or known.born != born:
            return []
        if sent_at <= known.observed_at:
            return []
        known.limit, known.observed_at = None, sent_at
        fields = (("server", server),)
        return [LogEvent("info", "server_unlimited", fields=fields)]

    def forget(self, server: str) -> None:
        """Discard the limit of a server that left or restarted."""
        self._known.pop(server, None)

"""Workspace rate limits, shared between the live instances by demand."""

from math import exp

from attrs import define, field

__all__ = ["DemandMeter", "TokenBucket", "WorkspaceRateLimiter"]

DEMAND_WINDOW_S = 60.0
"""Time constant of the demand average, in seconds."""

MIN_METER_AGE_S = 10.0
"""Minimum age, in seconds, that a meter's rate is computed with."""

PEER_DEMAND_MAX_AGE_S = 15.0
"""Age, in seconds, from which a peer's reported demand is ignored."""

BURST_S = 4.0
"""Burst size of a token bucket, in seconds of its refill rate."""

MIN_SHARE_RATIO = 0.05
"""Minimum share of an instance, as a fraction of an equal share.

It lets an instance without demand so far serve its first requests.
"""


@define(slots=True)
class DemandMeter:
    """Exponentially weighted average of demand, in tokens a second.

    The average is corrected for the age of the meter; without that, a meter younger
    than the time constant would report too low a rate.
    """

    _rate: float = 0.0
    _updated_at: float = 0.0
    _started_at: float | None = None

    def add(self, tokens: float, now: float) -> None:
        """Add demand of a number of tokens."""
        if self._started_at is None:
            self._started_at = now
        self._rate = self._decayed(now) + tokens / DEMAND_WINDOW_S
        self._updated_at = now

    def _decayed(self, now: float) -> float:
        return self._rate * exp(-max(0.0, now - self._updated_at) / DEMAND_WINDOW_S)

    def rate(self, now: float) -> float:
        """Return the demand in tokens a second."""
        if self._started_at is None:
            return 0.0
        age = max(MIN_METER_AGE_S, now - self._started_at)
        return self._decayed(now) / (1.0 - exp(-age / DEMAND_WINDOW_S))


@define(slots=True)
class TokenBucket:
    """Token bucket whose refill rate may change between calls.

    :param level: tokens available, negative after a large request; None before the
        first use.
    """

    level: float | None = None
    _updated_at: float = 0.0

    def try_consume(self, tokens: float, rate: float, now: float) -> float:
        """Consume tokens unless the level is negative.

        A request larger than the burst is allowed and makes the level negative, so
        that long prompts are limited in rate but never refused for their size.

        :param rate: refill rate in tokens a second.
        :returns: 0 if consumed, else the seconds until the level reaches zero.
        """
        burst = rate * BURST_S
        if self.level is None:
            self.level = burst
        else:
            self.level = min(burst, self.level + (now - self._updated_at) * rate)
        self._updated_at = now
        if self.level < 0:
            return -self.level / max(rate, 1e-9)
        self.level -= tokens
        return 0.0


@define(slots=True)
class WorkspaceRateLimiter:
    """Rate limits of workspaces, of which this instance enforces its share.

    :param live: number of live entry instances, this one included.
    """

    live: int = 1
    _own: dict[str, DemandMeter] = field(factory=dict)
    _peers: dict[str, dict[str, tuple[float, float]]] = field(factory=dict)
    _buckets: dict[str, TokenBucket] = field(factory=dict)

    def local_demand(self, now: float) -> dict[str, float]:
        """Return this instance's demand by workspace, in tokens a second.

        Meters whose rate has fallen below one token a second are dropped.
        """
        rates = {name: meter.rate(now) for name, meter in self._own.items()}
        idle = [name for name, rate in rates.items() if rate < 1.0]
        for name in idle:
            del self._own[name], rates[name]
        return rates

    def set_peer_demand(self, peer: str, demands: dict[str, float], now: float) -> None:
        """Store a peer's demand, in tokens a second by workspace."""
        entry = self._peers.setdefault(peer, {})
        for workspace, rate in demands.items():
            entry[workspace] = (rate, now)

    def drop_peer(self, peer: str) -> None:
        """Drop the demand of a peer that is gone."""
        self._peers.pop(peer, None)

    def share(self, workspace: str, now: float) -> float:
        """Return the fraction of a workspace's limit that this instance may use.

        It is an equal share if no peer has reported demand recently, else a share in
        proportion to demand of what remains after the equal shares of the other peers.
        """
        reports = [entry.get(workspace) for entry in self._peers.values()]
        fresh = [
            rate
            for rate, at in filter(None, reports)
            if now - at < PEER_DEMAND_MAX_AGE_S
        ]
        equal = 1.0 / max(1, self.live)
        if not fresh:
            return equal
        own = self._own.get(workspace, DemandMeter()).rate(now)
        total = own + sum(fresh)
        silent = max(0, self.live - 1 - len(fresh))
        by_demand = own / total if total > 0 else equal
        reporting_share = 1.0 - silent * equal
        return max(MIN_SHARE_RATIO * equal, by_demand * reporting_share)

    def try_consume(
        self, workspace: str, limit: float, tokens: int, now: float
    ) -> float:
        """Consume the tokens of a request from a workspace's limit.

        The tokens count as demand whether or not the request is allowed.

        :param limit: tokens a second over all instances, 0 for no limit.
        :returns: 0 if the request is allowed, else the seconds to wait.
        """
        self._own.setdefault(workspace, DemandMeter()).add(tokens, now)
        if limit <= 0:
            return 0.0
        bucket = self._buckets.setdefault(workspace, TokenBucket())
        return bucket.try_consume(tokens, limit * self.share(workspace, now), now)

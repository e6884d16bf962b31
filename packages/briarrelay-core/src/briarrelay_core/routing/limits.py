"""Workspace limits, split over the live instances by demand."""

from math import exp

from attrs import define, field

__all__ = ["DemandMeter", "LimitShares", "TokenBucket"]

DEMAND_WINDOW_S = 60.0
"""Time constant of the measured demand."""

MIN_AGE_S = 10.0
"""Least age that a meter takes itself to have."""

DEMAND_STALE_S = 15.0
"""Age after which a peer's demand no longer counts."""

BURST_S = 4.0
"""Seconds of its rate that a workspace may use at once."""

MIN_SHARE = 0.05
"""Least part of an equal share that an instance keeps, to serve first requests."""


@define(slots=True)
class DemandMeter:
    """Exponentially decaying rate of tokens asked for, in tokens a second.

    A young meter divides by the time it has seen, or it would show too little.
    """

    _rate: float = 0.0
    _at: float = 0.0
    _since: float | None = None

    def add(self, tokens: float, now: float) -> None:
        """Note tokens asked for."""
        if self._since is None:
            self._since = now
        self._rate = self._decayed(now) + tokens / DEMAND_WINDOW_S
        self._at = now

    def _decayed(self, now: float) -> float:
        return self._rate * exp(-max(0.0, now - self._at) / DEMAND_WINDOW_S)

    def rate(self, now: float) -> float:
        """Return the rate at a time."""
        if self._since is None:
            return 0.0
        age = max(MIN_AGE_S, now - self._since)
        return self._decayed(now) / (1.0 - exp(-age / DEMAND_WINDOW_S))


@define(slots=True)
class TokenBucket:
    """Tokens that may be used now, refilled at a changing rate."""

    level: float | None = None
    _at: float = 0.0

    def take(self, tokens: float, rate: float, now: float) -> float:
        """Use tokens if the level is not below zero.

        A request larger than the burst is let through and leaves a debt, so that
        long prompts are limited in rate and not shut out.

        :returns: 0 if taken, else the seconds until the level is not below zero.
        """
        burst = rate * BURST_S
        if self.level is None:
            self.level = burst
        else:
            self.level = min(burst, self.level + (now - self._at) * rate)
        self._at = now
        if self.level < 0:
            return -self.level / max(rate, 1e-9)
        self.level -= tokens
        return 0.0


@define(slots=True)
class LimitShares:
    """Shares of the workspaces' limits that this instance may give out.

    :param live: number of live entry instances, this one included.
    """

    live: int = 1
    _own: dict[str, DemandMeter] = field(factory=dict)
    _peers: dict[str, dict[str, tuple[float, float]]] = field(factory=dict)
    _buckets: dict[str, TokenBucket] = field(factory=dict)

    def own_rates(self, now: float) -> dict[str, float]:
        """Return this instance's demand of each workspace, in tokens a second."""
        rates = {name: meter.rate(now) for name, meter in self._own.items()}
        idle = [name for name, rate in rates.items() if rate < 1.0]
        for name in idle:
            del self._own[name], rates[name]
        return rates

    def set_peer_demand(self, peer: str, demands: dict[str, float], now: float) -> None:
        """Take a peer's demand by workspace."""
        entry = self._peers.setdefault(peer, {})
        for workspace, rate in demands.items():
            entry[workspace] = (rate, now)

    def drop_peer(self, peer: str) -> None:
        """Forget a peer that is gone."""
        self._peers.pop(peer, None)

    def share(self, workspace: str, now: float) -> float:
        """Return the part of a limit that this instance may give out.

        Without fresh news from peers it is an equal part.
        """
        known = [entry.get(workspace) for entry in self._peers.values()]
        fresh = [rate for rate, at in filter(None, known) if now - at < DEMAND_STALE_S]
        equal = 1.0 / max(1, self.live)
        if not fresh:
            return equal
        own = self._own.get(workspace, DemandMeter()).rate(now)
        total = own + sum(fresh)
        unheard = max(0, self.live - 1 - len(fresh))
        by_demand = own / total if total > 0 else equal
        heard_part = 1.0 - unheard * equal
        return max(MIN_SHARE * equal, by_demand * heard_part)

    def take(self, workspace: str, limit: float, tokens: int, now: float) -> float:
        """Ask to let a request through.

        :param limit: tokens a second over all instances, 0 for no limit.
        :returns: 0 if it may pass, else the seconds to wait.
        """
        self._own.setdefault(workspace, DemandMeter()).add(tokens, now)
        if limit <= 0:
            return 0.0
        bucket = self._buckets.setdefault(workspace, TokenBucket())
        return bucket.take(tokens, limit * self.share(workspace, now), now)

"""Turns of all registered instances at a server that takes few requests.

The turns follow each other at equal distances and go round among all registered
instances, whether they are heard or not. So no message is needed to keep a rate, and a
cut between instances does not exceed it.
"""

from math import floor

from attrs import define

__all__ = ["Membership", "Turns"]


@define(slots=True)
class Membership:
    """The instances that share a rate.

    :param count: number of registered instances.
    :param rank: number of them whose turn comes before this instance's.
    """

    count: int = 1
    rank: int = 0


@define(slots=True)
class Turns:
    """This instance's turns at one server.

    :param rate_per_s: requests per second of all instances together.
    :param since: time from which the turns of the instances are counted.
    :param used_until: time of the last turn that was used or is no longer usable.
    :param order: in [0, 1), shifts the order of the instances at this server.
    :param store_s: seconds for which an unused turn stays usable.
    :param next_at: time of the next turn if it is known to lie ahead; computed once,
        since each request looks at each server.
    """

    rate_per_s: float
    since: float
    used_until: float
    order: float
    store_s: float
    next_at: float = float("-inf")

    def use_until(self, at: float) -> None:
        """Mark the turns up to a time as used."""
        self.used_until, self.next_at = at, float("-inf")

    def use(self, membership: Membership, now: float) -> None:
        """Use the oldest turn that was not used."""
        self.use_until(self.next(membership, now))

    def period_s(self, membership: Membership) -> float:
        """Return the seconds between two turns of this instance."""
        return membership.count / self.rate_per_s

    def next(self, membership: Membership, now: float) -> float:
        """Return the time of the oldest turn that was not used."""
        if self.next_at > now:
            return self.next_at
        members = membership.count
        place = (membership.rank + int(self.order * members)) % members
        first = self.since + (place + 0.5) / self.rate_per_s
        period_s = self.period_s(membership)
        # A used turn must not count as unused by a rounding error.
        usable_from = max(self.used_until + 1e-6, now - self.store_s)
        used_number = floor((usable_from - first) / period_s)
        self.next_at = first + (used_number + 1) * period_s
        return self.next_at

"""Turns of all registered instances at a server that takes few requests.

The turns follow each other at equal distances and go round among all registered
instances, whether they are heard or not. So no message is needed to keep a rate, and a
cut between instances does not exceed it.
"""

from math import floor, inf

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
    :param most_in_a_second: most requests of all instances together in any second,
        whatever time each counts from; more instances than that do not all get turns.
    :param next_at: time of the next turn if it is known to lie ahead; computed once,
        since each request looks at each server.
    """

    rate_per_s: float
    since: float
    used_until: float
    order: float
    store_s: float
    most_in_a_second: float = inf
    next_at: float = -inf

    def use_until(self, at: float) -> None:
        """Mark the turns up to a time as used."""
        self.used_until, self.next_at = at, -inf

    def use(self, membership: Membership, now: float) -> None:
        """Use the oldest turn that was not used."""
        at = self.next(membership, now)
        self.use_until(at if at < inf else now)

    def period_s(self, membership: Membership) -> float:
        """Return the seconds between two turns of this instance."""
        members = self._members(membership)
        if self.most_in_a_second == inf:
            return members / self.rate_per_s
        own_in_a_second = max(1, floor(self.most_in_a_second / members))
        return max(members / self.rate_per_s, 1 / own_in_a_second)

    def _members(self, membership: Membership) -> int:
        """Return the number of instances that get turns."""
        return int(max(1, min(membership.count, self.most_in_a_second)))

    def next(self, membership: Membership, now: float) -> float:
        """Return the time of the oldest turn that was not used, inf without turns."""
        if self.next_at > now:
            return self.next_at
        count, members = membership.count, self._members(membership)
        place = (membership.rank + int(self.order * count)) % count
        if place >= members:
            self.next_at = inf
            return inf
        period_s = self.period_s(membership)
        first = self.since + (place + 0.5) * period_s / members
        # A used turn must not count as unused by a rounding error.
        usable_from = max(self.used_until + 1e-6, now - self.store_s)
        used_number = floor((usable_from - first) / period_s)
        self.next_at = first + (used_number + 1) * period_s
        return self.next_at

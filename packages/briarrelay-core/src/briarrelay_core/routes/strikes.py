"""Strikes against contents that were at crashes of servers."""

from collections.abc import Iterable
from operator import itemgetter

from attrs import define, field, frozen

from briarrelay_core.routes.contents import is_request_content

__all__ = ["MAX_STRIKES", "SUSPECT_STRIKES", "Crash", "StruckContent"]

MAX_STRIKES = 64
"""Number of strikes that are kept of one content."""

SUSPECT_STRIKES = 2
"""Strikes in sequence from which a content is logged as suspected. Engines that it has
to have struck, in sequence or not, for requests with it to be sent one by one."""


@frozen(slots=True)
class Crash:
    """An attempt that an engine ended by closing its connection.

    :param server: the engine's incarnation, ``name@born``.
    :param known_at: time at which it was known to be a crash, if later than the loss.
    """

    sent_at: float
    lost_at: float
    server: str
    contents: tuple[str, ...]
    known_at: float = float("-inf")


@define(slots=True, eq=False)
class StruckContent:
    """A content with strikes.

    :param position: its place in a prompt, from 0.
    :param strikes: time of sending and of the loss, by incarnation of an engine.
    :param sources: name of the peer that reported each strike, empty for this instance.
    :param attempts: incarnation and contents of the attempts with it that were lost.
    :param earlier: strikes that a lapsed quarantine left.
    :param known_at: time at which the last strike became known here.
    """

    position: int = 0
    strikes: dict[str, tuple[float, float]] = field(factory=dict)
    sources: dict[str, str] = field(factory=dict)
    attempts: set[tuple[str, tuple[str, ...]]] = field(factory=set)
    earlier: int = 0
    known_at: float = float("-inf")
    is_logged: bool = False

    @property
    def count(self) -> int:
        """Number of strikes in sequence."""
        return self.earlier + _count_in_sequence(self.strikes.values())

    @property
    def is_suspect(self) -> bool:
        """Whether requests with it are sent one after another."""
        return len(self.strikes) + self.earlier >= SUSPECT_STRIKES

    @property
    def is_explained_by_request(self) -> bool:
        """Whether a single request can be the cause, since all attempts were of it."""
        if self.earlier:
            return False
        requests = {contents[-1] for _, contents in self.attempts}
        return len(requests) == 1 and is_request_content(requests.pop())

    def withdraw(self, source: str, since: float) -> bool:
        """Drop the strikes that a source reported since a time; return whether any."""
        servers = {
            server
            for server, (_, lost_at) in self.strikes.items()
            if lost_at >= since and self.sources.get(server) == source
        }
        for server in servers:
            del self.strikes[server], self.sources[server]
        self.attempts = {a for a in self.attempts if a[0] not in servers}
        return bool(servers)

    def has_attempt(self, server: str, content: str) -> bool:
        """Return whether an attempt with another content was lost at a server."""
        return any(
            server == lost_at and content in contents
            for lost_at, contents in self.attempts
        )

    def is_explained_by(self, other: "StruckContent") -> bool:
        """Return whether another content is more likely the cause of the crashes.

        It was at nearly all of them, and it is rarer.
        """
        return other._covers(self) and other._is_rarer_than(self)

    def is_as_likely_as(self, other: "StruckContent") -> bool:
        """Return whether two contents have the same evidence against them."""
        if not (self._covers(other) and other._covers(self)):
            return False
        return not (self._is_rarer_than(other) or other._is_rarer_than(self))

    def _covers(self, other: "StruckContent") -> bool:
        """Return whether it was at nearly all crashes that another content was at."""
        if self.count < SUSPECT_STRIKES:
            return False
        strikes = [s for name, s in other.strikes.items() if name not in self.strikes]
        return _count_in_sequence(strikes) < SUSPECT_STRIKES

    def _is_rarer_than(self, other: "StruckContent") -> bool:
        """Return whether fewer attempts had it, at the crashes that both were at.

        Of two that were in the same attempts there, it is the one with fewer attempts
        elsewhere, or the later one in prompts. Of two that were there by different
        attempts, it is the one that was at more crashes in all.
        """
        both = self.strikes.keys() & other.strikes.keys()
        own = {attempt for attempt in self.attempts if attempt[0] in both}
        others = {attempt for attempt in other.attempts if attempt[0] in both}
        if len(own) != len(others):
            return len(own) < len(others)
        if own != others:
            return len(self.strikes) > len(other.strikes)
        if len(self.attempts) != len(other.attempts):
            return len(self.attempts) < len(other.attempts)
        return self.position > other.position

    @property
    def since(self) -> float:
        """Time at which the attempt of the first strike was sent."""
        return min((sent_at for sent_at, _ in self.strikes.values()), default=0.0)


def _count_in_sequence(strikes: Iterable[tuple[float, float]]) -> int:
    """Return the number of strikes, each sent after the one before was known.

    :param strikes: times of sending and of the loss.
    """
    count, known_at = 0, float("-inf")
    for sent_at, lost_at in sorted(strikes, key=itemgetter(1)):
        if sent_at >= known_at:
            count += 1
            known_at = lost_at
    return count

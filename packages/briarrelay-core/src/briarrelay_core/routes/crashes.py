"""Servers that have just crashed, as their closed connections show.

Several connections that close at one moment mean that the process ended; a single one
may have been idle. The server is avoided until it is back, or its entry is gone.
"""

from attrs import define, field

__all__ = ["CrashTable"]

CRASH_AVOID_S = 2.0
"""Seconds for which a crashed server is avoided; about the time until it is back or its
entry is removed."""

CRASH_WINDOW_S = 0.3
"""Seconds within which connections count as closed at the same moment; reports of peers
take some of it."""

CLOSED_CONNECTIONS = 2
"""Connections closed at the same moment from which a server counts as crashed."""


@define(slots=True, eq=False)
class _Closings:
    """Connections that a server closed lately.

    :param at: time of the first of them.
    :param counts: number of connections by the instance that reported them.
    """

    at: float
    counts: dict[str, int] = field(factory=dict)
    avoided_until: float = float("-inf")


@define(slots=True, eq=False)
class CrashTable:
    """Crashed servers.

    :ivar _closings: by incarnation, ``name@born``.
    """

    _closings: dict[str, _Closings] = field(factory=dict)

    def record_closed(self, server: str, now: float) -> None:
        """Record that a server closed the connection of an attempt.

        :param server: its incarnation, ``name@born``.
        """
        closings = self._recent(server, now)
        self._count(closings, "", closings.counts.get("", 0) + 1, now)

    def apply_peer_report(self, peer: str, server: str, count: int, at: float) -> None:
        """Apply a peer's report, which it repeats, of connections that a server closed.

        :param count: number of connections.
        :param at: time at which they were closed.
        """
        closings = self._recent(server, at)
        self._count(closings, peer, max(count, closings.counts.get(peer, 0)), at)

    def withdraw(self, source: str, since: float) -> None:
        """Drop what a source reported since a time; it had lost its links.

        :param source: name of a peer, empty for this instance.
        """
        for closings in self._closings.values():
            if closings.at >= since and closings.counts.pop(source, 0):
                if sum(closings.counts.values()) < CLOSED_CONNECTIONS:
                    closings.avoided_until = float("-inf")

    def _recent(self, server: str, at: float) -> _Closings:
        known = self._closings.get(server)
        if known is None or at - known.at > CRASH_WINDOW_S:
            known = self._closings[server] = _Closings(at)
        return known

    def _count(self, closings: _Closings, source: str, count: int, at: float) -> None:
        closings.counts[source] = count
        if sum(closings.counts.values()) >= CLOSED_CONNECTIONS:
            closings.avoided_until = closings.at + CRASH_AVOID_S

    def is_crashed(self, name: str, born: float, now: float) -> bool:
        """Return whether an incarnation of a server has just crashed."""
        if not self._closings:
            return False
        known = self._closings.get(f"{name}@{born}")
        return known is not None and now < known.avoided_until

    def record_response(self, name: str, born: float) -> None:
        """Record a message from a server, which has not crashed."""
        if self._closings:
            self._closings.pop(f"{name}@{born}", None)

    def expire(self, now: float) -> None:
        """Drop what is outdated."""
        if self._closings:
            self._closings = {
                server: known
                for server, known in self._closings.items()
                if now - known.at <= CRASH_AVOID_S
            }

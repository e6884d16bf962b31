"""Pauses that backend servers ask for when they refuse a request.

A server that names a time gets nothing from this instance until then, and afterwards
one request first, so that waiting requests do not reach it all at once. Pauses that
peers report only lower the preference for a server.
"""

from attrs import define, field

__all__ = ["PauseTable"]

PROBE_INTERVAL_S = 1.0
"""Seconds between requests to a server whose pause is over, until it responds."""

PROBE_RESPONSE_S = 0.3
"""Seconds within which the response to such a request is expected."""

JITTER_FRACTION = 0.25
"""Largest extension of a pause, as a fraction of it, so that instances do not return at
the same moment."""

MAX_JITTER_S = 1.0
"""Largest extension of a pause in seconds."""


@define(slots=True)
class _Pause:
    """Pause of one server.

    :param ends_at: time at which the pause is over.
    :param admits_from: time from which the server may get the next request.
    """

    ends_at: float
    admits_from: float


@define(slots=True)
class PauseTable:
    """Servers that asked this instance, or a peer, not to send requests for a time.

    :ivar _peer_pauses: time until which a peer must not use a server, by server.
    """

    _pauses: dict[str, _Pause] = field(factory=dict)
    _peer_pauses: dict[str, float] = field(factory=dict)

    def pause(self, server: str, pause_s: float, jitter: float, now: float) -> None:
        """Pause a server.

        :param jitter: number in [0, 1) that sets the extension of the pause.
        """
        extension_s = min(MAX_JITTER_S, JITTER_FRACTION * pause_s) * jitter
        ends_at = now + pause_s + extension_s
        known = self._pauses.get(server)
        if known is not None:
            ends_at = max(ends_at, known.ends_at)
        self._pauses[server] = _Pause(ends_at, ends_at)

    def is_paused(self, server: str, now: float) -> bool:
        """Return whether a server must not get a request now."""
        known = self._pauses.get(server)
        return known is not None and now < known.admits_from

    def resumes_in_s(self, server: str, now: float) -> float:
        """Return the expected seconds until a server may get a request, 0 if now.

        Once its pause is over and a request was sent, it may after the response.
        """
        known = self._pauses.get(server)
        if known is None:
            return 0.0
        wait_s = max(0.0, known.admits_from - now)
        return min(wait_s, PROBE_RESPONSE_S) if known.ends_at <= now else wait_s

    def record_send(self, server: str, now: float) -> None:
        """Record a request; after a pause, the next one follows its response."""
        known = self._pauses.get(server)
        if known is not None:
            known.admits_from = now + PROBE_INTERVAL_S

    def record_response(self, server: str, sent_at: float) -> None:
        """End the pause of a server that responded to a request sent after it."""
        known = self._pauses.get(server)
        if known is not None and sent_at >= known.ends_at:
            del self._pauses[server]

    def own_pauses(self, now: float) -> dict[str, float]:
        """Return the seconds that remain of each pause, by server, for peers."""
        return {
            server: round(known.ends_at - now, 2)
            for server, known in self._pauses.items()
            if known.ends_at > now
        }

    def apply_peer_pauses(self, pauses: dict[str, float], now: float) -> None:
        """Apply the pauses in a peer's digest."""
        for server, pause_s in pauses.items():
            self._peer_pauses[server] = now + pause_s

    def is_paused_for_peer(self, server: str, now: float) -> bool:
        """Return whether a peer must not use a server now."""
        until = self._peer_pauses.get(server)
        if until is None:
            return False
        if until <= now:
            del self._peer_pauses[server]
            return False
        return True

    def forget(self, server: str) -> None:
        """Discard the pauses of a server that left or restarted."""
        self._pauses.pop(server, None)
        self._peer_pauses.pop(server, None)

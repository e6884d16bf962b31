"""Sends requests with a suspect content one after another.

The instance that sends one tells its peers, which hold theirs until an engine has
survived the content, or crashes, or the time for that is over.
"""

from attrs import define, field

from briarrelay_core.ports.digest import MAX_PROBE_S, MAX_SURVIVED_REPORTS

__all__ = ["PROBE_JITTER_S", "ProbeTable"]

PROBE_FACTOR = 2.0
"""Multiple of the expected time to its first event for which such a request keeps
others with its suspect content from servers, besides `PROBE_SLACK_S`."""

PROBE_SLACK_S = 0.6
"""Seconds added to that time, in which the engine sends the events that show that it
survives, and the digest about it arrives."""

PROBE_JITTER_S = 0.2
"""Largest delay in seconds before a request with a suspect content is sent, so that the
first instance to send one can tell the others."""


@define(slots=True)
class ProbeTable:
    """Suspect contents of requests that are on servers.

    :ivar _own: contents of own requests, and the time until which peers wait.
    :ivar _of_peers: contents of requests of peers, and the time until which this
        instance waits.
    """

    _own: dict[str, float] = field(factory=dict)
    _of_peers: dict[str, float] = field(factory=dict)

    def __contains__(self, content: str) -> bool:
        """Return whether an own request with a content was sent."""
        return content in self._own

    def is_held(self, content: str, now: float) -> bool:
        """Return whether requests with a content wait for one of a peer."""
        return now < self._of_peers.get(content, now)

    def record(self, content: str, expected_s: float, now: float) -> None:
        """Record that an own request with a content is sent.

        :param expected_s: seconds until its first event is expected.
        """
        limit_s = PROBE_FACTOR * expected_s + PROBE_SLACK_S
        self._own[content] = now + min(MAX_PROBE_S, limit_s)

    def end(self, content: str) -> None:
        """Let the next request with a content be sent."""
        self._own.pop(content, None)
        self._of_peers.pop(content, None)

    def expire(self, now: float) -> None:
        """Drop own probes that peers no longer wait for."""
        if self._own:
            self._own = {content: t for content, t in self._own.items() if now < t}

    def own(self, now: float) -> dict[str, float]:
        """Return the seconds for which peers wait, by content, for a digest."""
        self.expire(now)
        newest = list(self._own.items())[-MAX_SURVIVED_REPORTS:]
        return {content: round(until - now, 3) for content, until in newest}

    def apply(self, probed: dict[str, float], now: float) -> None:
        """Apply a peer's digest: the seconds for which others wait, by content."""
        if probed:
            held = {content: t for content, t in self._of_peers.items() if now < t}
            held |= {content: now + left_s for content, left_s in probed.items()}
            self._of_peers = held

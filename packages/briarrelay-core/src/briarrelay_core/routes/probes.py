"""Sends requests with a suspect part of their prompts one after another.

The instance that sends one tells its peers, which hold theirs until an engine writes on
the part, or crashes, or the time for its first event is over.
"""

from attrs import define, field

from briarrelay_core.ports.digest import MAX_PROBE_S, MAX_WRITTEN_REPORTS

__all__ = ["PROBE_JITTER_S", "ProbeTable"]

PROBE_FACTOR = 2.0
"""Multiple of the expected time to its first event for which such a request keeps
others with its suspect part from engines, besides `PROBE_SLACK_S`."""

PROBE_SLACK_S = 0.3
"""Seconds added to that time."""

PROBE_JITTER_S = 0.2
"""Largest delay in seconds before a request with a suspect part is sent, so that the
first instance to send one can tell the others."""


@define(slots=True)
class ProbeTable:
    """Suspect parts of requests that are on engines.

    :ivar _own: parts of own requests, and the time until which peers wait.
    :ivar _of_peers: parts of requests of peers, and the time until which this instance
        waits.
    """

    _own: dict[str, float] = field(factory=dict)
    _of_peers: dict[str, float] = field(factory=dict)

    def __contains__(self, part: str) -> bool:
        """Return whether an own request with a part was sent."""
        return part in self._own

    def is_held(self, part: str, now: float) -> bool:
        """Return whether requests with a part wait for one of a peer."""
        return now < self._of_peers.get(part, now)

    def record(self, part: str, expected_s: float, now: float) -> None:
        """Record that an own request with a part is sent.

        :param expected_s: seconds until its first event is expected.
        """
        limit_s = PROBE_FACTOR * expected_s + PROBE_SLACK_S
        self._own[part] = now + min(MAX_PROBE_S, limit_s)

    def end(self, part: str) -> None:
        """Let the next request with a part be sent."""
        self._own.pop(part, None)
        self._of_peers.pop(part, None)

    def expire(self, now: float) -> None:
        """Drop own probes that peers no longer wait for."""
        if self._own:
            self._own = {part: t for part, t in self._own.items() if now < t}

    def own(self, now: float) -> dict[str, float]:
        """Return the seconds for which peers wait, by part, for a digest."""
        self.expire(now)
        newest = list(self._own.items())[-MAX_WRITTEN_REPORTS:]
        return {part: round(until - now, 3) for part, until in newest}

    def apply(self, probed: dict[str, float], now: float) -> None:
        """Apply a peer's digest: the seconds for which others wait, by part."""
        if probed:
            held = {part: t for part, t in self._of_peers.items() if now < t}
            held |= {part: now + left_s for part, left_s in probed.items()}
            self._of_peers = held

"""Records how long the responses of each route took lately.

Plain services have no model from which the time of a response could be estimated, and
how many of its tokens a prompt's response has is known only at its end.
"""

from collections import deque
from statistics import median_low

from attrs import define, field

from briarrelay_core.routes.requeststate import RoutedRequest

__all__ = ["ResponseTimes"]

MAX_SAMPLES = 256
"""Number of responses of a route, at each service, that are remembered."""


@define(slots=True)
class _Samples:
    """Times of the last responses, in seconds.

    :ivar _usual: their median, None if it has to be computed.
    """

    times: deque[float] = field(factory=lambda: deque(maxlen=MAX_SAMPLES))
    _usual: float | None = None

    @property
    def usual(self) -> float:
        """Their median."""
        if self._usual is None:
            self._usual = median_low(self.times)
        return self._usual

    def add(self, seconds: float) -> None:
        """Add the time of a response."""
        self.times.append(seconds)
        self._usual = None


@define(slots=True)
class ResponseTimes:
    """Times of whole responses, by service and route.

    For prompts it is the time from the first event to the last, for each token that may
    be written; engines tell when the first one is due.
    """

    _samples: dict[tuple[str, str], _Samples] = field(factory=dict)

    def record(self, routed: RoutedRequest, now: float) -> None:
        """Record that a response is complete; its attempt is still active."""
        attempt = routed.active_attempt
        if attempt.was_unread or routed.reading_paused_at is not None:
            return  # it took as long as its caller
        if routed.is_prompt:
            seconds = (now - routed.first_event_at) / _tokens(routed)
        else:
            seconds = now - attempt.sent_at
        key = routed.service, routed.route.name
        self._samples.setdefault(key, _Samples()).add(seconds)

    def longest_s(self, routed: RoutedRequest) -> float:
        """Return the seconds in which a response was complete at the latest.

        They begin when the request is sent, for prompts with the first event. Without
        responses so far it is what the configuration says.
        """
        samples = self._samples.get((routed.service, routed.route.name))
        if routed.is_prompt:
            longest = max(samples.times) if samples else routed.profile.step_s
            return longest * _tokens(routed)
        return max(samples.times) if samples else routed.route.target_latency_s

    def usual_s(self, routed: RoutedRequest) -> float:
        """Return the usual seconds of a response that is no prompt's, 0 if unknown."""
        samples = self._samples.get((routed.service, routed.route.name))
        return samples.usual if samples and not routed.is_prompt else 0.0


def _tokens(routed: RoutedRequest) -> int:
    return max(1, routed.request.output_tokens)

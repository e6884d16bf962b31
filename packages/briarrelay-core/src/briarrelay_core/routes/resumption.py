"""Holds requests of callers after the process was suspended.

Meanwhile a key may have been revoked, or a server may have begun to shut down. Requests
wait until the topics of the store have been read again, but not for long, so that an
instance that is cut off from the store serves what it can.
"""

from attrs import define, evolve, field

from briarrelay_core.ports.directory import PollTopic, Topic
from briarrelay_core.ports.route import RouteRequest
from briarrelay_core.routes.follower import TopicFollower

__all__ = ["ResumptionGuard"]

CONFIRMED_TOPICS = (Topic.CONFIGURATION, Topic.SERVERS)

MAX_HOLD_S = 0.4
"""Longest time in seconds for which requests are held; the store responds within some
milliseconds."""


@define(slots=True, eq=False)
class ResumptionGuard:
    """Requests that wait until the data of the store is known to be current.

    :ivar _unconfirmed: topics that have not been read since the suspension.
    :ivar _held: requests by id, and the times of their arrival.
    """

    followers: dict[Topic, TopicFollower]
    _unconfirmed: set[Topic] = field(factory=set)
    _held: dict[int, tuple[RouteRequest, float]] = field(factory=dict)

    @property
    def is_active(self) -> bool:
        """Whether requests are held."""
        return bool(self._unconfirmed)

    def begin(self) -> list:
        """Hold requests from now on; return the reads that confirm the data."""
        effects = []
        for topic in CONFIRMED_TOPICS:
            follower = self.followers[topic]
            if follower.next_offset is not None:
                self._unconfirmed.add(topic)
                effects.append(
                    PollTopic(topic, follower.next_offset, follower.generation)
                )
        return effects

    def confirm(self, topic: Topic) -> None:
        """Record that a topic has been read since the suspension."""
        self._unconfirmed.discard(topic)

    def give_up(self) -> None:
        """Serve without confirmation, since the store does not respond."""
        self._unconfirmed.clear()

    def hold(self, request: RouteRequest, now: float) -> None:
        """Hold a request."""
        self._held[request.request_id] = (request, now)

    def discard(self, request_id: int) -> bool:
        """Drop a held request; return whether it was held."""
        return self._held.pop(request_id, None) is not None

    def pop_released(self, now: float) -> list[RouteRequest]:
        """Return the held requests if no topic is unconfirmed, and forget them.

        Their time limits are reduced by the time for which they were held.
        """
        if self._unconfirmed or not self._held:
            return []
        held, self._held = self._held, {}
        return [_shorten(request, now - at) for request, at in held.values()]


def _shorten(request: RouteRequest, held_s: float) -> RouteRequest:
    if request.time_limit_s is None:
        return request
    return evolve(request, time_limit_s=max(0.0, request.time_limit_s - held_s))

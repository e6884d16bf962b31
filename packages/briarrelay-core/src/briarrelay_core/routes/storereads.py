"""Shares the reads of the store that keep servers and configuration current.

One instance reads for all, and announces it with the position of the newest change
that it knows. The others read when that position is beyond theirs, and when the
announcements grow old.
"""

from attrs import define, field

from briarrelay_core.ports.directory import PollTopic, Topic
from briarrelay_core.ports.position import START, EraPosition
from briarrelay_core.routes.follower import TopicFollower
from briarrelay_core.routes.peers import PeerExchange
from briarrelay_core.routes.storeera import StoreEra

__all__ = ["StoreReads", "read_interval_s"]

READ_INTERVAL_FRACTION = 0.45
"""Interval between reads of the servers and of the configuration, as a fraction of the
time within which a change must be noticed; the rest is left for a slow response and for
the peers that learn of it from the reader. Each read is charged."""

MIN_READ_INTERVAL_S = 0.2
"""Shortest interval in seconds between these reads, whatever the settings ask for."""

COVERING_READ_S = 2.5
"""Seconds after a listing from which the response to a peer's read shows all that the
listing was too late for: the store takes 1.2 s to respond at most, and a digest may be
late as well."""

LONG_POLL_CHECK_S = {Topic.CONFIGURATION: 0.1, Topic.PRESETS: 4.0}
"""Seconds without a response of a topic after which a second read, which does not wait,
is sent beside its long poll. The responses to all long polls may be lost, which is
detected only when their wait is over. Only the instance whose turn it is to read the
servers sends this read, so it costs one call per deployment instead of one per
instance."""

CURRENT_TOPICS = (Topic.SERVERS, Topic.CONFIGURATION)
"""Topics that an instance has read when it announces a read to its peers."""


def read_interval_s(news_s: float, apply_s: float) -> float:
    """Return the seconds between reads of the servers and of the configuration.

    :param news_s: seconds within which a leaving server must get no new requests.
    :param apply_s: seconds within which an accepted configuration must be in force.
    """
    interval_s = READ_INTERVAL_FRACTION * min(news_s, apply_s)
    return max(MIN_READ_INTERVAL_S, interval_s)


@define(slots=True, eq=False)
class StoreReads:
    """Tells when this instance reads the store, checks its long polls and announces it.

    An instance does not know what changed before its first listing. It learns the
    newest such change from a peer that read the store after that listing, and leaves
    the reads to the others until then. If no other reads, it takes the end of the
    listing for a change, so that all read once.

    :param interval_s: seconds after which the newest read by any instance is too old.
    :ivar _polled_at: time of the last read beside a topic's long poll.
    :ivar _newest_change: position after the newest change since the first listing.
    :ivar _base: position after the newest change before it, or after all of them.
    :ivar _listed_at: time at which the first listing of the servers in this era of the
        store was complete, None before.
    :ivar _is_new: peers do not rely on the reads of this instance.
    """

    followers: dict[Topic, TopicFollower]
    peers: PeerExchange
    era: StoreEra
    interval_s: float
    _polled_at: dict[Topic, float] = field(factory=dict)
    _newest_change: EraPosition = START
    _base: EraPosition = START
    _listed_at: float | None = None
    _is_new: bool = True

    def __attrs_post_init__(self):
        self.followers[Topic.SERVERS].read_delay_s = self._read_delay_s

    def _read_delay_s(self, offset: int, now: float) -> float:
        self._learn_base(now)
        position = EraPosition(self.era.value, offset)
        return self.peers.directory_read_delay_s(
            position, self.interval_s, now, self._is_new
        )

    def on_new_era(self) -> None:
        """Start over, since offsets are unrelated to those of the earlier era."""
        self._is_new = True
        self._listed_at = None
        start = EraPosition(self.era.value, 0)
        self._newest_change = self._base = self.peers.directory = start

    def on_listed(self, end: int, now: float) -> None:
        """Record that a listing of the servers is complete.

        :param end: offset after the newest record at the time of the listing.
        """
        if self._listed_at is None:
            self._listed_at = now
            self._base = EraPosition(self.era.value, end)

    def record_change(self, offset: int) -> None:
        """Record a change of the servers.

        :param offset: offset after its record.
        """
        if self._listed_at is None:
            return  # a part of the first listing
        position = EraPosition(self.era.value, offset)
        self._newest_change = max(self._newest_change, position)
        if not self._is_new:
            self._publish_change()

    def _publish_change(self) -> None:
        self.peers.directory = max(self._base, self._newest_change)

    def _learn_base(self, now: float) -> None:
        """Learn from a peer what changed before the first listing."""
        if not self._is_new or self._listed_at is None:
            return
        since = self._listed_at + COVERING_READ_S
        position = self.peers.newest_change(self.era.value, since, now)
        if position is not None:
            self._is_new = False
            self._base = min(self._base, position)
            self._newest_change = max(self._newest_change, position)
            self._publish_change()

    def on_response(self, topic: Topic, now: float) -> list:
        """Handle a response of a topic: check the long polls, and announce the read."""
        if topic not in CURRENT_TOPICS:
            return []
        effects = self._check_long_polls(now) if topic is Topic.SERVERS else []
        return effects + self._announce(now)

    def _announce(self, now: float) -> list:
        """Announce a read of the store, so that peers can skip theirs.

        It is not announced until the configuration has been read as well: then peers
        read, since this instance may have missed a version.
        """
        at = min(self.followers[topic].current_at for topic in CURRENT_TOPICS)
        if now - at > self.interval_s / 2 or at <= self.peers.directory_at:
            return []
        if self._is_new and not self._may_announce(now):
            return []
        if self._is_new:
            self._is_new = False
            self._publish_change()
        return self.peers.on_directory_read(at, now)

    def _may_announce(self, now: float) -> bool:
        """Return whether a new instance has to read for its peers, as no other does.

        For an interval after the listing it may not have heard who does.
        """
        if self._listed_at is None or now - self._listed_at < self.interval_s:
            return False
        return self.peers.is_read_due(self.era.value, self.interval_s, now)

    def _check_long_polls(self, now: float) -> list:
        """Read beside the long polls if it is this instance's turn to read the store.

        A read of the servers after a change is made by all instances.
        """
        if not self.peers.is_read_due(self.era.value, self.interval_s, now):
            return []
        effects = []
        for topic, period_s in LONG_POLL_CHECK_S.items():
            follower = self.followers[topic]
            last = max(
                follower.last_response_at, self._polled_at.get(topic, float("-inf"))
            )
            if follower.next_offset is None or now - last < period_s:
                continue
            self._polled_at[topic] = now
            effects.append(PollTopic(topic, follower.next_offset, follower.generation))
        return effects

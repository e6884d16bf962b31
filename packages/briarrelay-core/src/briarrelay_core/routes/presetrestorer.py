"""Writes the presets in force again when the platform's store has older ones.

The store may return to a copy that lacks the latest change. The write is conditional on
the end of the topic, so of several instances and an operator only one succeeds.
"""

from collections.abc import Callable

from attrs import define

from briarrelay_core.ports.directory import PresetsReplaced, ReplacePresets
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.routes.admission import RouteAdmission
from briarrelay_core.routes.follower import TopicFollower
from briarrelay_core.routes.presets import PresetCollection
from briarrelay_core.routes.storeera import StoreEra
from briarrelay_core.timers import TimerService

__all__ = ["PresetRestorer"]

RANK_DELAY_S = 0.1
"""Delay in seconds per rank before an instance writes, so that the first one by name
usually writes alone."""

MAX_RANK = 20
"""Rank above which the delay no longer grows."""

RETRY_S = 1.0
"""Seconds until the next attempt after one without a response, or after a conflict."""


@define(slots=True, eq=False)
class PresetRestorer:
    """Compares the presets in the store with those in force.

    :param follower: follower of the presets topic.
    :param rank: returns the number of live peers whose names sort before this instance.
    :param stored: presets that the store had when it was last read.
    :ivar _is_scheduled: an attempt is scheduled or in progress.
    """

    admission: RouteAdmission
    follower: TopicFollower
    era: StoreEra
    timers: TimerService
    rank: Callable[[float], int]
    stored: PresetCollection | None = None
    _is_scheduled: bool = False

    def _is_needed(self) -> bool:
        """Return whether the store has been read and has older presets."""
        in_force = self.admission.preset_collection
        if not in_force.revision or self.follower.next_offset is None:
            return False
        return self.stored is None or self.stored.position < in_force.position

    def check(self, now: float) -> list:
        """Schedule a write if the store has older presets than those in force."""
        if not self._is_scheduled and self._is_needed():
            self._is_scheduled = True
            delay_s = RANK_DELAY_S * min(self.rank(now), MAX_RANK)
            self.timers.at(now + delay_s, self._replace)
        return []

    def _replace(self, now: float) -> list:
        if not self._is_needed():
            self._is_scheduled = False
            return []
        collection = self.admission.preset_collection.with_era(self.era.value)
        return [ReplacePresets(collection, self.follower.next_offset)]

    def on_replaced(self, message: PresetsReplaced, now: float) -> list:
        """Handle the response to a write; the topic shows whether another is needed."""
        if message.is_done:
            self._is_scheduled = False
            return [IncrementCounter("presets.restored")]
        self.timers.at(now + RETRY_S, self._replace)
        return []

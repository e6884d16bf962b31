"""Detects that the machine runs no process for some time, so that all respond late."""

import threading
import time

from attrs import define, field
from standins.fleet import Fleet

from soak.callers import Pause

__all__ = ["StallWatch"]

PERIOD_S = 0.05
"""Seconds between two looks at the clock."""

MIN_STALL_S = 1.0
"""Seconds between two looks from which the machine counts as stalled; a response may
come that much after its time limit in any case."""


@define(slots=True, eq=False)
class StallWatch:
    """A thread that looks at the clock until it is stopped.

    :ivar stalls: start and end of each stall.
    """

    stalls: list[tuple[float, float]] = field(factory=list)
    _is_stopping: bool = False
    _thread: threading.Thread | None = None

    def start(self) -> None:
        """Start to watch."""
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._is_stopping = True
        self._thread.join()

    def pauses(self, fleet: Fleet) -> list[Pause]:
        """Return a pause of each instance for each stall."""
        return [
            Pause(entry.name, start, end)
            for start, end in self.stalls
            for entry in fleet.instances
        ]

    def _watch(self) -> None:
        seen_at = time.monotonic()
        while not self._is_stopping:
            time.sleep(PERIOD_S)
            now = time.monotonic()
            if now - seen_at >= MIN_STALL_S:
                self.stalls.append((seen_at, now))
            seen_at = now

"""Losses that were taken for those of the links, until servers show what they were.

A server that registers with another start has ended; one that sends a response has not.
"""

from collections import deque

from attrs import define, field

from briarrelay_core.routes.strikes import Crash

__all__ = ["HeldLosses"]

MAX_HELD = 64
"""Losses that are held; the oldest is dropped first."""

HOLD_S = 5.0
"""Seconds for which a loss is held; a server that crashed is back by then."""


@define(slots=True, eq=False)
class HeldLosses:
    """Losses that do not count as strikes unless their servers restart."""

    _losses: deque[Crash] = field(factory=lambda: deque(maxlen=MAX_HELD))

    def hold(self, *losses: Crash) -> None:
        """Hold losses that could be of the links or of the servers."""
        self._losses.extend(losses)

    def pop_restarted(self, name: str, born: float, now: float) -> list[Crash]:
        """Return the held losses of a server's earlier starts, and drop them.

        :param born: its latest start.
        """
        found, kept = [], []
        for loss in self._losses:
            if now - loss.lost_at > HOLD_S:
                continue
            server, _, start = loss.server.rpartition("@")
            is_earlier = server == name and start != str(born)
            (found if is_earlier else kept).append(loss)
        self._losses = deque(kept, maxlen=MAX_HELD)
        return found

    def record_response(self, server: str) -> None:
        """Drop the losses of a server that lives on.

        :param server: its incarnation, ``name@born``.
        """
        if self._losses:
            kept = (loss for loss in self._losses if loss.server != server)
            self._losses = deque(kept, maxlen=MAX_HELD)

"""Cancels that are repeated until the engine confirms them."""

from attrs import define, field

from briarrelay_core.membership.membership import Membership
from briarrelay_core.memory.sweeper import ORPHAN_GRACE_S
from briarrelay_core.ports.engine import Cancelled, CancelRequest
from briarrelay_core.ports.platform import LifecycleState
from briarrelay_core.timers import TimerService

__all__ = ["CancelKeeper"]

FIRST_PAUSE_S = 1.0
"""Seconds before a cancel without an answer is repeated; doubles each time."""

MAX_PAUSE_S = 10.0
"""Longest pause between repeated cancels."""


@define(slots=True)
class CancelKeeper:
    """Frees what this instance's ended attempts hold in engines.

    A cancel is given up when the engine is gone, or well past the request's
    deadline, when the engine's allocator sweeps what is left.
    """

    timers: TimerService
    membership: Membership
    _pending: dict[tuple[str, str, int], float] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._pending)

    def cancel(
        self, engine: str, request_id: str, attempt: int, deadline: float, now: float
    ) -> list:
        """Cancel an attempt in an engine until that is confirmed."""
        key = (engine, request_id, attempt)
        if key in self._pending:
            return []
        self._pending[key] = deadline + 2 * ORPHAN_GRACE_S
        return self._send(key, FIRST_PAUSE_S, now)

    def _send(self, key: tuple[str, str, int], pause: float, now: float) -> list:
        give_up_at = self._pending.get(key)
        if give_up_at is None:
            return []
        if now > give_up_at or self._is_gone(key[0]):
            del self._pending[key]
            return []
        longer = min(MAX_PAUSE_S, pause * 2)
        self.timers.at(now + pause, lambda t: self._send(key, longer, t))
        return [CancelRequest(*key)]

    def _is_gone(self, engine: str) -> bool:
        member = self.membership.get(engine)
        return member is not None and member.state is LifecycleState.GONE

    def on_cancelled(self, message: Cancelled) -> None:
        """Take an engine's answer to a cancel."""
        if message.confirmed:
            key = (message.engine, message.request_id, message.attempt)
            self._pending.pop(key, None)

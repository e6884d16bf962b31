"""Cancel requests, repeated with back-off until the engine confirms them."""

from attrs import define, field

from briarrelay_core.membership.membership import Membership
from briarrelay_core.memory.sweeper import ORPHAN_GRACE_S
from briarrelay_core.ports.engine import Cancelled, CancelRequest
from briarrelay_core.ports.platform import LifecycleState
from briarrelay_core.timers import TimerService

__all__ = ["CancelRetrier"]

INITIAL_BACKOFF_S = 1.0
"""Seconds before an unconfirmed cancel is first repeated; doubles each time."""

MAX_BACKOFF_S = 10.0
"""Maximum seconds between repeated cancels."""


@define(slots=True)
class CancelRetrier:
    """Cancels this instance's ended attempts in engines.

    A cancel is no longer repeated once the engine is gone or twice ``ORPHAN_GRACE_S``
    have passed since the request's deadline. By then requests left in the engine are
    cancelled as orphans (see :mod:`briarrelay_core.memory.sweeper`).
    """

    timers: TimerService
    membership: Membership
    # Maps (engine, request id, attempt) to the time until which cancels are repeated.
    _pending: dict[tuple[str, str, int], float] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._pending)

    def cancel(
        self, engine: str, request_id: str, attempt: int, deadline: float, now: float
    ) -> list:
        """Send a cancel to an engine and repeat it until the engine confirms it.

        :param deadline: deadline of the request, in Unix seconds.
        """
        key = (engine, request_id, attempt)
        if key in self._pending:
            return []
        self._pending[key] = deadline + 2 * ORPHAN_GRACE_S
        return self._send(key, INITIAL_BACKOFF_S, now)

    def _send(self, key: tuple[str, str, int], backoff_s: float, now: float) -> list:
        give_up_at = self._pending.get(key)
        if give_up_at is None:
            return []
        if now > give_up_at or self._is_gone(key[0]):
            del self._pending[key]
            return []
        next_backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
        self.timers.at(now + backoff_s, lambda t: self._send(key, next_backoff_s, t))
        return [CancelRequest(*key)]

    def _is_gone(self, engine: str) -> bool:
        member = self.membership.get(engine)
        return member is not None and member.state is LifecycleState.GONE

    def on_cancelled(self, message: Cancelled) -> None:
        """Handle an engine's response to a cancel."""
        if message.confirmed:
            key = (message.engine, message.request_id, message.attempt)
            self._pending.pop(key, None)

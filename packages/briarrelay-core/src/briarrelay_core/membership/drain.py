"""Graceful stop: requests in progress finish and unsent records are not lost."""

from attrs import define

from briarrelay_core.agreement.calls import CallController
from briarrelay_core.context import Context
from briarrelay_core.membership.gossip import Gossip
from briarrelay_core.membership.rendezvous import ranked
from briarrelay_core.ports.control import DEFAULT_RECORD_WAIT_S, ExitProcess
from briarrelay_core.ports.peer import HandOver, HandOverTaken, SendToPeer
from briarrelay_core.ports.platform import LifecycleState
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.record.record import AUDIT_STREAM
from briarrelay_core.timers import Timer

__all__ = ["Drain"]

CHECK_PERIOD_S = 0.2
"""Seconds between checks for requests in progress and unsent records."""

HAND_OVER_DELAY_S = 2.0
"""Seconds for which the log must be down before records go to a peer."""

HAND_OVER_PERIOD_S = 2.0
"""Seconds between attempts to hand records over."""

MAX_HAND_OVER_RECORDS = 200
"""Maximum records in one message to a peer."""


@define(slots=True)
class Drain:
    """Waits for the requests in progress, flushes the outbox, then stops.

    :param record_wait_s: seconds for which it waits, after the last request, until the
        log or a peer has the records.
    :ivar _idle_since: time at which no request was left in progress.
    """

    context: Context
    calls: CallController
    gossip: Gossip
    record_wait_s: float = DEFAULT_RECORD_WAIT_S
    _idle_since: float | None = None
    _timer: Timer | None = None
    _last_hand_over_at: float = -HAND_OVER_PERIOD_S

    def start(self, now: float) -> list:
        """Begin the stop and broadcast it; does nothing if already draining."""
        if self.context.draining:
            return []
        self.context.draining = True
        identity = self.context.identity
        self.context.membership.observe(
            identity.name, identity.incarnation, LifecycleState.LEAVING, now
        )
        self._timer = self.context.timers.every(
            CHECK_PERIOD_S, self._check, now + CHECK_PERIOD_S
        )
        return [LogEvent("info", "drain_started"), *self.gossip.broadcast(now)]

    def _check(self, now: float) -> list:
        if self.context.chats or self.calls.calls:
            self._idle_since = None
            return []
        if self._idle_since is None:
            self._idle_since = now
        effects = []
        while (batch := self.context.recorder.pop_batch()) is not None:
            effects += self.context.outbox.add(AUDIT_STREAM, batch.to_json(), now)
        effects += self.context.outbox.flush(now)
        if not self.context.outbox.is_empty:
            if now - self._idle_since < self.record_wait_s:
                return effects + self._hand_over(now)
            effects += self._report_lost_records()
        self._timer.cancel()
        return [*effects, LogEvent("info", "drain_finished"), ExitProcess()]

    def _report_lost_records(self) -> list:
        """Log and count the records that neither the log nor a peer has."""
        effects = []
        for stream, queued in self.context.outbox.unacknowledged().items():
            count = len(queued.bodies)
            fields = (("stream", stream), ("records", str(count)))
            effects += [
                LogEvent("error", "records_lost", fields=fields),
                IncrementCounter(f"outbox.lost.{stream}", count),
            ]
        return effects

    def _hand_over(self, now: float) -> list:
        """Send unsent records to a peer if the log is down."""
        if not self.context.outbox.is_down(now, HAND_OVER_DELAY_S):
            return []
        if now - self._last_hand_over_at < HAND_OVER_PERIOD_S:
            return []
        self._last_hand_over_at = now
        peers = ranked(f"hand-over:{now:.0f}", self.context.entry_peers(now))
        if not peers:
            return []
        return [
            SendToPeer(
                peers[0],
                HandOver(stream, queued.bodies[:MAX_HAND_OVER_RECORDS], queued.first),
            )
            for stream, queued in self.context.outbox.unacknowledged().items()
        ]

    def on_hand_over(self, peer: str, message: HandOver, now: float) -> list:
        """Add the records of a stopping peer to the outbox, unless draining.

        Only records that the outbox has room for are acknowledged.
        """
        if self.context.draining:
            return []
        effects = []
        count = 0
        for body in message.bodies:
            if not self.context.outbox.may_take_over(message.stream, body):
                # those after it can not be acknowledged without it
                rest = len(message.bodies) - count
                is_known = self.context.outbox.queued_count(message.stream) > 0
                stream = message.stream if is_known else "unknown"
                effects.append(IncrementCounter(f"outbox.overflow.{stream}", rest))
                break
            count += 1
            effects += self.context.outbox.add(message.stream, body, now)
        taken = HandOverTaken(message.stream, count, message.first)
        return [*effects, SendToPeer(peer, taken)]

    def on_hand_over_taken(self, message: HandOverTaken, now: float) -> list:
        """Drop records from the outbox that a peer has taken over."""
        self.context.outbox.drop(message.stream, message.first, message.count, now)
        # Lets the next check hand over the remaining records without a delay.
        self._last_hand_over_at = -HAND_OVER_PERIOD_S
        return []

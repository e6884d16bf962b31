"""Graceful stop: refuses new callers and lets requests in progress finish."""

from attrs import define

from briarrelay_core.ports.control import CloseIdleConnections, ExitProcess
from briarrelay_core.ports.directory import PublishEntry
from briarrelay_core.ports.telemetry import LogEvent
from briarrelay_core.record.record import AUDIT_STREAM
from briarrelay_core.routes.controller import RequestController
from briarrelay_core.routes.peers import PeerExchange

__all__ = ["GracefulStop"]

BALANCER_DETECTION_S = 2.6
"""Seconds until the balancer has seen two failed readiness checks, which it makes once
a second. A balancer without another instance keeps sending requests; they are refused
after this time, so that the stop ends and the instance is soon back."""

KILL_MARGIN_S = 0.6
"""Seconds before the end of the grace time at which the process ends in any case."""


@define(slots=True, eq=False)
class GracefulStop:
    """Decides when a process that was asked to stop may end.

    :param append_record: appends the audit record so far to the outbox.
    :param grace_s: seconds from the signal until the process is killed.
    """

    controller: RequestController
    peers: PeerExchange
    outbox: object
    append_record: object
    grace_s: float
    began_at: float | None = None
    _is_over: bool = False

    @property
    def is_begun(self) -> bool:
        """Whether the process was asked to stop."""
        return self.began_at is not None

    def begin(self, now: float) -> list:
        """Begin the stop; further requests to stop have no effect."""
        if self.is_begun:
            return []
        self.began_at = now
        self._announce_end()
        fields = (("in_progress", str(len(self.controller.requests))),)
        return [LogEvent("info", "stopping", fields=fields)]

    @property
    def _ends_at(self) -> float:
        """Time at which the process ends in any case."""
        return self.began_at + self.grace_s - KILL_MARGIN_S

    def _announce_end(self) -> None:
        """Let requests be refused that can not be complete by the end."""
        self.controller.admission.ends_at = self._ends_at

    def check(self, now: float) -> list:
        """Return the effects that are due, the last of which ends the process."""
        if not self.is_begun or self._is_over:
            return []
        self._announce_end()  # the grace time may have changed
        elapsed = now - self.began_at
        effects = []
        if elapsed >= BALANCER_DETECTION_S and not self.controller.admission.is_closing:
            self.controller.admission.is_closing = True
            effects.append(CloseIdleConnections())
        idle = self.controller.admission.is_closing and not self.controller.requests
        if not idle and now < self._ends_at:
            return effects
        self._is_over = True
        self.controller.admission.is_closing = True
        fields = (
            ("after_s", f"{elapsed:.2f}"),
            ("in_progress", str(len(self.controller.requests))),
            ("record_waiting", str(self.outbox.queued_count(AUDIT_STREAM))),
        )
        effects += self.controller.answer_unbegun(now)
        effects += self.append_record(now) + self.outbox.flush(now)
        effects.append(PublishEntry(self.peers.address, False))
        effects.append(LogEvent("info", "stop_due", fields=fields))
        return [*effects, ExitProcess()]

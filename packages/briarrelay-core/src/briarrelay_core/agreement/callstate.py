"""State of one call to a plain service."""

from base64 import b64decode
from enum import StrEnum

from attrs import define, field

from briarrelay_core.agreement.claims import KeyPhase, KeyState
from briarrelay_core.outcomes import Done, NotRun, Outcome, Unknown
from briarrelay_core.ports.caller import ServiceRequest
from briarrelay_core.reasons import RefusalReason
from briarrelay_core.timers import Timer

__all__ = ["Call", "CallPhase", "settled"]


class CallPhase(StrEnum):
    """Where a call is."""

    CLAIMING = "claiming"
    WAITING = "waiting"
    SENT = "sent"
    DETACHED = "detached"
    DONE = "done"


@define(slots=True, eq=False)
class Call:
    """A call in progress.

    :param key: workspace and idempotency key, empty for a call without one.
    :param claim_id: this instance's claim, empty if it made none.
    """

    request: ServiceRequest
    workspace: str
    repeatable: bool
    arrived: float
    key: str = ""
    claim_id: str = ""
    phase: CallPhase = CallPhase.CLAIMING
    sends: int = 0
    tried: set[str] = field(factory=set)
    instance: str = ""
    gone_checks: int = 0
    why: list[str] = field(factory=list)
    timers: list[Timer] = field(factory=list)

    @property
    def id(self) -> str:
        """Id of the request."""
        return self.request.request_id

    @property
    def scope(self) -> str:
        """How far a refusal reaches when the call was claimed and never sent."""
        return "key" if self.key else "request"

    def cancel_timers(self) -> None:
        """Cancel every timer of the call."""
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()


def settled(state: KeyState) -> Outcome | None:
    """Return the answer that the log holds for a key, None if there is none yet."""
    if state.phase is KeyPhase.DONE:
        return Done(state.status, b64decode(state.body))
    if state.phase is KeyPhase.VOIDED:
        return NotRun(RefusalReason.CLAIM_VOIDED, 1.0, scope="key")
    if state.phase is KeyPhase.UNKNOWN:
        return Unknown("the call was sent and not answered.")
    return None

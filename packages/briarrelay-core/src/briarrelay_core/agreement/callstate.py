"""State of one call to a plain service."""

from base64 import b64decode
from enum import StrEnum

from attrs import define, field

from briarrelay_core.agreement.claims import KeyPhase, KeyState
from briarrelay_core.outcomes import Done, NotRun, Outcome, Unknown
from briarrelay_core.ports.caller import ServiceRequest
from briarrelay_core.reasons import RefusalReason
from briarrelay_core.timers import Timer

__all__ = ["Call", "CallPhase", "recorded_outcome"]


class CallPhase(StrEnum):
    """Progress of a call.

    A CLAIMING call waits until its own claim is read back from the log, a WAITING call
    for the outcome of another claim of its key. A DETACHED call was sent and its caller
    has been answered, but its outcome may still be recorded in the log.
    """

    CLAIMING = "claiming"
    WAITING = "waiting"
    SENT = "sent"
    DETACHED = "detached"
    DONE = "done"


@define(slots=True, eq=False)
class Call:
    """A call in progress.

    :param key: workspace and idempotency key, empty for a call that needs no claim.
    :param claim_id: this instance's claim of the key, empty if it made none.
    :param attempts: number of times that the call was sent.
    :param instance: instance that the call was last sent to.
    :param may_have_run: an instance received the call and did not answer.
    :param claimant_gone_checks: consecutive checks that found the claimant gone.
    :param why: steps of the call's progress, for its explanation.
    """

    request: ServiceRequest
    workspace: str
    repeatable: bool
    arrived_at: float
    key: str = ""
    claim_id: str = ""
    phase: CallPhase = CallPhase.CLAIMING
    attempts: int = 0
    tried_instances: set[str] = field(factory=set)
    instance: str = ""
    may_have_run: bool = False
    claimant_gone_checks: int = 0
    why: list[str] = field(factory=list)
    timers: list[Timer] = field(factory=list)

    @property
    def id(self) -> str:
        """Id of the request."""
        return self.request.request_id

    @property
    def scope(self) -> str:
        """Scope of a refusal if the call was never sent; see `NotRun`."""
        return "key" if self.key else "request"

    def cancel_timers(self) -> None:
        """Cancel every timer of the call."""
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()


def recorded_outcome(state: KeyState) -> Outcome | None:
    """Return the outcome that the log holds for a key, None if there is none yet."""
    if state.phase is KeyPhase.DONE:
        return Done(state.status, b64decode(state.body))
    if state.phase is KeyPhase.VOIDED:
        return NotRun(RefusalReason.CLAIM_VOIDED, 1.0, scope="key")
    if state.phase is KeyPhase.UNKNOWN:
        return Unknown("the call was sent and not answered.")
    return None

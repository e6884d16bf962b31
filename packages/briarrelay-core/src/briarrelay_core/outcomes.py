"""Outcomes of requests, as tagged dataclasses."""

from dataclasses import dataclass

from briarrelay_core.reasons import FailureReason, RefusalReason

__all__ = ["Done", "Failed", "NotRun", "Outcome", "Unknown"]


@dataclass(frozen=True, slots=True)
class Done:
    """The request ran and its whole answer is known."""

    status: int = 200
    body: bytes = b""
    tag: str = "done"


@dataclass(frozen=True, slots=True)
class NotRun:
    """Nothing was, or ever will be, run for the request.

    :param reason: why it was refused.
    :param scope: ``request`` if that is known of this request alone, ``key`` if
        nothing ever runs under its idempotency key, whoever sends it.
    :param retry_after: seconds after which a new try may succeed, 0 for never.
    :param detail: what was given, for the caller.
    """

    reason: RefusalReason
    retry_after: float = 0.0
    detail: str = ""
    scope: str = "request"
    tag: str = "not_run"

    @property
    def message(self) -> str:
        """One line that says what was given and what to do."""
        detail = f"{self.detail} " if self.detail else ""
        return f"{self.reason.value}: {detail}{self.reason.remedy}"


@dataclass(frozen=True, slots=True)
class Failed:
    """An admitted request ended without its whole answer."""

    reason: FailureReason
    detail: str = ""
    tag: str = "failed"


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request was sent, or its claimant is gone; it may or may not have run.

    :param reason: a refusal reason if this request was refused, else empty.
    """

    detail: str = ""
    reason: str = ""
    tag: str = "unknown"


Outcome = Done | NotRun | Failed | Unknown

"""Outcomes of requests, as tagged dataclasses."""

from dataclasses import dataclass

from briarrelay_core.reasons import FailureReason, RefusalReason

__all__ = ["Done", "Failed", "NotRun", "Outcome", "Unknown"]


@dataclass(frozen=True, slots=True)
class Done:
    """The request ran and its response is complete."""

    status: int = 200
    body: bytes = b""
    tag: str = "done"


@dataclass(frozen=True, slots=True)
class NotRun:
    """No part of the request was executed, or ever will be.

    :param reason: why it was refused.
    :param retry_after: seconds after which a retry may succeed, 0 for never.
    :param detail: the invalid value or the cause, for the caller.
    :param scope: ``request`` if this holds for this request alone, ``key`` if no
        request with its idempotency key is ever executed, whoever sends it.
    """

    reason: RefusalReason
    retry_after: float = 0.0
    detail: str = ""
    scope: str = "request"
    tag: str = "not_run"

    @property
    def message(self) -> str:
        """Reason, detail and remedy as one line for the caller."""
        detail = f"{self.detail} " if self.detail else ""
        return f"{self.reason.value}: {detail}{self.reason.remedy}"


@dataclass(frozen=True, slots=True)
class Failed:
    """An admitted request ended without a complete response."""

    reason: FailureReason
    detail: str = ""
    tag: str = "failed"


@dataclass(frozen=True, slots=True)
class Unknown:
    """It is unknown whether the request was executed.

    Either the request was sent and got no response, or the instance that claimed its
    idempotency key is gone.

    :param reason: value of a refusal reason if this request was refused, else empty.
    """

    detail: str = ""
    reason: str = ""
    tag: str = "unknown"


Outcome = Done | NotRun | Failed | Unknown

"""Messages between the core and plain services."""

from attrs import field, frozen

__all__ = ["CallService", "ServiceLost", "ServiceResponse"]


@frozen(slots=True)
class CallService:
    """Effect: call a plain service."""

    instance: str
    call_id: str
    path: str
    body: bytes = field(repr=False)
    idempotency_key: str = ""
    deadline: float = 0.0


@frozen(slots=True)
class ServiceResponse:
    """Complete response of a plain service."""

    call_id: str
    status: int
    body: bytes


@frozen(slots=True)
class ServiceLost:
    """A call ended without a complete response.

    :param sent: False if no byte of the call was sent.
    """

    call_id: str
    sent: bool

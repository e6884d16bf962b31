"""Messages between the core and plain services."""

from attrs import field, frozen

__all__ = ["CallService", "ServiceAnswer", "ServiceLost"]


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
class ServiceAnswer:
    """The whole answer of a plain service."""

    call_id: str
    status: int
    body: bytes


@frozen(slots=True)
class ServiceLost:
    """The call got no whole answer.

    :param sent: False if no byte of the call left this process.
    """

    call_id: str
    sent: bool

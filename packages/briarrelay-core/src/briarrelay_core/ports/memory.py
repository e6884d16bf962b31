"""Messages between the core and engines about memory reservations for prompts."""

from attrs import frozen

__all__ = ["Release", "ReleaseResponse", "Reserve", "ReserveResponse"]


@frozen(slots=True, kw_only=True)
class Reserve:
    """Effect: reserve memory, or renew the reservation that has the same id.

    :param tokens: memory to reserve, in tokens.
    :param hold_s: seconds after which the engine frees the memory unless it is renewed.
    """

    reservation_id: str
    host: str
    port: int
    tokens: int
    hold_s: float


@frozen(slots=True)
class ReserveResponse:
    """Response to Reserve.

    :param is_granted: None if there was no response; the engine may still make the
        reservation later.
    """

    reservation_id: str
    is_granted: bool | None


@frozen(slots=True, kw_only=True)
class Release:
    """Effect: free the memory of a reservation."""

    reservation_id: str
    host: str
    port: int


@frozen(slots=True)
class ReleaseResponse:
    """Response to Release.

    :param is_done: False if there was no response.
    """

    reservation_id: str
    is_done: bool

"""Messages between the core and engines about memory set aside for a prompt."""

from attrs import frozen

__all__ = ["Release", "ReleaseAnswered", "Reserve", "ReserveAnswered"]


@frozen(slots=True, kw_only=True)
class Reserve:
    """Effect: set memory aside, or renew what is set aside under the same id.

    :param hold_s: seconds from its arrival until the memory is free again.
    """

    reservation_id: str
    host: str
    port: int
    tokens: int
    hold_s: float


@frozen(slots=True)
class ReserveAnswered:
    """Answer to Reserve.

    :param is_granted: None if there was no answer; the engine may carry the order out
        at a later time.
    """

    reservation_id: str
    is_granted: bool | None


@frozen(slots=True, kw_only=True)
class Release:
    """Effect: free what is set aside under an id."""

    reservation_id: str
    host: str
    port: int


@frozen(slots=True)
class ReleaseAnswered:
    """Answer to Release.

    :param is_done: False if there was no answer.
    """

    reservation_id: str
    is_done: bool

"""Finds requests in an engine whose owner will never free them."""

from collections.abc import Callable, Iterable

from briarrelay_core.ports.engine import CancelRequest, Resident

__all__ = ["GRACE_S", "orphans"]

GRACE_S = 2.0
"""Seconds past the deadline after which anyone may cancel a request."""


def orphans(
    engine: str,
    residents: Iterable[Resident],
    is_gone: Callable[[str, int], bool],
    now: float,
) -> list[CancelRequest]:
    """Return the cancels for residents that nobody owns.

    :param is_gone: tells of an owner's name and incarnation whether it has ended.
    """
    return [
        CancelRequest(engine, resident.request_id, resident.attempt)
        for resident in residents
        if now > resident.deadline + GRACE_S
        or is_gone(resident.owner, resident.incarnation)
    ]

"""Finds orphaned requests: those whose owner will not remove them from an engine."""

from collections.abc import Callable, Iterable

from briarrelay_core.ports.engine import CancelRequest, Resident

__all__ = ["ORPHAN_GRACE_S", "orphan_cancels"]

ORPHAN_GRACE_S = 2.0
"""Seconds past a request's deadline after which any instance may cancel it."""


def orphan_cancels(
    engine: str,
    residents: Iterable[Resident],
    is_gone: Callable[[str, int], bool],
    now: float,
) -> list[CancelRequest]:
    """Return cancel requests for the residents of an engine that are orphaned.

    :param is_gone: called with an owner's name and incarnation; returns whether that
        incarnation has ended.
    """
    return [
        CancelRequest(engine, resident.request_id, resident.attempt)
        for resident in residents
        if now > resident.deadline + ORPHAN_GRACE_S
        or is_gone(resident.owner, resident.incarnation)
    ]

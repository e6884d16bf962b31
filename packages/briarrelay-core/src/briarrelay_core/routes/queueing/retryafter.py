"""Spreads the times at which refused callers return over the time with room for them.

Answers callers who were refused at the same moment: if all of them returned together,
most would be refused again.
"""

__all__ = ["MAX_USEFUL_FRACTION", "spread_return_s"]

MAX_USEFUL_FRACTION = 1.0 / 3.0
"""Fraction of the time left to its deadline after which a caller does not return."""


def spread_return_s(room_in_s: float, left_s: float, share: float) -> float:
    """Return the seconds after which a refused caller may return.

    Callers return after there is room, within as long a time again, which is how long
    the servers take to serve as many requests as they have ahead. The time is spread
    only as far as callers return; none returns before there is room.

    :param room_in_s: seconds until there is room.
    :param left_s: seconds until the caller's deadline.
    :param share: in [0, 1), different for each request.
    """
    latest_s = min(2.0 * room_in_s, MAX_USEFUL_FRACTION * left_s)
    return room_in_s + share * max(0.0, latest_s - room_in_s)

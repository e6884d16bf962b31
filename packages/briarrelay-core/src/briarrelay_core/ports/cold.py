"""Reports of cold backend servers in digests."""

from attrs import frozen

__all__ = ["MAX_COLD_REPORTS", "MAX_COLD_S", "ColdReport"]

MAX_COLD_REPORTS = 24
"""Most cold servers that a digest reports."""

MAX_COLD_S = 3_600.0
"""Longest time in seconds for which a server may be cold."""


@frozen(slots=True, kw_only=True)
class ColdReport:
    """A backend server is cold.

    :param born: start of the server, in Unix seconds.
    :param remaining_s: seconds until it is no longer cold.
    :param since_age_s: seconds since the instances' turns are counted.
    """

    server: str
    born: float
    remaining_s: float
    since_age_s: float

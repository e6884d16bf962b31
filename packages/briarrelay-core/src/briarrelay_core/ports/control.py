"""Messages between the core and the process that hosts it."""

from attrs import frozen

from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.routes.budget import RetryLimits

__all__ = [
    "DEFAULT_RECORD_WAIT_S",
    "CloseIdleConnections",
    "DrainRequested",
    "ExitProcess",
    "ProcessResumed",
    "RouteSettingsChanged",
]

DEFAULT_RECORD_WAIT_S = 60.0
"""Seconds for which a planned stop waits, after the last request, until the log or a
peer has the records."""


@frozen(slots=True)
class DrainRequested:
    """The process was asked to stop gracefully."""


@frozen(slots=True)
class ExitProcess:
    """Effect: end the process; no request is in progress any more."""


@frozen(slots=True)
class ProcessResumed:
    """The process was suspended for some time, so that its state may be stale.

    :param suspended_s: seconds for which the process did not run.
    """

    suspended_s: float


@frozen(slots=True)
class CloseIdleConnections:
    """Effect: close idle connections of callers."""


@frozen(slots=True, kw_only=True)
class RouteSettingsChanged:
    """Changed settings were loaded.

    :param repeats: limits on retries.
    :param grace_s: seconds from the stop signal until the process is killed.
    :param seeds: configured addresses of peers.
    """

    repeats: RetryLimits
    grace_s: float
    seeds: tuple[PeerAddress, ...]

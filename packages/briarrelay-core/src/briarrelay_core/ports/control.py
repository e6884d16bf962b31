"""Messages between the core and the process it runs in."""

from attrs import frozen

from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.routes.budget import RepeatLimits

__all__ = [
    "CloseIdle",
    "DrainRequested",
    "RouteLimitsChanged",
    "Stopped",
    "WokeUp",
]


@frozen(slots=True)
class DrainRequested:
    """The process was asked to stop."""


@frozen(slots=True)
class Stopped:
    """Effect: nothing is in progress any more, the process may end."""


@frozen(slots=True)
class WokeUp:
    """The instance stood still for some seconds; what it believes may be old."""

    stood_s: float


@frozen(slots=True)
class CloseIdle:
    """Effect: close the callers' connections that carry no request."""


@frozen(slots=True, kw_only=True)
class RouteLimitsChanged:
    """New settings are in force.

    :param grace_s: seconds that a planned stop may take.
    :param seeds: addresses of peers.
    """

    repeats: RepeatLimits
    grace_s: float
    seeds: tuple[PeerAddress, ...]

"""Messages between the core and the process it runs in."""

from attrs import frozen

__all__ = ["CloseIdle", "DrainRequested", "Stopped", "WokeUp"]


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

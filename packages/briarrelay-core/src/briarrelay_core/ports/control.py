"""Messages between the core and the process it runs in."""

from attrs import frozen

__all__ = ["DrainRequested", "Stopped"]


@frozen(slots=True)
class DrainRequested:
    """The process was asked to stop."""


@frozen(slots=True)
class Stopped:
    """Effect: nothing is in progress any more, the process may end."""

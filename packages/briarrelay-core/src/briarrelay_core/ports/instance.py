"""Interface between the core of an instance and the process that hosts it."""

from typing import Protocol

__all__ = ["Instance"]


class Instance(Protocol):
    """State machine without I/O, driven by its host process.

    Methods take the current time and return effects for the host to perform.
    """

    @property
    def next_due(self) -> float | None:
        """Time at which to call :meth:`run_timers` next, in seconds; None for never."""

    def start(self, now: float) -> list:
        """Start the instance; return the first effects."""

    def handle(self, message, now: float) -> list:
        """Process a message from an outside system; return effects to perform."""

    def run_timers(self, now: float) -> list:
        """Run the timers that are due; return effects to perform."""

"""The seam between an instance's decisions and the process that it runs in."""

from typing import Protocol

__all__ = ["Instance"]


class Instance(Protocol):
    """Takes messages and the time, returns effects to carry out."""

    @property
    def next_due(self) -> float | None:
        """Time at which timers are to be run, in seconds."""

    def start(self, now: float) -> list:
        """Begin to work; return the first effects."""

    def handle(self, message, now: float) -> list:
        """Take a message from outside; return effects to carry out."""

    def run_timers(self, now: float) -> list:
        """Run the timers that are due; return effects to carry out."""

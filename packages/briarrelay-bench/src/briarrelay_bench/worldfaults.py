"""Faults that tests set on the world's log and plain services."""

from enum import Enum

__all__ = ["LATE_S", "LogFault", "ServiceFault"]

LATE_S = 4.0
"""Seconds after which an append lands whose answer is lost."""


class LogFault(Enum):
    """What is wrong with the log."""

    NONE = "none"
    DOWN = "down"
    LOSE_ANSWERS = "lose answers"
    LATE = "late"


class ServiceFault(Enum):
    """What is wrong with plain services."""

    NONE = "none"
    REFUSE = "refuse"
    LOSE_ANSWERS = "lose answers"

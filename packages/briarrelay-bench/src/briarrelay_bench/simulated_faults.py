"""Faults that tests inject into the simulated log and plain services."""

from enum import Enum

__all__ = ["LATE_APPEND_S", "LogFault", "ServiceFault"]

LATE_APPEND_S = 4.0
"""Delay of an append under `LogFault.LATE`, in seconds; its response is lost."""


class LogFault(Enum):
    """Fault of the log.

    ``DOWN`` fails reads and appends, ``LOSE_ANSWERS`` appends without a response, and
    ``LATE`` appends after a delay, without a response.
    """

    NONE = "none"
    DOWN = "down"
    LOSE_ANSWERS = "lose answers"
    LATE = "late"


class ServiceFault(Enum):
    """Fault of the plain services.

    ``REFUSE`` fails calls before they run, ``LOSE_ANSWERS`` runs them without a
    response.
    """

    NONE = "none"
    REFUSE = "refuse"
    LOSE_ANSWERS = "lose answers"

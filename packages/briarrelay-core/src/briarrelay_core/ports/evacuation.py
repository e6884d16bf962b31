"""Requests of operators that a data centre's servers get nothing new."""

from attrs import frozen

from briarrelay_core.ports.position import EraPosition

__all__ = ["MAX_EVACUATION_REPORTS", "Evacuation", "EvacuationReport"]

MAX_EVACUATION_REPORTS = 32
"""Most data centres whose evacuation a digest reports."""


@frozen(slots=True)
class Evacuation:
    """A record in the operators' topic.

    :param is_asked: False if the request is taken back.
    """

    data_centre: str
    is_asked: bool


@frozen(slots=True)
class EvacuationReport:
    """What an instance knows of the evacuation of a data centre.

    :param position: after the record that it knows this from.
    """

    data_centre: str
    is_asked: bool
    position: EraPosition

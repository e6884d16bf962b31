"""Judges by the time of a first event whether a server held a beginning."""

from enum import Enum

__all__ = ["Judgement", "judge"]

MIN_SAVED_S = 0.06
"""Seconds of saved reading from which its effect can be told from the spread of first
events, which is about one pass."""

CONFIRMED_FRACTION = 0.5
"""Fraction of the saving by which a first event may be late if it confirms it."""


class Judgement(Enum):
    """Whether what a server was believed to hold was there."""

    CONFIRMED = "confirmed"
    REFUTED = "refuted"
    UNCERTAIN = "uncertain"


def judge(expected_s: float, saved_s: float, taken_s: float) -> Judgement:
    """Judge a belief by the time that the first event took.

    :param expected_s: seconds that it was expected to take, with the saving.
    :param saved_s: seconds that were expected to be saved.
    """
    if saved_s < MIN_SAVED_S:
        return Judgement.UNCERTAIN
    if taken_s >= expected_s + saved_s:
        return Judgement.REFUTED
    if taken_s <= expected_s + CONFIRMED_FRACTION * saved_s:
        return Judgement.CONFIRMED
    return Judgement.UNCERTAIN

"""Judges by the time of a first event whether a server held a beginning."""

from enum import Enum

__all__ = ["Judgement", "judge"]

MIN_SAVED_S = 0.06
"""Seconds of saved reading from which its effect shows; first events vary by about one
pass."""

CONFIRMED_FRACTION = 0.5
"""Fraction of the saving by which a first event may be late if it confirms it."""


class Judgement(Enum):
    """Whether what a server was believed to hold was there."""

    CONFIRMED = "confirmed"
    REFUTED = "refuted"
    UNCERTAIN = "uncertain"


def judge(unheld_s: float, held_s: float, taken_s: float) -> Judgement:
    """Judge a belief by the time that the first event took.

    :param unheld_s: seconds that it takes if the server holds nothing.
    :param held_s: seconds of reading that are saved if it holds the beginning.
    """
    if held_s < MIN_SAVED_S:
        return Judgement.UNCERTAIN
    if taken_s >= unheld_s:
        return Judgement.REFUTED
    if taken_s <= unheld_s - CONFIRMED_FRACTION * held_s:
        return Judgement.CONFIRMED
    return Judgement.UNCERTAIN

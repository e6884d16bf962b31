"""Positions in the platform's store, which may return to an earlier copy of itself."""

from functools import total_ordering

from attrs import frozen

__all__ = ["START", "EraPosition"]


@total_ordering
@frozen(slots=True)
class EraPosition:
    """A number that holds within one era of the store.

    The store's era rises each time it returns to a copy; offsets then start again from
    the end of that copy. Positions are compared by era first.

    :param number: offset in a topic, or revision of the presets.
    """

    era: int = 0
    number: int = 0

    def __lt__(self, other: "EraPosition") -> bool:
        if not isinstance(other, EraPosition):
            return NotImplemented
        return (self.era, self.number) < (other.era, other.number)


START = EraPosition()

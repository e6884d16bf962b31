"""Positions in the platform's store, which may return to an earlier copy of itself."""

from attrs import field, frozen, validators

__all__ = ["START", "EraPosition"]


@frozen(slots=True, order=True)
class EraPosition:
    """A number that holds within one era of the store.

    The store's era rises each time it returns to a copy; offsets then start again from
    the end of that copy. Positions are compared by era first.

    :param number: offset in a topic, or revision of the presets.
    """

    era: int = field(default=0, validator=validators.ge(0))
    number: int = 0


START = EraPosition()

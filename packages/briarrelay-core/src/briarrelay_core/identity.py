"""Who this process is."""

from attrs import frozen

__all__ = ["Identity"]


@frozen(slots=True)
class Identity:
    """Name, start and place of an entry instance.

    :param incarnation: rises each time a process starts under the name.
    """

    name: str
    incarnation: int
    data_centre: str

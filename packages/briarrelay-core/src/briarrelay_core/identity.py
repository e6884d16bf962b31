"""Identity of this process."""

from attrs import frozen

__all__ = ["Identity"]


@frozen(slots=True)
class Identity:
    """Name, incarnation and data centre of an entry instance.

    :param incarnation: increases each time a process starts under the name.
    """

    name: str
    incarnation: int
    data_centre: str

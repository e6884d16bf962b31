"""What an instance can relay, from its settings, and what of it is left."""

from math import isfinite

from attrs import frozen

__all__ = ["PeerRoom", "RelayLimits"]


@frozen(slots=True, kw_only=True)
class RelayLimits:
    """What an instance has for relaying; None for what its settings do not name.

    :param cores: processor in cores of the speed on which unit costs were measured.
    :param link_bytes_per_s: rate of its link, in each direction.
    :param invalid: names of settings that were dropped, since they are no amounts.
    """

    cores: float | None = None
    link_bytes_per_s: float | None = None
    memory_bytes: int | None = None
    invalid: tuple[str, ...] = ()

    @property
    def is_known(self) -> bool:
        """Whether processor and link are known; without them nothing is handed on."""
        return self.cores is not None and self.link_bytes_per_s is not None


@frozen(slots=True)
class PeerRoom:
    """What an instance may still be given by peers, for a digest.

    :param requests_per_s: requests a second, 0 if it is above its mark.
    :param bytes_per_s: bytes a second of bodies and responses.
    """

    requests_per_s: float
    bytes_per_s: float

    @property
    def is_none(self) -> bool:
        """Whether it may be given nothing, since it is overloaded."""
        return self.requests_per_s == 0

    def __attrs_post_init__(self):
        for value in (self.requests_per_s, self.bytes_per_s):
            is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
            if not is_number or not isfinite(value) or value < 0:
                raise ValueError("room is not an amount")

"""Delay of a stream's events by lost packets, which the sender sends again.

A connection delivers in order, so events behind a lost one wait for it too.
"""

from random import Random

from attrs import define, field

__all__ = ["LossyStreams"]

RETRANSMIT_S = 0.2
"""Seconds after which a lost packet is sent again; the minimum of common systems."""


@define(slots=True, eq=False)
class LossyStreams:
    """Delays of events on connections that lose packets.

    :param loss: fraction of packets lost.
    :ivar _free_at: by connection, the time before which it delivers nothing more.
    """

    loss: float
    random: Random
    _free_at: dict[object, float] = field(factory=dict)

    def arrival_at(self, connection: object, at: float) -> float:
        """Return when an event arrives that would arrive at a time without loss."""
        if not self.loss:
            return at
        lost_s = RETRANSMIT_S if self.random.random() < self.loss else 0.0
        arrival = max(at + lost_s, self._free_at.get(connection, at))
        self._free_at[connection] = arrival
        return arrival

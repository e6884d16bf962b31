"""Simulation of route instances of different size, whose processors take time."""

from functools import partial

from attrs import evolve

from briarrelay_core.ports.digest import SendDigest
from briarrelay_core.ports.room import RelayLimits
from briarrelay_core.ports.route import (
    DelegateRequest,
    ForwardRequest,
    ResponseEvent,
    RouteRequest,
)
from briarrelay_core.routes.cooperation.capacity import RelayCapacity
from briarrelay_core.routes.cooperation.overload import OverloadRelief
from properties.cutworld import CutWorld

ARRIVAL_S = 0.0002
"""Processor seconds on one core to admit a request."""

SEND_S = 0.0015
"""Processor seconds on one core to place a request and send it to a server."""

HAND_ON_S = 0.0001
"""Processor seconds on one core to send a request to a peer."""

EVENT_S = 0.00007
"""Processor seconds on one core to relay an event."""


class UnevenWorld(CutWorld):
    """Drives instances of which each handles one message after another.

    :param cores: processor of each instance, in cores.
    :param is_relieved: whether the settings name what the instances can relay.
    :ivar without_room: instances whose digests lack the field, as of an older build.
    :ivar named: instances whose digests named their room.
    :ivar mute: instances whose digests are lost.
    """

    def __init__(self, cores: list[float], is_relieved: bool = True, **options):
        self.cores = cores
        self.without_room: set[int] = set()
        self.mute: set[int] = set()
        self.named: set[int] = set()
        self.busy_until = [0.0] * len(cores)
        super().__init__(len(cores), 12, **options)
        if is_relieved:
            for n, amount in enumerate(cores):
                self.set_limits(n, RelayLimits(cores=amount, link_bytes_per_s=1.25e7))

    def set_limits(self, n: int, limits: RelayLimits) -> None:
        """Set what the settings of an instance say that it can relay."""
        instance = self.instances[n]
        capacity = RelayCapacity(limits)
        instance.capacity = instance.peers.capacity = capacity
        relief = OverloadRelief(
            capacity, instance.identity.data_centre, instance.peers.rooms
        )
        instance.controller.delegation.relief = relief

    def deliver(self, n: int, message) -> None:
        """Deliver a message once the instance has handled those before it."""
        if isinstance(message, (RouteRequest, ResponseEvent)):
            cost_s = ARRIVAL_S if isinstance(message, RouteRequest) else EVENT_S
            self._spend(n, cost_s)
        wait_s = self.busy_until[n] - self.now
        if wait_s <= 1e-9:
            super().deliver(n, message)
            return
        self.instances[n].capacity.record_delay(wait_s)
        self.schedule(wait_s, partial(super().deliver, n, message))

    def run_effects(self, n: int, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, ForwardRequest):
                self._spend(n, SEND_S)
            elif isinstance(effect, DelegateRequest):
                self._spend(n, HAND_ON_S)
        super().run_effects(n, effects)

    def _spend(self, n: int, seconds: float) -> None:
        started = max(self.now, self.busy_until[n])
        self.busy_until[n] = started + seconds / self.cores[n]

    def _deliver_digest(self, n: int, effect: SendDigest) -> None:
        if effect.digest.room is not None:
            self.named.add(n)
        if n in self.mute:
            return
        if n in self.without_room:
            effect = evolve(effect, digest=evolve(effect.digest, room=None))
        super()._deliver_digest(n, effect)

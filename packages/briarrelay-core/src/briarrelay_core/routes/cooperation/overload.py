"""Chooses the peer that takes a request from an overloaded instance."""

from collections.abc import Callable

from attrs import define, field

from briarrelay_core.membership.rendezvous import unit_hash
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.ports.room import PeerRoom
from briarrelay_core.routes.cooperation.capacity import DecayingRate, RelayCapacity
from briarrelay_core.routes.requeststate import RoutedRequest

__all__ = ["OverloadRelief"]

MIN_ROOM_PER_S = 1.0
"""Least room in requests a second of a peer that is given one."""

MAX_GIVEN = 512
"""Peers of which it is kept what they were given; they count for about a second."""


@define(slots=True)
class _Given:
    """What a peer was given lately by this instance."""

    requests: DecayingRate = field(factory=DecayingRate)
    bytes: DecayingRate = field(factory=DecayingRate)


@define(slots=True, eq=False)
class OverloadRelief:
    """Decides which requests leave an overloaded instance, and for which peer.

    :param rooms: returns the peers that were heard lately, reach the servers of a
        service and named their room, with that room.
    """

    capacity: RelayCapacity
    data_centre: str
    rooms: Callable[[str, float], list[tuple[PeerAddress, PeerRoom]]]
    _given: dict[str, _Given] = field(factory=dict)

    def choose(self, routed: RoutedRequest, now: float) -> PeerAddress | None:
        """Return the peer that gets a request, None if it is kept.

        Peers of the own data centre come first, those with more room more often.
        """
        capacity = self.capacity
        if not capacity.is_overloaded or not capacity.is_known:
            return None
        if not _is_unsent(routed):
            return None
        body_bytes = routed.request.body_bytes
        if not capacity.carries_twice(body_bytes, routed.route.target_latency_s):
            return None
        with_room = [
            (peer, left)
            for peer, room in self.rooms(routed.service, now)
            if (left := self._left(peer.name, room, body_bytes, now)) >= MIN_ROOM_PER_S
        ]
        local = [pair for pair in with_room if pair[0].data_centre == self.data_centre]
        request_id = routed.request.caller_request_id
        peer, _ = max(
            local or with_room,
            key=lambda pair: unit_hash(request_id, pair[0].name) ** (1.0 / pair[1]),
            default=(None, 0.0),
        )
        if peer is not None:
            self._record(peer.name, body_bytes, now)
        return peer

    def _left(self, name: str, room: PeerRoom, body_bytes: int, now: float) -> float:
        """Return a peer's room in requests a second besides what it was just given."""
        given = self._given.get(name)
        taken_requests = given.requests.at(now) if given else 0.0
        taken_bytes = given.bytes.at(now) if given else 0.0
        if taken_bytes + 2 * body_bytes > room.bytes_per_s:
            return 0.0
        return room.requests_per_s - taken_requests

    def _record(self, name: str, body_bytes: int, now: float) -> None:
        if name not in self._given and len(self._given) >= MAX_GIVEN:
            self._given.pop(next(iter(self._given)))
        given = self._given.setdefault(name, _Given())
        given.requests.add(1.0, now)
        given.bytes.add(2 * body_bytes, now)


def _is_unsent(routed: RoutedRequest) -> bool:
    """Return whether nothing of a request was sent, by this instance or a peer."""
    return not (
        routed.request.is_delegated
        or routed.attempt_count
        or routed.delegated_count
        or routed.possible_runs
        or routed.is_head_relayed
        or routed.active_attempt is not None
    )

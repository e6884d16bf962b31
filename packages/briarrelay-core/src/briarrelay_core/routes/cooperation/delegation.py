"""Chooses the peer that sends a request in the place of this instance."""

from attrs import define

from briarrelay_core.membership.rendezvous import unit_hash
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.routes.cooperation.isolation import IsolationTable
from briarrelay_core.routes.cooperation.overload import OverloadRelief
from briarrelay_core.routes.peers import PeerExchange
from briarrelay_core.routes.requeststate import RoutedRequest

__all__ = ["Delegation"]

MAX_PEERS = 3
"""Peers that a request is sent to at most."""

MIN_UNDELIVERED = 6
"""Servers that a request could not be sent to from which it goes to a peer, although
other servers of the service respond: those may only do so on open connections."""


@define(slots=True, eq=False)
class Delegation:
    """Decides which requests go to a peer, and to which one.

    :param relief: None if the instance hands on nothing because of its own load.
    """

    isolation: IsolationTable
    peers: PeerExchange
    relief: OverloadRelief | None = None

    def choose(self, routed: RoutedRequest, now: float) -> PeerAddress | None:
        """Return the peer that gets a request now, None if it goes to a server."""
        is_unreached = routed.undelivered >= MIN_UNDELIVERED
        is_cut_off = self.isolation.is_cut_off(routed.service, now)
        routed.is_relief = False
        if not is_unreached and not is_cut_off:
            return self._relieve(routed, now)
        peer = self.find_peer(routed, now)
        if peer is None or is_unreached:
            return peer
        if not routed.tried and self.isolation.take_probe(routed.service, now):
            return None
        return peer

    def _relieve(self, routed: RoutedRequest, now: float) -> PeerAddress | None:
        """Return the peer that takes a request, since this instance is overloaded."""
        peer = self.relief.choose(routed, now) if self.relief is not None else None
        routed.is_relief = peer is not None
        return peer

    def find_peer(self, routed: RoutedRequest, now: float) -> PeerAddress | None:
        """Return a peer that may take a request, None if there is none.

        Peers of the own data centre come first; among equals, requests are spread. A
        request of a peer is not sent to another one.
        """
        if routed.request.is_delegated or routed.delegated_count >= MAX_PEERS:
            return None
        own_data_centre = self.peers.address.data_centre
        request_id = routed.request.caller_request_id
        return min(
            (
                peer
                for peer in self.peers.connected_to(routed.service, now)
                if peer.name not in routed.tried
            ),
            key=lambda peer: (
                peer.data_centre != own_data_centre,
                unit_hash(request_id, peer.name),
            ),
            default=None,
        )

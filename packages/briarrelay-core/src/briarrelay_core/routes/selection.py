"""Selects the server for a request by the load and health of each server."""

from attrs import define

from briarrelay_core.membership.rendezvous import unit_hash
from briarrelay_core.routes.load import LoadTable
from briarrelay_core.routes.observations import ServerObservations
from briarrelay_core.routes.placement import (
    Candidate,
    Placement,
    Prompt,
    max_prompt_tokens,
    place_plain_request,
    place_prompt,
)
from briarrelay_core.routes.requeststate import RoutedRequest
from briarrelay_core.routes.servers import KnownServer, ServerTable

__all__ = ["ServerSelector", "is_too_large"]

MIN_TARGET_S = 0.05
"""Smallest target in seconds for the first event of a prompt; used when its own target
has passed."""

QUEUE_FACTOR = 2
"""Requests in flight allowed per slot of a plain service; its servers queue those that
exceed their slots."""


@define(slots=True, eq=False)
class ServerSelector:
    """Filters the servers that may get a request and selects the best of them.

    :param name: name of this instance.
    :param data_centre: data centre of this instance.
    """

    name: str
    data_centre: str
    servers: ServerTable
    load: LoadTable
    observations: ServerObservations

    def candidates(self, routed: RoutedRequest, now: float) -> list[KnownServer]:
        """Return the servers that may get a request.

        Servers that were tried, excluded or paused are left out. Healthy servers in
        reachable data centres are preferred, first those without a pause for a peer,
        then other healthy servers, then unhealthy ones.
        """
        pauses = self.observations.pauses
        usable = [
            server
            for server in self.servers.of_service(routed.service, now)
            if not pauses.is_paused(server.entry.name, now)
        ]
        skipped = routed.excluded.union(routed.tried)
        untried = [s for s in usable if s.entry.name not in skipped]
        request_id = str(routed.request.request_id)
        healthy = [
            server
            for server in untried
            if self.observations.health.admits(server.entry.name, request_id, now)
        ]
        reachable = [
            server
            for server in healthy
            if not self.observations.reachability.is_suspect(
                server.entry.data_centre, now
            )
        ]
        preferred = [
            server
            for server in reachable
            if not pauses.is_paused_for_peer(server.entry.name, now)
        ]
        if healthy:
            return preferred or reachable or healthy
        return untried if skipped or len(untried) == len(usable) else usable

    def resumes_in_s(
        self, routed: RoutedRequest, now: float, is_untried: bool = False
    ) -> float | None:
        """Return the seconds until the first paused server may get a request.

        :param is_untried: consider only servers that the request was not sent to.
        :returns: None unless every usable server is paused.
        """
        skipped = routed.excluded.union(routed.tried) if is_untried else ()
        pauses = self.observations.pauses
        names = [
            server.entry.name
            for server in self.servers.of_service(routed.service, now)
            if server.entry.name not in skipped
        ]
        if not names or not all(pauses.is_paused(name, now) for name in names):
            return None
        return min(pauses.resumes_in_s(name, now) for name in names)

    def choose(
        self, routed: RoutedRequest, known: list[KnownServer], now: float
    ) -> Placement | None:
        """Return the placement of a request on known servers, None if none has room."""
        is_prompt = routed.is_prompt
        queue_factor = 1 if is_prompt else QUEUE_FACTOR
        candidates = [
            Candidate(
                server.entry.name,
                self.load.of(server.entry.name, now),
                server.entry.slots * queue_factor,
                server.entry.data_centre == self.data_centre,
                self.observations.slowdown.of(server.entry.name, now),
                unit_hash(self.name, server.entry.name),
            )
            for server in known
        ]
        if not is_prompt:
            return place_plain_request(candidates)
        return place_prompt(routed.profile, candidates, _make_prompt(routed, now))


def is_too_large(routed: RoutedRequest, engines: int) -> bool:
    """Return whether a prompt exceeds the memory of a number of idle engines."""
    if not routed.is_prompt:
        return False
    request = routed.request
    need = request.prompt_tokens + request.output_tokens
    return need > max_prompt_tokens(routed.profile, engines)


def _make_prompt(routed: RoutedRequest, now: float) -> Prompt:
    request = routed.request
    remaining_s = routed.route.target_latency_s - (now - routed.arrived_at)
    return Prompt(
        tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        target_s=max(MIN_TARGET_S, remaining_s),
        limit_s=routed.route.gap_limit_s or 0.0,
        weight=routed.weight,
    )

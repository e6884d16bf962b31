"""Selects the server for a request by the load and health of each server."""

from heapq import nsmallest
from math import gcd

from attrs import define, field

from briarrelay_core.membership.rendezvous import unit_hash
from briarrelay_core.ports.directory import ServerEntry
from briarrelay_core.routes.load import LoadTable
from briarrelay_core.routes.observations import ServerObservations
from briarrelay_core.routes.placement import (
    OLD_REPORT_COST,
    REMOTE_COST,
    Candidate,
    Placement,
    Prompt,
    max_prompt_tokens,
    place_plain_request,
    place_prompt,
)
from briarrelay_core.routes.requeststate import RoutedRequest
from briarrelay_core.routes.retention.tracker import RetentionTracker
from briarrelay_core.routes.servers import KnownServer, ServerTable
from briarrelay_core.routes.waiting import RETURN_PAUSE_S

__all__ = ["ServerSelector", "is_too_large"]

MIN_TARGET_S = 0.05
"""Smallest target in seconds for the first event of a prompt; used when its own target
has passed."""

SAMPLE_SIZE = 64
"""Largest number of servers that are compared for a request at first; a prompt has up
to 16 helpers, and the best of many samples is close to the best of all."""

MAX_AFFINITIES = 4_096
"""Number of remembered affinities, above which they are computed again."""

QUEUE_FACTOR = 2
"""Requests in flight allowed per slot of a plain service; its servers queue those that
exceed their slots."""


@define(slots=True, eq=False)
class ServerSelector:
    """Filters the servers that may get a request and selects the best of them.

    :param name: name of this instance.
    :param data_centre: data centre of this instance.
    :param size_factor: see :class:`briarrelay_core.routes.peers.PeerExchange`.
    :ivar retention: estimates what servers hold.
    :ivar _affinity_distances: computed distances, by server.
    """

    name: str
    data_centre: str
    servers: ServerTable
    load: LoadTable
    observations: ServerObservations
    size_factor: float = 1.0
    retention: RetentionTracker = field(init=False)
    _affinity_distances: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self):
        self.retention = RetentionTracker(self.load, self.observations.held)

    def _affinity_distance(self, entry: ServerEntry) -> float:
        """Return a number in [0, 1) that is small if this instance prefers a server.

        At a limited server, instances are kept apart by their turns.
        """
        server = entry.name
        if self.observations.limits.is_limited(server, entry.born):
            return 0.0
        known = self._affinity_distances.get(server)
        if known is None:
            if len(self._affinity_distances) >= MAX_AFFINITIES:
                self._affinity_distances.clear()
            known = self._affinity_distances[server] = unit_hash(self.name, server)
        return known

    def candidates(self, routed: RoutedRequest, now: float) -> list[KnownServer]:
        """Return the servers that may get a request.

        Servers that were tried, excluded or paused, or whose limit does not admit a
        request of this instance now, are left out. Healthy servers in
        reachable data centres are preferred, first those without a pause for a peer,
        then other healthy servers, then unhealthy ones. A stream that has begun may
        return to a server that it was sent to before the last one, and to the last one
        after a restart, or `RETURN_PAUSE_S` after that refused it. It may also use
        excluded engines again, that long after the last one was excluded. A prompt that
        all usable engines rejected may return to them, that long after the last did.
        """
        usable, untried, healthy = self._filter(routed, now)
        is_enough = untried and not is_too_large(routed, len(untried))
        if routed.is_head_relayed and not is_enough:
            return self._earlier_servers(routed, usable, now)
        if not untried and routed.has_only_rejections:
            has_paused = now - routed.refused_at >= RETURN_PAUSE_S
            return self._earlier_servers(routed, usable, now) if has_paused else []
        suspects = self._suspect_data_centres(healthy, now)
        reachable = [s for s in healthy if s.entry.data_centre not in suspects]
        pauses = self.observations.pauses
        preferred = [
            server
            for server in reachable
            if not pauses.is_paused_for_peer(server.entry.name, now)
        ]
        if healthy:
            return preferred or reachable or healthy
        skipped = routed.excluded or routed.tried
        return untried if skipped or len(untried) == len(usable) else usable

    def _filter(
        self, routed: RoutedRequest, now: float
    ) -> tuple[list[KnownServer], list[KnownServer], list[KnownServer]]:
        """Return the usable servers, the untried and the healthy ones among them."""
        pauses = self.observations.pauses
        health = self.observations.health
        crashes = self.observations.crashes
        allowances = self.observations.allowances
        has_limits = bool(allowances)
        skipped = routed.excluded.union(routed.tried)
        request_id = str(routed.request.request_id)
        usable, untried, healthy = [], [], []
        for server in self.servers.of_service(routed.service, now):
            name = server.entry.name
            if pauses.is_paused(name, now):
                continue
            if has_limits and allowances.admits_in_s(name, server.entry.born, now):
                continue
            usable.append(server)
            if name in skipped:
                continue
            untried.append(server)
            if crashes.is_crashed(name, server.entry.born, now):
                continue
            if health.admits(name, request_id, now):
                healthy.append(server)
        return usable, untried, healthy

    def _earlier_servers(
        self, routed: RoutedRequest, usable: list[KnownServer], now: float
    ) -> list[KnownServer]:
        """Return the servers that a stream may return to, healthy ones if there are."""
        may_return = RETURN_PAUSE_S <= now - routed.refused_at < float("inf")
        is_recent = now - routed.excluded_at < RETURN_PAUSE_S
        excluded = routed.excluded if is_recent else ()
        earlier = [
            s
            for s in usable
            if s.entry.name not in excluded
            and (may_return or s.incarnation != routed.last_incarnation)
        ]
        health = self.observations.health
        healthy = [s for s in earlier if not health.is_ejected(s.entry.name, now)]
        return healthy or earlier

    def _suspect_data_centres(self, servers: list[KnownServer], now: float) -> set[str]:
        reachability = self.observations.reachability
        names = {server.entry.data_centre for server in servers}
        return {name for name in names if reachability.is_suspect(name, now)}

    def resumes_in_s(
        self,
        routed: RoutedRequest,
        now: float,
        is_untried: bool = False,
        requests_ahead: int = 0,
    ) -> float | None:
        """Return the seconds until a paused or limited server may get a request.

        :param is_untried: consider only servers that the request was not sent to.
        :param requests_ahead: requests that get the limited servers' next turns first.
        :returns: None unless each usable server is paused or its limit admits no
            request of this instance now.
        """
        skipped = routed.excluded.union(routed.tried) if is_untried else ()
        allowances = self.observations.allowances
        waits_s, turns = [], []
        for server in self.servers.of_service(routed.service, now):
            name, born = server.entry.name, server.entry.born
            if name in skipped:
                continue
            pause_s = self.observations.pauses.resumes_in_s(name, now)
            wait_s = max(pause_s, allowances.admits_in_s(name, born, now))
            if wait_s <= 0:
                return None
            if allowances.is_limited(name, born, now):
                turns.append((wait_s, allowances.period_s(name, born, now)))
            else:
                waits_s.append(wait_s)
        if turns:
            waits_s.append(_nth_turn_s(turns, requests_ahead + 1))
        return min(waits_s, default=None)

    def has_usable(self, routed: RoutedRequest, now: float) -> bool:
        """Return whether a server may get requests now, whatever a request tried."""
        return bool(self._filter(routed, now)[0])

    def has_limited(self, service: str, now: float) -> bool:
        """Return whether a usable server of a service has a limit in force."""
        allowances = self.observations.allowances
        return bool(allowances) and any(
            allowances.is_limited(server.entry.name, server.entry.born, now)
            for server in self.servers.of_service(service, now)
        )

    def choose(
        self, routed: RoutedRequest, known: list[KnownServer], now: float
    ) -> Placement | None:
        """Return the placement of a request on known servers, None if none has room.

        Of many servers, a sample is compared first, and all if none of it has room. The
        cost of a decision is then bounded, and instances that decide at the same moment
        compare different servers instead of all choosing the same one.
        """
        sample = self._sample(routed, known, now)
        sample = self.retention.with_holders(routed, sample, known)
        placement = self._choose(routed, sample, now)
        if placement is None and len(sample) < len(known):
            return self._choose(routed, known, now)
        return placement

    def _sample(
        self, routed: RoutedRequest, known: list[KnownServer], now: float
    ) -> list[KnownServer]:
        """Return at most `SAMPLE_SIZE` servers, half of them of this data centre.

        A request that waits compares others each second.
        """
        if len(known) <= SAMPLE_SIZE:
            return known
        local = [s for s in known if s.entry.data_centre == self.data_centre]
        remote = [s for s in known if s.entry.data_centre != self.data_centre]
        attempt = (routed.request.request_id, len(routed.tried))
        seed = unit_hash(self.name, *attempt, int(now))
        chosen = _pick(local, SAMPLE_SIZE // 2, seed)
        return chosen + _pick(remote, SAMPLE_SIZE - len(chosen), seed)

    def _choose(
        self, routed: RoutedRequest, known: list[KnownServer], now: float
    ) -> Placement | None:
        is_prompt = routed.is_prompt
        queue_factor = 1 if is_prompt else QUEUE_FACTOR
        remote_cost = REMOTE_COST + OLD_REPORT_COST * (self.size_factor - 1.0)
        candidates = [
            Candidate(
                server.entry.name,
                self.load.of(server.entry.name, now),
                server.entry.slots * queue_factor,
                server.entry.data_centre == self.data_centre,
                self.observations.slowdown.of(server.entry.name, now),
                self._affinity_distance(server.entry),
                remote_cost,
            )
            for server in known
        ]
        if not is_prompt:
            return place_plain_request(candidates)
        candidates = self.retention.with_held_tokens(routed, candidates, known, now)
        return place_prompt(routed.profile, candidates, _make_prompt(routed, now))


def _pick(servers: list[KnownServer], count: int, seed: float) -> list[KnownServer]:
    """Return `count` of the servers, or all if there are fewer.

    :param seed: in [0, 1); different seeds give different servers.
    """
    total = len(servers)
    if total <= count:
        return servers
    # Steps of a length without a common divisor reach each server once.
    start, step = int(seed * total), 1 + int(seed * total * 7_919) % (total - 1)
    while gcd(step, total) > 1:
        step += 1
    return [servers[(start + index * step) % total] for index in range(count)]


def _nth_turn_s(turns: list[tuple[float, float]], number: int) -> float:
    """Return the seconds until the turn of a number, from 1, at any of some servers.

    :param turns: by server, the seconds until its next turn and between two.
    """
    times_s = (
        first_s + count * period_s
        for first_s, period_s in turns
        for count in range(number)
    )
    return nsmallest(number, times_s)[-1]


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

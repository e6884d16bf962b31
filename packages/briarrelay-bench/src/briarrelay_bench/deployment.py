"""Builds the instances, server entries and routes of a simulated deployment."""

from briarrelay_bench.sites import RequestKind, Site
from briarrelay_core.identity import Identity
from briarrelay_core.ports.directory import PeerAddress, ServerEntry, ServerState
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.instance import RouteInstance
from briarrelay_core.routes.model import (
    CallerLimits,
    Route,
    RouteConfiguration,
    RouteKind,
    Service,
    ServiceShare,
)

__all__ = [
    "HOST",
    "SERVICE_SLOTS",
    "make_configuration",
    "make_entries",
    "make_instances",
]

HOST = "fleet.example"

SERVICE_SLOTS = 6
"""Calls that a plain service runs at a time, from the users' data sheets."""

REPEAT_SLACK = 100.0
"""Repeats allowed beyond the ratio, as in the users' small deployments."""


def make_instances(site: Site) -> list[RouteInstance]:
    """Return the entry instances, each with the addresses of all as seed peers."""
    addresses = [
        PeerAddress(
            name=f"entry-{n}",
            host=f"10.9.0.{n}",
            question_port=1,
            digest_port=2,
            data_centre=f"centre-{n % site.data_centres}",
        )
        for n in range(site.instances)
    ]
    return [
        RouteInstance(
            identity=Identity(address.name, 1, address.data_centre),
            address=address,
            repeats=RetryLimits(slack=REPEAT_SLACK),
            grace_s=8.0,
            hold_s=3.2,
            seeds=tuple(addresses),
        )
        for address in addresses
    ]


def make_entries(site: Site) -> list[ServerEntry]:
    """Return the directory entries of the engines and plain services."""
    engines = [
        _make_entry(site, n, f"engine-{n:03d}", "llm", site.slots)
        for n in range(site.engines)
    ]
    services = [
        _make_entry(site, n, f"desk-{n}", "desk", SERVICE_SLOTS)
        for n in range(site.services)
    ]
    return engines + services


def _make_entry(
    site: Site, number: int, name: str, service: str, slots: int
) -> ServerEntry:
    return ServerEntry(
        name=name,
        service=service,
        host=f"10.{1 if service == 'llm' else 2}.0.{number}",
        port=80,
        data_centre=f"centre-{number % site.data_centres}",
        state=ServerState.READY,
        slots=slots,
    )


def make_configuration(site: Site) -> RouteConfiguration:
    """Return a configuration with one route for each kind of request."""
    services = {
        "llm": Service(name="llm", profile=site.profile, retention=site.retention),
        "desk": Service(name="desk"),
    }
    return RouteConfiguration(
        version=1,
        routes=tuple(map(_make_route, site.kinds)),
        services=services,
        limits=CallerLimits(),
    )


def _make_route(kind: RequestKind) -> Route:
    is_prompt = kind.tokens is not None
    call_kind = RouteKind.SAFE if kind.route == "look" else RouteKind.UNSAFE
    return Route(
        name=kind.name,
        host=HOST,
        prefix=f"/{kind.route}/",
        kind=RouteKind.STREAM if is_prompt else call_kind,
        shares=(ServiceShare("llm" if is_prompt else "desk", 1.0),),
        timeout_s=kind.deadline_s,
        target_latency_s=kind.aim_s,
        attempts=1 if kind.route == "book" else 2,
        is_anonymous=True,
        is_resumable=is_prompt,
        gap_limit_s=kind.gap_s or None,
    )

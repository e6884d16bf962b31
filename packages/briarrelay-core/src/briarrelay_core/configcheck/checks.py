"""Checks of each kind of configuration."""

from collections.abc import Mapping
from functools import singledispatch

from briarrelay_core.agreement.configuration import Configuration
from briarrelay_core.configcheck.findings import Finding, Severity
from briarrelay_core.configcheck.limits import check_limits, check_route_limits
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.model import KeyHolder, Route, RouteConfiguration, Service

__all__ = ["check_configuration"]


@singledispatch
def check_configuration(
    configuration,
    servers: Mapping[str, int] | None = None,
    retries: RetryLimits | None = None,
) -> list[Finding]:
    """Return what is wrong in a configuration.

    :param servers: number of servers of each service, None if it is not known.
    :param retries: limits on retries, None for the default ones.
    """
    raise TypeError(f"no check of {type(configuration).__name__}; register one")


@check_configuration.register
def _(
    configuration: RouteConfiguration,
    servers: Mapping[str, int] | None = None,
    retries: RetryLimits | None = None,
) -> list[Finding]:
    retries = retries or RetryLimits()
    findings = []
    first: dict[tuple[str, str], str] = {}
    names = set()
    for route in configuration.routes:
        place = f"routes[{route.name}]"
        if route.name in names:
            findings.append(
                Finding(
                    Severity.ERROR,
                    place,
                    "another route has the same name",
                    "rename one of them",
                )
            )
        names.add(route.name)
        winner = first.setdefault((route.host, route.prefix), route.name)
        if winner != route.name:
            findings.append(
                Finding(
                    Severity.NEVER,
                    f"{place}.prefix",
                    f"route {winner!r} before it has the same host and prefix",
                    "change the prefix, or remove one of them",
                )
            )
        findings += _check_reach(route, place)
        findings += _check_shares(route, place, configuration.services, servers)
        findings += check_route_limits(route, place, retries)
    findings += _check_holders(configuration.holders)
    for service in configuration.services.values():
        findings += _check_service(service)
    used = {share.service for r in configuration.routes for share in r.shares}
    findings += [
        Finding(
            Severity.NEVER,
            f"services[{name}]",
            "no route sends requests to it",
            "add a route, or remove the service",
        )
        for name in configuration.services
        if name not in used
    ]
    return findings + check_limits(configuration)


def _check_reach(route: Route, place: str) -> list[Finding]:
    """Return why no request reaches a route by its host and prefix."""
    findings = []
    host = route.host
    if not host or host != host.lower() or any(c.isspace() or c == "/" for c in host):
        findings.append(
            Finding(
                Severity.NEVER,
                f"{place}.host",
                f"no request has the host {host[:80]!r}",
                "name the host in lower case, without a path",
            )
        )
    if route.prefix and not route.prefix.startswith("/"):
        findings.append(
            Finding(
                Severity.NEVER,
                f"{place}.prefix",
                f"no path begins with {route.prefix[:80]!r}",
                "begin the prefix with '/'",
            )
        )
    return findings


def _check_shares(
    route: Route,
    place: str,
    services: Mapping[str, Service],
    servers: Mapping[str, int] | None,
) -> list[Finding]:
    findings = []
    for share in route.shares:
        where = f"{place}.shares[{share.service}]"
        if not 0 <= share.weight < float("inf"):
            findings.append(
                Finding(
                    Severity.ERROR,
                    where,
                    f"given weight {share.weight!r}, expected a number from 0",
                    "correct the weight",
                )
            )
        elif share.weight == 0:
            findings.append(
                Finding(
                    Severity.NEVER,
                    where,
                    "its weight is 0, so that it gets no request",
                    "raise the weight, or remove the share",
                )
            )
        if share.service not in services:
            findings.append(
                Finding(
                    Severity.NEVER,
                    where,
                    "'services' does not define this service",
                    "define it, or name another one",
                )
            )
        elif servers is not None and not servers.get(share.service):
            findings.append(
                Finding(
                    Severity.NEVER,
                    where,
                    "no server of this service is registered",
                    "start its servers first, or name another service",
                )
            )
    return findings


def _check_holders(holders: tuple[KeyHolder, ...]) -> list[Finding]:
    findings = []
    owner: dict[str, str] = {}
    for holder in holders:
        place = f"workspaces[{holder.name}].keys"
        if not holder.keys:
            findings.append(_no_keys(place))
        for number, key in enumerate(holder.keys):
            if not isinstance(key, str) or not key:
                findings.append(
                    Finding(
                        Severity.ERROR,
                        f"{place}[{number}]",
                        "it is no text, or empty",
                        "give each key as a text",
                    )
                )
            elif owner.setdefault(key, holder.name) != holder.name:
                findings.append(_shared_key(f"{place}[{number}]", owner[key]))
    return findings


def _no_keys(place: str) -> Finding:
    return Finding(
        Severity.NEVER,
        place,
        "it has none, so that no request can be of this workspace",
        "add a key, or remove the workspace",
    )


def _shared_key(place: str, owner: str) -> Finding:
    return Finding(
        Severity.CONTRADICTION,
        place,
        f"workspace {owner!r} has the same key",
        "give each workspace keys of its own",
    )


def _check_service(service: Service) -> list[Finding]:
    place = f"services[{service.name}]"
    findings = []
    if service.problem:
        findings.append(
            Finding(
                Severity.ERROR,
                place,
                f"a value is left out: {service.problem}",
                "correct this field",
            )
        )
    profile = service.profile
    if profile is None and service.retention is not None:
        findings.append(
            Finding(
                Severity.NEVER,
                f"{place}.retention",
                "the service has no engines, which alone keep prompts",
                "remove it, or describe the engines",
            )
        )
    if profile is None:
        return findings
    for name in ("memory_tokens", "read_tokens_per_s", "step_s", "stride"):
        value = getattr(profile, name)
        if not 0 < value < float("inf"):
            findings.append(
                Finding(
                    Severity.ERROR,
                    f"{place}.profile.{name}",
                    f"given {value!r}, expected a number above 0",
                    "correct this field",
                )
            )
    return findings


@check_configuration.register
def _(
    configuration: Configuration,
    servers: Mapping[str, int] | None = None,
    retries: RetryLimits | None = None,
) -> list[Finding]:
    findings = []
    owner: dict[str, str] = {}
    for name, workspace in configuration.workspaces.items():
        place = f"workspaces[{name}].key_hashes"
        if not workspace.key_hashes:
            findings.append(_no_keys(place))
        for number, key_hash in enumerate(workspace.key_hashes):
            if owner.setdefault(key_hash, name) != name:
                findings.append(_shared_key(f"{place}[{number}]", owner[key_hash]))
    for name, model in configuration.models.items():
        if model.share == 0:
            findings.append(
                Finding(
                    Severity.NEVER,
                    f"models[{name}].share",
                    "it is 0, so that no engine serves this model",
                    "raise the share, or remove the model",
                )
            )
    if configuration.services and not configuration.preset_in_force.accept_calls:
        findings.append(
            Finding(
                Severity.CONTRADICTION,
                f"presets[{configuration.preset}].accept_calls",
                "the preset in force refuses the calls to all services",
                "name another preset, or accept calls",
            )
        )
    return findings

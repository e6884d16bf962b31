"""Limits that contradict each other, or what the routes need."""

from math import isfinite

from briarrelay_core.configcheck.findings import Finding, Severity
from briarrelay_core.routes.budget import GRANTED_FRACTION, RetryLimits
from briarrelay_core.routes.model import Route, RouteConfiguration, RouteKind

__all__ = ["check_limits", "check_route_limits"]

REQUEST_LINE_BYTES = len("POST  HTTP/1.1\r\nHost: \r\n\r\n")
"""Bytes of the smallest header, without host and path."""


def check_route_limits(route: Route, place: str, retries: RetryLimits) -> list[Finding]:
    """Return invalid limits of a route, and those that contradict each other."""
    findings = []
    for name in ("timeout_s", "target_latency_s", "gap_limit_s"):
        value = getattr(route, name)
        if value is not None and not (isfinite(value) and value > 0):
            findings.append(
                Finding(
                    Severity.ERROR,
                    f"{place}.{name}",
                    f"given {value!r} s, expected a time above 0",
                    "correct this field",
                )
            )
    if route.attempts < 1:
        findings.append(
            Finding(
                Severity.ERROR,
                f"{place}.attempts",
                f"given {route.attempts}, expected 1 or more",
                "correct this field",
            )
        )
    if findings:
        return findings
    if route.timeout_s < route.target_latency_s:
        findings.append(
            _contradiction(
                f"{place}.timeout_s",
                f"{route.timeout_s:g} s end before the target latency of "
                f"{route.target_latency_s:g} s",
                "raise the timeout, or lower the target",
            )
        )
    if route.gap_limit_s is not None and route.gap_limit_s > route.timeout_s:
        findings.append(
            _contradiction(
                f"{place}.gap_limit_s",
                f"pauses of {route.gap_limit_s:g} s exceed the timeout of "
                f"{route.timeout_s:g} s",
                "lower the pause limit, or raise the timeout",
            )
        )
    if route.gap_limit_s is not None and route.kind is not RouteKind.STREAM:
        findings.append(
            Finding(
                Severity.NEVER,
                f"{place}.gap_limit_s",
                f"responses of the kind {route.kind.value!r} have no events",
                "remove it, or make the route a stream",
            )
        )
    granted = GRANTED_FRACTION * retries.slack
    if retries.ratio <= 0 and route.attempts - 1 > granted:
        findings.append(
            _contradiction(
                f"{place}.attempts",
                f"{route.attempts} attempts exceed the {granted:g} retries that the "
                f"budget ever allows",
                "lower the attempts, or raise the retries' ratio",
            )
        )
    return findings


def check_limits(configuration: RouteConfiguration) -> list[Finding]:
    """Return the limits on callers that are invalid, or under what routes need."""
    limits = configuration.limits
    findings = [
        Finding(
            Severity.ERROR,
            f"limits.{name}",
            f"given {getattr(limits, name)!r}, expected a number above 0",
            "correct this field",
        )
        for name in ("header_bytes", "header_s", "idle_s")
        if not 0 < getattr(limits, name) < float("inf")
    ]
    if limits.body_bytes < 0:
        findings.append(
            Finding(
                Severity.ERROR,
                "limits.body_bytes",
                f"given {limits.body_bytes}, expected 0 or more",
                "correct this field",
            )
        )
    if findings or not configuration.routes:
        return findings
    route = max(configuration.routes, key=_header_bytes)
    needed = _header_bytes(route)
    if needed > limits.header_bytes:
        findings.append(
            _contradiction(
                "limits.header_bytes",
                f"{limits.header_bytes} bytes can not hold the header of route "
                f"{route.name!r}, at least {needed}",
                "raise the limit",
            )
        )
    with_body = [r for r in configuration.routes if r.kind is not RouteKind.SAFE]
    if with_body and limits.body_bytes == 0:
        findings.append(
            _contradiction(
                "limits.body_bytes",
                f"0 bytes refuse each body sent to route {with_body[0].name!r}",
                "raise the limit",
            )
        )
    return findings


def _header_bytes(route: Route) -> int:
    """Return the bytes of the smallest header of a route's requests."""
    return REQUEST_LINE_BYTES + len(route.host.encode()) + len(route.prefix.encode())


def _contradiction(place: str, problem: str, remedy: str) -> Finding:
    return Finding(Severity.CONTRADICTION, place, problem, remedy)

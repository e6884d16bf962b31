"""Admission checks of requests, and fair shares of the fleet's capacity."""

from math import ceil, inf

from attrs import define, field, frozen

from briarrelay_core.agreement.configuration import hash_key
from briarrelay_core.context import Context
from briarrelay_core.memory.allocator import MAX_GANG_ENGINES
from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.caller import ChatRequest, ServiceRequest
from briarrelay_core.reasons import RefusalReason
from briarrelay_core.routing.lengths import LengthClass, length_class_of

__all__ = ["Admission", "Admitted", "fair_rates", "whole_seconds"]

MAX_DEADLINE_S = 3_600.0
"""Latest deadline that a request may set, in seconds from now."""

MAX_OUTPUT_TOKENS = 100_000
"""Largest number of output tokens that a request may specify."""

PEER_DEMAND_MAX_AGE_S = 15.0
"""Age, in seconds, from which a peer's reported demand is ignored."""

FAIR_RATE_TTL_S = 0.25
"""Seconds for which computed fair rates are cached."""

NO_CAPACITY_RETRY_S = 10.0
"""Retry-After in seconds while no engine works; about the time in which one returns."""


@frozen(slots=True)
class Admitted:
    """Workspace and weight of a request that passed admission."""

    workspace: str
    weight: float


def fair_rates(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Split capacity by weighted max-min fairness.

    A workspace that demands less than its share gets its whole demand; the rest of
    its share is split between the others by weight.

    Source: Bertsekas and Gallager, "Data Networks", section 6.5.2.

    :param demands: tokens a second by workspace.
    :param weights: weight of each workspace in the demands.
    :param capacity: tokens a second to split.
    :returns: tokens a second by workspace.
    """
    rates = {}
    remaining = capacity
    remaining_weight = sum(weights[name] for name in demands)
    for name in sorted(demands, key=lambda n: (demands[n] / weights[n], n)):
        share = remaining * weights[name] / remaining_weight
        rates[name] = min(demands[name], share)
        remaining -= rates[name]
        remaining_weight -= weights[name]
    return rates


@define(slots=True)
class Admission:
    """Admission checks of arriving requests, and fair rates of workspaces."""

    context: Context
    _fair_rates: dict[str, float] = field(factory=dict)
    _fair_rates_at: float = -FAIR_RATE_TTL_S

    def check_chat(self, request: ChatRequest, now: float) -> Admitted | NotRun:
        """Check a prompt against the rules and limits that do not depend on load."""
        admitted = self._check_common(request.key, request.deadline, now)
        if isinstance(admitted, NotRun):
            return admitted
        problem = self._check_prompt(request)
        if problem is not None:
            return problem
        if request.request_id in self.context.chats:
            return NotRun(RefusalReason.DUPLICATE_REQUEST, detail=request.request_id)
        spec = self.context.configuration.workspaces[admitted.workspace]
        retry_after = self.context.limits.try_consume(
            admitted.workspace, spec.limit, request.prompt_tokens, now
        )
        if retry_after > 0:
            return NotRun(RefusalReason.WORKSPACE_LIMIT, whole_seconds(retry_after))
        return admitted

    def check_call(self, request: ServiceRequest, now: float) -> Admitted | NotRun:
        """Check a call to a plain service."""
        admitted = self._check_common(request.key, request.deadline, now)
        if isinstance(admitted, NotRun):
            return admitted
        if request.service not in self.context.configuration.services:
            detail = f"given {request.service!r}."
            return NotRun(RefusalReason.UNKNOWN_SERVICE, detail=detail)
        if not self.context.preset.accept_calls:
            return NotRun(RefusalReason.MAINTENANCE, 60.0)
        return admitted

    def _check_common(self, key: str, deadline: float, now: float) -> Admitted | NotRun:
        if self.context.draining:
            return NotRun(RefusalReason.DRAINING, 1.0)
        if self.context.configuration is None:
            return NotRun(RefusalReason.NOT_READY, 1.0)
        workspace = self.context.workspace_by_key_hash.get(hash_key(key))
        if workspace is None:
            return NotRun(RefusalReason.UNAUTHORIZED)
        if not now < deadline <= now + MAX_DEADLINE_S:
            detail = f"given {deadline - now:.1f} s from now, limit {MAX_DEADLINE_S} s."
            return NotRun(RefusalReason.DEADLINE_INVALID, detail=detail)
        weight = self.context.configuration.workspaces[workspace].weight
        return Admitted(workspace, weight)

    def _check_prompt(self, request: ChatRequest) -> NotRun | None:
        if request.model not in self.context.configuration.models:
            detail = f"given {request.model!r}."
            return NotRun(RefusalReason.UNKNOWN_MODEL, detail=detail)
        if request.prompt_tokens < 1:
            return NotRun(RefusalReason.BAD_REQUEST, detail="the prompt is empty.")
        if not 1 <= request.output_tokens <= MAX_OUTPUT_TOKENS:
            detail = f"max_tokens: given {request.output_tokens}."
            return NotRun(RefusalReason.BAD_REQUEST, detail=detail)
        length_class = length_class_of(request.prompt_tokens)
        if length_class is LengthClass.LONG and not self.context.preset.accept_long:
            return NotRun(RefusalReason.MAINTENANCE, 60.0)
        largest = self.context.fleet.largest_prompt(
            request.model, self.context.preset, MAX_GANG_ENGINES
        )
        if 0 < largest < request.prompt_tokens + request.output_tokens:
            detail = f"given {request.prompt_tokens} tokens, room for {largest}."
            return NotRun(RefusalReason.PROMPT_TOO_LONG, detail=detail)
        return None

    def local_capacity(self, now: float) -> float:
        """Return this instance's share of the fleet's capacity, in tokens a second.

        Capacity is shared in proportion to demand; a live peer without recent demand
        figures is assumed to use an equal share.
        """
        own = self.context.total_demand.rate(now)
        fresh = [
            rate
            for rate, at in self.context.peer_demand.values()
            if now - at < PEER_DEMAND_MAX_AGE_S
        ]
        total = own + sum(fresh)
        live = max(1, self.context.limits.live)
        silent_share = max(0, live - 1 - len(fresh)) / live
        share = own / total if total > 0 else 1.0
        return self.context.fleet.capacity(now) * max(
            0.05, share * (1.0 - silent_share)
        )

    def fair_rate(self, workspace: str, now: float) -> float:
        """Return the tokens a second that a workspace can get here under load.

        This is its weighted max-min fair rate if its own demand were unlimited.
        """
        if now - self._fair_rates_at > FAIR_RATE_TTL_S:
            self._fair_rates = {}
            self._fair_rates_at = now
        if workspace not in self._fair_rates:
            self._fair_rates[workspace] = self._compute_fair_rate(workspace, now)
        return self._fair_rates[workspace]

    def exceeds_fair_rate(self, workspace: str, now: float) -> bool:
        """Return whether a workspace demands more than its fair rate."""
        demand = self.context.limits.local_demand(now).get(workspace, 0.0)
        return demand > self.fair_rate(workspace, now)

    def _compute_fair_rate(self, workspace: str, now: float) -> float:
        configured = self.context.configuration.workspaces
        demands = {**self.context.limits.local_demand(now), workspace: float("inf")}
        weights = {n: configured[n].weight if n in configured else 1.0 for n in demands}
        return fair_rates(demands, weights, self.local_capacity(now))[workspace]


def whole_seconds(seconds: float) -> float:
    """Round seconds up to a whole number, at least one, for Retry-After.

    If they are infinite, nobody knows when an engine works again.
    """
    if seconds == inf:
        return NO_CAPACITY_RETRY_S
    return float(max(1, ceil(seconds)))

"""Whether a prompt is let in, from what it asks and what can finish in its time."""

from math import ceil

from attrs import define, field, frozen

from briarrelay_core.agreement.configuration import hash_key
from briarrelay_core.context import Context
from briarrelay_core.memory.allocator import MAX_GANG_ENGINES
from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.caller import ChatRequest, ServiceRequest
from briarrelay_core.reasons import RefusalReason
from briarrelay_core.routing.lengths import LengthClass, class_of

__all__ = ["Admission", "Admitted", "fair_rates", "whole_seconds"]

MAX_DEADLINE_S = 3_600.0
"""Longest time that a request may ask for."""

MAX_OUTPUT_TOKENS = 100_000
"""Most tokens that one request may have generated."""

PEER_DEMAND_STALE_S = 15.0
"""Age after which a peer's demand no longer counts."""

FAIR_CACHE_S = 0.25
"""Seconds for which computed fair rates are used again."""


@frozen(slots=True)
class Admitted:
    """The workspace of a request that may go on."""

    workspace: str
    weight: float


def fair_rates(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Split capacity by weighted max-min fairness.

    A workspace that asks for less than its share gets all it asks for; what it
    leaves is split between the others by weight.

    Source: Bertsekas and Gallager, "Data Networks", section 6.5.2.
    """
    rates = {}
    left = capacity
    weight_left = sum(weights[name] for name in demands)
    for name in sorted(demands, key=lambda n: (demands[n] / weights[n], n)):
        share = left * weights[name] / weight_left
        rates[name] = min(demands[name], share)
        left -= rates[name]
        weight_left -= weights[name]
    return rates


@define(slots=True)
class Admission:
    """Checks of arriving requests."""

    context: Context
    _fair: dict[str, float] = field(factory=dict)
    _fair_at: float = -FAIR_CACHE_S

    def check_chat(self, request: ChatRequest, now: float) -> Admitted | NotRun:
        """Check a prompt on its own, whatever the load."""
        admitted = self._check_common(request.key, request.deadline, now)
        if isinstance(admitted, NotRun):
            return admitted
        problem = self._check_prompt(request)
        if problem is not None:
            return problem
        if request.request_id in self.context.chats:
            return NotRun(RefusalReason.DUPLICATE_REQUEST, detail=request.request_id)
        spec = self.context.configuration.workspaces[admitted.workspace]
        wait = self.context.limits.take(
            admitted.workspace, spec.limit, request.prompt_tokens, now
        )
        if wait > 0:
            return NotRun(RefusalReason.WORKSPACE_LIMIT, whole_seconds(wait))
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
        workspace = self.context.workspace_of.get(hash_key(key))
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
        length_class = class_of(request.prompt_tokens)
        if length_class is LengthClass.LONG and not self.context.preset.accept_long:
            return NotRun(RefusalReason.MAINTENANCE, 60.0)
        largest = self.context.fleet.largest_prompt(
            request.model, self.context.preset, MAX_GANG_ENGINES
        )
        if 0 < largest < request.prompt_tokens + request.output_tokens:
            detail = f"given {request.prompt_tokens} tokens, room for {largest}."
            return NotRun(RefusalReason.PROMPT_TOO_LONG, detail=detail)
        return None

    def capacity_here(self, now: float) -> float:
        """Return the part of the fleet's tokens a second that falls to this instance.

        It follows demand; a peer that is silent counts with an equal share.
        """
        own = self.context.total_demand.rate(now)
        fresh = [
            rate
            for rate, at in self.context.peer_demand.values()
            if now - at < PEER_DEMAND_STALE_S
        ]
        total = own + sum(fresh)
        live = max(1, self.context.limits.live)
        unheard = max(0, live - 1 - len(fresh)) / live
        part = own / total if total > 0 else 1.0
        return self.context.fleet.capacity(now) * max(0.05, part * (1.0 - unheard))

    def fair_rate(self, workspace: str, now: float) -> float:
        """Return the tokens a second that a workspace could have here under load.

        It is what weighted fairness would leave it if it asked for everything.
        """
        if now - self._fair_at > FAIR_CACHE_S:
            self._fair = {}
            self._fair_at = now
        if workspace not in self._fair:
            self._fair[workspace] = self._compute_fair_rate(workspace, now)
        return self._fair[workspace]

    def is_over_share(self, workspace: str, now: float) -> bool:
        """Return whether a workspace asks for more than fairness would leave it."""
        asked = self.context.limits.own_rates(now).get(workspace, 0.0)
        return asked > self.fair_rate(workspace, now)

    def _compute_fair_rate(self, workspace: str, now: float) -> float:
        known = self.context.configuration.workspaces
        demands = {**self.context.limits.own_rates(now), workspace: float("inf")}
        weights = {n: known[n].weight if n in known else 1.0 for n in demands}
        return fair_rates(demands, weights, self.capacity_here(now))[workspace]


def whole_seconds(seconds: float) -> float:
    """Return whole seconds, at least one, for a Retry-After header."""
    return float(max(1, ceil(seconds)))

"""Chooses the lead engine for a prompt, and the helpers that split its reading.

Reading a prompt is the prefill: the engine processes the prompt's tokens before it
generates any. The lead engine generates the response; helpers only read a share of the
prompt, and may store part of its context in their memory.

An engine works in passes, each of which may read prompts and generates tokens for all
its streams. A prompt that joins an engine makes the passes longer, so every stream that
is generated there pauses for longer. The choice weighs the expected cost of those
pauses against the latency of the prompt's own first event.
"""

from attrs import evolve, frozen

from briarrelay_core.ports.digest import ServerLoad
from briarrelay_core.routes.model import EngineProfile

__all__ = [
    "OLD_REPORT_COST",
    "REMOTE_COST",
    "Candidate",
    "HeldTokens",
    "Placement",
    "Prompt",
    "max_prompt_tokens",
    "place_plain_request",
    "place_prompt",
]

MAX_HELPERS = 16
"""Largest number of helpers for one prompt; engines accept no more."""

HELPER_COUNTS = (0, 1, 2, 3, 5, 7, 11, 16)
"""Numbers of helpers whose costs are compared for a prompt."""

MIN_SPLIT_READ_S = 0.05
"""Reading time in seconds up to which a prompt is not split; about the length of one
pass that only generates tokens."""

LOSS_RAMP_START = 0.6
"""Fraction of a limit at which the expected loss starts to rise from 0. It is below 1
because the estimates are uncertain."""

LOSS_RAMP_END = 1.05
"""Fraction of a limit at which the full loss is expected."""

USABLE_MEMORY_FRACTION = 0.94
"""Fraction of an engine's memory that placement may fill; the rest is left for
contexts that grow while tokens are generated."""

MIN_SPREAD_FRACTION = 0.5
"""Fraction of an engine's memory above which a prompt that fits on no engine now is
spread over several; a smaller one waits for an engine to become free."""

LATE_LOSS_FRACTION = 0.75
"""Fraction of a request's weight that is lost when its first event is late."""

MIXED_LIMITS_COST = 0.04
"""Cost of placing a stream with a short gap limit on an engine whose streams have long
ones, or the reverse."""

BACKLOG_COST_PER_S = 0.3
"""Cost of each second of reading that the engine already has queued."""

REMOTE_COST = 0.01
"""Cost of an engine in another data centre."""

OLD_REPORT_COST = 0.025
"""Further cost of such an engine for each unit by which the size factor exceeds 1;
reports of its load are older in a large deployment."""

AFFINITY_COST = 0.08
"""Cost of the engine that an instance prefers least. Each instance prefers different
engines, because instances that chose the same ones before they received each other's
digests would exceed the engines' slots."""

HELPER_COST = 0.01
"""Cost of each helper, for its network hops and for prompts of other instances that it
delays and that no digest has reported yet."""


@frozen(slots=True)
class HeldTokens:
    """Leading tokens of a prompt that an engine is believed to hold.

    :param confidence: probability that it holds them.
    """

    tokens: int
    confidence: float = 1.0


@frozen(slots=True)
class Candidate:
    """A server that may be chosen for a request.

    :param slots: number of requests that it may have in flight.
    :param is_local: whether it is in this instance's data centre.
    :param remote_cost: cost of choosing it if it is not.
    :param slowdown: observed time over expected time, 1 for a healthy server.
    :param affinity_distance: in [0, 1), small for the servers that this instance
        prefers.
    :param held: what it is believed to hold of the prompt, None for nothing.
    """

    name: str
    load: ServerLoad
    slots: int
    is_local: bool
    slowdown: float = 1.0
    affinity_distance: float = 0.0
    remote_cost: float = REMOTE_COST
    held: HeldTokens | None = None


@frozen(slots=True)
class Prompt:
    """A prompt to place.

    :param target_s: seconds until the first event is due.
    :param limit_s: longest pause between events in seconds, 0 for no limit.
    :param weight: cost of a late response, relative to a short prompt.
    """

    tokens: int
    output_tokens: int
    target_s: float
    limit_s: float
    weight: float


@frozen(slots=True)
class Placement:
    """The servers chosen for a request.

    :param lead: name of the server that sends the response.
    :param helpers: names of the engines that read a share of the prompt.
    :param read_s: seconds that each of the engines spends on reading.
    :param expected_s: expected seconds until the first event.
    :param cost: expected cost to this request and to other streams.
    :param stream_cost: the part of `cost` caused by longer pauses of other streams on
        these engines.
    :param backlog_s: longest reading backlog in seconds among the engines that split
        the prompt.
    :param memory_shares: helpers that store part of the prompt's memory, and the tokens
        that each reserves.
    :param saved_s: expected seconds of reading that the lead saves by what it holds,
        included in none of the other times.
    :param held_s: seconds that it saves if it does hold that.
    :param replaces_memory: the memory of the request's active attempt is needed.
    """

    lead: str
    helpers: tuple[str, ...]
    read_s: float
    expected_s: float
    cost: float
    stream_cost: float = 0.0
    backlog_s: float = 0.0
    memory_shares: tuple[tuple[str, int], ...] = ()
    replaces_memory: bool = False
    saved_s: float = 0.0
    held_s: float = 0.0


def _expected_loss(usage: float) -> float:
    """Return the expected fraction of a loss at a given usage of a limit.

    It rises linearly from 0 at `LOSS_RAMP_START` to 1 at `LOSS_RAMP_END`.

    :param usage: fraction of the limit that is used, above 1 if it is exceeded.
    """
    return min(
        1.0, max(0.0, (usage - LOSS_RAMP_START) / (LOSS_RAMP_END - LOSS_RAMP_START))
    )


def _saved_s(profile: EngineProfile, lead: Candidate) -> float:
    """Return the expected seconds of reading that a lead saves by what it holds."""
    if lead.held is None:
        return 0.0
    return lead.held.confidence * profile.read_s(lead.held.tokens)


def _held_s(profile: EngineProfile, lead: Candidate) -> float:
    """Return the seconds of reading that a lead saves if it holds its tokens."""
    return 0.0 if lead.held is None else profile.read_s(lead.held.tokens)


def _stream_cost(profile: EngineProfile, candidate: Candidate, read_s: float) -> float:
    """Return the cost to an engine's current streams of additional reading.

    :param read_s: seconds of additional reading.
    """
    load = candidate.load
    if not load.streams:
        return 0.0
    base_pass_s = profile.pass_s(load.lead_requests, load.tokens)
    before = (base_pass_s + load.read_s) * candidate.slowdown
    after = (base_pass_s + load.read_s + read_s) * candidate.slowdown
    return sum(
        weight * (_expected_loss(after / limit) - _expected_loss(before / limit))
        for limit, weight in load.streams
    )


def _first_event_s(
    profile: EngineProfile, candidate: Candidate, read_s: float
) -> float:
    """Return the expected seconds until the first event of a prompt on an engine.

    :param read_s: seconds that the engine spends on reading the prompt.
    """
    load = candidate.load
    base_pass_s = profile.pass_s(load.lead_requests, load.tokens)
    return (1.5 * base_pass_s + load.read_s + read_s) * candidate.slowdown


def _free_tokens(profile: EngineProfile, candidate: Candidate) -> int:
    """Return the tokens of context that an engine can still accept."""
    usable_tokens = int(profile.memory_tokens * USABLE_MEMORY_FRACTION)
    return max(0, usable_tokens - candidate.load.tokens)


def _has_room(profile: EngineProfile, candidate: Candidate, prompt: Prompt) -> bool:
    if candidate.load.lead_requests >= candidate.slots:
        return False
    need = prompt.tokens + prompt.output_tokens
    return need <= _free_tokens(profile, candidate)


def _shortest_limit(load: ServerLoad) -> float:
    return min((limit for limit, _ in load.streams), default=float("inf"))


def _lead_cost(
    profile: EngineProfile, candidate: Candidate, prompt: Prompt, read_s: float
) -> float:
    """Return the cost of an engine as lead, to the prompt and to other streams.

    :param read_s: seconds that the engine spends on reading the prompt.
    """
    load = candidate.load
    first_event_s = _first_event_s(profile, candidate, read_s)
    cost = (
        LATE_LOSS_FRACTION
        * prompt.weight
        * _expected_loss(first_event_s / prompt.target_s)
    )
    cost += _stream_cost(profile, candidate, read_s)
    cost += (
        BACKLOG_COST_PER_S
        * (load.read_s + 0.02 * load.lead_requests)
        * candidate.slowdown
    )
    cost += 0.0 if candidate.is_local else candidate.remote_cost
    cost += AFFINITY_COST * candidate.affinity_distance
    shortest_limit_s = _shortest_limit(load)
    if prompt.limit_s and shortest_limit_s > 2 * prompt.limit_s:
        cost += MIXED_LIMITS_COST
    if prompt.limit_s > 2 * shortest_limit_s:
        cost += MIXED_LIMITS_COST
    if candidate.slowdown > 1.5:
        cost += 0.1 * prompt.weight * candidate.slowdown
    return cost


def _place_on_one(profile: EngineProfile, with_room: list[Candidate], prompt: Prompt):
    """Return the cheapest placement that reads the prompt on a single engine."""
    total_s = profile.read_s(prompt.tokens)
    costs = [
        (
            _lead_cost(
                profile,
                c,
                prompt,
                total_s if c.held is None else total_s - _saved_s(profile, c),
            ),
            c,
        )
        for c in with_room
    ]
    cost, lead = min(costs, key=lambda pair: (pair[0], pair[1].name))
    saved_s = _saved_s(profile, lead)
    read_s = total_s - saved_s
    expected = _first_event_s(profile, lead, read_s)
    stream_cost = _stream_cost(profile, lead, read_s)
    return Placement(
        lead.name,
        (),
        read_s,
        expected,
        cost,
        stream_cost,
        saved_s=saved_s,
        held_s=_held_s(profile, lead),
    )


def _place_split(
    profile: EngineProfile,
    with_room: list[Candidate],
    candidates: list[Candidate],
    prompt: Prompt,
) -> Placement:
    """Return the cheapest placement that may split the reading among helpers.

    The lead is the best one, or the best of those that hold the beginning.
    """
    placements = [_split_from_best(profile, with_room, candidates, prompt)]
    holders = [c for c in with_room if c.held is not None]
    if holders:
        placements.append(_split_from_best(profile, holders, candidates, prompt))
    return min(placements, key=lambda placement: placement.cost)


def _split_from_best(
    profile: EngineProfile,
    leads: list[Candidate],
    candidates: list[Candidate],
    prompt: Prompt,
) -> Placement:
    """Return the cheapest placement that the best of some leads may split."""
    total_s = profile.read_s(prompt.tokens)

    def min_share_s(lead: Candidate) -> float:
        return (total_s - _saved_s(profile, lead)) / (MAX_HELPERS + 1)

    costs = [(_lead_cost(profile, c, prompt, min_share_s(c)), c) for c in leads]
    lead = min(costs, key=lambda pair: (pair[0], pair[1].name))[1]
    share_s = min_share_s(lead)
    others = [
        (_helper_cost(profile, c, share_s), c.name, c)
        for c in candidates
        if c is not lead and c.load.helper_requests < c.slots
    ]
    others.sort(key=lambda entry: entry[:2])
    return _choose_helper_count(
        profile, lead, [], [entry[2] for entry in others], prompt
    )


def _place_spread(
    profile: EngineProfile, candidates: list[Candidate], prompt: Prompt
) -> Placement | None:
    """Return the cheapest placement that spreads a prompt's memory over engines.

    Engines with free memory are added in order of preference until they can hold the
    prompt together; engines deny a reservation of no tokens.

    :returns: None if they cannot, or if no engine has a slot for a lead.
    """
    need = prompt.tokens + prompt.output_tokens
    share_s = profile.read_s(prompt.tokens, min(len(candidates), MAX_HELPERS + 1))
    ranked = sorted(
        candidates,
        key=lambda c: (
            _stream_cost(profile, c, share_s)
            + c.load.read_s
            - _free_tokens(profile, c) / need,
            c.name,
        ),
    )
    lead = next((c for c in ranked if c.load.lead_requests < c.slots), None)
    if lead is None:
        return None
    holders = [lead]
    for candidate in ranked:
        if sum(_free_tokens(profile, c) for c in holders) >= need:
            break
        if candidate is lead or not _free_tokens(profile, candidate):
            continue
        if candidate.load.helper_requests < candidate.slots:
            holders.append(candidate)
    shares = _divide_tokens([_free_tokens(profile, c) for c in holders], need)
    if shares is None or len(holders) > MAX_HELPERS:
        return None
    others = [
        c for c in ranked if c not in holders and c.load.helper_requests < c.slots
    ]
    reserved = zip(holders[1:], shares[1:], strict=True)
    # The memory of a spread prompt is divided anew, whatever the lead holds.
    lead = evolve(lead, held=None)
    best = _choose_helper_count(profile, lead, holders[1:], others, prompt)
    return evolve(best, memory_shares=tuple((c.name, tokens) for c, tokens in reserved))


def _choose_helper_count(
    profile: EngineProfile,
    lead: Candidate,
    required: list[Candidate],
    others: list[Candidate],
    prompt: Prompt,
) -> Placement:
    """Return the cheapest placement among different numbers of helpers.

    :param required: helpers that every placement includes.
    :param others: optional helpers, best first.
    """
    # Helpers read parts of what the lead does not hold.
    total_s = profile.read_s(prompt.tokens) - _saved_s(profile, lead)
    max_count = min(MAX_HELPERS - len(required), len(others))
    placements = []
    for count in (*[n for n in HELPER_COUNTS if n < max_count], max_count):
        helpers = [*required, *others[:count]]
        share_s = total_s / (len(helpers) + 1)
        placements.append(_evaluate_split(profile, lead, helpers, prompt, share_s))
    return min(placements, key=lambda placement: placement.cost)


def _divide_tokens(free: list[int], need: int) -> list[int] | None:
    """Divide a prompt's memory as evenly as the engines' free memory allows.

    :param free: free tokens of each engine.
    :param need: tokens to divide.
    :returns: tokens for each engine, None if they do not fit.
    """
    if sum(free) < need:
        return None
    shares = [0] * len(free)
    remaining = need
    for count, index in enumerate(sorted(range(len(free)), key=free.__getitem__)):
        shares[index] = min(free[index], -(-remaining // (len(free) - count)))
        remaining -= shares[index]
    return shares


def _helper_cost(profile: EngineProfile, candidate: Candidate, read_s: float) -> float:
    """Return the cost of an engine as helper.

    :param read_s: seconds that it spends on reading its share of the prompt.
    """
    cost = _stream_cost(profile, candidate, read_s) + candidate.load.read_s
    if _shortest_limit(candidate.load) < 0.3:
        cost += MIXED_LIMITS_COST
    return cost + (candidate.slowdown - 1.0) + (0.0 if candidate.is_local else 0.001)


def _evaluate_split(
    profile: EngineProfile,
    lead: Candidate,
    helpers: list[Candidate],
    prompt: Prompt,
    share_s: float,
) -> Placement:
    """Return the placement of a prompt on given engines, with its cost.

    :param share_s: seconds that each engine spends on reading its share.
    """
    first_event_s = max(
        [
            _first_event_s(profile, lead, share_s),
            *(_first_event_s(profile, helper, share_s) for helper in helpers),
        ]
    )
    cost = (
        LATE_LOSS_FRACTION
        * prompt.weight
        * _expected_loss(first_event_s / prompt.target_s)
    )
    cost += BACKLOG_COST_PER_S * first_event_s + HELPER_COST * len(helpers)
    stream_cost = sum(
        _stream_cost(profile, engine, share_s) for engine in (lead, *helpers)
    )
    backlog_s = max(engine.load.read_s for engine in (lead, *helpers))
    saved_s = _saved_s(profile, lead) / (len(helpers) + 1)
    names = tuple(helper.name for helper in helpers)
    return Placement(
        lead.name,
        names,
        share_s,
        first_event_s,
        cost + stream_cost,
        stream_cost,
        backlog_s,
        saved_s=saved_s,
        held_s=_held_s(profile, lead) / (len(helpers) + 1),
    )


def max_prompt_tokens(profile: EngineProfile, engines: int) -> int:
    """Return the tokens of the largest prompt that idle engines can hold.

    :param engines: number of engines.
    """
    usable_tokens = int(profile.memory_tokens * USABLE_MEMORY_FRACTION)
    return usable_tokens * min(engines, MAX_HELPERS + 1)


def place_prompt(
    profile: EngineProfile, candidates: list[Candidate], prompt: Prompt
) -> Placement | None:
    """Return the engines for a prompt, None if they have no room for it."""
    with_room = [c for c in candidates if _has_room(profile, c, prompt)]
    if not with_room:
        usable_tokens = profile.memory_tokens * USABLE_MEMORY_FRACTION
        if prompt.tokens + prompt.output_tokens <= MIN_SPREAD_FRACTION * usable_tokens:
            return None
        return _place_spread(profile, candidates, prompt)
    if profile.read_s(prompt.tokens) <= MIN_SPLIT_READ_S:
        return _place_on_one(profile, with_room, prompt)
    return _place_split(profile, with_room, candidates, prompt)


def place_plain_request(candidates: list[Candidate]) -> Placement | None:
    """Return the least loaded server of a plain service, None if all are full."""
    free = [c for c in candidates if c.load.lead_requests < c.slots]
    if not free:
        return None
    best = min(
        free,
        key=lambda c: (
            c.load.lead_requests * c.slowdown / c.slots + (0.0 if c.is_local else 0.05),
            c.name,
        ),
    )
    return Placement(best.name, (), 0.0, 0.0, 0.0)

"""Offered load: prompts of widely varying lengths from several workspaces."""

from math import exp, log
from random import Random

from attrs import frozen

from briarrelay_core.agreement.configuration import hash_key
from briarrelay_core.routing.lengths import MEDIUM_MAX_TOKENS

__all__ = ["Arrival", "Workload", "make_configuration", "make_workload"]

LONG_PROMPT_FRACTION = 0.02
"""Fraction of the prompts that are longer than `MEDIUM_MAX_TOKENS`."""

MIN_PROMPT_TOKENS = 1_000
MAX_PROMPT_TOKENS = 1_000_000

OUTPUT_RANGE = (16, 256)
"""Minimum and maximum number of tokens generated for a prompt."""

WORKSPACES = 10
"""Number of workspaces that share the fleet."""

OTHERS_LOAD = 0.08
"""Load, as a fraction of capacity, of each workspace but the first in an overload.

Below the fair share of a workspace, 1 / `WORKSPACES`.
"""

BLOCK_ID_RANGE = 2**48


@frozen(slots=True)
class Arrival:
    """One request.

    :param at: arrival in seconds from the start of the run.
    :param deadline: seconds from the start of the run.
    """

    id: str
    at: float
    workspace: str
    tokens: int
    output_tokens: int
    deadline: float
    blocks: tuple[int, ...] = ()

    @property
    def work(self) -> int:
        """Prompt and output tokens that an engine processes for the request."""
        return self.tokens + self.output_tokens


@frozen(slots=True)
class Workload:
    """Requests in the order of arrival.

    :param duration: seconds for which requests arrive.
    """

    arrivals: tuple[Arrival, ...]
    duration: float

    @property
    def offered_tokens(self) -> int:
        """Total tokens that the requests need processed."""
        return sum(arrival.work for arrival in self.arrivals)


def _draw_log_uniform(random: Random, low: float, high: float) -> int:
    return int(exp(random.uniform(log(low), log(high))))


def _mean_log_uniform(low: float, high: float) -> float:
    return (high - low) / log(high / low)


def mean_work() -> float:
    """Return the expected work of one request, in tokens."""
    short_or_medium = _mean_log_uniform(MIN_PROMPT_TOKENS, MEDIUM_MAX_TOKENS)
    long = _mean_log_uniform(MEDIUM_MAX_TOKENS, MAX_PROMPT_TOKENS)
    prompt = (1 - LONG_PROMPT_FRACTION) * short_or_medium + LONG_PROMPT_FRACTION * long
    return prompt + _mean_log_uniform(*OUTPUT_RANGE)


def _draw_prompt_tokens(random: Random) -> int:
    if random.random() < LONG_PROMPT_FRACTION:
        return _draw_log_uniform(random, MEDIUM_MAX_TOKENS + 1, MAX_PROMPT_TOKENS)
    return _draw_log_uniform(random, MIN_PROMPT_TOKENS, MEDIUM_MAX_TOKENS)


def _deadline(at: float, tokens: int, output: int, engine_rate: float) -> float:
    return at + 10.0 + 3.0 * tokens / engine_rate + 0.076 * output


@frozen(slots=True)
class _WorkspaceTraffic:
    workspace: str
    requests_per_s: float


def _split_load(
    capacity: float, load: float, overload: bool
) -> list[_WorkspaceTraffic]:
    names = [f"ws{i}" for i in range(WORKSPACES)]
    if overload:
        others_load = OTHERS_LOAD * (WORKSPACES - 1)
        loads = [max(0.0, load - others_load)] + [OTHERS_LOAD] * (WORKSPACES - 1)
    else:
        weights = [1 / (i + 1) for i in range(WORKSPACES)]
        loads = [load * w / sum(weights) for w in weights]
    return [
        _WorkspaceTraffic(name, fraction * capacity / mean_work())
        for name, fraction in zip(names, loads, strict=True)
    ]


def make_workload(
    seed: int,
    duration: float,
    capacity: float,
    engine_rate: float,
    load: float,
    overload: bool = False,
    prefix_share: float = 0.0,
) -> Workload:
    """Draw the requests of a run.

    :param duration: seconds for which requests arrive.
    :param capacity: tokens per second that the whole fleet processes.
    :param engine_rate: prompt tokens per second that one engine processes.
    :param load: offered work over capacity.
    :param overload: whether the first workspace offers all load beyond that of the
        others, each of which stays within its fair share.
    :param prefix_share: fraction of the prompts that share a prefix with others.
    """
    random = Random(seed)
    arrivals = []
    for traffic in _split_load(capacity, load, overload):
        at = 0.0
        while traffic.requests_per_s > 0:
            at += random.expovariate(traffic.requests_per_s)
            if at >= duration:
                break
            arrivals.append(
                _draw_arrival(random, traffic, at, engine_rate, prefix_share)
            )
    arrivals.sort(key=lambda a: a.at)
    numbered = (
        Arrival(
            id=f"r{seed:04d}{index:07d}",
            at=a.at,
            workspace=a.workspace,
            tokens=a.tokens,
            output_tokens=a.output_tokens,
            deadline=a.deadline,
            blocks=a.blocks,
        )
        for index, a in enumerate(arrivals)
    )
    return Workload(tuple(numbered), duration)


def _draw_arrival(
    random: Random,
    traffic: _WorkspaceTraffic,
    at: float,
    engine_rate: float,
    prefix_share: float,
) -> Arrival:
    tokens = _draw_prompt_tokens(random)
    output = _draw_log_uniform(random, *OUTPUT_RANGE)
    blocks = tuple(random.randrange(BLOCK_ID_RANGE) for _ in range(tokens // 1_000))
    if prefix_share and random.random() < prefix_share:
        shared = Random(f"{traffic.workspace}:{random.randrange(20)}")
        count = len(blocks) // 2
        prefix = tuple(shared.randrange(BLOCK_ID_RANGE) for _ in range(count))
        blocks = prefix + blocks[count:]
    return Arrival(
        id="",
        at=at,
        workspace=traffic.workspace,
        tokens=tokens,
        output_tokens=output,
        deadline=_deadline(at, tokens, output, engine_rate),
        blocks=blocks if prefix_share else (),
    )


def make_configuration(objective: str, model: str = "base") -> dict:
    """Return a configuration with the workspaces of the workload, as a mapping."""
    return {
        "models": {model: {}},
        "services": {"booking": {}},
        "workspaces": {
            f"ws{i}": {"key_hashes": [hash_key(f"key-ws{i}")]}
            for i in range(WORKSPACES)
        },
        "presets": {
            "ordinary": {"objective": objective},
            "peak": {"objective": objective, "admit_margin_s": 1.0},
            "maintenance": {"objective": objective, "accept_long": False},
        },
        "preset": "ordinary",
    }

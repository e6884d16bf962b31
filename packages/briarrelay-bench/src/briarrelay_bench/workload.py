"""Offered load: prompts of very unlike lengths from a few workspaces."""

from math import exp, log
from random import Random

from attrs import frozen

from briarrelay_core.agreement.configuration import hash_key
from briarrelay_core.routing.lengths import MEDIUM_MAX_TOKENS

__all__ = ["Arrival", "Workload", "make_configuration", "make_workload"]

LONG_PART = 0.02
"""Part of the prompts that is over a hundred thousand tokens."""

SHORTEST = 1_000
LONGEST = 1_000_000

OUTPUT_RANGE = (16, 256)
"""Least and most tokens generated for a prompt."""

WORKSPACES = 10
"""Workspaces that share the fleet."""

WITHIN_SHARE = 0.08
"""Part of the capacity that each workspace but the first asks for in an overload."""

BLOCK_SPREAD = 2**48


@frozen(slots=True)
class Arrival:
    """One request.

    :param at: seconds from the start of the run.
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
        """Tokens that an engine processes for it."""
        return self.tokens + self.output_tokens


@frozen(slots=True)
class Workload:
    """Requests in the order of their arrival."""

    arrivals: tuple[Arrival, ...]
    duration: float

    @property
    def offered(self) -> int:
        """Tokens of work of every request."""
        return sum(arrival.work for arrival in self.arrivals)


def _log_uniform(random: Random, low: float, high: float) -> int:
    return int(exp(random.uniform(log(low), log(high))))


def _mean_log_uniform(low: float, high: float) -> float:
    return (high - low) / log(high / low)


def mean_work() -> float:
    """Return the expected tokens of work of one request."""
    usual = _mean_log_uniform(SHORTEST, MEDIUM_MAX_TOKENS)
    long = _mean_log_uniform(MEDIUM_MAX_TOKENS, LONGEST)
    prompt = (1 - LONG_PART) * usual + LONG_PART * long
    return prompt + _mean_log_uniform(*OUTPUT_RANGE)


def _tokens(random: Random) -> int:
    if random.random() < LONG_PART:
        return _log_uniform(random, MEDIUM_MAX_TOKENS + 1, LONGEST)
    return _log_uniform(random, SHORTEST, MEDIUM_MAX_TOKENS)


def _deadline(at: float, tokens: int, output: int, rate: float) -> float:
    return at + 10.0 + 3.0 * tokens / rate + 0.076 * output


@frozen(slots=True)
class _Source:
    workspace: str
    rate: float


def _sources(capacity: float, load: float, overload: bool) -> list[_Source]:
    names = [f"ws{i}" for i in range(WORKSPACES)]
    if overload:
        rest = WITHIN_SHARE * (WORKSPACES - 1)
        parts = [max(0.0, load - rest)] + [WITHIN_SHARE] * (WORKSPACES - 1)
    else:
        weights = [1 / (i + 1) for i in range(WORKSPACES)]
        parts = [load * w / sum(weights) for w in weights]
    return [
        _Source(name, part * capacity / mean_work())
        for name, part in zip(names, parts, strict=True)
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
    :param capacity: tokens a second that the whole fleet processes.
    :param load: offered work over capacity.
    :param overload: the first workspace asks for all beyond the others' shares.
    :param prefix_share: part of the prompts that begin like an earlier one.
    """
    random = Random(seed)
    arrivals = []
    for source in _sources(capacity, load, overload):
        at = 0.0
        while source.rate > 0:
            at += random.expovariate(source.rate)
            if at >= duration:
                break
            arrivals.append(_draw(random, source, at, engine_rate, prefix_share))
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


def _draw(
    random: Random, source: _Source, at: float, rate: float, prefix_share: float
) -> Arrival:
    tokens = _tokens(random)
    output = _log_uniform(random, *OUTPUT_RANGE)
    blocks = tuple(random.randrange(BLOCK_SPREAD) for _ in range(tokens // 1_000))
    if prefix_share and random.random() < prefix_share:
        shared = Random(f"{source.workspace}:{random.randrange(20)}")
        count = len(blocks) // 2
        prefix = tuple(shared.randrange(BLOCK_SPREAD) for _ in range(count))
        blocks = prefix + blocks[count:]
    return Arrival(
        id="",
        at=at,
        workspace=source.workspace,
        tokens=tokens,
        output_tokens=output,
        deadline=_deadline(at, tokens, output, rate),
        blocks=blocks if prefix_share else (),
    )


def make_configuration(objective: str, model: str = "base") -> dict:
    """Return a configuration with the workload's workspaces, as a mapping."""
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

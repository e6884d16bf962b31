"""The published configuration: models, services, workspaces and presets."""

from enum import StrEnum
from hashlib import sha256

from attrs import evolve, field, frozen, validators

from briarrelay_core.checked import from_mapping, to_mapping

__all__ = [
    "Configuration",
    "ModelSpec",
    "Objective",
    "Preset",
    "ServiceSpec",
    "Workspace",
    "hash_key",
    "merge_patch",
    "patched",
    "read_configuration",
]


class Objective(StrEnum):
    """What routing gives up other things for."""

    SHORT = "short"
    TTFT = "ttft"


def hash_key(key: str) -> str:
    """Return the form in which a workspace's bearer key is kept."""
    return sha256(key.encode()).hexdigest()


def _between(low: float, high: float):
    return validators.and_(validators.ge(low), validators.le(high))


@frozen(slots=True, kw_only=True)
class Preset:
    """Policy for a kind of day.

    :param objective: slowdown of short requests, or time to first token of all.
    :param short_window_s: queued work, in seconds, up to which an engine is given
        short prompts.
    :param medium_window_s: the same for longer prompts that one engine holds.
    :param long_window_s: the same for prompts that need several engines at once.
    :param memory_headroom: share of an engine's memory that long prompts may not
        reserve.
    :param short_reserve: part of the engines that longer prompts leave to short ones.
    :param reserve_patience_s: seconds that a longer prompt waits before it may use
        those engines as well.
    :param retry_ratio: retries allowed for each request of the last minute.
    :param admit_margin_s: seconds by which an answer must be early.
    :param accept_long: False refuses prompts of the longest class.
    :param accept_calls: False refuses calls to plain services.
    """

    objective: Objective = Objective.SHORT
    short_window_s: float = field(default=0.4, validator=_between(0.01, 60))
    medium_window_s: float = field(default=1.0, validator=_between(0.01, 600))
    long_window_s: float = field(default=3.0, validator=_between(0.01, 600))
    memory_headroom: float = field(default=0.15, validator=_between(0.0, 0.9))
    short_reserve: float = field(default=0.15, validator=_between(0.0, 0.9))
    reserve_patience_s: float = field(default=3.0, validator=_between(0.0, 600))
    retry_ratio: float = field(default=0.1, validator=_between(0.0, 1.0))
    admit_margin_s: float = field(default=0.5, validator=_between(0.0, 60))
    accept_long: bool = True
    accept_calls: bool = True


@frozen(slots=True, kw_only=True)
class ModelSpec:
    """A model that engines load.

    :param version: weights to load.
    :param share: part of the engines that carry the model, relative to the others.
    """

    version: str = field(default="1", validator=validators.min_len(1))
    adapters: tuple[str, ...] = ()
    share: float = field(default=1.0, validator=_between(0.0, 1e6))
    role: str = "serve"


@frozen(slots=True, kw_only=True)
class ServiceSpec:
    """A plain service.

    :param repeatable: whether running a call twice does no harm.
    """

    repeatable: bool = False


@frozen(slots=True, kw_only=True)
class Workspace:
    """A workspace that may send requests.

    :param key_hashes: SHA-256 of its bearer keys, in hexadecimal.
    :param weight: its share under overload, relative to the others.
    :param limit: prompt tokens a second over all instances, 0 for no limit.
    """

    key_hashes: tuple[str, ...] = ()
    weight: float = field(default=1.0, validator=_between(0.001, 1e6))
    limit: float = field(default=0.0, validator=_between(0.0, 1e12))


@frozen(slots=True, kw_only=True)
class Configuration:
    """One whole configuration; exactly one preset of it is in force.

    :param preset: name of the preset in force.
    """

    models: dict[str, ModelSpec] = field(factory=dict)
    services: dict[str, ServiceSpec] = field(factory=dict)
    workspaces: dict[str, Workspace] = field(factory=dict)
    presets: dict[str, Preset] = field(factory=dict)
    preset: str = ""

    def __attrs_post_init__(self):
        if self.preset not in self.presets:
            known = ", ".join(sorted(self.presets)) or "none"
            raise ValueError(
                f"preset: given {self.preset!r}, which 'presets' does not define; "
                f"name one of: {known}"
            )

    @property
    def in_force(self) -> Preset:
        """The preset in force."""
        return self.presets[self.preset]

    def with_preset(self, name: str) -> "Configuration":
        """Return the same configuration with another preset in force."""
        return evolve(self, preset=name)

    def keys(self) -> dict[str, str]:
        """Return the workspace of each key hash."""
        return {
            key_hash: name
            for name, workspace in self.workspaces.items()
            for key_hash in workspace.key_hashes
        }


def merge_patch(target: object, patch: object) -> object:
    """Apply a JSON merge patch.

    :returns: the patched value; the target stays as it is.

    Source: RFC 7396.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged


def read_configuration(mapping: object, source: str) -> Configuration:
    """Check a mapping and return the configuration it holds.

    :raises CheckedError: if a field is unknown, of the wrong type or out of range.
    """
    return from_mapping(Configuration, mapping, source)


def patched(current: Configuration, patch: object) -> Configuration:
    """Return a configuration with a patch applied, or raise CheckedError."""
    return read_configuration(merge_patch(to_mapping(current), patch), "patch")

"""The published configuration: models, services, workspaces and presets."""

from enum import StrEnum
from hashlib import sha256

from attrs import evolve, field, frozen, validators

from briarrelay_core.mappings import from_mapping, to_mapping

__all__ = [
    "Configuration",
    "ModelSpec",
    "Objective",
    "Preset",
    "ServiceSpec",
    "Workspace",
    "apply_patch",
    "hash_key",
    "merge_patch",
    "read_configuration",
]


class Objective(StrEnum):
    """What routing optimizes first.

    SHORT is the slowdown of short requests, TTFT the time to first token of all.
    """

    SHORT = "short"
    TTFT = "ttft"


def hash_key(key: str) -> str:
    """Return the hash under which a workspace's bearer key is stored."""
    return sha256(key.encode()).hexdigest()


def _between(low: float, high: float):
    return validators.and_(validators.ge(low), validators.le(high))


@frozen(slots=True, kw_only=True)
class Preset:
    """A named routing and admission policy.

    :param objective: what routing optimizes first.
    :param short_window_s: seconds of queued work up to which an engine is given short
        prompts.
    :param medium_window_s: the same for longer prompts that one engine holds.
    :param long_window_s: the same for prompts that need several engines at once.
    :param memory_headroom: fraction of an engine's memory that long prompts may not
        reserve.
    :param short_reserve: fraction of the engines reserved for short prompts.
    :param reserve_patience_s: seconds that a longer prompt waits before it may use
        the reserved engines as well.
    :param retry_ratio: retries allowed for each request of the last minute.
    :param admit_margin_s: seconds before the deadline by which a response must be
        expected for the request to be admitted.
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

    :param version: version of the weights to load.
    :param adapters: adapters to load on the engines that serve the model.
    :param share: weight of the model when engines are divided among the models; a
        model with 0 is assigned to none.
    :param role: role to set on those engines.
    """

    version: str = field(default="1", validator=validators.min_len(1))
    adapters: tuple[str, ...] = ()
    share: float = field(default=1.0, validator=_between(0.0, 1e6))
    role: str = "serve"


@frozen(slots=True, kw_only=True)
class ServiceSpec:
    """A plain service.

    :param repeatable: whether a call may safely run more than once.
    """

    repeatable: bool = False


@frozen(slots=True, kw_only=True)
class Workspace:
    """A workspace that may send requests.

    :param key_hashes: SHA-256 of its bearer keys, in hexadecimal.
    :param weight: its share under overload, relative to other workspaces.
    :param limit: prompt tokens per second over all instances, 0 for no limit.
    """

    key_hashes: tuple[str, ...] = ()
    weight: float = field(default=1.0, validator=_between(0.001, 1e6))
    limit: float = field(default=0.0, validator=_between(0.0, 1e12))


@frozen(slots=True, kw_only=True)
class Configuration:
    """A complete configuration; exactly one of its presets is in force.

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
    def preset_in_force(self) -> Preset:
        """The preset in force."""
        return self.presets[self.preset]

    def with_preset(self, name: str) -> "Configuration":
        """Return the same configuration with another preset in force."""
        return evolve(self, preset=name)

    def workspaces_by_key_hash(self) -> dict[str, str]:
        """Return the workspace names by key hash."""
        return {
            key_hash: name
            for name, workspace in self.workspaces.items()
            for key_hash in workspace.key_hashes
        }


def merge_patch(target: object, patch: object) -> object:
    """Apply a JSON merge patch.

    :returns: the patched value; the target is not modified.

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

    :raises MappingError: if a field is unknown, of the wrong type or out of range.
    """
    return from_mapping(Configuration, mapping, source)


def apply_patch(current: Configuration, patch: object) -> Configuration:
    """Return the configuration with a patch applied.

    :raises MappingError: if the result is not a valid configuration.
    """
    return read_configuration(merge_patch(to_mapping(current), patch), "patch")

"""Presets of the routes: policies for different situations, one of them in force.

All presets and the name of the one in force form one value, which is only replaced as a
whole and by a later revision, so that at any time exactly one preset is in force.
"""

import json

from attrs import evolve, field, frozen, validators

from briarrelay_core.agreement.configuration import Preset
from briarrelay_core.mappings import MappingError, from_mapping, to_mapping
from briarrelay_core.ports.position import EraPosition

__all__ = ["BUILT_IN", "PresetCollection", "read_presets"]

BUILT_IN = Preset(retry_ratio=1.0)
"""In force until operators publish presets: all requests are accepted, and retries are
limited by the settings alone."""


@frozen(slots=True, kw_only=True)
class PresetCollection:
    """All presets and the name of the one in force.

    :param revision: increases by one with each change.
    :param change_id: unique id of the change, by which its author recognizes it.
    :param at: time of the change in Unix seconds.
    :param active: name of the preset in force, empty for the built-in one.
    :param era: era of the store in which the change was written, or written again.
    """

    revision: int = field(default=0, validator=validators.ge(0))
    change_id: str = ""
    author: str = ""
    at: float = 0.0
    presets: dict[str, Preset] = field(factory=dict)
    active: str = ""
    era: int = field(default=0, validator=validators.ge(0))

    def __attrs_post_init__(self):
        if self.active and self.active not in self.presets:
            known = ", ".join(sorted(self.presets)) or "none"
            raise ValueError(
                f"active: given {self.active!r}, which 'presets' does not define; "
                f"name one of: {known}"
            )

    @property
    def in_force(self) -> Preset:
        """The preset in force."""
        return self.presets[self.active] if self.active else BUILT_IN

    @property
    def position(self) -> EraPosition:
        """Orders changes; one of a later era replaces what was lost in it."""
        return EraPosition(self.era, self.revision)

    def with_preset(self, name: str, preset: Preset) -> "PresetCollection":
        """Return the next revision with a preset added or replaced."""
        presets = {**self.presets, name: preset}
        return evolve(self, revision=self.revision + 1, presets=presets)

    def without_preset(self, name: str) -> "PresetCollection":
        """Return the next revision without a preset, which must not be in force."""
        if name == self.active:
            raise ValueError(f"preset {name!r} is in force; activate another one first")
        self._require(name)
        presets = {key: value for key, value in self.presets.items() if key != name}
        return evolve(self, revision=self.revision + 1, presets=presets)

    def with_active(self, name: str) -> "PresetCollection":
        """Return the next revision with another preset in force."""
        self._require(name)
        return evolve(self, revision=self.revision + 1, active=name)

    def with_change_info(
        self, change_id: str, author: str, at: float
    ) -> "PresetCollection":
        """Return the same revision with the id, author and time of the change."""
        return evolve(self, change_id=change_id, author=author, at=at)

    def with_era(self, era: int) -> "PresetCollection":
        """Return the same change as written in another era of the store."""
        return evolve(self, era=era)

    def to_mapping(self) -> dict:
        """Return the fields; the era is left out while it is 0.

        Earlier releases, which do not know eras, can then read them.
        """
        mapping = to_mapping(self)
        if not self.era:
            del mapping["era"]
        return mapping

    def to_json(self) -> str:
        """Return the JSON text to store."""
        return json.dumps(self.to_mapping(), separators=(",", ":"))

    def _require(self, name: str) -> None:
        if name not in self.presets:
            known = ", ".join(sorted(self.presets)) or "none"
            raise ValueError(f"preset {name!r} is not defined; name one of: {known}")


def read_presets(text: str | bytes, source: str) -> PresetCollection:
    """Return the presets in a JSON text.

    :param source: where the text comes from, for error messages.
    :raises MappingError: if the text is invalid, naming the part at fault.
    """
    try:
        mapping = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise MappingError(source, "$", f"not JSON ({error})") from error
    return from_mapping(PresetCollection, mapping, source)

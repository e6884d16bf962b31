"""Commands on the presets, which are stored and replaced as one value."""

from collections.abc import Callable
from time import monotonic, sleep, time
from typing import Protocol

from attrs import define
from uuid6 import uuid7

from briarrelay_core.agreement.configuration import Preset
from briarrelay_core.mappings import MappingError, from_mapping, to_mapping
from briarrelay_core.ports.position import EraPosition
from briarrelay_core.routes.presets import PresetCollection
from briarrelay_ctl.remote import RemoteError
from briarrelay_ctl.results import (
    EXIT_CONFLICT,
    EXIT_INVALID,
    EXIT_OUTCOME_UNKNOWN,
    Result,
)
from briarrelay_ctl.tables import format_table

__all__ = ["PresetCommands", "PresetStore"]

SETTLE_TIMEOUT_S = 10.0
"""Seconds for which a write is retried; after a longer outage of the store, the
command reports an unknown outcome."""

RETRY_INTERVAL_S = 0.3
"""Seconds between attempts to write."""


class PresetStore(Protocol):
    """Stores the presets and replaces them by compare-and-swap on a position."""

    def read(self) -> tuple[PresetCollection, EraPosition]:
        """Return the presets and the position after their record.

        :raises RemoteError: if the store does not respond.
        """

    def read_position(self, position: EraPosition) -> PresetCollection | None:
        """Return the presets at a position, None if no record is kept there."""

    def replace(
        self, collection: PresetCollection, position: EraPosition
    ) -> EraPosition | None:
        """Append presets if the position is still the end; return the one after.

        :returns: None if it was not the end. The position is of a later era if the
            store has returned to a copy meanwhile.
        :raises RemoteError: if the store does not respond.
        """


@define(slots=True)
class PresetCommands:
    """Commands that read and change the presets.

    :param author: author of the changes.
    :param settle_s: seconds for which a write is retried.
    """

    store: PresetStore
    author: str
    settle_s: float = SETTLE_TIMEOUT_S

    def list(self) -> Result:
        """List the presets; the one in force is marked."""
        collection, _ = self.store.read()
        rows = [
            ("*" if name == collection.active else "", name, _format_settings(preset))
            for name, preset in sorted(collection.presets.items())
        ]
        text = format_table(("in force", "preset", "settings"), rows)
        if not collection.active:
            text += "\nthe built-in preset is in force; run 'preset activate NAME'"
        if collection.revision:
            text += f"\nrevision {collection.revision} by {collection.author}"
        return Result(0, collection.to_mapping(), text)

    def publish(self, name: str, mapping: object) -> Result:
        """Add or replace a preset."""
        try:
            preset = from_mapping(Preset, mapping, name)
        except MappingError as error:
            return Result(EXIT_INVALID, {"problem": str(error)}, str(error))
        return self._change(lambda collection: collection.with_preset(name, preset))

    def activate(self, name: str) -> Result:
        """Put a preset in force."""
        return self._change(lambda collection: collection.with_active(name))

    def remove(self, name: str) -> Result:
        """Remove a preset that is not in force."""
        return self._change(lambda collection: collection.without_preset(name))

    def _change(self, update: Callable[[PresetCollection], PresetCollection]) -> Result:
        collection, position = self.store.read()
        try:
            changed = update(collection)
        except ValueError as error:
            return Result(EXIT_INVALID, {"problem": str(error)}, str(error))
        signed = changed.with_change_info(str(uuid7()), self.author, round(time(), 3))
        return self._write(signed.with_era(position.era), position)

    def _write(self, collection: PresetCollection, position: EraPosition) -> Result:
        """Retry a write until its outcome is known or time is over.

        Retries are safe, since at most one write at a position succeeds. A write that
        was accepted in a later era is repeated with that era, which orders changes.
        """
        deadline = monotonic() + self.settle_s
        while True:
            try:
                end = self.store.replace(collection, position)
                if end is not None and end.era > collection.era:
                    collection, position = collection.with_era(end.era), end
                    continue
                if end is not None:
                    return _accepted(collection)
                winner = self.store.read_position(position) or self.store.read()[0]
                if winner.change_id == collection.change_id:
                    return _accepted(collection)
                return _rejected(winner)
            except RemoteError as error:
                if monotonic() >= deadline:
                    return _outcome_unknown(collection, error)
                sleep(RETRY_INTERVAL_S)


def _format_settings(preset: Preset) -> str:
    """Return the settings that differ from the defaults as text."""
    default = to_mapping(Preset())
    given = to_mapping(preset)
    changed = [f"{k}={v}" for k, v in given.items() if v != default[k]]
    return ", ".join(changed) or "default"


def _accepted(collection: PresetCollection) -> Result:
    text = (
        f"accepted: revision {collection.revision}, "
        f"{collection.active or 'built-in'} in force"
    )
    return Result(0, to_mapping(collection), text)


def _rejected(winner: PresetCollection) -> Result:
    text = (
        f"rejected: {winner.author} wrote revision {winner.revision} first; "
        f"run 'preset list', then try again"
    )
    return Result(EXIT_CONFLICT, to_mapping(winner), text)


def _outcome_unknown(collection: PresetCollection, error: RemoteError) -> Result:
    text = (
        f"it is unknown whether revision {collection.revision} was written ({error}); "
        f"run 'preset list' when the store responds, and check before trying again"
    )
    return Result(EXIT_OUTCOME_UNKNOWN, to_mapping(collection), text)

"""Commands on the presets that are kept as one value."""

from collections.abc import Callable
from time import monotonic, sleep, time
from typing import Protocol

from attrs import define
from uuid6 import uuid7

from briarrelay_core.agreement.configuration import Preset
from briarrelay_core.mappings import MappingError, from_mapping, to_mapping
from briarrelay_core.routes.presets import PresetBook
from briarrelay_ctl.remote import RemoteError
from briarrelay_ctl.results import EXIT_INVALID, EXIT_RACE, EXIT_UNSETTLED, Result
from briarrelay_ctl.tables import format_table

__all__ = ["BookStore", "PresetCommands"]

SETTLE_S = 10.0
"""Longest time in seconds to learn what became of a change; an outage of the store
that lasts longer is told to the operator."""

LOOK_S = 0.3
"""Seconds between tries."""


class BookStore(Protocol):
    """Keeps the presets and replaces them only if nobody else did meanwhile."""

    def read(self) -> tuple[PresetBook, int]:
        """Return the presets and the position behind them.

        :raises RemoteError: if the store does not answer.
        """

    def written_at(self, position: int) -> PresetBook | None:
        """Return what was written at a position, None if that is forgotten."""

    def replace(self, book: PresetBook, position: int) -> bool:
        """Write presets if the position is still the last; return whether it was.

        :raises RemoteError: if the store does not answer.
        """


@define(slots=True)
class PresetCommands:
    """What operators do with presets.

    :param settle_s: longest time in seconds to learn what became of a change.
    """

    store: BookStore
    author: str
    settle_s: float = SETTLE_S

    def list(self) -> Result:
        """Show the presets and which one is in force."""
        book, _ = self.store.read()
        rows = [
            ("*" if name == book.active else "", name, _settings_of(preset))
            for name, preset in sorted(book.presets.items())
        ]
        text = format_table(("in force", "preset", "settings"), rows)
        if not book.active:
            text += "\nthe built-in preset is in force; run 'preset activate NAME'"
        if book.revision:
            text += f"\nrevision {book.revision} by {book.author}"
        return Result(0, to_mapping(book), text)

    def publish(self, name: str, mapping: object) -> Result:
        """Add a preset, or replace one."""
        try:
            preset = from_mapping(Preset, mapping, name)
        except MappingError as error:
            return Result(EXIT_INVALID, {"problem": str(error)}, str(error))
        return self._change(lambda book: book.with_preset(name, preset))

    def activate(self, name: str) -> Result:
        """Put a preset in force."""
        return self._change(lambda book: book.with_active(name))

    def remove(self, name: str) -> Result:
        """Remove a preset that is not in force."""
        return self._change(lambda book: book.without(name))

    def _change(self, make: Callable[[PresetBook], PresetBook]) -> Result:
        book, position = self.store.read()
        try:
            changed = make(book)
        except ValueError as error:
            return Result(EXIT_INVALID, {"problem": str(error)}, str(error))
        signed = changed.signed(str(uuid7()), self.author, round(time(), 3))
        return self._settle(signed, position)

    def _settle(self, book: PresetBook, position: int) -> Result:
        """Write until it is known whether the change landed.

        It can be repeated without harm: at most one write lands at a position.
        """
        end = monotonic() + self.settle_s
        while True:
            try:
                if self.store.replace(book, position):
                    return _accepted(book)
                winner = self.store.written_at(position) or self.store.read()[0]
                if winner.change_id == book.change_id:
                    return _accepted(book)
                return _lost(winner)
            except RemoteError as error:
                if monotonic() >= end:
                    return _unsettled(book, error)
                sleep(LOOK_S)


def _settings_of(preset: Preset) -> str:
    """Return the settings that differ from the default."""
    default = to_mapping(Preset())
    given = to_mapping(preset)
    changed = [f"{k}={v}" for k, v in given.items() if v != default[k]]
    return ", ".join(changed) or "default"


def _accepted(book: PresetBook) -> Result:
    text = f"accepted: revision {book.revision}, {book.active or 'built-in'} in force"
    return Result(0, to_mapping(book), text)


def _lost(winner: PresetBook) -> Result:
    text = (
        f"rejected: {winner.author} made revision {winner.revision} first; "
        f"run 'preset list', then try again"
    )
    return Result(EXIT_RACE, to_mapping(winner), text)


def _unsettled(book: PresetBook, error: RemoteError) -> Result:
    text = (
        f"not known whether revision {book.revision} landed ({error}); run 'preset "
        f"list' when the store answers and look for it before trying again"
    )
    return Result(EXIT_UNSETTLED, to_mapping(book), text)

"""The configuration as a fold over the log: the same verdicts on every instance."""

import json
from collections import OrderedDict
from enum import StrEnum

from attrs import define, field, frozen

from briarrelay_core.agreement.configuration import (
    Configuration,
    merge_patch,
    patched,
    read_configuration,
)
from briarrelay_core.checked import CheckedError, from_mapping, to_mapping
from briarrelay_core.ports.log import LogRecord

__all__ = [
    "CONFIG_STREAM",
    "SNAPSHOT_STREAM",
    "ChangeKind",
    "ChangeRecord",
    "ConfigurationFold",
    "Verdict",
]

CONFIG_STREAM = "config"
SNAPSHOT_STREAM = "config-snapshots"

MAX_VERDICTS = 2_000
"""Latest verdicts kept, to answer operators and find repeated records."""


class ChangeKind(StrEnum):
    """Kinds of records on the configuration stream."""

    PATCH = "patch"
    PRESET = "preset"
    SNAPSHOT = "snapshot"


@frozen(slots=True, kw_only=True)
class ChangeRecord:
    """A record of the configuration stream.

    :param base: revision that the author saw; the change counts only on top of it.
    :param patch: JSON merge patch, for a patch.
    :param preset: preset to put in force, for a preset.
    :param covers: offset up to which a snapshot covers the stream.
    """

    id: str
    kind: ChangeKind
    author: str
    base: int
    at: float
    patch: dict = field(factory=dict)
    preset: str = ""
    covers: int = 0

    def to_json(self) -> str:
        """Return the record's JSON text."""
        return json.dumps(to_mapping(self), sort_keys=True, separators=(",", ":"))


@frozen(slots=True, kw_only=True)
class Verdict:
    """What became of a change.

    :param revision: revision in force after it.
    :param winner: id of the change that took the base revision first, if any.
    """

    id: str
    kind: ChangeKind
    author: str
    base: int
    accepted: bool
    revision: int
    offset: int
    at: float
    problem: str = ""
    winner: str = ""


@define(slots=True)
class ConfigurationFold:
    """State of the configuration stream up to an offset.

    :param revision: number of accepted changes; never falls.
    :param next_offset: first offset that is not folded yet.
    :param snapshot_covers: offset that the latest announced snapshot covers.
    """

    revision: int = 0
    next_offset: int = 0
    configuration: Configuration | None = None
    snapshot_covers: int = 0
    snapshot_at: float = 0.0
    bad_records: int = 0
    _verdicts: OrderedDict = field(factory=OrderedDict)
    _author_of: dict[int, str] = field(factory=dict)

    @property
    def verdicts(self) -> list[Verdict]:
        """Latest verdicts, oldest first."""
        return list(self._verdicts.values())

    def verdict_of(self, change_id: str) -> Verdict | None:
        """Return what became of a change, if it is still known."""
        return self._verdicts.get(change_id)

    def apply(self, record: LogRecord) -> Verdict | None:
        """Fold the next record of the stream.

        :returns: the verdict on a change, or None for other records and repeats.
        """
        if record.offset < self.next_offset:
            return None
        self.next_offset = record.offset + 1
        try:
            change = from_mapping(ChangeRecord, json.loads(record.body), "config")
        except (ValueError, RecursionError):
            self.bad_records += 1
            return None
        if change.kind is ChangeKind.SNAPSHOT:
            self.snapshot_covers = max(self.snapshot_covers, change.covers)
            self.snapshot_at = change.at
            return None
        if change.id in self._verdicts:
            return None
        return self._judge(change, record.offset)

    def _judge(self, change: ChangeRecord, offset: int) -> Verdict:
        problem, winner = "", ""
        if change.base != self.revision:
            winner = self._author_of.get(change.base + 1, "")
            problem = (
                f"base revision {change.base} is not the current {self.revision}; "
                "read the current configuration and publish again"
            )
        else:
            problem = self._try(change)
        accepted = not problem
        if accepted:
            self.revision += 1
            self._author_of[self.revision] = change.id
        verdict = Verdict(
            id=change.id,
            kind=change.kind,
            author=change.author,
            base=change.base,
            accepted=accepted,
            revision=self.revision,
            offset=offset,
            at=change.at,
            problem=problem,
            winner=winner,
        )
        self._remember(verdict)
        return verdict

    def _try(self, change: ChangeRecord) -> str:
        """Put a change in force; return the problem if it does not fit."""
        try:
            self.configuration = self._changed(change)
        except (CheckedError, ValueError) as error:
            return str(error)
        return ""

    def _changed(self, change: ChangeRecord) -> Configuration:
        if change.kind is ChangeKind.PATCH:
            if self.configuration is None:
                return read_configuration(merge_patch({}, change.patch), "patch")
            return patched(self.configuration, change.patch)
        if self.configuration is None:
            raise ValueError("no configuration yet; publish one before a preset")
        return self.configuration.with_preset(change.preset)

    def _remember(self, verdict: Verdict) -> None:
        self._verdicts[verdict.id] = verdict
        while len(self._verdicts) > MAX_VERDICTS:
            old = self._verdicts.popitem(last=False)[1]
            if old.accepted:
                self._author_of.pop(old.revision, None)

    def to_snapshot(self) -> str:
        """Return the whole state as JSON text."""
        state = {
            "revision": self.revision,
            "next_offset": self.next_offset,
            "configuration": to_mapping(self.configuration),
            "verdicts": [to_mapping(verdict) for verdict in self.verdicts],
        }
        return json.dumps(state, sort_keys=True, separators=(",", ":"))

    def take_snapshot(self, body: str) -> bool:
        """Advance to a snapshot's state if it is newer than this one.

        :returns: whether the revision or the offset rose.
        :raises CheckedError: if the snapshot does not parse.
        """
        state = from_mapping(_Snapshot, json.loads(body), "snapshot")
        if state.next_offset <= self.next_offset or state.revision < self.revision:
            return False
        self.revision = state.revision
        self.next_offset = state.next_offset
        self.configuration = state.configuration
        for verdict in state.verdicts:
            self._remember(verdict)
            if verdict.accepted:
                self._author_of[verdict.revision] = verdict.id
        return True


@frozen(slots=True)
class _Snapshot:
    revision: int
    next_offset: int
    configuration: Configuration | None
    verdicts: tuple[Verdict, ...]

"""Configuration changes, derived from the log.

Every instance applies the same records in the same order and so accepts and rejects the
same changes.
"""

import json
from collections import OrderedDict
from enum import StrEnum

from attrs import define, field, frozen

from briarrelay_core.agreement.configuration import (
    Configuration,
    apply_patch,
    merge_patch,
    read_configuration,
)
from briarrelay_core.mappings import MappingError, from_mapping, to_mapping
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
"""Number of latest verdicts kept for operators and for detecting repeated records."""


class ChangeKind(StrEnum):
    """Kinds of records on the configuration stream.

    PATCH changes the configuration, PRESET puts a preset in force, SNAPSHOT announces a
    record of the snapshot stream.
    """

    PATCH = "patch"
    PRESET = "preset"
    SNAPSHOT = "snapshot"


@frozen(slots=True, kw_only=True)
class ChangeRecord:
    """A record of the configuration stream.

    :param base: revision that the change was made for; the change is rejected unless
        this is the current revision.
    :param patch: JSON merge patch, for a patch.
    :param preset: preset to put in force, for a preset.
    :param covers: first offset that the snapshot does not cover, for a snapshot.
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
    """Decision to accept or reject a change, the same on every instance.

    :param revision: current revision after the change was decided on.
    :param problem: why the change was rejected, empty if it was accepted.
    :param winner: id of the change accepted earlier on the same base, if known.
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
    """Configuration and verdicts derived from the stream's records up to an offset.

    :param revision: number of accepted changes; never decreases.
    :param next_offset: first offset that is not applied yet.
    :param snapshot_covers: first offset not covered by the latest announced snapshot.
    :param snapshot_at: Unix seconds at which that snapshot was announced.
    :param bad_records: number of records that did not parse.
    """

    revision: int = 0
    next_offset: int = 0
    configuration: Configuration | None = None
    snapshot_covers: int = 0
    snapshot_at: float = 0.0
    bad_records: int = 0
    _verdicts: OrderedDict = field(factory=OrderedDict)
    _accepted_ids: dict[int, str] = field(factory=dict)

    @property
    def verdicts(self) -> list[Verdict]:
        """Latest verdicts, oldest first."""
        return list(self._verdicts.values())

    def verdict_of(self, change_id: str) -> Verdict | None:
        """Return the verdict on a change, None if there is none or it was dropped."""
        return self._verdicts.get(change_id)

    def apply(self, record: LogRecord) -> Verdict | None:
        """Apply the next record of the stream.

        :returns: the verdict on a change, or None for other records and duplicates.
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
        return self._evaluate(change, record.offset)

    def _evaluate(self, change: ChangeRecord, offset: int) -> Verdict:
        problem, winner = "", ""
        if change.base != self.revision:
            winner = self._accepted_ids.get(change.base + 1, "")
            problem = (
                f"base revision {change.base} is not the current {self.revision}; "
                "read the current configuration and publish again"
            )
        else:
            problem = self._apply_change(change)
        accepted = not problem
        if accepted:
            self.revision += 1
            self._accepted_ids[self.revision] = change.id
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
        self._add_verdict(verdict)
        return verdict

    def _apply_change(self, change: ChangeRecord) -> str:
        """Apply a change to the configuration; return the problem if it is invalid."""
        try:
            self.configuration = self._configuration_after(change)
        except (MappingError, ValueError) as error:
            return str(error)
        return ""

    def _configuration_after(self, change: ChangeRecord) -> Configuration:
        if change.kind is ChangeKind.PATCH:
            if self.configuration is None:
                return read_configuration(merge_patch({}, change.patch), "patch")
            return apply_patch(self.configuration, change.patch)
        if self.configuration is None:
            raise ValueError("no configuration yet; publish one before a preset")
        return self.configuration.with_preset(change.preset)

    def _add_verdict(self, verdict: Verdict) -> None:
        self._verdicts[verdict.id] = verdict
        while len(self._verdicts) > MAX_VERDICTS:
            old = self._verdicts.popitem(last=False)[1]
            if old.accepted:
                self._accepted_ids.pop(old.revision, None)

    def to_snapshot(self) -> str:
        """Return the state as JSON text."""
        state = {
            "revision": self.revision,
            "next_offset": self.next_offset,
            "configuration": to_mapping(self.configuration),
            "verdicts": [to_mapping(verdict) for verdict in self.verdicts],
        }
        return json.dumps(state, sort_keys=True, separators=(",", ":"))

    def install_snapshot(self, body: str) -> bool:
        """Replace the state by a snapshot's if the snapshot is newer.

        Verdicts that the snapshot does not hold are kept.

        :returns: whether the state was replaced.
        :raises ValueError: if the snapshot is not JSON or, as a `MappingError`, if it
            does not match the expected fields.
        """
        state = from_mapping(_Snapshot, json.loads(body), "snapshot")
        if state.next_offset <= self.next_offset or state.revision < self.revision:
            return False
        self.revision = state.revision
        self.next_offset = state.next_offset
        self.configuration = state.configuration
        for verdict in state.verdicts:
            self._add_verdict(verdict)
            if verdict.accepted:
                self._accepted_ids[verdict.revision] = verdict.id
        return True


@frozen(slots=True)
class _Snapshot:
    """Fields of a snapshot as `ConfigurationFold.to_snapshot` writes them."""

    revision: int
    next_offset: int
    configuration: Configuration | None
    verdicts: tuple[Verdict, ...]

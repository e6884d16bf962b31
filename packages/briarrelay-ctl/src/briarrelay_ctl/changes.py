"""Publishing changes and learning what became of them."""

from time import monotonic, sleep, time

from attrs import define
from uuid6 import uuid7

from briarrelay_core.agreement.changes import (
    CONFIG_STREAM,
    SNAPSHOT_STREAM,
    ChangeKind,
    ChangeRecord,
    ConfigurationFold,
    Verdict,
)
from briarrelay_core.agreement.logtail import NEWEST
from briarrelay_ctl.remote import LogClient, RemoteError

__all__ = ["Changes", "UnsettledError"]

LOOK_S = 0.2
"""Seconds between looks for a change whose answer was lost."""


class UnsettledError(Exception):
    """It is not known whether a change has landed.

    :param change_id: id under which it can be looked for.
    """

    def __init__(self, change_id: str):
        self.change_id = change_id
        super().__init__(
            f"the log did not say whether {change_id} landed; do not publish again, "
            f"run: briarrelayctl config settle {change_id}"
        )


@define(slots=True)
class Changes:
    """The configuration stream, from an operator's side.

    An append without an answer is never repeated blindly: the stream is read for the
    change's id, since it may have landed or may still land.
    """

    log: LogClient
    author: str
    settle_s: float

    def read(self) -> ConfigurationFold:
        """Fold the newest snapshot and everything behind it."""
        fold = ConfigurationFold()
        for record in self.log.read(SNAPSHOT_STREAM, NEWEST).records:
            fold.install_snapshot(record.body)
        self.catch_up(fold)
        return fold

    def catch_up(self, fold: ConfigurationFold) -> None:
        """Fold what has come since."""
        for record in self.log.read_all(CONFIG_STREAM, fold.next_offset):
            fold.apply(record)

    def publish(
        self, kind: ChangeKind, base: int, patch: dict, preset: str = ""
    ) -> Verdict:
        """Append a change and return what became of it.

        :raises UnsettledError: if that can not be told yet.
        """
        change = ChangeRecord(
            id=str(uuid7()),
            kind=kind,
            author=self.author,
            base=base,
            at=round(time(), 3),
            patch=patch,
            preset=preset,
        )
        try:
            self.log.append(CONFIG_STREAM, [change.to_json()])
        except RemoteError as error:
            if not error.sent:
                raise
        return self.settle(change.id)

    def settle(self, change_id: str) -> Verdict:
        """Look for a change in the stream until it is found or time is over."""
        end = monotonic() + self.settle_s
        fold = None
        while True:
            try:
                if fold is None:
                    fold = self.read()
                else:
                    self.catch_up(fold)
            except RemoteError:
                pass
            verdict = fold.verdict_of(change_id) if fold is not None else None
            if verdict is not None:
                return verdict
            if monotonic() >= end:
                raise UnsettledError(change_id)
            sleep(LOOK_S)

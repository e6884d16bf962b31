"""Publishes changes of the configuration and reads their verdicts."""

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
from briarrelay_core.ports.position import EraPosition
from briarrelay_ctl.remote import LogClient, RemoteError

__all__ = ["ChangeClient", "OutcomeUnknownError"]

POLL_INTERVAL_S = 0.2
"""Seconds between reads of the stream while a change's verdict is pending."""


class OutcomeUnknownError(Exception):
    """It is unknown whether the log holds a change.

    :param change_id: id of the change, by which its verdict can be queried later.
    """

    def __init__(self, change_id: str):
        self.change_id = change_id
        super().__init__(
            f"it is unknown whether the log holds change {change_id}; do not publish "
            f"it again, run: briarrelayctl config settle {change_id}"
        )


@define(slots=True)
class ChangeClient:
    """Client of the configuration stream.

    An append whose response was lost is not retried, since the log may hold the change
    already or still write it. Instead, the stream is searched for the change's id.

    :param author: author of the changes.
    :param settle_s: seconds to search for a change.
    """

    log: LogClient
    author: str
    settle_s: float

    def read(self) -> ConfigurationFold:
        """Return the state after the newest snapshot and all later records."""
        fold = ConfigurationFold()
        for record in self.log.read(SNAPSHOT_STREAM, NEWEST).records:
            fold.install_snapshot(record.body)
        self.catch_up(fold)
        return fold

    def catch_up(self, fold: ConfigurationFold) -> None:
        """Apply the records that were appended since the last read."""
        for record in self.log.read_all(
            CONFIG_STREAM, EraPosition(number=fold.next_offset)
        ):
            fold.apply(record)

    def publish(
        self, kind: ChangeKind, base: int, patch: dict, preset: str = ""
    ) -> Verdict:
        """Append a change and return its verdict.

        :param base: revision that the change is based on.
        :raises OutcomeUnknownError: if the change does not appear in time.
        :raises RemoteError: if the change was not sent or the log refused it.
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
        return self.wait_for_verdict(change.id)

    def wait_for_verdict(self, change_id: str) -> Verdict:
        """Read the stream until it holds a change or ``settle_s`` is over.

        :raises OutcomeUnknownError: if the change does not appear in time.
        """
        deadline = monotonic() + self.settle_s
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
            if monotonic() >= deadline:
                raise OutcomeUnknownError(change_id)
            sleep(POLL_INTERVAL_S)

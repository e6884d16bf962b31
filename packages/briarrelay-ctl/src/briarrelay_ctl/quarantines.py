"""Commands on the contents of prompts that instances keep from engines."""

from datetime import UTC, datetime
from time import time
from typing import Protocol

from attrs import define, evolve

from briarrelay_core.ports.quarantine import QuarantineRecord
from briarrelay_ctl.results import EXIT_NOT_FOUND, Result
from briarrelay_ctl.tables import format_table

__all__ = ["QuarantineCommands", "QuarantineStore"]


class QuarantineStore(Protocol):
    """Holds the quarantined contents."""

    def read(self) -> dict[str, QuarantineRecord]:
        """Return the valid records by content.

        :raises RemoteError: if the store does not respond.
        """

    def write(self, content: str, record: QuarantineRecord) -> None:
        """Write the record of a content.

        :raises RemoteError: if the store does not respond.
        """


@define(slots=True)
class QuarantineCommands:
    """Commands that read the quarantined contents, and release them."""

    store: QuarantineStore

    def list(self) -> Result:
        """List the contents with the time at which they were written."""
        records = sorted(self.store.read().items())
        rows = [
            (content, _format_time(record.written_at), _format_state(record))
            for content, record in records
        ]
        return Result(0, None, format_table(("content", "written", "state"), rows))

    def release(self, content: str) -> Result:
        """Let instances end the quarantine of a content."""
        record = self.store.read().get(content)
        if record is None:
            return Result(EXIT_NOT_FOUND, None, f"{content} is not quarantined")
        released = evolve(record, written_at=round(time(), 3), is_released=True)
        self.store.write(content, released)
        return Result(
            0, None, f"{content} is released, at all instances in some seconds"
        )


def _format_state(record: QuarantineRecord) -> str:
    return "released" if record.is_released else "quarantined"


def _format_time(seconds: float) -> str:
    """Return Unix seconds as text, as they are if they are no time of a calendar."""
    try:
        return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")
    except (ValueError, OverflowError, OSError):
        return str(seconds)

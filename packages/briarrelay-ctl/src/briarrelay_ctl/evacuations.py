"""Commands that ask for the evacuation of a data centre, and take it back."""

from typing import Protocol

from attrs import define

from briarrelay_ctl.results import Result
from briarrelay_ctl.tables import format_table

__all__ = ["EvacuationCommands", "EvacuationStore"]


class EvacuationStore(Protocol):
    """Holds the evacuations that are asked for."""

    def read(self) -> list[str]:
        """Return the data centres whose evacuation is asked for.

        :raises RemoteError: if the store does not respond.
        """

    def write(self, data_centre: str, is_asked: bool) -> None:
        """Ask for an evacuation, or take it back.

        :raises RemoteError: if the store does not respond or refuses the write.
        """


@define(slots=True)
class EvacuationCommands:
    """Commands on the evacuations in the store."""

    store: EvacuationStore

    def list(self) -> Result:
        """List the data centres whose evacuation is asked for."""
        rows = [(name,) for name in sorted(self.store.read())]
        return Result(0, None, format_table(("evacuated",), rows))

    def ask(self, data_centre: str) -> Result:
        """Ask that the servers of a data centre get nothing new."""
        self.store.write(data_centre, True)
        text = f"{data_centre} is evacuated, at all instances in some seconds"
        return Result(0, None, text)

    def withdraw(self, data_centre: str) -> Result:
        """Take the evacuation of a data centre back.

        The deletion is written also if no request is there: after the store returned to
        a copy, instances may keep a request that the copy lacks.
        """
        self.store.write(data_centre, False)
        text = f"{data_centre} gets requests again, at all instances in some seconds"
        return Result(0, None, text)

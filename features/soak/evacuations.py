"""Evacuations of data centres in the soak, and what servers get meanwhile."""

import time

from attrs import define, field
from standins.fleet import Fleet

__all__ = ["DATA_CENTRES", "IN_FORCE_S", "Evacuations"]

DATA_CENTRES = ("a", "b")

IN_FORCE_S = 5.0
"""Seconds after the store has it in which an evacuation is in force everywhere."""


@define(slots=True)
class _Evacuation:
    """One evacuation of a data centre.

    :param excused_until: Unix time until which it may be unknown to an instance.
    """

    data_centre: str
    excused_until: float
    ended_at: float = float("inf")


@define(slots=True, eq=False)
class Evacuations:
    """Asks for evacuations, takes them back, and checks which requests arrived.

    :ivar active: evacuations in force, by data centre.
    """

    fleet: Fleet
    active: dict[str, _Evacuation] = field(factory=dict)
    _ended: list[_Evacuation] = field(factory=list)

    def ask(self, data_centre: str) -> None:
        """Ask that no more requests go to the servers of a data centre."""
        self._write(data_centre)
        self.active[data_centre] = _Evacuation(data_centre, time.time() + IN_FORCE_S)

    def withdraw(self, data_centre: str) -> None:
        """Take an evacuation back."""
        evacuation = self.active.pop(data_centre)
        evacuation.ended_at = time.time()
        self._ended.append(evacuation)
        self.fleet.put("keyed.op", f"evacuate/{data_centre}", None)

    def write_again(self) -> None:
        """Write the evacuations again, after the store has returned to a copy."""
        for data_centre in DATA_CENTRES:
            if data_centre in self.active:
                self._write(data_centre)
            else:
                self.fleet.put("keyed.op", f"evacuate/{data_centre}", None)
        self.excuse()

    def excuse(self) -> None:
        """Allow for an instance or a store that can not be reached right now."""
        for evacuation in self.active.values():
            evacuation.excused_until = time.time() + IN_FORCE_S

    def end_all(self) -> None:
        """Take all evacuations back."""
        for data_centre in list(self.active):
            self.withdraw(data_centre)

    def find_violations(self) -> list[str]:
        """Return a line for each server that got requests in an evacuation."""
        violations = []
        for index, name in enumerate(self.fleet.server_names):
            arrivals = self.fleet.send_command("arrivals", name)["arrivals"]
            for evacuation in self._ended:
                if DATA_CENTRES[index % 2] != evacuation.data_centre:
                    continue
                start, end = evacuation.excused_until, evacuation.ended_at
                count = sum(start < at < end for at in arrivals)
                if count:
                    violations.append(f"{name} got {count} requests while evacuated")
        return violations

    def _write(self, data_centre: str) -> None:
        self.fleet.put("keyed.op", f"evacuate/{data_centre}", {"by": "soak"})

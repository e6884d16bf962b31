"""The order lease of each data centre as a fold over the log."""

import json

from attrs import define, field, frozen

from briarrelay_core.checked import from_mapping, to_mapping
from briarrelay_core.ports.log import LogRecord

__all__ = ["LEASE_STREAM", "Lease", "LeaseFold", "LeaseRecord"]

LEASE_STREAM = "orders"


@frozen(slots=True, kw_only=True)
class LeaseRecord:
    """A wish to hold, or go on holding, the lease of a data centre.

    :param after: offset of the lease that this one follows, -1 for the first.
    :param duration_s: seconds for which it holds.
    """

    id: str
    data_centre: str
    holder: str
    incarnation: int
    after: int
    duration_s: float

    def to_json(self) -> str:
        """Return the record's JSON text."""
        return json.dumps(to_mapping(self), sort_keys=True, separators=(",", ":"))


@frozen(slots=True)
class Lease:
    """The lease in force.

    :param offset: position of its record, which is the fencing number.
    :param read_at: time at which this process read it, in seconds.
    """

    record: LeaseRecord
    offset: int
    read_at: float

    @property
    def lapses_at(self) -> float:
        """Time after which others may take over, as this process counts."""
        return self.read_at + self.record.duration_s


@define(slots=True)
class LeaseFold:
    """Leases by data centre; a record counts only if it names the one it follows."""

    next_offset: int = 0
    bad_records: int = 0
    _leases: dict[str, Lease] = field(factory=dict)

    def lease_of(self, data_centre: str) -> Lease | None:
        """Return the lease in force, which may have lapsed."""
        return self._leases.get(data_centre)

    def apply(self, record: LogRecord, now: float) -> bool:
        """Fold the next record; return whether it changed a lease."""
        if record.offset < self.next_offset:
            return False
        self.next_offset = record.offset + 1
        try:
            wish = from_mapping(LeaseRecord, json.loads(record.body), "orders")
        except (ValueError, RecursionError):
            self.bad_records += 1
            return False
        current = self._leases.get(wish.data_centre)
        if wish.after != (current.offset if current else -1):
            return False
        self._leases[wish.data_centre] = Lease(wish, record.offset, now)
        return True

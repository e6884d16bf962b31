"""The lease that lets one entry instance of a data centre send orders to engines."""

import json

from attrs import define, field, frozen

from briarrelay_core.mappings import from_mapping, to_mapping
from briarrelay_core.ports.log import LogRecord

__all__ = ["LEASE_STREAM", "Lease", "LeaseFold", "LeaseRecord"]

LEASE_STREAM = "orders"


@frozen(slots=True, kw_only=True)
class LeaseRecord:
    """A request to acquire or renew the lease of a data centre.

    :param after: offset of the lease record that this one replaces, -1 for the first.
    :param duration_s: seconds for which the lease is valid.
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
    """The latest lease of a data centre.

    :param offset: offset of its record, which serves as the fencing token.
    :param read_at: time at which this process read the record, in seconds.
    """

    record: LeaseRecord
    offset: int
    read_at: float

    @property
    def expires_at(self) -> float:
        """Time after which others may acquire the lease, by this process's clock.

        It counts from the read of the record, while the holder counts from before it
        sent the record; the holder's lease therefore ends first.
        """
        return self.read_at + self.record.duration_s


@define(slots=True)
class LeaseFold:
    """State of the lease stream up to an offset.

    A lease record takes effect only if its `after` is the offset of the current lease
    (compare-and-swap), so that of several concurrent requests one succeeds.
    """

    next_offset: int = 0
    bad_records: int = 0
    _leases: dict[str, Lease] = field(factory=dict)

    def lease_of(self, data_centre: str) -> Lease | None:
        """Return the latest lease of a data centre, which may have expired."""
        return self._leases.get(data_centre)

    def apply(self, record: LogRecord, now: float) -> bool:
        """Apply the next record; return whether it changed a lease."""
        if record.offset < self.next_offset:
            return False
        self.next_offset = record.offset + 1
        try:
            request = from_mapping(LeaseRecord, json.loads(record.body), "orders")
        except (ValueError, RecursionError):
            self.bad_records += 1
            return False
        current = self._leases.get(request.data_centre)
        if request.after != (current.offset if current else -1):
            return False
        self._leases[request.data_centre] = Lease(request, record.offset, now)
        return True

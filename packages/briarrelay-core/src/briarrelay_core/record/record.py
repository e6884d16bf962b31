"""The record: hash-chained batches of what was done, bounded in memory."""

import json
from collections import deque
from collections.abc import Iterable
from hashlib import sha256

from attrs import define, field, frozen

from briarrelay_core.identity import Identity
from briarrelay_core.mappings import MappingError, from_mapping, to_mapping

__all__ = [
    "AUDIT_STREAM",
    "Batch",
    "ChainFault",
    "Entry",
    "Recorder",
    "verify_batches",
]

AUDIT_STREAM = "audit"

MAX_ENTRIES = 20_000
"""Entries kept in memory while the log is down."""

BATCH_ENTRIES = 500
"""Most entries of one batch."""

GENESIS = "0" * 64
"""Hash before the first batch of an incarnation."""


@frozen(slots=True, kw_only=True)
class Entry:
    """One thing that happened.

    :param at: Unix seconds.
    :param kind: ``request``, ``refusal``, ``retry``, ``change`` or ``order``.
    :param subject: id of the request or change.
    """

    at: float
    kind: str
    subject: str
    workspace: str = ""
    outcome: str = ""
    why: str = ""


@frozen(slots=True, kw_only=True)
class Batch:
    """Entries of one incarnation, chained to the batch before.

    :param seq: number of the batch within its incarnation, from 0.
    :param previous: digest of the batch before.
    :param lost: entries before these that did not fit into memory.
    :param digest: hash over every other field.
    """

    instance: str
    incarnation: int
    seq: int
    previous: str
    lost: int
    entries: tuple[Entry, ...]
    digest: str = ""

    def compute_digest(self) -> str:
        """Return the digest that the batch should carry."""
        mapping = to_mapping(self)
        del mapping["digest"]
        text = json.dumps(mapping, sort_keys=True, separators=(",", ":"))
        return sha256(text.encode()).hexdigest()

    def to_json(self) -> str:
        """Return the batch's JSON text."""
        return json.dumps(to_mapping(self), sort_keys=True, separators=(",", ":"))


@define(slots=True)
class Recorder:
    """Collects entries and cuts them into chained batches."""

    identity: Identity
    _pending: deque = field(factory=deque)
    _lost: int = 0
    _seq: int = 0
    _previous: str = GENESIS

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, entry: Entry) -> bool:
        """Keep an entry; return False if memory is full and it is counted only."""
        if len(self._pending) >= MAX_ENTRIES:
            self._lost += 1
            return False
        self._pending.append(entry)
        return True

    def cut(self) -> Batch | None:
        """Return the next batch to append, or None if there is nothing new.

        Lost entries came after those in memory, so the count goes out with the
        first batch that follows them.
        """
        if not self._pending and not self._lost:
            return None
        size = min(BATCH_ENTRIES, len(self._pending))
        entries = tuple(self._pending.popleft() for _ in range(size))
        lost = 0
        if not self._pending:
            lost, self._lost = self._lost, 0
        batch = Batch(
            instance=self.identity.name,
            incarnation=self.identity.incarnation,
            seq=self._seq,
            previous=self._previous,
            lost=lost,
            entries=entries,
        )
        sealed = Batch(**_fields(batch), digest=batch.compute_digest())
        self._seq += 1
        self._previous = sealed.digest
        return sealed


def _fields(batch: Batch) -> dict:
    names = ("instance", "incarnation", "seq", "previous", "lost", "entries")
    return {name: getattr(batch, name) for name in names}


@frozen(slots=True)
class ChainFault:
    """Something wrong with the record.

    :param where: instance, incarnation and number of the batch.
    """

    where: str
    problem: str


def parse_batch(body: str) -> Batch:
    """Return the batch of a record's JSON text.

    :raises MappingError: if the text is not a batch.
    """
    try:
        mapping = json.loads(body)
    except ValueError as error:
        raise MappingError("audit", "$", f"given no JSON ({error})") from error
    return from_mapping(Batch, mapping, "audit")


def verify_batches(bodies: Iterable[str]) -> list[ChainFault]:
    """Check an exported record, in the order of the log.

    A batch may stand twice, since an append whose answer was lost is repeated.

    :returns: faults, empty if the record is whole.
    """
    faults = []
    chains: dict[tuple[str, int], tuple[int, str]] = {}
    for index, body in enumerate(bodies):
        try:
            batch = parse_batch(body)
        except MappingError as error:
            faults.append(ChainFault(f"record {index}", str(error)))
            continue
        faults.extend(_check(batch, chains))
    return faults


def _check(batch: Batch, chains: dict) -> list[ChainFault]:
    chain = (batch.instance, batch.incarnation)
    where = f"{batch.instance}/{batch.incarnation} batch {batch.seq}"
    if batch.compute_digest() != batch.digest:
        return [ChainFault(where, "altered: its digest does not match its content")]
    last_seq, last_digest = chains.get(chain, (-1, GENESIS))
    if batch.seq <= last_seq:
        if batch.seq == last_seq and batch.digest != last_digest:
            return [ChainFault(where, "altered: two batches carry this number")]
        if batch.seq < last_seq and (chain, batch.seq, batch.digest) not in chains:
            return [ChainFault(where, "reordered: a later batch stands before it")]
        return []
    faults = []
    if batch.seq > last_seq + 1:
        missing = f"batches {last_seq + 1} to {batch.seq - 1}"
        faults.append(ChainFault(where, f"dropped or reordered: {missing} missing"))
    elif batch.previous != last_digest:
        faults.append(ChainFault(where, "altered: it does not follow the batch before"))
    chains[chain] = (batch.seq, batch.digest)
    chains[(chain, batch.seq, batch.digest)] = (batch.seq, batch.digest)
    return faults


__all__ += ["parse_batch"]

"""Audit record: hash-chained batches of entries, with bounded memory use."""

import json
from collections import deque
from collections.abc import Iterable
from hashlib import sha256
from itertools import repeat

from attrs import define, field, frozen

from briarrelay_core.identity import Identity
from briarrelay_core.mappings import MappingError, from_mapping, to_mapping

__all__ = [
    "AUDIT_STREAM",
    "Batch",
    "ChainFault",
    "Entry",
    "Recorder",
    "parse_batch",
    "verify_batches",
]

AUDIT_STREAM = "audit"
"""Stream of the log that holds the record."""

MAX_ENTRIES = 20_000
"""Maximum entries kept in memory while the log is down."""

MAX_BATCH_ENTRIES = 500
"""Maximum entries in one batch."""

GENESIS_DIGEST = "0" * 64
"""``previous`` digest of the first batch of an incarnation."""


@frozen(slots=True, kw_only=True)
class Entry:
    """One event in the record.

    :param at: time of the event, in Unix seconds.
    :param kind: ``request``, ``refusal``, ``retry``, ``change``, ``order`` or
        ``quarantine``.
    :param subject: id of the request, change or quarantined part, or the engine or
        lease of an order.
    :param outcome: outcome or reason of the event.
    :param why: explanation of the outcome.
    """

    at: float
    kind: str
    subject: str
    workspace: str = ""
    outcome: str = ""
    why: str = ""


@frozen(slots=True, kw_only=True)
class Batch:
    """Entries of one incarnation, chained to the previous batch by its digest.

    :param seq: number of the batch within its incarnation, from 0.
    :param previous: digest of the previous batch.
    :param lost: number of entries that were lost because memory was full, and that no
        earlier batch has counted.
    :param digest: SHA-256 over all other fields, in hexadecimal.
    """

    instance: str
    incarnation: int
    seq: int
    previous: str
    lost: int
    entries: tuple[Entry, ...]
    digest: str = ""

    def compute_digest(self) -> str:
        """Return the digest of the batch's content."""
        mapping = to_mapping(self)
        del mapping["digest"]
        text = json.dumps(mapping, sort_keys=True, separators=(",", ":"))
        return sha256(text.encode()).hexdigest()

    def to_json(self) -> str:
        """Return the batch as JSON text."""
        return json.dumps(to_mapping(self), sort_keys=True, separators=(",", ":"))


@define(slots=True)
class Recorder:
    """Buffers entries and splits them into hash-chained batches."""

    identity: Identity
    _pending: deque = field(factory=deque)
    _lost_count: int = 0
    _next_seq: int = 0
    _last_digest: str = GENESIS_DIGEST

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, entry: Entry) -> bool:
        """Buffer an entry.

        :returns: False if the buffer is full and the entry is only counted as lost.
        """
        if len(self._pending) >= MAX_ENTRIES:
            self._lost_count += 1
            return False
        self._pending.append(entry)
        return True

    def pop_batch(self) -> Batch | None:
        """Remove and return the next batch to append, or None if there is none.

        Lost entries are newer than the entries that filled the buffer, so they are
        counted in the batch that empties it.
        """
        if not self._pending and not self._lost_count:
            return None
        size = min(MAX_BATCH_ENTRIES, len(self._pending))
        entries = tuple(self._pending.popleft() for _ in range(size))
        lost = 0
        if not self._pending:
            lost, self._lost_count = self._lost_count, 0
        batch = Batch(
            instance=self.identity.name,
            incarnation=self.identity.incarnation,
            seq=self._next_seq,
            previous=self._last_digest,
            lost=lost,
            entries=entries,
        )
        batch_with_digest = Batch(
            **_fields_without_digest(batch), digest=batch.compute_digest()
        )
        self._next_seq += 1
        self._last_digest = batch_with_digest.digest
        return batch_with_digest


def _fields_without_digest(batch: Batch) -> dict:
    names = ("instance", "incarnation", "seq", "previous", "lost", "entries")
    return {name: getattr(batch, name) for name in names}


@frozen(slots=True)
class ChainFault:
    """A fault found while verifying the record.

    :param where: instance, incarnation and number of the batch, or a line or record
        number if no batch could be parsed.
    """

    where: str
    problem: str


def parse_batch(body: str) -> Batch:
    """Parse the JSON text of a batch.

    :raises MappingError: if the text is not a valid batch.
    """
    try:
        mapping = json.loads(body)
    except ValueError as error:
        raise MappingError("audit", "$", f"not JSON ({error})") from error
    return from_mapping(Batch, mapping, "audit")


@define(slots=True)
class _Chain:
    """Batches of one incarnation that were verified so far.

    :param last_seq: number of the newest batch that follows all before it.
    :param digests: digests of the verified batches, by number.
    :param early: batches after a gap, in the order of the log. The log has returned to
        a copy, and the batches of the gap should follow, then these again.
    """

    last_seq: int = -1
    digests: dict[int, str] = field(factory=dict)
    early: list[Batch] = field(factory=list)

    def append(self, batch: Batch) -> str:
        """Add the next batch; return the problem with it, empty if there is none."""
        previous = self.digests.get(batch.seq - 1, GENESIS_DIGEST)
        has_gap = batch.seq > self.last_seq + 1
        self.last_seq = batch.seq
        self.digests[batch.seq] = batch.digest
        if not has_gap and batch.previous != previous:
            return "altered: it does not follow the batch before"
        return ""


def verify_batches(
    bodies: Iterable[str], eras: Iterable[int] | None = None
) -> list[ChainFault]:
    """Verify the hash chains of an exported record.

    A batch may occur twice, since an append whose response was lost is repeated. After
    the log has returned to a copy, instances append again what it may lack, so a gap
    may be filled later, followed by what was appended before that.

    :param bodies: JSON texts of the batches, in the order of the log.
    :param eras: era of the log for each of them, by default the same for all.
    :returns: the faults found, empty if the record is complete and unaltered.
    """
    faults = []
    chains: dict[tuple[str, int], _Chain] = {}
    first_era = None
    for index, (body, era) in enumerate(zip(bodies, eras or repeat(0), strict=False)):
        first_era = era if first_era is None else first_era
        try:
            batch = parse_batch(body)
        except MappingError as error:
            faults.append(ChainFault(f"record {index}", str(error)))
            continue
        chain = chains.setdefault((batch.instance, batch.incarnation), _Chain())
        faults.extend(_check_batch(batch, chain, may_be_early=era > first_era))
    for chain in chains.values():
        faults.extend(_check_early(chain))
    return faults


def _where(batch: Batch) -> str:
    return f"{batch.instance}/{batch.incarnation} batch {batch.seq}"


def _check_batch(
    batch: Batch, chain: _Chain, may_be_early: bool = False
) -> list[ChainFault]:
    """Return the faults of the next batch in the log, and add it to its chain.

    :param may_be_early: a gap before it may be filled later.
    """
    where = _where(batch)
    if batch.compute_digest() != batch.digest:
        return [ChainFault(where, "altered: its digest does not match its content")]
    if batch.seq <= chain.last_seq:
        known = chain.digests.get(batch.seq)
        if known is None:
            return [ChainFault(where, "reordered: a later batch stands before it")]
        if known != batch.digest:
            return [ChainFault(where, "altered: two batches carry this number")]
        return []
    missing = f"batches {chain.last_seq + 1} to {batch.seq - 1} missing"
    if batch.seq > chain.last_seq + 1 and may_be_early:
        chain.early.append(batch)
        return []
    faults = []
    if batch.seq > chain.last_seq + 1:
        faults.append(ChainFault(where, f"dropped or reordered: {missing}"))
    problem = chain.append(batch)
    if problem:
        faults.append(ChainFault(where, problem))
    return faults


def _check_early(chain: _Chain) -> list[ChainFault]:
    """Return the faults of the batches after a gap.

    Each should stand in the log again, after the batches that fill the gap.
    """
    early, chain.early = chain.early, []
    faults = []
    is_first = True
    for batch in early:
        if is_first and batch.seq == chain.last_seq + 1:
            problem = f"reordered: it stands before batch {chain.last_seq}"
            faults.append(ChainFault(_where(batch), problem))
        is_first = is_first and batch.seq <= chain.last_seq
        faults.extend(_check_batch(batch, chain))
    return faults

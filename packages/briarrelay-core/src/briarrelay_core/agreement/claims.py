"""Claims on non-repeatable calls as a fold over the log."""

import json
from collections import OrderedDict
from enum import StrEnum

from attrs import define, field, frozen

from briarrelay_core.checked import from_mapping, to_mapping
from briarrelay_core.ports.log import LogRecord

__all__ = [
    "CLAIM_STREAM",
    "ClaimFold",
    "ClaimKind",
    "ClaimRecord",
    "KeyPhase",
    "KeyState",
    "key_time",
]

CLAIM_STREAM = "claims"

CLOCK_SLACK_S = 120.0
"""Most seconds by which clocks of callers and instances may differ."""


class ClaimKind(StrEnum):
    """Kinds of records on the claim stream."""

    CLAIM = "claim"
    VOID = "void"
    OUTCOME = "outcome"


class KeyPhase(StrEnum):
    """How far a key has come."""

    FREE = "free"
    CLAIMED = "claimed"
    VOIDED = "voided"
    DONE = "done"
    UNKNOWN = "unknown"


@frozen(slots=True, kw_only=True)
class ClaimRecord:
    """A record of the claim stream.

    :param key: workspace and idempotency key of the call.
    :param claim_id: one claimant's try at one request.
    :param status: the service's status for an outcome, 0 for an unknown one.
    :param body: the service's answer, base64.
    """

    kind: ClaimKind
    key: str
    claim_id: str
    claimant: str
    incarnation: int
    status: int = 0
    body: str = ""

    def to_json(self) -> str:
        """Return the record's JSON text."""
        return json.dumps(to_mapping(self), sort_keys=True, separators=(",", ":"))


def key_time(idempotency_key: str) -> float | None:
    """Return the Unix seconds at which a UUIDv7 was made, None if it is not one.

    Source: RFC 9562, section 5.7.
    """
    digits = idempotency_key.replace("-", "")
    if len(digits) != 32 or digits[12] != "7":
        return None
    try:
        return (int(digits, 16) >> 80) / 1000.0
    except ValueError:
        return None


@frozen(slots=True)
class KeyState:
    """What the log says of a key.

    :param claim_id: the first valid claim, the only one that may ever send.
    """

    phase: KeyPhase = KeyPhase.FREE
    claim_id: str = ""
    claimant: str = ""
    incarnation: int = 0
    status: int = 0
    body: str = ""


_FREE = KeyState()


@define(slots=True)
class ClaimFold:
    """State of the claim stream up to an offset.

    The first claim of a key that was not voided before it wins for good. A void of
    the winner ends the key; a void of any other claim ends that claim alone.
    """

    next_offset: int = 0
    bad_records: int = 0
    _keys: OrderedDict = field(factory=OrderedDict)
    _voided: OrderedDict = field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._keys)

    def state_of(self, key: str) -> KeyState:
        """Return what the log says of a key so far."""
        return self._keys.get(key, _FREE)

    def is_voided(self, claim_id: str) -> bool:
        """Return whether a claim was ended before it was seen to win."""
        return claim_id in self._voided

    def apply(self, record: LogRecord) -> ClaimRecord | None:
        """Fold the next record; return it if it was well formed and new."""
        if record.offset < self.next_offset:
            return None
        self.next_offset = record.offset + 1
        try:
            claim = from_mapping(ClaimRecord, json.loads(record.body), "claims")
        except (ValueError, RecursionError):
            self.bad_records += 1
            return None
        self._step(claim)
        return claim

    def _step(self, claim: ClaimRecord) -> None:
        state = self.state_of(claim.key)
        if claim.kind is ClaimKind.CLAIM:
            if state.phase is KeyPhase.FREE and claim.claim_id not in self._voided:
                self._set(claim, KeyPhase.CLAIMED)
        elif claim.claim_id != state.claim_id:
            if claim.kind is ClaimKind.VOID:
                self._voided[claim.claim_id] = claim.key
        elif claim.kind is ClaimKind.VOID:
            if state.phase is KeyPhase.CLAIMED:
                self._set(claim, KeyPhase.VOIDED)
        elif state.phase in (KeyPhase.CLAIMED, KeyPhase.UNKNOWN):
            self._set(claim, KeyPhase.DONE if claim.status else KeyPhase.UNKNOWN)

    def _set(self, claim: ClaimRecord, phase: KeyPhase) -> None:
        self._keys[claim.key] = KeyState(
            phase,
            claim.claim_id,
            claim.claimant,
            claim.incarnation,
            claim.status,
            claim.body,
        )

    def forget_before(self, oldest: float) -> None:
        """Drop keys made before a time, which are refused anyway.

        :param oldest: Unix seconds, already allowing for clocks that differ.
        """
        for table, key_at in ((self._keys, None), (self._voided, self._voided)):
            while table:
                entry = next(iter(table))
                key = entry if key_at is None else key_at[entry]
                made = key_time(key.rpartition("/")[2])
                if made is not None and made >= oldest:
                    break
                del table[entry]

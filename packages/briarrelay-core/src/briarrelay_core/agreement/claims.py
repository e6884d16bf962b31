"""Claims of idempotency keys for non-repeatable calls, derived from the log."""

import json
from collections import OrderedDict
from enum import StrEnum

from attrs import define, field, frozen

from briarrelay_core.mappings import from_mapping, to_mapping
from briarrelay_core.ports.log import LogRecord

__all__ = [
    "CLAIM_STREAM",
    "ClaimFold",
    "ClaimKind",
    "ClaimRecord",
    "KeyPhase",
    "KeyState",
    "uuid7_timestamp",
]

CLAIM_STREAM = "claims"

CLOCK_SLACK_S = 120.0
"""Largest difference allowed between the clocks of callers and instances."""


class ClaimKind(StrEnum):
    """Kinds of records on the claim stream.

    CLAIM requests the right to send the call of a key, VOID abandons a claim before the
    call was sent, OUTCOME records the outcome of the call.
    """

    CLAIM = "claim"
    VOID = "void"
    OUTCOME = "outcome"


class KeyPhase(StrEnum):
    """State of an idempotency key.

    VOIDED means that its call never runs, DONE that the response is recorded,
    UNKNOWN that the call was sent and may or may not have run.
    """

    FREE = "free"
    CLAIMED = "claimed"
    VOIDED = "voided"
    DONE = "done"
    UNKNOWN = "unknown"


@frozen(slots=True, kw_only=True)
class ClaimRecord:
    """A record of the claim stream.

    :param key: workspace and idempotency key of the call.
    :param claim_id: id of one claimant's claim for one request.
    :param claimant: name of the entry instance that claims.
    :param status: HTTP status of the service's response, 0 if the outcome is unknown.
    :param body: body of the service's response, base64.
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


def uuid7_timestamp(idempotency_key: str) -> float | None:
    """Return the creation time of a UUIDv7 in Unix seconds, None for other keys.

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
    """State of a key according to the log.

    :param claim_id: the first valid claim; no other claim of the key is ever sent.
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
    """States of the claimed keys, derived from the stream's records up to an offset.

    The first claim of a key wins permanently, unless a void of the claim precedes it in
    the log. A void of the winning claim means that the key's call never runs. A void of
    any other claim prevents only that claim from winning.

    :ivar _states: state by key, in the order of the winning claims.
    :ivar _voided_claims: key by id of a claim that was voided without having won.
    """

    next_offset: int = 0
    bad_records: int = 0
    _states: OrderedDict = field(factory=OrderedDict)
    _voided_claims: OrderedDict = field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._states)

    def state_of(self, key: str) -> KeyState:
        """Return the state of a key, FREE if no claim was read."""
        return self._states.get(key, _FREE)

    def is_voided(self, claim_id: str) -> bool:
        """Return whether a claim was voided without having won."""
        return claim_id in self._voided_claims

    def apply(self, record: LogRecord) -> ClaimRecord | None:
        """Apply the next record; return it if it is well formed and new."""
        if record.offset < self.next_offset:
            return None
        self.next_offset = record.offset + 1
        try:
            claim = from_mapping(ClaimRecord, json.loads(record.body), "claims")
        except (ValueError, RecursionError):
            self.bad_records += 1
            return None
        self._apply_claim(claim)
        return claim

    def _apply_claim(self, claim: ClaimRecord) -> None:
        state = self.state_of(claim.key)
        if claim.kind is ClaimKind.CLAIM:
            if (
                state.phase is KeyPhase.FREE
                and claim.claim_id not in self._voided_claims
            ):
                self._set_state(claim, KeyPhase.CLAIMED)
        elif claim.claim_id != state.claim_id:
            if claim.kind is ClaimKind.VOID:
                self._voided_claims[claim.claim_id] = claim.key
        elif claim.kind is ClaimKind.VOID:
            if state.phase is KeyPhase.CLAIMED:
                self._set_state(claim, KeyPhase.VOIDED)
        elif state.phase in (KeyPhase.CLAIMED, KeyPhase.UNKNOWN):
            self._set_state(claim, KeyPhase.DONE if claim.status else KeyPhase.UNKNOWN)

    def _set_state(self, claim: ClaimRecord, phase: KeyPhase) -> None:
        self._states[claim.key] = KeyState(
            phase,
            claim.claim_id,
            claim.claimant,
            claim.incarnation,
            claim.status,
            claim.body,
        )

    def drop_keys_before(self, cutoff: float) -> None:
        """Drop keys created before a time; calls with such keys are refused anyway.

        Entries are in the order of the log, so the scan of each table stops at the
        first key that is recent enough. Keys that hold no creation time are dropped.

        :param cutoff: Unix seconds, with the allowance for clock differences already
            subtracted.
        """
        for table, key_by_claim in (
            (self._states, None),
            (self._voided_claims, self._voided_claims),
        ):
            while table:
                oldest = next(iter(table))
                key = oldest if key_by_claim is None else key_by_claim[oldest]
                created_at = uuid7_timestamp(key.rpartition("/")[2])
                if created_at is not None and created_at >= cutoff:
                    break
                del table[oldest]

"""Non-repeatable calls: at most one run a key, and true answers, whatever fails."""

import unittest
from uuid import UUID

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarrelay_bench.worldfaults import LogFault, ServiceFault
from briarrelay_core.agreement.claims import (
    ClaimFold,
    ClaimKind,
    ClaimRecord,
    KeyPhase,
    uuid7_timestamp,
)
from briarrelay_core.ports.caller import ServiceRequest
from briarrelay_core.ports.log import LogRecord
from properties.worlds import SmallWorld

KEYS = 3
CALL_S = 8.0
CLOSE_S = 0.1
"""Seconds after the deadline within which every caller must have its answer."""


def make_key(now: float, number: int) -> str:
    """Return a UUIDv7 made at a time."""
    value = (int(now * 1_000) << 80) | (7 << 76) | (2 << 62) | number
    return str(UUID(int=value))


class CallMachine(RuleBasedStateMachine):
    """Callers, operators of faults, and time."""

    def __init__(self):
        super().__init__()
        self.small = SmallWorld(instances=2, engines=0)
        now = self.small.world.now
        self.keys = [make_key(now, number) for number in range(KEYS)]
        self.calls = {}

    @rule(key=st.integers(0, KEYS - 1), at=st.integers(0, 1))
    def call(self, key, at):
        host = self.small.hosts[at]
        if host.paused:
            return
        now = self.small.world.now
        request = ServiceRequest(
            request_id=f"c{len(self.calls)}",
            key="key-ws1",
            service="booking",
            path="/slots",
            body=b"{}",
            deadline=now + CALL_S,
            idempotency_key=self.keys[key],
        )
        self.calls[request.request_id] = (request, host)
        self.small.world.tell(host, request)

    @rule(seconds=st.sampled_from([0.001, 0.01, 0.3, 1.0, 4.5, 9.0]))
    def wait(self, seconds):
        self.small.run(seconds)

    @rule(fault=st.sampled_from(list(LogFault)))
    def break_log(self, fault):
        self.small.world.log_fault = fault
        self.small.world.wake_readers()

    @rule(fault=st.sampled_from(list(ServiceFault)))
    def break_service(self, fault):
        self.small.world.service_fault = fault

    @rule(at=st.integers(0, 1))
    def restart(self, at):
        self.small.restart(at)

    @rule(at=st.integers(0, 1), seconds=st.sampled_from([0.01, 2.0, 6.0]))
    def pause(self, at, seconds):
        host = self.small.hosts[at]
        if host.paused:
            return
        host.paused = True
        self.small.run(seconds)
        self.small.world.wake(host)

    def runs_of(self, key: str) -> int:
        runs = self.small.world.runs
        return sum(effect.idempotency_key == key for effect in runs)

    @invariant()
    def each_key_runs_at_most_once(self):
        for key in self.keys:
            assert self.runs_of(key) <= 1, key

    @invariant()
    def answers_are_true(self):
        bodies = {}
        for request_id, got in self.small.answers.items():
            assert len(got) == 1, f"{request_id} got {len(got)} answers"
            finish, _ = got[0]
            key = self.calls[request_id][0].idempotency_key
            outcome = finish.outcome
            if outcome.tag == "not_run" and outcome.scope == "key":
                assert self.runs_of(key) == 0, f"{key} was said not to run"
            if outcome.tag == "not_run":
                ids = [effect.call_id for effect in self.small.world.runs]
                assert request_id not in ids, f"{request_id} ran after all"
            if outcome.tag == "done":
                assert self.runs_of(key) == 1
                assert bodies.setdefault(key, outcome.body) == outcome.body

    def teardown(self):
        self.small.world.log_fault = LogFault.NONE
        self.small.world.service_fault = ServiceFault.NONE
        self.small.run(CALL_S + CLOSE_S)
        self.each_key_runs_at_most_once()
        self.answers_are_true()
        for request_id, (_, host) in self.calls.items():
            if host.alive:
                assert request_id in self.small.answers, f"{request_id} has no answer"


CallMachineTest = CallMachine.TestCase


def naive_state(records: list[ClaimRecord], key: str) -> tuple[str, str]:
    """Return the phase and winner of a key by looking at the whole past."""
    voided_at = {}
    for index, record in enumerate(records):
        if record.kind is ClaimKind.VOID and record.key == key:
            voided_at.setdefault(record.claim_id, index)
    winner = None
    for index, record in enumerate(records):
        is_claim = record.kind is ClaimKind.CLAIM and record.key == key
        if is_claim and voided_at.get(record.claim_id, index) >= index:
            winner = (index, record.claim_id)
            break
    if winner is None:
        return KeyPhase.FREE, ""
    phase = KeyPhase.CLAIMED
    for record in records[winner[0] + 1 :]:
        if record.key != key or record.claim_id != winner[1]:
            continue
        if record.kind is ClaimKind.VOID and phase is KeyPhase.CLAIMED:
            phase = KeyPhase.VOIDED
        open_phase = phase in (KeyPhase.CLAIMED, KeyPhase.UNKNOWN)
        if record.kind is ClaimKind.OUTCOME and open_phase:
            phase = KeyPhase.DONE if record.status else KeyPhase.UNKNOWN
    return phase, winner[1]


RECORDS = st.lists(
    st.builds(
        ClaimRecord,
        kind=st.sampled_from(list(ClaimKind)),
        key=st.sampled_from(["ws/a", "ws/b"]),
        claim_id=st.sampled_from(["c1", "c2", "c3"]),
        claimant=st.just("i0"),
        incarnation=st.just(1),
        status=st.sampled_from([0, 200]),
    ),
    max_size=12,
)


class ClaimFoldTest(unittest.TestCase):
    @given(RECORDS)
    def test_fold_agrees_with_the_naive_version(self, records):
        # a claim id belongs to one key alone
        records = [r for r in records if r.claim_id != "c1" or r.key == "ws/a"]
        records = [r for r in records if r.claim_id == "c1" or r.key == "ws/b"]
        fold = ClaimFold()
        for offset, record in enumerate(records):
            fold.apply(LogRecord(offset, record.to_json()))
        for key in ("ws/a", "ws/b"):
            state = fold.state_of(key)
            self.assertEqual((state.phase, state.claim_id), naive_state(records, key))

    def test_bad_records_are_counted_and_skipped(self):
        fold = ClaimFold()
        for offset, body in enumerate(["{", "[]", '{"kind":"claim"}', '"x"']):
            self.assertIsNone(fold.apply(LogRecord(offset, body)))
        self.assertEqual(fold.bad_records, 4)
        self.assertEqual(fold.next_offset, 4)

    def test_old_keys_are_forgotten(self):
        fold = ClaimFold()
        for number, made in enumerate((1_000.0, 2_000.0)):
            record = ClaimRecord(
                kind=ClaimKind.CLAIM,
                key=f"ws/{make_key(made, number)}",
                claim_id=f"c{number}",
                claimant="i0",
                incarnation=1,
            )
            fold.apply(LogRecord(number, record.to_json()))
        fold.drop_keys_before(1_500.0)
        self.assertEqual(len(fold), 1)

    def test_key_time(self):
        self.assertAlmostEqual(uuid7_timestamp(make_key(1_234.5, 1)), 1_234.5)
        for text in ("", "x", "0" * 32, str(UUID(int=4 << 76))):
            self.assertIsNone(uuid7_timestamp(text))

"""Non-repeatable calls: each idempotency key runs at most once despite faults.

Callers receive outcomes that agree with what the plain service ran.
"""

import unittest
from uuid import UUID

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarrelay_bench.simulated_faults import LogFault, ServiceFault
from briarrelay_core.agreement.claims import (
    ClaimFold,
    ClaimKind,
    ClaimRecord,
    KeyPhase,
    uuid7_timestamp,
)
from briarrelay_core.ports.caller import ServiceRequest
from briarrelay_core.ports.log import LogRecord
from properties.simulatedcluster import SimulatedCluster

KEY_COUNT = 3
CALL_TIMEOUT_S = 8.0
ANSWER_MARGIN_S = 0.1
"""Seconds after the deadline by which every call must have its outcome."""


def make_key(now: float, number: int) -> str:
    """Return a UUIDv7.

    :param now: its time of creation in Unix seconds.
    :param number: low bits that set it apart from other keys of the same time.
    """
    value = (int(now * 1_000) << 80) | (7 << 76) | (2 << 62) | number
    return str(UUID(int=value))


class CallMachine(RuleBasedStateMachine):
    """Calls a plain service while the log, the service and instances fail."""

    def __init__(self):
        super().__init__()
        self.cluster = SimulatedCluster(instances=2, engines=0)
        now = self.cluster.simulation.now
        self.keys = [make_key(now, number) for number in range(KEY_COUNT)]
        self.calls = {}

    @rule(key=st.integers(0, KEY_COUNT - 1), instance=st.integers(0, 1))
    def call_service(self, key, instance):
        host = self.cluster.hosts[instance]
        if host.paused:
            return
        now = self.cluster.simulation.now
        request = ServiceRequest(
            request_id=f"c{len(self.calls)}",
            key="key-ws1",
            service="booking",
            path="/slots",
            body=b"{}",
            deadline=now + CALL_TIMEOUT_S,
            idempotency_key=self.keys[key],
        )
        self.calls[request.request_id] = (request, host)
        self.cluster.simulation.deliver(host, request)

    @rule(seconds=st.sampled_from([0.001, 0.01, 0.3, 1.0, 4.5, 9.0]))
    def wait(self, seconds):
        self.cluster.advance(seconds)

    @rule(fault=st.sampled_from(list(LogFault)))
    def set_log_fault(self, fault):
        self.cluster.simulation.log_fault = fault
        self.cluster.simulation.answer_waiting_reads()

    @rule(fault=st.sampled_from(list(ServiceFault)))
    def set_service_fault(self, fault):
        self.cluster.simulation.service_fault = fault

    @rule(instance=st.integers(0, 1))
    def restart(self, instance):
        self.cluster.restart(instance)

    @rule(instance=st.integers(0, 1), seconds=st.sampled_from([0.01, 2.0, 6.0]))
    def pause(self, instance, seconds):
        host = self.cluster.hosts[instance]
        if host.paused:
            return
        host.paused = True
        self.cluster.advance(seconds)
        self.cluster.simulation.resume(host)

    def count_runs(self, key: str) -> int:
        runs = self.cluster.simulation.service_calls
        return sum(call.idempotency_key == key for call in runs)

    @invariant()
    def each_key_runs_at_most_once(self):
        for key in self.keys:
            assert self.count_runs(key) <= 1, key

    @invariant()
    def outcomes_agree_with_runs(self):
        bodies = {}
        for request_id, sent in self.cluster.outcomes.items():
            assert len(sent) == 1, f"{request_id} has {len(sent)} outcomes"
            first, _ = sent[0]
            key = self.calls[request_id][0].idempotency_key
            outcome = first.outcome
            if outcome.tag == "not_run" and outcome.scope == "key":
                assert self.count_runs(key) == 0, (
                    f"{key} ran although its outcome is not_run"
                )
            if outcome.tag == "not_run":
                ids = [call.call_id for call in self.cluster.simulation.service_calls]
                assert request_id not in ids, (
                    f"{request_id} ran although its outcome is not_run"
                )
            if outcome.tag == "done":
                assert self.count_runs(key) == 1
                assert bodies.setdefault(key, outcome.body) == outcome.body

    def teardown(self):
        self.cluster.simulation.log_fault = LogFault.NONE
        self.cluster.simulation.service_fault = ServiceFault.NONE
        self.cluster.advance(CALL_TIMEOUT_S + ANSWER_MARGIN_S)
        self.each_key_runs_at_most_once()
        self.outcomes_agree_with_runs()
        for request_id, (_, host) in self.calls.items():
            if host.alive:
                assert request_id in self.cluster.outcomes, (
                    f"{request_id} has no outcome"
                )


CallMachineTest = CallMachine.TestCase


class RepeatableCallTest(unittest.TestCase):
    def test_call_that_was_sent_and_lost_is_not_reported_as_not_run(self):
        """The call is repeated until no instance or retry budget is left."""
        cluster = SimulatedCluster(instances=1, engines=0)
        simulation = cluster.simulation
        simulation.service_fault = ServiceFault.LOSE_ANSWERS
        context = cluster.hosts[0].core.context
        service = evolve(context.configuration.services["booking"], repeatable=True)
        context.configuration = evolve(
            context.configuration, services={"booking": service}
        )
        request = ServiceRequest(
            request_id="c0",
            key="key-ws1",
            service="booking",
            path="/slots",
            body=b"{}",
            deadline=simulation.now + CALL_TIMEOUT_S,
            idempotency_key="",
        )
        simulation.deliver(cluster.hosts[0], request)
        cluster.advance(CALL_TIMEOUT_S + ANSWER_MARGIN_S)
        self.assertTrue(simulation.service_calls)
        self.assertEqual(cluster.outcomes["c0"][0][0].outcome.tag, "unknown")


def reference_state(records: list[ClaimRecord], key: str) -> tuple[str, str]:
    """Return the phase of a key and its winning claim.

    Reference implementation of `ClaimFold` that searches all records.
    """
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
    def test_fold_agrees_with_reference(self, records):
        # each claim id belongs to one key
        records = [r for r in records if r.claim_id != "c1" or r.key == "ws/a"]
        records = [r for r in records if r.claim_id == "c1" or r.key == "ws/b"]
        fold = ClaimFold()
        for offset, record in enumerate(records):
            fold.apply(LogRecord(offset, record.to_json()))
        for key in ("ws/a", "ws/b"):
            state = fold.state_of(key)
            self.assertEqual(
                (state.phase, state.claim_id), reference_state(records, key)
            )

    def test_malformed_records_are_counted_and_skipped(self):
        fold = ClaimFold()
        for offset, body in enumerate(["{", "[]", '{"kind":"claim"}', '"x"']):
            self.assertIsNone(fold.apply(LogRecord(offset, body)))
        self.assertEqual(fold.bad_records, 4)
        self.assertEqual(fold.next_offset, 4)

    def test_keys_created_before_cutoff_are_dropped(self):
        fold = ClaimFold()
        for number, created_at in enumerate((1_000.0, 2_000.0)):
            record = ClaimRecord(
                kind=ClaimKind.CLAIM,
                key=f"ws/{make_key(created_at, number)}",
                claim_id=f"c{number}",
                claimant="i0",
                incarnation=1,
            )
            fold.apply(LogRecord(number, record.to_json()))
        fold.drop_keys_before(1_500.0)
        self.assertEqual(len(fold), 1)

    def test_uuid7_timestamp(self):
        self.assertAlmostEqual(uuid7_timestamp(make_key(1_234.5, 1)), 1_234.5)
        for text in ("", "x", "0" * 32, str(UUID(int=4 << 76))):
            self.assertIsNone(uuid7_timestamp(text))

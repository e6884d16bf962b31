"""Measures the CPU time and memory that one unit of each role's work takes."""

import tracemalloc
from collections.abc import Callable
from time import process_time, time
from uuid import UUID

from attrs import define

from briarrelay_bench.control_cost import big_configuration, sample_digest
from briarrelay_core.agreement.changes import (
    ChangeKind,
    ChangeRecord,
    ConfigurationFold,
)
from briarrelay_core.agreement.claims import ClaimFold, ClaimKind, ClaimRecord
from briarrelay_core.entry import EntryInstance
from briarrelay_core.identity import Identity
from briarrelay_core.ports.caller import CallerGone, ChatRequest
from briarrelay_core.ports.engine import EngineReport
from briarrelay_core.ports.log import LogRead, LogRecord
from briarrelay_core.ports.platform import (
    InstanceKind,
    InstanceList,
    LifecycleState,
    ListedInstance,
)
from briarrelay_core.record.record import Entry, Recorder
from briarrelay_core.routing.prefix import PrefixIndex
from briarrelay_daemon import peer_pb2
from briarrelay_daemon.peercodec import decode_message, encode_message

__all__ = ["UnitCost", "cpu_us", "measure_unit_costs"]

ENGINES = 157
REPEATS = 2_000
BLOCKS = 20_000
IDENTITY = Identity("entry-0000", 1, "dc1")


@define(slots=True, frozen=True)
class UnitCost:
    """Cost of one unit of work.

    :param us: microseconds of CPU time.
    :param bytes_held: memory that stays allocated for it.
    :param bytes_sent: length on the wire or in the log.
    """

    name: str
    us: float
    bytes_held: float = 0.0
    bytes_sent: float = 0.0


def cpu_us(action: Callable[[int], object], repeats: int) -> float:
    """Return the CPU time of a call in microseconds.

    :param action: called with the number of the repeat, from 0.
    """
    begin = process_time()
    for number in range(repeats):
        action(number)
    return (process_time() - begin) / repeats * 1e6


def _allocated_bytes(action: Callable[[int], object], repeats: int) -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(repeats):
        action(number)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held / repeats


def _claim_bodies(count: int) -> list[str]:
    now = int(time() * 1_000)
    bodies = []
    for number in range(count):
        key = UUID(int=(now << 80) | (7 << 76) | (2 << 62) | number)
        for kind, status in ((ClaimKind.CLAIM, 0), (ClaimKind.OUTCOME, 200)):
            record = ClaimRecord(
                kind=kind,
                key=f"workspace-00001/{key}",
                claim_id=f"entry-0001.1796344828379.{number}",
                claimant="entry-0001",
                incarnation=1_796_344_828_379,
                status=status,
                body="eyJib29raW5nIjoiczAtMSJ9" if status else "",
            )
            bodies.append(record.to_json())
    return bodies


def _measure_claims() -> UnitCost:
    bodies = _claim_bodies(REPEATS)
    timed_fold, held_fold = ClaimFold(), ClaimFold()
    records = [LogRecord(offset, body) for offset, body in enumerate(bodies)]
    us = 2 * cpu_us(lambda n: timed_fold.apply(records[n]), 2 * REPEATS)
    held = 2 * _allocated_bytes(lambda n: held_fold.apply(records[n]), 2 * REPEATS)
    return UnitCost(
        "keyed call: claim and outcome", us, held, sum(map(len, bodies)) / REPEATS
    )


def _configured_fold() -> ConfigurationFold:
    fold = ConfigurationFold()
    first = _change(0, patch=big_configuration())
    fold.apply(LogRecord(0, first.to_json()))
    return fold


def _change(number: int, **fields) -> ChangeRecord:
    kind = ChangeKind.PRESET if "preset" in fields else ChangeKind.PATCH
    return ChangeRecord(
        id=f"change-{number}", kind=kind, author="a", base=number, at=1.0, **fields
    )


def _measure_changes() -> list[UnitCost]:
    fold = _configured_fold()
    snapshot = fold.to_snapshot()

    def patch(number: int) -> None:
        change = _change(
            number + 1, patch={"workspaces": {"workspace-00001": {"weight": 2.0}}}
        )
        fold.apply(LogRecord(number + 1, change.to_json()))

    def activate(number: int) -> None:
        change = _change(number + 6, preset=("peak", "ordinary")[number % 2])
        fold.apply(LogRecord(number + 6, change.to_json()))

    patch_body = _change(1, patch={"workspaces": {"w": {"weight": 2.0}}}).to_json()
    preset_bytes = len(_change(1, preset="peak").to_json())
    return [
        UnitCost(
            "change of a workspace among 5,200", cpu_us(patch, 5), 0, len(patch_body)
        ),
        UnitCost(
            "change of preset among 5,200", cpu_us(activate, 200), 0, preset_bytes
        ),
        UnitCost(
            "snapshot of 5,200 workspaces",
            cpu_us(lambda n: fold.to_snapshot(), 3),
            0,
            len(snapshot),
        ),
    ]


def _measure_record() -> UnitCost:
    recorder = Recorder(IDENTITY)
    sent = 0

    def add(number: int) -> None:
        nonlocal sent
        why = "attempt 1 to engine-0001 after 0.004 s, first token expected in 0.2 s"
        entry = Entry(
            at=time(),
            kind="request",
            subject=f"01a23e7f-cb39-75d6-b9a8-{number:012d}",
            workspace="workspace-00001",
            outcome="done",
            why=why,
        )
        recorder.add(entry)
        if number % 60 == 59:
            sent += len(recorder.pop_batch().to_json())

    us = cpu_us(add, 60 * 20)
    bytes_sent = sent / (60 * 20)
    held = _allocated_bytes(lambda number: add(60 * number), 1_000)
    return UnitCost("entry of the record", us, held, bytes_sent)


def _measure_digests() -> UnitCost:
    digest = sample_digest(ENGINES)

    def encode_and_decode(_: int) -> None:
        raw = encode_message(digest).SerializeToString()
        decode_message(peer_pb2.PeerMessage.FromString(raw))

    raw = encode_message(digest).SerializeToString()
    return UnitCost(
        "digest, written and read", cpu_us(encode_and_decode, 100), 0, len(raw)
    )


def _measure_blocks() -> UnitCost:
    timed_index, held_index = PrefixIndex(), PrefixIndex()
    us = cpu_us(lambda n: timed_index.add("engine-0001", (n,)), BLOCKS)
    held = _allocated_bytes(
        lambda n: held_index.add("engine-0001", (2**40 + n,)), BLOCKS
    )
    return UnitCost("cached block in the prefix index", us, held)


def _make_instance(now: float) -> EntryInstance:
    core = EntryInstance(IDENTITY)
    core.start(now)
    first = _change(0, patch=big_configuration()).to_json()
    entries = tuple(
        ListedInstance(
            f"engine-{n:04d}", 1, InstanceKind.ENGINE, "dc1", "", 0, LifecycleState.LIVE
        )
        for n in range(ENGINES)
    )
    core.handle(InstanceList(1, entries), now)
    core.handle(LogRead("config-snapshots", -1, (), 0, 0), now)
    core.handle(LogRead("config", 0, (LogRecord(0, first),), 0, 1), now)
    for n in range(ENGINES):
        report = EngineReport(
            engine=f"engine-{n:04d}",
            as_of=now,
            queued=(0, 0, 0),
            decoding=5,
            memory_free=400_000,
            memory_total=450_000,
            rate=200_000.0,
            step_s=0.025,
            models=("model-1",),
        )
        core.handle(report, now)
    return core


def _measure_prompts() -> UnitCost:
    now = time()
    core = _make_instance(now)

    def serve(number: int) -> None:
        at = now + number / 31.0
        request = ChatRequest(
            request_id=f"request-{number:08d}",
            key=f"key-{number % 5_000}",
            model="model-1",
            prompt_tokens=8_000,
            output_tokens=340,
            deadline=at + 30.0,
            blocks=(number, number + 1, number + 2),
        )
        core.handle(request, at)
        core.handle(CallerGone(request.request_id), at)

    return UnitCost("prompt: admission, routing, end", cpu_us(serve, REPEATS))


def measure_unit_costs() -> list[UnitCost]:
    """Measure one unit of every role's work."""
    return [
        _measure_prompts(),
        _measure_claims(),
        *_measure_changes(),
        _measure_record(),
        _measure_digests(),
        _measure_blocks(),
    ]

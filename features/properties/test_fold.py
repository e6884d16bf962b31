"""Configuration: the same verdicts everywhere, one preset, never a revert."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarrelay_bench.workload import make_configuration
from briarrelay_bench.worldfaults import LogFault
from briarrelay_core.agreement.changes import CONFIG_STREAM, ConfigurationFold
from briarrelay_core.ports.log import LogRecord
from properties.worlds import SmallWorld, change

PRESETS = ("ordinary", "peak", "maintenance")
HEAL_S = 15.0
"""Seconds after which an accepted change must be in force everywhere."""


def as_records(bodies: list[str]) -> list[LogRecord]:
    """Return records at offsets from 0."""
    return [LogRecord(offset, body) for offset, body in enumerate(bodies)]


def naive_history(changes: list) -> list[tuple[str, str]]:
    """Return id and preset of each accepted change, without any of the fold."""
    revision, seen, accepted, preset, known = 0, set(), [], "", set()
    for item in changes:
        if item.id in seen:
            continue
        seen.add(item.id)
        if item.base != revision:
            continue
        if item.preset:
            if item.preset not in known:
                continue
            preset = item.preset
        else:
            new = {**dict.fromkeys(known), **item.patch.get("presets", {})}
            wanted = item.patch.get("preset", preset)
            if wanted not in new:
                continue
            known, preset = set(new), wanted
        revision += 1
        accepted.append((item.id, preset))
    return accepted


CHANGES = st.lists(
    st.one_of(
        st.builds(
            lambda i, base, name: change(f"c{i}", base, 1.0, preset=name),
            st.integers(0, 9),
            st.integers(0, 4),
            st.sampled_from([*PRESETS, "none"]),
        ),
        st.builds(
            lambda i, base, name: change(
                f"c{i}", base, 1.0, patch={"presets": {name: {}}, "preset": name}
            ),
            st.integers(0, 9),
            st.integers(0, 4),
            st.sampled_from(PRESETS),
        ),
    ),
    max_size=14,
)


class FoldTest(unittest.TestCase):
    @given(CHANGES)
    def test_fold_agrees_with_the_naive_version(self, changes):
        fold = ConfigurationFold()
        accepted = []
        for record in as_records([item.to_json() for item in changes]):
            verdict = fold.apply(record)
            if verdict is not None and verdict.accepted:
                accepted.append((verdict.id, fold.configuration.preset))
        self.assertEqual(accepted, naive_history(changes))
        self.assertEqual(fold.revision, len(accepted))

    @given(CHANGES, st.integers(0, 14))
    def test_a_snapshot_stands_for_the_records_before_it(self, changes, cut):
        records = as_records([item.to_json() for item in changes])
        whole, early, late = (ConfigurationFold() for _ in range(3))
        for record in records:
            whole.apply(record)
        for record in records[:cut]:
            early.apply(record)
        late.install_snapshot(early.to_snapshot())
        for record in records:
            late.apply(record)
        self.assertEqual(late.revision, whole.revision)
        self.assertEqual(late.configuration, whole.configuration)
        self.assertEqual(late.verdicts, whole.verdicts)

    def test_a_snapshot_of_the_past_changes_nothing(self):
        fold, old = ConfigurationFold(), ConfigurationFold()
        first = change("a", 0, 1.0, patch=make_configuration("short"))
        second = change("b", 1, 1.0, preset="peak")
        records = as_records([first.to_json(), second.to_json()])
        old.apply(records[0])
        for record in records:
            fold.apply(record)
        self.assertFalse(fold.install_snapshot(old.to_snapshot()))
        self.assertEqual(fold.configuration.preset, "peak")

    def test_the_loser_of_a_race_is_told_who_won(self):
        fold = ConfigurationFold()
        first = change("a", 0, 1.0, patch=make_configuration("short"))
        winner = change("b", 1, 1.0, preset="peak")
        loser = change("c", 1, 1.0, preset="maintenance")
        bodies = [item.to_json() for item in (first, winner, loser)]
        verdicts = [fold.apply(record) for record in as_records(bodies)]
        self.assertFalse(verdicts[2].accepted)
        self.assertEqual(verdicts[2].winner, "b")
        self.assertIn("publish again", verdicts[2].problem)
        self.assertEqual(fold.configuration.preset, "peak")


class RevisionMachine(RuleBasedStateMachine):
    """Racing operators, restarts, cuts of the log and trimming."""

    def __init__(self):
        super().__init__()
        self.small = SmallWorld(instances=3, engines=0)
        self.count = 0
        self.highest = {}
        self.in_force = {}

    @property
    def log(self):
        return self.small.world.log

    def true_fold(self) -> ConfigurationFold:
        """Fold everything that was ever appended."""
        fold = ConfigurationFold()
        for record in as_records(self.appended):
            fold.apply(record)
        return fold

    @property
    def appended(self) -> list[str]:
        if not hasattr(self, "_appended"):
            self._appended = []
        stream = self.log.read(CONFIG_STREAM, 0, limit=100_000)
        for record in stream.records:
            if record.offset == len(self._appended):
                self._appended.append(record.body)
        return self._appended

    @rule(name=st.sampled_from(PRESETS), stale=st.booleans(), twice=st.booleans())
    def publish(self, name, stale, twice):
        self.count += 1
        base = self.true_fold().revision - int(stale)
        now = self.small.world.now
        body = change(f"p{self.count}", base, now, preset=name).to_json()
        self.log.append(CONFIG_STREAM, [body] * (1 + twice))
        self.small.world.wake_readers()

    @rule(seconds=st.sampled_from([0.001, 0.5, 3.0, 30.0]))
    def wait(self, seconds):
        self.small.run(seconds)

    @rule(fault=st.sampled_from([LogFault.NONE, LogFault.DOWN, LogFault.LATE]))
    def break_log(self, fault):
        self.small.world.log_fault = fault
        self.small.world.wake_readers()

    @rule(at=st.integers(0, 2))
    def restart(self, at):
        self.appended  # noqa: B018  keeps what a trim may forget
        self.small.restart(at)
        self.highest.pop(at, None)

    @rule()
    def trim_behind_snapshot(self):
        fold = self.true_fold()
        if fold.snapshot_covers:
            kept = len(self.appended) - fold.snapshot_covers
            self.log.trim(CONFIG_STREAM, kept)

    @invariant()
    def one_preset_a_revision_and_no_revert(self):
        for index, host in enumerate(self.small.hosts):
            context = host.core.context
            if context.configuration is None:
                assert not host.core.is_ready
                continue
            preset = context.configuration.preset
            known = self.in_force.setdefault(context.revision, preset)
            assert known == preset, "two presets at one revision"
            assert context.revision >= self.highest.get(index, 0), "a revert"
            self.highest[index] = context.revision

    def teardown(self):
        self.small.world.log_fault = LogFault.NONE
        self.small.run(HEAL_S)
        truth = self.true_fold()
        for host in self.small.hosts:
            assert host.core.context.revision == truth.revision
            assert host.core.context.configuration == truth.configuration


RevisionMachineTest = RevisionMachine.TestCase


class RestartTest(unittest.TestCase):
    def test_unready_while_no_revision_can_be_learnt(self):
        small = SmallWorld(instances=1, engines=0)
        small.world.log_fault = LogFault.DOWN
        small.restart(0)
        small.run(20.0)
        self.assertFalse(small.hosts[0].core.is_ready)
        small.world.log_fault = LogFault.NONE
        small.run(HEAL_S)
        self.assertTrue(small.hosts[0].core.is_ready)

    def test_a_peer_tells_the_revision_while_the_log_is_down(self):
        small = SmallWorld(instances=2, engines=0)
        small.world.log_fault = LogFault.DOWN
        small.restart(0)
        small.run(10.0)
        self.assertTrue(small.hosts[0].core.is_ready)
        self.assertEqual(small.hosts[0].core.context.revision, 1)

    def test_one_cut_off_takes_a_newer_revision_from_a_peer(self):
        small = SmallWorld(instances=2, engines=0)
        cut = small.hosts[0]
        cut.data_centre = "dark"
        small.world.is_cut = lambda a, b: {a, b} == {"dark", "platform"}
        body = change("p", 1, small.world.now, preset="peak").to_json()
        small.world.log.append(CONFIG_STREAM, [body])
        small.world.wake_readers()
        small.run(13.0)
        self.assertEqual(cut.core.context.configuration.preset, "peak")

    def test_a_snapshot_is_written_before_the_log_forgets(self):
        small = SmallWorld(instances=2, engines=0)
        log = small.world.log
        for number in range(1, 121):
            name = PRESETS[number % 3]
            body = change(f"p{number}", number, small.world.now, preset=name)
            log.append(CONFIG_STREAM, [body.to_json()])
        small.world.wake_readers()
        small.run(30.0)
        log.trim(CONFIG_STREAM, 2)
        small.restart(0)
        small.run(HEAL_S)
        self.assertEqual(small.hosts[0].core.context.revision, 121)

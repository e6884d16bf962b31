"""Configuration changes: every instance reaches the same verdicts and revisions.

A revision has one preset on all instances, and no instance returns to an earlier
revision.
"""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarrelay_bench.simulated_faults import LogFault
from briarrelay_bench.workload import make_configuration
from briarrelay_core.agreement.changes import CONFIG_STREAM, ConfigurationFold
from briarrelay_core.ports.log import LogRecord
from properties.simulatedcluster import SimulatedCluster, make_change

PRESETS = ("ordinary", "peak", "maintenance")
CONVERGENCE_S = 15.0
"""Seconds without faults after which every instance has all accepted changes."""


def make_log_records(bodies: list[str]) -> list[LogRecord]:
    """Return log records with these bodies, at offsets from 0."""
    return [LogRecord(offset, body) for offset, body in enumerate(bodies)]


def reference_history(changes: list) -> list[tuple[str, str]]:
    """Return the id and the preset in force of each accepted change.

    Reference implementation of `ConfigurationFold`.
    """
    revision, seen, accepted, preset, defined = 0, set(), [], "", set()
    for item in changes:
        if item.id in seen:
            continue
        seen.add(item.id)
        if item.base != revision:
            continue
        if item.preset:
            if item.preset not in defined:
                continue
            preset = item.preset
        else:
            patched = {**dict.fromkeys(defined), **item.patch.get("presets", {})}
            selected = item.patch.get("preset", preset)
            if selected not in patched:
                continue
            defined, preset = set(patched), selected
        revision += 1
        accepted.append((item.id, preset))
    return accepted


CHANGES = st.lists(
    st.one_of(
        st.builds(
            lambda i, base, name: make_change(f"c{i}", base, 1.0, preset=name),
            st.integers(0, 9),
            st.integers(0, 4),
            st.sampled_from([*PRESETS, "none"]),
        ),
        st.builds(
            lambda i, base, name: make_change(
                f"c{i}", base, 1.0, patch={"presets": {name: {}}, "preset": name}
            ),
            st.integers(0, 9),
            st.integers(0, 4),
            st.sampled_from(PRESETS),
        ),
    ),
    max_size=14,
)


class ConfigurationFoldTest(unittest.TestCase):
    @given(CHANGES)
    def test_fold_agrees_with_reference(self, changes):
        fold = ConfigurationFold()
        accepted = []
        for record in make_log_records([item.to_json() for item in changes]):
            verdict = fold.apply(record)
            if verdict is not None and verdict.accepted:
                accepted.append((verdict.id, fold.configuration.preset))
        self.assertEqual(accepted, reference_history(changes))
        self.assertEqual(fold.revision, len(accepted))

    @given(CHANGES, st.integers(0, 14))
    def test_fold_restored_from_snapshot_equals_fold_of_all_records(self, changes, cut):
        records = make_log_records([item.to_json() for item in changes])
        complete, partial, restored = (ConfigurationFold() for _ in range(3))
        for record in records:
            complete.apply(record)
        for record in records[:cut]:
            partial.apply(record)
        restored.install_snapshot(partial.to_snapshot())
        for record in records:
            restored.apply(record)
        self.assertEqual(restored.revision, complete.revision)
        self.assertEqual(restored.configuration, complete.configuration)
        self.assertEqual(restored.verdicts, complete.verdicts)

    def test_outdated_snapshot_is_not_installed(self):
        """Installing it would return the configuration to an earlier revision."""
        fold, outdated = ConfigurationFold(), ConfigurationFold()
        first = make_change("a", 0, 1.0, patch=make_configuration("short"))
        second = make_change("b", 1, 1.0, preset="peak")
        records = make_log_records([first.to_json(), second.to_json()])
        outdated.apply(records[0])
        for record in records:
            fold.apply(record)
        self.assertFalse(fold.install_snapshot(outdated.to_snapshot()))
        self.assertEqual(fold.configuration.preset, "peak")

    def test_verdict_of_losing_change_names_the_winner(self):
        fold = ConfigurationFold()
        first = make_change("a", 0, 1.0, patch=make_configuration("short"))
        winner = make_change("b", 1, 1.0, preset="peak")
        loser = make_change("c", 1, 1.0, preset="maintenance")
        bodies = [item.to_json() for item in (first, winner, loser)]
        verdicts = [fold.apply(record) for record in make_log_records(bodies)]
        self.assertFalse(verdicts[2].accepted)
        self.assertEqual(verdicts[2].winner, "b")
        self.assertIn("publish again", verdicts[2].problem)
        self.assertEqual(fold.configuration.preset, "peak")


class RevisionMachine(RuleBasedStateMachine):
    """Publishes concurrent changes while instances restart and the log fails."""

    def __init__(self):
        super().__init__()
        self.cluster = SimulatedCluster(instances=3, engines=0)
        self.change_count = 0
        self.highest_revisions = {}
        self.preset_by_revision = {}

    @property
    def log(self):
        return self.cluster.simulation.log

    def fold_all_records(self) -> ConfigurationFold:
        """Return the fold of every record ever appended, also of trimmed ones."""
        fold = ConfigurationFold()
        for record in make_log_records(self.appended_bodies):
            fold.apply(record)
        return fold

    @property
    def appended_bodies(self) -> list[str]:
        if not hasattr(self, "_appended_bodies"):
            self._appended_bodies = []
        log_read = self.log.read(CONFIG_STREAM, 0, limit=100_000)
        for record in log_read.records:
            if record.offset == len(self._appended_bodies):
                self._appended_bodies.append(record.body)
        return self._appended_bodies

    @rule(name=st.sampled_from(PRESETS), stale=st.booleans(), repeated=st.booleans())
    def publish_preset(self, name, stale, repeated):
        self.change_count += 1
        base = self.fold_all_records().revision - int(stale)
        now = self.cluster.simulation.now
        body = make_change(f"p{self.change_count}", base, now, preset=name).to_json()
        self.log.append(CONFIG_STREAM, [body] * (1 + repeated))
        self.cluster.simulation.answer_waiting_reads()

    @rule(seconds=st.sampled_from([0.001, 0.5, 3.0, 30.0]))
    def wait(self, seconds):
        self.cluster.advance(seconds)

    @rule(fault=st.sampled_from([LogFault.NONE, LogFault.DOWN, LogFault.LATE]))
    def set_log_fault(self, fault):
        self.cluster.simulation.log_fault = fault
        self.cluster.simulation.answer_waiting_reads()

    @rule(instance=st.integers(0, 2))
    def restart(self, instance):
        self.appended_bodies  # noqa: B018  saves records before a trim
        self.cluster.restart(instance)
        self.highest_revisions.pop(instance, None)

    @rule()
    def trim_records_before_snapshot(self):
        fold = self.fold_all_records()
        if fold.snapshot_covers:
            kept_count = len(self.appended_bodies) - fold.snapshot_covers
            self.log.trim(CONFIG_STREAM, kept_count)

    @invariant()
    def revisions_have_one_preset_and_never_decrease(self):
        for index, host in enumerate(self.cluster.hosts):
            context = host.core.context
            if context.configuration is None:
                assert not host.core.is_ready
                continue
            preset = context.configuration.preset
            expected = self.preset_by_revision.setdefault(context.revision, preset)
            assert expected == preset, "one revision has two presets"
            assert context.revision >= self.highest_revisions.get(index, 0), (
                "the revision decreased"
            )
            self.highest_revisions[index] = context.revision

    def teardown(self):
        self.cluster.simulation.log_fault = LogFault.NONE
        self.cluster.advance(CONVERGENCE_S)
        expected = self.fold_all_records()
        for host in self.cluster.hosts:
            assert host.core.context.revision == expected.revision
            assert host.core.context.configuration == expected.configuration


RevisionMachineTest = RevisionMachine.TestCase


class ConfigurationRecoveryTest(unittest.TestCase):
    def test_instance_is_not_ready_until_it_has_a_revision(self):
        cluster = SimulatedCluster(instances=1, engines=0)
        cluster.simulation.log_fault = LogFault.DOWN
        cluster.restart(0)
        cluster.advance(20.0)
        self.assertFalse(cluster.hosts[0].core.is_ready)
        cluster.simulation.log_fault = LogFault.NONE
        cluster.advance(CONVERGENCE_S)
        self.assertTrue(cluster.hosts[0].core.is_ready)

    def test_revision_is_fetched_from_peer_while_log_is_down(self):
        cluster = SimulatedCluster(instances=2, engines=0)
        cluster.simulation.log_fault = LogFault.DOWN
        cluster.restart(0)
        cluster.advance(10.0)
        self.assertTrue(cluster.hosts[0].core.is_ready)
        self.assertEqual(cluster.hosts[0].core.context.revision, 1)

    def test_instance_cut_off_from_log_gets_newer_revision_from_peer(self):
        cluster = SimulatedCluster(instances=2, engines=0)
        isolated = cluster.hosts[0]
        isolated.data_centre = "dark"
        cluster.simulation.is_partitioned = lambda a, b: {a, b} == {"dark", "platform"}
        body = make_change("p", 1, cluster.simulation.now, preset="peak").to_json()
        cluster.simulation.log.append(CONFIG_STREAM, [body])
        cluster.simulation.answer_waiting_reads()
        cluster.advance(13.0)
        self.assertEqual(isolated.core.context.configuration.preset, "peak")

    def test_snapshot_restores_revision_after_log_is_trimmed(self):
        """Without a snapshot, trimmed changes would be lost to restarted instances."""
        cluster = SimulatedCluster(instances=2, engines=0)
        log = cluster.simulation.log
        for number in range(1, 121):
            name = PRESETS[number % 3]
            body = make_change(
                f"p{number}", number, cluster.simulation.now, preset=name
            )
            log.append(CONFIG_STREAM, [body.to_json()])
        cluster.simulation.answer_waiting_reads()
        cluster.advance(30.0)
        log.trim(CONFIG_STREAM, 2)
        cluster.restart(0)
        cluster.advance(CONVERGENCE_S)
        self.assertEqual(cluster.hosts[0].core.context.revision, 121)

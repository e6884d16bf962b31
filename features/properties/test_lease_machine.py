"""The order lease under pauses, restarts, log faults and delayed orders."""

from attrs import define, field
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarrelay_bench.engine_model import EngineModel, EngineSpec
from briarrelay_bench.simulated_faults import LogFault
from briarrelay_bench.virtual import EngineHost
from briarrelay_core.agreement.changes import CONFIG_STREAM
from properties.simulatedcluster import SimulatedCluster, make_change

RECOVERY_S = 150.0
"""Seconds without faults after which orders are carried out.

Twice the time for the longest lease, a takeover and reading back engine states.
"""


@define(slots=True)
class RecordingEngine(EngineModel):
    """An engine that records the fencing tokens of the orders that it obeyed."""

    obeyed_tokens: list[int] = field(factory=list)

    def apply_order(self, kind: str, value: str, fencing: int) -> bool:
        """Obey or refuse an order; record its fencing token if obeyed."""
        obeyed = EngineModel.apply_order(self, kind, value, fencing)
        if obeyed:
            self.obeyed_tokens.append(fencing)
        return obeyed


class LeaseMachine(RuleBasedStateMachine):
    """Two candidates for the lease, and two engines.

    Engine ``e0`` checks fencing tokens, engine ``e1`` does not.
    """

    def __init__(self):
        super().__init__()
        self.cluster = SimulatedCluster(instances=2, engines=0)
        for name, with_fencing in (("e0", True), ("e1", False)):
            model = RecordingEngine(
                name, EngineSpec(), models=("base@1",), checks_fencing=with_fencing
            )
            self.cluster.simulation.engines[name] = EngineHost(model)
        self.cluster.publish_instance_list()
        self.cluster.advance(8.0)
        self.model_version = 1

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 16.0, 40.0]))
    def wait(self, seconds):
        self.cluster.advance(seconds)

    @rule(fault=st.sampled_from(list(LogFault)))
    def set_log_fault(self, fault):
        self.cluster.simulation.log_fault = fault
        self.cluster.simulation.answer_waiting_reads()

    @rule(instance=st.integers(0, 1))
    def restart(self, instance):
        self.cluster.restart(instance)

    @rule(instance=st.integers(0, 1), seconds=st.sampled_from([2.0, 20.0, 60.0]))
    def pause(self, instance, seconds):
        host = self.cluster.hosts[instance]
        host.paused = True
        self.cluster.advance(seconds)
        self.cluster.simulation.resume(host)

    @rule()
    def publish_model_version(self):
        self.model_version += 1
        patch = {"models": {"base": {"version": str(self.model_version)}}}
        world = self.cluster.simulation
        record = make_change(
            f"v{self.model_version}", self.model_version - 1, world.now, patch=patch
        )
        world.log.append(CONFIG_STREAM, [record.to_json()])
        world.answer_waiting_reads()

    @rule(engine=st.sampled_from(["e0", "e1"]), tokens_behind=st.integers(1, 3))
    def deliver_delayed_order(self, engine, tokens_behind):
        """Deliver an order that an earlier holder sent long ago."""
        model = self.cluster.simulation.engines[engine].model
        model.apply_order("load_model", "base@0", model.highest_fencing - tokens_behind)

    @invariant()
    def engine_with_fencing_obeys_increasing_tokens(self):
        tokens = self.cluster.simulation.engines["e0"].model.obeyed_tokens
        assert tokens == sorted(tokens), tokens

    @invariant()
    def lease_has_at_most_one_holder(self):
        now = self.cluster.simulation.now
        holders = [h.name for h in self.cluster.hosts if h.core.orders.is_holder(now)]
        assert len(holders) <= 1, holders

    def teardown(self):
        self.cluster.simulation.log_fault = LogFault.NONE
        self.cluster.advance(RECOVERY_S)
        expected = (f"base@{self.model_version}",)
        for engine in self.cluster.simulation.engines.values():
            assert engine.model.models == expected, (engine.model.name, expected)
        now = self.cluster.simulation.now
        assert any(h.core.orders.is_holder(now) for h in self.cluster.hosts)


LeaseMachineTest = LeaseMachine.TestCase

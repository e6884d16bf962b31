"""The order lease under pauses, restarts, log faults and orders that come late."""

from attrs import define, field
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarrelay_bench.engine_model import EngineModel, EngineSpec
from briarrelay_bench.virtual import EngineHost
from briarrelay_bench.worldfaults import LogFault
from briarrelay_core.agreement.changes import CONFIG_STREAM
from properties.worlds import SmallWorld, change

HEAL_S = 150.0
"""Seconds for the longest lease, takeover and reading back, twice over."""


@define(slots=True)
class RecordingEngine(EngineModel):
    """An engine that remembers the fencing numbers of orders that it obeyed."""

    obeyed: list[int] = field(factory=list)

    def order(self, kind: str, value: str, fencing: int) -> bool:
        """Obey or refuse, and remember."""
        done = EngineModel.order(self, kind, value, fencing)
        if done:
            self.obeyed.append(fencing)
        return done


class LeaseMachine(RuleBasedStateMachine):
    """Two candidates, an engine that checks fencing numbers and one that does not."""

    def __init__(self):
        super().__init__()
        self.small = SmallWorld(instances=2, engines=0)
        for name, checks in (("e0", True), ("e1", False)):
            model = RecordingEngine(
                name, EngineSpec(), models=("base@1",), checks_fencing=checks
            )
            self.small.world.engines[name] = EngineHost(model)
        self.small.relist()
        self.small.run(8.0)
        self.version = 1

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 16.0, 40.0]))
    def wait(self, seconds):
        self.small.run(seconds)

    @rule(fault=st.sampled_from(list(LogFault)))
    def break_log(self, fault):
        self.small.world.log_fault = fault
        self.small.world.wake_readers()

    @rule(at=st.integers(0, 1))
    def restart(self, at):
        self.small.restart(at)

    @rule(at=st.integers(0, 1), seconds=st.sampled_from([2.0, 20.0, 60.0]))
    def pause(self, at, seconds):
        host = self.small.hosts[at]
        host.paused = True
        self.small.run(seconds)
        self.small.world.wake(host)

    @rule()
    def publish_version(self):
        self.version += 1
        patch = {"models": {"base": {"version": str(self.version)}}}
        world = self.small.world
        record = change(f"v{self.version}", self.version - 1, world.now, patch=patch)
        world.log.append(CONFIG_STREAM, [record.to_json()])
        world.wake_readers()

    @rule(engine=st.sampled_from(["e0", "e1"]), behind=st.integers(1, 3))
    def late_order(self, engine, behind):
        """An order of an earlier holder that was long on its way."""
        model = self.small.world.engines[engine].model
        model.order("load_model", "base@0", model.highest_fencing - behind)

    @invariant()
    def a_checking_engine_obeys_rising_numbers(self):
        obeyed = self.small.world.engines["e0"].model.obeyed
        assert obeyed == sorted(obeyed), obeyed

    @invariant()
    def at_most_one_holds_the_lease(self):
        now = self.small.world.now
        holders = [h.name for h in self.small.hosts if h.core.orders.is_holder(now)]
        assert len(holders) <= 1, holders

    def teardown(self):
        self.small.world.log_fault = LogFault.NONE
        self.small.run(HEAL_S)
        wanted = (f"base@{self.version}",)
        for engine in self.small.world.engines.values():
            assert engine.model.models == wanted, (engine.model.name, wanted)
        now = self.small.world.now
        assert any(h.core.orders.is_holder(now) for h in self.small.hosts)


LeaseMachineTest = LeaseMachine.TestCase

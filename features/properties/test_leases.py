"""The order lease: two holders are never obeyed at once by an engine that checks."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from briarrelay_bench.engine_model import EngineModel
from briarrelay_bench.workload import make_configuration
from briarrelay_bench.worldfaults import LogFault
from briarrelay_core.agreement.changes import CONFIG_STREAM
from briarrelay_core.agreement.configuration import read_configuration
from briarrelay_core.agreement.leases import LEASE_STREAM, LeaseFold, LeaseRecord
from briarrelay_core.agreement.orders import MATCHED_REFRESH_S, assign_models
from briarrelay_core.ports.log import LogRecord
from briarrelay_core.ports.platform import WeightsStatus
from properties.worlds import SmallWorld, change

WISHES = st.lists(
    st.builds(
        LeaseRecord,
        id=st.sampled_from("abcdef"),
        data_centre=st.sampled_from(["dc1", "dc2"]),
        holder=st.sampled_from(["i0", "i1"]),
        incarnation=st.just(1),
        after=st.integers(-1, 6),
        duration_s=st.just(15.0),
    ),
    max_size=10,
)


class LeaseFoldTest(unittest.TestCase):
    @given(WISHES)
    def test_fencing_numbers_rise_and_each_lease_follows_one(self, wishes):
        fold = LeaseFold()
        last = {"dc1": -1, "dc2": -1}
        for offset, wish in enumerate(wishes):
            accepted = fold.apply(LogRecord(offset, wish.to_json()), 0.0)
            self.assertEqual(accepted, wish.after == last[wish.data_centre])
            if accepted:
                last[wish.data_centre] = offset
                self.assertEqual(fold.lease_of(wish.data_centre).offset, offset)

    @given(st.lists(st.tuples(st.integers(0, 5), st.text("ab", max_size=1))))
    def test_a_checking_engine_obeys_rising_numbers_alone(self, orders):
        engine = EngineModel("e0")
        highest = -1
        for fencing, value in orders:
            obeyed = engine.order("set_role", value, fencing)
            self.assertEqual(obeyed, fencing >= highest)
            highest = max(highest, fencing)


class OrderTest(unittest.TestCase):
    def small(self, engines: int = 3) -> SmallWorld:
        small = SmallWorld(instances=2, engines=engines)
        small.run(10.0)
        return small

    def holders(self, small: SmallWorld) -> list:
        now = small.world.now
        return [h for h in small.hosts if h.alive and h.core.orders.is_holder(now)]

    def test_one_holds_the_lease(self):
        small = self.small()
        self.assertEqual(len(self.holders(small)), 1)
        small.run(60.0)
        self.assertEqual(len(self.holders(small)), 1)

    def test_another_takes_over_from_a_dead_holder(self):
        small = self.small()
        first = self.holders(small)[0]
        first.alive = False
        small.relist()
        small.run(40.0)
        self.assertEqual(len(self.holders(small)), 1)
        self.assertIsNot(self.holders(small)[0], first)

    def test_a_holder_that_wakes_from_a_pause_is_no_holder(self):
        small = self.small()
        first = self.holders(small)[0]
        first.paused = True
        small.run(40.0)
        others = [h for h in self.holders(small) if h is not first]
        self.assertEqual(len(others), 1)
        self.assertFalse(first.core.orders.is_holder(small.world.now))
        small.world.wake(first)
        small.run(5.0)
        self.assertEqual(self.holders(small), others)

    def test_no_orders_while_the_log_is_down(self):
        small = self.small()
        small.world.log_fault = LogFault.DOWN
        small.world.wake_readers()
        small.run(60.0)
        self.assertEqual(self.holders(small), [])
        small.world.log_fault = LogFault.NONE
        small.run(60.0)
        self.assertEqual(len(self.holders(small)), 1)

    def order_new_version(self, small: SmallWorld) -> None:
        patch = {"models": {"base": {"version": "2", "adapters": ["salon"]}}}
        record = change("v2", 1, small.world.now, patch=patch)
        small.world.log.append(CONFIG_STREAM, [record.to_json()])
        small.world.wake_readers()

    def test_engines_come_to_match_the_configuration(self):
        for ignoring in (False, True):
            small = self.small()
            for engine in small.world.engines.values():
                engine.model.checks_fencing = not ignoring
            self.order_new_version(small)
            small.run(90.0)
            for engine in small.world.engines.values():
                self.assertEqual(engine.model.models, ("base@2",))
                self.assertEqual(engine.model.adapters, ("salon",))

    def test_an_order_by_an_old_holder_is_mended(self):
        small = self.small()
        engine = small.world.engines["e0"].model
        engine.checks_fencing = False
        engine.order("load_model", "base@0", 0)
        small.run(MATCHED_REFRESH_S + 10.0)
        self.assertEqual(engine.models, ("base@1",))

    def test_a_slow_weight_store_holds_orders_back(self):
        small = self.small()
        keeper = self.holders(small)[0].core.orders
        keeper.on_weights(WeightsStatus("base@2", False, 30.0), small.world.now)
        self.assertEqual(keeper._fetch_weights("base@2", small.world.now + 10.0), [])
        self.assertEqual(
            len(keeper._fetch_weights("base@2", small.world.now + 31.0)), 1
        )

    def test_the_lease_stream_holds_renewals(self):
        small = self.small()
        before = len(small.world.log.bodies(LEASE_STREAM))
        small.run(60.0)
        renewals = len(small.world.log.bodies(LEASE_STREAM)) - before
        self.assertLessEqual(renewals, 60 / 6)


class AssignmentTest(unittest.TestCase):
    @given(st.integers(1, 12), st.integers(1, 4))
    def test_every_model_has_an_engine_and_few_move(self, engines, models):
        mapping = make_configuration("short")
        mapping["models"] = {f"m{i}": {} for i in range(models)}
        configuration = read_configuration(mapping, "test")
        names = [f"e{i}" for i in range(engines)]
        chosen = assign_models(configuration, names)
        carried = {model for model, _ in chosen.values()}
        self.assertEqual(len(carried), min(models, engines))
        self.assertEqual(set(chosen), set(names))

"""The order lease, fencing of orders, and the assignment of models to engines.

An engine that checks fencing tokens never obeys two lease holders at once.
"""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from briarrelay_bench.engine_model import EngineModel
from briarrelay_bench.simulated_faults import LogFault
from briarrelay_bench.workload import make_configuration
from briarrelay_core.agreement.changes import CONFIG_STREAM
from briarrelay_core.agreement.configuration import read_configuration
from briarrelay_core.agreement.leases import LEASE_STREAM, LeaseFold, LeaseRecord
from briarrelay_core.agreement.orders import MATCHED_REFRESH_S, assign_models
from briarrelay_core.ports.log import LogRecord
from briarrelay_core.ports.platform import WeightsStatus
from properties.simulatedcluster import SimulatedCluster, make_change

LEASE_RECORDS = st.lists(
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
    @given(LEASE_RECORDS)
    def test_lease_is_changed_only_by_a_record_that_follows_it(self, requests):
        fold = LeaseFold()
        last_offsets = {"dc1": -1, "dc2": -1}
        for offset, request in enumerate(requests):
            accepted = fold.apply(LogRecord(offset, request.to_json()), 0.0)
            self.assertEqual(
                accepted, request.after == last_offsets[request.data_centre]
            )
            if accepted:
                last_offsets[request.data_centre] = offset
                self.assertEqual(fold.lease_of(request.data_centre).offset, offset)

    @given(st.lists(st.tuples(st.integers(0, 5), st.text("ab", max_size=1))))
    def test_engine_with_fencing_refuses_lower_tokens(self, orders):
        engine = EngineModel("e0")
        highest = -1
        for token, value in orders:
            obeyed = engine.apply_order("set_role", value, token)
            self.assertEqual(obeyed, token >= highest)
            highest = max(highest, token)


class OrderControllerTest(unittest.TestCase):
    def start_cluster(self, engines: int = 3) -> SimulatedCluster:
        cluster = SimulatedCluster(instances=2, engines=engines)
        cluster.advance(10.0)
        return cluster

    def find_holders(self, cluster: SimulatedCluster) -> list:
        now = cluster.simulation.now
        return [h for h in cluster.hosts if h.alive and h.core.orders.is_holder(now)]

    def test_one_instance_holds_the_lease(self):
        cluster = self.start_cluster()
        self.assertEqual(len(self.find_holders(cluster)), 1)
        cluster.advance(60.0)
        self.assertEqual(len(self.find_holders(cluster)), 1)

    def test_another_instance_takes_over_after_holder_fails(self):
        cluster = self.start_cluster()
        first = self.find_holders(cluster)[0]
        first.alive = False
        cluster.publish_instance_list()
        cluster.advance(40.0)
        self.assertEqual(len(self.find_holders(cluster)), 1)
        self.assertIsNot(self.find_holders(cluster)[0], first)

    def test_lease_is_lost_by_holder_paused_past_its_expiry(self):
        """A holder that resumes must not send orders beside its successor."""
        cluster = self.start_cluster()
        first = self.find_holders(cluster)[0]
        first.paused = True
        cluster.advance(40.0)
        others = [h for h in self.find_holders(cluster) if h is not first]
        self.assertEqual(len(others), 1)
        self.assertFalse(first.core.orders.is_holder(cluster.simulation.now))
        cluster.simulation.resume(first)
        cluster.advance(5.0)
        self.assertEqual(self.find_holders(cluster), others)

    def test_no_instance_holds_the_lease_while_log_is_down(self):
        cluster = self.start_cluster()
        cluster.simulation.log_fault = LogFault.DOWN
        cluster.simulation.answer_waiting_reads()
        cluster.advance(60.0)
        self.assertEqual(self.find_holders(cluster), [])
        cluster.simulation.log_fault = LogFault.NONE
        cluster.advance(60.0)
        self.assertEqual(len(self.find_holders(cluster)), 1)

    def publish_model_version(self, cluster: SimulatedCluster) -> None:
        patch = {"models": {"base": {"version": "2", "adapters": ["salon"]}}}
        record = make_change("v2", 1, cluster.simulation.now, patch=patch)
        cluster.simulation.log.append(CONFIG_STREAM, [record.to_json()])
        cluster.simulation.answer_waiting_reads()

    def test_engines_converge_to_the_configuration(self):
        for ignores_fencing in (False, True):
            cluster = self.start_cluster()
            for engine in cluster.simulation.engines.values():
                engine.model.checks_fencing = not ignores_fencing
            self.publish_model_version(cluster)
            cluster.advance(90.0)
            for engine in cluster.simulation.engines.values():
                self.assertEqual(engine.model.models, ("base@2",))
                self.assertEqual(engine.model.adapters, ("salon",))

    def test_effect_of_order_by_earlier_holder_is_corrected(self):
        """An engine that does not check fencing tokens obeys a delayed order."""
        cluster = self.start_cluster()
        engine = cluster.simulation.engines["e0"].model
        engine.checks_fencing = False
        engine.apply_order("load_model", "base@0", 0)
        cluster.advance(MATCHED_REFRESH_S + 10.0)
        self.assertEqual(engine.models, ("base@1",))

    def test_weights_are_fetched_again_only_after_retry_delay(self):
        cluster = self.start_cluster()
        controller = self.find_holders(cluster)[0].core.orders
        controller.on_weights(
            WeightsStatus("base@2", False, 30.0), cluster.simulation.now
        )
        self.assertEqual(
            controller._fetch_weights("base@2", cluster.simulation.now + 10.0), []
        )
        self.assertEqual(
            len(controller._fetch_weights("base@2", cluster.simulation.now + 31.0)), 1
        )

    def test_lease_renewals_are_limited(self):
        cluster = self.start_cluster()
        before = len(cluster.simulation.log.bodies(LEASE_STREAM))
        cluster.advance(60.0)
        renewals = len(cluster.simulation.log.bodies(LEASE_STREAM)) - before
        self.assertLessEqual(renewals, 60 / 6)


class AssignmentTest(unittest.TestCase):
    @given(st.integers(1, 12), st.integers(1, 4))
    def test_every_engine_gets_a_model_and_models_are_spread(self, engines, models):
        mapping = make_configuration("short")
        mapping["models"] = {f"m{i}": {} for i in range(models)}
        configuration = read_configuration(mapping, "test")
        engine_names = [f"e{i}" for i in range(engines)]
        assignment = assign_models(configuration, engine_names)
        assigned_models = {model for model, _ in assignment.values()}
        self.assertEqual(len(assigned_models), min(models, engines))
        self.assertEqual(set(assignment), set(engine_names))

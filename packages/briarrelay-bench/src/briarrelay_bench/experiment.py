"""Policy experiments: the daemon's core with model engines, in virtual time."""

from attrs import define, evolve, field

from briarrelay_bench.baselines import BaselineInstance
from briarrelay_bench.engine_model import EngineModel, EngineSpec
from briarrelay_bench.measures import Report, RequestResult, slowdown_p95, ttft_by_class
from briarrelay_bench.virtual import EngineHost, InstanceHost, VirtualCluster
from briarrelay_bench.workload import Workload, make_configuration, make_workload
from briarrelay_core.agreement.changes import CONFIG_STREAM, ChangeKind, ChangeRecord
from briarrelay_core.entry import EntryInstance
from briarrelay_core.identity import Identity
from briarrelay_core.membership.rendezvous import unit_hash
from briarrelay_core.memory.sweeper import ORPHAN_GRACE_S
from briarrelay_core.outcomes import Failed
from briarrelay_core.ports.caller import ChatRequest, SendOutcome
from briarrelay_core.ports.engine import EngineLost
from briarrelay_core.ports.platform import InstanceKind, LifecycleState, ListedInstance
from briarrelay_core.reasons import FailureReason
from briarrelay_core.routing.lengths import LengthClass, length_class_of

__all__ = ["Experiment", "Settings", "run_experiment"]

POLICIES = ("briarrelay", "least-connections", "round-robin")
SCENARIOS = ("mixed", "engine-loss", "instance-loss", "overload", "cut")

START_S = 1_000.0
"""Virtual Unix time in seconds at which the simulation starts."""

WARM_UP_S = 5.0
"""Seconds before the first request, for engine reports and the configuration."""

LIST_LAG_S = 3.0
"""Delay in seconds until the instance list shows a loss."""

SWEEP_S = 15.0
"""Seconds after the last deadline and grace within which memory must be freed."""


@define(slots=True, frozen=True)
class Settings:
    """Parameters of one run.

    :param load: offered work over the capacity of the fleet.
    :param duration: seconds for which requests arrive.
    :param prefix_share: fraction of the prompts that share a prefix with others.
    """

    scenario: str = "mixed"
    policy: str = "briarrelay"
    objective: str = "short"
    seed: int = 1
    load: float = 0.7
    duration: float = 300.0
    engines: int = 7
    instances: int = 2
    prefix_share: float = 0.0
    spec: EngineSpec = field(factory=EngineSpec)


@define(slots=True)
class Experiment:
    """A simulated cluster, its workload and the results of the requests.

    :ivar results: by request id.
    :ivar tokens_by_request: tokens processed until the end of the load, by request id.
    """

    settings: Settings
    workload: Workload
    cluster: VirtualCluster = field(init=False)
    results: dict[str, RequestResult] = field(factory=dict)
    tokens_by_request: dict[str, int] = field(factory=dict)
    _owners: dict[str, str] = field(factory=dict)

    def __attrs_post_init__(self):
        self.cluster = VirtualCluster(
            now=START_S, on_text=self._on_text, on_finish=self._on_finish
        )
        self._add_engines()
        self._add_instances()
        self.cluster.instance_list = self._make_instance_list()

    @property
    def _load_start(self) -> float:
        return START_S + WARM_UP_S

    def _data_centre(self, index: int, count: int) -> str:
        if self.settings.scenario != "cut":
            return "dc1"
        return "dc1" if index < (count + 1) // 2 else "dc2"

    def _add_engines(self) -> None:
        for index in range(self.settings.engines):
            model = EngineModel(
                f"e{index}",
                self.settings.spec,
                models=("base@1",),
                honours_priority=self.settings.policy == "briarrelay",
            )
            data_centre = self._data_centre(index, self.settings.engines)
            self.cluster.engines[model.name] = EngineHost(model, data_centre)

    def _add_instances(self) -> None:
        count = self.settings.instances
        if self.settings.scenario == "cut":
            count = 2 * self.settings.instances
        change = ChangeRecord(
            id="first",
            kind=ChangeKind.PATCH,
            author="experiment",
            base=0,
            at=START_S,
            patch=make_configuration(self.settings.objective),
        )
        self.cluster.log.append(CONFIG_STREAM, [change.to_json()])
        for index in range(count):
            identity = Identity(f"i{index}", 1, self._data_centre(index, count))
            core = self._make_core(identity)
            host = InstanceHost(core, identity.data_centre)
            self.cluster.instances[identity.name] = host

    def _make_core(self, identity: Identity):
        if self.settings.policy == "briarrelay":
            return EntryInstance(identity)
        local_memory = {
            name: host.model.spec.memory
            for name, host in self.cluster.engines.items()
            if host.data_centre == identity.data_centre
        }
        uses_least_connections = self.settings.policy == "least-connections"
        return BaselineInstance(identity, local_memory, uses_least_connections)

    def _make_instance_list(self) -> tuple[ListedInstance, ...]:
        entries = [
            ListedInstance(
                host.name,
                1,
                InstanceKind.ENTRY,
                host.data_centre,
                "",
                0,
                LifecycleState.LIVE,
            )
            for host in self.cluster.instances.values()
        ]
        engines = [
            ListedInstance(
                name,
                1,
                InstanceKind.ENGINE,
                host.data_centre,
                "",
                0,
                LifecycleState.LIVE,
                checks_fencing=True,
            )
            for name, host in self.cluster.engines.items()
        ]
        return tuple(entries + engines)

    def run(self) -> None:
        """Run the workload with its faults, then until all memory must be freed."""
        for host in list(self.cluster.instances.values()):
            self.cluster.start(host)
        for arrival in self.workload.arrivals:
            self.results[arrival.id] = RequestResult(arrival)
            due = self._load_start + arrival.at
            self.cluster.schedule(due, lambda a=arrival: self._submit(a))
        self._schedule_faults()
        end = self._load_start + self.workload.duration
        self.cluster.run_until(end)
        self._record_processed()
        last = max((a.deadline for a in self.workload.arrivals), default=0.0)
        self.cluster.run_until(self._load_start + last + 2 * ORPHAN_GRACE_S + SWEEP_S)

    def _submit(self, arrival) -> None:
        alive = [h for h in self.cluster.instances.values() if h.alive]
        host = alive[int(unit_hash("balancer", arrival.id) * len(alive))]
        request = ChatRequest(
            request_id=arrival.id,
            key=f"key-{arrival.workspace}",
            model="base",
            prompt_tokens=arrival.tokens,
            output_tokens=arrival.output_tokens,
            deadline=self._load_start + arrival.deadline,
            blocks=arrival.blocks,
        )
        self._owners[arrival.id] = host.name
        self.cluster.deliver(host, request)

    def _on_text(self, request_id: str, text: str, now: float) -> None:
        result = self.results[request_id]
        if result.first_token_at is None:
            result.first_token_at = now - self._load_start
        result.text.append(text)

    def _on_finish(self, finish: SendOutcome, now: float) -> None:
        result = self.results[finish.request_id]
        result.ended_at = now - self._load_start
        result.outcome = finish.outcome

    def _record_processed(self) -> None:
        for host in self.cluster.engines.values():
            for name, tokens in host.model.processed_tokens.items():
                self.tokens_by_request[name] = (
                    self.tokens_by_request.get(name, 0) + tokens
                )

    def _schedule_faults(self) -> None:
        fault_time = lambda fraction: (
            self._load_start + fraction * self.workload.duration
        )
        if self.settings.scenario == "engine-loss":
            self.cluster.schedule(fault_time(0.33), lambda: self._kill_engine("e0"))
            self.cluster.schedule(
                fault_time(0.50), lambda: self._set_silent("e1", True)
            )
            self.cluster.schedule(
                fault_time(0.90), lambda: self._set_silent("e1", False)
            )
        elif self.settings.scenario == "instance-loss":
            self.cluster.schedule(fault_time(0.5), lambda: self._kill_instance("i1"))
        elif self.settings.scenario == "cut":
            self.cluster.schedule(fault_time(0.33), lambda: self._set_partitioned(True))
            self.cluster.schedule(
                fault_time(0.66), lambda: self._set_partitioned(False)
            )

    def _kill_engine(self, name: str) -> None:
        host = self.cluster.engines[name]
        host.alive = False
        for resident in host.model.residents():
            owner = self.cluster.instances[resident.owner]
            lost = EngineLost(name, resident.request_id, resident.attempt)
            self.cluster.deliver_later(owner, lost, 0.001)
        self._remove_from_list(name)

    def _remove_from_list(self, name: str) -> None:
        def change() -> None:
            self.cluster.list_version += 1
            self.cluster.instance_list = tuple(
                entry for entry in self.cluster.instance_list if entry.name != name
            )

        self.cluster.schedule(self.cluster.now + LIST_LAG_S, change)

    def _set_silent(self, name: str, silent: bool) -> None:
        self.cluster.engines[name].silent = silent

    def _kill_instance(self, name: str) -> None:
        host = self.cluster.instances[name]
        host.alive = False
        self._remove_from_list(name)
        for request_id, owner in self._owners.items():
            result = self.results[request_id]
            if owner == name and result.ended_at is None:
                result.is_instance_lost = True
                result.ended_at = self.cluster.now - self._load_start
                result.outcome = Failed(FailureReason.PEER_LOST, "instance died")

    def _set_partitioned(self, active: bool) -> None:
        if active:
            self.cluster.is_partitioned = lambda a, b: "dc2" in (a, b) and a != b
        else:
            self.cluster.is_partitioned = lambda a, b: False

    def count_leaked_tokens(self) -> int:
        """Return the tokens of memory that requests still reserve on live engines."""
        return sum(
            host.model.reserved_tokens
            for host in self.cluster.engines.values()
            if host.alive
        )

    def capacity(self) -> float:
        """Return the tokens that the fleet can process while requests arrive."""
        rate = self.settings.spec.rate * self.settings.engines
        return rate * self.workload.duration

    def goodput(self) -> float:
        """Return tokens processed for completed answers, over the most possible."""
        useful = sum(
            min(self.tokens_by_request.get(name, 0), result.arrival.work)
            for name, result in self.results.items()
            if result.is_done
        )
        return useful / min(self.capacity(), self.workload.offered_tokens)


def _short_only(workload: Workload) -> Workload:
    short = tuple(
        a for a in workload.arrivals if length_class_of(a.tokens) is LengthClass.SHORT
    )
    return evolve(workload, arrivals=short)


def _count_by_name(names: list[str]) -> dict[str, int]:
    return {name: names.count(name) for name in sorted(set(names))}


def _refused_within_share(experiment: Experiment) -> int:
    """Count refused requests of workspaces whose demand is within their fair share."""
    demand: dict[str, int] = {}
    for result in experiment.results.values():
        name = result.arrival.workspace
        demand[name] = demand.get(name, 0) + result.arrival.work
    share = experiment.capacity() / max(1, len(demand))
    return sum(
        result.is_refused and demand[result.arrival.workspace] <= share
        for result in experiment.results.values()
    )


def run_experiment(settings: Settings) -> tuple[Report, Experiment]:
    """Run an experiment, and a second one with only its short requests.

    The second run gives the reference for the slowdown of short requests.
    """
    workload = make_workload(
        seed=settings.seed,
        duration=settings.duration,
        capacity=settings.spec.rate * settings.engines,
        engine_rate=settings.spec.rate,
        load=settings.load,
        overload=settings.scenario == "overload",
        prefix_share=settings.prefix_share,
    )
    mixed = Experiment(settings, workload)
    mixed.run()
    short_alone = Experiment(evolve(settings, scenario="mixed"), _short_only(workload))
    short_alone.run()
    return _report(mixed, short_alone), mixed


def _report(mixed: Experiment, short_alone: Experiment) -> Report:
    results = list(mixed.results.values())
    refused = [r.outcome.reason.value for r in results if r.is_refused]
    failed = [
        r.outcome.reason.value
        for r in results
        if r.outcome is not None
        and r.outcome.tag == "failed"
        and not r.is_instance_lost
    ]
    admitted = [r for r in results if not r.is_refused and not r.is_instance_lost]
    done = sum(r.is_done for r in admitted)
    settings = mixed.settings
    return Report(
        scenario=settings.scenario,
        policy=settings.policy,
        objective=settings.objective,
        seed=settings.seed,
        load=settings.load,
        requests=len(results),
        ttft_s=ttft_by_class(mixed.results),
        short_slowdown_p95=slowdown_p95(mixed.results, short_alone.results),
        missed=sum(r.is_overdue for r in results),
        failed=_count_by_name(failed),
        refused=_count_by_name(refused),
        refused_within_share=_refused_within_share(mixed),
        answered_part=round(done / max(1, len(admitted)), 5),
        goodput_ratio=round(mixed.goodput(), 4),
        leaked_tokens=mixed.count_leaked_tokens(),
        crossed=sum(r.has_wrong_text for r in results),
    )

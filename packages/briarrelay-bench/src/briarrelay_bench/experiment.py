"""Policy experiments: the daemon's core before fake engines, in virtual time."""

from attrs import define, evolve, field

from briarrelay_bench.baselines import BaselineInstance
from briarrelay_bench.engine_model import EngineModel, EngineSpec
from briarrelay_bench.measures import Fate, Report, slowdown_p95, ttft_by_class
from briarrelay_bench.virtual import EngineHost, InstanceHost, World
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
"""Virtual Unix seconds at which the world begins."""

SETTLE_S = 5.0
"""Seconds before the first request, for reports and configuration."""

LIST_LAG_S = 3.0
"""Seconds by which the instance list is late."""

SWEEP_S = 15.0
"""Seconds after the last deadline and grace at which memory must be free."""


@define(slots=True, frozen=True)
class Settings:
    """One run.

    :param duration: seconds for which requests arrive.
    :param prefix_share: part of the prompts that begin like an earlier one.
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
    """A world, its load and the fates of the requests."""

    settings: Settings
    workload: Workload
    world: World = field(init=False)
    fates: dict[str, Fate] = field(factory=dict)
    useful: dict[str, int] = field(factory=dict)
    _owners: dict[str, str] = field(factory=dict)

    def __attrs_post_init__(self):
        self.world = World(
            now=START_S, on_text=self._on_text, on_finish=self._on_finish
        )
        self._add_engines()
        self._add_instances()
        self.world.listed = self._listed()

    @property
    def _zero(self) -> float:
        return START_S + SETTLE_S

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
            place = self._data_centre(index, self.settings.engines)
            self.world.engines[model.name] = EngineHost(model, place)

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
        self.world.log.append(CONFIG_STREAM, [change.to_json()])
        for index in range(count):
            identity = Identity(f"i{index}", 1, self._data_centre(index, count))
            core = self._make_core(identity)
            host = InstanceHost(core, identity.data_centre)
            self.world.instances[identity.name] = host

    def _make_core(self, identity: Identity):
        if self.settings.policy == "briarrelay":
            return EntryInstance(identity)
        near = {
            name: host.model.spec.memory
            for name, host in self.world.engines.items()
            if host.data_centre == identity.data_centre
        }
        by_connections = self.settings.policy == "least-connections"
        return BaselineInstance(identity, near, by_connections)

    def _listed(self) -> tuple[ListedInstance, ...]:
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
            for host in self.world.instances.values()
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
            for name, host in self.world.engines.items()
        ]
        return tuple(entries + engines)

    def run(self) -> None:
        """Run the load, its faults and the time after it."""
        for host in list(self.world.instances.values()):
            self.world.start(host)
        for arrival in self.workload.arrivals:
            self.fates[arrival.id] = Fate(arrival)
            due = self._zero + arrival.at
            self.world.at(due, lambda a=arrival: self._arrive(a))
        self._plan_faults()
        end = self._zero + self.workload.duration
        self.world.run_until(end)
        self._note_work()
        last = max((a.deadline for a in self.workload.arrivals), default=0.0)
        self.world.run_until(self._zero + last + 2 * ORPHAN_GRACE_S + SWEEP_S)

    def _arrive(self, arrival) -> None:
        alive = [h for h in self.world.instances.values() if h.alive]
        host = alive[int(unit_hash("balancer", arrival.id) * len(alive))]
        request = ChatRequest(
            request_id=arrival.id,
            key=f"key-{arrival.workspace}",
            model="base",
            prompt_tokens=arrival.tokens,
            output_tokens=arrival.output_tokens,
            deadline=self._zero + arrival.deadline,
            blocks=arrival.blocks,
        )
        self._owners[arrival.id] = host.name
        self.world.tell(host, request)

    def _on_text(self, request_id: str, text: str, now: float) -> None:
        fate = self.fates[request_id]
        if fate.first_at is None:
            fate.first_at = now - self._zero
        fate.text.append(text)

    def _on_finish(self, finish: SendOutcome, now: float) -> None:
        fate = self.fates[finish.request_id]
        fate.ended_at = now - self._zero
        fate.outcome = finish.outcome

    def _note_work(self) -> None:
        for host in self.world.engines.values():
            for name, tokens in host.model.processed.items():
                self.useful[name] = self.useful.get(name, 0) + tokens

    def _plan_faults(self) -> None:
        at = lambda part: self._zero + part * self.workload.duration
        if self.settings.scenario == "engine-loss":
            self.world.at(at(0.33), lambda: self._kill_engine("e0"))
            self.world.at(at(0.50), lambda: self._set_silent("e1", True))
            self.world.at(at(0.90), lambda: self._set_silent("e1", False))
        elif self.settings.scenario == "instance-loss":
            self.world.at(at(0.5), lambda: self._kill_instance("i1"))
        elif self.settings.scenario == "cut":
            self.world.at(at(0.33), lambda: self._set_cut(True))
            self.world.at(at(0.66), lambda: self._set_cut(False))

    def _kill_engine(self, name: str) -> None:
        host = self.world.engines[name]
        host.alive = False
        for resident in host.model.residents():
            owner = self.world.instances[resident.owner]
            lost = EngineLost(name, resident.request_id, resident.attempt)
            self.world.tell_later(owner, lost, 0.001)
        self._unlist(name)

    def _unlist(self, name: str) -> None:
        def change() -> None:
            self.world.list_version += 1
            self.world.listed = tuple(
                entry for entry in self.world.listed if entry.name != name
            )

        self.world.at(self.world.now + LIST_LAG_S, change)

    def _set_silent(self, name: str, silent: bool) -> None:
        self.world.engines[name].silent = silent

    def _kill_instance(self, name: str) -> None:
        host = self.world.instances[name]
        host.alive = False
        self._unlist(name)
        for request_id, owner in self._owners.items():
            fate = self.fates[request_id]
            if owner == name and fate.ended_at is None:
                fate.lost = True
                fate.ended_at = self.world.now - self._zero
                fate.outcome = Failed(FailureReason.PEER_LOST, "instance died")

    def _set_cut(self, cut: bool) -> None:
        if cut:
            self.world.is_cut = lambda a, b: "dc2" in (a, b) and a != b
        else:
            self.world.is_cut = lambda a, b: False

    def leaked(self) -> int:
        """Return tokens that requests hold in engines that are alive."""
        return sum(
            host.model.held for host in self.world.engines.values() if host.alive
        )

    def capacity(self) -> float:
        """Return the fleet's tokens over the time in which requests arrive."""
        rate = self.settings.spec.rate * self.settings.engines
        return rate * self.workload.duration

    def goodput(self) -> float:
        """Return work done for answers in their time, over what was possible."""
        useful = sum(
            min(self.useful.get(name, 0), fate.arrival.work)
            for name, fate in self.fates.items()
            if fate.is_done
        )
        return useful / min(self.capacity(), self.workload.offered)


def _only_short(workload: Workload) -> Workload:
    short = tuple(
        a for a in workload.arrivals if length_class_of(a.tokens) is LengthClass.SHORT
    )
    return evolve(workload, arrivals=short)


def _tally(names: list[str]) -> dict[str, int]:
    return {name: names.count(name) for name in sorted(set(names))}


def _within_share(experiment: Experiment) -> int:
    """Return refusals, for load, of workspaces that asked for less than their share."""
    asked: dict[str, int] = {}
    for fate in experiment.fates.values():
        name = fate.arrival.workspace
        asked[name] = asked.get(name, 0) + fate.arrival.work
    share = experiment.capacity() / max(1, len(asked))
    return sum(
        fate.is_refused and asked[fate.arrival.workspace] <= share
        for fate in experiment.fates.values()
    )


def run_experiment(settings: Settings) -> tuple[Report, Experiment]:
    """Run an experiment, and the short requests alone beside it."""
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
    alone = Experiment(evolve(settings, scenario="mixed"), _only_short(workload))
    alone.run()
    return _report(mixed, alone), mixed


def _report(mixed: Experiment, alone: Experiment) -> Report:
    fates = list(mixed.fates.values())
    refused = [f.outcome.reason.value for f in fates if f.is_refused]
    failed = [
        f.outcome.reason.value
        for f in fates
        if f.outcome is not None and f.outcome.tag == "failed" and not f.lost
    ]
    admitted = [f for f in fates if not f.is_refused and not f.lost]
    done = sum(f.is_done for f in admitted)
    settings = mixed.settings
    return Report(
        scenario=settings.scenario,
        policy=settings.policy,
        objective=settings.objective,
        seed=settings.seed,
        load=settings.load,
        requests=len(fates),
        ttft_s=ttft_by_class(mixed.fates),
        short_slowdown_p95=slowdown_p95(mixed.fates, alone.fates),
        missed=sum(f.is_missed for f in fates),
        failed=_tally(failed),
        refused=_tally(refused),
        refused_within_share=_within_share(mixed),
        answered_part=round(done / max(1, len(admitted)), 5),
        goodput_ratio=round(mixed.goodput(), 4),
        leaked_tokens=mixed.leaked(),
        crossed=sum(f.is_crossed for f in fates),
    )

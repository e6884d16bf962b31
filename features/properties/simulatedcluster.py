"""Clusters of a few entry instances in simulated time, for property tests."""

from attrs import define, field

from briarrelay_bench.engine_model import EngineModel, EngineSpec
from briarrelay_bench.virtual import EngineHost, InstanceHost, VirtualCluster
from briarrelay_bench.workload import make_configuration
from briarrelay_core.agreement.changes import CONFIG_STREAM, ChangeKind, ChangeRecord
from briarrelay_core.entry import EntryInstance
from briarrelay_core.identity import Identity
from briarrelay_core.ports.platform import InstanceKind, LifecycleState, ListedInstance

START_TIME_S = 1_000_000.0
"""Unix time at which a simulation starts."""


def make_change(change_id: str, base: int, now: float, **fields) -> ChangeRecord:
    """Return a record of the configuration stream.

    :param change_id: id of the change, also used as its author.
    :param base: revision that the change was made for.
    :param now: time of the change in Unix seconds.
    :param fields: further fields; the change is a preset change if ``preset`` is
        among them, otherwise a patch.
    """
    kind = ChangeKind.PRESET if "preset" in fields else ChangeKind.PATCH
    return ChangeRecord(
        id=change_id, kind=kind, author=change_id, base=base, at=now, **fields
    )


def make_listed_instance(name: str, kind: InstanceKind, incarnation: int = 1, **fields):
    """Return an entry of the instance list for a live instance."""
    return ListedInstance(
        name, incarnation, kind, "dc1", "", 0, LifecycleState.LIVE, **fields
    )


@define
class SimulatedCluster:
    """Entry instances, engines and one plain service in one simulated data centre.

    :param instances: number of entry instances, named ``i0``, ``i1`` and so on.
    :param engines: number of engines, named ``e0``, ``e1`` and so on.
    :param publish_configuration: whether the log holds a configuration at the start.
    :ivar outcomes: outcomes by request id, each with the time at which it was sent.
    :ivar response_texts: pieces of the response by request id, in the order sent.
    """

    instances: int = 2
    engines: int = 2
    publish_configuration: bool = True
    simulation: VirtualCluster = field(init=False)
    outcomes: dict = field(factory=dict)
    response_texts: dict = field(factory=dict)

    def __attrs_post_init__(self):
        self.simulation = VirtualCluster(
            now=START_TIME_S, on_finish=self._on_finish, on_text=self._on_text
        )
        for index in range(self.engines):
            model = EngineModel(f"e{index}", EngineSpec(), models=("base@1",))
            self.simulation.engines[model.name] = EngineHost(model)
        if self.publish_configuration:
            change = make_change(
                "first", 0, START_TIME_S, patch=make_configuration("short")
            )
            self.simulation.log.append(CONFIG_STREAM, [change.to_json()])
        for index in range(self.instances):
            identity = Identity(f"i{index}", 1, "dc1")
            host = InstanceHost(EntryInstance(identity))
            self.simulation.instances[identity.name] = host
        self.publish_instance_list()
        for host in self.hosts:
            self.simulation.start(host)
        self.advance(3.0)

    @property
    def hosts(self) -> list[InstanceHost]:
        """Entry instances, sorted by name."""
        return [
            self.simulation.instances[name]
            for name in sorted(self.simulation.instances)
        ]

    def publish_instance_list(self) -> None:
        """Publish a new version of the instance list with what is alive now."""
        entries = [
            make_listed_instance(
                h.name, InstanceKind.ENTRY, h.core.identity.incarnation
            )
            for h in self.hosts
            if h.alive
        ]
        entries += [
            make_listed_instance(name, InstanceKind.ENGINE, checks_fencing=True)
            for name, engine in self.simulation.engines.items()
            if engine.alive
        ]
        entries.append(
            make_listed_instance("s0", InstanceKind.SERVICE, service="booking")
        )
        self.simulation.list_version += 1
        self.simulation.instance_list = tuple(entries)

    def advance(self, seconds: float) -> None:
        """Run the simulation for a number of simulated seconds."""
        self.simulation.run_until(self.simulation.now + seconds)

    def restart(self, index: int) -> None:
        """Kill an instance and start its next incarnation at once."""
        killed = self.hosts[index]
        killed.alive = False
        identity = killed.core.identity
        successor = Identity(identity.name, identity.incarnation + 1, "dc1")
        host = InstanceHost(EntryInstance(successor))
        self.simulation.instances[successor.name] = host
        self.publish_instance_list()
        self.simulation.start(host)

    def _on_finish(self, sent_outcome, now: float) -> None:
        self.outcomes.setdefault(sent_outcome.request_id, []).append(
            (sent_outcome, now)
        )

    def _on_text(self, request_id: str, text: str, now: float) -> None:
        self.response_texts.setdefault(request_id, []).append(text)

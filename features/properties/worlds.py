"""Worlds of a few entry instances before small fakes, for property tests."""

from attrs import define, field

from briarrelay_bench.engine_model import EngineModel, EngineSpec
from briarrelay_bench.virtual import EngineHost, InstanceHost, World
from briarrelay_bench.workload import make_configuration
from briarrelay_core.agreement.changes import CONFIG_STREAM, ChangeKind, ChangeRecord
from briarrelay_core.entry import EntryInstance
from briarrelay_core.identity import Identity
from briarrelay_core.ports.platform import InstanceKind, LifecycleState, ListedInstance

START_S = 1_000_000.0


def change(id: str, base: int, now: float, **fields) -> ChangeRecord:
    """Return a record of the configuration stream."""
    kind = ChangeKind.PRESET if "preset" in fields else ChangeKind.PATCH
    return ChangeRecord(id=id, kind=kind, author=id, base=base, at=now, **fields)


def listed(name: str, kind: InstanceKind, incarnation: int = 1, **fields):
    """Return a live entry of the instance list."""
    return ListedInstance(
        name, incarnation, kind, "dc1", "", 0, LifecycleState.LIVE, **fields
    )


@define
class SmallWorld:
    """Entry instances, engines and one plain service in one data centre."""

    instances: int = 2
    engines: int = 2
    publish: bool = True
    world: World = field(init=False)
    answers: dict = field(factory=dict)
    texts: dict = field(factory=dict)

    def __attrs_post_init__(self):
        self.world = World(
            now=START_S, on_finish=self._on_finish, on_text=self._on_text
        )
        for index in range(self.engines):
            model = EngineModel(f"e{index}", EngineSpec(), models=("base@1",))
            self.world.engines[model.name] = EngineHost(model)
        if self.publish:
            first = change("first", 0, START_S, patch=make_configuration("short"))
            self.world.log.append(CONFIG_STREAM, [first.to_json()])
        for index in range(self.instances):
            identity = Identity(f"i{index}", 1, "dc1")
            host = InstanceHost(EntryInstance(identity))
            self.world.instances[identity.name] = host
        self.relist()
        for host in self.hosts:
            self.world.start(host)
        self.run(3.0)

    @property
    def hosts(self) -> list[InstanceHost]:
        """The entry instances, in the order of their names."""
        return [self.world.instances[name] for name in sorted(self.world.instances)]

    def relist(self) -> None:
        """Let the list show what is alive."""
        entries = [
            listed(h.name, InstanceKind.ENTRY, h.core.identity.incarnation)
            for h in self.hosts
            if h.alive
        ]
        entries += [
            listed(name, InstanceKind.ENGINE, checks_fencing=True)
            for name, engine in self.world.engines.items()
            if engine.alive
        ]
        entries.append(listed("s0", InstanceKind.SERVICE, service="booking"))
        self.world.list_version += 1
        self.world.listed = tuple(entries)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.world.run_until(self.world.now + seconds)

    def restart(self, index: int) -> None:
        """End an instance at once and start it again."""
        old = self.hosts[index]
        old.alive = False
        identity = old.core.identity
        again = Identity(identity.name, identity.incarnation + 1, "dc1")
        host = InstanceHost(EntryInstance(again))
        self.world.instances[again.name] = host
        self.relist()
        self.world.start(host)

    def _on_finish(self, finish, now: float) -> None:
        self.answers.setdefault(finish.request_id, []).append((finish, now))

    def _on_text(self, request_id: str, text: str, now: float) -> None:
        self.texts.setdefault(request_id, []).append(text)

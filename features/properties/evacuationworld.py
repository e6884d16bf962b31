"""Simulation of route instances with evacuations and cold servers."""

from functools import partial

from attrs import evolve

from briarrelay_core.ports.directory import (
    ReadTopic,
    Topic,
    TopicChange,
    TopicFailed,
    TopicRead,
)
from briarrelay_core.ports.evacuation import Evacuation
from briarrelay_core.ports.route import ForwardRequest
from briarrelay_core.routes.model import Service
from properties.crashworld import CrashWorld
from properties.routeworld import PROFILE, make_configuration

COLD_PER_S = 10.0
"""Requests per second that a cold engine takes."""


class EvacuationWorld(CrashWorld):
    """Drives instances whose operators' topic also holds evacuations.

    :ivar sends: time, instance and engine of each request, and of each help with one.
    """

    def __init__(self, instance_count: int, server_count: int, **options):
        service = Service(
            name="llm", profile=PROFILE, cold_start_s=3.0, cold_per_s=COLD_PER_S
        )
        base = make_configuration()
        services = {**base.services, "llm": service}
        self.operator_log = [TopicChange("config", evolve(base, services=services))]
        self.sends: list[tuple[float, int, str]] = []
        super().__init__(instance_count, server_count, **options)

    def _configurations(self, start: int) -> tuple[TopicChange, ...]:
        return tuple(
            evolve(change, position=start + i + 1)
            for i, change in enumerate(self.operator_log[start:])
        )

    def evacuate(self, data_centre: str, is_asked: bool = True) -> None:
        """Write or delete the evacuation of a data centre."""
        evacuation = Evacuation(data_centre, is_asked)
        self.operator_log.append(TopicChange(f"evacuate/{data_centre}", evacuation))
        self.answer_reads()

    def answer_reads(self) -> None:
        """Answer the reads that wait, but those of instances that are refused."""
        waiting, self.pending_reads = self.pending_reads, []
        for n, effect in waiting:
            changes = self._configurations(effect.start)
            if n in self.refused_by_store:
                self.pending_reads.append((n, effect))
            elif effect.topic is Topic.CONFIGURATION and changes:
                end = effect.start + len(changes)
                read = TopicRead(effect.topic, changes, end, effect.generation)
                self.schedule(self.store_latency_s, partial(self.deliver, n, read))
            else:
                self.pending_reads.append((n, effect))

    def refuse(self, *instances: int) -> None:
        """Let the store turn instances away."""
        self.refused_by_store.update(instances)
        for n, effect in self.pending_reads:
            if n in instances:
                failed = TopicFailed(effect.topic, "refused", effect.generation)
                self.schedule(0.01, partial(self.deliver, n, failed))
        self.pending_reads = [p for p in self.pending_reads if p[0] not in instances]

    def restart(self, n: int) -> None:
        """Replace an instance by a new process, which lists all topics."""
        self.pending_reads = [p for p in self.pending_reads if p[0] != n]
        super().restart(n)

    def run_effects(self, n: int, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, ForwardRequest):
                self.sends.append((self.now, n, effect.server))
                helpers = {helper.address for helper in effect.helpers}
                self.sends += [
                    (self.now, n, name)
                    for name, (_, entry) in self.current_entries.items()
                    if entry.address in helpers
                ]
        super().run_effects(n, effects)
        if any(isinstance(effect, ReadTopic) for effect in effects):
            self.answer_reads()

    def load(self, per_s: float, seconds: float, tokens: int = 5_000) -> list:
        """Let each instance get requests at random times; return their views, later."""
        views: list = []

        def arrive(n: int) -> None:
            views.append(self.send(n, (), prompt_tokens=tokens))

        for n in range(len(self.instances)):
            at = self.random.expovariate(per_s)
            while at < seconds:
                self.schedule(at, partial(arrive, n))
                at += self.random.expovariate(per_s)
        return views

    def sends_to(self, data_centre: str, since: float) -> list[tuple[float, int, str]]:
        """Return the requests to the engines of a data centre from a time on."""
        names = {
            name
            for name, (_, entry) in self.current_entries.items()
            if entry.data_centre == data_centre
        }
        return [s for s in self.sends if s[0] >= since and s[2] in names]

    def most_in_a_second(self, server: str) -> int:
        """Return the largest number of requests that a server got in any second."""
        times = sorted(at for at, _, name in self.sends if name == server)
        return max(
            (sum(at <= t < at + 1.0 for t in times[i:]) for i, at in enumerate(times)),
            default=0,
        )

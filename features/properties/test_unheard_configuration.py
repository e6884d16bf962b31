"""A version is in force in time though the store's responses to long polls are lost."""

import time
import unittest
from functools import partial

from standins.fleet import Fleet, configuration
from standins.proxy import Proxy

from briarrelay_core.agreement.configuration import Preset
from briarrelay_core.ports.directory import (
    ListTopic,
    PollTopic,
    ReadTopic,
    TopicFailed,
)
from briarrelay_core.routes.presets import PresetCollection
from briarrelay_platform.store import RESPONSE_TIMEOUT_S
from properties.directoryworld import DirectoryWorld

APPLY_S = 2.0
"""Seconds within which an accepted configuration must be in force on all instances."""

PRESETS_S = 6.0
"""Seconds within which new presets must be in force on all instances."""

PHASES = 12
"""Moments of publication that are tried within MOMENTS_S."""

MOMENTS_S = 3.0
"""Seconds over which they are spread, some intervals of the store's reads."""


class LostLongPollTest(unittest.TestCase):
    """All instances in virtual time; the responses to all long polls are lost."""

    def is_in_force(self, world: DirectoryWorld, version: int) -> bool:
        """Publish a version; return whether all instances use it in time."""
        world.configure(version, is_lost=True)
        world.advance(APPLY_S)
        return set(world.active_versions()) == {version}

    def test_version_is_in_force_in_time_at_any_moment(self):
        late = []
        for phase in range(PHASES):
            world = DirectoryWorld(5, 6, seed=phase)
            world.advance(5.0 + MOMENTS_S * phase / PHASES)
            if not self.is_in_force(world, 60):
                late.append(phase)
        self.assertEqual([], late)

    def test_each_version_of_a_series_is_in_force_in_time(self):
        world = DirectoryWorld(5, 6)
        world.advance(5.0)
        late = []
        for version in range(60, 66):
            if not self.is_in_force(world, version):
                late.append(version)
            world.advance(0.37)
        self.assertEqual([], late)

    def test_version_is_in_force_in_time_while_servers_change(self):
        """All instances read the servers after a change, not only the one in turn."""
        late = []
        for seed in range(PHASES):
            world = DirectoryWorld(5, 6, seed=seed)
            for number in range(60):
                slots = 2 + number % 2
                world.schedule(
                    4.0 + number * (0.15 + 0.07 * seed),
                    partial(world.update, "engine-1", slots=slots),
                )
            world.advance(5.0 + MOMENTS_S * seed / PHASES)
            for version in (60, 61, 62):
                if not self.is_in_force(world, version):
                    late.append((seed, version))
        self.assertEqual([], late)

    def test_version_is_in_force_in_time_on_many_instances(self):
        late = []
        for phase in range(4):
            world = DirectoryWorld(60, 12, seed=phase)
            world.advance(6.0 + MOMENTS_S * phase / 4)
            if not self.is_in_force(world, 60):
                late.append(phase)
        self.assertEqual([], late)


class DarkenedWorld(DirectoryWorld):
    """A store that falls silent: what is asked meanwhile has no answer, also later."""

    is_silent = False

    def fall_silent(self) -> None:
        """Lose all pending reads, and what is asked from now on."""
        self.is_silent = True
        lost, self.pending_reads = self.pending_reads, []
        for n, effect in lost:
            self._lose(n, effect)

    def _lose(self, n: int, effect: ListTopic | ReadTopic) -> None:
        wait_s = effect.wait_s if isinstance(effect, ReadTopic) else 0.0
        failed = TopicFailed(effect.topic, "timed out", effect.generation)
        self.schedule(wait_s + RESPONSE_TIMEOUT_S, partial(self.deliver, n, failed))

    def run_effects(self, n: int, effects: list) -> None:
        if not self.is_silent:
            super().run_effects(n, effects)
            return
        answered = []
        for effect in effects:
            if isinstance(effect, (ListTopic, ReadTopic)):
                self._lose(n, effect)
            elif not isinstance(effect, PollTopic):
                answered.append(effect)
        super().run_effects(n, answered)


class DarkenedStoreTest(unittest.TestCase):
    """A store that is silent for some seconds, and then answers again."""

    def test_versions_after_a_silent_outage_are_in_force_in_time(self):
        """Long polls sent in its last moments stay without an answer for 9 s."""
        late = []
        for phase in range(PHASES):
            world = DarkenedWorld(5, 6, seed=phase)
            world.advance(6.0)
            world.fall_silent()
            world.advance(3.0 + 1.2 * phase / PHASES)
            world.is_silent = False
            world.advance(3.0 + 0.1 * phase)
            for version, pause_s in ((60, 2.0), (61, 0.0)):
                world.configure(version, is_lost=False)
                world.advance(APPLY_S)
                if set(world.active_versions()) != {version}:
                    late.append((phase, version))
                world.advance(pause_s)
        self.assertEqual([], late)


class SilentConnectionTest(unittest.TestCase):
    """Real instances whose open connections to the store fall silent."""

    def start(self, subnet: str) -> tuple[Fleet, list[Proxy]]:
        """Start a fleet whose instances reach the store through a proxy."""
        proxies: list[Proxy] = []

        def map_address(host: str, port: int) -> tuple[str, int]:
            if (host, port) != fleet.store_address:
                return host, port
            if not proxies:
                proxies.append(Proxy((host, port), 1))
            return proxies[0].address

        fleet = Fleet(engines=2, entries=4, subnet=subnet, map_address=map_address)
        self.addCleanup(lambda: [proxy.close() for proxy in proxies])
        fleet.__enter__()
        self.addCleanup(fleet.__exit__)
        return fleet, proxies

    def test_version_is_in_force_in_time_on_each_instance(self):
        fleet, (proxy,) = self.start("1.45")
        seen = []
        for version in (2, 4, 6):
            fleet.put("keyed.op", "config", configuration(version))
            fleet.wait(lambda v=version: _versions(fleet) == {v})
            proxy.stall(1.0, ("down",))
            fleet.put("keyed.op", "config", configuration(version + 1))
            time.sleep(APPLY_S)
            seen.append((version + 1, _versions(fleet)))
        self.assertEqual([(v, {v}) for v in (3, 5, 7)], seen)

    def test_presets_are_in_force_on_each_instance_in_seconds(self):
        fleet, (proxy,) = self.start("1.49")
        time.sleep(0.5)
        proxy.stall(1.0, ("down",))
        presets = PresetCollection(revision=1, presets={"day": Preset()}, active="day")
        fleet.put("keyed.presets", "presets", presets.to_mapping())
        time.sleep(PRESETS_S)
        self.assertEqual([["day"]] * 4, list(map(_presets, fleet.instances)))


def _presets(entry) -> list[str]:
    """Return the presets that were in force on an instance, in order."""
    lines = entry.log_entries()
    return [line["preset"] for line in lines if line["event"] == "preset_in_force"]


def _versions(fleet: Fleet) -> set[int]:
    return set(map(_version, fleet.instances))


def _version(entry) -> int:
    """Return the version that an instance logged last."""
    return max(
        int(line["version"])
        for line in entry.log_entries()
        if line["event"] == "configuration_in_force"
    )


if __name__ == "__main__":
    unittest.main()

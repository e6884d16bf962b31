"""Runs the fault soak.

Usage:
  run.py [--seeds=LIST] [--seconds=S] [--entries=N] [--report=FILE] [--plots=FOLDER]

Options:
  --seeds=LIST    seeds by commas, or FIRST-LAST [default: 1]
  --seconds=S     seconds of faults for each seed [default: 15]
  --entries=N     entry instances [default: 3]
  --report=FILE   append one line of JSON for each seed
  --plots=FOLDER  draw what callers got beside the faults, one SVG for each seed
"""

import json
import random
import signal
import sys
import time
from pathlib import Path
from tempfile import mkdtemp

from attrs import define, field
from docopt import docopt

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.fleet import Entry, Fleet, configuration, post  # noqa: E402

from soak.callers import Callers, Pause, find_broken  # noqa: E402
from soak.plots import draw_seed  # noqa: E402
from soak.proxy import Proxy  # noqa: E402

CALM_S = 3.0
"""Seconds without faults after which requests must be served again."""

STOP_S = 12.0
"""Seconds for a planned stop, whose grace is 8, once nothing holds it up."""

CLOCK = Path(__file__).resolve().parent / "clock"
"""Folder on the path of the instances that shifts their time of day."""

IN_FORCE = {"configuration_in_force": "version", "preset_in_force": "revision"}
"""Log lines that tell what is in force, and their field that may only rise."""

RECOVERED = 0.7
"""Part of the requests sent in calm that must succeed; error rates are zero then."""


@define(slots=True, eq=False)
class Soak:
    """One seed: a fleet behind proxies, callers, and faults in series and at once."""

    seed: int
    seconds: float
    entries: int
    fleet: Fleet | None = None
    proxies: list[Proxy] = field(factory=list)
    faults: list[str] = field(factory=list)
    happened: list[tuple[float, str]] = field(factory=list)
    sent: list[tuple[float, int]] = field(factory=list)
    clock: Path = field(factory=lambda: Path(mkdtemp(prefix="soak-clock-")) / "shift")
    paused: list[Entry] = field(factory=list)
    pauses: list[Pause] = field(factory=list)
    stopping: set[str] = field(factory=set)
    version: int = 1
    presets: int = 0
    calm_from: float = 0.0
    asked: int = 0
    served: int = 0

    def run(self) -> list[str]:
        """Play the seed; return what was broken."""
        chance = random.Random(self.seed)
        self.fleet = Fleet(
            engines=4,
            desks=2,
            entries=self.entries,
            base=f"{2 + self.seed // 250}.{self.seed % 250}",
            seed=self.seed,
            environment={"PYTHONPATH": str(CLOCK), "SOAK_CLOCK": str(self.clock)},
            through=self._through,
        )
        try:
            with self.fleet:
                return self._play(chance)
        finally:
            for proxy in self.proxies:
                proxy.close()

    def _through(self, host: str, port: int) -> tuple[str, int]:
        proxy = Proxy((host, port), self.seed)
        self.proxies.append(proxy)
        return proxy.address

    def _play(self, chance: random.Random) -> list[str]:
        callers = Callers(self.fleet, self.seed)
        callers.start()
        begin = time.monotonic()
        end = begin + self.seconds
        while time.monotonic() < end:
            fault = chance.choice(FAULTS)
            self.faults.append(fault.__name__)
            self.happened.append((time.monotonic() - begin, fault.__name__))
            fault(self, chance)
            time.sleep(chance.uniform(0.2, 1.5))
        self._calm()
        time.sleep(CALM_S)
        self.calm_from = time.monotonic()
        self.happened.append((self.calm_from - begin, "calm"))
        time.sleep(CALM_S)
        callers.stop()
        broken = find_broken(callers.sent, self.fleet.runs(), self.pauses)
        self.served = sum(s.answer.status == 200 for s in callers.sent)
        self.asked = len(callers.sent)
        self.sent = [(s.begun_at - begin, s.answer.status) for s in callers.sent]
        return broken + self._check_recovery(callers) + self._check_versions()

    def _calm(self) -> None:
        """End every fault."""
        for entry in self.paused:
            entry.process.send_signal(signal.SIGCONT)
        for one in self.pauses:
            one.ended_at = min(one.ended_at, time.monotonic())
        for proxy in self.proxies:
            proxy.delay_s = 0.0
            proxy.refuses = False
        post(
            *self.fleet.store,
            "/standin/trouble",
            {"busy": 0.0, "lost": 0.0, "late": 0.0, "slow_s": 0.0},
        )
        for name in self.fleet.names:
            self.fleet.order("trouble", name, trouble={})
            self.fleet.order("silent", name, is_silent=False)
        for entry in self.fleet.instances:
            if entry.name in self.stopping:
                entry.process.wait(STOP_S)
            if entry.process.poll() is not None:
                self.fleet.start(entry)
        self.fleet.wait(lambda: all(e.is_ready() for e in self.fleet.instances))

    def _check_recovery(self, callers: Callers) -> list[str]:
        late = [s for s in callers.sent if s.begun_at > self.calm_from]
        good = sum(s.answer.status == 200 for s in late)
        if late and good < RECOVERED * len(late):
            return [f"only {good} of {len(late)} served once calm"]
        return []

    def _check_versions(self) -> list[str]:
        """No process may go back to an older configuration or older presets."""
        broken = []
        for entry in self.fleet.instances:
            newest = {}
            for line in entry.lines():
                event = line["event"]
                if event == "started":
                    newest = {}
                elif event in IN_FORCE:
                    number = int(line[IN_FORCE[event]])
                    if number <= newest.get(event, 0):
                        broken.append(f"{entry.name} went back: {event} {number}")
                    newest[event] = number
        return broken


def kill(soak: Soak, chance: random.Random) -> None:
    """Kill an instance and start it again."""
    entry = chance.choice(soak.fleet.instances)
    entry.process.kill()
    entry.process.wait()
    soak.fleet.start(entry)
    soak.stopping.discard(entry.name)


def stop(soak: Soak, chance: random.Random) -> None:
    """Ask an instance to end; it is started again when it has."""
    entry = chance.choice(soak.fleet.instances)
    if entry.process.poll() is None:
        entry.process.send_signal(signal.SIGTERM)
        soak.stopping.add(entry.name)
    else:
        soak.fleet.start(entry)
        soak.stopping.discard(entry.name)


def reload(soak: Soak, chance: random.Random) -> None:
    """Send the signal for changed settings."""
    entry = chance.choice(soak.fleet.instances)
    if entry.process.poll() is None:
        entry.process.send_signal(signal.SIGHUP)


def pause(soak: Soak, chance: random.Random) -> None:
    """Pause an instance, or let a paused one go on."""
    if soak.paused:
        soak.paused.pop().process.send_signal(signal.SIGCONT)
        soak.pauses[-1].ended_at = time.monotonic()
        return
    entry = chance.choice(soak.fleet.instances)
    if entry.process.poll() is None:
        entry.process.send_signal(signal.SIGSTOP)
        soak.paused.append(entry)
        soak.pauses.append(Pause(entry.name, time.monotonic()))


def reset(soak: Soak, chance: random.Random) -> None:
    """Reset a part of the connections of one target."""
    chance.choice(soak.proxies).reset(chance.random())


def silence(soak: Soak, chance: random.Random) -> None:
    """Silence a part of the connections, both ways or one."""
    ways = chance.choice((("up", "down"), ("up",), ("down",)))
    chance.choice(soak.proxies).silence(chance.random(), ways)


def delay(soak: Soak, chance: random.Random) -> None:
    """Hold back what passes to one target."""
    chance.choice(soak.proxies).delay_s = chance.choice((0.0, 0.05, 0.3))


def refuse(soak: Soak, chance: random.Random) -> None:
    """Reset new connections to one target, or let them through again."""
    proxy = chance.choice(soak.proxies)
    proxy.refuses = not proxy.refuses


def trouble_store(soak: Soak, chance: random.Random) -> None:
    """Let the store turn calls away, lose answers, or be slow."""
    parts = {name: chance.choice((0.0, 0.0, 0.4)) for name in ("busy", "lost", "late")}
    parts["slow_s"] = chance.choice((0.0, 0.0, 0.2))
    post(*soak.fleet.store, "/standin/trouble", parts)


def forget(soak: Soak, chance: random.Random) -> None:
    """Let the store drop its history."""
    post(*soak.fleet.store, "/standin/forget")


def trouble_server(soak: Soak, chance: random.Random) -> None:
    """Let a server cut, break, shed or fail a part of its answers."""
    kinds = ("cut", "break", "shed", "mute", "error")
    parts = {chance.choice(kinds): chance.choice((0.05, 0.3))}
    soak.fleet.order("trouble", chance.choice(soak.fleet.names), trouble=parts)


def mute_server(soak: Soak, chance: random.Random) -> None:
    """Let a server fall silent, or speak again."""
    name = chance.choice(soak.fleet.names)
    soak.fleet.order("silent", name, is_silent=chance.random() < 0.5)


def configure(soak: Soak, chance: random.Random) -> None:
    """Publish a configuration, at times an old or a broken one."""
    soak.version += chance.randint(1, 3)
    version = soak.version if chance.random() < 0.8 else 1
    value = configuration(version) if chance.random() < 0.9 else {"version": version}
    soak.fleet.put("keyed.op", "config", value)
    soak.fleet.put("keyed.op", "config", configuration(soak.version))


def choose_preset(soak: Soak, chance: random.Random) -> None:
    """Put another preset in force, at times write an old one after it."""
    soak.presets += 1
    for revision in (soak.presets, chance.randint(1, soak.presets)):
        book = {
            "revision": revision,
            "author": "soak",
            "presets": {"day": {}, "peak": {"objective": "ttft"}},
            "active": chance.choice(("day", "peak")),
        }
        soak.fleet.put("keyed.presets", "presets", book)


def step_clock(soak: Soak, chance: random.Random) -> None:
    """Shift the time of day of all instances."""
    soak.clock.write_text(str(chance.choice((-3_600.0, -5.0, 0.0, 5.0, 86_400.0))))


FAULTS = (
    kill,
    stop,
    reload,
    pause,
    pause,
    reset,
    reset,
    silence,
    silence,
    delay,
    refuse,
    trouble_store,
    forget,
    trouble_server,
    trouble_server,
    mute_server,
    configure,
    choose_preset,
    step_clock,
)


def read_seeds(text: str) -> list[int]:
    """Return the seeds of a list such as ``3,7`` or ``1-50``."""
    if "-" in text:
        first, _, last = text.partition("-")
        return list(range(int(first), int(last) + 1))
    return [int(part) for part in text.split(",")]


def main() -> int:
    """Play the seeds; return 1 if a promise was broken."""
    options = docopt(__doc__)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed = 0
    for seed in read_seeds(options["--seeds"]):
        soak = Soak(seed, float(options["--seconds"]), int(options["--entries"]))
        broken = soak.run()
        failed += bool(broken)
        print(
            f"seed {seed}: {len(broken)} broken, {soak.served} of {soak.asked} "
            f"served; {' '.join(soak.faults)}"
        )
        for line in broken[:10]:
            print(f"  {line}  (logs in {soak.fleet.folder})")
        sys.stdout.flush()
        if options["--plots"]:
            path = Path(options["--plots"]) / f"seed-{seed}.svg"
            draw_seed(f"seed {seed}", soak.happened, soak.sent, path)
        if options["--report"]:
            with open(options["--report"], "a", encoding="utf-8") as report:
                row = {"seed": seed, "faults": soak.faults, "broken": broken}
                report.write(json.dumps(row) + "\n")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs the fault soak.

Usage:
  run.py [--seeds=LIST] [--seconds=S] [--entries=N] [--report=FILE] [--plots=FOLDER]
         [--rests-only | --no-crashes]

Options:
  --seeds=LIST    seeds by commas, or FIRST-LAST [default: 1]
  --seconds=S     seconds of faults for each seed [default: 15]
  --entries=N     entry instances [default: 3]
  --report=FILE   append one line of JSON for each seed
  --plots=FOLDER  draw what callers got beside the faults, one SVG for each seed
  --no-crashes    send no requests on which servers crash
  --rests-only    let servers fall silent for a second or so; no answer may be cut
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

from standins.cuts import FAULTS_FOLDER, Links  # noqa: E402
from standins.fleet import EntryInstance, Fleet, configuration, post  # noqa: E402
from standins.limits import LEARNING_S, WINDOW_S, LimitedServer  # noqa: E402
from standins.proxy import Proxy  # noqa: E402

from soak.callers import (  # noqa: E402
    CRASH_BOOKING,
    CRASH_LOOK,
    CRASH_PART,
    CRASH_PROMPT,
    LATE_CRASH_PART,
    Callers,
    CrashContent,
    Pause,
    find_cut_answers,
    find_hold_back,
    find_late_crashes,
    find_violations,
    find_wrong_refusals,
)
from soak.evacuations import DATA_CENTRES, Evacuations  # noqa: E402
from soak.plots import draw_seed  # noqa: E402
from soak.stalls import StallWatch  # noqa: E402

RECOVERY_TIMEOUT_S = 3.0
"""Seconds after the last fault in which service must recover; then the success ratio
is measured for as long."""

STOP_TIMEOUT_S = 12.0
"""Seconds in which a graceful stop, whose grace is 8 s, must end without faults."""

ACTIVATION_EVENTS = {"configuration_in_force": "version", "preset_in_force": "revision"}
"""Log events of an activation, and the version field of each, which may only rise."""

REST_S = (0.8, 1.5)
"""Shortest and longest silence in seconds of a server that is sound."""

CRASH_CONTENTS = (
    (CRASH_PART,),
    (CRASH_LOOK, CRASH_PROMPT),
    (CRASH_BOOKING, LATE_CRASH_PART),
)
"""What servers crash on; a seed takes one of these in turn."""

LIMITS = {"0.4": 0.4, "1.1": 1.1, "4": 4.0, "0": 0.0, "3, 1.1": 1.1}
"""Limits that servers name, and the requests a second that they allow."""

MIN_SUCCESS_RATIO = 0.7
"""Fraction of requests after recovery that must succeed; fault rates are zero then."""


@define(slots=True, eq=False)
class Soak:
    """One seeded run: a fleet behind proxies, callers, and faults that may overlap.

    :param rests_only: servers fall silent for a second or so; no other fault happens.
    :param contents: what servers crash on; some requests have it.
    :ivar crash_count: number of crashes of servers.
    :ivar late_crash_requests: number of requests on which servers crash that were sent
        when they are to be held back, by content.
    :ivar faults: names of the injected faults, in order.
    :ivar fault_times: seconds from the start and name of each fault.
    :ivar outcomes: seconds from the start and response status of each request.
    :ivar clock_file: holds the seconds by which the instances' clocks are shifted.
    :ivar stopping: names of instances that got SIGTERM.
    :ivar leaving_server: name of the server that announces its shutdown, or empty.
    :ivar limited_server: name of the server that names a limit, or empty.
    :ivar limit: the limit that it names.
    :ivar limit_violations: what servers got beyond their limits, one line each.
    :ivar links: the connections of instances to backend servers.
    :ivar cut_off: instances that are cut off from them.
    :ivar evacuations: evacuations of data centres, and what was sent there.
    :ivar is_store_troubled: the store rejects calls, loses responses or is slow.
    :ivar has_copy: the store has a copy that it has not returned to.
    :ivar recovered_at: start of the requests that are checked for recovery.
    """

    seed: int
    seconds: float
    entries: int
    rests_only: bool = False
    contents: tuple[CrashContent, ...] = ()
    fleet: Fleet | None = None
    proxies: list[Proxy] = field(factory=list)
    faults: list[str] = field(factory=list)
    fault_times: list[tuple[float, str]] = field(factory=list)
    outcomes: list[tuple[float, int]] = field(factory=list)
    clock_file: Path = field(
        factory=lambda: Path(mkdtemp(prefix="soak-clock-")) / "shift"
    )
    paused: list[EntryInstance] = field(factory=list)
    pauses: list[Pause] = field(factory=list)
    stopping: set[str] = field(factory=set)
    configuration_version: int = 1
    preset_revision: int = 0
    leaving_server: str = ""
    links: Links | None = None
    cut_off: list[EntryInstance] = field(factory=list)
    limited_server: str = ""
    limit: str = ""
    limit_violations: list[str] = field(factory=list)
    evacuations: Evacuations | None = None
    is_store_troubled: bool = False
    has_copy: bool = False
    recovered_at: float = 0.0
    crash_count: int = 0
    late_crash_requests: dict[str, int] = field(factory=dict)
    sent_count: int = 0
    served: int = 0

    def run(self) -> list[str]:
        """Run the seed; return the violations, one line each."""
        rng = random.Random(self.seed)
        self.fleet = Fleet(
            engines=4,
            plain_servers=2,
            entries=self.entries,
            subnet=f"{2 + self.seed // 250}.{self.seed % 250}",
            seed=self.seed,
            environment={
                "PYTHONPATH": str(FAULTS_FOLDER),
                "SOAK_CLOCK": str(self.clock_file),
            },
            map_address=self._add_proxy,
        )
        try:
            with self.fleet:
                server_count = len(self.fleet.server_names)
                self.links = Links(self.fleet, self.proxies[:server_count])
                self.evacuations = Evacuations(self.fleet)
                return self._run_faults(rng)
        finally:
            if self.links is not None:
                self.links.close()
            for proxy in self.proxies:
                proxy.close()

    def _add_proxy(self, host: str, port: int) -> tuple[str, int]:
        proxy = Proxy((host, port), self.seed)
        self.proxies.append(proxy)
        return proxy.address

    def _run_faults(self, rng: random.Random) -> list[str]:
        callers = Callers(self.fleet, self.seed, contents=self.contents)
        parts = {c.name: c.after_events for c in self.contents if not c.request}
        requests = tuple(c.request for c in self.contents if c.request)
        self.fleet.crash_on(*parts, after_events=parts, requests=requests)
        callers.start()
        watch = StallWatch()
        watch.start()
        run_start = time.monotonic()
        end = run_start + self.seconds
        while time.monotonic() < end:
            fault = rest_servers if self.rests_only else rng.choice(FAULTS)
            self.faults.append(fault.__name__)
            self.fault_times.append((time.monotonic() - run_start, fault.__name__))
            fault(self, rng)
            if self.paused or self.is_store_troubled:
                self.evacuations.excuse()
            time.sleep(rng.uniform(0.2, 1.5))
        self._end_faults()
        time.sleep(RECOVERY_TIMEOUT_S)
        self.recovered_at = time.monotonic()
        self.fault_times.append((self.recovered_at - run_start, "recovery check"))
        time.sleep(RECOVERY_TIMEOUT_S)
        callers.stop()
        watch.stop()
        self.end_limit()
        violations = self.evacuations.find_violations()
        runs, crashes = self.fleet.runs(), self.fleet.crashes()
        pauses = self.pauses + watch.pauses(self.fleet)
        violations += find_violations(callers.sent, runs, pauses)
        violations += find_late_crashes(callers.sent, runs, crashes, self.contents)
        violations += find_wrong_refusals(callers.sent)
        self.crash_count = len(crashes)
        clock_offset_s = time.monotonic() - time.time()
        for content in self.contents:
            held_from = find_hold_back(crashes, content) + clock_offset_s
            self.late_crash_requests[content.name] = sum(
                sent.content is content and sent.started_at > held_from
                for sent in callers.sent
            )
        self.served = sum(s.response.status == 200 for s in callers.sent)
        self.sent_count = len(callers.sent)
        self.outcomes = [
            (s.started_at - run_start, s.response.status) for s in callers.sent
        ]
        if self.rests_only:
            violations += find_cut_answers(callers.sent)
        violations += self.limit_violations
        return violations + self._check_recovery(callers) + self._check_versions()

    def end_limit(self) -> None:
        """Let the limited server name none any more, and check what it got."""
        name, self.limited_server = self.limited_server, ""
        if not name:
            return
        arrivals = self.fleet.arrivals_when_limited(name, LEARNING_S)
        self.fleet.send_command("limit", name, limit="")
        seen = LimitedServer(LIMITS[self.limit], named_at=0.0, arrivals=arrivals)
        if seen.most_in_window() > seen.allowed:
            self.limit_violations.append(
                f"{name} named a limit of {self.limit} and got "
                f"{seen.most_in_window()} requests in {WINDOW_S} s"
            )

    def _end_faults(self) -> None:
        """Resume instances, clear fault rates and delays, and wait until all are ready.

        Stalled connections and the clock shift stay.
        """
        for entry in self.paused:
            entry.process.send_signal(signal.SIGCONT)
        for entry in self.cut_off:
            self.links.heal(entry)
        for pause in self.pauses:
            pause.ended_at = min(pause.ended_at, time.monotonic())
        for proxy in self.proxies:
            proxy.delay_s = 0.0
            proxy.refuses = False
        post(
            *self.fleet.store_address,
            "/standin/trouble",
            {"busy": 0.0, "lost": 0.0, "late": 0.0, "slow_s": 0.0},
        )
        self.evacuations.end_all()
        for name in self.fleet.server_names:
            self.fleet.send_command("trouble", name, trouble={})
            self.fleet.send_command("silent", name, is_silent=False)
        for entry in self.fleet.instances:
            if entry.name in self.stopping:
                entry.process.wait(STOP_TIMEOUT_S)
            if entry.process.poll() is not None:
                self.fleet.start(entry)
        self.fleet.wait(lambda: all(e.is_ready() for e in self.fleet.instances))

    def _check_recovery(self, callers: Callers) -> list[str]:
        recent = [
            sent
            for sent in callers.sent
            if sent.started_at > self.recovered_at and sent.content is None
        ]
        served = sum(s.response.status == 200 for s in recent)
        if recent and served < MIN_SUCCESS_RATIO * len(recent):
            return [f"only {served} of {len(recent)} requests served after recovery"]
        return []

    def _check_versions(self) -> list[str]:
        """Check that no process reverts to an older configuration or older presets."""
        violations = []
        for entry in self.fleet.instances:
            newest = {}
            for line in entry.log_entries():
                event = line["event"]
                if event == "started":
                    newest = {}
                elif event in ACTIVATION_EVENTS:
                    # a later era of the store replaces what was lost in it
                    number = int(line[ACTIVATION_EVENTS[event]])
                    position = (int(line.get("era", 0)), number)
                    if position <= newest.get(event, (0, 0)):
                        violations.append(f"{entry.name} reverted: {event} {number}")
                    newest[event] = position
        return violations


def kill(soak: Soak, rng: random.Random) -> None:
    """Kill an instance and start it again."""
    entry = rng.choice(soak.fleet.instances)
    entry.process.kill()
    entry.process.wait()
    soak.fleet.start(entry)
    soak.stopping.discard(entry.name)


def stop(soak: Soak, rng: random.Random) -> None:
    """Send SIGTERM to an instance, or start it again if it has ended."""
    entry = rng.choice(soak.fleet.instances)
    if entry.process.poll() is None:
        entry.process.send_signal(signal.SIGTERM)
        soak.stopping.add(entry.name)
    else:
        soak.fleet.start(entry)
        soak.stopping.discard(entry.name)


def reload(soak: Soak, rng: random.Random) -> None:
    """Send SIGHUP to an instance, which reloads its settings."""
    entry = rng.choice(soak.fleet.instances)
    if entry.process.poll() is None:
        entry.process.send_signal(signal.SIGHUP)


def pause(soak: Soak, rng: random.Random) -> None:
    """Suspend an instance, or resume a suspended one."""
    if soak.paused:
        soak.paused.pop().process.send_signal(signal.SIGCONT)
        soak.pauses[-1].ended_at = time.monotonic()
        return
    entry = rng.choice(soak.fleet.instances)
    if entry.process.poll() is None:
        entry.process.send_signal(signal.SIGSTOP)
        soak.paused.append(entry)
        soak.pauses.append(Pause(entry.name, time.monotonic()))


def reset(soak: Soak, rng: random.Random) -> None:
    """Reset a random fraction of the connections to one target."""
    rng.choice(soak.proxies).reset(rng.random())


def silence(soak: Soak, rng: random.Random) -> None:
    """Stall a random fraction of the connections to one target, one way or both."""
    directions = rng.choice((("up", "down"), ("up",), ("down",)))
    rng.choice(soak.proxies).stall(rng.random(), directions)


def delay(soak: Soak, rng: random.Random) -> None:
    """Delay the traffic of one target, or end its delay."""
    rng.choice(soak.proxies).delay_s = rng.choice((0.0, 0.05, 0.3))


def refuse(soak: Soak, rng: random.Random) -> None:
    """Reset new connections to one target, or accept them again."""
    proxy = rng.choice(soak.proxies)
    proxy.refuses = not proxy.refuses


def trouble_store(soak: Soak, rng: random.Random) -> None:
    """Make the store reject calls, lose responses, append late, or be slow."""
    faults = {name: rng.choice((0.0, 0.0, 0.4)) for name in ("busy", "lost", "late")}
    faults["slow_s"] = rng.choice((0.0, 0.0, 0.2))
    soak.is_store_troubled = any(faults.values())
    post(*soak.fleet.store_address, "/standin/trouble", faults)


def forget(soak: Soak, rng: random.Random) -> None:
    """Make the store drop its records."""
    post(*soak.fleet.store_address, "/standin/forget")


def copy_store(soak: Soak, rng: random.Random) -> None:
    """Copy the store, or let it return to its copy; the operator then writes again."""
    if not soak.has_copy:
        post(*soak.fleet.store_address, "/standin/copy")
    else:
        post(*soak.fleet.store_address, "/standin/return")
        version = soak.configuration_version
        soak.fleet.put("keyed.op", "config", configuration(version))
        soak.evacuations.write_again()
    soak.has_copy = not soak.has_copy


def trouble_server(soak: Soak, rng: random.Random) -> None:
    """Make a server abort, break off, reject, ignore or fail some of its requests.

    It may also ask for a pause, or answer with bytes that never end, and its responses
    may have neither a length nor chunks.
    """
    kinds = ("cut", "break", "shed", "pause", "mute", "error", "flood", "crumble")
    kinds += ("resume_error",)
    rates = {rng.choice(kinds): rng.choice((0.05, 0.3))}
    rates["unframed"] = rng.choice((0.0, 0.5))
    soak.fleet.send_command(
        "trouble", rng.choice(soak.fleet.server_names), trouble=rates
    )


def mute_server(soak: Soak, rng: random.Random) -> None:
    """Suspend the streams of a server, or resume them."""
    name = rng.choice(soak.fleet.server_names)
    soak.fleet.send_command("silent", name, is_silent=rng.random() < 0.5)


def rest_servers(soak: Soak, rng: random.Random) -> None:
    """Let servers fall silent and go on, at the same time or one after another."""
    names = rng.sample(soak.fleet.server_names, rng.randint(1, 3))
    is_series = rng.random() < 0.5
    after_s = 0.0
    for name in names:
        seconds = rng.uniform(*REST_S)
        soak.fleet.send_command("rest", name, seconds=seconds, after_s=after_s)
        after_s += seconds if is_series else 0.0


def leave_server(soak: Soak, rng: random.Random) -> None:
    """Make a server announce its shutdown, or let the leaving one start again."""
    if soak.leaving_server:
        soak.fleet.send_command("restart", soak.leaving_server)
        soak.leaving_server = ""
        return
    soak.leaving_server = rng.choice(soak.fleet.server_names)
    soak.fleet.send_command("leave", soak.leaving_server, is_leaving=True)


def cut_off(soak: Soak, rng: random.Random) -> None:
    """Cut an instance off from all backend servers, or let all reach them again."""
    if soak.cut_off:
        for entry in soak.cut_off:
            soak.links.heal(entry)
        soak.cut_off = []
        return
    soak.cut_off = rng.sample(soak.fleet.instances, rng.choice((1, 1, 2)))
    hangs = rng.random() < 0.5
    for entry in soak.cut_off:
        soak.links.cut(entry, hangs)


def limit_server(soak: Soak, rng: random.Random) -> None:
    """Make a server name a limit, or let the limited one name none."""
    if soak.limited_server:
        soak.end_limit()
        return
    soak.limited_server = rng.choice(soak.fleet.server_names)
    soak.limit = rng.choice(list(LIMITS))
    soak.fleet.send_command("limit", soak.limited_server, limit=soak.limit)


def evacuate(soak: Soak, rng: random.Random) -> None:
    """Ask for the evacuation of a data centre, or take one back."""
    data_centre = rng.choice(DATA_CENTRES)
    if data_centre in soak.evacuations.active:
        soak.evacuations.withdraw(data_centre)
    elif not soak.evacuations.active:
        soak.evacuations.ask(data_centre)


def configure(soak: Soak, rng: random.Random) -> None:
    """Publish an old or invalid configuration at times, and then always a valid one."""
    soak.configuration_version += rng.randint(1, 3)
    version = soak.configuration_version if rng.random() < 0.8 else 1
    value = configuration(version) if rng.random() < 0.9 else {"version": version}
    soak.fleet.put("keyed.op", "config", value)
    soak.fleet.put("keyed.op", "config", configuration(soak.configuration_version))


def choose_preset(soak: Soak, rng: random.Random) -> None:
    """Activate a preset in a new revision, then write an older or the same revision."""
    soak.preset_revision += 1
    for revision in (soak.preset_revision, rng.randint(1, soak.preset_revision)):
        preset_book = {
            "revision": revision,
            "author": "soak",
            "presets": {"day": {}, "peak": {"objective": "ttft"}},
            "active": rng.choice(("day", "peak")),
        }
        soak.fleet.put("keyed.presets", "presets", preset_book)


def step_clock(soak: Soak, rng: random.Random) -> None:
    """Shift the wall clock of all instances."""
    soak.clock_file.write_text(str(rng.choice((-3_600.0, -5.0, 0.0, 5.0, 86_400.0))))


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
    copy_store,
    copy_store,
    trouble_server,
    trouble_server,
    mute_server,
    rest_servers,
    rest_servers,
    leave_server,
    limit_server,
    limit_server,
    cut_off,
    cut_off,
    evacuate,
    evacuate,
    configure,
    choose_preset,
    step_clock,
)


def read_seeds(text: str) -> list[int]:
    """Return the seeds of a list such as ``3,7`` or ``1-50``."""
    if "-" in text:
        first, _, last = text.partition("-")
        return list(range(int(first), int(last) + 1))
    return [int(seed) for seed in text.split(",")]


def main() -> int:
    """Run the seeds; return 1 if any guarantee was violated."""
    options = docopt(__doc__)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed_count = 0
    for seed in read_seeds(options["--seeds"]):
        has_crashes = not options["--rests-only"] and not options["--no-crashes"]
        soak = Soak(
            seed,
            float(options["--seconds"]),
            int(options["--entries"]),
            rests_only=options["--rests-only"],
            contents=CRASH_CONTENTS[seed % len(CRASH_CONTENTS)] if has_crashes else (),
        )
        violations = soak.run()
        failed_count += bool(violations)
        print(
            f"seed {seed}: {len(violations)} violations, "
            f"{soak.served} of {soak.sent_count} served, "
            f"{soak.crash_count} crashes, late {soak.late_crash_requests}; "
            f"{' '.join(soak.faults)}"
        )
        for line in violations[:10]:
            print(f"  {line}  (logs in {soak.fleet.folder})")
        sys.stdout.flush()
        if options["--plots"]:
            path = Path(options["--plots"]) / f"seed-{seed}.svg"
            draw_seed(f"seed {seed}", soak.fault_times, soak.outcomes, path)
        if options["--report"]:
            with open(options["--report"], "a", encoding="utf-8") as report:
                row = {"seed": seed, "faults": soak.faults, "broken": violations}
                report.write(json.dumps(row) + "\n")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main())

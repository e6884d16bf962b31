"""Planned work only: restarts, changed settings and servers that leave, in series.

Nothing else fails, so no process ends by itself, no request that ran goes without its
whole answer, and no server gets requests after it has left.

Usage:
  planned.py [--seeds=LIST] [--seconds=S]

Options:
  --seeds=LIST  seeds by commas, or FIRST-LAST [default: 1]
  --seconds=S   seconds of planned work for each seed [default: 15]
"""

import random
import signal
import sys
import time
from pathlib import Path

from attrs import define, field
from docopt import docopt

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.fleet import EntryInstance, Fleet, configuration  # noqa: E402

from soak.callers import Callers, Pause, find_violations  # noqa: E402

NOTICE_S = 2.0
"""Seconds after a server has left within which each instance has to know it."""

SETTLED_S = 3.0
"""Seconds after a start or a signal from which an instance is held to that."""

MAX_REMOVED = 2
"""Servers of each service that leave at most; others have to remain."""


@define(slots=True, eq=False)
class PlannedSoak:
    """One seeded run of planned work.

    :ivar work: names of what was done, in order.
    :ivar removed: by server, the Unix time at which it left; it serves on.
    :ivar disturbed: instances and Unix times at which they were started or signalled.
    :ivar violations: what went wrong so far, one line each.
    """

    seed: int
    seconds: float
    fleet: Fleet | None = None
    work: list[str] = field(factory=list)
    removed: dict[str, float] = field(factory=dict)
    disturbed: list[tuple[str, float]] = field(factory=list)
    violations: list[str] = field(factory=list)
    served: int = 0
    _pauses: list[Pause] = field(factory=list)
    _stopping: EntryInstance | None = None
    _version: int = 1

    def run(self) -> list[str]:
        """Run the seed; return the violations, one line each."""
        rng = random.Random(self.seed)
        subnet = f"{5 + self.seed // 250}.{self.seed % 250}"
        self.fleet = self._make_fleet(subnet)
        with self.fleet:
            callers = Callers(self.fleet, self.seed)
            callers.start()
            self._begin()
            try:
                self._work(rng)
                time.sleep(NOTICE_S + SETTLED_S)
            finally:
                callers.stop()
                self._end()
            runs = self._read_runs()
            self.served = sum(s.response.status == 200 for s in callers.sent)
            self._check_processes()
            self._check_removed(callers, runs)
            self.violations += find_violations(callers.sent, runs, self._pauses)
            self._check_whole(callers, runs)
        return self.violations

    def _make_fleet(self, subnet: str) -> Fleet:
        return Fleet(
            engines=5, plain_servers=5, entries=3, subnet=subnet, seed=self.seed
        )

    def _make_configuration(self) -> dict:
        return configuration(self._version)

    def _begin(self) -> None:
        """Begin what goes on beside the planned work."""

    def _end(self) -> None:
        """End what :meth:`_begin` began."""

    def _read_runs(self) -> list[dict]:
        """Return the requests that servers ran for the callers."""
        return self.fleet.runs()

    def _work(self, rng: random.Random) -> None:
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            work = rng.choice((self._restart, self._reload, self._configure))
            if rng.random() < 0.25:
                work = self._remove_server
            self.work.append(work.__name__.strip("_"))
            work(rng)
            time.sleep(rng.uniform(0.0, 1.2))

    def _disturb(self, entry: EntryInstance) -> None:
        self.disturbed.append((entry.name, time.time()))

    def _restart(self, rng: random.Random) -> None:
        """Stop an instance; start the one that was stopped before, with a signal."""
        entry, self._stopping = self._stopping, None
        if entry is None:
            self._stopping = rng.choice(self.fleet.instances)
            self._disturb(self._stopping)
            self._stopping.process.send_signal(signal.SIGTERM)
            return
        code = entry.process.wait(10.0)
        if code:
            self.violations.append(f"{entry.name}: code {code} after a planned stop")
        self._disturb(entry)
        self.fleet.start(entry)
        time.sleep(rng.uniform(0.1, 0.5))
        self.fleet.write_settings(entry, grace=rng.choice((8, 9)))
        entry.process.send_signal(signal.SIGHUP)
        self.fleet.wait(lambda: entry.is_ready() or entry.process.poll() is not None)
        if entry.process.poll() is not None:
            self.violations.append(f"{entry.name} ended as it was starting")
            self.fleet.start(entry)
            self.fleet.wait(entry.is_ready)

    def _reload(self, rng: random.Random) -> None:
        entry = rng.choice(self.fleet.instances)
        if entry is not self._stopping:
            entry.process.send_signal(signal.SIGHUP)

    def _configure(self, rng: random.Random) -> None:
        self._version += rng.randint(1, 3)
        self.fleet.put("keyed.op", "config", self._make_configuration())

    def _remove_server(self, rng: random.Random) -> None:
        """Remove the entry of a server, which serves on."""
        name = rng.choice([n for n in self.fleet.server_names if n not in self.removed])
        kind = name.rpartition("-")[0]
        if sum(other.startswith(kind) for other in self.removed) < MAX_REMOVED:
            self.fleet.send_command("remove", name)
            self.removed[name] = time.time()

    def _check_processes(self) -> None:
        for entry in self.fleet.instances:
            code = entry.process.poll()
            if entry is not self._stopping and code is not None:
                self.violations.append(f"{entry.name} ended by itself, code {code}")

    def _check_removed(self, callers: Callers, runs: list[dict]) -> None:
        """Check that no settled instance sent requests to a server that had left."""
        entries = {request.attempt: request.entry for request in callers.sent}
        for run in runs:
            left_at = self.removed.get(run["server"], float("inf"))
            entry = entries.get(run["attempt"])
            is_settled = all(
                name != entry or not 0.0 <= run["at"] - at < SETTLED_S
                for name, at in self.disturbed
            )
            if run["at"] > left_at + NOTICE_S and is_settled:
                self.violations.append(
                    f"{run['attempt']}: {entry} sent it to {run['server']} "
                    f"{run['at'] - left_at:.1f} s after it had left"
                )

    def _check_whole(self, callers: Callers, runs: list[dict]) -> None:
        """Check that each request that ran has its whole answer."""
        ran = {run["attempt"] for run in runs}
        for request in callers.sent:
            response = request.response
            is_whole = response.status == 200 and response.is_complete
            if request.attempt in ran and not is_whole:
                self.violations.append(
                    f"{request.attempt}: ran, and got status {response.status}"
                )


def main(make_soak=PlannedSoak, usage: str = __doc__) -> int:
    """Run the seeds; return 1 if any guarantee was violated."""
    options = docopt(usage)
    first, _, last = options["--seeds"].partition("-")
    seeds = range(int(first), int(last) + 1) if last else map(int, first.split(","))
    failed = 0
    for seed in seeds:
        soak = make_soak(seed, float(options["--seconds"]))
        violations = soak.run()
        failed += bool(violations)
        print(
            f"seed {seed}: {len(violations)} violations, {soak.served} served; "
            f"{' '.join(soak.work)}"
        )
        for line in violations[:10]:
            print(f"  {line}  (logs in {soak.fleet.folder})")
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

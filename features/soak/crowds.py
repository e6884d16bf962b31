"""Planned work beside crowds of callers that do not behave, several kinds at once.

As in ``planned.py``, no process ends by itself, and no request of an ordinary caller
that ran goes without its whole answer; each process stays within the memory and the
descriptors that its settings name. Times are not checked.

Usage:
  crowds.py [--seeds=LIST] [--seconds=S]

Options:
  --seeds=LIST  seeds by commas, or FIRST-LAST [default: 1]
  --seconds=S   seconds of planned work for each seed [default: 15]
"""

import random
import sys
import threading
import time
from pathlib import Path

from attrs import define, field

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.crowd import Crowd, peak_memory_bytes, socket_count  # noqa: E402
from standins.crowdkinds import BODY_BYTES, KINDS  # noqa: E402
from standins.fleet import METRICS_PORT, Fleet, configuration  # noqa: E402

from soak.callers import Pause  # noqa: E402
from soak.planned import PlannedSoak, main  # noqa: E402

MEMORY_MB = 120
MAX_DESCRIPTORS = 700
FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""

CONNECTIONS = (10, 60)
"""Fewest and most connections of a crowd."""

MOST_CROWDS = 3
"""Crowds at a time."""


@define(slots=True, eq=False)
class CrowdSoak(PlannedSoak):
    """One seeded run of planned work beside crowds.

    :ivar crowds: kind, port and connections of each crowd, in order.
    """

    crowds: list[tuple[str, str, int]] = field(factory=list)
    _is_ending: bool = False
    _threads: list[threading.Thread] = field(factory=list)

    def _make_fleet(self, subnet: str) -> Fleet:
        limits = {"memory-mb": MEMORY_MB, "max-fds": MAX_DESCRIPTORS}
        return Fleet(
            engines=5,
            plain_servers=5,
            entries=3,
            subnet=subnet,
            seed=self.seed,
            limits=limits,
        )

    def _make_configuration(self) -> dict:
        version = configuration(self._version)
        version["limits"]["max-body-bytes"] = BODY_BYTES
        return version

    def _begin(self) -> None:
        self._version += 1
        self.fleet.put("keyed.op", "config", self._make_configuration())
        now = time.monotonic()
        self._pauses += [Pause(entry.name, now) for entry in self.fleet.instances]
        for number in range(MOST_CROWDS):
            thread = threading.Thread(target=self._send_crowds, args=(number,))
            thread.start()
            self._threads.append(thread)

    def _end(self) -> None:
        self._is_ending = True
        for thread in self._threads:
            thread.join()
        self._check_bounds()

    def _read_runs(self) -> list[dict]:
        runs = self.fleet.runs()
        return [run for run in runs if not run["attempt"].startswith("crowd-")]

    def _send_crowds(self, number: int) -> None:
        """Let one crowd after another come, stay for a moment and leave."""
        rng = random.Random(self.seed * 1_000 + number)
        while not self._is_ending:
            entry = rng.choice(self.fleet.instances)
            ports = {
                "callers": entry.front_port,
                "readiness": entry.ready_port,
                "questions": entry.control_port,
                "delegations": entry.load_digest_port,
                "metrics": METRICS_PORT,
            }
            port = rng.choice(["callers", "callers", *ports])
            kind = rng.choice(KINDS)
            connections = rng.randint(*CONNECTIONS)
            self.crowds.append((kind.__name__, port, connections))
            crowd = Crowd(
                (entry.host, ports[port]),
                connections,
                kind,
                self._check_bounds,
                reads=rng.random() < 0.8,
                returns=rng.randint(0, 1),
            )
            with crowd:
                crowd.send_all()

    def _check_bounds(self) -> None:
        for entry in self.fleet.instances:
            try:
                memory_bytes = peak_memory_bytes(entry.process.pid)
                sockets = socket_count(entry.process.pid)
            except (OSError, LookupError):
                continue  # it has ended, which is checked elsewhere
            if memory_bytes > MEMORY_MB * 1_000_000:
                self.violations.append(f"{entry.name}: {memory_bytes} bytes of memory")
            if sockets > MAX_DESCRIPTORS - FILE_DESCRIPTORS:
                self.violations.append(f"{entry.name}: {sockets} sockets")


if __name__ == "__main__":
    sys.exit(main(CrowdSoak, __doc__))

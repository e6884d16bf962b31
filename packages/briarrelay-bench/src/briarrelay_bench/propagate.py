"""Seconds from an accepted change to its being in force on every daemon."""

from time import sleep, time

from attrs import define

from briarrelay_bench.measures import percentile
from briarrelay_bench.processes import Cluster
from briarrelay_bench.workload import make_configuration
from briarrelay_core.agreement.changes import CONFIG_STREAM, ChangeKind, ChangeRecord

__all__ = ["Propagation", "measure_propagation"]

DAEMONS = 4
HEALTHY_CHANGES = 60
SLOW_CHANGES = 3
SLOW_ANSWER_S = 5.0
"""Seconds by which the slow log delays each answer."""

LIMIT_S = 40.0
GAP_S = 0.05


@define(slots=True)
class Propagation:
    """Figures of one run, in seconds."""

    healthy_p50_s: float
    healthy_p99_s: float
    slow_log_max_s: float
    samples: int


def _publish(cluster: Cluster, revision: int) -> float:
    """Append a change on top of a revision; return when it was sent."""
    change = ChangeRecord(
        id=f"change-{revision}",
        kind=ChangeKind.PRESET,
        author="bench",
        base=revision,
        at=time(),
        preset=("peak", "ordinary")[revision % 2],
    )
    begin = time()
    path = f"/v1/streams/{CONFIG_STREAM}"
    records = {"records": [change.to_json()]}
    cluster.platform.call("POST", path, records, timeout=LIMIT_S)
    return begin


def _delays(cluster: Cluster, revision: int, begin: float) -> list[float]:
    """Wait until every daemon has a revision; return the seconds each took."""
    delays = []
    for daemon in cluster.daemons.values():
        cluster.wait_until(
            lambda d=daemon: d.call("GET", "/status")[1]["revision"] >= revision,
            f"revision {revision} is in force",
            LIMIT_S,
        )
        since = daemon.call("GET", "/status")[1]["revision_since"]
        delays.append(max(0.0, since - begin))
    return delays


def measure_propagation() -> Propagation:
    """Publish changes while the log is healthy, then while it is slow."""
    with Cluster() as cluster:
        cluster.start_platform()
        names = [f"entry-{index}" for index in range(DAEMONS)]
        cluster.start_entries(names, make_configuration("short"))
        healthy, slow = [], []
        revision = 1
        for _ in range(HEALTHY_CHANGES):
            begin = _publish(cluster, revision)
            revision += 1
            healthy += _delays(cluster, revision, begin)
            sleep(GAP_S)
        cluster.platform.set_faults(delay_s=SLOW_ANSWER_S)
        for _ in range(SLOW_CHANGES):
            begin = _publish(cluster, revision)
            revision += 1
            slow += _delays(cluster, revision, begin)
    return Propagation(
        healthy_p50_s=percentile(healthy, 50),
        healthy_p99_s=percentile(healthy, 99),
        slow_log_max_s=round(max(slow), 3),
        samples=len(healthy) + len(slow),
    )

"""Measures how long a configuration change takes to come into force on each daemon."""

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
SLOW_RESPONSE_S = 5.0
"""Seconds by which the slow log delays each response."""

TIMEOUT_S = 40.0
CHANGE_INTERVAL_S = 0.05


@define(slots=True)
class Propagation:
    """Propagation delays of one run, in seconds.

    :param samples: number of delays measured, one per change and daemon.
    """

    healthy_p50_s: float
    healthy_p99_s: float
    slow_log_max_s: float
    samples: int


def _publish(cluster: Cluster, revision: int) -> float:
    """Append a change based on a revision; return the time of sending."""
    change = ChangeRecord(
        id=f"change-{revision}",
        kind=ChangeKind.PRESET,
        author="bench",
        base=revision,
        at=time(),
        preset=("peak", "ordinary")[revision % 2],
    )
    sent_at = time()
    path = f"/v1/streams/{CONFIG_STREAM}"
    records = {"records": [change.to_json()]}
    cluster.platform.call("POST", path, records, timeout=TIMEOUT_S)
    return sent_at


def _measure_delays(cluster: Cluster, revision: int, sent_at: float) -> list[float]:
    """Wait until a revision is in force on every daemon; return the delays."""
    delays = []
    for daemon in cluster.daemons.values():
        cluster.wait_until(
            lambda d=daemon: d.call("GET", "/status")[1]["revision"] >= revision,
            f"revision {revision} is in force",
            TIMEOUT_S,
        )
        since = daemon.call("GET", "/status")[1]["revision_since"]
        delays.append(max(0.0, since - sent_at))
    return delays


def measure_propagation() -> Propagation:
    """Measure propagation delays with a healthy log, then with a slow one."""
    with Cluster() as cluster:
        cluster.start_platform()
        names = [f"entry-{index}" for index in range(DAEMONS)]
        cluster.start_daemons(names, make_configuration("short"))
        healthy, slow = [], []
        revision = 1
        for _ in range(HEALTHY_CHANGES):
            sent_at = _publish(cluster, revision)
            revision += 1
            healthy += _measure_delays(cluster, revision, sent_at)
            sleep(CHANGE_INTERVAL_S)
        cluster.platform.set_faults(delay_s=SLOW_RESPONSE_S)
        for _ in range(SLOW_CHANGES):
            sent_at = _publish(cluster, revision)
            revision += 1
            slow += _measure_delays(cluster, revision, sent_at)
    return Propagation(
        healthy_p50_s=percentile(healthy, 50),
        healthy_p99_s=percentile(healthy, 99),
        slow_log_max_s=round(max(slow), 3),
        samples=len(healthy) + len(slow),
    )

"""Measures what control traffic costs one daemon among many peers and engines.

The daemon is real. One fake peer receives and sends the digests of all peers, and one
stand-in engine answers under the name of every engine.
"""

import json
from concurrent.futures import ThreadPoolExecutor
from threading import Event, Thread
from time import sleep, time

import grpc
from attrs import define

from briarrelay_bench.counting import CountingForwarder
from briarrelay_bench.processes import Cluster, free_port
from briarrelay_bench.procstat import cpu_seconds, resident_mb
from briarrelay_bench.workload import make_configuration
from briarrelay_core.agreement.configuration import hash_key
from briarrelay_core.membership.gossip import (
    DIGEST_PERIOD_S,
    FULL_REPORT_PERIODS,
    MAX_DEMANDS,
    MAX_REPORTS,
    REMOTE_DIGEST_PERIODS,
)
from briarrelay_core.ports.peer import Digest, ReportEntry, WorkspaceDemand
from briarrelay_daemon import peer_pb2, peer_pb2_grpc
from briarrelay_daemon.peercodec import encode_message

__all__ = [
    "ControlCost",
    "Slopes",
    "big_configuration",
    "measure_control_cost",
    "measure_slopes",
    "sample_digest",
]

DATA_CENTRES = 7
WORKSPACES = 5_200
WARM_UP_S = 6.0
MEASURE_S = 20.0

LIST_CHANGES_PER_DAY = 261
"""Each of 87 restarts a day changes the list three times: leaving, gone, live again."""

SECONDS_PER_DAY = 86_400.0


@define(slots=True)
class ControlCost:
    """Cost of control for one size of a data centre.

    :param core_share: fraction of one CPU core.
    :param bytes_per_s: bytes received and sent, without reads of the instance list.
    :param list_bytes_per_s: bytes of reading the whole instance list at each change,
        averaged over a day.
    """

    instances: int
    engines: int
    core_share: float
    rss_mb: float
    bytes_per_s: float
    list_bytes_per_s: float


@define(slots=True)
class Slopes:
    """Cost that each additional instance or engine of the data centre adds."""

    core_share_per_instance: float
    rss_mb_per_instance: float
    bytes_per_s_per_instance: float
    core_share_per_engine: float
    rss_mb_per_engine: float
    bytes_per_s_per_engine: float


class _FakePeer(peer_pb2_grpc.PeerServicer):
    def Deliver(self, request, context):  # noqa: N802
        """Accept messages and discard them."""
        return peer_pb2.Taken()


def big_configuration() -> dict:
    """Return a configuration of the size expected in two years."""
    mapping = make_configuration("short")
    for number in range(WORKSPACES):
        keys = {"key_hashes": [hash_key(f"key-{number}")]}
        mapping["workspaces"][f"workspace-{number:05d}"] = keys
    mapping["models"] = {f"model-{number}": {} for number in range(5)}
    return mapping


def sample_digest(engines: int) -> Digest:
    """Return a digest with as many reports and demands as one may hold.

    :param engines: engines of the data centre; the reports rotate over them.
    """
    now = time()
    reports = tuple(
        ReportEntry(
            engine=f"engine-{(number * 7 + int(now)) % engines:04d}",
            as_of=now - 0.5,
            queued_short=500,
            queued_medium=30_000,
            queued_long=0,
            memory_free=300_000,
            decoding=12,
            memory_total=450_000 if number % FULL_REPORT_PERIODS == 0 else 0,
            rate=20_000.0 if number % FULL_REPORT_PERIODS == 0 else 0.0,
            step_s=0.025 if number % FULL_REPORT_PERIODS == 0 else 0.0,
            models=("model-1",) if number % FULL_REPORT_PERIODS == 0 else (),
        )
        for number in range(min(MAX_REPORTS, engines))
    )
    demands = tuple(
        WorkspaceDemand(f"workspace-{n:05d}", 900.0) for n in range(MAX_DEMANDS)
    )
    return Digest(
        as_of=now,
        revision=1,
        draining=False,
        demand_rate=9_000.0,
        reports=reports,
        demands=demands,
    )


def _send_digests(port: int, engines: int, instances: int, stop: Event) -> None:
    """Send one instance digests at the rate of all its peers together.

    :param instances: entry instances of the data centre.
    """
    stub = peer_pb2_grpc.PeerStub(grpc.insecure_channel(f"127.0.0.1:{port}"))
    period = DIGEST_PERIOD_S / (1.0 + 1.0 / REMOTE_DIGEST_PERIODS)
    sent = 0
    while not stop.wait(period):
        sent += 1
        envelope = peer_pb2.Envelope(
            sender=f"entry-{1 + sent % max(1, instances - 1):04d}",
            incarnation=1,
            messages=[encode_message(sample_digest(engines))],
        )
        stub.Deliver(envelope, timeout=5.0)


def _instance_list(
    instances: int, engines: int, peer_port: int, engine_port: int, own_port: int
) -> list:
    def entry(name: str, kind: str, centre: int, port: int) -> dict:
        return {
            "name": name,
            "incarnation": 1,
            "kind": kind,
            "data_centre": f"dc{centre + 1}",
            "host": "127.0.0.1",
            "port": port,
            "state": "live",
            "checks_fencing": True,
            "service": "",
        }

    entries = []
    for centre in range(DATA_CENTRES):
        prefix = "" if centre == 0 else f"dc{centre + 1}-"
        for number in range(instances):
            name = f"{prefix}entry-{number:04d}"
            port = own_port if name == "entry-0000" else peer_port
            entries.append(entry(name, "entry", centre, port))
        for number in range(engines):
            name = f"{prefix}engine-{number:04d}"
            entries.append(entry(name, "engine", centre, engine_port))
    return entries


def measure_control_cost(instances: int, engines: int) -> ControlCost:
    """Run one daemon with fake peers and engines and measure its cost.

    :param instances: entry instances in its data centre.
    :param engines: engines in its data centre.
    """
    server = grpc.server(ThreadPoolExecutor(2))
    peer_pb2_grpc.add_PeerServicer_to_server(_FakePeer(), server)
    peer_port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    stop = Event()
    try:
        with Cluster() as cluster:
            return _measure(cluster, instances, engines, peer_port, stop)
    finally:
        stop.set()
        server.stop(0)


def _measure(
    cluster: Cluster, instances: int, engines: int, peer_port: int, stop: Event
) -> ControlCost:
    platform = cluster.start_platform()
    models = ",".join(f"model-{number}@1" for number in range(5))
    engine = cluster.start_engine("engine", "--models", models)
    forwarders = [
        CountingForwarder(port) for port in (platform.port, engine.port, peer_port)
    ]
    to_platform, to_engines, to_peers = forwarders
    daemon = cluster.prepare_daemon("entry-0000")
    incoming = CountingForwarder(daemon.peer_port)
    forwarders.append(incoming)
    own_port = free_port()
    entries = _instance_list(
        instances, engines, to_peers.port, to_engines.port, own_port
    )
    platform.call("PUT", "/v1/instances", {"instances": entries})
    cluster.publish_initial_configuration(big_configuration())
    real_port, platform.port = platform.port, to_platform.port
    cluster.start_daemon("entry-0000")
    platform.port = real_port
    sender = Thread(
        target=_send_digests,
        args=(incoming.port, engines, instances, stop),
        daemon=True,
    )
    sender.start()
    count_bytes = lambda: sum(forwarder.total for forwarder in forwarders)
    core_fraction, byte_rate = _measure_usage(daemon.popen.pid, count_bytes)
    memory_mb = resident_mb(daemon.popen.pid)
    stop.set()
    for forwarder in forwarders:
        forwarder.close()
    return ControlCost(
        instances=instances,
        engines=engines,
        core_share=round(core_fraction, 4),
        rss_mb=round(memory_mb, 1),
        bytes_per_s=round(byte_rate, 1),
        list_bytes_per_s=_list_bytes_per_s(entries),
    )


def _list_bytes_per_s(entries: list) -> float:
    """Return the mean bytes per second of reading the whole list at each change."""
    size = sum(len(json.dumps(entry)) for entry in entries)
    return round(size * LIST_CHANGES_PER_DAY / SECONDS_PER_DAY, 1)


def _measure_usage(pid: int, count_bytes) -> tuple[float, float]:
    """Return the fraction of a core that a process uses, and its bytes per second.

    :param count_bytes: returns the bytes forwarded so far.
    """
    sleep(WARM_UP_S)
    cpu, total, begin = cpu_seconds(pid), count_bytes(), time()
    sleep(MEASURE_S)
    seconds = time() - begin
    return (cpu_seconds(pid) - cpu) / seconds, (count_bytes() - total) / seconds


def measure_slopes(instances: int, engines: int) -> tuple[list[ControlCost], Slopes]:
    """Measure a size, then half its instances, then half its engines.

    :return: the three measurements and the slopes between them.
    """
    full = measure_control_cost(instances, engines)
    fewer_instances = measure_control_cost(max(2, instances // 2), engines)
    fewer_engines = measure_control_cost(instances, max(1, engines // 2))

    def slope(other: ControlCost, name: str, count: str) -> float:
        step = getattr(full, count) - getattr(other, count)
        rise = getattr(full, name) - getattr(other, name)
        return round(rise / step, 6) if step else 0.0

    slopes = Slopes(
        core_share_per_instance=slope(fewer_instances, "core_share", "instances"),
        rss_mb_per_instance=slope(fewer_instances, "rss_mb", "instances"),
        bytes_per_s_per_instance=slope(fewer_instances, "bytes_per_s", "instances"),
        core_share_per_engine=slope(fewer_engines, "core_share", "engines"),
        rss_mb_per_engine=slope(fewer_engines, "rss_mb", "engines"),
        bytes_per_s_per_engine=slope(fewer_engines, "bytes_per_s", "engines"),
    )
    return [full, fewer_instances, fewer_engines], slopes

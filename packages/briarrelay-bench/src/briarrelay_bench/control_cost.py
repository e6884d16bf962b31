"""What one daemon spends on control among many peers and engines.

One real daemon; its peers are one fake that takes and sends digests as all of them
together would, its engines one stand-in that answers under every name.
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

LIST_CHANGES_A_DAY = 261
"""Changes of the instance list: 87 instances a day leave, go and come again."""

SECONDS_A_DAY = 86_400.0


@define(slots=True)
class ControlCost:
    """Figures of one size.

    :param core_share: part of one processor core.
    :param bytes_per_s: in and out together, without rereading the instance list.
    :param list_bytes_per_s: rereading the whole list at each of a day's changes.
    """

    instances: int
    engines: int
    core_share: float
    rss_mb: float
    bytes_per_s: float
    list_bytes_per_s: float


@define(slots=True)
class Slopes:
    """What each further instance or engine of the data centre adds."""

    core_share_per_instance: float
    rss_mb_per_instance: float
    bytes_per_s_per_instance: float
    core_share_per_engine: float
    rss_mb_per_engine: float
    bytes_per_s_per_engine: float


class _FakePeer(peer_pb2_grpc.PeerServicer):
    def Deliver(self, request, context):  # noqa: N802
        """Take messages and forget them."""
        return peer_pb2.Taken()


def big_configuration() -> dict:
    """Return a configuration of the size in two years."""
    mapping = make_configuration("short")
    for number in range(WORKSPACES):
        keys = {"key_hashes": [hash_key(f"key-{number}")]}
        mapping["workspaces"][f"workspace-{number:05d}"] = keys
    mapping["models"] = {f"model-{number}": {} for number in range(5)}
    return mapping


def sample_digest(engines: int) -> Digest:
    """Return a full digest about that many engines."""
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


def _send_digests(port: int, engines: int, near: int, stop: Event) -> None:
    """Send what all peers together send one instance."""
    stub = peer_pb2_grpc.PeerStub(grpc.insecure_channel(f"127.0.0.1:{port}"))
    period = DIGEST_PERIOD_S / (1.0 + 1.0 / REMOTE_DIGEST_PERIODS)
    turn = 0
    while not stop.wait(period):
        turn += 1
        envelope = peer_pb2.Envelope(
            sender=f"entry-{1 + turn % max(1, near - 1):04d}",
            incarnation=1,
            messages=[encode_message(sample_digest(engines))],
        )
        stub.Deliver(envelope, timeout=5.0)


def _instance_list(
    instances: int, engines: int, peer: int, engine: int, own: int
) -> list:
    def entry(name: str, kind: str, place: int, port: int) -> dict:
        return {
            "name": name,
            "incarnation": 1,
            "kind": kind,
            "data_centre": f"dc{place + 1}",
            "host": "127.0.0.1",
            "port": port,
            "state": "live",
            "checks_fencing": True,
            "service": "",
        }

    entries = []
    for place in range(DATA_CENTRES):
        prefix = "" if place == 0 else f"dc{place + 1}-"
        for number in range(instances):
            name = f"{prefix}entry-{number:04d}"
            port = own if name == "entry-0000" else peer
            entries.append(entry(name, "entry", place, port))
        for number in range(engines):
            name = f"{prefix}engine-{number:04d}"
            entries.append(entry(name, "engine", place, engine))
    return entries


def measure_control_cost(instances: int, engines: int) -> ControlCost:
    """Run one daemon among fakes and measure it.

    :param instances: entry instances of its data centre.
    :param engines: engines of its data centre.
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
    own = free_port()
    entries = _instance_list(instances, engines, to_peers.port, to_engines.port, own)
    platform.call("PUT", "/v1/instances", {"instances": entries})
    cluster.publish_first(big_configuration())
    real_port, platform.port = platform.port, to_platform.port
    cluster.start_daemon("entry-0000")
    platform.port = real_port
    sender = Thread(
        target=_send_digests,
        args=(incoming.port, engines, instances, stop),
        daemon=True,
    )
    sender.start()
    carried = lambda: sum(forwarder.total for forwarder in forwarders)
    share, rate = _watch(daemon.popen.pid, carried)
    memory = resident_mb(daemon.popen.pid)
    stop.set()
    for forwarder in forwarders:
        forwarder.close()
    return ControlCost(
        instances=instances,
        engines=engines,
        core_share=round(share, 4),
        rss_mb=round(memory, 1),
        bytes_per_s=round(rate, 1),
        list_bytes_per_s=_list_rate(entries),
    )


def _list_rate(entries: list) -> float:
    """Return bytes a second of reading the whole list at each of its changes."""
    size = sum(len(json.dumps(entry)) for entry in entries)
    return round(size * LIST_CHANGES_A_DAY / SECONDS_A_DAY, 1)


def _watch(pid: int, carried) -> tuple[float, float]:
    """Return the part of a core that a process uses, and bytes carried a second."""
    sleep(WARM_UP_S)
    cpu, total, begin = cpu_seconds(pid), carried(), time()
    sleep(MEASURE_S)
    seconds = time() - begin
    return (cpu_seconds(pid) - cpu) / seconds, (carried() - total) / seconds


def measure_slopes(instances: int, engines: int) -> tuple[list[ControlCost], Slopes]:
    """Measure the size itself, half of its instances and half of its engines."""
    whole = measure_control_cost(instances, engines)
    fewer = measure_control_cost(max(2, instances // 2), engines)
    smaller = measure_control_cost(instances, max(1, engines // 2))

    def slope(other: ControlCost, name: str, count: str) -> float:
        step = getattr(whole, count) - getattr(other, count)
        rise = getattr(whole, name) - getattr(other, name)
        return round(rise / step, 6) if step else 0.0

    slopes = Slopes(
        core_share_per_instance=slope(fewer, "core_share", "instances"),
        rss_mb_per_instance=slope(fewer, "rss_mb", "instances"),
        bytes_per_s_per_instance=slope(fewer, "bytes_per_s", "instances"),
        core_share_per_engine=slope(smaller, "core_share", "engines"),
        rss_mb_per_engine=slope(smaller, "rss_mb", "engines"),
        bytes_per_s_per_engine=slope(smaller, "bytes_per_s", "engines"),
    )
    return [whole, fewer, smaller], slopes

"""Measures the CPU time per relayed frame, compared with a naive relay."""

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from time import sleep, time

import orjson
from attrs import define

from briarrelay_bench.caller import Caller
from briarrelay_bench.engine_model import answer_text
from briarrelay_bench.processes import Cluster
from briarrelay_bench.procstat import cpu_seconds
from briarrelay_bench.workload import make_configuration

__all__ = ["RelayCost", "measure_relay_cost"]

STREAMS = 40
"""Responses relayed at the same time."""

OUTPUT_TOKENS = 500
"""Frames in each response."""

PROMPT_TOKENS = 1_000
IDLE_S = 3.0
"""Seconds for which the idle daemon is measured before the load."""

TIMEOUT_S = 40.0


@define(slots=True)
class RelayCost:
    """Results of one run.

    :param us_per_frame: microseconds of CPU time that briarrelayd takes for each frame,
        without its idle load.
    :param naive_us_per_frame: the same for the naive relay; its idle load is included.
    :param ratio: CPU time of briarrelayd relative to the naive relay.
    :param whole: responses that were complete and identical to the expected text.
    :param answers: responses requested from both relays together.
    """

    us_per_frame: float
    naive_us_per_frame: float
    ratio: float
    frames: int
    whole: int
    answers: int


def _call_daemon(port: int) -> bool:
    result = Caller(port).chat(PROMPT_TOKENS, OUTPUT_TOKENS, timeout=TIMEOUT_S)
    return result.is_complete and result.text == answer_text(
        result.request_id, OUTPUT_TOKENS
    )


def _call_naive_relay(port: int, number: int) -> bool:
    request = {
        "engine": "engine-0",
        "request_id": f"naive-{number:08d}",
        "attempt": 1,
        "owner": "bench",
        "incarnation": 1,
        "model": "base",
        "tokens": PROMPT_TOKENS,
        "output_tokens": OUTPUT_TOKENS,
        "reserve": PROMPT_TOKENS + OUTPUT_TOKENS,
        "priority": 0.0,
        "deadline": time() + TIMEOUT_S,
        "blocks": [],
    }
    connection = HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    body = orjson.dumps(request) + b"\n"
    connection.request("POST", "/v1/requests", body)
    blocks = connection.getresponse().read().split(b"\n\n")
    connection.close()
    events = [orjson.loads(block.removeprefix(b"data: ")) for block in blocks if block]
    text = "".join(event["choices"][0]["delta"]["content"] for event in events)
    return text == answer_text(request["request_id"], OUTPUT_TOKENS)


def _run_load(call) -> int:
    """Run a call for each stream at the same time; return how many succeeded."""
    with ThreadPoolExecutor(STREAMS) as pool:
        return sum(pool.map(call, range(STREAMS)))


def _measure_daemon(cluster: Cluster) -> tuple[float, int]:
    daemon = cluster.daemons["entry-1"]
    pid = daemon.popen.pid
    cpu_begin = cpu_seconds(pid)
    sleep(IDLE_S)
    idle = (cpu_seconds(pid) - cpu_begin) / IDLE_S
    cpu_begin, started_at = cpu_seconds(pid), time()
    whole = _run_load(lambda _: _call_daemon(daemon.port))
    used = cpu_seconds(pid) - cpu_begin - idle * (time() - started_at)
    return used, whole


def _measure_naive_relay(cluster: Cluster) -> tuple[float, int]:
    engine_port = str(cluster.engines["engine-0"].port)
    command = [sys.executable, "-m", "briarrelay_bench.naive_relay"]
    command += ["--port", "0", "--to", engine_port]
    popen = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        port = int(popen.stdout.readline().split()[1])
        cpu_begin = cpu_seconds(popen.pid)
        whole = _run_load(lambda number: _call_naive_relay(port, number))
        return cpu_seconds(popen.pid) - cpu_begin, whole
    finally:
        popen.kill()
        popen.wait()


def measure_relay_cost() -> RelayCost:
    """Relay the same number of frames through both relays and compare."""
    with Cluster() as cluster:
        cluster.start_platform()
        cluster.start_engine("engine-0", "--rate", "1000000", "--memory", "2000000")
        cluster.start_daemons(["entry-1"], make_configuration("short"))
        sleep(2.0)
        used, whole = _measure_daemon(cluster)
        naive_used, naive_whole = _measure_naive_relay(cluster)
    frames = STREAMS * OUTPUT_TOKENS
    return RelayCost(
        us_per_frame=round(used / frames * 1e6, 2),
        naive_us_per_frame=round(naive_used / frames * 1e6, 2),
        ratio=round(used / naive_used, 3),
        frames=frames,
        whole=whole + naive_whole,
        answers=2 * STREAMS,
    )

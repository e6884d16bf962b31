"""Processor time for each relayed frame, beside a naive relay."""

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
"""Answers relayed at the same time."""

TOKENS = 500
"""Frames of each answer."""

PROMPT_TOKENS = 1_000
IDLE_S = 3.0
"""Seconds for which the daemon's own work is measured before the load."""

TIMEOUT_S = 40.0


@define(slots=True)
class RelayCost:
    """Figures of one run.

    :param us_per_frame: processor microseconds of briarrelayd for each frame, without
        what it uses when idle.
    :param naive_us_per_frame: the same of the naive relay.
    :param whole: answers that were whole, byte for byte.
    """

    us_per_frame: float
    naive_us_per_frame: float
    ratio: float
    frames: int
    whole: int
    answers: int


def _ask_daemon(port: int) -> bool:
    answer = Caller(port).chat(PROMPT_TOKENS, TOKENS, timeout=TIMEOUT_S)
    return answer.is_whole and answer.text == answer_text(answer.request_id, TOKENS)


def _ask_naive(port: int, number: int) -> bool:
    request = {
        "engine": "engine-0",
        "request_id": f"naive-{number:08d}",
        "attempt": 1,
        "owner": "bench",
        "incarnation": 1,
        "model": "base",
        "tokens": PROMPT_TOKENS,
        "output_tokens": TOKENS,
        "reserve": PROMPT_TOKENS + TOKENS,
        "priority": 0.0,
        "deadline": time() + TIMEOUT_S,
        "blocks": [],
    }
    connection = HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    body = orjson.dumps(request) + b"\n"
    connection.request("POST", "/v1/requests", body)
    lines = connection.getresponse().read().split(b"\n\n")
    connection.close()
    events = [orjson.loads(line.removeprefix(b"data: ")) for line in lines if line]
    text = "".join(event["choices"][0]["delta"]["content"] for event in events)
    return text == answer_text(request["request_id"], TOKENS)


def _load(ask) -> int:
    with ThreadPoolExecutor(STREAMS) as pool:
        return sum(pool.map(ask, range(STREAMS)))


def _measure_daemon(cluster: Cluster) -> tuple[float, int]:
    daemon = cluster.daemons["entry-1"]
    pid = daemon.popen.pid
    begin = cpu_seconds(pid)
    sleep(IDLE_S)
    idle = (cpu_seconds(pid) - begin) / IDLE_S
    begin, started = cpu_seconds(pid), time()
    whole = _load(lambda _: _ask_daemon(daemon.port))
    used = cpu_seconds(pid) - begin - idle * (time() - started)
    return used, whole


def _measure_naive(cluster: Cluster) -> tuple[float, int]:
    to = str(cluster.engines["engine-0"].port)
    command = [sys.executable, "-m", "briarrelay_bench.naive_relay"]
    command += ["--port", "0", "--to", to]
    popen = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        port = int(popen.stdout.readline().split()[1])
        begin = cpu_seconds(popen.pid)
        whole = _load(lambda number: _ask_naive(port, number))
        return cpu_seconds(popen.pid) - begin, whole
    finally:
        popen.kill()
        popen.wait()


def measure_relay_cost() -> RelayCost:
    """Relay the same number of frames through both and compare."""
    with Cluster() as cluster:
        cluster.start_platform()
        cluster.start_engine("engine-0", "--rate", "1000000", "--memory", "2000000")
        cluster.start_entries(["entry-1"], make_configuration("short"))
        sleep(2.0)
        used, whole = _measure_daemon(cluster)
        naive_used, naive_whole = _measure_naive(cluster)
    frames = STREAMS * TOKENS
    return RelayCost(
        us_per_frame=round(used / frames * 1e6, 2),
        naive_us_per_frame=round(naive_used / frames * 1e6, 2),
        ratio=round(used / naive_used, 3),
        frames=frames,
        whole=whole + naive_whole,
        answers=2 * STREAMS,
    )

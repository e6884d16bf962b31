"""The main job on one machine: two daemons before stand-ins, and real requests.

Usage:
  python -m briarrelay_bench.demo
"""

import json
import signal
import sys
from time import monotonic

from uuid6 import uuid7

from briarrelay_bench.caller import Caller, ChatAnswer
from briarrelay_bench.engine_model import answer_text
from briarrelay_bench.processes import Cluster
from briarrelay_bench.workload import make_configuration
from briarrelay_ctl.main import main as ctl

__all__ = ["main"]

PROMPTS = (1_000, 8_000, 60_000, 300_000, 1_000_000)
"""Lengths of the prompts sent, in tokens."""

OUTPUT_TOKENS = 24

DAEMONS = ("entry-1", "entry-2")


class DemoError(Exception):
    """Something did not go as promised; the message says what."""


def _require(is_so: bool, what: str) -> None:
    if not is_so:
        raise DemoError(what)


def _start(cluster: Cluster) -> None:
    cluster.start_platform()
    for index in range(4):
        cluster.start_engine(f"engine-{index}", "--rate", "200000")
    for index in range(2):
        cluster.start_service(f"booking-{index}")
    for name in DAEMONS:
        cluster.prepare_daemon(name)
    cluster.publish_list()
    for name in DAEMONS:
        cluster.start_daemon(name, wait=False)
    print("started: 1 platform, 4 engines, 2 booking services, 2 briarrelayd")


def _ctl(cluster: Cluster, *arguments: str) -> None:
    settings = str(cluster.write_ctl_settings())
    print(f"\n$ briarrelayctl {' '.join(arguments)}", flush=True)
    code = ctl(["--settings", settings, *arguments])
    _require(code == 0, f"briarrelayctl {arguments} ended with {code}")


def _publish(cluster: Cluster) -> None:
    path = cluster.log_dir / "first.jsonc"
    text = json.dumps(make_configuration("short"), indent=2)
    path.write_text(f"// presets for ordinary days, peaks and maintenance\n{text}\n")
    _ctl(cluster, "config", "publish", str(path), "--wait")
    for name in DAEMONS:
        cluster.wait_ready(name)
        daemon = cluster.daemons[name]
        cluster.wait_until(lambda d=daemon: _sees_engines(d), "engines report")


def _sees_engines(daemon) -> bool:
    engines = daemon.call("GET", "/status")[1]["engines"]
    return len(engines) == 4 and all(e["report_age_s"] is not None for e in engines)


def _check_chat(answer: ChatAnswer, what: str) -> None:
    _require(answer.status == 200, f"{what}: status {answer.status} {answer.error}")
    expected = answer_text(answer.request_id, OUTPUT_TOKENS)
    _require(answer.is_whole and answer.text == expected, f"{what}: not its answer")


def _chats(cluster: Cluster) -> ChatAnswer:
    print("\nchats, streamed, through both daemons in turn")
    answer = ChatAnswer()
    for index, tokens in enumerate(PROMPTS):
        name = DAEMONS[index % 2]
        caller = Caller(cluster.daemons[name].port)
        answer = caller.chat(tokens, OUTPUT_TOKENS, timeout=60)
        _check_chat(answer, f"chat of {tokens}")
        print(
            f"  {tokens:>9,} tokens by {name}: first token {answer.ttft:6.3f} s, "
            f"whole {answer.seconds:6.3f} s, {len(answer.text)} characters"
        )
    return answer


def _bookings(cluster: Cluster) -> None:
    print("\na booking, and a retry under the same key at the other daemon")
    key = str(uuid7())
    bookings = []
    for name in DAEMONS:
        status, value = Caller(cluster.daemons[name].port).book(key)
        print(f"  {name}: status {status}, {value.get('booking')}")
        bookings.append(value.get("booking"))
    _require(bookings[0] == bookings[1] is not None, "the answers differ")
    runs = sum(
        service.call("GET", "/runs")[1].get(key, 0)
        for service in cluster.services.values()
    )
    print(f"  the booking service ran the call {runs} time")
    _require(runs == 1, f"the booking ran {runs} times")


def _refusal(cluster: Cluster) -> None:
    print("\na refusal")
    caller = Caller(cluster.daemons[DAEMONS[0]].port, key="nobody")
    answer = caller.chat(1_000)
    print(f"  status {answer.status}: {answer.error['message']}")
    _require(answer.status == 401, "an unknown key was let in")


def _stop(cluster: Cluster) -> None:
    print("\ngraceful stop")
    for name in DAEMONS:
        begin = monotonic()
        cluster.daemons[name].signal(signal.SIGTERM)
        code = cluster.daemons[name].wait()
        print(f"  {name} ended with {code} after {monotonic() - begin:.2f} s")
        _require(code == 0, f"{name} ended with {code}")


def main() -> int:
    """Run the demo; return 0 if all went as promised."""
    try:
        with Cluster() as cluster:
            _start(cluster)
            _publish(cluster)
            last = _chats(cluster)
            _bookings(cluster)
            _refusal(cluster)
            _ctl(cluster, "preset", "activate", "peak", "--wait")
            _ctl(cluster, "preset", "list")
            _ctl(cluster, "status")
            _ctl(cluster, "explain", last.request_id)
            _stop(cluster)
            record = str(cluster.log_dir / "record.jsonl")
            _ctl(cluster, "audit", "export", record)
            _ctl(cluster, "audit", "verify", record)
    except (DemoError, TimeoutError) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        return 1
    print("\ndemo: all as promised")
    return 0


if __name__ == "__main__":
    sys.exit(main())

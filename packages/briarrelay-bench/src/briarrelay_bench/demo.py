"""Demo on one machine: two daemons in front of stand-ins, serving real requests.

Usage:
  python -m briarrelay_bench.demo
"""

import json
import signal
import sys
from time import monotonic

from uuid6 import uuid7

from briarrelay_bench.caller import Caller, ChatResponse
from briarrelay_bench.engine_model import answer_text
from briarrelay_bench.processes import Cluster
from briarrelay_bench.workload import make_configuration
from briarrelay_ctl.main import main as ctl

__all__ = ["main"]

PROMPTS = (1_000, 8_000, 60_000, 300_000, 1_000_000)
"""Prompt lengths, in tokens."""

OUTPUT_TOKENS = 24

DAEMONS = ("entry-1", "entry-2")


class DemoError(Exception):
    """A check of the demo failed."""


def _check(condition: bool, message: str) -> None:
    if not condition:
        raise DemoError(message)


def _start_processes(cluster: Cluster) -> None:
    cluster.start_platform()
    for index in range(4):
        cluster.start_engine(f"engine-{index}", "--rate", "200000")
    for index in range(2):
        cluster.start_service(f"booking-{index}")
    for name in DAEMONS:
        cluster.prepare_daemon(name)
    cluster.publish_instance_list()
    for name in DAEMONS:
        cluster.start_daemon(name, wait=False)
    print("started: 1 platform, 4 engines, 2 booking services, 2 briarrelayd")


def _ctl(cluster: Cluster, *arguments: str) -> None:
    settings = str(cluster.write_ctl_settings())
    print(f"\n$ briarrelayctl {' '.join(arguments)}", flush=True)
    code = ctl(["--settings", settings, *arguments])
    _check(code == 0, f"briarrelayctl {arguments} exited with code {code}")


def _publish(cluster: Cluster) -> None:
    path = cluster.log_dir / "first.jsonc"
    text = json.dumps(make_configuration("short"), indent=2)
    path.write_text(f"// presets for ordinary days, peaks and maintenance\n{text}\n")
    _ctl(cluster, "config", "publish", str(path), "--wait")
    for name in DAEMONS:
        cluster.wait_ready(name)
        daemon = cluster.daemons[name]
        cluster.wait_until(
            lambda d=daemon: _has_engine_reports(d), "all engines report"
        )


def _has_engine_reports(daemon) -> bool:
    engines = daemon.call("GET", "/status")[1]["engines"]
    return len(engines) == 4 and all(e["report_age_s"] is not None for e in engines)


def _check_chat(response: ChatResponse, label: str) -> None:
    _check(
        response.status == 200, f"{label}: status {response.status} {response.error}"
    )
    expected = answer_text(response.request_id, OUTPUT_TOKENS)
    _check(
        response.is_complete and response.text == expected,
        f"{label}: incomplete or unexpected text",
    )


def _send_chats(cluster: Cluster) -> ChatResponse:
    print("\nstreamed chats, alternating between the daemons")
    response = ChatResponse()
    for index, tokens in enumerate(PROMPTS):
        name = DAEMONS[index % 2]
        caller = Caller(cluster.daemons[name].port)
        response = caller.chat(tokens, OUTPUT_TOKENS, timeout=60)
        _check_chat(response, f"chat of {tokens}")
        print(
            f"  {tokens:>9,} tokens by {name}: first token {response.ttft:6.3f} s, "
            f"total {response.seconds:6.3f} s, {len(response.text)} characters"
        )
    return response


def _send_bookings(cluster: Cluster) -> None:
    print("\na booking, and a retry with the same key at the other daemon")
    key = str(uuid7())
    bookings = []
    for name in DAEMONS:
        status, value = Caller(cluster.daemons[name].port).book(key)
        print(f"  {name}: status {status}, {value.get('booking')}")
        bookings.append(value.get("booking"))
    _check(bookings[0] == bookings[1] is not None, "the responses differ")
    runs = sum(
        service.call("GET", "/runs")[1].get(key, 0)
        for service in cluster.services.values()
    )
    print(f"  the booking service ran the call {runs} time")
    _check(runs == 1, f"the booking ran {runs} times")


def _send_refused_request(cluster: Cluster) -> None:
    print("\na refused request")
    caller = Caller(cluster.daemons[DAEMONS[0]].port, key="nobody")
    response = caller.chat(1_000)
    print(f"  status {response.status}: {response.error['message']}")
    _check(response.status == 401, "an unknown key was accepted")


def _stop_daemons(cluster: Cluster) -> None:
    print("\ngraceful stop")
    for name in DAEMONS:
        begin = monotonic()
        cluster.daemons[name].signal(signal.SIGTERM)
        code = cluster.daemons[name].wait()
        print(f"  {name} exited with code {code} after {monotonic() - begin:.2f} s")
        _check(code == 0, f"{name} exited with code {code}")


def main() -> int:
    """Run the demo; return 0 if every check passed, otherwise 1."""
    try:
        with Cluster() as cluster:
            _start_processes(cluster)
            _publish(cluster)
            last = _send_chats(cluster)
            _send_bookings(cluster)
            _send_refused_request(cluster)
            _ctl(cluster, "preset", "activate", "peak", "--wait")
            _ctl(cluster, "preset", "list")
            _ctl(cluster, "status")
            _ctl(cluster, "explain", last.request_id)
            _stop_daemons(cluster)
            record = str(cluster.log_dir / "record.jsonl")
            _ctl(cluster, "audit", "export", record)
            _ctl(cluster, "audit", "verify", record)
    except (DemoError, TimeoutError) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        return 1
    print("\ndemo: all checks passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())

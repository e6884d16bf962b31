"""Settings and processes of a small deployment on loopback, and its consumers."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from zlib import crc32

from standins.engine import Engine
from standins.http import Answer, send
from standins.proxy import Proxy
from standins.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "salon.example"
KEY = "key-1"
ZONES = ("bag-a", "bag-b", "bag-c")
STABILITY_S = 3.0
DRAIN_S = 2.0
GRACE_S = 8.0
METRICS_PORT = 9464

SETTINGS = """node = "{name}"
role = "entry"
machine-class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "bagmati"
internal-ports = [{internal},{internal_end}]
seeds = [{seeds}]
first-start = {first_start}
fault-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream"]
[zones]
bag-a = "bagmati"
bag-b = "bagmati"
bag-c = "bagmati"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu-share = 0.817
cores = 2
memory-mb = 430
max-fds = 6300
link-mbps = 1500.0
disk-mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
stability-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-skew-ms = 5000
revoke-strict = false
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-slack = 102
recover-s = 12
pass-ms = 120
again-s = 0
stall_ms = 1500
hold-max-ms = 20000
free-ms = 4000
idle-max-ms = 9000
[platform]
address = "{store}"
form = "log"
writes-per-s = 400
reads-per-s = 2000
parts = 12
append-ms = 2.0
part-mb-per-s = 20.0
read-mb-per-s = 80.0
record-bytes = 262144
call-bytes = 2097152
keep_s = 300
part-mb = 200
ttl-min-ms = 1000
"""


def configuration(version: int = 1) -> dict:
    """Return a configuration as the operator writes it."""
    stream = {"sticky": True, "resumable": True, "gap-aim-ms": 200}

    def route(name, kind, service, **more):
        return {
            "name": name,
            "host": HOST,
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": 2500,
            "target-latency-ms": 200,
            "priority": 1,
            "service": service,
            "attempts": 2,
            "allow-anonymous": False,
            **more,
        }

    engine = {
        "slots": 8,
        "kv-tokens": 450000,
        "stride": 46,
        "step_ms": 0.925,
        "per_seq_ms": 0.00966,
        "context_per_k": 0.00254,
        "read_per_s": 256000.0,
        "pairs_per_m": 0.0917,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 13229, "answer": 1541},
        "hop-ms": 0.1,
    }
    chat = {"timeout-ms": 10000, "target-latency-ms": 300, **stream}
    return {
        "version": version,
        "routes": [
            route("chat", "stream", "paw-llm", **chat),
            route("book", "unsafe", "desk-app", attempts=1),
            route("look", "safe", "desk-app"),
        ],
        "services": [
            {
                "name": "paw-llm",
                "health-path": "/health",
                "max-connections": 364,
                "engine": engine,
            },
            {"name": "desk-app", "health-path": "/health", "max-connections": 100},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "owners", "api-keys": [KEY], "priority": 1}],
    }


def free_port(host: str, taken: set[int]) -> int:
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            port = sock.getsockname()[1]
        if port not in taken and port != METRICS_PORT:
            taken.add(port)
            return port


@dataclass
class Machine:
    """A front machine: its settings, its link to the store and its process."""

    name: str
    ip: str
    zone: str
    front: int
    ready: int
    settings: Path
    log: Path
    link: Proxy
    store: str
    control: int = 0
    internal: int = 0
    seeds: str = ""
    process: subprocess.Popen | None = None
    started_at: float = 0.0
    ends: list[int] = field(default_factory=list)


class Deployment:
    """A store, engines and machines; ends all processes that it started."""

    def __init__(self, machines: int = 4, llm: int = 4, desk: int = 3):
        self.counts = (machines, llm, desk)
        self.store = Store()
        self.engines: dict[str, Engine] = {}
        self.machines: list[Machine] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record: list[str] = []
        self.began = time.time()
        self.sent: dict[str, tuple[float, Machine]] = {}
        self.answers: list[tuple[float, Machine, str, str, Answer]] = []
        self._net = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250 + 1}"
        self._taken: set[int] = set()
        self._sent = 0
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._command = tomllib.load(file)["roles"]["entry"]["run"].split()

    # Record

    def note(self, text: str) -> None:
        self.record.append(f"{time.time() - self.began:8.3f} {text}")

    def write_record(self, folder: Path) -> None:
        (folder / "record.txt").write_text("\n".join([*self.record, ""]))

    # Set-up

    async def start(self) -> None:
        host = f"{self._net}.1"
        store_port = free_port(host, self._taken)
        await self.store.listen(host, store_port)
        self.store.put("keyed.op", "config", configuration())
        count, llm, desk = self.counts
        for service, number in (("paw-llm", llm), ("desk-app", desk)):
            for index in range(number):
                await self.add_engine(f"{service}-{index + 1}", service)
        shared = [free_port(host, self._taken) for _ in range(2)]
        for index in range(count):
            await self._add_machine(index, shared, (host, store_port))
        for machine in self.machines:
            self.launch(machine)
        await self.wait_ready(self.machines)

    async def add_engine(self, name: str, service: str) -> Engine:
        host = f"{self._net}.2"
        port = free_port(host, self._taken)
        server_id = f"i-{crc32(name.encode()):08x}"
        engine = Engine(self.store, server_id, service, host, port)
        engine.zone = ZONES[len(self.engines) % 3]
        self.engines[name] = engine
        await engine.start()
        return engine

    async def _add_machine(self, index, shared, store) -> None:
        ip = f"{self._net}.{11 + index}"
        proxy_host = f"{self._net}.{101 + index}"
        proxy_port = free_port(proxy_host, self._taken)
        link = Proxy(store)
        await link.listen(proxy_host, proxy_port)
        name = f"front-{index + 1}"
        machine = Machine(
            name=name,
            ip=ip,
            zone=ZONES[index % 3],
            front=free_port(ip, self._taken),
            ready=free_port(ip, self._taken),
            settings=self.folder / f"{name}.toml",
            log=self.folder / f"{name}.log",
            link=link,
            store=f"{proxy_host}:{proxy_port}",
        )
        self.machines.append(machine)
        seeds = ",".join(f'"{self._net}.{11 + n}:{shared[0]}"' for n in range(3))
        machine.control, machine.seeds, machine.internal = shared[0], seeds, shared[1]
        self.write_settings(machine, first_start=True)

    def write_settings(self, machine: Machine, first_start: bool) -> None:
        machine.settings.write_text(
            SETTINGS.format(
                name=machine.name,
                ip=machine.ip,
                zone=machine.zone,
                internal=machine.internal,
                internal_end=machine.internal + 15,
                seeds=machine.seeds,
                first_start=str(first_start).lower(),
                front=machine.front,
                ready=machine.ready,
                control=machine.control,
                store=machine.store,
            )
        )

    # Processes

    def launch(self, machine: Machine) -> None:
        """Start a machine's process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BRIARRELAY_BOOT"] = str(machine.settings)
        with open(machine.log, "ab") as log:
            machine.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        machine.started_at = time.time()
        self.note(f"{machine.name}: process started")

    async def kill(self, machine: Machine) -> None:
        machine.process.send_signal(signal.SIGKILL)
        await asyncio.to_thread(machine.process.wait)
        self.note(f"{machine.name}: process killed")
        self.write_settings(machine, first_start=False)

    async def stop(self, machine: Machine) -> None:
        """Stop a process as planned work does: SIGTERM, and SIGKILL after `grace-s`."""
        machine.process.send_signal(signal.SIGTERM)
        self.note(f"{machine.name}: SIGTERM")
        try:
            await asyncio.to_thread(machine.process.wait, GRACE_S)
        except subprocess.TimeoutExpired:
            machine.process.kill()
            await asyncio.to_thread(machine.process.wait)
        self.note(f"{machine.name}: process ended")
        self.write_settings(machine, first_start=False)

    async def is_ready(self, machine: Machine) -> bool:
        request = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n"
        return (await send(machine.ip, machine.ready, request, 1.0)).status == 200

    async def wait_ready(self, machines, seconds: float = 20.0) -> None:
        end = time.time() + seconds
        for machine in machines:
            while not await self.is_ready(machine):
                if time.time() > end:
                    raise TimeoutError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)
            self.note(f"{machine.name}: ready")

    def end(self) -> None:
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                with suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                machine.process.wait()

    # Consumers

    async def request(
        self, machine: Machine, route: str, limit_ms: int = 2500, tokens: str = ""
    ) -> Answer:
        """Send a request as a consumer does, on a new connection."""
        self._sent += 1
        attempt = f"{self._sent:016x}"
        method = "GET" if route == "look" else "POST"
        lines = [
            f"{method} /{route}/2f HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt}",
            f"X-Request-Deadline: {limit_ms}",
            f"Authorization: Bearer {KEY}",
        ]
        if tokens:
            prompt = int(tokens.split(",")[0])
            prefix = f"5c1e07a2:40,{self._sent:08x}:{prompt - 40}"
            lines += [
                "X-Model: m",
                f"X-Token-Counts: {tokens}",
                f"X-Prompt-Prefix: {prefix}",
            ]
        body = b"" if method == "GET" else b"{}"
        if body:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        sent_at = time.time()
        self.sent[attempt] = (sent_at, machine)
        answer = await send(machine.ip, machine.front, data, limit_ms / 1000 + 0.5)
        self.answers.append((sent_at, machine, attempt, route, answer))
        self.note(
            f"{machine.name}: {route} {attempt} sent at {sent_at - self.began:.3f}, "
            f"answered {answer.status} {answer.problem}"
        )
        return answer

    async def consume(self, machines, until: float) -> None:
        """Send lookups to each machine that runs, ten a second."""
        tasks = []
        while time.time() < until:
            for machine in machines:
                if machine.process.poll() is None:
                    tasks.append(asyncio.create_task(self.request(machine, "look")))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    # What servers got

    def most_used(self, machines) -> Engine:
        """Return the registered plain server that got most requests of machines."""
        own = {name for name, (_, m) in list(self.sent.items())[-400:] if m in machines}
        servers = [
            engine
            for engine in self.engines.values()
            if engine.service == "desk-app" and engine.is_registered
        ]
        return max(servers, key=lambda s: sum(a["attempt"] in own for a in s.arrivals))

    def find_late(self, engine: Engine, gone_at: float, is_excused) -> list[str]:
        """Return the requests that a server ran over `drain-ms` after it was gone.

        :param is_excused: called with the machine and the time of sending.
        """
        late = []
        for arrival in engine.arrivals:
            if not arrival["runs"] or arrival["at"] <= gone_at + DRAIN_S:
                continue
            sent_at, machine = self.sent[arrival["attempt"]]
            excused = is_excused(machine, sent_at)
            self.note(
                f"{engine.name}: {arrival['attempt']} arrived "
                f"{arrival['at'] - gone_at:.2f} s after its entry was gone, sent to "
                f"{machine.name}{', which was not in touch' if excused else ''}"
            )
            if not excused:
                late.append(arrival["attempt"])
        return late

    def note_reads(self, topic: str, since: float) -> None:
        """Note each machine's reads of a topic."""
        for at, name, host in self.store.reads:
            if name == topic and at >= since:
                machine = next(m.name for m in self.machines if m.link.host == host)
                self.note(f"{machine} read {topic} at {at - self.began:.3f}")


def run_case(folder: str, main) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it failed.

    :param main: called with the deployment's class and whether to bring about the
        disruption; returns the deployment and the violations.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGHUP, signal.SIG_DFL)  # processes inherit an ignored one
    deployments: list[Deployment] = []

    def make(*args, **options) -> Deployment:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        deployments.append(Deployment(*args, **options))
        return deployments[-1]

    code, verdict = 2, "could not run"
    try:
        broken = asyncio.run(asyncio.wait_for(main(make, trouble), 110))
        code = 1 if broken else 0
        verdict = "; ".join(broken) if broken else "the rule held"
    except Exception as error:  # noqa: BLE001
        verdict = f"could not run: {type(error).__name__}: {error}"
    finally:
        for deployment in deployments:
            deployment.end()
            deployment.note(f"verdict: {verdict}")
            deployment.write_record(Path(folder))
    print(json.dumps({"trouble": trouble, "exit": code, "verdict": verdict}))
    sys.stdout.flush()
    os._exit(code)  # the streams of the closed loop need no clean-up

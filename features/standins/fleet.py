"""Runs real entry instances in front of stand-ins, as processes on loopback."""

import http.client
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from zlib import crc32

import orjson
from attrs import define, field, frozen

from standins.networks import reserve_network

ROOT = Path(__file__).resolve().parents[2]

METRICS_PORT = 9464
"""Port of the metrics address of each entry instance."""
VIRTUAL_HOST = "desk.example"
WORKSPACE = "owners"
START_TIMEOUT_S = 15.0

SHARED_PART = "5c1e07a2"
"""Id of the first part of every prompt."""


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free on an address now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def configuration(version: int, routes: tuple = (), keys: tuple = ("key-1",)) -> dict:
    """Return a configuration in the operator's format."""

    def route(name: str, kind: str, service: str, **overrides) -> dict:
        return {
            "name": name,
            "host": VIRTUAL_HOST,
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": 6000,
            "target-latency-ms": 300,
            "priority": 1,
            "service": service,
            "attempts": 2,
            "allow-anonymous": False,
            **overrides,
        }

    stream_options = {"sticky": True, "resumable": True, "gap-aim-ms": 200}
    return {
        "version": version,
        "routes": [
            route("chat", "stream", "llm", **stream_options),
            route("book", "unsafe", "desk", attempts=1),
            route("look", "safe", "desk"),
            *[route(name, "safe", "desk") for name in routes],
        ],
        "services": [
            {
                "name": "llm",
                "health-path": "/health",
                "max-connections": 300,
                "engine": {
                    "slots": 8,
                    "kv-tokens": 450000,
                    "stride": 46,
                    "step_ms": 0.4,
                    "per_seq_ms": 0.01,
                    "context_per_k": 0.00254,
                    "read_per_s": 256000.0,
                    "pairs_per_m": 0.0917,
                    "hop-ms": 0.1,
                },
            },
            {"name": "desk", "health-path": "/health", "max-connections": 100},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 100000,
            "header-timeout-ms": 1000,
            "idle-timeout-ms": 5000,
        },
        "tenants": [{"name": WORKSPACE, "api-keys": list(keys)}],
    }


def post(host: str, port: int, path: str, value=None, timeout: float = 5.0):
    """Send a command to a stand-in and return its JSON response."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request("POST", path, orjson.dumps(value or {}))
        return orjson.loads(connection.getresponse().read())
    finally:
        connection.close()


@define(slots=True, eq=False)
class EntryInstance:
    """One entry instance: its addresses, settings file, log file and process.

    :param front_port: port for callers.
    :param ready_port: port of the readiness check.
    :param control_port: port for queries of peers.
    :param load_digest_port: UDP port for load digests of peers.
    :param checkout: folder of the build that it runs.
    """

    name: str
    host: str
    data_centre: str
    front_port: int
    ready_port: int
    control_port: int
    load_digest_port: int
    settings_file: Path
    process: subprocess.Popen | None = None
    log: Path | None = None
    checkout: Path = ROOT

    def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            connection = http.client.HTTPConnection(
                self.host, self.ready_port, timeout=1
            )
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def counters(self) -> dict[str, int]:
        """Return the counters that it reports at its metrics address."""
        connection = http.client.HTTPConnection(self.host, METRICS_PORT, timeout=2)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        connection.close()
        pairs = re.findall(r'^briarrelay_total\{name="(.*)"\} (\d+)$', text, re.M)
        return {name: int(value) for name, value in pairs}

    def log_entries(self) -> list[dict]:
        """Return the structured entries of its log."""
        data = self.log.read_bytes() if self.log.exists() else b""
        return [orjson.loads(line) for line in data.splitlines() if line[:1] == b"{"]


@define(slots=True, eq=False)
class Fleet:
    """A store, backend servers and entry instances; kills only what it started.

    :param plain_servers: number of servers of the plain service.
    :param entries: number of entry instances.
    :param subnet: octets ``x.y`` of the loopback addresses ``127.x.y.*``; others are
        used instead while another run uses these.
    :param environment: additional variables for the entry instances.
    :param checkout: folder of the build that the entry instances run.
    :param map_address: called with a stand-in's host and port; returns the address that
        entry instances connect to instead, such as that of a proxy.
    :param limits: what the entry instances' settings say of their machine.
    :ivar _shared_ports: ports for queries and digests of peers, which are the same for
        all entry instances.
    """

    engines: int = 3
    plain_servers: int = 2
    entries: int = 2
    subnet: str = "1.0"
    seed: int = 0
    environment: dict[str, str] = field(factory=dict)
    checkout: Path = ROOT
    map_address: object = lambda host, port: (host, port)
    limits: dict[str, int] = field(factory=dict)
    folder: Path = field(init=False)
    store_address: tuple[str, int] = field(init=False)
    control_address: tuple[str, int] = field(init=False)
    instances: list[EntryInstance] = field(factory=list)
    server_names: list[str] = field(factory=list)
    processes: list[subprocess.Popen] = field(factory=list)
    _network_lock: socket.socket | None = None
    _shared_ports: tuple[int, ...] = ()

    def __enter__(self) -> "Fleet":
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        self.subnet, self._network_lock = reserve_network(self.subnet)
        try:
            self._start_all()
        except BaseException:
            self._close()
            raise
        return self

    def _start_all(self) -> None:
        self._start_stand_ins()
        self.put("keyed.op", "config", configuration(1))
        for number in range(1, self.entries + 1):
            self.instances.append(self._make_entry(number))
        for entry in self.instances:
            self.start(entry)
        self.wait(lambda: all(entry.is_ready() for entry in self.instances))

    def __exit__(self, *_) -> None:
        self._close()

    def _close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._network_lock.close()

    @property
    def _host(self) -> str:
        return f"127.{self.subnet}.1"

    def _spawn(self, name: str, *arguments: str, **environment) -> subprocess.Popen:
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        process = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={**os.environ, **environment},
        )
        log.close()
        self.processes.append(process)
        return process

    def _start_stand_ins(self) -> None:
        host = self._host
        count = self.engines + self.plain_servers
        store_port, control_port, *ports = free_ports(host, 2 + count)
        self.store_address, self.control_address = (
            (host, store_port),
            (host, control_port),
        )
        main = str(ROOT / "features" / "standins" / "main.py")
        seed = f"--seed={self.seed}"
        self._spawn("store", main, "store", host, str(store_port), seed)
        self.wait(lambda: _accepts_connections(host, store_port))
        self.server_names = [f"engine-{n}" for n in range(self.engines)]
        self.server_names += [f"desk-{n}" for n in range(self.plain_servers)]
        servers = []
        for index, (name, port) in enumerate(
            zip(self.server_names, ports, strict=True)
        ):
            service = "llm" if name.startswith("engine") else "desk"
            advertised = "{}:{}".format(*self.map_address(host, port))
            data_centre = "ab"[index % 2]
            servers.append(f"{name},{service},{port},{advertised},{data_centre}")
        arguments = (host, str(control_port), f"{host}:{store_port}", seed, *servers)
        self._spawn("servers", main, "servers", *arguments)
        self.wait(lambda: _accepts_connections(host, control_port))

    def _make_entry(self, number: int) -> EntryInstance:
        host = f"127.{self.subnet}.{10 + number}"
        name = f"entry-{number}"
        control_port, digest_port = self._shared_ports or free_ports(host, 2)
        self._shared_ports = (control_port, digest_port)
        own_ports = [p for p in free_ports(host, 4) if p not in self._shared_ports]
        front_port, ready_port = own_ports[:2]
        entry = EntryInstance(
            name=name,
            host=host,
            data_centre="ab"[number % 2],
            front_port=front_port,
            ready_port=ready_port,
            control_port=control_port,
            load_digest_port=digest_port,
            settings_file=self.folder / f"{name}.toml",
            log=self.folder / f"{name}.log",
            checkout=self.checkout,
        )
        self.write_settings(entry)
        return entry

    def write_settings(self, entry: EntryInstance, **changes) -> None:
        """Write an instance's settings file.

        :param changes: settings to change; only ``grace``, in seconds.
        """
        store = "{}:{}".format(*self.map_address(*self.store_address))
        seed_peer = self.instances[0] if self.instances else entry
        values = {"grace": 8, **changes}
        limits = "".join(f"{name} = {n}\n" for name, n in self.limits.items())
        entry.settings_file.write_text(
            f'node = "{entry.name}"\nip = "{entry.host}"\n'
            f'zone = "{entry.data_centre}"\n'
            f"internal-ports = [{entry.load_digest_port}, {entry.load_digest_port}]\n"
            f'seeds = ["{seed_peer.host}:{seed_peer.control_port}"]\n'
            f'[listen]\nfront = "{entry.host}:{entry.front_port}"\n'
            f'ready = "{entry.host}:{entry.ready_port}"\n'
            f'control = "{entry.host}:{entry.control_port}"\n'
            f"[bounds]\ngrace-s = {values['grace']}\nfree-ms = 4000\n"
            f'[platform]\naddress = "{store}"\nparts = 4\nrecord-bytes = 262144\n'
            f"[limits]\n{limits}",
            encoding="utf-8",
        )

    def start(self, entry: EntryInstance) -> None:
        """Start an instance's process."""
        entry.process = self._spawn(
            entry.name,
            str(entry.checkout / "platform" / "start.py"),
            BRIARRELAY_BOOT=str(entry.settings_file),
            **self.environment,
        )

    def put(self, topic: str, key: str, value) -> None:
        """Write a keyed record to the store, as the operator or a server does."""
        post(
            *self.store_address,
            "/standin/put",
            {"topic": topic, "key": key, "value": value},
        )

    def send_command(self, command: str, server: str, **fields):
        """Send a command to the stand-in of a backend server."""
        return post(
            *self.control_address, f"/standin/{command}", {"server": server, **fields}
        )

    def arrivals_when_limited(self, server: str, learning_s: float) -> list[float]:
        """Return the times at which requests arrived at a server that names a limit.

        :param learning_s: seconds after its first response that named the limit from
            which requests are returned.
        """
        seen = self.send_command("arrivals", server)
        if seen["limited_at"] is None:
            return []
        return [t for t in seen["arrivals"] if t >= seen["limited_at"] + learning_s]

    def crash_on(
        self,
        *parts: str,
        after_events: int | dict[str, int] = 0,
        requests: tuple["CrashRequest", ...] = (),
    ) -> None:
        """Let engines crash on prompts with such a part, and servers on whole requests.

        An engine crashes when it begins to write, a plain server a moment after it
        began to run the request. Without parts and requests they no longer crash.

        :param after_events: events that an engine writes before it crashes on a part;
            for all parts, or by part if it is not 0.
        """
        counts = after_events
        if not isinstance(counts, dict):
            counts = dict.fromkeys(parts, counts)
        command = {
            "parts": {part: counts.get(part, 0) for part in parts},
            "requests": [(r.path, r.workspace, r.body.decode()) for r in requests],
        }
        post(*self.control_address, "/standin/crashes", command)

    def crashes(self) -> list[dict]:
        """Return the crashes of servers, in order."""
        return post(*self.control_address, "/standin/crashes")

    def runs(self) -> list[dict]:
        """Return the requests that backend servers ran, in order."""
        return post(*self.control_address, "/standin/runs")

    def wait(self, condition, seconds: float = START_TIMEOUT_S) -> None:
        """Wait until ``condition()`` is true.

        :raises TimeoutError: if it is still false after ``seconds``.
        """
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(
                    f"condition not met within {seconds} s; logs in {self.folder}"
                )
            time.sleep(0.05)


def _accepts_connections(host: str, port: int) -> bool:
    try:
        socket.create_connection((host, port), timeout=1).close()
    except OSError:
        return False
    return True


@frozen(slots=True)
class CrashRequest:
    """A request on which each server crashes that begins to run it.

    :param workspace: the caller's.
    """

    path: str
    body: bytes = b""
    workspace: str = WORKSPACE


@define(slots=True)
class Response:
    """A response as its caller received it.

    :param status: 0 if the connection ended without a response.
    :param is_complete: whether the body is complete by its framing.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


def make_prompt_prefix(
    attempt: str, prompt_tokens: int, middle: tuple[str, ...] = ()
) -> str:
    """Return the parts of a prompt: one that all share, ``middle``, and its own."""
    own = f"{crc32(attempt.encode()):08x}"
    ids = (SHARED_PART, *middle, own)
    size = prompt_tokens // len(ids)
    sizes = [size] * (len(ids) - 1) + [prompt_tokens - size * (len(ids) - 1)]
    return ",".join(f"{part}:{size}" for part, size in zip(ids, sizes, strict=True))


def call(
    entry: EntryInstance,
    path: str,
    attempt: str,
    *,
    tokens: str = "",
    middle_parts: tuple[str, ...] = (),
    key: str = "key-1",
    deadline_ms: int = 5000,
    method: str = "POST",
    body: bytes = b"x",
    extra_headers: dict | None = None,
) -> Response:
    """Send a request as a caller does and read its response.

    Headers in ``extra_headers`` are added to the defaults or replace them.

    :param tokens: prompt and output tokens, by comma; set for streams only.
    :param middle_parts: ids of prompt parts between the shared one and the last.
    """
    prompt_headers = {}
    if tokens:
        size = int(tokens.split(",")[0])
        prefix = make_prompt_prefix(attempt, size, middle_parts)
        prompt_headers = {"X-Token-Counts": tokens, "X-Prompt-Prefix": prefix}
    headers = {
        "Host": VIRTUAL_HOST,
        "X-Attempt-Id": attempt,
        "X-Request-Deadline": str(deadline_ms),
        "Authorization": f"Bearer {key}",
        **prompt_headers,
        **(extra_headers or {}),
    }
    connection = http.client.HTTPConnection(
        entry.host, entry.front_port, timeout=deadline_ms / 1000 + 2
    )
    received = bytearray()
    status, response_headers = 0, {}
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        status = response.status
        response_headers = {n.lower(): v for n, v in response.getheaders()}
        while chunk := response.read1(65_536):
            received += chunk
        is_complete = response.length in (None, 0)
    except (OSError, http.client.HTTPException) as error:
        received += getattr(error, "partial", b"")
        is_complete = False
    finally:
        connection.close()
    return Response(status, response_headers, bytes(received), is_complete)


def event_ids(response: Response) -> list[int]:
    """Return the ids of a stream's events, in order of arrival."""
    lines = response.body.split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]

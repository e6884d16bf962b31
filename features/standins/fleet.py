"""Real entry instances before stand-ins, as processes on loopback."""

import http.client
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import orjson
from attrs import define, field

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
START_S = 15.0


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of an address that nobody uses now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def configuration(version: int, routes: tuple = (), keys: tuple = ("key-1",)) -> dict:
    """Return a configuration in the operator's format."""

    def route(name: str, kind: str, service: str, **more) -> dict:
        return {
            "name": name,
            "host": HOST,
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": 6000,
            "target-latency-ms": 300,
            "priority": 1,
            "service": service,
            "attempts": 2,
            "allow-anonymous": False,
            **more,
        }

    stream = {"sticky": True, "resumable": True, "gap-aim-ms": 200}
    return {
        "version": version,
        "routes": [
            route("chat", "stream", "llm", **stream),
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
        "tenants": [{"name": "owners", "api-keys": list(keys)}],
    }


def post(host: str, port: int, path: str, value=None, timeout: float = 5.0):
    """Send an order to a stand-in and return its JSON answer."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request("POST", path, orjson.dumps(value or {}))
        return orjson.loads(connection.getresponse().read())
    finally:
        connection.close()


@define(slots=True, eq=False)
class Entry:
    """One entry instance: its addresses and its process."""

    name: str
    host: str
    data_centre: str
    front: int
    ready: int
    control: int
    digests: int
    settings: Path
    process: subprocess.Popen | None = None
    log: Path | None = None

    def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        try:
            connection = http.client.HTTPConnection(self.host, self.ready, timeout=1)
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def lines(self) -> list[dict]:
        """Return the lines of its log."""
        text = self.log.read_bytes() if self.log.exists() else b""
        return [orjson.loads(line) for line in text.splitlines() if line[:1] == b"{"]


@define(slots=True, eq=False)
class Fleet:
    """A store, backend servers and entry instances; ends just what it started.

    :param base: second and third number of the loopback addresses, ``127.base.*``.
    :param environment: more variables for the entry instances.
    :param through: host and port that entry instances see for a stand-in's own, for
        proxies; called with a host and a port.
    """

    engines: int = 3
    desks: int = 2
    entries: int = 2
    base: str = "1.0"
    seed: int = 0
    environment: dict[str, str] = field(factory=dict)
    through: object = lambda host, port: (host, port)
    folder: Path = field(init=False)
    store: tuple[str, int] = field(init=False)
    control: tuple[str, int] = field(init=False)
    instances: list[Entry] = field(factory=list)
    names: list[str] = field(factory=list)
    processes: list[subprocess.Popen] = field(factory=list)

    def __enter__(self) -> "Fleet":
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        try:
            self._begin()
        except BaseException:
            self._close()
            raise
        return self

    def _begin(self) -> None:
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

    @property
    def _host(self) -> str:
        return f"127.{self.base}.1"

    def _spawn(self, name: str, *words: str, **environment) -> subprocess.Popen:
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        process = subprocess.Popen(
            [sys.executable, *words],
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
        count = self.engines + self.desks
        store, control, *ports = free_ports(host, 2 + count)
        self.store, self.control = (host, store), (host, control)
        main = str(ROOT / "features" / "standins" / "main.py")
        seed = f"--seed={self.seed}"
        self._spawn("store", main, "store", host, str(store), seed)
        self.wait(lambda: _answers(host, store))
        self.names = [f"engine-{n}" for n in range(self.engines)]
        self.names += [f"desk-{n}" for n in range(self.desks)]
        servers = []
        for index, (name, port) in enumerate(zip(self.names, ports, strict=True)):
            service = "llm" if name.startswith("engine") else "desk"
            seen = "{}:{}".format(*self.through(host, port))
            centre = "ab"[index % 2]
            servers.append(f"{name},{service},{port},{seen},{centre}")
        words = (host, str(control), f"{host}:{store}", seed, *servers)
        self._spawn("servers", main, "servers", *words)
        self.wait(lambda: _answers(host, control))

    def _make_entry(self, number: int) -> Entry:
        host = f"127.{self.base}.{10 + number}"
        front, ready, control, digests = free_ports(host, 4)
        name = f"entry-{number}"
        first = self.instances[0] if self.instances else None
        entry = Entry(
            name=name,
            host=host,
            data_centre="ab"[number % 2],
            front=front,
            ready=ready,
            control=first.control if first else control,
            digests=first.digests if first else digests,
            settings=self.folder / f"{name}.toml",
            log=self.folder / f"{name}.log",
        )
        self.write_settings(entry)
        return entry

    def write_settings(self, entry: Entry, **changes) -> None:
        """Write an instance's settings file."""
        store = "{}:{}".format(*self.through(*self.store))
        seed = self.instances[0] if self.instances else entry
        given = {"grace": 8, **changes}
        entry.settings.write_text(
            f'node = "{entry.name}"\nip = "{entry.host}"\n'
            f'zone = "{entry.data_centre}"\n'
            f"internal-ports = [{entry.digests}, {entry.digests}]\n"
            f'seeds = ["{seed.host}:{seed.control}"]\n'
            f'[listen]\nfront = "{entry.host}:{entry.front}"\n'
            f'ready = "{entry.host}:{entry.ready}"\n'
            f'control = "{entry.host}:{entry.control}"\n'
            f"[bounds]\ngrace-s = {given['grace']}\nfree-ms = 4000\n"
            f'[platform]\naddress = "{store}"\nparts = 4\nrecord-bytes = 262144\n',
            encoding="utf-8",
        )

    def start(self, entry: Entry) -> None:
        """Start an instance's process."""
        entry.process = self._spawn(
            entry.name,
            str(ROOT / "platform" / "start.py"),
            BRIARRELAY_BOOT=str(entry.settings),
            **self.environment,
        )

    def put(self, topic: str, key: str, value) -> None:
        """Write a record as the operator or a server does."""
        post(*self.store, "/standin/put", {"topic": topic, "key": key, "value": value})

    def order(self, what: str, server: str, **more):
        """Tell a backend server what to do."""
        return post(*self.control, f"/standin/{what}", {"server": server, **more})

    def runs(self) -> list[dict]:
        """Return what backend servers ran."""
        return post(*self.control, "/standin/runs")

    def wait(self, is_so, seconds: float = START_S) -> None:
        """Wait until something is so."""
        end = time.monotonic() + seconds
        while not is_so():
            if time.monotonic() > end:
                raise TimeoutError(f"not so within {seconds} s; logs in {self.folder}")
            time.sleep(0.05)


def _answers(host: str, port: int) -> bool:
    try:
        socket.create_connection((host, port), timeout=1).close()
    except OSError:
        return False
    return True


@define(slots=True)
class Answer:
    """What a caller got.

    :param status: 0 if the connection ended without an answer.
    :param is_whole: the answer ended as its framing says.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


def call(
    entry: Entry,
    path: str,
    attempt: str,
    *,
    tokens: str = "",
    key: str = "key-1",
    deadline_ms: int = 5000,
    method: str = "POST",
    body: bytes = b"x",
    more: dict | None = None,
) -> Answer:
    """Send a request as a caller does and read its answer."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Request-Deadline": str(deadline_ms),
        "Authorization": f"Bearer {key}",
        **({"X-Token-Counts": tokens} if tokens else {}),
        **(more or {}),
    }
    connection = http.client.HTTPConnection(
        entry.host, entry.front, timeout=deadline_ms / 1000 + 2
    )
    got = bytearray()
    status, names = 0, {}
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        status = response.status
        names = {n.lower(): v for n, v in response.getheaders()}
        while part := response.read1(65_536):
            got += part
        is_whole = response.length in (None, 0)
    except (OSError, http.client.HTTPException) as error:
        got += getattr(error, "partial", b"")
        is_whole = False
    finally:
        connection.close()
    return Answer(status, names, bytes(got), is_whole)


def event_ids(answer: Answer) -> list[int]:
    """Return the ids of a stream's events."""
    lines = answer.body.split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]

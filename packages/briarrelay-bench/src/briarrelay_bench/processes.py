"""Starts daemons and stand-ins as processes on loopback, and stops them."""

import json
import socket
import subprocess
import sys
import tempfile
from http.client import HTTPConnection
from pathlib import Path
from time import monotonic, sleep, time

from attrs import define, field

from briarrelay_core.agreement.changes import CONFIG_STREAM, ChangeKind, ChangeRecord
from briarrelay_core.agreement.configuration import hash_key

__all__ = ["OPERATOR_KEY", "Cluster", "Process", "free_port"]

HOST = "127.0.0.1"
OPERATOR_KEY = "operator-key"

START_TIMEOUT_S = 12.0
"""Longest time until a started process is ready, in seconds."""

STOP_TIMEOUT_S = 20.0
"""Longest time until a signalled process exits, in seconds."""


def free_port() -> int:
    """Return a free port on loopback."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


@define(slots=True, eq=False)
class Process:
    """A process started by this program.

    :param popen: the process, None for a daemon that was not started.
    :param port: port on which it listens for HTTP.
    :param peer_port: port on which a daemon listens for peers, 0 for stand-ins.
    """

    name: str
    popen: subprocess.Popen
    port: int
    peer_port: int = 0

    def call(self, method: str, path: str, value=None, timeout: float = 10.0):
        """Make an HTTP call; return the status and the decoded JSON."""
        connection = HTTPConnection(HOST, self.port, timeout=timeout)
        try:
            body = None if value is None else json.dumps(value)
            headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            raw = response.read()
            return response.status, json.loads(raw) if raw else None
        finally:
            connection.close()

    def set_faults(self, **faults: float) -> None:
        """Set faults of a stand-in, by name."""
        self.call("PUT", "/faults", faults)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.popen.kill()
        self.popen.wait()

    def wait(self) -> int:
        """Wait for the process to exit; return its exit code."""
        return self.popen.wait(STOP_TIMEOUT_S)


@define(slots=True, eq=False)
class Cluster:
    """Stand-ins and daemons of one data centre, for a demo or a test.

    :param log_dir: directory of log and settings files.
    :param daemon_settings: further settings of each daemon.
    :ivar engines_without_fencing: engines that do not check fencing tokens.
    :ivar leaving: processes listed as leaving.
    """

    data_centre: str = "dc1"
    log_dir: Path = field(factory=lambda: Path(tempfile.mkdtemp(prefix="briarrelay-")))
    daemon_settings: dict = field(factory=dict)
    platform: Process | None = None
    engines: dict[str, Process] = field(factory=dict)
    services: dict[str, Process] = field(factory=dict)
    daemons: dict[str, Process] = field(factory=dict)
    engines_without_fencing: set[str] = field(factory=set)
    leaving: set[str] = field(factory=set)
    _start_count: int = 0

    def __enter__(self) -> "Cluster":
        return self

    def __exit__(self, *_) -> None:
        processes = [*self.daemons.values(), *self.services.values()]
        processes += [*self.engines.values(), self.platform]
        for process in processes:
            if process is not None and process.popen.poll() is None:
                process.kill()

    def start_platform(self, list_lag: float = 0.2) -> Process:
        """Start the platform stand-in."""
        arguments = ["platform", "--port", "0", "--list-lag", str(list_lag)]
        self.platform = self._start_stand_in("platform", arguments)
        return self.platform

    def start_engine(self, name: str, *arguments: str) -> Process:
        """Start an engine stand-in; `publish_instance_list` then lists it."""
        if "--ignores-fencing" in arguments:
            self.engines_without_fencing.add(name)
        command = ["engine", "--port", "0", "--name", name, *arguments]
        self.engines[name] = self._start_stand_in(name, command)
        return self.engines[name]

    def start_service(self, name: str) -> Process:
        """Start a plain service stand-in; `publish_instance_list` then lists it."""
        command = ["service", "--port", "0", "--name", name]
        self.services[name] = self._start_stand_in(name, command)
        return self.services[name]

    def _start_stand_in(self, name: str, arguments: list[str]) -> Process:
        command = [sys.executable, "-m", "briarrelay_bench.stand_in_main", *arguments]
        popen = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=self._open_log_file(name),
            text=True,
        )
        port = int(popen.stdout.readline().split()[1])
        return Process(name, popen, port)

    def _open_log_file(self, name: str):
        return (self.log_dir / f"{name}.log").open("a")

    def prepare_daemon(self, name: str) -> Process:
        """Choose the ports of a daemon without starting it."""
        self.daemons[name] = Process(name, None, free_port(), free_port())
        return self.daemons[name]

    def _write_settings(self, name: str) -> None:
        daemon = self.daemons[name]
        address = lambda port: {"host": HOST, "port": port}
        seeds = [
            {
                "name": other.name,
                "data_centre": self.data_centre,
                "address": address(other.peer_port),
            }
            for other in self.daemons.values()
            if other is not daemon
        ]
        platform = address(self.platform.port)
        settings = {
            "name": name,
            "data_centre": self.data_centre,
            "listen": address(daemon.port),
            "peer_listen": address(daemon.peer_port),
            "log": platform,
            "instance_list": platform,
            "weight_store": platform,
            "seed_peers": seeds,
            "operator_key_hash": hash_key(OPERATOR_KEY),
            **self.daemon_settings,
        }
        self.settings_path(name).write_text(json.dumps(settings, indent=2))

    def settings_path(self, name: str) -> Path:
        """Return the path of a daemon's settings file."""
        return self.log_dir / f"{name}.jsonc"

    def start_daemon(self, name: str, wait: bool = True) -> Process:
        """Start a daemon, or restart one that has exited."""
        if name not in self.daemons:
            self.prepare_daemon(name)
        daemon = self.daemons[name]
        self._write_settings(name)
        command = [
            sys.executable,
            "-m",
            "briarrelay_daemon.main",
            "--settings",
            str(self.settings_path(name)),
        ]
        daemon.popen = subprocess.Popen(command, stderr=self._open_log_file(name))
        self._start_count += 1
        if wait:
            self.wait_ready(name)
        return daemon

    def start_daemons(self, names: list[str], configuration: dict) -> None:
        """Start daemons as peers of each other, with an initial configuration."""
        for name in names:
            self.prepare_daemon(name)
        self.publish_instance_list()
        self.publish_initial_configuration(configuration)
        for name in names:
            self.start_daemon(name, wait=False)
        for name in names:
            self.wait_ready(name)

    def publish_initial_configuration(self, configuration: dict) -> None:
        """Append an initial configuration to the log."""
        change = ChangeRecord(
            id="first",
            kind=ChangeKind.PATCH,
            author="bench",
            base=0,
            at=time(),
            patch=configuration,
        )
        path = f"/v1/streams/{CONFIG_STREAM}"
        self.platform.call("POST", path, {"records": [change.to_json()]})

    def publish_instance_list(self) -> None:
        """Publish all current processes as the platform's instance list."""
        entries = [
            *[self._list_entry(p, "engine") for p in self.engines.values()],
            *[self._list_entry(p, "service") for p in self.services.values()],
            *[self._list_entry(p, "entry") for p in self.daemons.values()],
        ]
        self.platform.call("PUT", "/v1/instances", {"instances": entries})

    def _list_entry(self, process: Process, kind: str) -> dict:
        return {
            "name": process.name,
            "incarnation": 1,
            "kind": kind,
            "data_centre": self.data_centre,
            "host": HOST,
            "port": process.peer_port or process.port,
            "state": "leaving" if process.name in self.leaving else "live",
            "checks_fencing": process.name not in self.engines_without_fencing,
            "service": "booking" if kind == "service" else "",
        }

    def wait_ready(self, name: str) -> None:
        """Wait until a daemon reports that it is ready."""
        self.wait_until(lambda: self._is_ready(name), f"{name} is ready")

    def _is_ready(self, name: str) -> bool:
        try:
            return self.daemons[name].call("GET", "/readyz")[0] == 200
        except OSError:
            return False

    def wait_until(
        self, condition, description: str, timeout: float = START_TIMEOUT_S
    ) -> None:
        """Wait until a condition holds.

        :raises TimeoutError: if it does not hold in time.
        """
        end = monotonic() + timeout
        while not condition():
            if monotonic() > end:
                raise TimeoutError(
                    f"timed out after {timeout} s waiting until {description}; "
                    f"see {self.log_dir}"
                )
            sleep(0.05)

    def write_ctl_settings(self) -> Path:
        """Write the settings of briarrelayctl; return the path of the file."""
        address = lambda p: {"host": HOST, "port": p}
        settings = {
            "log": address(self.platform.port),
            "instances": [address(p.port) for p in self.daemons.values()],
            "operator_key": OPERATOR_KEY,
            "author": "demo",
        }
        path = self.log_dir / "ctl.jsonc"
        path.write_text(json.dumps(settings, indent=2))
        return path

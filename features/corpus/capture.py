"""Captures samples of what passes at every edge, into the folder of this file.

Usage:
  capture.py
"""

import http.client
import socket
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from soak.proxy import Pair, Proxy  # noqa: E402
from standins.fleet import HOST, Entry, Fleet, free_ports  # noqa: E402

from briarrelay_core.ports.digest import LoadDigest  # noqa: E402
from briarrelay_core.ports.directory import PeerAddress  # noqa: E402
from briarrelay_daemon.digestcodec import encode_digest  # noqa: E402

MOST_BYTES = 6_000
"""Longest sample; more of the same adds nothing."""


class RecordingProxy(Proxy):
    """Keeps what passes, by connection and direction."""

    def __init__(self, target: tuple[str, int], seed: int = 0):
        self.passed: dict[tuple[int, str], bytearray] = {}
        super().__init__(target, seed)

    def _read(self, pair: Pair, direction: str) -> None:
        before = len(pair.waiting)
        super()._read(pair, direction)
        for _, _, data in pair.waiting[before:]:
            self.passed.setdefault((id(pair), direction), bytearray()).extend(data)

    def samples(self, direction: str) -> list[bytes]:
        """Return what passed one way, by connection."""
        return [bytes(v) for (_, way), v in self.passed.items() if way == direction]


REQUESTS = (
    "POST /chat/x HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: c1\r\n"
    "X-Token-Counts: 900,6\r\nX-Request-Deadline: 5000\r\n"
    "Authorization: Bearer key-1\r\nContent-Length: 2\r\n\r\nhi",
    "POST /book/x HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: c2\r\n"
    "Authorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
    "GET /look/x?a=b HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: c3\r\n"
    "Authorization: Bearer key-1\r\n\r\n",
    "GET /none/x HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: c4\r\n\r\n",
)


def _ask(address: tuple[str, int], text: str) -> None:
    with socket.create_connection(address, timeout=3) as sock:
        sock.sendall(text.format(host=HOST).encode())
        sock.settimeout(1.0)
        try:
            while sock.recv(65_536):
                pass
        except TimeoutError:
            return  # the connection is kept open for a further request


def _hear_digest(entry: Entry) -> bytes:
    """Pretend to be a peer; return a digest that the instance sends to it."""
    host = entry.host.rpartition(".")[0] + ".99"
    (port,) = free_ports(host, 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, port))
    sock.settimeout(5.0)
    me = PeerAddress(name="peer", host=host, question_port=1, digest_port=port)
    hello = LoadDigest(sender=me, incarnation=1, number=1, version=0)
    sock.sendto(encode_digest(hello), (entry.host, entry.digests))
    with sock:
        return sock.recv(65_536)


def _knowledge(entry: Entry) -> bytes:
    connection = http.client.HTTPConnection(entry.host, entry.control, timeout=3)
    connection.request("GET", "/peer/knowledge")
    return connection.getresponse().read()


def _keep(edge: str, samples: list[bytes]) -> None:
    distinct = dict.fromkeys(sample[:MOST_BYTES] for sample in samples if sample)
    for number, sample in enumerate(distinct):
        (HERE / f"{edge}-{number}.bin").write_bytes(sample)


def main() -> None:
    """Run a fleet through proxies and keep what passes."""
    store, servers = [], []

    def through(host: str, port: int) -> tuple[str, int]:
        proxy = RecordingProxy((host, port))
        (servers if len(servers) < 3 else store).append(proxy)
        return proxy.address

    with Fleet(engines=2, desks=1, entries=1, base="1.9", through=through) as fleet:
        entry = fleet.instances[0]
        front = RecordingProxy((entry.host, entry.front))
        for request in REQUESTS:
            _ask(front.address, request)
        _keep("peer", [_hear_digest(entry)])
        _keep("knowledge", [_knowledge(entry)])
        _keep("settings", [entry.settings.read_bytes()])
        time.sleep(6.0)
        _keep("caller", front.samples("up"))
        _keep("engine", [s for proxy in servers for s in proxy.samples("down")])
        _keep("store", [s for proxy in store for s in proxy.samples("down")])
    for proxy in (*store, *servers, front):
        proxy.close()


if __name__ == "__main__":
    main()

"""Captures sample bytes of every external interface into the folder of this file.

Usage:
  capture.py
"""

import http.client
import socket
import sys
import time
from pathlib import Path

CORPUS = Path(__file__).resolve().parent
sys.path.insert(0, str(CORPUS.parent))

from standins.fleet import VIRTUAL_HOST, EntryInstance, Fleet, free_ports  # noqa: E402
from standins.proxy import Proxy, SocketPair  # noqa: E402

from briarrelay_core.ports.digest import LoadDigest  # noqa: E402
from briarrelay_core.ports.directory import PeerAddress  # noqa: E402
from briarrelay_daemon.digestcodec import encode_digest  # noqa: E402

MAX_SAMPLE_BYTES = 6_000
"""Length at which samples are truncated; more of the same bytes adds nothing."""


class RecordingProxy(Proxy):
    """Records the relayed bytes by connection and direction."""

    def __init__(self, target: tuple[str, int], seed: int = 0):
        self.relayed: dict[tuple[int, str], bytearray] = {}
        super().__init__(target, seed)

    def _read(self, pair: SocketPair, direction: str) -> None:
        before = len(pair.queued)
        super()._read(pair, direction)
        for _, _, data in pair.queued[before:]:
            self.relayed.setdefault((id(pair), direction), bytearray()).extend(data)

    def samples(self, direction: str) -> list[bytes]:
        """Return the bytes relayed in one direction, by connection."""
        return [bytes(v) for (_, way), v in self.relayed.items() if way == direction]


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


def _send_request(address: tuple[str, int], text: str) -> None:
    """Send a request of a caller and read its response."""
    with socket.create_connection(address, timeout=3) as sock:
        sock.sendall(text.format(host=VIRTUAL_HOST).encode())
        sock.settimeout(1.0)
        try:
            while sock.recv(65_536):
                pass
        except TimeoutError:
            return  # the connection is kept open for a further request


def _receive_digest(entry: EntryInstance) -> bytes:
    """Send a digest as a peer does; return a digest that the instance sends back."""
    host = entry.host.rpartition(".")[0] + ".99"
    (port,) = free_ports(host, 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((host, port))
    sock.settimeout(5.0)
    peer = PeerAddress(name="peer", host=host, question_port=1, digest_port=port)
    digest = LoadDigest(sender=peer, incarnation=1, number=1, version=0)
    sock.sendto(encode_digest(digest), (entry.host, entry.load_digest_port))
    with sock:
        return sock.recv(65_536)


def _read_peer_state(entry: EntryInstance) -> bytes:
    connection = http.client.HTTPConnection(entry.host, entry.control_port, timeout=3)
    connection.request("GET", "/peer/knowledge")
    return connection.getresponse().read()


def _write_samples(interface: str, samples: list[bytes]) -> None:
    """Write the distinct samples of an interface, numbered from 0."""
    distinct = dict.fromkeys(sample[:MAX_SAMPLE_BYTES] for sample in samples if sample)
    for number, sample in enumerate(distinct):
        (CORPUS / f"{interface}-{number}.bin").write_bytes(sample)


def main() -> None:
    """Run a fleet behind recording proxies and write the samples."""
    store_proxies, server_proxies = [], []

    def through(host: str, port: int) -> tuple[str, int]:
        proxy = RecordingProxy((host, port))
        (server_proxies if len(server_proxies) < 3 else store_proxies).append(proxy)
        return proxy.address

    with Fleet(
        engines=2, plain_servers=1, entries=1, subnet="1.9", map_address=through
    ) as fleet:
        entry = fleet.instances[0]
        front = RecordingProxy((entry.host, entry.front_port))
        for request in REQUESTS:
            _send_request(front.address, request)
        _write_samples("peer", [_receive_digest(entry)])
        _write_samples("knowledge", [_read_peer_state(entry)])
        _write_samples("settings", [entry.settings_file.read_bytes()])
        time.sleep(6.0)
        _write_samples("caller", front.samples("up"))
        _write_samples(
            "engine", [s for proxy in server_proxies for s in proxy.samples("down")]
        )
        _write_samples(
            "store", [s for proxy in store_proxies for s in proxy.samples("down")]
        )
    for proxy in (*store_proxies, *server_proxies, front):
        proxy.close()


if __name__ == "__main__":
    main()

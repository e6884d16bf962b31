"""Callers that do not behave: many connections that send what ties up a process."""

import os
import selectors
import socket
import time
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

from attrs import define, field

__all__ = [
    "Crowd",
    "announced_body",
    "chunked_body",
    "peak_memory_bytes",
    "pieces",
    "socket_count",
]

SEND_BYTES = 65_536
"""Most bytes sent on one connection before the others have their turn."""

STALL_S = 3.0
"""Seconds without progress on any connection after which the crowd has sent all that
the process takes."""

CONNECT_TIMEOUT_S = 5.0


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident memory that a process has had so far, in bytes."""
    return _read_status_kb(pid, "VmHWM") * 1_024


def _read_status_kb(pid: int, name: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    raise LookupError(f"{name} is missing in the status of process {pid}")


def socket_count(pid: int) -> int:
    """Return the number of sockets that a process has open."""
    folder = Path(f"/proc/{pid}/fd")
    links = []
    for entry in folder.iterdir():
        try:
            links.append(os.readlink(entry))
        except FileNotFoundError:
            continue  # closed meanwhile
    return sum(link.startswith("socket:") for link in links)


def announced_body(head: bytes, size: int, missing: int = 1) -> Iterator[bytes]:
    """Return a request whose body has a length, without its last bytes.

    :param head: request line and headers, each with its line end.
    """
    yield head + b"Content-Length: %d\r\n\r\n" % size
    yield bytes(size - missing)


def chunked_body(head: bytes, size: int, chunk_bytes: int) -> Iterator[bytes]:
    """Return a request with a body of equal chunks, without the last chunk."""
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    per_piece = max(1, SEND_BYTES // len(chunk))
    for first in range(0, size // chunk_bytes, per_piece):
        yield chunk * min(per_piece, size // chunk_bytes - first)


def pieces(data: Iterable[bytes], count: int) -> Iterator[bytes]:
    """Return the same bytes in a number of pieces."""
    whole = b"".join(data)
    size = -(-len(whole) // count)
    for start in range(0, len(whole), size):
        yield whole[start : start + size]


@define(slots=True, eq=False)
class _Client:
    """One connection of a crowd.

    :param unsent: rest of the piece that is being sent.
    :param reads: whether it reads what the process sends.
    """

    sock: socket.socket
    rest: Iterator[bytes]
    reads: bool
    unsent: memoryview = memoryview(b"")
    is_open: bool = True
    received: bytearray = field(factory=bytearray)

    def send(self) -> bool:
        """Send some bytes; return whether any were sent."""
        if not self.unsent:
            self.unsent = memoryview(next(self.rest, b""))
        if not self.unsent:
            return False
        try:
            count = self.sock.send(self.unsent[:SEND_BYTES])
        except BlockingIOError:
            return False
        except OSError:
            self.close()
            return False
        self.unsent = self.unsent[count:]
        return True

    def read(self) -> None:
        """Read what the process has sent; close if it has closed."""
        try:
            data = self.sock.recv(SEND_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
        elif len(self.received) < SEND_BYTES:
            self.received += data

    def close(self) -> None:
        """Close the connection; nothing more is sent."""
        self.is_open = False
        self.rest = iter(())
        self.unsent = memoryview(b"")
        self.sock.close()


class Crowd:
    """Connections to one address, which stay open after all has been sent.

    :param make_request: returns the bytes that each connection sends, piece by piece;
        each connection sends a piece in its turn.
    :param watch: called between turns, for instance to look at the process.
    :param reads: whether the connections read what the process sends.
    :param returns: how often each connection that the process has closed is opened
        and begun again.
    """

    def __init__(
        self,
        address: tuple[str, int],
        connections: int,
        make_request: Callable[[], Iterable[bytes]],
        watch: Callable[[], None] = lambda: None,
        reads: bool = True,
        returns: int = 0,
    ):
        self._address = address
        self._make_request = make_request
        self._watch = watch
        self._reads = reads
        self._left_returns = returns * connections
        self._clients = [self._connect() for _ in range(connections)]

    def __enter__(self) -> "Crowd":
        return self

    def __exit__(self, *_) -> None:
        for client in self._clients:
            client.close()

    @property
    def open_connections(self) -> int:
        """Number of connections that the process has not closed."""
        return sum(client.is_open for client in self._clients)

    @property
    def responses(self) -> list[bytes]:
        """What each connection has received, up to some bytes."""
        return [bytes(client.received) for client in self._clients if client.received]

    def _connect(self) -> _Client:
        sock = socket.socket()
        sock.settimeout(CONNECT_TIMEOUT_S)
        rest = iter(self._make_request())
        try:
            sock.connect(self._address)
        except OSError:
            client = _Client(sock, rest, self._reads)
            client.close()
            return client
        sock.setblocking(False)
        return _Client(sock, rest, self._reads)

    def send_all(self) -> "Crowd":
        """Send until all is sent, or the process takes nothing more for some time."""
        progress_at = time.monotonic()
        while time.monotonic() - progress_at < STALL_S:
            self._watch()
            self._read_ready()
            has_sent = [client.send() for client in self._clients if client.is_open]
            if any(has_sent) or self._reopen():
                progress_at = time.monotonic()
            else:
                time.sleep(0.01)
        return self

    def _read_ready(self) -> None:
        with selectors.DefaultSelector() as selector:
            for client in self._clients:
                if client.is_open and client.reads:
                    selector.register(client.sock, selectors.EVENT_READ, client)
            for key, _ in selector.select(0) if selector.get_map() else ():
                key.data.read()

    def _reopen(self) -> bool:
        closed = [i for i, client in enumerate(self._clients) if not client.is_open]
        for index in closed[: self._left_returns]:
            self._clients[index] = self._connect()
        self._left_returns -= min(self._left_returns, len(closed))
        return bool(closed) and self._left_returns > 0

"""A loopback proxy that delays, resets or stalls connections, one way or both."""

import random
import selectors
import socket
import threading
import time
from contextlib import suppress

from attrs import define, field

READ_BYTES = 65_536
POLL_TIMEOUT_S = 0.01
HOST_NUMBER = 2
"""Last octet of the loopback addresses of proxies."""

PROBE_INTERVAL_S = 0.05
"""Seconds between attempts to reach a target that refused a connection."""


@define(slots=True, eq=False)
class SocketPair:
    """The two sockets of one proxied connection.

    :param caller_host: address from which the caller connected.
    :param stalled: directions that are no longer read: ``up`` from the caller,
        ``down`` from the server.
    :param queued: data held back, as due time, direction and bytes; empty bytes end
        the connection in order, and None resets it.
    """

    caller: socket.socket
    server: socket.socket
    caller_host: str
    stalled: set[str] = field(factory=set)
    queued: list = field(factory=list)


class Proxy:
    """Forwards connections to one address; another thread may set faults.

    It refuses connections while its target does.

    :ivar delay_s: seconds by which data is delayed in each direction.
    :ivar refuses: whether new connections are reset.
    """

    def __init__(self, target: tuple[str, int], seed: int):
        self.target = target
        self.random = random.Random(seed)
        self.delay_s = 0.0
        self.refuses = False
        self._pairs: list[SocketPair] = []
        self._lock = threading.Lock()
        self._listener: socket.socket | None = None
        self._probe_at = 0.0
        # On the target's host it could take a port that is kept for another stand-in.
        self._address = (f"{target[0].rpartition('.')[0]}.{HOST_NUMBER}", 0)
        self._listen()
        self._address = self._listener.getsockname()
        self._is_closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def address(self) -> tuple[str, int]:
        """Address to connect to instead of the target."""
        return self._address

    def _listen(self) -> None:
        self._listener = socket.create_server(self._address)
        self._listener.setblocking(False)

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _probe(self) -> None:
        """Listen again once the target accepts connections."""
        now = time.monotonic()
        if self._listener is None and now >= self._probe_at:
            self._probe_at = now + PROBE_INTERVAL_S
            if self._is_target_up():
                self._listen()

    def _is_target_up(self) -> bool:
        try:
            socket.create_connection(self.target, timeout=0.5).close()
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Stop the proxy and close its connections."""
        self._is_closing = True
        self._thread.join()
        self._stop_listening()
        for pair in self._pairs:
            self._close_pair(pair)

    def reset(self, fraction: float) -> None:
        """Reset a random fraction of the open connections."""
        with self._lock:
            for pair in list(self._pairs):
                if self.random.random() < fraction:
                    _reset_on_close(pair.caller)
                    _reset_on_close(pair.server)
                    self._close_pair(pair)

    def stall(self, fraction: float, directions: tuple[str, ...]) -> None:
        """Forward nothing more on a random fraction of the open connections."""
        with self._lock:
            for pair in self._pairs:
                if self.random.random() < fraction:
                    pair.stalled.update(directions)

    def cut(self, caller_host: str, hangs: bool) -> None:
        """Stall or reset the connections that a caller has opened."""
        with self._lock:
            for pair in list(self._pairs):
                if pair.caller_host != caller_host:
                    continue
                if hangs:
                    pair.stalled.update(("up", "down"))
                else:
                    _reset_on_close(pair.caller)
                    _reset_on_close(pair.server)
                    self._close_pair(pair)

    def _close_pair(self, pair: SocketPair) -> None:
        for sock in (pair.caller, pair.server):
            with suppress(OSError):
                sock.close()
        if pair in self._pairs:
            self._pairs.remove(pair)

    def _run(self) -> None:
        while not self._is_closing:
            with self._lock:
                self._probe()
                self._accept()
                self._poll()
            time.sleep(0)

    def _accept(self) -> None:
        while self._listener is not None:
            try:
                caller, (caller_host, _) = self._listener.accept()
            except OSError:
                return
            if self.refuses:
                _reset_on_close(caller)
                caller.close()
                continue
            try:
                server = socket.create_connection(self.target, timeout=0.5)
            except ConnectionRefusedError:
                _reset_on_close(caller)
                caller.close()
                self._stop_listening()
                continue
            except OSError:
                caller.close()
                continue
            for sock in (caller, server):
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._pairs.append(SocketPair(caller, server, caller_host))

    def _poll(self) -> None:
        selector = selectors.DefaultSelector()
        if self._listener is not None:
            selector.register(self._listener, selectors.EVENT_READ, None)
        for pair in self._pairs:
            if "up" not in pair.stalled:
                selector.register(pair.caller, selectors.EVENT_READ, (pair, "up"))
            if "down" not in pair.stalled:
                selector.register(pair.server, selectors.EVENT_READ, (pair, "down"))
        for key, _ in selector.select(POLL_TIMEOUT_S):
            if key.data is not None and key.data[0] in self._pairs:
                self._read(*key.data)
        selector.close()
        for pair in list(self._pairs):
            self._flush(pair)

    def _read(self, pair: SocketPair, direction: str) -> None:
        source = pair.caller if direction == "up" else pair.server
        try:
            data = source.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = None
        due = time.monotonic() + self.delay_s
        pair.queued.append((due, direction, data))
        if not data:
            pair.stalled.add(direction)
        if not data and direction == "down" and not self._is_target_up():
            self._stop_listening()

    def _flush(self, pair: SocketPair) -> None:
        now = time.monotonic()
        while pair.queued and pair.queued[0][0] <= now:
            _, direction, data = pair.queued.pop(0)
            sink = pair.server if direction == "up" else pair.caller
            if not data:
                if data is None:
                    _reset_on_close(pair.caller)
                    _reset_on_close(pair.server)
                self._close_pair(pair)
                return
            try:
                sink.setblocking(True)
                sink.settimeout(0.5)
                sink.sendall(data)
                sink.setblocking(False)
            except OSError:
                self._close_pair(pair)
                return


def _reset_on_close(sock: socket.socket) -> None:
    """Make closing a socket reset its connection instead of ending it in order."""
    with suppress(OSError):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

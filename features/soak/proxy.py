"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import random
import selectors
import socket
import threading
import time
from contextlib import suppress

from attrs import define, field

READ_BYTES = 65_536
TURN_S = 0.01


@define(slots=True, eq=False)
class Pair:
    """One proxied connection.

    :ivar silent: directions, ``up`` and ``down``, in which nothing passes any more.
    """

    caller: socket.socket
    server: socket.socket
    silent: set[str] = field(factory=set)
    waiting: list = field(factory=list)


class Proxy:
    """Passes connections to one address on; faults are set from outside.

    :ivar delay_s: seconds by which bytes are held back.
    :ivar refuses: new connections are reset.
    """

    def __init__(self, target: tuple[str, int], seed: int):
        self.target = target
        self.random = random.Random(seed)
        self.delay_s = 0.0
        self.refuses = False
        self._pairs: list[Pair] = []
        self._lock = threading.Lock()
        self._listener = socket.create_server((target[0], 0))
        self._listener.setblocking(False)
        self._is_over = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def address(self) -> tuple[str, int]:
        """Where to connect instead of the target."""
        return self._listener.getsockname()

    def close(self) -> None:
        """End the proxy and its connections."""
        self._is_over = True
        self._thread.join()
        self._listener.close()
        for pair in self._pairs:
            self._drop(pair)

    def reset(self, part: float) -> None:
        """Reset a part of the open connections."""
        with self._lock:
            for pair in list(self._pairs):
                if self.random.random() < part:
                    _set_abrupt(pair.caller)
                    _set_abrupt(pair.server)
                    self._drop(pair)

    def silence(self, part: float, directions: tuple[str, ...]) -> None:
        """Let nothing more pass on a part of the open connections."""
        with self._lock:
            for pair in self._pairs:
                if self.random.random() < part:
                    pair.silent.update(directions)

    def _drop(self, pair: Pair) -> None:
        for sock in (pair.caller, pair.server):
            with suppress(OSError):
                sock.close()
        if pair in self._pairs:
            self._pairs.remove(pair)

    def _run(self) -> None:
        while not self._is_over:
            with self._lock:
                self._accept()
                self._turn()
            time.sleep(0)

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            if self.refuses:
                _set_abrupt(caller)
                caller.close()
                continue
            try:
                server = socket.create_connection(self.target, timeout=0.5)
            except OSError:
                caller.close()
                continue
            for sock in (caller, server):
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._pairs.append(Pair(caller, server))

    def _turn(self) -> None:
        selector = selectors.DefaultSelector()
        selector.register(self._listener, selectors.EVENT_READ, None)
        for pair in self._pairs:
            if "up" not in pair.silent:
                selector.register(pair.caller, selectors.EVENT_READ, (pair, "up"))
            if "down" not in pair.silent:
                selector.register(pair.server, selectors.EVENT_READ, (pair, "down"))
        for key, _ in selector.select(TURN_S):
            if key.data is not None and key.data[0] in self._pairs:
                self._read(*key.data)
        selector.close()
        for pair in list(self._pairs):
            self._flush(pair)

    def _read(self, pair: Pair, direction: str) -> None:
        source = pair.caller if direction == "up" else pair.server
        try:
            data = source.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        due = time.monotonic() + self.delay_s
        pair.waiting.append((due, direction, data))
        if not data:
            pair.silent.add(direction)

    def _flush(self, pair: Pair) -> None:
        now = time.monotonic()
        while pair.waiting and pair.waiting[0][0] <= now:
            _, direction, data = pair.waiting.pop(0)
            sink = pair.server if direction == "up" else pair.caller
            if not data:
                self._drop(pair)
                return
            try:
                sink.setblocking(True)
                sink.settimeout(0.5)
                sink.sendall(data)
                sink.setblocking(False)
            except OSError:
                self._drop(pair)
                return


def _set_abrupt(sock: socket.socket) -> None:
    """Let closing a socket reset its connection."""
    with suppress(OSError):
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

"""Calls to HTTP servers over sockets that never block; httptools reads answers."""

import errno
import socket
from fcntl import ioctl
from struct import pack, unpack
from termios import TIOCOUTQ

from attrs import define, field
from httptools import HttpParserError

from briarrelay_daemon.answerreader import AnswerReader, CallSink
from briarrelay_daemon.settings import Address
from briarrelay_daemon.wire import READ, WRITE, Wire

__all__ = ["HttpCall", "HttpClient"]

READ_BYTES = 262_144
"""Most bytes read from a socket at a time."""

MAX_IDLE = 8
"""Connections to one address that are kept for further calls."""

IDLE_S = 4.0
"""Seconds that a connection is kept when the server names no time; most keep 5."""

SWEEP_S = 2.0
"""Seconds between looks for idle connections whose time is over."""

IDLE_MARGIN_S = 1.0
"""Seconds before the server's own time at which a connection is not used again."""

CONNECT_S = 0.12
"""Seconds for a connection to be established; the longest way takes a few ms, and
there is time left to try elsewhere."""

KEEP_ALIVE_S = 1
"""Seconds of silence before, and between, TCP keep-alive probes."""

RESET_ON_CLOSE = pack("ii", 1, 0)
"""Socket option under which closing a connection resets it."""

UNCONFIRMED_MS = 1_000
"""Milliseconds that sent bytes may stay unconfirmed before the connection is lost; a
server must not get them once it has told that it leaves, which is known in 2 s."""

KEEP_ALIVE_PROBES = 2
"""Unanswered probes after which a connection is lost."""


@define(slots=True, eq=False)
class _Connection:
    """A socket and what is still to be written to it."""

    sock: socket.socket
    is_connected: bool = False
    outgoing: memoryview = field(default=memoryview(b""))
    usable_until: float = 0.0


class HttpCall:
    """One call in progress."""

    def __init__(self, client: "HttpClient", address: Address, sink: CallSink):
        self._client = client
        self._address = address
        self._sink = sink
        self._connection: _Connection | None = None
        self._timer = None
        self._connect_timer = None
        self._sent = False
        self._reader = AnswerReader(sink)
        self.is_over = False
        self.problem = ""

    def begin(self, connection: _Connection, message: bytes, timeout: float) -> None:
        """Send the call on a connection."""
        wire = self._client.wire
        self._connection = connection
        connection.outgoing = memoryview(message)
        self._timer = wire.timers.at(wire.clock() + timeout, self._on_timeout)
        if not connection.is_connected:
            due = wire.clock() + min(CONNECT_S, timeout)
            self._connect_timer = wire.timers.at(due, self._on_connect_timeout)
        wire.watch(connection.sock, WRITE | READ, self._on_ready)

    def _on_timeout(self, _: float) -> list:
        self.problem = "no whole answer in time"
        self.abort()
        return []

    def _on_connect_timeout(self, _: float) -> list:
        if not self._sent:
            self._lose("no connection in time")
        return []

    def abort(self) -> None:
        """End the call; the sink is told that it is lost."""
        self._lose()

    def drop(self) -> None:
        """End the call without telling the sink."""
        if not self.is_over:
            self._close()

    def _on_ready(self, events: int) -> None:
        if self.is_over:
            return
        if self._connection.outgoing:
            self._write()
        if events & ~WRITE and not self.is_over:
            self._read()

    def _write(self) -> None:
        connection = self._connection
        if not connection.is_connected:
            error = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._lose(f"connecting failed: {errno.errorcode.get(error, error)}")
                return
            connection.is_connected = True
        try:
            count = connection.sock.send(connection.outgoing)
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno == errno.ENOTCONN:
                connection.is_connected = False
                return
            self._lose(f"writing failed: {error.strerror}")
            return
        if not self._sent:
            self._sent = True
            self._cancel_connect_timer()
        connection.outgoing = connection.outgoing[count:]
        if not connection.outgoing:
            self._client.wire.watch(connection.sock, READ, self._on_ready)

    def _read(self) -> None:
        try:
            data = self._connection.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._lose(f"reading failed: {error.strerror}")
            return
        if not data:
            self._on_closed()
            return
        reader = self._reader
        try:
            reader.parser.feed_data(data)
        except HttpParserError as error:
            if not reader.is_whole:
                self._lose(f"not an HTTP answer: {error}")
                return
            reader.has_more = True
        if reader.is_whole and not self.is_over:
            self._finish()

    def _on_closed(self) -> None:
        if self._reader.ends_with_connection:
            self._close()
            self._sink.on_end()
        else:
            self._lose("closed before the answer was whole")

    def _finish(self) -> None:
        self._end()
        connection = self._connection
        self._client.wire.unwatch(connection.sock)
        reader = self._reader
        reusable = (
            reader.keeps_alive and not reader.has_more and not connection.outgoing
        )
        kept_s = _kept_s(reader.headers.get("keep-alive", ""))
        self._client.give_back(self._address, connection, reusable, kept_s)
        self._sink.on_end()

    def _lose(self, problem: str = "") -> None:
        if self.is_over:
            return
        self.problem = self.problem or problem
        self._close()
        self._sink.on_lost(self._sent)

    def _cancel_connect_timer(self) -> None:
        if self._connect_timer is not None:
            self._connect_timer.cancel()
            self._connect_timer = None

    def _end(self) -> None:
        self.is_over = True
        self._timer.cancel()
        self._cancel_connect_timer()

    def _close(self) -> None:
        self._end()
        self._client.wire.unwatch(self._connection.sock)
        _discard(self._connection.sock)


class HttpClient:
    """Makes calls and keeps idle connections for further ones."""

    def __init__(self, wire: Wire):
        self.wire = wire
        self._idle: dict[Address, list[_Connection]] = {}
        wire.timers.every(SWEEP_S, self._sweep, wire.clock() + SWEEP_S)

    def call(
        self,
        address: Address,
        method: str,
        target: str,
        sink: CallSink,
        *,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        timeout: float = 5.0,
        fresh: bool = False,
    ) -> HttpCall:
        """Start a call.

        :param timeout: seconds for the whole answer.
        :param fresh: use a new connection, so that an old one that has gone silent
            does no harm.
        """
        message = self._encode(address, method, target, body, headers)
        return self.send(address, message, sink, timeout=timeout, fresh=fresh)

    def send(
        self,
        address: Address,
        message: bytes,
        sink: CallSink,
        *,
        timeout: float,
        fresh: bool = False,
    ) -> HttpCall:
        """Start a call whose request is encoded already."""
        call = HttpCall(self, address, sink)
        call.begin(self._connection(address, fresh), message, timeout)
        return call

    def _sweep(self, now: float) -> list:
        """Close idle connections whose time is over, and forget their addresses."""
        for address, idle in list(self._idle.items()):
            kept = [c for c in idle if now < c.usable_until]
            for connection in idle:
                if connection not in kept:
                    connection.sock.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
        return []

    def _encode(self, address, method: str, target: str, body: bytes, headers) -> bytes:
        head = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
        head += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT"):
            head.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*head, "", ""]).encode("latin-1") + body

    def _connection(self, address: Address, fresh: bool) -> _Connection:
        idle = self._idle.get(address)
        while idle and not fresh:
            connection = idle.pop()
            is_young = self.wire.clock() < connection.usable_until
            if is_young and _is_usable(connection.sock):
                return connection
            connection.sock.close()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _watch_for_silence(sock)
        sock.connect_ex((address.host, address.port))
        return _Connection(sock)

    def give_back(
        self,
        address: Address,
        connection: _Connection,
        reusable: bool,
        kept_s: float = IDLE_S,
    ) -> None:
        """Keep a connection whose call is over, if it can be used again.

        :param kept_s: seconds for which the server keeps it.
        """
        idle = self._idle.setdefault(address, [])
        if reusable and kept_s > 0 and len(idle) < MAX_IDLE:
            connection.usable_until = self.wire.clock() + kept_s
            idle.append(connection)
        else:
            connection.sock.close()


def _discard(sock: socket.socket) -> None:
    """Close a connection so that nothing of a request arrives later.

    What was sent and not confirmed yet would be sent again after the close until the
    way is open, and reach a server that was meanwhile told to leave. A reset drops it.
    A request that has arrived gets a proper close, which is sent until it arrives.
    """
    if _unconfirmed_bytes(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def _unconfirmed_bytes(sock: socket.socket) -> int:
    """Return the bytes that the other side has not confirmed."""
    try:
        return unpack("i", ioctl(sock.fileno(), TIOCOUTQ, bytes(4)))[0]
    except OSError:
        return 1  # not told, or no connection any more: nothing may arrive later


def _watch_for_silence(sock: socket.socket) -> None:
    """Let the system find out that the other side is gone without a word."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNCONFIRMED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


def _kept_s(keep_alive: str) -> float:
    """Return seconds that a connection can be used again by a Keep-Alive header."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return min(IDLE_S, int(value) - IDLE_MARGIN_S)
    return IDLE_S


def _is_usable(sock: socket.socket) -> bool:
    """Return whether an idle connection was not closed by the other side."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False

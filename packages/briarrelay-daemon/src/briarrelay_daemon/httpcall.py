"""HTTP client on non-blocking sockets; responses are parsed by httptools."""

import errno
import socket
from fcntl import ioctl
from struct import Struct, pack, unpack
from termios import TIOCOUTQ

from attrs import define, field
from httptools import HttpParserError, HttpParserUpgrade

from briarrelay_daemon.heldbytes import HeldBytes, SlowReader
from briarrelay_daemon.reactor import READ, WRITE, Reactor
from briarrelay_daemon.responsereader import CallSink, ResponseReader
from briarrelay_daemon.settings import Address

__all__ = ["HttpCall", "HttpClient", "encode_head"]

READ_BYTES = 262_144
"""Most bytes read from a socket at a time."""

MERGED_BODY_BYTES = 65_536
"""Longest body that is copied to be sent together with its head. A longer one is sent
from where it is, as it is held for a repeat in any case."""

MAX_CONNECTIONS = 16_384
"""Open connections of a client whose process names no number of descriptors."""

REQUEST_FRACTION = 0.75
"""Part of the connections that callers' requests may use; the others are for calls of
the instance itself."""

MAX_IDLE_PER_ADDRESS = 8
"""Idle connections to one address that are kept for further calls."""

DEFAULT_IDLE_S = 4.0
"""Longest time in seconds for which an idle connection is kept, also used if the
server sends no Keep-Alive timeout; most servers close idle connections after 5 s."""

SWEEP_S = 2.0
"""Seconds between checks for expired idle connections."""

IDLE_MARGIN_S = 1.0
"""Seconds before the server's Keep-Alive timeout from which a connection is not
reused."""

CONNECT_TIMEOUT_S = 0.12
"""Seconds for a connection to be established. The longest network path takes a few
ms, and a short timeout leaves time to try another server."""

KEEP_ALIVE_PROBE_S = 1
"""Idle seconds before the first TCP keep-alive probe, and between probes."""

RESET_ON_CLOSE = pack("ii", 1, 0)
"""Value of SO_LINGER (on, for 0 s) with which close() resets the connection."""

MAX_UNACKNOWLEDGED_MS = 1_000
"""Milliseconds that sent bytes may stay unacknowledged before the connection fails.
A server must not receive them after it has announced its shutdown, which all
instances observe within 2 s."""

LARGE_MESSAGE_BYTES = 65_536
"""Bytes of a request from which a server's receive buffer may not hold it."""

MAX_BLOCKED_MS = 4_000
"""Milliseconds for which a server that acknowledges may read nothing of a large request
before the connection fails."""

MAX_SILENT_MS = 1_600
"""Milliseconds without an acknowledgement after which a connection with a large request
fails. Those of the probes of a full buffer come up to 1.3 s apart."""

ACKNOWLEDGEMENT_CHECK_S = 0.25
"""Seconds between checks whether a server still acknowledges a large request."""

LAST_ACKNOWLEDGEMENT = Struct("56xI")
"""Beginning of the kernel's tcp_info, to the milliseconds since the last one."""

KEEP_ALIVE_PROBES = 2
"""Unanswered probes after which a connection fails."""

NOTHING = memoryview(b"")


@define(slots=True, eq=False)
class _Connection:
    """A socket and the bytes still to be written to it.

    :param unsent: rest of what is being sent.
    :param unsent_body: body to send after it.
    :param is_reused: it has carried another call.
    :param usable_until: time of the reactor's clock, in seconds, until which an idle
        connection may be reused.
    """

    sock: socket.socket
    is_connected: bool = False
    is_reused: bool = False
    unsent: memoryview = field(default=NOTHING)
    unsent_body: bytes = b""
    usable_until: float = 0.0


class HttpCall(SlowReader):
    """One request and its response.

    :param has_body: whether the response may have a body.
    :ivar is_over: the response is complete, or the call failed or was cancelled.
    :ivar problem: why the call failed, for logs.
    :ivar is_closed_by_server: the call failed because the server closed or reset the
        connection.
    :ivar is_ended_here: the call was ended since too much is held in total.
    """

    def __init__(
        self,
        client: "HttpClient",
        address: Address,
        sink: CallSink,
        has_body: bool = True,
    ):
        self._client = client
        self._address = address
        self._sink = sink
        self._connection: _Connection | None = None
        self._timer = None
        self._connect_timer = None
        self._has_sent = False
        self._is_paused = False
        self._message_bytes = 0
        self._reader = ResponseReader(sink, has_body)
        self.is_over = False
        self.problem = ""
        self.is_closed_by_server = False
        self.is_ended_here = False

    @property
    def ends_at_close(self) -> bool:
        """Whether the response has neither a length nor chunks."""
        return self._reader.ends_at_close

    @property
    def is_on_reused_connection(self) -> bool:
        """Whether the connection may bring the response to an earlier call again."""
        return self._connection.is_reused

    def begin(
        self, connection: _Connection, message: bytes, body: bytes, timeout: float
    ) -> None:
        """Send an encoded request, or its head and its body, on a connection."""
        reactor = self._client.reactor
        self._connection = connection
        self._message_bytes = len(message) + len(body)
        connection.unsent = memoryview(message)
        connection.unsent_body = body
        self._timer = reactor.timers.at(reactor.clock() + timeout, self._on_timeout)
        if not connection.is_connected:
            due = reactor.clock() + min(CONNECT_TIMEOUT_S, timeout)
            self._connect_timer = reactor.timers.at(due, self._on_connect_timeout)
        self._watch()
        if self._message_bytes >= LARGE_MESSAGE_BYTES:
            self._allow_blocking(reactor.clock())

    def _allow_blocking(self, now: float) -> None:
        """Let the server read nothing for some time, as long as it acknowledges.

        The kernel's limit on unacknowledged bytes also holds while the server's receive
        buffer is full.
        """
        sock = self._connection.sock
        if _silent_ms(sock) is not None:
            _set_user_timeout(sock, MAX_BLOCKED_MS)
            due = now + ACKNOWLEDGEMENT_CHECK_S
            self._client.reactor.timers.at(due, self._check_acknowledgements)

    def _check_acknowledgements(self, now: float) -> list:
        if self.is_over:
            return []
        connection = self._connection
        if not connection.unsent and not _unacknowledged_bytes(connection.sock):
            _set_user_timeout(connection.sock, MAX_UNACKNOWLEDGED_MS)
        elif (_silent_ms(connection.sock) or 0) > MAX_SILENT_MS:
            self._fail("the server acknowledges nothing")
        else:
            due = now + ACKNOWLEDGEMENT_CHECK_S
            self._client.reactor.timers.at(due, self._check_acknowledgements)
        return []

    def _watch(self) -> None:
        connection = self._connection
        events = (WRITE if connection.unsent else 0) | (0 if self._is_paused else READ)
        self._client.reactor.watch(connection.sock, events, self._on_ready)

    def pause(self) -> None:
        """Read no more of the response until :meth:`resume`."""
        if not self.is_over and not self._is_paused:
            self._is_paused = True
            self._watch()

    def resume(self) -> None:
        """Go on reading, also what was received before the server closed."""
        if not self.is_over and self._is_paused:
            self._is_paused = False
            self._watch()

    def end_slow(self) -> None:
        """End the call, whose request the server reads too slowly."""
        self.is_ended_here = True
        self._fail("the server reads too slowly while much is held for others")

    def _on_timeout(self, _: float) -> list:
        self.problem = "timed out before the response was complete"
        self.abort()
        return []

    def _on_connect_timeout(self, _: float) -> list:
        if not self._has_sent:
            self._fail("connecting timed out")
        return []

    def abort(self) -> None:
        """End the call and notify the sink of the failure."""
        self._fail()

    def cancel(self) -> None:
        """End the call without notifying the sink."""
        if not self.is_over:
            self._close()

    def _on_ready(self, events: int) -> None:
        if self.is_over:
            return
        if self._connection.unsent:
            self._write()
        # Includes EPOLLERR and EPOLLHUP: recv() then reports the error.
        if not events & ~WRITE or self.is_over:
            return
        if self._is_paused:
            # The poller would report the closed connection again and again.
            self._client.reactor.unwatch(self._connection.sock)
        else:
            self._read()

    def _write(self) -> None:
        connection = self._connection
        if not connection.is_connected:
            error = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._fail(f"connecting failed: {errno.errorcode.get(error, error)}")
                return
            connection.is_connected = True
        try:
            count = connection.sock.send(connection.unsent)
        except BlockingIOError:
            return
        except OSError as error:
            if error.errno == errno.ENOTCONN:
                connection.is_connected = False  # still connecting
                return
            self.is_closed_by_server = isinstance(error, ConnectionError)
            if self._has_sent:
                self._read_remaining()
            self._fail(f"writing failed: {error.strerror}")
            return
        if not self._has_sent:
            self._has_sent = True
            self._cancel_connect_timer()
        connection.unsent = connection.unsent[count:] or NOTHING
        if not connection.unsent and connection.unsent_body:
            connection.unsent = memoryview(connection.unsent_body)
            connection.unsent_body = b""
        if connection.unsent:
            self._client.held.update(self, self._message_bytes, count)
        else:
            self._client.held.release(self)
            self._watch()

    def _read(self) -> None:
        try:
            data = self._connection.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.is_closed_by_server = isinstance(error, ConnectionResetError)
            self._fail(f"reading failed: {error.strerror}")
            return
        if not data:
            self._on_closed()
            return
        self._parse(data)

    def _read_remaining(self) -> None:
        """Read what was received before writing failed.

        The server may have answered and closed before it had read the whole request.
        The end of these bytes is not the end of a response: the socket reports a reset
        once, here to the failed write.
        """
        while not self.is_over:
            try:
                data = self._connection.sock.recv(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        """Pass received bytes to the reader; the call ends with its response."""
        reader = self._reader
        try:
            reader.feed(data)
        except HttpParserError as error:
            if not reader.is_complete:
                self._fail(f"invalid HTTP response: {error}")
                return
            reader.has_extra_bytes = True
        except HttpParserUpgrade:
            if not reader.is_complete:
                self._fail("the server switched to another protocol")
                return
            reader.has_extra_bytes = True
        if reader.problem and not reader.is_complete:
            self._fail(reader.problem)
        if reader.is_complete and not self.is_over:
            self._finish()

    def _on_closed(self) -> None:
        if self._reader.ends_at_close:
            self._close()
            self._sink.on_end()
        else:
            self.is_closed_by_server = True
            self._fail("connection closed before the response was complete")

    def _finish(self) -> None:
        self._mark_over()
        connection = self._connection
        self._client.reactor.unwatch(connection.sock)
        reader = self._reader
        is_reusable = (
            reader.keeps_alive and not reader.has_extra_bytes and not connection.unsent
        )
        keep_alive_s = _read_keep_alive_s(reader.headers.get("keep-alive", ""))
        self._client.release(self._address, connection, is_reusable, keep_alive_s)
        self._sink.on_end()

    def _fail(self, problem: str = "") -> None:
        if self.is_over:
            return
        self.problem = self.problem or problem
        self._close()
        self._sink.on_lost(self._has_sent)

    def _cancel_connect_timer(self) -> None:
        if self._connect_timer is not None:
            self._connect_timer.cancel()
            self._connect_timer = None

    def _mark_over(self) -> None:
        self.is_over = True
        self._client.held.release(self)
        self._timer.cancel()
        self._cancel_connect_timer()

    def _close(self) -> None:
        self._mark_over()
        self._client.reactor.unwatch(self._connection.sock)
        self._client.close(self._connection, is_reset=True)


class HttpClient:
    """Sends requests, with a pool of idle connections per address.

    :param held: sum of what is held for slow readers; one of its own if None.
    :param max_connections: most open connections, idle ones included.
    """

    def __init__(
        self,
        reactor: Reactor,
        held: HeldBytes | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ):
        self.reactor = reactor
        self.held = held if held is not None else HeldBytes(reactor)
        self._max_connections = max_connections
        self._open_connections = 0
        self._idle: dict[Address, list[_Connection]] = {}
        reactor.timers.every(SWEEP_S, self._sweep, reactor.clock() + SWEEP_S)

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
        force_new_connection: bool = False,
    ) -> HttpCall:
        """Start a call.

        :param timeout: seconds until the response must be complete.
        :param fresh: open a new connection, since a pooled one may have failed
            without notice.
        """
        return self.send(
            address,
            encode_head(address, method, target, body, headers),
            sink,
            body=body,
            timeout=timeout,
            force_new_connection=force_new_connection,
            is_own=True,
        )

    def send(
        self,
        address: Address,
        message: bytes,
        sink: CallSink,
        *,
        timeout: float,
        body: bytes = b"",
        force_new_connection: bool = False,
        is_own: bool = False,
    ) -> HttpCall:
        """Start a call with an encoded request; see :meth:`call`.

        :param body: body of the request, if it is not part of the message.
        :param is_own: the call is the instance's own, not for a caller's request.

        If no connection can be made at all, the sink is notified soon, as of other
        failures: without an outcome nothing would repeat the call.
        """
        call = HttpCall(self, address, sink, not message.startswith(b"HEAD "))
        try:
            connection = self._acquire_connection(address, force_new_connection, is_own)
        except (OSError, OverflowError) as error:
            # no descriptor is free, or the address is none
            call.is_over = True
            call.problem = f"connecting failed: {error}"
            self.reactor.defer(lambda: sink.on_lost(False))
            return call
        if len(body) <= MERGED_BODY_BYTES:
            message, body = message + body, b""
        call.begin(connection, message, body, timeout)
        return call

    def _sweep(self, now: float) -> list:
        """Close expired idle connections, and remove addresses that have none left."""
        for address, idle in list(self._idle.items()):
            kept = [c for c in idle if now < c.usable_until]
            for connection in idle:
                if connection not in kept:
                    self.close(connection)
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
        return []

    def _acquire_connection(
        self, address: Address, force_new_connection: bool, is_own: bool
    ) -> _Connection:
        idle = self._idle.get(address)
        while idle and not force_new_connection:
            connection = idle.pop()
            is_unexpired = self.reactor.clock() < connection.usable_until
            if is_unexpired and _is_usable(connection.sock):
                return connection
            self.close(connection)
        fraction = 1.0 if is_own else REQUEST_FRACTION
        if self._open_connections >= fraction * self._max_connections:
            self._close_idle()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _enable_liveness_checks(sock)
        sock.connect_ex((address.host, address.port))
        self._open_connections += 1
        return _Connection(sock)

    def _close_idle(self) -> None:
        """Close the idle connection that has been unused for longest.

        :raises OSError: if there is none.
        """
        oldest = min(
            (connections[0] for connections in self._idle.values() if connections),
            key=lambda connection: connection.usable_until,
            default=None,
        )
        if oldest is None:
            raise OSError(errno.EMFILE, "each connection is in use")
        for connections in self._idle.values():
            if oldest in connections:
                connections.remove(oldest)
        self.close(oldest)

    def close(self, connection: _Connection, is_reset: bool = False) -> None:
        """Close a connection.

        :param is_reset: reset it if the peer has not acknowledged all bytes.
        """
        self._open_connections -= 1
        if is_reset:
            _close_or_reset(connection.sock)
        else:
            connection.sock.close()

    def release(
        self,
        address: Address,
        connection: _Connection,
        is_reusable: bool,
        keep_alive_s: float = DEFAULT_IDLE_S,
    ) -> None:
        """Return a connection to the pool after its call, or close it.

        :param keep_alive_s: seconds for which it may be reused.
        """
        idle = self._idle.setdefault(address, [])
        if is_reusable and keep_alive_s > 0 and len(idle) < MAX_IDLE_PER_ADDRESS:
            connection.usable_until = self.reactor.clock() + keep_alive_s
            connection.is_reused = True
            idle.append(connection)
        else:
            self.close(connection)


def encode_head(
    address: Address,
    method: str,
    target: str,
    body: bytes,
    headers: tuple[tuple[str, str], ...],
) -> bytes:
    """Return the encoded request line and headers of a request with a body."""
    head = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    head += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT"):
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode("latin-1")


def _close_or_reset(sock: socket.socket) -> None:
    """Close a connection so that no part of a request is delivered afterwards.

    After a normal close, the kernel would go on retransmitting unacknowledged bytes,
    and could deliver the request to a server that is being drained meanwhile. A reset
    discards them. If all bytes are acknowledged, the connection is closed normally,
    since a FIN is retransmitted if it is lost, and a reset is not.
    """
    if _unacknowledged_bytes(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def _unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the number of sent bytes that the peer has not acknowledged."""
    try:
        return unpack("i", ioctl(sock.fileno(), TIOCOUTQ, bytes(4)))[0]
    except OSError:
        return 1  # unknown: reset, so that nothing is delivered later


def _silent_ms(sock: socket.socket) -> int | None:
    """Return the milliseconds since the peer acknowledged anything, None if unknown."""
    size = LAST_ACKNOWLEDGEMENT.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except OSError:
        return None
    return LAST_ACKNOWLEDGEMENT.unpack(info)[0] if len(info) == size else None


def _set_user_timeout(sock: socket.socket, milliseconds: int) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def _enable_liveness_checks(sock: socket.socket) -> None:
    """Let the kernel detect a peer that vanished without closing the connection."""
    _set_user_timeout(sock, MAX_UNACKNOWLEDGED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


def _read_keep_alive_s(keep_alive: str) -> float:
    """Return the seconds for which a Keep-Alive header allows reuse."""
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return min(DEFAULT_IDLE_S, int(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S


def _is_usable(sock: socket.socket) -> bool:
    """Return whether the peer has neither closed an idle connection nor sent data."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False

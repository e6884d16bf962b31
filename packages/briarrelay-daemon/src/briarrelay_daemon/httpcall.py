"""Calls to HTTP servers over sockets that never block; httptools reads answers."""

import errno
import socket

from attrs import define, field
from httptools import HttpParserError, HttpResponseParser

from briarrelay_daemon.settings import Address
from briarrelay_daemon.wire import READ, WRITE, Wire

__all__ = ["CallSink", "HttpCall", "HttpClient"]

READ_BYTES = 262_144
"""Most bytes read from a socket at a time."""

MAX_IDLE = 8
"""Connections to one address that are kept for further calls."""


class CallSink:
    """Receives what becomes of a call; every method may be overridden."""

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        """Take the status and headers of the answer."""

    def on_data(self, data: bytes) -> None:
        """Take a part of the answer's body."""

    def on_end(self) -> None:
        """Take word that the answer is whole."""

    def on_lost(self, sent: bool) -> None:
        """Take word that there will be no whole answer.

        :param sent: False if no byte of the call left this process.
        """


@define(slots=True, eq=False)
class _Connection:
    """A socket and what is still to be written to it."""

    sock: socket.socket
    is_connected: bool = False
    outgoing: memoryview = field(default=memoryview(b""))


class _AnswerReader:
    """Callbacks of the parser for one answer."""

    def __init__(self, sink: CallSink):
        self._sink = sink
        self._headers: dict[str, str] = {}
        self.is_whole = False
        self.on_body = sink.on_data
        self.parser = HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Pass the head on."""
        self._sink.on_head(self.parser.get_status_code(), self._headers)

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        self.is_whole = True

    @property
    def ends_with_connection(self) -> bool:
        """Whether the end of the connection is the end of the answer."""
        framed = "content-length" in self._headers or (
            "transfer-encoding" in self._headers
        )
        return bool(self._headers) and not framed


class HttpCall:
    """One call in progress."""

    def __init__(self, client: "HttpClient", address: Address, sink: CallSink):
        self._client = client
        self._address = address
        self._sink = sink
        self._connection: _Connection | None = None
        self._timer = None
        self._sent = False
        self._reader = _AnswerReader(sink)
        self.is_over = False

    def begin(self, connection: _Connection, message: bytes, timeout: float) -> None:
        """Send the call on a connection."""
        wire = self._client.wire
        self._connection = connection
        connection.outgoing = memoryview(message)
        self._timer = wire.timers.at(wire.clock() + timeout, self._on_timeout)
        wire.watch(connection.sock, WRITE | READ, self._on_ready)

    def _on_timeout(self, _: float) -> list:
        self.abort()
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
        if self._connection.outgoing and not self._write():
            return
        if events & ~WRITE:
            self._read()

    def _write(self) -> bool:
        connection = self._connection
        if not connection.is_connected:
            error = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._lose()
                return False
            connection.is_connected = True
        try:
            count = connection.sock.send(connection.outgoing)
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno == errno.ENOTCONN:
                connection.is_connected = False
                return False
            self._lose()
            return False
        self._sent = True
        connection.outgoing = connection.outgoing[count:]
        if connection.outgoing:
            return False
        self._client.wire.watch(connection.sock, READ, self._on_ready)
        return True

    def _read(self) -> None:
        try:
            data = self._connection.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._lose()
            return
        if not data:
            self._on_closed()
            return
        try:
            self._reader.parser.feed_data(data)
        except HttpParserError:
            self._lose()
            return
        if self._reader.is_whole and not self.is_over:
            self._finish()

    def _on_closed(self) -> None:
        if self._reader.ends_with_connection:
            self._close()
            self._sink.on_end()
        else:
            self._lose()

    def _finish(self) -> None:
        self.is_over = True
        self._timer.cancel()
        self._client.wire.unwatch(self._connection.sock)
        reusable = self._reader.parser.should_keep_alive()
        self._client.give_back(self._address, self._connection, reusable)
        self._sink.on_end()

    def _lose(self) -> None:
        if self.is_over:
            return
        self._close()
        self._sink.on_lost(self._sent)

    def _close(self) -> None:
        self.is_over = True
        self._timer.cancel()
        self._client.wire.unwatch(self._connection.sock)
        self._connection.sock.close()


class HttpClient:
    """Makes calls and keeps idle connections for further ones."""

    def __init__(self, wire: Wire):
        self.wire = wire
        self._idle: dict[Address, list[_Connection]] = {}

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
        call = HttpCall(self, address, sink)
        connection = self._connection(address, fresh)
        message = self._encode(address, method, target, body, headers)
        call.begin(connection, message, timeout)
        return call

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
            if _is_usable(connection.sock):
                return connection
            connection.sock.close()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.connect_ex((address.host, address.port))
        return _Connection(sock)

    def give_back(
        self, address: Address, connection: _Connection, reusable: bool
    ) -> None:
        """Keep a connection whose call is over, if it can be used again."""
        idle = self._idle.setdefault(address, [])
        if reusable and len(idle) < MAX_IDLE:
            idle.append(connection)
        else:
            connection.sock.close()


def _is_usable(sock: socket.socket) -> bool:
    """Return whether an idle connection was not closed by the other side."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False

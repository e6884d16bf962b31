"""HTTP server for routes: requests are passed on as they came, answers as bytes.

httptools reads requests. circuits.web is not used here, since it shows neither repeated
headers nor the framing of a body, on which passing a request on truthfully depends.
"""

import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

from attrs import define, field
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from briarrelay_core.routes.model import CallerLimits
from briarrelay_daemon.callermessage import CallerMessage
from briarrelay_daemon.settings import Address
from briarrelay_daemon.wire import READ, WRITE, Wire

__all__ = ["CallerServer", "RawExchange"]

READ_BYTES = 65_536
"""Most bytes read from a caller at a time."""

MAX_AHEAD_BYTES = 65_536
"""Bytes of further requests that are kept while one is answered."""

MAX_UNREAD_BYTES = 1_048_576
"""Bytes of answers kept for a caller that does not read them."""

BACKLOG = 512
"""Connections that wait to be accepted; a dropped one costs its caller seconds."""

CHECK_S = 0.5
"""Seconds between looks for callers that take too long."""


@define(slots=True, eq=False)
class RawExchange:
    """One request and its answer.

    :param headers: names and values as they came, in order.
    :param is_open: the caller still waits.
    """

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]] = field(repr=False)
    body: bytes = field(repr=False)
    keeps_alive: bool
    _connection: "_Caller" = field(repr=False)
    is_open: bool = True
    is_begun: bool = False

    def header(self, name: str) -> str:
        """Return the first value of a header, empty if there is none."""
        wanted = name.lower().encode()
        for given, value in self.headers:
            if given.lower() == wanted:
                return value.decode("latin-1").strip()
        return ""

    def reply(self, status: int, headers: list, body: bytes) -> None:
        """Send a whole answer.

        :param headers: pairs of bytes, without those that frame the body.
        """
        if not self.is_open or self.is_begun:
            return
        framing = (b"Content-Length", b"%d" % len(body))
        self._connection.write(self._head(status, [*headers, framing]) + body)
        self._connection.finish(self)

    def begin(self, status: int, headers: list) -> None:
        """Send the head of an answer that comes in parts."""
        if not self.is_open or self.is_begun:
            return
        self.is_begun = True
        framing = (b"Transfer-Encoding", b"chunked")
        self._connection.write(self._head(status, [*headers, framing]))

    def send(self, data: bytes) -> None:
        """Send a part of an answer."""
        if self.is_open:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """End an answer in parts as complete."""
        if self.is_open:
            self._connection.write(b"0\r\n\r\n")
            self._connection.finish(self)

    def cut(self) -> None:
        """Close the connection, so that the answer is not complete."""
        if self.is_open:
            self.is_open = False
            self._connection.close()

    def _head(self, status: int, headers: list) -> bytes:
        self.keeps_alive = self.keeps_alive and self._connection.server.keeps_alive
        try:
            phrase = HTTPStatus(status).phrase
        except ValueError:
            phrase = "Unknown"
        lines = [b"HTTP/1.1 %d %b" % (status, phrase.encode())]
        lines += [name + b": " + value for name, value in headers]
        if not self.keeps_alive:
            lines.append(b"Connection: close")
        return b"\r\n".join([*lines, b"", b""])


class _Caller:
    """A caller's connection and the requests that are read from it."""

    def __init__(self, server: "CallerServer", sock: socket.socket):
        self.server = server
        self._sock = sock
        self._events = READ
        self._outgoing = bytearray()
        self._ahead = bytearray()
        self._exchange: RawExchange | None = None
        self._is_closing = False
        self._is_flush_due = False
        self._on_ready = self._handle_ready
        self.is_closed = False
        self._parser = HttpRequestParser(self)
        self._message = CallerMessage()
        self._whole: deque[CallerMessage] = deque()
        self.has_bytes = False
        self.since = server.wire.clock()
        server.wire.watch(sock, READ, self._on_ready)

    @property
    def is_busy(self) -> bool:
        """Whether a request is being answered."""
        return self._exchange is not None

    @property
    def has_head(self) -> bool:
        """Whether the header of the request that is being read is whole."""
        return self._message.has_head

    # Callbacks of the parser

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self._message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._message.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note that the body begins."""
        self._message.has_head = True

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._message.body += data

    def on_message_complete(self) -> None:
        """Put a whole request in line; the next one may follow in the same bytes."""
        message = self._message
        message.method = self._parser.get_method().decode("ascii")
        message.keeps_alive = self._parser.should_keep_alive()
        self._whole.append(message)
        self._message = CallerMessage()

    # Reading

    def _handle_ready(self, events: int) -> None:
        if events & WRITE:
            self._flush()
        if self.is_closed or not events & ~WRITE:
            return
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._on_left()
        elif self._exchange is not None:
            self._keep_ahead(data)
        else:
            self._feed(data)

    def _keep_ahead(self, data: bytes) -> None:
        self._ahead += data
        if len(self._ahead) > MAX_AHEAD_BYTES:
            self._on_left()

    def _feed(self, data: bytes) -> None:
        if not self.has_bytes:
            self.has_bytes = True
            self.since = self.server.wire.clock()
        if not self._message.has_head:
            self._message.head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self.refuse(400, b"upgrades are not served; send a plain request")
            return
        except HttpParserError as error:
            text = str(error).encode("ascii", "replace")
            self.refuse(400, b"the request can not be read (%b); correct it" % text)
            return
        self._hand_on()

    def _hand_on(self) -> None:
        """Hand the next whole request on, if none is being answered."""
        if self._exchange is not None or self._is_closing or self.is_closed:
            return
        message = self._whole.popleft() if self._whole else None
        refusal = (message or self._message).excess(self.server.limits)
        if refusal is not None:
            self.refuse(*refusal)
        elif message is not None:
            self.has_bytes = bool(self._whole or self._message.head_bytes)
            self._exchange = RawExchange(
                method=message.method,
                target=message.target,
                headers=message.headers,
                body=bytes(message.body),
                keeps_alive=message.keeps_alive,
                connection=self,
            )
            self.server.on_request(self._exchange)

    def _on_left(self) -> None:
        exchange = self._exchange
        self.close()
        if exchange is not None and exchange.is_open:
            exchange.is_open = False
            self.server.on_left(exchange)

    # Writing

    def refuse(self, status: int, text: bytes) -> None:
        """Answer what is not a proper request and close."""
        if self._is_closing or self.is_closed:
            return
        self.server.on_improper(status, text)
        phrase = HTTPStatus(status).phrase.encode()
        self.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (status, phrase, len(text), text)
        )
        self._is_closing = True

    def write(self, data: bytes) -> None:
        """Send bytes; what is written in one turn of the loop leaves together."""
        if self.is_closed:
            return
        self._outgoing += data
        if len(self._outgoing) > MAX_UNREAD_BYTES:
            self._on_left()
        elif not self._is_flush_due and not self._events & WRITE:
            self._is_flush_due = True
            self.server.wire.at_turn_end(self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        if self.is_closed:
            return
        try:
            while self._outgoing:
                count = self._sock.send(self._outgoing)
                del self._outgoing[:count]
        except BlockingIOError:
            self._watch(READ | WRITE)
            return
        except OSError:
            self._on_left()
            return
        self._watch(READ)
        if self._is_closing:
            self.close()

    def _watch(self, events: int) -> None:
        if events != self._events:
            self._events = events
            self.server.wire.watch(self._sock, events, self._on_ready)

    def finish(self, exchange: RawExchange) -> None:
        """Note that an answer is complete; go on with the next request."""
        exchange.is_open = False
        self._exchange = None
        self.since = self.server.wire.clock()
        if not exchange.keeps_alive:
            self._is_closing = True
            return
        if self._whole or self._ahead:
            self.server.wire.at_turn_end(self._go_on)

    def _go_on(self) -> None:
        """Go on with what came while a request was answered."""
        self._hand_on()
        if self._exchange is None and self._ahead and not self.is_closed:
            ahead = bytes(self._ahead)
            self._ahead.clear()
            self._feed(ahead)

    def close(self) -> None:
        """Close the connection at once."""
        if self.is_closed:
            return
        self.is_closed = True
        self.server.wire.unwatch(self._sock)
        self._sock.close()
        self.server.forget(self)


class CallerServer:
    """Listens, and hands each whole request on as an exchange.

    :param on_request: called with an exchange.
    :param on_left: called with an exchange whose caller went away.
    :param on_improper: called with status and text of what is no proper request.
    """

    def __init__(
        self,
        bind: Address,
        wire: Wire,
        on_request: Callable[[RawExchange], None],
        on_left: Callable[[RawExchange], None],
        on_improper: Callable[[int, bytes], None] = lambda status, text: None,
    ):
        self.wire = wire
        self.on_request = on_request
        self.on_left = on_left
        self.on_improper = on_improper
        self.limits = CallerLimits()
        self.keeps_alive = True
        self._callers: set[_Caller] = set()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((bind.host, bind.port))
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        wire.watch(self._sock, READ, self._accept)
        wire.timers.every(CHECK_S, self._check, wire.clock() + CHECK_S)

    @property
    def port(self) -> int:
        """Port that is listened on."""
        return self._sock.getsockname()[1]

    def _accept(self, _: int) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return  # nothing more to accept, or no descriptor left for it now
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._callers.add(_Caller(self, sock))

    def forget(self, caller: _Caller) -> None:
        """Drop a connection that was closed."""
        self._callers.discard(caller)

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for caller in list(self._callers):
            if not caller.is_busy and not caller.has_bytes:
                caller.close()

    def _check(self, now: float) -> list:
        for caller in list(self._callers):
            if caller.is_busy:
                continue
            age = now - caller.since
            if caller.has_bytes and not caller.has_head:
                if age > self.limits.header_s:
                    caller.refuse(408, b"the header took too long; send it at once")
            elif age > self.limits.idle_s:
                caller.close()
        return []

"""HTTP server for routes, which keeps headers and bodies as raw bytes.

Requests are parsed by httptools. circuits.web is not used, since it exposes neither
repeated headers nor the framing of a body, which are needed to forward a request
unchanged.
"""

import socket
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

from attrs import define, field
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from briarrelay_core.routes.model import CallerLimits
from briarrelay_daemon.callermessage import CallerMessage
from briarrelay_daemon.heldbytes import HeldBytes, SlowReader
from briarrelay_daemon.reactor import READ, WRITE, Reactor
from briarrelay_daemon.settings import Address

__all__ = ["CallerServer", "RawExchange"]

READ_BYTES = 65_536
"""Maximum bytes read from a connection at a time."""

MAX_PIPELINED_BYTES = 65_536
"""Maximum bytes buffered of the requests that a caller pipelines while one is answered;
a caller that sends more is disconnected."""

MAX_UNSENT_BYTES = 1_048_576
"""Bytes of responses buffered for a slow caller, from which the next write disconnects
it; a complete response may be longer."""

RESUME_FRACTION = 0.5
"""Part of the bound of a response at which more of it is read again."""

BACKLOG = 512
"""Length of the accept queue. If it is full, connections are dropped, which callers
retry only after seconds."""

TIMEOUT_CHECK_S = 0.5
"""Seconds between checks for idle connections and slow headers."""

LINGER_S = 1.0
"""Seconds for which what a caller still sends after its last response is read and
dropped. Closing with unread bytes would reset the connection, and the caller might lose
that response."""


@define(slots=True, eq=False)
class RawExchange:
    """One request of a caller and its response.

    :param target: request target as received.
    :param headers: names and values as received, in order.
    :param keeps_alive: whether the connection stays open after the response.
    :param is_open: the response is not complete and the caller is connected.
    :param is_head_sent: the head of a chunked response has been sent.
    """

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]] = field(repr=False)
    body: bytes = field(repr=False)
    keeps_alive: bool
    _connection: "_CallerConnection" = field(repr=False)
    is_open: bool = True
    is_head_sent: bool = False

    def header(self, name: str) -> str:
        """Return the first value of a header, empty if there is none."""
        wanted = name.lower().encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1").strip()
        return ""

    def reply(self, status: int, headers: list, body: bytes) -> None:
        """Send a complete response; without its body in reply to HEAD.

        :param headers: pairs of bytes, without Content-Length or Transfer-Encoding.
        """
        if not self.is_open or self.is_head_sent:
            return
        framing = (b"Content-Length", b"%d" % len(body))
        if self.method == "HEAD":
            body = b""
        self._connection.write(self._encode_head(status, [*headers, framing]) + body)
        self._connection.finish(self)

    def begin(self, status: int, headers: list) -> None:
        """Send the head of a chunked response."""
        if not self.is_open or self.is_head_sent:
            return
        self.is_head_sent = True
        framing = (b"Transfer-Encoding", b"chunked")
        self._connection.write(self._encode_head(status, [*headers, framing]))

    def send(self, data: bytes) -> None:
        """Send one chunk of a response."""
        if self.is_open:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """Send the last chunk, which marks the response as complete."""
        if self.is_open:
            self._connection.write(b"0\r\n\r\n")
            self._connection.finish(self)

    def abort(self) -> None:
        """Close the connection, so that the caller detects an incomplete response."""
        if self.is_open:
            self.is_open = False
            self._connection.close()

    def _encode_head(self, status: int, headers: list) -> bytes:
        """Return the encoded status line and headers.

        Clears `keeps_alive` if the server closes its connections after a response,
        unless the caller has sent further requests, which are answered first.
        """
        connection = self._connection
        if not connection.server.keeps_alive and not connection.has_further_requests:
            self.keeps_alive = False
        try:
            phrase = HTTPStatus(status).phrase
        except ValueError:
            phrase = "Unknown"
        lines = [b"HTTP/1.1 %d %b" % (status, phrase.encode())]
        lines += [name + b": " + value for name, value in headers]
        if not self.keeps_alive:
            lines.append(b"Connection: close")
        return b"\r\n".join([*lines, b"", b""])


class _CallerConnection(SlowReader):
    """A caller's connection and the requests that are read from it.

    Requests are answered one at a time, in the order received.

    :ivar _exchange: the request being answered, None if there is none.
    :ivar _partial_message: the request being read.
    :ivar _queued_messages: complete requests that are not being answered yet.
    :ivar _unparsed: bytes received while a request is answered.
    :ivar _unsent: bytes of responses that are not sent yet.
    :ivar _is_closing: the connection is closed once `_unsent` is sent; what arrives
        from then on is dropped.
    :ivar _is_blocked: more of the response is unsent than its bound.
    :ivar _is_lingering: all is sent, and the connection closes when the caller does.
    :ivar has_pending_bytes: bytes were received beyond the requests passed on so
        far.
    :ivar timeout_started_at: start of the idle or header timeout: when the connection
        was accepted, the first byte of a request or a part of its body was received, or
        a part of the last response was sent, whichever is latest.
    :ivar idle_limit_s: limit on the idle time in seconds when that timeout started.
    """

    def __init__(self, server: "CallerServer", sock: socket.socket):
        self.server = server
        self._sock = sock
        self._watched_events = READ
        self._unsent = bytearray()
        self._unparsed = bytearray()
        self._exchange: RawExchange | None = None
        self._is_closing = False
        self._is_lingering = False
        self._is_blocked = False
        self._is_flush_scheduled = False
        self._on_ready = self._handle_ready
        self.is_closed = False
        self._parser = HttpRequestParser(self)
        self._partial_message = CallerMessage()
        self._queued_messages: deque[CallerMessage] = deque()
        self.has_pending_bytes = False
        self._start_timeout()
        server.reactor.watch(sock, READ, self._on_ready)

    @property
    def is_busy(self) -> bool:
        """Whether a request is being answered."""
        return self._exchange is not None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered, or has arrived unread.

        A response counts until all of it has been sent.
        """
        if self.is_busy or self._unsent or self.has_pending_bytes or self._unparsed:
            return False
        return not self.has_unread_bytes

    @property
    def has_further_requests(self) -> bool:
        """Whether the caller has sent more than the request being answered."""
        if self._queued_messages or self._unparsed:
            return True
        return self.has_unread_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that are not sent yet."""
        return len(self._unsent)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes of a request wait in the socket."""
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False  # nothing to read, or the caller reset the connection

    @property
    def is_head_complete(self) -> bool:
        """Whether the header of the request that is being read is complete."""
        return self._partial_message.is_head_complete

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Mark the request that is being read as begun."""
        self._partial_message.is_begun = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self._partial_message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._partial_message.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Mark the header as complete."""
        message = self._partial_message
        message.is_head_complete = True
        is_older = self._parser.get_http_version() == "1.0"
        message.awaits_continue = message.expects_continue and not is_older

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._partial_message.body += data
        self._partial_message.awaits_continue = False

    def on_message_complete(self) -> None:
        """Queue a complete request; the next one may follow in the same bytes."""
        message = self._partial_message
        message.method = self._parser.get_method().decode("ascii")
        message.keeps_alive = self._parser.should_keep_alive()
        self._queued_messages.append(message)
        self._partial_message = CallerMessage()

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
            self._disconnect()
        elif self._is_closing:
            pass
        elif self._exchange is not None:
            self._buffer_pipelined(data)
        else:
            self._parse(data)

    def _buffer_pipelined(self, data: bytes) -> None:
        """Keep bytes that are received while a request is answered."""
        self._unparsed += data
        if len(self._unparsed) > MAX_PIPELINED_BYTES:
            self._disconnect()

    def _parse(self, data: bytes) -> None:
        """Parse received bytes and pass on the first request that they complete."""
        if not self.has_pending_bytes or self._partial_message.is_head_complete:
            self.has_pending_bytes = True
            self._start_timeout()
        if not self._partial_message.is_head_complete:
            self._partial_message.head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self.refuse(400, b"upgrades are not served; send a plain request")
            return
        except HttpParserError as error:
            text = str(error).encode("ascii", "replace")
            self.refuse(400, b"the request can not be read (%b); correct it" % text)
            return
        self._dispatch_next()

    def _dispatch_next(self) -> None:
        """Pass on the next complete request, unless one is being answered."""
        if self._exchange is not None or self._is_closing or self.is_closed:
            return
        message = self._queued_messages.popleft() if self._queued_messages else None
        refusal = (message or self._partial_message).check_limits(self.server.limits)
        if refusal is not None:
            self.refuse(*refusal)
        elif message is not None:
            self.has_pending_bytes = bool(
                self._queued_messages or self._partial_message.is_begun
            )
            self._exchange = RawExchange(
                method=message.method,
                target=message.target,
                headers=message.headers,
                body=bytes(message.body),
                keeps_alive=message.keeps_alive,
                connection=self,
            )
            self.server.on_request(self._exchange)
        elif self._partial_message.awaits_continue:
            self._partial_message.awaits_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _disconnect(self) -> None:
        """Close the connection and report an unfinished exchange as disconnected.

        Used when the caller disconnected or the socket failed, and for a caller that
        exceeds the limit of a buffer.
        """
        exchange = self._exchange
        self.close()
        if exchange is not None and exchange.is_open:
            exchange.is_open = False
            self.server.on_disconnect(exchange)

    # Writing

    def refuse(self, status: int, text: bytes) -> None:
        """Reject a malformed, oversized or slow request and close the connection."""
        if self._is_closing or self.is_closed:
            return
        self.server.on_bad_request(status, text)
        phrase = HTTPStatus(status).phrase.encode()
        self.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (status, phrase, len(text), text)
        )
        self._is_closing = True

    def write(self, data: bytes) -> None:
        """Buffer bytes to send; the writes of one loop iteration are sent together."""
        if self.is_closed:
            return
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self._disconnect()
            return
        self._unsent += data
        if self._watched_events & WRITE:
            self.server.held.update(self, len(self._unsent))
            if self._exceeds_bound and not self._is_blocked:
                self.server.reactor.defer(self._check_blocked)
        elif not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self.server.reactor.defer(self._flush)

    def _flush(self) -> None:
        """Send the buffered bytes; wait until the socket is writable for the rest."""
        self._is_flush_scheduled = False
        if self.is_closed:
            return
        taken_bytes = 0
        try:
            while self._unsent:
                sent_bytes = self._sock.send(self._unsent)
                taken_bytes += sent_bytes
                del self._unsent[:sent_bytes]
                if not self.is_busy and not self.has_pending_bytes:
                    self._start_timeout()  # the caller is still reading
        except BlockingIOError:
            self._watch(READ | WRITE)
            self.server.held.update(self, len(self._unsent), taken_bytes)
            self._check_blocked()
            return
        except OSError:
            self._disconnect()
            return
        self._watch(READ)
        self.server.held.release(self)
        self._check_blocked()
        if self._is_closing and not self._is_lingering:
            self._close_after_response()

    @property
    def _exceeds_bound(self) -> bool:
        return len(self._unsent) > self.server.held.limits.response_bytes

    def _check_blocked(self) -> None:
        """Report that the caller reads too slowly, or that it has caught up."""
        if self._exchange is None or self.is_closed:
            return
        if self._is_blocked:
            limit = self.server.held.limits.response_bytes * RESUME_FRACTION
            is_blocked = len(self._unsent) > limit
        else:
            is_blocked = self._exceeds_bound
        if is_blocked != self._is_blocked:
            self._is_blocked = is_blocked
            self.server.on_blocked(self._exchange, is_blocked)

    def end_slow(self) -> None:
        """Close the connection; its response then is not complete."""
        self._disconnect()

    def _close_after_response(self) -> None:
        """Close the connection; if the caller is still sending, only for writing."""
        if not self.has_pending_bytes and not self.has_unread_bytes:
            self.close()
            return
        self._is_lingering = True
        self._start_timeout()
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()  # the caller has reset the connection

    def _watch(self, events: int) -> None:
        if events != self._watched_events:
            self._watched_events = events
            self.server.reactor.watch(self._sock, events, self._on_ready)

    def finish(self, exchange: RawExchange) -> None:
        """Mark a response as complete and continue with the next request."""
        exchange.is_open = False
        self._exchange = None
        self._is_blocked = False
        self._start_timeout()
        if not exchange.keeps_alive:
            self._is_closing = True
            return
        is_awaited = self._partial_message.awaits_continue
        if self._queued_messages or self._unparsed or is_awaited:
            self.server.reactor.defer(self._resume)

    def _start_timeout(self) -> None:
        self.timeout_started_at = self.server.reactor.clock()
        self.idle_limit_s = self.server.limits.idle_s

    def check_timeout(self, now: float) -> None:
        """Refuse a request that is slow to arrive; close an idle connection."""
        if self.is_busy:
            return
        if self._is_lingering:
            if now - self.timeout_started_at > LINGER_S:
                self.close()
            return
        limits = self.server.limits
        is_in_head = self.has_pending_bytes and not self.is_head_complete
        limit_s = (
            limits.header_s if is_in_head else max(limits.idle_s, self.idle_limit_s)
        )
        if now - self.timeout_started_at <= limit_s or self.has_unread_bytes:
            return
        if self._is_closing or not self.has_pending_bytes:
            self.close()
        elif is_in_head:
            self.refuse(408, b"the header took too long; send it at once")
        else:
            self.refuse(408, b"the body stopped arriving; send it at once")

    def _resume(self) -> None:
        """Process the requests received while the last one was answered."""
        self._dispatch_next()
        if self._exchange is None and self._unparsed and not self.is_closed:
            pipelined = bytes(self._unparsed)
            self._unparsed.clear()
            self._parse(pipelined)

    def close(self) -> None:
        """Close the connection at once and discard the buffered bytes."""
        if self.is_closed:
            return
        self.is_closed = True
        self.server.held.release(self)
        self.server.reactor.unwatch(self._sock)
        self._sock.close()
        self.server.remove(self)


class CallerServer:
    """Listens for callers and passes on each complete request as an exchange.

    :param on_request: called with the exchange of each complete request.
    :param on_disconnect: called with an exchange whose caller disconnected.
    :param on_bad_request: called with status and text of the response to a request that
        was rejected while it was read.
    :param held: sum of what is held for slow readers; one of its own if None.
    :ivar on_blocked: called with an exchange and whether its caller reads too slowly
        for more of the response.
    """

    def __init__(
        self,
        bind: Address,
        reactor: Reactor,
        on_request: Callable[[RawExchange], None],
        on_disconnect: Callable[[RawExchange], None],
        on_bad_request: Callable[[int, bytes], None] = lambda status, text: None,
        held: HeldBytes | None = None,
    ):
        self.reactor = reactor
        self.held = held if held is not None else HeldBytes(reactor)
        self.on_blocked: Callable[[RawExchange, bool], None] = lambda _, is_blocked: (
            None
        )
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.on_bad_request = on_bad_request
        self.limits = CallerLimits()
        self.keeps_alive = True
        self._connections: set[_CallerConnection] = set()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((bind.host, bind.port))
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        reactor.watch(self._sock, READ, self._accept)
        reactor.timers.every(
            TIMEOUT_CHECK_S, self._check_timeouts, reactor.clock() + TIMEOUT_CHECK_S
        )

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._sock.getsockname()[1]

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that are buffered for callers."""
        return sum(connection.unsent_bytes for connection in self._connections)

    def _accept(self, _: int) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return  # no connection is pending, or no file descriptor is free
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.add(_CallerConnection(self, sock))

    def remove(self, connection: _CallerConnection) -> None:
        """Remove a connection that was closed."""
        self._connections.discard(connection)

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered."""
        for connection in list(self._connections):
            if connection.is_idle:
                connection.close()

    def _check_timeouts(self, now: float) -> list:
        """Refuse requests that arrive slowly; close idle or stalled connections."""
        for connection in list(self._connections):
            connection.check_timeout(now)
        return []

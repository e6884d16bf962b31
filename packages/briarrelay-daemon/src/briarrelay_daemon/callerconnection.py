"""Connections of callers, from which requests are read.

Requests are parsed by httptools. circuits.web is not used, since it exposes neither
repeated headers nor the framing of a body, which are needed to forward a request
unchanged, and since its parser takes time with the square of the number of chunks.
"""

from __future__ import annotations

import socket
from collections import deque
from typing import TYPE_CHECKING

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from briarrelay_daemon.calleraccount import AccountHolder
from briarrelay_daemon.callermessage import CallerMessage
from briarrelay_daemon.heldbytes import SlowReader
from briarrelay_daemon.rawexchange import RawExchange
from briarrelay_daemon.reactor import READ, WRITE

if TYPE_CHECKING:
    from briarrelay_daemon.callerserver import CallerServer

__all__ = ["READ_BYTES", "CallerConnection"]

READ_BYTES = 65_536
"""Maximum bytes read from a connection at a time."""

PARSED_BYTES = 1_024
"""Bytes that are parsed at a time, unless more of a body with a length is due. Parsing
stops at the end of a request, so this bounds the requests that are parsed ahead."""

SMALL_READ_BYTES = 4_096
"""Maximum bytes read at a time of a body in small chunks, which take far more time to
parse than others."""

SMALL_CHUNK_BYTES = 64
"""Average size of the parts of a body below which its chunks are small."""

MAX_PIPELINED_BYTES = 131_072
"""Maximum bytes buffered of the requests that a caller pipelines while one is answered;
a caller that sends more is disconnected."""

CONNECTION_BYTES = 6_144
"""Memory of a connection on which nothing has been received."""

REQUEST_BYTES = 8_192
"""Memory of a request in progress beside its message."""

MAX_BODY_S = 60.0
"""Seconds within which a body must arrive if the caller does not say how long it waits
for the response."""

RESUME_FRACTION = 0.5
"""Part of the bound of a response at which more of it is read again."""

LINGER_S = 1.0
"""Seconds for which what a caller still sends after its last response is read and
dropped. Closing with unread bytes would reset the connection, and the caller might lose
that response."""


class CallerConnection(SlowReader, AccountHolder):
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
    :ivar _request_bytes: memory of the request being answered.
    :ivar _body_parts: parts of bodies that the parser has found.
    :ivar _read_bytes: maximum bytes of the next read.
    :ivar has_pending_bytes: bytes were received beyond the requests passed on so
        far.
    :ivar timeout_started_at: start of the idle or header timeout: when the connection
        was accepted, the first byte of a request or a part of its body was received, or
        a part of the last response was sent, whichever is latest.
    :ivar idle_limit_s: limit on the idle time in seconds when that timeout started.
    """

    def __init__(self, server: CallerServer, sock: socket.socket):
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
        self._request_bytes = 0
        self._body_parts = 0
        self._read_bytes = READ_BYTES
        self.has_pending_bytes = False
        self._start_timeout()
        server.reactor.watch(sock, READ, self._on_ready)
        self._update_account()

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
        message = self._partial_message
        message.is_begun = True
        message.begun_at = self.server.reactor.clock()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self._partial_message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._partial_message.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Mark the header as complete."""
        message = self._partial_message
        message.complete_head()
        time_limit_s = self.server.read_time_limit_s(message.headers)
        message.time_limit_s = MAX_BODY_S if time_limit_s is None else time_limit_s
        is_older = self._parser.get_http_version() == "1.0"
        message.awaits_continue = message.expects_continue and not is_older

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        message = self._partial_message
        message.body.write(data)
        message.framing_bytes = 0
        message.awaits_continue = False
        self._body_parts += 1

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
            data = self._sock.recv(self._read_bytes)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._disconnect()
        elif self._is_closing:
            pass
        elif self._exchange is not None or self._queued_messages or self._unparsed:
            self._buffer_pipelined(data)
        else:
            self._parse(data)

    def _buffer_pipelined(self, data: bytes) -> None:
        """Keep bytes that are received while a request is answered."""
        self._unparsed += data
        if len(self._unparsed) > MAX_PIPELINED_BYTES:
            self._disconnect()
            return
        self._update_account()
        self.server.account.make_room()

    def _parse(self, data: bytes) -> None:
        """Parse received bytes and pass on the first request that they complete."""
        if not self.has_pending_bytes:
            self.server.account.restart(self)
        if not self.has_pending_bytes or self._partial_message.is_head_complete:
            self.has_pending_bytes = True
            self._start_timeout()
        self._body_parts = 0
        start = 0
        while start < len(data) and not self._queued_messages:
            message = self._partial_message
            due_bytes = message.declared_bytes - message.body_bytes
            end = start + max(PARSED_BYTES, due_bytes)
            if not self._feed(data[start:end]):
                return
            start = end
        self._unparsed += data[start:]
        is_in_small_parts = self._body_parts * SMALL_CHUNK_BYTES > len(data)
        self._read_bytes = SMALL_READ_BYTES if is_in_small_parts else READ_BYTES
        self._dispatch_next()
        self._update_account()
        self.server.account.make_room()

    def _feed(self, data: bytes) -> bool:
        """Parse bytes; return whether more of them may be parsed."""
        message = self._partial_message
        if message.is_head_complete:
            message.framing_bytes += len(data)  # until a part of the body is found
        else:
            message.head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self.refuse(400, b"upgrades are not served; send a plain request")
            return False
        except HttpParserError as error:
            text = str(error).encode("ascii", "replace")
            self.refuse(400, b"the request can not be read (%b); correct it" % text)
            return False
        if self._queued_messages:
            return True
        refusal = self._partial_message.check_limits(self.server.limits)
        if refusal is not None:
            self.refuse(*refusal)
            return False
        return True

    def _dispatch_next(self) -> None:
        """Pass on the next complete request, unless one is being answered."""
        if self._exchange is not None or self._is_closing or self.is_closed:
            return
        message = self._queued_messages.popleft() if self._queued_messages else None
        checked = message or self._partial_message
        refusal = checked.check_limits(self.server.limits)
        if refusal is not None:
            self.refuse(*refusal)
        elif not self._may_admit(checked):
            self._refuse_for_memory()
        elif message is not None:
            self._begin_exchange(message)
        elif self._partial_message.awaits_continue:
            self._partial_message.awaits_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _may_admit(self, message: CallerMessage) -> bool:
        """Return whether there is memory for a request, once its size is known."""
        size = max(message.held_bytes, message.declared_bytes) + REQUEST_BYTES
        return not message.is_head_complete or self.server.account.may_admit(size)

    def _begin_exchange(self, message: CallerMessage) -> None:
        self.has_pending_bytes = bool(
            self._queued_messages or self._unparsed or self._partial_message.is_begun
        )
        self._request_bytes = message.held_bytes + REQUEST_BYTES
        self._exchange = RawExchange(
            method=message.method,
            target=message.target,
            headers=message.headers,
            body=message.body.getvalue(),
            keeps_alive=message.keeps_alive,
            connection=self,
        )
        self._update_account()
        self.server.on_request(self._exchange)

    # Memory

    def _update_account(self) -> None:
        """State what is held for this connection."""
        if self.is_closed:
            return
        admitted = self._request_bytes + len(self._unsent)
        admitted += sum(message.held_bytes for message in self._queued_messages)
        size = CONNECTION_BYTES + admitted + len(self._unparsed)
        size += self._partial_message.held_bytes
        self.server.account.update(self, size, admitted)

    def end_for_memory(self) -> None:
        if self.has_pending_bytes and not self._is_closing:
            self._refuse_for_memory()
        else:
            self._disconnect()

    def _refuse_for_memory(self) -> None:
        text = b"this instance has no memory left for the request; send it again later"
        self.refuse(503, text, self.server.account.next_retry_s())

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

    def refuse(self, status: int, text: bytes, retry_s: float | None = None) -> None:
        """Reject a request that is not passed on, and close the connection.

        :param retry_s: seconds after which the caller may send it again.
        """
        if self._is_closing or self.is_closed:
            return
        self.server.on_bad_request(status, text)
        self.write(self.server.encode_refusal(status, text, retry_s))
        self._is_closing = True
        self._discard_received()

    def _discard_received(self) -> None:
        """Drop what was received of requests that are not passed on any more."""
        self._partial_message = CallerMessage()
        self._queued_messages.clear()
        self._unparsed = bytearray()
        self._parser = None
        self._update_account()

    def write(self, data: bytes) -> None:
        """Buffer bytes to send; the writes of one loop iteration are sent together."""
        if self.is_closed:
            return
        if len(self._unsent) > self.server.max_unsent_bytes:
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
            self._update_account()
            self._check_blocked()
            return
        except OSError:
            self._disconnect()
            return
        if self._watched_events & WRITE:
            self._watch(READ)
            self.server.held.release(self)
        if not self.is_busy:
            self._update_account()
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
        self._request_bytes = 0
        self._start_timeout()
        self._update_account()
        self.server.account.restart(self)
        if not exchange.keeps_alive:
            self._is_closing = True
            return
        is_awaited = self._partial_message.awaits_continue
        if self._queued_messages or self._unparsed or is_awaited:
            self.server.reactor.call_soon(self._resume)

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
        if self._is_body_late(now):
            self.refuse(408, b"the body took too long; send it at once")
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

    def _is_body_late(self, now: float) -> bool:
        """Return whether the caller has given up waiting for the response by now."""
        message = self._partial_message
        if self._is_closing or not message.is_head_complete:
            return False
        return now - message.begun_at > message.time_limit_s

    def _resume(self) -> None:
        """Process the requests received while the last one was answered."""
        if self._exchange is not None or self._is_closing or self.is_closed:
            return
        if self._queued_messages or not self._unparsed:
            self._dispatch_next()
            return
        pipelined = bytes(self._unparsed)
        self._unparsed.clear()
        self._parse(pipelined)

    @property
    def is_closable(self) -> bool:
        """Whether no whole request is held and no response is unsent."""
        return not (self.is_busy or self._queued_messages or self._unsent)

    @property
    def closing_rank(self) -> tuple[bool, float]:
        """Order in which connections are closed to make room: idle ones first."""
        is_reading = self.has_pending_bytes and not self._is_closing
        return is_reading, self.timeout_started_at

    def end_for_connection(self) -> None:
        """Close the connection to make room for another one."""
        if self.has_pending_bytes and not self._is_closing:
            text = b"this instance has no connection left; send the request again later"
            self.refuse(503, text, self.server.account.next_retry_s())
            self._flush()
        self.close()

    def close(self) -> None:
        """Close the connection at once and discard the buffered bytes."""
        if self.is_closed:
            return
        self.is_closed = True
        self._partial_message = CallerMessage()
        self._queued_messages.clear()
        self._unparsed = bytearray()
        self._unsent = bytearray()
        self.server.held.release(self)
        self.server.account.release(self)
        self.server.reactor.unwatch(self._sock)
        self._sock.close()
        self.server.remove(self)

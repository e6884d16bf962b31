"""HTTP server for callers, which keeps headers and bodies as raw bytes."""

import errno
import socket
from collections.abc import Callable, Iterable
from heapq import nsmallest
from http import HTTPStatus

from briarrelay_core.routes.model import CallerLimits
from briarrelay_daemon.calleraccount import CallerAccount
from briarrelay_daemon.callerconnection import READ_BYTES, CallerConnection
from briarrelay_daemon.heldbytes import HeldBytes
from briarrelay_daemon.rawexchange import RawExchange
from briarrelay_daemon.reactor import READ, Reactor
from briarrelay_daemon.settings import Address

__all__ = ["CallerServer", "encode_refusal"]

BACKLOG = 512
"""Length of the accept queue. If it is full, connections are dropped, which callers
retry only after seconds."""

TIMEOUT_CHECK_S = 0.5
"""Seconds between checks for idle connections and slow headers."""

MAX_ACCEPTED = 128
"""Connections accepted in one iteration of the loop."""

MAX_UNSENT_BYTES = 1_048_576
"""Default of `CallerServer.max_unsent_bytes`."""

MAX_CONNECTIONS = 4_096
"""Connections of a server whose process names no number of descriptors."""

CLOSED_FRACTION = 64
"""One in so many connections is closed at a time to make room for others."""

NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
"""Errors of accept() that persist until a descriptor or memory is free."""

ACCEPT_PAUSE_S = 0.1
"""Seconds without accepting after the system had no descriptor for a connection."""


class CallerServer:
    """Listens for callers and passes on each complete request as an exchange.

    :param on_request: called with the exchange of each complete request.
    :param on_disconnect: called with an exchange whose caller disconnected.
    :param on_bad_request: called with status and text of the response to a request that
        was rejected while it was read.
    :param held: sum of what is held for slow readers; one of its own if None.
    :param account: account of what callers hold; one of its own if None.
    :param max_connections: most connections at a time.
    :ivar max_unsent_bytes: bytes of a response buffered for a slow caller, from which
        the next write disconnects it; a complete response may be longer.
    :ivar on_blocked: called with an exchange and whether its caller reads too slowly
        for more of the response.
    :ivar on_no_descriptor: called when the system has no descriptor for a connection.
    :ivar read_time_limit_s: returns the seconds for which a caller waits for the
        response, by its headers, or None if they do not say.
    :ivar encode_refusal: returns the response to a request that is rejected while it is
        read, by status, text, and seconds after which it may be sent again or None.
    """

    def __init__(
        self,
        bind: Address,
        reactor: Reactor,
        on_request: Callable[[RawExchange], None],
        on_disconnect: Callable[[RawExchange], None],
        on_bad_request: Callable[[int, bytes], None] = lambda status, text: None,
        held: HeldBytes | None = None,
        account: CallerAccount | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ):
        self.reactor = reactor
        self.held = held if held is not None else HeldBytes(reactor)
        self.account = account if account is not None else CallerAccount(reactor.clock)
        self.max_connections = max_connections
        self.max_unsent_bytes = MAX_UNSENT_BYTES
        self.on_blocked: Callable[[RawExchange, bool], None] = lambda _, is_blocked: (
            None
        )
        self.on_no_descriptor: Callable[[], None] = lambda: None
        self.read_time_limit_s: Callable[[list], float | None] = lambda headers: None
        self.encode_refusal = encode_refusal
        self.on_request = on_request
        self.on_disconnect = on_disconnect
        self.on_bad_request = on_bad_request
        self.limits = CallerLimits()
        self.keeps_alive = True
        self._connections: set[CallerConnection] = set()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((bind.host, bind.port))
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self._on_connecting = self._accept
        reactor.watch(self._sock, READ, self._on_connecting)
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
        for _ in range(MAX_ACCEPTED):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in NO_DESCRIPTOR:
                    self._pause_accepting()
                return  # the next call returns the next connection
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if len(self._connections) < self.max_connections or self._close_some():
                self._connections.add(CallerConnection(self, sock))
            else:
                self._refuse_connection(sock)
        self.account.make_room()

    def _pause_accepting(self) -> None:
        """Stop polling for connections that can not be accepted, for a moment."""
        self.on_no_descriptor()
        self._close_some()
        self.reactor.unwatch(self._sock)
        due = self.reactor.clock() + ACCEPT_PAUSE_S
        self.reactor.timers.at(due, self._resume_accepting)

    def _resume_accepting(self, _: float) -> list:
        if self._sock.fileno() >= 0:
            self.reactor.watch(self._sock, READ, self._on_connecting)
        return []

    def _close_some(self) -> bool:
        """Close connections without a complete request; return whether there are any.

        Idle ones are closed before others, each kind by age; some at a time, so that
        not every connection causes a search.
        """
        closable = (c for c in self._connections if c.is_closable)
        number = 1 + len(self._connections) // CLOSED_FRACTION
        ended = nsmallest(number, closable, key=lambda c: c.closing_rank)
        for connection in ended:
            connection.end_for_connection()
        return bool(ended)

    def _refuse_connection(self, sock: socket.socket) -> None:
        """Refuse a connection, since each other one has a request in progress."""
        text = b"this instance has no connection left; send the request again later"
        self.on_bad_request(503, text)
        with sock:
            try:
                sock.recv(READ_BYTES)  # unread bytes would reset the connection
            except OSError:
                pass  # nothing has arrived, or the caller has left
            try:
                sock.send(self.encode_refusal(503, text, self.account.next_retry_s()))
                sock.shutdown(socket.SHUT_WR)
            except OSError:
                pass  # the caller has left

    def remove(self, connection: CallerConnection) -> None:
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


def encode_refusal(
    status: int,
    text: bytes,
    retry_s: float | None,
    headers: Iterable[tuple[bytes, bytes]] = (),
    content_type: bytes = b"text/plain",
) -> bytes:
    """Return a response that closes the connection.

    :param retry_s: seconds after which the request may be sent again, None for never.
    :param headers: further headers.
    """
    lines = [
        b"HTTP/1.1 %d %b" % (status, HTTPStatus(status).phrase.encode()),
        b"Content-Type: " + content_type,
        b"Content-Length: %d" % len(text),
        b"Connection: close",
    ]
    if retry_s is not None:
        lines.append(f"Retry-After: {retry_s:.4g}".encode())
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join([*lines, b"", text])

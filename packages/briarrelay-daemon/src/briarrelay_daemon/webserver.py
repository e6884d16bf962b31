"""HTTP server on circuits.web with responses that are sent later or streamed."""

from collections.abc import Callable

from attrs import define, field
from circuits import BaseComponent, handler
from circuits.net.events import close
from circuits.web import BaseServer
from circuits.web.events import response, stream

from briarrelay_daemon.reactor import Reactor
from briarrelay_daemon.responsestream import ResponseStream
from briarrelay_daemon.settings import Address

__all__ = ["Exchange", "WebServer"]

IDLE_CHECK_INTERVAL_S = 1.0
"""Interval of the check for idle connections."""

MAX_HEAD_BYTES = 65_536
"""Allowance for the request line and headers, on top of the longest body."""

READ_BYTES = 262_144
"""Most bytes read from a socket at a time."""


@define(slots=True, eq=False)
class Exchange:
    """One request and its response.

    :param headers: header names in lower case.
    :param stream: stream of the response once :meth:`open_stream` was called.
    :param is_over: whether the response is complete or the connection has ended.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes = field(repr=False)
    sock: object = field(repr=False)
    _server: "WebServer" = field(repr=False)
    _response: object = field(repr=False)
    stream: ResponseStream | None = None
    is_over: bool = False

    def reply(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response; does nothing once the exchange is over."""
        if self.is_over:
            return
        self._server.finish(self)
        web_response = self._response
        web_response.status = status
        web_response.headers["Content-Type"] = "application/json"
        for name, value in (headers or {}).items():
            web_response.headers[name] = value
        web_response.body = body
        self._server.fire(response(web_response), "web")

    def open_stream(self, content_type: str) -> ResponseStream:
        """Send the head of a streamed response and return the stream for its body."""
        web_response = self._response
        web_response.status = 200
        web_response.headers["Content-Type"] = content_type
        web_response.headers["Cache-Control"] = "no-store"
        web_response.stream = True
        web_response.body = (chunk for chunk in ())
        web_response.prepare()
        head = bytes(web_response) + bytes(web_response.headers)
        self.stream = ResponseStream(
            self.sock, self._server.reactor, self._server.buffer_bytes
        )
        self.stream.write_raw(head)
        return self.stream

    def close_stream(self) -> None:
        """End a streamed response once all buffered bytes are sent."""
        if not self.is_over:
            self._server.finish(self)
            self.stream.call_when_sent(self._end_stream)

    def _end_stream(self) -> None:
        self._server.fire(stream(self._response, None), "web")

    def abort(self) -> None:
        """Close the connection before the response is complete."""
        self._server.abort(self.sock)


class _QuietServer(BaseServer):
    """circuits' server without the line that it writes to stderr when ready."""

    @handler("ready", override=True)
    def _on_ready(self, server, bind) -> None:
        pass


class WebServer(BaseComponent):
    """Accepts connections and passes each complete request on as an Exchange.

    :param on_request: called with the exchange of a new request.
    :param on_disconnect: called with an exchange whose connection ended before its
        response was complete.
    :param max_body_bytes: longest request body.
    :param buffer_bytes: most bytes of a streamed response buffered for a caller.
    :param idle_s: seconds that a connection may stay open without a complete request.
    """

    channel = "web"

    def __init__(
        self,
        bind_address: Address,
        reactor: Reactor,
        on_request: Callable[[Exchange], None],
        on_disconnect: Callable[[Exchange], None],
        max_body_bytes: int = 64_000_000,
        buffer_bytes: int = 262_144,
        idle_s: float = 60.0,
    ):
        super().__init__(channel=self.channel)
        self.reactor = reactor
        self.buffer_bytes = buffer_bytes
        self._on_request = on_request
        self._on_caller_disconnect = on_disconnect
        self._max_request_bytes = max_body_bytes + MAX_HEAD_BYTES
        self._idle_s = idle_s
        self._exchanges: dict[object, Exchange] = {}
        self._idle_since: dict[object, float] = {}
        self._received_bytes: dict[object, int] = {}
        self._web = _QuietServer(
            (bind_address.host, bind_address.port),
            channel="web",
            display_banner=False,
            bufsize=READ_BYTES,
        ).register(self)
        reactor.timers.every(
            IDLE_CHECK_INTERVAL_S,
            self._check_idle,
            reactor.clock() + IDLE_CHECK_INTERVAL_S,
        )

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._web.port

    @handler("connect")
    def _on_connect(self, sock, *_) -> None:
        self._idle_since[sock] = self.reactor.clock()
        self._received_bytes[sock] = 0

    @handler("read", priority=1.0)
    def _on_read(self, event, sock, data) -> None:
        if sock in self._exchanges:
            event.stop()
            self.abort(sock)
            return
        byte_count = self._received_bytes.get(sock, 0) + len(data)
        self._received_bytes[sock] = byte_count
        if byte_count > self._max_request_bytes:
            event.stop()
            self._reject_too_large(sock)

    def _reject_too_large(self, sock) -> None:
        limit = self._max_request_bytes - MAX_HEAD_BYTES
        text = (
            '{"error":{"reason":"too_large","outcome":"not_run","message":'
            f'"too_large: the body is over {limit} bytes; send a shorter one"}}}}'
        )
        head = (
            "HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
        )
        try:
            sock.send((head + text).encode())
        except OSError:
            pass
        self.abort(sock)

    @handler("request", priority=1.0)
    def _on_web_request(self, event, request, web_response, *_) -> bool:
        sock = request.sock
        self._idle_since.pop(sock, None)
        self._received_bytes[sock] = 0
        exchange = Exchange(
            method=request.method,
            path=request.path,
            query=_parse_query(request.qs),
            headers={name.lower(): value for name, value in request.headers.items()},
            body=request.body.read(),
            sock=sock,
            server=self,
            response=web_response,
        )
        self._exchanges[sock] = exchange
        self._on_request(exchange)
        event.stop()
        return True

    def finish(self, exchange: Exchange) -> None:
        """Mark the response of an exchange as complete and restart the idle timeout."""
        exchange.is_over = True
        self._exchanges.pop(exchange.sock, None)
        self._idle_since[exchange.sock] = self.reactor.clock()

    def abort(self, sock) -> None:
        """Close a connection immediately."""
        self.fire(close(sock), "web")

    @handler("disconnect", priority=1.0)
    def _on_disconnect(self, sock) -> None:
        self._idle_since.pop(sock, None)
        self._received_bytes.pop(sock, None)
        exchange = self._exchanges.pop(sock, None)
        if exchange is None:
            return
        exchange.is_over = True
        if exchange.stream is not None:
            exchange.stream.discard()
        self._on_caller_disconnect(exchange)

    def _check_idle(self, now: float) -> list:
        """Close connections without a complete request for longer than the limit."""
        idle = [
            s for s, since in self._idle_since.items() if now - since > self._idle_s
        ]
        for sock in idle:
            self._idle_since.pop(sock, None)
            self.abort(sock)
        return []


def _parse_query(query_string: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in (query_string or "").split("&") if part)
    return {name: value for name, _, value in pairs}

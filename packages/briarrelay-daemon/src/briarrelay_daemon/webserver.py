"""HTTP server: circuits.web reads requests, answers may come later or in parts."""

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

CHECK_S = 1.0
"""Seconds between looks for connections that have been idle too long."""

HEAD_ALLOWANCE = 65_536
"""Bytes of a request beyond its body."""

BUFFER_BYTES = 262_144
"""Most bytes read from a caller at a time."""


@define(slots=True, eq=False)
class Exchange:
    """One request and its answer.

    :param headers: header names in lower case.
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
        """Send a whole answer; a second one is ignored."""
        if self.is_over:
            return
        self._server.finish(self)
        answer = self._response
        answer.status = status
        answer.headers["Content-Type"] = "application/json"
        for name, value in (headers or {}).items():
            answer.headers[name] = value
        answer.body = body
        self._server.fire(response(answer), "web")

    def open_stream(self, content_type: str) -> ResponseStream:
        """Send the head of an answer in parts and return where the parts go."""
        answer = self._response
        answer.status = 200
        answer.headers["Content-Type"] = content_type
        answer.headers["Cache-Control"] = "no-store"
        answer.stream = True
        answer.body = (part for part in ())
        answer.prepare()
        head = bytes(answer) + bytes(answer.headers)
        self.stream = ResponseStream(
            self.sock, self._server.reactor, self._server.buffer_bytes
        )
        self.stream.write_raw(head)
        return self.stream

    def close_stream(self) -> None:
        """End an answer in parts once the caller has read it."""
        if not self.is_over:
            self._server.finish(self)
            self.stream.call_when_sent(self._end)

    def _end(self) -> None:
        self._server.fire(stream(self._response, None), "web")

    def cut(self) -> None:
        """Close the connection, since the answer can not be ended properly."""
        self._server.cut(self.sock)


class _QuietServer(BaseServer):
    """circuits' server without its line on the standard error stream."""

    @handler("ready", override=True)
    def _on_ready(self, server, bind) -> None:
        pass


class WebServer(BaseComponent):
    """Listens, and hands each whole request on as an Exchange.

    :param on_request: called with an exchange.
    :param on_gone: called with an exchange whose connection ended too early.
    """

    channel = "web"

    def __init__(
        self,
        bind: Address,
        reactor: Reactor,
        on_request: Callable[[Exchange], None],
        on_gone: Callable[[Exchange], None],
        max_body_bytes: int = 64_000_000,
        buffer_bytes: int = 262_144,
        idle_s: float = 60.0,
    ):
        super().__init__(channel=self.channel)
        self.reactor = reactor
        self.buffer_bytes = buffer_bytes
        self._on_request = on_request
        self._on_gone = on_gone
        self._max_bytes = max_body_bytes + HEAD_ALLOWANCE
        self._idle_s = idle_s
        self._open: dict[object, Exchange] = {}
        self._since: dict[object, float] = {}
        self._received: dict[object, int] = {}
        self._web = _QuietServer(
            (bind.host, bind.port),
            channel="web",
            display_banner=False,
            bufsize=BUFFER_BYTES,
        ).register(self)
        reactor.timers.every(CHECK_S, self._check_idle, reactor.clock() + CHECK_S)

    @property
    def port(self) -> int:
        """Port that is listened on."""
        return self._web.port

    @handler("connect")
    def _on_connect(self, sock, *_) -> None:
        self._since[sock] = self.reactor.clock()
        self._received[sock] = 0

    @handler("read", priority=1.0)
    def _on_read(self, event, sock, data) -> None:
        if sock in self._open:
            event.stop()
            self.cut(sock)
            return
        received = self._received.get(sock, 0) + len(data)
        self._received[sock] = received
        if received > self._max_bytes:
            event.stop()
            self._refuse_size(sock)

    def _refuse_size(self, sock) -> None:
        limit = self._max_bytes - HEAD_ALLOWANCE
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
        self.cut(sock)

    @handler("request", priority=1.0)
    def _on_web_request(self, event, request, answer, *_) -> bool:
        sock = request.sock
        self._since.pop(sock, None)
        self._received[sock] = 0
        exchange = Exchange(
            method=request.method,
            path=request.path,
            query=_read_query(request.qs),
            headers={name.lower(): value for name, value in request.headers.items()},
            body=request.body.read(),
            sock=sock,
            server=self,
            response=answer,
        )
        self._open[sock] = exchange
        self._on_request(exchange)
        event.stop()
        return True

    def finish(self, exchange: Exchange) -> None:
        """Note that an exchange has its answer."""
        exchange.is_over = True
        self._open.pop(exchange.sock, None)
        self._since[exchange.sock] = self.reactor.clock()

    def cut(self, sock) -> None:
        """Close a connection at once."""
        self.fire(close(sock), "web")

    @handler("disconnect", priority=1.0)
    def _on_disconnect(self, sock) -> None:
        self._since.pop(sock, None)
        self._received.pop(sock, None)
        exchange = self._open.pop(sock, None)
        if exchange is None:
            return
        exchange.is_over = True
        if exchange.stream is not None:
            exchange.stream.discard()
        self._on_gone(exchange)

    def _check_idle(self, now: float) -> list:
        """Close connections that do not bring a whole request."""
        late = [s for s, at in self._since.items() if now - at > self._idle_s]
        for sock in late:
            self._since.pop(sock, None)
            self.cut(sock)
        return []


def _read_query(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in (text or "").split("&") if part)
    return {name: value for name, _, value in pairs}

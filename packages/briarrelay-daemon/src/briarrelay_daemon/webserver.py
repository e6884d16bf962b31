"""HTTP server for the API, with responses that are sent later or streamed."""

from collections.abc import Callable
from urllib.parse import urlsplit

import orjson
from attrs import define, field

from briarrelay_core.reasons import RefusalReason
from briarrelay_core.routes.model import CallerLimits
from briarrelay_daemon.calleraccount import CallerAccount
from briarrelay_daemon.callerserver import CallerServer, encode_refusal
from briarrelay_daemon.heldbytes import HeldBytes
from briarrelay_daemon.rawexchange import RawExchange
from briarrelay_daemon.reactor import Reactor
from briarrelay_daemon.responsestream import ResponseStream
from briarrelay_daemon.settings import Address

__all__ = ["Exchange", "WebServer", "reason_for_status"]

MAX_HEAD_BYTES = 65_536
"""Longest request line and headers."""

JSON_TYPE = "application/json"


def reason_for_status(status: int) -> RefusalReason:
    """Return why a request was rejected with a status while it was read."""
    if status == 413:
        return RefusalReason.TOO_LARGE
    if status == 503:
        return RefusalReason.INSTANCE_FULL
    return RefusalReason.BAD_REQUEST


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
    _raw: RawExchange = field(repr=False)
    _server: "WebServer" = field(repr=False)
    stream: ResponseStream | None = None
    is_over: bool = False

    def reply(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response; does nothing once the exchange is over."""
        if self.is_over:
            return
        self._server.finish(self)
        pairs = {"Content-Type": JSON_TYPE, **(headers or {})}
        self._raw.reply(status, _encode_headers(pairs), body)

    def open_stream(self, content_type: str) -> ResponseStream:
        """Send the head of a streamed response and return the stream for its body."""
        headers = {"Content-Type": content_type, "Cache-Control": "no-store"}
        self._raw.begin(200, _encode_headers(headers))
        self.stream = ResponseStream(self._raw, self._server.buffer_bytes)
        return self.stream

    def release_body(self) -> None:
        """Drop the body of the request, which is not needed any more."""
        self.body = self._raw.body = b""

    def close_stream(self) -> None:
        """End a streamed response."""
        if not self.is_over:
            self._server.finish(self)
            self._raw.end()

    def abort(self) -> None:
        """Close the connection before the response is complete."""
        self._server.finish(self)
        self._raw.abort()


class WebServer:
    """Accepts connections and passes each complete request on as an Exchange.

    :param on_request: called with the exchange of a new request.
    :param on_disconnect: called with an exchange whose connection ended before its
        response was complete.
    :param on_bad_request: called with status and text of the response to a request that
        was rejected while it was read.
    :param max_body_bytes: longest request body.
    :param buffer_bytes: most bytes of a streamed response buffered for a caller.
    :param idle_s: seconds that a connection may stay open without a complete request.
    :param held: sum of what is held for slow readers; one of its own if None.
    :param account: account of what callers hold; one of its own if None.
    :param options: further arguments of the :class:`CallerServer`.
    """

    def __init__(
        self,
        bind_address: Address,
        reactor: Reactor,
        on_request: Callable[[Exchange], None],
        on_disconnect: Callable[[Exchange], None],
        on_bad_request: Callable[[int, bytes], None] = lambda status, text: None,
        max_body_bytes: int = 64_000_000,
        buffer_bytes: int = 262_144,
        idle_s: float = 60.0,
        held: HeldBytes | None = None,
        account: CallerAccount | None = None,
        **options,
    ):
        self.buffer_bytes = buffer_bytes
        self._on_request = on_request
        self._on_disconnect = on_disconnect
        self._exchanges: dict[RawExchange, Exchange] = {}
        self.server = CallerServer(
            bind_address,
            reactor,
            self._on_raw_request,
            self._on_raw_disconnect,
            on_bad_request,
            held,
            account,
            **options,
        )
        self.server.limits = CallerLimits(
            header_bytes=MAX_HEAD_BYTES,
            body_bytes=max_body_bytes,
            header_s=idle_s,
            idle_s=idle_s,
        )
        self.server.max_unsent_bytes = buffer_bytes
        self.server.encode_refusal = _encode_json_refusal

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self.server.port

    def _on_raw_request(self, raw: RawExchange) -> None:
        target = urlsplit(raw.target.decode("latin-1"))
        exchange = Exchange(
            method=raw.method,
            path=target.path,
            query=_parse_query(target.query),
            headers=_decode_headers(raw.headers),
            body=raw.body,
            raw=raw,
            server=self,
        )
        self._exchanges[raw] = exchange
        self._on_request(exchange)

    def _on_raw_disconnect(self, raw: RawExchange) -> None:
        exchange = self._exchanges.pop(raw, None)
        if exchange is not None:
            exchange.is_over = True
            self._on_disconnect(exchange)

    def finish(self, exchange: Exchange) -> None:
        """Mark the response of an exchange as complete."""
        exchange.is_over = True
        self._exchanges.pop(exchange._raw, None)


def _encode_json_refusal(status: int, text: bytes, retry_s: float | None) -> bytes:
    reason = reason_for_status(status)
    message = f"{reason.value}: {text.decode()}"
    error = {"reason": reason.value, "outcome": "not_run", "message": message}
    body = orjson.dumps({"error": error})
    whole_s = None if retry_s is None else max(1, round(retry_s))
    return encode_refusal(status, body, whole_s, content_type=JSON_TYPE.encode())


def _encode_headers(headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
    return [(name.encode(), value.encode()) for name, value in headers.items()]


def _decode_headers(pairs: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return headers by name in lower case; of those with one name, the last."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1").strip()
        for name, value in pairs
    }


def _parse_query(query_string: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in query_string.split("&") if part)
    return {name: value for name, _, value in pairs}

"""HTTP adapter for callers: receives requests and sends responses.

A response is either complete or streamed as server-sent events.
"""

from attrs import define, field
from uuid6 import uuid7

from briarrelay_core.outcomes import Done, NotRun
from briarrelay_core.ports.caller import (
    CallerGone,
    ChatRequest,
    SendOutcome,
    SendResponseText,
    ServiceRequest,
)
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.reasons import RefusalReason
from briarrelay_daemon.calleraccount import CallerAccount
from briarrelay_daemon.chatapi import (
    chat_completion,
    error_body,
    error_status,
    parse_chat,
    parse_deadline,
    parse_service_call,
    sse_event_prefix,
    sse_final_events,
    sse_text_event,
)
from briarrelay_daemon.heldbytes import HeldBytes
from briarrelay_daemon.host import Host
from briarrelay_daemon.settings import Settings
from briarrelay_daemon.status import StatusPages
from briarrelay_daemon.webserver import Exchange, WebServer, reason_for_status

__all__ = ["CallerPort"]

CHAT_PATH = "/v1/chat/completions"
SERVICE_PREFIX = "/v1/services/"
MAX_REQUEST_ID_CHARS = 128


@define(slots=True, eq=False)
class _PendingRequest:
    """A request whose response is not complete.

    :param stream: whether the caller requested a streamed response.
    :param event_prefix: bytes before the text in each event, once the stream is open.
    :param text: text received so far for a response that is not streamed.
    """

    exchange: Exchange
    request: ChatRequest | ServiceRequest
    stream: bool = False
    event_prefix: bytes = b""
    text: list[str] = field(factory=list)


class CallerPort:
    """Passes callers' requests to the core and performs its effects on responses."""

    def __init__(
        self,
        host: Host,
        settings: Settings,
        held: HeldBytes,
        account: CallerAccount,
        max_connections: int,
    ):
        self._host = host
        self._settings = settings
        self._pending: dict[str, _PendingRequest] = {}
        self._status_pages = StatusPages(host, settings.operator_key_hash)
        self.server = WebServer(
            settings.listen,
            host.reactor,
            self._on_request,
            self._on_disconnect,
            self._on_bad_request,
            max_body_bytes=settings.max_body_bytes,
            buffer_bytes=settings.caller_buffer_bytes,
            idle_s=settings.caller_idle_s,
            held=held,
            account=account,
            max_connections=max_connections,
        )
        self.server.server.read_time_limit_s = self._read_time_limit_s
        self.server.server.on_no_descriptor = self._on_no_descriptor
        account.on_ended = self._on_ended_for_memory
        host.register(SendResponseText, self._on_text)
        host.register(SendOutcome, self._on_finish)

    def _read_time_limit_s(self, headers: list[tuple[bytes, bytes]]) -> float | None:
        """Return the seconds until a caller's deadline, None if it names none."""
        for name, value in headers:
            if name.lower() == b"request-deadline":
                deadline = parse_deadline({"request-deadline": value.decode("latin-1")})
                if isinstance(deadline, float) and deadline > self._host.now:
                    return deadline - self._host.now
        return None

    def _on_bad_request(self, status: int, text: bytes) -> None:
        """Count and record a request that was rejected while it was read."""
        self._record_refusal("", reason_for_status(status).value, text.decode())

    def _on_ended_for_memory(self, size: int) -> None:
        self._host.counters.add("callers.ended_for_memory")
        self._host.logger.warning("ended_for_memory", held_bytes=size)

    def _on_no_descriptor(self) -> None:
        self._host.counters.add("callers.no_descriptor")
        self._host.logger.warning("no_descriptor", remedy="raise the system's limit")

    def _on_request(self, exchange: Exchange) -> None:
        if exchange.method == "POST" and exchange.path == CHAT_PATH:
            self._on_chat(exchange)
        elif exchange.method == "POST" and exchange.path.startswith(SERVICE_PREFIX):
            self._on_service_call(exchange)
        else:
            self._status_pages.respond(exchange)

    def _request_id(self, exchange: Exchange) -> str:
        given = exchange.headers.get("x-request-id", "")
        is_valid = given.isascii() and given.isprintable() and " " not in given
        if given and is_valid and len(given) <= MAX_REQUEST_ID_CHARS:
            return given
        return str(uuid7())

    def _on_chat(self, exchange: Exchange) -> None:
        request_id = self._request_id(exchange)
        parsed = parse_chat(exchange.body, exchange.headers, request_id, self._settings)
        if isinstance(parsed, NotRun):
            self._refuse(exchange, request_id, parsed)
            return
        self._submit(_PendingRequest(exchange, parsed.request, parsed.stream))

    def _on_service_call(self, exchange: Exchange) -> None:
        request_id = self._request_id(exchange)
        rest = exchange.path.removeprefix(SERVICE_PREFIX)
        service, _, path = rest.partition("/")
        parsed = parse_service_call(
            service, f"/{path}", exchange.body, exchange.headers, request_id
        )
        if isinstance(parsed, NotRun):
            self._refuse(exchange, request_id, parsed)
            return
        self._submit(_PendingRequest(exchange, parsed))

    def _submit(self, pending: _PendingRequest) -> None:
        request_id = pending.request.request_id
        if request_id in self._pending:
            refusal = NotRun(
                RefusalReason.DUPLICATE_REQUEST, detail=f"given {request_id!r}."
            )
            self._refuse(pending.exchange, request_id, refusal)
            return
        self._pending[request_id] = pending
        pending.exchange.release_body()  # the request has what is needed of it
        self._host.dispatch(pending.request)

    def _refuse(self, exchange: Exchange, request_id: str, refusal: NotRun) -> None:
        """Reject a request before it reaches the core; count and record the refusal."""
        self._record_refusal(request_id, refusal.reason.value, refusal.message)
        self._reply_error(exchange, request_id, refusal)

    def _record_refusal(self, request_id: str, reason: str, message: str) -> None:
        effects = self._host.core.context.record_event(
            self._host.now, "refusal", request_id, "", reason, (message,)
        )
        for effect in (IncrementCounter(f"refused.{reason}"), *effects):
            self._host.counters.add(effect.name, effect.amount)

    def _reply_error(self, exchange: Exchange, request_id: str, outcome) -> None:
        headers = {"X-Request-Id": request_id}
        retry_after = getattr(outcome, "retry_after", 0.0)
        if retry_after:
            headers["Retry-After"] = str(max(1, round(retry_after)))
        body = error_body(request_id, outcome)
        exchange.reply(error_status(outcome), body, headers)

    def _on_text(self, effect: SendResponseText) -> None:
        pending = self._pending.get(effect.request_id)
        if pending is None:
            return
        if not pending.stream:
            pending.text.append(effect.text)
            return
        exchange = pending.exchange
        if exchange.stream is None:
            exchange.open_stream("text/event-stream")
            pending.event_prefix = sse_event_prefix(effect.request_id)
        if not exchange.stream.write(sse_text_event(pending.event_prefix, effect.text)):
            self._abort_slow(effect.request_id, pending)

    def _abort_slow(self, request_id: str, pending: _PendingRequest) -> None:
        """Abort a stream whose buffer is full because the caller reads too slowly."""
        del self._pending[request_id]
        pending.exchange.abort()
        disconnect = CallerGone(request_id, slow=True)
        reactor = self._host.reactor
        reactor.defer(lambda: self._host.dispatch(disconnect))

    def _on_finish(self, effect: SendOutcome) -> None:
        pending = self._pending.pop(effect.request_id, None)
        if pending is None:
            return
        exchange = pending.exchange
        if exchange.stream is not None:
            exchange.stream.write(sse_final_events(effect.request_id, effect.outcome))
            exchange.close_stream()
        elif isinstance(effect.outcome, Done):
            self._reply_success(pending, effect)
        else:
            self._reply_error(exchange, effect.request_id, effect.outcome)

    def _reply_success(self, pending: _PendingRequest, effect: SendOutcome) -> None:
        headers = {"X-Request-Id": effect.request_id}
        request = pending.request
        if isinstance(request, ServiceRequest):
            done = effect.outcome
            pending.exchange.reply(done.status, done.body, headers)
            return
        if pending.stream:
            pending.exchange.open_stream("text/event-stream")
            pending.exchange.stream.write(
                sse_final_events(request.request_id, effect.outcome)
            )
            pending.exchange.close_stream()
            return
        body = chat_completion(
            request.request_id,
            request.model,
            "".join(pending.text),
            request.prompt_tokens,
            effect.output_tokens,
        )
        pending.exchange.reply(200, body, headers)

    def _on_disconnect(self, exchange: Exchange) -> None:
        for request_id, pending in list(self._pending.items()):
            if pending.exchange is exchange:
                del self._pending[request_id]
                self._host.dispatch(CallerGone(request_id))
                return

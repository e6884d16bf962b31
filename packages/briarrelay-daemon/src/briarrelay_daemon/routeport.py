"""Forwards requests of routes to backend servers and relays the responses, as bytes."""

from abc import ABC, abstractmethod
from time import perf_counter

from attrs import define, evolve, field

from briarrelay_core.outcomes import Failed, NotRun
from briarrelay_core.ports.route import (
    AbortAttempt,
    AbortResponse,
    CallerDisconnected,
    DelegateRequest,
    ForwardRequest,
    InvalidRequest,
    ReadingPaused,
    RelayEnd,
    RelayEvent,
    RelayFullResponse,
    RelayHead,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    ResponseLost,
    RouteRequest,
    SendErrorResponse,
)
from briarrelay_core.reasons import FailureReason, RefusalReason
from briarrelay_daemon.calleraccount import AccountHolder, CallerAccount
from briarrelay_daemon.callerserver import CallerServer, encode_refusal
from briarrelay_daemon.connectionshares import ConnectionShares, usable_descriptors
from briarrelay_daemon.eventsplit import MAX_EVENT_BYTES, EventSplitter
from briarrelay_daemon.heldbytes import HeldBytes
from briarrelay_daemon.host import Host
from briarrelay_daemon.httpcall import HttpCall, HttpClient
from briarrelay_daemon.rawexchange import RawExchange
from briarrelay_daemon.responsereader import CallSink
from briarrelay_daemon.settings import Address

__all__ = ["Dialect", "RoutePort", "end_to_end_headers"]

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Headers that hold for one connection only, or that are written anew per message."""

MAX_BODY_BYTES = 16_777_216
"""Longest body of a response that is buffered because it is not an event stream."""


def end_to_end_headers(pairs: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return headers without the hop-by-hop ones and those named by Connection."""
    excluded = set(HOP_BY_HOP_HEADERS)
    for name, value in pairs:
        if name.lower() == b"connection":
            excluded.update(part.strip().lower() for part in value.split(b","))
    return [(name, value) for name, value in pairs if name.lower() not in excluded]


class Dialect(ABC):
    """Header names and message formats of callers and backend servers."""

    @abstractmethod
    def read_request(
        self, exchange: RawExchange, request_id: int
    ) -> RouteRequest | NotRun:
        """Return the typed request of an exchange, or the reason for its refusal."""

    @abstractmethod
    def read_request_id(self, exchange: RawExchange) -> str:
        """Return the id that the caller set for its request, empty if there is none."""

    @abstractmethod
    def read_time_limit_s(self, headers: list[tuple[bytes, bytes]]) -> float | None:
        """Return the seconds for which a caller waits, None if it does not say."""

    @abstractmethod
    def write_request(self, exchange: RawExchange, forward: ForwardRequest) -> bytes:
        """Return the encoded head of the request to send to a backend server."""

    @property
    @abstractmethod
    def not_run_headers(self) -> list[tuple[bytes, bytes]]:
        """Headers by which a peer knows that a request has not run."""

    @abstractmethod
    def read_delegated(
        self, exchange: RawExchange, request_id: int
    ) -> RouteRequest | NotRun:
        """Return the typed request that a peer delegates, or why it is refused."""

    @abstractmethod
    def write_delegated(
        self, exchange: RawExchange, delegate: DelegateRequest
    ) -> bytes:
        """Return the encoded head of the request to send to a peer."""

    @abstractmethod
    def is_response_to(self, headers: dict[str, str], exchange: RawExchange) -> bool:
        """Return whether a response belongs to a request, by the id that it repeats."""

    @abstractmethod
    def has_request_id(self, headers: dict[str, str]) -> bool:
        """Return whether a response repeats the id of its request."""

    @abstractmethod
    def read_head(
        self, status: int, headers: dict[str, str], attempt_id: int
    ) -> ResponseHead:
        """Return the head of a response as a message to the core."""

    @abstractmethod
    def write_refusal(
        self, outcome: NotRun | Failed, exchange: RawExchange
    ) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        """Return status, headers and body of an error that this instance generates."""

    @abstractmethod
    def write_delegated_refusal(
        self, outcome: NotRun | Failed, exchange: RawExchange
    ) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        """Return the same for a peer that delegated the request.

        The peer reads it with :meth:`read_head`, as the response of a server.
        """


class _Attempt(CallSink, AccountHolder):
    """Passes the response to one attempt at a request to the core.

    A response that is not streamed is buffered, and counts as held for its caller.
    """

    def __init__(
        self,
        port: "RoutePort",
        forward: ForwardRequest | DelegateRequest,
        exchange: RawExchange,
    ):
        self._port = port
        self._forward = forward
        self._exchange = exchange
        self._splitter: EventSplitter | None = None
        self._has_event = False
        self.call: HttpCall | None = None
        self.is_over = False
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.max_body_bytes = MAX_BODY_BYTES

    def accepts(self, status: int, headers: dict[str, str]) -> bool:
        return self._port.dialect.is_response_to(headers, self._exchange)

    def on_raw_headers(self, pairs: list[tuple[bytes, bytes]]) -> None:
        self.headers = end_to_end_headers(pairs)

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        head = self._port.dialect.read_head(status, headers, self._forward.attempt_id)
        if self._may_be_earlier(headers):
            head = evolve(head, kind=ResponseKind.UNPROVEN)
        if head.kind is ResponseKind.SUCCESS and head.is_stream:
            self._splitter = EventSplitter()
            self.max_body_bytes = None
        self._notify_core(head)

    def _may_be_earlier(self, headers: dict[str, str]) -> bool:
        """Return whether a response may be that to an earlier request or order.

        A faulty server may write one again. Peers do not, and give no id in refusals.
        """
        return (
            isinstance(self._forward, ForwardRequest)
            and self.call.is_on_reused_connection
            and not self._port.dialect.has_request_id(headers)
        )

    def on_data(self, data: bytes) -> None:
        if self.is_over or self.call.is_over:
            return
        if self._splitter is None:
            self._buffer(data)
            return
        for event in self._splitter.feed(data):
            self._has_event = True
            self._notify_core(
                ResponseEvent(self._forward.attempt_id, event.event_id, event.data)
            )
        if self._splitter.is_too_long and not self.call.is_over:
            self.call.problem = f"event longer than {MAX_EVENT_BYTES} bytes"
            self.call.abort()

    def _buffer(self, data: bytes) -> None:
        """Add to the body, or end the call if there is no memory for it."""
        account = self._port.account
        if not account.may_admit(len(data)):
            self.call.problem = "no memory is left for the response"
            self.call.is_ended_here = True
            self.call.abort()
            return
        self.body += data
        size = self.body.__sizeof__()
        account.update(self, size, size)

    def release(self) -> None:
        """Drop the body, which is not relayed."""
        self.body = bytearray()
        self._port.account.release(self)

    def end_for_memory(self) -> None:
        """Do nothing: responses to requests in progress are not ended for others."""

    def on_end(self) -> None:
        attempt_id = self._forward.attempt_id
        problem = self._find_early_end()
        if problem:
            is_closed = self.call.ends_at_close
            self._notify_core(ResponseLost(attempt_id, True, problem, is_closed))
            return
        rest = self._splitter.rest if self._splitter is not None else b""
        if not self._has_event:
            self.body += rest
        elif rest:
            self._notify_core(ResponseEvent(attempt_id, "", rest))
        self._notify_core(ResponseComplete(attempt_id, self.call.ends_at_close))

    def _find_early_end(self) -> str:
        """Return why a stream that has ended is not complete, else empty."""
        if self._splitter is None:
            return ""
        if self._splitter.has_partial_event:
            return "stream ended within an event"
        # after an event that the caller has, nothing may be left
        is_empty = not self._has_event and not self._forward.resume_after
        if is_empty and self.call.ends_at_close:
            return "stream ended with its connection before its first event"
        return ""

    def on_lost(self, sent: bool) -> None:
        self.release()
        call = self.call
        attempt_id = self._forward.attempt_id
        self._notify_core(
            ResponseLost(
                attempt_id,
                sent,
                call.problem,
                call.is_closed_by_server,
                call.is_ended_here,
            )
        )

    def _notify_core(self, message) -> None:
        if not self.is_over:
            self._port.host.dispatch(message)


@define(slots=True, eq=False)
class _PendingExchange:
    """An exchange whose response is not complete, and the ids of its attempts.

    :param started_at: ``perf_counter()`` when the request was received.
    :param is_delegated: it comes from a peer.
    :param is_blocked: its caller reads too slowly for more of the response.
    """

    exchange: RawExchange
    started_at: float
    is_delegated: bool = False
    attempt_ids: list[int] = field(factory=list)
    is_answered: bool = False
    is_blocked: bool = False


class RoutePort:
    """Passes callers' requests to the core, and carries out its effects on them.

    :param held: sum of what is held for slow readers; one of its own if None.
    :param account: account of what callers hold; one of its own if None.
    :param shares: most connections; those of the system's limit if None.
    """

    def __init__(
        self,
        host: Host,
        client: HttpClient,
        listen: Address,
        delegations: Address,
        dialect: Dialect,
        held: HeldBytes | None = None,
        account: CallerAccount | None = None,
        shares: ConnectionShares | None = None,
    ):
        held = held if held is not None else HeldBytes(host.reactor)
        account = account if account is not None else CallerAccount(host.reactor.clock)
        shares = shares or ConnectionShares.of(usable_descriptors(None))
        self._held = held
        self.account = account
        self.host = host
        self.dialect = dialect
        self._client = client
        self._pending: dict[int, _PendingExchange] = {}
        self._request_ids: dict[RawExchange, int] = {}
        self._attempts: dict[int, _Attempt] = {}
        self._last_request_id = 0
        self.server = CallerServer(
            listen,
            host.reactor,
            self._on_request,
            self._on_disconnect,
            self._on_bad_request,
            held,
            account,
            shares.callers,
        )
        self.delegations = CallerServer(
            delegations,
            host.reactor,
            self._on_delegated,
            self._on_disconnect,
            self._on_bad_request,
            held,
            account,
            shares.delegations,
        )
        self.delegations.encode_refusal = self._encode_delegated_refusal
        for server in self.servers:
            server.on_blocked = self._on_blocked
            server.on_no_descriptor = self._on_no_descriptor
            server.read_time_limit_s = dialect.read_time_limit_s
        held.on_ended = self._on_slow_reader_ended
        account.on_ended = self._on_ended_for_memory
        for effect_class, perform in (
            (ForwardRequest, self._forward),
            (DelegateRequest, self._delegate),
            (AbortAttempt, self._abort_attempt),
            (RelayHead, self._relay_head),
            (RelayEvent, self._relay_event),
            (RelayEnd, self._relay_end),
            (RelayFullResponse, self._relay_full_response),
            (AbortResponse, self._abort_response),
            (SendErrorResponse, self._send_error_response),
        ):
            host.register(effect_class, perform)

    # Callers

    @property
    def servers(self) -> tuple[CallerServer, CallerServer]:
        """The servers for callers and for peers that delegate requests."""
        return self.server, self.delegations

    def _on_request(self, exchange: RawExchange) -> None:
        self.host.counters.add("route.requests")
        self._accept(exchange, self.dialect.read_request, is_delegated=False)

    def _on_delegated(self, exchange: RawExchange) -> None:
        self.host.counters.add("route.delegated_requests")
        self._accept(exchange, self.dialect.read_delegated, is_delegated=True)

    def _accept(self, exchange: RawExchange, read_request, is_delegated: bool) -> None:
        """Pass a request to the core, or refuse it if it is not valid."""
        self._last_request_id += 1
        request_id = self._last_request_id
        request = read_request(exchange, request_id)
        if isinstance(request, NotRun):
            rejection = InvalidRequest(
                reason=request.reason.value,
                problem=request.message,
                caller_request_id=self.dialect.read_request_id(exchange),
            )
            self.host.dispatch(rejection)
            exchange.reply(*self._write_refusal(request, exchange, is_delegated))
            return
        self._pending[request_id] = _PendingExchange(
            exchange, perf_counter(), is_delegated
        )
        self._request_ids[exchange] = request_id
        try:
            self.host.dispatch(request)
        except Exception:
            # What the core decided is lost, and it may not know the request.
            self._answer_failure(request_id, Failed(FailureReason.SERVER_LOST))
            raise

    def _on_disconnect(self, exchange: RawExchange) -> None:
        request_id = self._request_ids.get(exchange)
        if request_id is not None:
            self._remove(request_id)
            self.host.dispatch(CallerDisconnected(request_id))

    def _on_blocked(self, exchange: RawExchange, is_blocked: bool) -> None:
        """Stop or go on reading from the servers of a caller that reads slowly."""
        request_id = self._request_ids.get(exchange)
        if request_id is None:
            return
        pending = self._pending[request_id]
        pending.is_blocked = is_blocked
        self.host.dispatch(ReadingPaused(request_id, is_blocked))
        for attempt_id in pending.attempt_ids:
            attempt = self._attempts.get(attempt_id)
            if attempt is None or attempt.call is None:
                continue
            if is_blocked:
                attempt.call.pause()
            else:
                attempt.call.resume()

    def _on_slow_reader_ended(self, size: int, seconds: float) -> None:
        self.host.counters.add("route.slow_reader_ended")
        self.host.logger.warning(
            "slow_reader_ended",
            held_bytes=size,
            blocked_s=f"{seconds:.1f}",
            total_bytes=self._held.total,
        )

    def _on_ended_for_memory(self, size: int) -> None:
        self.host.counters.add("route.ended_for_memory")
        self.host.logger.warning(
            "ended_for_memory", held_bytes=size, total_bytes=self.account.total
        )

    def _on_no_descriptor(self) -> None:
        self.host.counters.add("route.no_descriptor")
        self.host.logger.warning("no_descriptor", remedy="raise the system's limit")

    def _encode_delegated_refusal(
        self, status: int, text: bytes, retry_s: float | None
    ) -> bytes:
        """Return a refusal by which the peer knows that the request has not run."""
        return encode_refusal(status, text, retry_s, self.dialect.not_run_headers)

    def _on_bad_request(self, status: int, text: bytes) -> None:
        is_full = status == RefusalReason.INSTANCE_FULL.status
        reason = RefusalReason.INSTANCE_FULL if is_full else f"improper_{status}"
        self.host.dispatch(InvalidRequest(reason=str(reason), problem=text.decode()))

    def _remove(self, request_id: int) -> _PendingExchange | None:
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return None
        self._request_ids.pop(pending.exchange, None)
        for attempt_id in pending.attempt_ids:
            self._remove_attempt(attempt_id)
        return pending

    def _remove_attempt(self, attempt_id: int) -> None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        attempt.is_over = True
        self.account.release(attempt)
        if attempt.call is not None and not attempt.call.is_over:
            attempt.call.cancel()

    # Backend servers

    def _forward(self, effect: ForwardRequest) -> None:
        self._send(effect, self.dialect.write_request)

    def _delegate(self, effect: DelegateRequest) -> None:
        self._send(effect, self.dialect.write_delegated)

    def _send(self, effect: ForwardRequest | DelegateRequest, write_request) -> None:
        """Send a request to a backend server or a peer.

        :param write_request: returns the encoded head for an exchange and an effect.
        """
        pending = self._pending.get(effect.request_id)
        if pending is None:
            return
        exchange = pending.exchange
        attempt = _Attempt(self, effect, exchange)
        self._attempts[effect.attempt_id] = attempt
        pending.attempt_ids.append(effect.attempt_id)
        attempt.call = self._client.send(
            Address(effect.host, effect.port),
            write_request(exchange, effect),
            attempt,
            body=exchange.body,
            timeout=effect.time_limit_s + 1.0,
            force_new_connection=effect.needs_new_connection,
        )
        if pending.is_blocked:
            attempt.call.pause()

    def _abort_attempt(self, effect: AbortAttempt) -> None:
        attempt = self._attempts.get(effect.attempt_id)
        if attempt is None:
            return
        if not attempt.call.is_over:
            attempt.call.cancel()
        attempt.is_over = True
        attempt.release()

    # Responses

    def _relay_head(self, effect: RelayHead) -> None:
        pending = self._pending.get(effect.request_id)
        attempt = self._attempts.get(effect.attempt_id)
        if pending is None or attempt is None:
            return
        seconds = perf_counter() - pending.started_at
        self.host.counters.observe("first_event", seconds)
        pending.exchange.begin(attempt.status, attempt.headers)

    def _relay_event(self, effect: RelayEvent) -> None:
        pending = self._pending.get(effect.request_id)
        if pending is not None:
            pending.exchange.send(effect.data)

    def _relay_end(self, effect: RelayEnd) -> None:
        pending = self._remove(effect.request_id)
        if pending is not None:
            self._observe_total(pending)
            pending.exchange.end()

    def _relay_full_response(self, effect: RelayFullResponse) -> None:
        attempt = self._attempts.get(effect.attempt_id)
        pending = self._remove(effect.request_id)
        if pending is not None and attempt is not None:
            self._observe_total(pending)
            pending.exchange.reply(attempt.status, attempt.headers, attempt.body)

    def _observe_total(self, pending: _PendingExchange) -> None:
        self.host.counters.observe("whole", perf_counter() - pending.started_at)

    def _abort_response(self, effect: AbortResponse) -> None:
        pending = self._remove(effect.request_id)
        if pending is not None:
            pending.exchange.abort()

    def _send_error_response(self, effect: SendErrorResponse) -> None:
        self._answer_failure(effect.request_id, effect.outcome)

    def _answer_failure(self, request_id: int, outcome: NotRun | Failed) -> None:
        pending = self._remove(request_id)
        if pending is not None:
            exchange, is_delegated = pending.exchange, pending.is_delegated
            exchange.reply(*self._write_refusal(outcome, exchange, is_delegated))

    def _write_refusal(
        self, outcome: NotRun | Failed, exchange: RawExchange, is_delegated: bool
    ) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        if is_delegated:
            return self.dialect.write_delegated_refusal(outcome, exchange)
        return self.dialect.write_refusal(outcome, exchange)

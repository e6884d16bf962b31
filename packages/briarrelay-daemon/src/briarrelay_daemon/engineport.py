"""HTTP adapter for model engines.

An engine streams the response to a prompt as lines of JSON, one frame per line. A
stream is identified by engine, request id and attempt.
"""

from functools import partial
from urllib.parse import quote

import orjson
from attrs import asdict

from briarrelay_core.ports.engine import (
    CacheEvent,
    CacheEvents,
    Cancelled,
    CancelRequest,
    EngineFrame,
    EngineLost,
    EngineReport,
    FrameKind,
    ReadReport,
    ReadResidents,
    ReportLost,
    Resident,
    Residents,
    ResumeStream,
    SendRequest,
    StartGang,
)
from briarrelay_core.ports.platform import EngineState, ReadEngineState, SendOrder
from briarrelay_daemon.host import Host
from briarrelay_daemon.httpcall import HttpCall, HttpClient
from briarrelay_daemon.jsonresponse import JsonResponse
from briarrelay_daemon.responsereader import CallSink
from briarrelay_daemon.settings import Address

__all__ = ["EnginePort"]

CONTROL_TIMEOUT_S = 1.5
"""Timeout of calls that do not stream a response, such as reports and cancels."""

RESPONSE_GRACE_S = 5.0
"""Seconds past a prompt's deadline until its call is aborted."""

MAX_FRAME_BYTES = 1_000_000
"""Longest incomplete frame that is buffered; beyond it the call is aborted."""

_KIND_BY_VALUE = {kind.value: kind for kind in FrameKind}


class _FrameSink(CallSink):
    """Splits the response to a prompt into lines, one per frame."""

    def __init__(self, port: "EnginePort", engine: str, request_id: str, attempt: int):
        self._port = port
        self._key = (engine, request_id, attempt)
        self._partial_line = b""
        self._status = 0
        self.call: HttpCall | None = None

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        self._status = status

    def on_data(self, data: bytes) -> None:
        lines = (self._partial_line + data).split(b"\n")
        self._partial_line = lines.pop()
        if len(self._partial_line) > MAX_FRAME_BYTES:
            self.call.abort()
            return
        for line in lines:
            self._port.on_frame_line(self._key, line)

    def on_end(self) -> None:
        self._port.on_stream_end(self._key, self)

    def on_lost(self, sent: bool) -> None:
        self._port.on_stream_end(self._key, self)
        self._port.host.dispatch(EngineLost(*self._key, sent))


class EnginePort:
    """Makes the core's calls to engines and passes the responses to the core."""

    def __init__(self, host: Host, client: HttpClient):
        self.host = host
        self._client = client
        self._streams: dict[tuple[str, str, int], _FrameSink] = {}
        for effect_class, perform in (
            (SendRequest, self._send),
            (ResumeStream, self._resume),
            (StartGang, self._start_gang),
            (CancelRequest, self._cancel),
            (ReadReport, self._read_report),
            (ReadResidents, self._read_residents),
            (ReadEngineState, self._read_state),
            (SendOrder, self._send_order),
        ):
            host.register(effect_class, perform)

    def _address(self, engine: str) -> Address | None:
        member = self.host.core.context.membership.get(engine)
        if member is None or member.listed is None:
            return None
        return Address(member.listed.host, member.listed.port)

    def _open_stream(
        self, key: tuple, method: str, target: str, body: bytes, timeout: float
    ) -> None:
        sink = _FrameSink(self, *key)
        address = self._address(key[0])
        if address is None:
            self.host.dispatch(EngineLost(*key, sent=False))
            return
        previous = self._streams.get(key)
        if previous is not None and previous.call is not None:
            previous.call.cancel()
        self._streams[key] = sink
        sink.call = self._client.call(
            address,
            method,
            target,
            sink,
            body=body,
            timeout=timeout,
            force_new_connection=True,
        )

    def on_stream_end(self, key: tuple, sink: _FrameSink) -> None:
        """Remove a stream that has ended, unless a newer call has replaced it."""
        if self._streams.get(key) is sink:
            del self._streams[key]

    def on_frame_line(self, key: tuple, line: bytes) -> None:
        """Pass one frame to the core.

        A frame that does not parse, or that belongs to another request or attempt,
        is dropped and counted.
        """
        try:
            value = orjson.loads(line)
            frame = EngineFrame(
                key[0],
                value["r"],
                value["a"],
                value["s"],
                _KIND_BY_VALUE[value["k"]],
                value.get("t", ""),
            )
        except (ValueError, KeyError, TypeError):
            self.host.counters.add("frame.bad")
            return
        if (frame.request_id, frame.attempt) != key[1:]:
            self.host.counters.add("frame.crossed")
            return
        self.host.dispatch(frame)

    def _send(self, effect: SendRequest) -> None:
        fields = asdict(effect, filter=lambda a, _: a.name != "payload")
        body = orjson.dumps(fields) + b"\n" + effect.payload
        key = (effect.engine, effect.request_id, effect.attempt)
        timeout = max(0.1, effect.deadline - self.host.now) + RESPONSE_GRACE_S
        self._open_stream(key, "POST", "/v1/requests", body, timeout)

    def _resume(self, effect: ResumeStream) -> None:
        key = (effect.engine, effect.request_id, effect.attempt)
        quoted_id = quote(effect.request_id, safe="")
        target = f"/v1/requests/{quoted_id}/{effect.attempt}?from={effect.start_at}"
        self._open_stream(key, "GET", target, b"", 3_600.0)

    def _start_gang(self, effect: StartGang) -> None:
        key = (effect.engine, effect.request_id, effect.attempt)
        quoted_id = quote(effect.request_id, safe="")
        target = f"/v1/requests/{quoted_id}/{effect.attempt}/start"
        body = orjson.dumps({"members": effect.members})
        on_lost = lambda sent: self.host.dispatch(EngineLost(*key, sent))
        self._call_control(key[0], "POST", target, body, lambda s, v: None, on_lost)

    def _call_control(self, engine, method, target, body, on_done, on_lost) -> None:
        """Make a call that does not stream its response.

        :param on_done: called with the status and the decoded JSON body.
        :param on_lost: called with False if nothing was sent, else True.
        """
        address = self._address(engine)
        if address is None:
            on_lost(False)
            return
        self._client.call(
            address,
            method,
            target,
            JsonResponse(on_done, on_lost),
            body=body,
            timeout=CONTROL_TIMEOUT_S,
        )

    def _cancel(self, effect: CancelRequest) -> None:
        key = (effect.engine, effect.request_id, effect.attempt)
        sink = self._streams.pop(key, None)
        if sink is not None and sink.call is not None:
            sink.call.cancel()
        quoted_id = quote(effect.request_id, safe="")
        self._call_control(
            effect.engine,
            "DELETE",
            f"/v1/requests/{quoted_id}/{effect.attempt}",
            b"",
            lambda status, value: self.host.dispatch(Cancelled(*key, status == 200)),
            lambda sent: self.host.dispatch(Cancelled(*key, False)),
        )

    def _read_report(self, effect: ReadReport) -> None:
        self._call_control(
            effect.engine,
            "GET",
            f"/v1/report?events={effect.events_from}",
            b"",
            partial(self._on_report, effect.engine),
            lambda sent: self.host.dispatch(
                ReportLost(effect.engine, refused=not sent)
            ),
        )

    def _on_report(self, engine: str, status: int, value) -> None:
        try:
            report = EngineReport(engine, **_lists_to_tuples(value["report"]))
            events = CacheEvents(
                engine,
                value["first_event"],
                tuple(CacheEvent(block, stored) for block, stored in value["events"]),
            )
        except (TypeError, KeyError, ValueError):
            self.host.dispatch(ReportLost(engine))
            return
        self.host.dispatch(report)
        self.host.dispatch(events)

    def _read_residents(self, effect: ReadResidents) -> None:
        self._call_control(
            effect.engine,
            "GET",
            "/v1/residents",
            b"",
            partial(self._on_residents, effect.engine),
            lambda sent: None,
        )

    def _on_residents(self, engine: str, status: int, value) -> None:
        try:
            residents = tuple(Resident(*entry) for entry in value["residents"])
        except (TypeError, KeyError):
            return
        self.host.dispatch(Residents(engine, residents))

    def _read_state(self, effect: ReadEngineState) -> None:
        self._request_state(effect.engine, "GET", "/v1/state", b"")

    def _send_order(self, effect: SendOrder) -> None:
        body = orjson.dumps(
            {"kind": effect.kind, "value": effect.value, "fencing": effect.fencing}
        )
        self._request_state(effect.engine, "POST", "/v1/orders", body)

    def _request_state(
        self, engine: str, method: str, target: str, body: bytes
    ) -> None:
        """Make a call that the engine answers with its state."""
        failed = EngineState(engine, False, -1, (), (), "", failed=True)

        def on_done(status: int, value) -> None:
            try:
                state = EngineState(engine, status == 200, **_lists_to_tuples(value))
            except TypeError:
                state = failed
            self.host.dispatch(state)

        self._call_control(
            engine,
            method,
            target,
            body,
            on_done,
            lambda sent: self.host.dispatch(failed),
        )


def _lists_to_tuples(mapping: dict) -> dict:
    """Return a mapping with its lists as tuples, which the core's messages hold."""
    return {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in mapping.items()
    }

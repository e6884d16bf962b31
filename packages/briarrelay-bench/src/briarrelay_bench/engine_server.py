"""Stand-in for an engine: the simulated engine behind an HTTP server."""

from urllib.parse import unquote

import orjson
from attrs import asdict

from briarrelay_bench.engine_model import EngineModel, EngineSpec
from briarrelay_bench.standin import StandIn, reply_json
from briarrelay_core.ports.engine import EngineFrame, FrameKind, SendRequest
from briarrelay_daemon.settings import Address
from briarrelay_daemon.webserver import Exchange

__all__ = ["EngineServer"]

REQUESTS_PATH = "/v1/requests"


def _encode_frame(frame: EngineFrame) -> bytes:
    value = {
        "r": frame.request_id,
        "a": frame.attempt,
        "s": frame.seq,
        "k": frame.kind.value,
        "t": frame.text,
    }
    return orjson.dumps(value) + b"\n"


class EngineServer:
    """Runs a simulated engine in real time and streams its frames.

    :param report_lag_s: seconds by which load reports are delayed.
    """

    def __init__(
        self,
        bind: Address,
        name: str,
        spec: EngineSpec,
        models: tuple[str, ...],
        checks_fencing: bool = True,
        report_lag_s: float = 0.2,
    ):
        self.standin = StandIn(bind, self._handle_request)
        self.standin.on_disconnect = self._on_disconnect
        self._model = EngineModel(
            name, spec, models=models, checks_fencing=checks_fencing
        )
        self._streams: dict[tuple[str, int], Exchange] = {}
        self._report_lag_s = report_lag_s
        self._is_stepping = False

    def run(self) -> None:
        """Serve until the process receives SIGTERM."""
        self.standin.run()

    def _handle_request(self, exchange: Exchange) -> None:
        method, path = exchange.method, exchange.path
        if path == REQUESTS_PATH and method == "POST":
            self._submit(exchange)
        elif path.startswith(f"{REQUESTS_PATH}/"):
            self._handle_one(
                exchange, method, path.removeprefix(f"{REQUESTS_PATH}/").split("/")
            )
        elif path == "/v1/report":
            self._reply_report(exchange)
        elif path == "/v1/residents":
            residents = [list(asdict(r).values()) for r in self._model.residents()]
            reply_json(exchange, {"residents": residents})
        elif path == "/v1/orders" and method == "POST":
            self._apply_order(exchange)
        elif path == "/v1/leave" and method == "POST":
            self._model.leaving = True
            reply_json(exchange, {"leaving": True})
        elif path == "/v1/state":
            reply_json(exchange, self._state())
        else:
            reply_json(exchange, {"error": "no such path"}, 404)

    def _handle_one(self, exchange: Exchange, method: str, parts: list[str]) -> None:
        request_id, attempt = unquote(parts[0]), int(parts[1])
        if method == "DELETE":
            held = self._model.cancel(request_id, attempt)
            self._end_stream((request_id, attempt))
            reply_json(exchange, {"held": held})
        elif method == "POST" and parts[2:] == ["start"]:
            known = self._model.start(request_id, attempt)
            reply_json(exchange, {"known": known}, 200 if known else 404)
            self._start_stepping()
        else:
            from_seq = int(exchange.query.get("from", "0"))
            frames = self._model.resume(request_id, attempt, from_seq)
            self._open_stream((request_id, attempt), exchange, frames)

    def _submit(self, exchange: Exchange) -> None:
        header, _, payload = exchange.body.partition(b"\n")
        fields = orjson.loads(header)
        fields["blocks"] = tuple(fields["blocks"])
        request = SendRequest(**fields, payload=payload)
        frame = self._model.submit(request)
        self._open_stream((request.request_id, request.attempt), exchange, [frame])
        self._start_stepping()

    def _open_stream(
        self, key: tuple, exchange: Exchange, frames: list[EngineFrame]
    ) -> None:
        self._end_stream(key)
        exchange.open_stream("application/x-ndjson")
        for frame in frames:
            exchange.stream.write(_encode_frame(frame))
        last_kind = frames[-1].kind
        if last_kind in (FrameKind.END, FrameKind.REFUSED, FrameKind.ERROR):
            exchange.close_stream()
        else:
            self._streams[key] = exchange

    def _end_stream(self, key: tuple[str, int]) -> None:
        exchange = self._streams.pop(key, None)
        if exchange is not None:
            exchange.close_stream()

    def _on_disconnect(self, exchange: Exchange) -> None:
        """Drop a closed connection; its request continues until it is cancelled."""
        for key, open_exchange in list(self._streams.items()):
            if open_exchange is exchange:
                del self._streams[key]

    def _start_stepping(self) -> None:
        if not self._is_stepping and not self._model.is_idle:
            self._is_stepping = True
            self._step()

    def _step(self) -> None:
        if self._model.is_idle:
            self._is_stepping = False
            return
        seconds, frames = self._model.step()
        self.standin.call_later(seconds, lambda: self._emit(frames))

    def _emit(self, frames: list[EngineFrame]) -> None:
        for frame in frames:
            key = (frame.request_id, frame.attempt)
            exchange = self._streams.get(key)
            if exchange is None or self.standin.faults.get("silent"):
                continue
            exchange.stream.write(_encode_frame(frame))
            if frame.kind is FrameKind.END:
                self._end_stream(key)
        self._step()

    def _reply_report(self, exchange: Exchange) -> None:
        report = self._model.report(self.standin.clock())
        fields = asdict(report, filter=lambda a, _: a.name != "engine")
        events = self._model.events(int(exchange.query.get("events", "0")))
        answer = {
            "report": fields,
            "first_event": events.first,
            "events": [[event.block, event.stored] for event in events.events],
        }
        self.standin.call_later(
            self._report_lag_s, lambda: reply_json(exchange, answer)
        )

    def _state(self) -> dict:
        model = self._model
        return {
            "highest_fencing": model.highest_fencing,
            "models": model.models,
            "adapters": model.adapters,
            "role": model.role,
        }

    def _apply_order(self, exchange: Exchange) -> None:
        value = orjson.loads(exchange.body)
        is_accepted = self._model.apply_order(
            value["kind"], value["value"], value["fencing"]
        )
        reply_json(exchange, self._state(), 200 if is_accepted else 409)

"""Stand-in for a model engine: the engine model behind HTTP."""

from urllib.parse import unquote

import orjson
from attrs import asdict

from briarrelay_bench.engine_model import EngineModel, EngineSpec
from briarrelay_bench.standin import StandIn, reply_json
from briarrelay_core.ports.engine import EngineFrame, FrameKind, SendRequest
from briarrelay_daemon.settings import Address
from briarrelay_daemon.webserver import Exchange

__all__ = ["EngineServer"]

PATH = "/v1/requests"


def _line(frame: EngineFrame) -> bytes:
    value = {
        "r": frame.request_id,
        "a": frame.attempt,
        "s": frame.seq,
        "k": frame.kind.value,
        "t": frame.text,
    }
    return orjson.dumps(value) + b"\n"


class EngineServer:
    """Runs the engine model in real time and streams its frames.

    :param report_lag_s: seconds by which load reports are late.
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
        self.standin = StandIn(bind, self._answer)
        self.standin.on_gone = self._on_gone
        self._model = EngineModel(
            name, spec, models=models, checks_fencing=checks_fencing
        )
        self._streams: dict[tuple[str, int], Exchange] = {}
        self._lag = report_lag_s
        self._stepping = False

    def run(self) -> None:
        """Serve until the process is told to end."""
        self.standin.run()

    def _answer(self, exchange: Exchange) -> None:
        method, path = exchange.method, exchange.path
        if path == PATH and method == "POST":
            self._submit(exchange)
        elif path.startswith(f"{PATH}/"):
            self._on_one(exchange, method, path.removeprefix(f"{PATH}/").split("/"))
        elif path == "/v1/report":
            self._report(exchange)
        elif path == "/v1/residents":
            residents = [list(asdict(r).values()) for r in self._model.residents()]
            reply_json(exchange, {"residents": residents})
        elif path == "/v1/orders" and method == "POST":
            self._order(exchange)
        elif path == "/v1/leave" and method == "POST":
            self._model.leaving = True
            reply_json(exchange, {"leaving": True})
        elif path == "/v1/state":
            reply_json(exchange, self._state())
        else:
            reply_json(exchange, {"error": "no such path"}, 404)

    def _on_one(self, exchange: Exchange, method: str, parts: list[str]) -> None:
        request_id, attempt = unquote(parts[0]), int(parts[1])
        if method == "DELETE":
            held = self._model.cancel(request_id, attempt)
            self._end_stream((request_id, attempt))
            reply_json(exchange, {"held": held})
        elif method == "POST" and parts[2:] == ["start"]:
            known = self._model.start(request_id, attempt)
            reply_json(exchange, {"known": known}, 200 if known else 404)
            self._wake()
        else:
            start_at = int(exchange.query.get("from", "0"))
            frames = self._model.resume(request_id, attempt, start_at)
            self._open((request_id, attempt), exchange, frames)

    def _submit(self, exchange: Exchange) -> None:
        head, _, payload = exchange.body.partition(b"\n")
        fields = orjson.loads(head)
        fields["blocks"] = tuple(fields["blocks"])
        request = SendRequest(**fields, payload=payload)
        frame = self._model.submit(request)
        self._open((request.request_id, request.attempt), exchange, [frame])
        self._wake()

    def _open(self, key: tuple, exchange: Exchange, frames: list[EngineFrame]) -> None:
        self._end_stream(key)
        exchange.open_stream("application/x-ndjson")
        for frame in frames:
            exchange.stream.write(_line(frame))
        last = frames[-1].kind
        if last in (FrameKind.END, FrameKind.REFUSED, FrameKind.ERROR):
            exchange.close_stream()
        else:
            self._streams[key] = exchange

    def _end_stream(self, key: tuple[str, int]) -> None:
        exchange = self._streams.pop(key, None)
        if exchange is not None:
            exchange.close_stream()

    def _on_gone(self, exchange: Exchange) -> None:
        """Forget a connection; the request goes on until it is cancelled."""
        for key, open_exchange in list(self._streams.items()):
            if open_exchange is exchange:
                del self._streams[key]

    def _wake(self) -> None:
        if not self._stepping and not self._model.is_idle:
            self._stepping = True
            self._step()

    def _step(self) -> None:
        if self._model.is_idle:
            self._stepping = False
            return
        seconds, frames = self._model.step()
        self.standin.later(seconds, lambda: self._emit(frames))

    def _emit(self, frames: list[EngineFrame]) -> None:
        for frame in frames:
            key = (frame.request_id, frame.attempt)
            exchange = self._streams.get(key)
            if exchange is None or self.standin.faults.get("silent"):
                continue
            exchange.stream.write(_line(frame))
            if frame.kind is FrameKind.END:
                self._end_stream(key)
        self._step()

    def _report(self, exchange: Exchange) -> None:
        report = self._model.report(self.standin.clock())
        fields = asdict(report, filter=lambda a, _: a.name != "engine")
        events = self._model.events(int(exchange.query.get("events", "0")))
        answer = {
            "report": fields,
            "first_event": events.first,
            "events": [[event.block, event.stored] for event in events.events],
        }
        self.standin.later(self._lag, lambda: reply_json(exchange, answer))

    def _state(self) -> dict:
        model = self._model
        return {
            "highest_fencing": model.highest_fencing,
            "models": model.models,
            "adapters": model.adapters,
            "role": model.role,
        }

    def _order(self, exchange: Exchange) -> None:
        value = orjson.loads(exchange.body)
        obeyed = self._model.apply_order(
            value["kind"], value["value"], value["fencing"]
        )
        reply_json(exchange, self._state(), 200 if obeyed else 409)

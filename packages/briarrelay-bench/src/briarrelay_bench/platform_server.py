"""Stand-in for the platform: log, instance list and weight store in one process."""

from urllib.parse import unquote

import orjson

from briarrelay_bench.fakelog import FakeLog
from briarrelay_bench.standin import StandIn, reply_json
from briarrelay_core.ports.log import LogRead
from briarrelay_daemon.settings import Address
from briarrelay_daemon.webserver import Exchange

__all__ = ["PlatformServer"]

STREAMS = "/v1/streams/"
WEIGHTS = "/v1/weights/"

WEIGHT_LOADS_PER_S = 2.0
"""Loads that the weight store lets through a second."""

LIST_LAG_S = 1.0
"""Seconds by which the instance list is late."""


class PlatformServer:
    """Serves the three parts of the platform on one port.

    ``PUT /v1/instances`` sets the list; readers see it after the lag.
    """

    def __init__(self, bind: Address, list_lag_s: float = LIST_LAG_S):
        self.standin = StandIn(bind, self._answer)
        self.log = FakeLog()
        self._list_lag = list_lag_s
        self._version = 0
        self._instances: list = []
        self._waiting: list[tuple[Exchange, str, int]] = []
        self._next_load = 0.0
        self._is_list_set = False

    def run(self) -> None:
        """Serve until the process is told to end."""
        self.standin.run()

    def _answer(self, exchange: Exchange) -> None:
        path = exchange.path
        if path.startswith(STREAMS):
            stream = unquote(path.removeprefix(STREAMS))
            if exchange.method == "POST":
                self._append(exchange, stream)
            elif exchange.method == "DELETE":
                self.log.trim(stream, int(exchange.query.get("keep", "0")))
                reply_json(exchange, {"ok": True})
            else:
                self._read(exchange, stream)
        elif path == "/v1/instances":
            self._on_list(exchange)
        elif path.startswith(WEIGHTS):
            self._load(exchange)
        else:
            reply_json(exchange, {"error": "no such path"}, 404)

    def _append(self, exchange: Exchange, stream: str) -> None:
        records = orjson.loads(exchange.body)["records"]
        offset = self.log.append(stream, records)
        if not self.standin.faults.get("lose_answers"):
            reply_json(exchange, {"offset": offset})
        waiting, self._waiting = self._waiting, []
        for reader, name, start in waiting:
            self._read_again(reader, name, start)

    def _read(self, exchange: Exchange, stream: str) -> None:
        start = int(exchange.query.get("from", "0"))
        wait = float(exchange.query.get("wait", "0"))
        if wait and not self.log.has_news(stream, start):
            self._waiting.append((exchange, stream, start))
            self.standin.later(wait, lambda: self._give_up(exchange, stream, start))
            return
        self._reply_read(exchange, self.log.read(stream, start))

    def _read_again(self, exchange: Exchange, stream: str, start: int) -> None:
        if not self.log.has_news(stream, start):
            self._waiting.append((exchange, stream, start))
            return
        answer = self.log.read(stream, start)
        delay = self.standin.faults.get("delay_s")
        if delay:
            self.standin.later(delay, lambda: self._reply_read(exchange, answer))
        else:
            self._reply_read(exchange, answer)

    def _give_up(self, exchange: Exchange, stream: str, start: int) -> None:
        waiting = (exchange, stream, start)
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            self._reply_read(exchange, self.log.read(stream, start))

    def _reply_read(self, exchange: Exchange, answer: LogRead) -> None:
        if self.standin.faults.get("silent") or self.standin.faults.get("fail"):
            exchange.abort()
            return
        records = [[record.offset, record.body] for record in answer.records]
        value = {"records": records, "first": answer.first, "end": answer.end}
        reply_json(exchange, value)

    def _on_list(self, exchange: Exchange) -> None:
        if exchange.method == "PUT":
            instances = orjson.loads(exchange.body)["instances"]
            reply_json(exchange, {"ok": True})
            lag = self._list_lag if self._is_list_set else 0.0
            self._is_list_set = True
            self.standin.later(lag, lambda: self._set_list(instances))
        elif int(exchange.query.get("known", "0")) == self._version:
            exchange.reply(304, b"")
        else:
            answer = {"version": self._version, "instances": self._instances}
            reply_json(exchange, answer)

    def _set_list(self, instances: list) -> None:
        self._version += 1
        self._instances = instances

    def _load(self, exchange: Exchange) -> None:
        now = self.standin.clock()
        if now < self._next_load:
            answer = {"retry_after": round(self._next_load - now, 3)}
            reply_json(exchange, answer, 429)
            return
        self._next_load = now + 1.0 / WEIGHT_LOADS_PER_S
        reply_json(exchange, {"ready": True})

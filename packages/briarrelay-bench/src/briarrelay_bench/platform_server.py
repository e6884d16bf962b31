"""Stand-in for the platform: log, instance list and weight store in one process."""

from urllib.parse import unquote

import orjson

from briarrelay_bench.fakelog import FakeLog
from briarrelay_bench.standin import StandIn, reply_json
from briarrelay_core.ports.log import LogRead
from briarrelay_daemon.settings import Address
from briarrelay_daemon.webserver import Exchange

__all__ = ["PlatformServer"]

STREAMS_PATH = "/v1/streams/"
WEIGHTS_PATH = "/v1/weights/"

WEIGHT_LOADS_PER_S = 2.0
"""Model loads per second that the weight store admits."""

LIST_LAG_S = 1.0
"""Seconds until readers see a change of the instance list."""


class PlatformServer:
    """Serves the log, the instance list and the weight store on one port.

    ``PUT /v1/instances`` sets the list. Readers see the first list at
    once and later ones after a delay.

    :param list_lag_s: this delay, in seconds.
    """

    def __init__(self, bind: Address, list_lag_s: float = LIST_LAG_S):
        self.standin = StandIn(bind, self._handle_request)
        self.log = FakeLog()
        self._list_lag_s = list_lag_s
        self._version = 0
        self._instances: list = []
        self._waiting_reads: list[tuple[Exchange, str, int]] = []
        self._next_load_at = 0.0
        self._is_list_set = False

    def run(self) -> None:
        """Serve until the process receives SIGTERM."""
        self.standin.run()

    def _handle_request(self, exchange: Exchange) -> None:
        path = exchange.path
        if path.startswith(STREAMS_PATH):
            stream = unquote(path.removeprefix(STREAMS_PATH))
            if exchange.method == "POST":
                self._append(exchange, stream)
            elif exchange.method == "DELETE":
                self.log.trim(stream, int(exchange.query.get("keep", "0")))
                reply_json(exchange, {"ok": True})
            else:
                self._read(exchange, stream)
        elif path == "/v1/instances":
            self._handle_list(exchange)
        elif path.startswith(WEIGHTS_PATH):
            self._grant_load(exchange)
        else:
            reply_json(exchange, {"error": "no such path"}, 404)

    def _append(self, exchange: Exchange, stream: str) -> None:
        records = orjson.loads(exchange.body)["records"]
        offset = self.log.append(stream, records)
        if not self.standin.faults.get("lose_answers"):
            reply_json(exchange, {"offset": offset})
        reads, self._waiting_reads = self._waiting_reads, []
        for reader, name, start in reads:
            self._retry_read(reader, name, start)

    def _read(self, exchange: Exchange, stream: str) -> None:
        start = int(exchange.query.get("from", "0"))
        wait = float(exchange.query.get("wait", "0"))
        if wait and not self.log.has_records(stream, start):
            self._waiting_reads.append((exchange, stream, start))
            self.standin.call_later(
                wait, lambda: self._end_wait(exchange, stream, start)
            )
            return
        self._reply_read(exchange, self.log.read(stream, start))

    def _retry_read(self, exchange: Exchange, stream: str, start: int) -> None:
        if not self.log.has_records(stream, start):
            self._waiting_reads.append((exchange, stream, start))
            return
        result = self.log.read(stream, start)
        delay = self.standin.faults.get("delay_s")
        if delay:
            self.standin.call_later(delay, lambda: self._reply_read(exchange, result))
        else:
            self._reply_read(exchange, result)

    def _end_wait(self, exchange: Exchange, stream: str, start: int) -> None:
        waiting_read = (exchange, stream, start)
        if waiting_read in self._waiting_reads:
            self._waiting_reads.remove(waiting_read)
            self._reply_read(exchange, self.log.read(stream, start))

    def _reply_read(self, exchange: Exchange, result: LogRead) -> None:
        if self.standin.faults.get("silent") or self.standin.faults.get("fail"):
            exchange.abort()
            return
        records = [[record.offset, record.body] for record in result.records]
        value = {"records": records, "first": result.first, "end": result.end}
        reply_json(exchange, value)

    def _handle_list(self, exchange: Exchange) -> None:
        if exchange.method == "PUT":
            instances = orjson.loads(exchange.body)["instances"]
            reply_json(exchange, {"ok": True})
            delay = self._list_lag_s if self._is_list_set else 0.0
            self._is_list_set = True
            self.standin.call_later(delay, lambda: self._set_list(instances))
        elif int(exchange.query.get("known", "0")) == self._version:
            exchange.reply(304, b"")
        else:
            answer = {"version": self._version, "instances": self._instances}
            reply_json(exchange, answer)

    def _set_list(self, instances: list) -> None:
        self._version += 1
        self._instances = instances

    def _grant_load(self, exchange: Exchange) -> None:
        now = self.standin.clock()
        if now < self._next_load_at:
            answer = {"retry_after": round(self._next_load_at - now, 3)}
            reply_json(exchange, answer, 429)
            return
        self._next_load_at = now + 1.0 / WEIGHT_LOADS_PER_S
        reply_json(exchange, {"ready": True})

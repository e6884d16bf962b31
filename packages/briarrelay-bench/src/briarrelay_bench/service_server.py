"""Stand-in for a plain service: bookings that must not be made twice."""

import orjson

from briarrelay_bench.standin import StandIn, reply_json
from briarrelay_daemon.settings import Address
from briarrelay_daemon.webserver import Exchange

__all__ = ["ServiceServer"]


class ServiceServer:
    """Makes a booking for each call and counts them by key.

    It does not refuse a repeated key: that a call runs once is up to its callers.
    """

    def __init__(self, bind: Address, name: str):
        self.standin = StandIn(bind, self._answer)
        self._name = name
        self._runs: dict[str, int] = {}
        self._count = 0

    def run(self) -> None:
        """Serve until the process is told to end."""
        self.standin.run()

    def _answer(self, exchange: Exchange) -> None:
        if exchange.path == "/runs":
            reply_json(exchange, self._runs)
            return
        key = exchange.headers.get("idempotency-key", "")
        self._runs[key] = self._runs.get(key, 0) + 1
        self._count += 1
        if self.standin.faults.get("lose_answers"):
            return
        try:
            asked = orjson.loads(exchange.body) if exchange.body else {}
        except ValueError:
            reply_json(exchange, {"error": "the body is not JSON"}, 400)
            return
        booking = {"booking": f"{self._name}-{self._count}", "asked": asked}
        reply_json(exchange, booking)

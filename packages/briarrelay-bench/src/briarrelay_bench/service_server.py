"""Stand-in for a plain service whose calls must not run twice: bookings."""

import orjson

from briarrelay_bench.standin import StandIn, reply_json
from briarrelay_daemon.settings import Address
from briarrelay_daemon.webserver import Exchange

__all__ = ["ServiceServer"]


class ServiceServer:
    """Makes a booking for each call and counts the runs by idempotency key.

    It accepts repeated keys: its callers must make sure that a call runs once.
    """

    def __init__(self, bind: Address, name: str):
        self.standin = StandIn(bind, self._handle_request)
        self._name = name
        self._runs_by_key: dict[str, int] = {}
        self._booking_count = 0

    def run(self) -> None:
        """Serve until the process receives SIGTERM."""
        self.standin.run()

    def _handle_request(self, exchange: Exchange) -> None:
        if exchange.path == "/runs":
            reply_json(exchange, self._runs_by_key)
            return
        key = exchange.headers.get("idempotency-key", "")
        self._runs_by_key[key] = self._runs_by_key.get(key, 0) + 1
        self._booking_count += 1
        if self.standin.faults.get("lose_answers"):
            return
        try:
            request = orjson.loads(exchange.body) if exchange.body else {}
        except ValueError:
            reply_json(exchange, {"error": "the body is not JSON"}, 400)
            return
        booking = {"booking": f"{self._name}-{self._booking_count}", "asked": request}
        reply_json(exchange, booking)

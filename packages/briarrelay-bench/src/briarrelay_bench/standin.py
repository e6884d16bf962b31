"""Base of the stand-in processes: event loop, web server, faults and shutdown."""

import signal
import sys
from collections.abc import Callable

import orjson
from circuits import Component
from circuits.core.pollers import EPoll

from briarrelay_daemon.host import SteadyClock
from briarrelay_daemon.reactor import Reactor
from briarrelay_daemon.settings import Address
from briarrelay_daemon.webserver import Exchange, WebServer

__all__ = ["Faults", "StandIn", "reply_json"]

MAX_BODY_BYTES = 64_000_000
BUFFER_BYTES = 16_000_000
IDLE_S = 600.0


def reply_json(exchange: Exchange, value, status: int = 200) -> None:
    """Reply with a JSON value."""
    exchange.reply(status, orjson.dumps(value))


class Faults:
    """Faults that a test sets by ``PUT /faults`` with a JSON object.

    ``silent`` leaves every request unanswered, ``delay_s`` handles requests after a
    delay, ``fail`` replies with status 503, and ``lose_answers`` executes requests
    without a reply.
    """

    NAMES = ("silent", "delay_s", "fail", "lose_answers")

    def __init__(self):
        self.values: dict[str, float] = {}

    def get(self, name: str) -> float:
        """Return the value of a fault, 0 if it is off."""
        return float(self.values.get(name, 0))

    def set(self, values: dict) -> None:
        """Update the given faults; the others keep their value.

        :raises ValueError: if a fault is unknown.
        """
        unknown = set(values) - set(self.NAMES)
        if unknown:
            raise ValueError(
                f"unknown faults {unknown}; choose from {', '.join(self.NAMES)}"
            )
        self.values.update(values)


class StandIn(Component):
    """Event loop and web server of a process that replaces an external system.

    :param handle_request: called with each exchange that is not about faults.
    :ivar on_disconnect: called with an exchange whose connection was closed.
    """

    channel = "standin"

    def __init__(self, bind: Address, handle_request: Callable[[Exchange], None]):
        super().__init__(channel=self.channel)
        poller = EPoll().register(self)
        self.clock = SteadyClock()
        self.reactor = Reactor(self.clock).register(self)
        self.reactor.attach(poller)
        self.faults = Faults()
        self._handle_request = handle_request
        self.on_disconnect: Callable[[Exchange], None] = lambda exchange: None
        self.server = WebServer(
            bind,
            self.reactor,
            self._on_request,
            lambda exchange: self.on_disconnect(exchange),
            max_body_bytes=MAX_BODY_BYTES,
            buffer_bytes=BUFFER_BYTES,
            idle_s=IDLE_S,
        )

    def started(self, *_) -> None:
        """Exit on SIGTERM; print the port on which the process listens."""
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
        print(f"listening {self.server.port}", flush=True)

    def _on_request(self, exchange: Exchange) -> None:
        if exchange.path == "/faults" and exchange.method == "PUT":
            self.faults.set(orjson.loads(exchange.body))
            reply_json(exchange, {"ok": True})
        elif self.faults.get("silent"):
            return
        elif self.faults.get("fail"):
            reply_json(exchange, {"error": "down"}, 503)
        else:
            self._handle_after_delay(exchange)

    def _handle_after_delay(self, exchange: Exchange) -> None:
        delay = self.faults.get("delay_s")
        if not delay:
            self._handle_request(exchange)
            return
        due = self.clock() + delay
        self.reactor.timers.at(due, lambda _: self._handle_request(exchange) or [])

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        self.reactor.timers.at(self.clock() + delay, lambda _: action() or [])

"""What every stand-in process shares: a loop, a web server and a clean end."""

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
    """Answer with a JSON value."""
    exchange.reply(status, orjson.dumps(value))


class Faults:
    """Faults that a test sets by PUT /faults with a mapping.

    ``silent`` drops every request, ``delay_s`` delays answers, ``fail`` answers 503,
    ``lose_answers`` takes effect and then does not answer.
    """

    NAMES = ("silent", "delay_s", "fail", "lose_answers")

    def __init__(self):
        self.values: dict[str, float] = {}

    def get(self, name: str) -> float:
        """Return the strength of a fault, 0 if it is off."""
        return float(self.values.get(name, 0))

    def set(self, values: dict) -> None:
        """Set faults; those that are not named stay."""
        unknown = set(values) - set(self.NAMES)
        if unknown:
            raise ValueError(f"given faults {unknown}; use {', '.join(self.NAMES)}")
        self.values.update(values)


class StandIn(Component):
    """A process that stands in for something outside of briarrelay.

    :param answer: called with each exchange that is not about faults.
    """

    channel = "standin"

    def __init__(self, bind: Address, answer: Callable[[Exchange], None]):
        super().__init__(channel=self.channel)
        poller = EPoll().register(self)
        self.clock = SteadyClock()
        self.reactor = Reactor(self.clock).register(self)
        self.reactor.attach(poller)
        self.faults = Faults()
        self._answer = answer
        self.on_gone: Callable[[Exchange], None] = lambda exchange: None
        self.server = WebServer(
            bind,
            self.reactor,
            self._on_request,
            lambda exchange: self.on_gone(exchange),
            max_body_bytes=MAX_BODY_BYTES,
            buffer_bytes=BUFFER_BYTES,
            idle_s=IDLE_S,
        ).register(self)

    def started(self, *_) -> None:
        """Say that the process listens."""
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
            self._delayed(exchange)

    def _delayed(self, exchange: Exchange) -> None:
        delay = self.faults.get("delay_s")
        if not delay:
            self._answer(exchange)
            return
        due = self.clock() + delay
        self.reactor.timers.at(due, lambda _: self._answer(exchange) or [])

    def later(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action after some seconds."""
        self.reactor.timers.at(self.clock() + delay, lambda _: action() or [])

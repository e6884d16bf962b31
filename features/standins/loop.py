"""Event loop of the stand-ins."""

from time import monotonic
from urllib.parse import parse_qsl

from circuits import Component
from circuits.core.pollers import EPoll

from briarrelay_daemon.callerserver import CallerServer
from briarrelay_daemon.rawexchange import RawExchange
from briarrelay_daemon.reactor import Reactor
from briarrelay_daemon.settings import Address


class StandInLoop(Component):
    """An event loop with sockets and timers."""

    channel = "standin"

    def __init__(self):
        super().__init__(channel=self.channel)
        poller = EPoll().register(self)
        self.reactor = Reactor(monotonic).register(self)
        self.reactor.attach(poller)

    def serve(
        self, host: str, port: int, on_request, on_disconnect=None
    ) -> CallerServer:
        """Listen on an address and return the server.

        :param on_request: called with the exchange of each complete request.
        :param on_disconnect: called with an exchange whose caller disconnected.
        """
        server = CallerServer(
            Address(host, port),
            self.reactor,
            on_request,
            on_disconnect or (lambda _: None),
        )
        server.limits = server.limits.__class__(body_bytes=64_000_000, idle_s=600.0)
        return server

    def call_later(self, seconds: float, callback) -> None:
        """Call ``callback`` without arguments after a delay."""
        self.reactor.timers.at(
            self.reactor.clock() + seconds, lambda _: callback() or []
        )


def read_query(exchange: RawExchange) -> dict[str, str]:
    """Return the query parameters of a request's target."""
    text = exchange.target.partition(b"?")[2].decode()
    return dict(parse_qsl(text, keep_blank_values=True))


def read_path(exchange: RawExchange) -> str:
    """Return the path of a request's target."""
    return exchange.target.partition(b"?")[0].decode()

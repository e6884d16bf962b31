"""HTTP server for readiness checks, peers and the metrics collector."""

from collections.abc import Callable

from briarrelay_core.routes.model import CallerLimits
from briarrelay_daemon.callerserver import CallerServer
from briarrelay_daemon.rawexchange import RawExchange
from briarrelay_daemon.reactor import Reactor
from briarrelay_daemon.settings import Address

__all__ = ["PageServer"]

PAGE_LIMITS = CallerLimits(body_bytes=4_096)
"""Limits on requests for pages, which have no body."""


class PageServer:
    """Answers GET requests by path, with a function that returns status and body.

    :param options: further arguments of the :class:`CallerServer`.
    """

    def __init__(self, bind: Address, reactor: Reactor, **options):
        self._pages: dict[str, Callable[[], tuple[int, bytes]]] = {}
        self.server = CallerServer(
            bind, reactor, self._on_request, lambda _: None, **options
        )
        self.server.limits = PAGE_LIMITS

    def add(self, path: str, page: Callable[[], tuple[int, bytes]]) -> None:
        """Answer a path with the status and body that a function returns."""
        self._pages[path] = page

    def _on_request(self, exchange: RawExchange) -> None:
        path = exchange.target.partition(b"?")[0].decode("latin-1")
        page = self._pages.get(path)
        if page is None or exchange.method != "GET":
            exchange.reply(404, [], b"no such page\n")
            return
        status, body = page()
        exchange.reply(status, [], body)

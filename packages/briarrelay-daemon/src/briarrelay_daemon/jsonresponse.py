"""Sink for calls that are answered with JSON."""

from collections.abc import Callable

import orjson

from briarrelay_daemon.responsereader import CallSink

__all__ = ["JsonResponse"]


class JsonResponse(CallSink):
    """Collects a response and passes on its status and JSON value.

    :param done: called with the status and the value, None if it is not JSON.
    :param lost: called if the call fails, with whether the server may have received it.
    """

    def __init__(
        self, done: Callable[[int, object], None], lost: Callable[[bool], None]
    ):
        self._done = done
        self._lost = lost
        self._status = 0
        self._body = bytearray()
        self.headers: dict[str, str] = {}

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        self._status = status
        self.headers = headers

    def on_data(self, data: bytes) -> None:
        self._body += data

    def on_end(self) -> None:
        try:
            value = orjson.loads(self._body) if self._body else None
        except ValueError:
            value = None
        self._done(self._status, value)

    def on_lost(self, sent: bool) -> None:
        self._lost(sent)

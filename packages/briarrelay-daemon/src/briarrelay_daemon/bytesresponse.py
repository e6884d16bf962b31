"""Sink for calls whose response is collected as bytes."""

from collections.abc import Callable

from briarrelay_daemon.responsereader import CallSink

__all__ = ["BytesResponse"]


class BytesResponse(CallSink):
    """Collects a response and passes on its status and body.

    :param done: called with the status and the body.
    :param lost: called if the call fails, with whether the server may have received it.
    """

    def __init__(
        self, done: Callable[[int, bytes], None], lost: Callable[[bool], None]
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
        self._done(self._status, bytes(self._body))

    def on_lost(self, sent: bool) -> None:
        self._lost(sent)

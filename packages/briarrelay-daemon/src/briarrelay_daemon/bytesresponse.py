"""Sink for calls whose response is collected as bytes."""

from collections.abc import Callable

from briarrelay_daemon.responsereader import CallSink

__all__ = ["BytesResponse"]


class BytesResponse(CallSink):
    """Collects a response and passes on its status and the beginning of its body.

    :param done: called with the status and the body.
    :param lost: called if the call fails, with whether the server may have received it.
    :param max_bytes: most bytes of the body that are kept.
    """

    def __init__(
        self,
        done: Callable[[int, bytes], None],
        lost: Callable[[bool], None],
        max_bytes: int = CallSink.max_body_bytes,
    ):
        self._max_bytes = max_bytes
        self._done = done
        self._lost = lost
        self._status = 0
        self._body = bytearray()
        self.headers: dict[str, str] = {}

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        self._status = status
        self.headers = headers

    def on_data(self, data: bytes) -> None:
        self._body += data[: max(0, self._max_bytes - len(self._body))]

    def on_end(self) -> None:
        self._done(self._status, bytes(self._body))

    def on_lost(self, sent: bool) -> None:
        self._lost(sent)

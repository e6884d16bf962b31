"""Calls whose whole answer is JSON."""

from collections.abc import Callable

import orjson

from briarrelay_daemon.answerreader import CallSink

__all__ = ["JsonAnswer"]

MAX_ANSWER_BYTES = 64_000_000
"""Longest answer that is taken."""


class JsonAnswer(CallSink):
    """Collects an answer and hands its status and JSON value on.

    :param done: called with the status and the value, None if it is no JSON.
    :param lost: called with whether the call may have been received.
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
        if len(self._body) + len(data) <= MAX_ANSWER_BYTES:
            self._body += data

    def on_end(self) -> None:
        try:
            value = orjson.loads(self._body) if self._body else None
        except ValueError:
            value = None
        self._done(self._status, value)

    def on_lost(self, sent: bool) -> None:
        self._lost(sent)

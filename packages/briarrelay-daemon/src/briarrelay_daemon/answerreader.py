"""Reads the answer to one HTTP call from the parser's callbacks."""

from httptools import HttpResponseParser

__all__ = ["AnswerReader", "CallSink"]


class CallSink:
    """Receives what becomes of a call; every method may be overridden."""

    def accepts(self, status: int, headers: dict[str, str]) -> bool:
        """Return whether an answer is the one to this call; others are skipped."""
        return True

    def on_raw_headers(self, pairs: list[tuple[bytes, bytes]]) -> None:
        """Take the headers of the answer as they came, before its head."""

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        """Take the status and headers of the answer."""

    def on_data(self, data: bytes) -> None:
        """Take a part of the answer's body."""

    def on_end(self) -> None:
        """Take word that the answer is whole."""

    def on_lost(self, sent: bool) -> None:
        """Take word that there will be no whole answer.

        :param sent: False if no byte of the call left this process.
        """


class AnswerReader:
    """Callbacks of the parser for the answer to one call.

    :ivar is_whole: the answer has been read to its end.
    :ivar keeps_alive: the server keeps the connection; the parser only tells while
        it is at the end of the answer.
    :ivar has_more: bytes came after the end, which belong to no call.
    """

    def __init__(self, sink: CallSink):
        self._sink = sink
        self._pairs: list[tuple[bytes, bytes]] = []
        self._is_skipped = False
        self._has_head = False
        self.headers: dict[str, str] = {}
        self.is_whole = False
        self.has_more = False
        self.keeps_alive = False
        self.parser = HttpResponseParser(self)

    def on_message_begin(self) -> None:
        """Prepare for an answer."""
        if self.is_whole:
            self.has_more = True
        self._pairs = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._pairs.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on."""
        if self.is_whole:
            return
        status = self.parser.get_status_code()
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in self._pairs
        }
        self._is_skipped = status < 200 or not self._sink.accepts(status, headers)
        if self._is_skipped:
            return
        self._has_head = True
        self.headers = headers
        self._sink.on_raw_headers(self._pairs)
        self._sink.on_head(status, headers)

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if not self.is_whole and not self._is_skipped:
            self._sink.on_data(data)

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        if self._is_skipped:
            self._is_skipped = False
        elif not self.is_whole:
            self.is_whole = True
            self.keeps_alive = self.parser.should_keep_alive()

    @property
    def ends_with_connection(self) -> bool:
        """Whether the end of the connection is the end of the answer."""
        framed = "content-length" in self.headers or (
            "transfer-encoding" in self.headers
        )
        return self._has_head and not self._is_skipped and not framed

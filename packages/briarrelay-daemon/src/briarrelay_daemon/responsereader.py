"""Callbacks through which the response to one HTTP call is read."""

from httptools import HttpResponseParser

__all__ = ["CallSink", "ResponseReader"]

MAX_OVERHEAD_BYTES = 65_536
"""Most bytes of heads, chunk framing and trailers in a row, without any of the body."""

MAX_SKIPPED_BYTES = 1_048_576
"""Most body bytes of responses that belong to other calls."""


IDENTITY = "identity"
"""Transfer coding that older servers give for a body that is sent as it is."""


class CallSink:
    """Receives the events of a call; the methods do nothing unless overridden.

    :cvar max_body_bytes: longest body; a call with a longer one fails. None for no
        limit, as for event streams, whose events are limited one by one.
    """

    max_body_bytes: int | None = 64_000_000

    def accepts(self, status: int, headers: dict[str, str]) -> bool:
        """Return whether a response belongs to this call; others are skipped."""
        return True

    def on_raw_headers(self, pairs: list[tuple[bytes, bytes]]) -> None:
        """Handle the headers as received; called before :meth:`on_head`."""

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        """Handle the status and headers of the response."""

    def on_data(self, data: bytes) -> None:
        """Handle a part of the response's body."""

    def on_end(self) -> None:
        """Handle the end of a complete response."""

    def on_lost(self, sent: bool) -> None:
        """Handle the failure of the call before its response was complete.

        :param sent: False if no byte of the request was written to the socket.
        """


class ResponseReader:
    """Passes the response to one call from the parser to a sink.

    :param has_body: False for a HEAD request, whose response ends with its head.
    :ivar is_complete: the response has been read to its end.
    :ivar keeps_alive: the server keeps the connection open; recorded at the end of
        the response, since the parser only reports it there.
    :ivar has_extra_bytes: bytes were received after the end of the response.
    :ivar problem: why the response is longer than any valid one, else empty.
    """

    def __init__(self, sink: CallSink, has_body: bool = True):
        self._sink = sink
        self._has_body = has_body
        self._pairs: list[tuple[bytes, bytes]] = []
        self._is_skipped = False
        self._has_head = False
        self._overhead_bytes = 0
        self._skipped_bytes = 0
        self._body_bytes = 0
        self.problem = ""
        self.headers: dict[str, str] = {}
        self.is_complete = False
        self.has_extra_bytes = False
        self.keeps_alive = False
        self.parser = HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse bytes of the response; `problem` is set if it is too long.

        :raises HttpParserError: if they are no HTTP response.
        """
        self._overhead_bytes += len(data)
        self.parser.feed_data(data)
        limit = self._sink.max_body_bytes
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self.problem = f"{MAX_OVERHEAD_BYTES} bytes without a part of the body"
        elif self._skipped_bytes > MAX_SKIPPED_BYTES:
            self.problem = f"{MAX_SKIPPED_BYTES} bytes of responses to other calls"
        elif limit is not None and self._body_bytes > limit:
            self.problem = f"response longer than {limit} bytes"

    def on_message_begin(self) -> None:
        """Start reading a response."""
        if self.is_complete:
            self.has_extra_bytes = True
        self._pairs = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._pairs.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink, unless the response is skipped."""
        if self.is_complete:
            return
        status = self.parser.get_status_code()
        headers = _combine(self._pairs)
        self._is_skipped = status < 200 or not self._sink.accepts(status, headers)
        if self._is_skipped:
            return
        self._has_head = True
        self._overhead_bytes = 0
        self.headers = headers
        self._sink.on_raw_headers(self._pairs)
        self._sink.on_head(status, headers)
        if not self._has_body:
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body to the sink."""
        if self._is_skipped:
            self._overhead_bytes -= len(data)
            self._skipped_bytes += len(data)
        elif self.is_complete:
            self.has_extra_bytes = True
        else:
            self._overhead_bytes = 0
            self._body_bytes += len(data)
            self._sink.on_data(data)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self._is_skipped:
            self._is_skipped = False
        elif not self.is_complete:
            self._complete()

    def _complete(self) -> None:
        self.is_complete = True
        self.keeps_alive = self.parser.should_keep_alive()

    @property
    def ends_at_close(self) -> bool:
        """Whether the response ends when the server closes the connection."""
        coding = self.headers.get("transfer-encoding", IDENTITY)
        has_length = "content-length" in self.headers or coding.lower() != IDENTITY
        return self._has_head and not self._is_skipped and not has_length


def _combine(pairs: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return headers by name; different values of one name are joined by commas."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in pairs:
        name, value = raw_name.decode("latin-1").lower(), raw_value.decode("latin-1")
        known = headers.get(name, value)
        headers[name] = value if known == value else f"{known}, {value}"
    return headers

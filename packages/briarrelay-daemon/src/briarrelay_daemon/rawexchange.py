"""One request of a caller and its response, as raw bytes."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from briarrelay_daemon.callerconnection import CallerConnection

__all__ = ["RawExchange"]


@define(slots=True, eq=False)
class RawExchange:
    """One request of a caller and its response.

    :param target: request target as received.
    :param headers: names and values as received, in order.
    :param keeps_alive: whether the connection stays open after the response.
    :param is_open: the response is not complete and the caller is connected.
    :param is_head_sent: the head of a chunked response has been sent.
    """

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]] = field(repr=False)
    body: bytes = field(repr=False)
    keeps_alive: bool
    _connection: CallerConnection = field(repr=False)
    is_open: bool = True
    is_head_sent: bool = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes of the response that the caller has not taken yet."""
        return self._connection.unsent_bytes

    def header(self, name: str) -> str:
        """Return the first value of a header, empty if there is none."""
        wanted = name.lower().encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1").strip()
        return ""

    def reply(self, status: int, headers: list, body: bytes) -> None:
        """Send a complete response; without its body in reply to HEAD.

        :param headers: pairs of bytes, without Content-Length or Transfer-Encoding.
        """
        if not self.is_open or self.is_head_sent:
            return
        framing = (b"Content-Length", b"%d" % len(body))
        if self.method == "HEAD":
            body = b""
        self._connection.write(self._encode_head(status, [*headers, framing]))
        self._connection.write(body)
        self._connection.finish(self)

    def begin(self, status: int, headers: list) -> None:
        """Send the head of a chunked response."""
        if not self.is_open or self.is_head_sent:
            return
        self.is_head_sent = True
        framing = (b"Transfer-Encoding", b"chunked")
        self._connection.write(self._encode_head(status, [*headers, framing]))

    def send(self, data: bytes) -> None:
        """Send one chunk of a response."""
        if self.is_open:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """Send the last chunk, which marks the response as complete."""
        if self.is_open:
            self._connection.write(b"0\r\n\r\n")
            self._connection.finish(self)

    def abort(self) -> None:
        """Close the connection, so that the caller detects an incomplete response."""
        if self.is_open:
            self.is_open = False
            self._connection.close()

    def _encode_head(self, status: int, headers: list) -> bytes:
        """Return the encoded status line and headers.

        Clears `keeps_alive` if the server closes its connections after a response,
        unless the caller has sent further requests, which are answered first.
        """
        connection = self._connection
        if not connection.server.keeps_alive and not connection.has_further_requests:
            self.keeps_alive = False
        try:
            phrase = HTTPStatus(status).phrase
        except ValueError:
            phrase = "Unknown"
        lines = [b"HTTP/1.1 %d %b" % (status, phrase.encode())]
        lines += [name + b": " + value for name, value in headers]
        if not self.keeps_alive:
            lines.append(b"Connection: close")
        return b"\r\n".join([*lines, b"", b""])

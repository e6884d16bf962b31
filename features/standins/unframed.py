"""Responses with neither a length nor chunks, which end with their connection."""

import socket
from struct import pack

from briarrelay_daemon.rawexchange import RawExchange

RESET_ON_CLOSE = pack("ii", 1, 0)
"""Value of SO_LINGER with which close() resets the connection."""


class UnframedExchange(RawExchange):
    """Takes the place of an exchange, whose response has no framing."""

    @classmethod
    def replace(cls, exchange: RawExchange) -> "UnframedExchange":
        """Return an exchange for the same request, on its connection."""
        connection = exchange._connection
        unframed = cls(
            method=exchange.method,
            target=exchange.target,
            headers=exchange.headers,
            body=exchange.body,
            keeps_alive=True,
            connection=connection,
        )
        connection._exchange = unframed
        return unframed

    def reply(self, status: int, headers: list, body: bytes) -> None:
        self.begin(status, headers)
        self.send(body)
        self.end()

    def begin(self, status: int, headers: list) -> None:
        if self.is_open and not self.is_head_sent:
            self.is_head_sent = True
            self._connection.write(self._encode_head(status, headers))

    def send(self, data: bytes) -> None:
        if self.is_open:
            self._connection.write(data)

    def end(self) -> None:
        """Close the connection in order, after what is still to be sent."""
        if self.is_open:
            self.keeps_alive = False
            self._connection.finish(self)
            self._connection.write(b"")

    def abort(self) -> None:
        """Reset the connection, since its end would complete the response."""
        if self.is_open:
            sock = self._connection._sock
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            super().abort()

"""Chunked responses whose unsent bytes are limited."""

from briarrelay_daemon.rawexchange import RawExchange

__all__ = ["ResponseStream"]

CHUNK_FRAMING_BYTES = 20
"""Most bytes of the framing of a chunk."""


class ResponseStream:
    """Sends the chunks of a response to one caller.

    :param limit: most bytes that are buffered for a caller that does not read.
    :ivar is_over_limit: a write was rejected because of the limit.
    """

    def __init__(self, exchange: RawExchange, limit: int):
        self._exchange = exchange
        self._limit = limit
        self.is_over_limit = False

    def write(self, data: bytes) -> bool:
        """Send data as one chunk.

        Does nothing, and returns True, once the connection is closed.

        :returns: False if the limit is exceeded; the data is then not sent.
        """
        exchange = self._exchange
        size = len(data) + CHUNK_FRAMING_BYTES
        if exchange.is_open and exchange.unsent_bytes + size > self._limit:
            self.is_over_limit = True
            return False
        exchange.send(data)
        return True

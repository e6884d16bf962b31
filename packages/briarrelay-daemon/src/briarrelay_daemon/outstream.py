"""Chunked responses, written directly to the caller's socket."""

from collections.abc import Callable

from briarrelay_daemon.wire import WRITE, Wire

__all__ = ["OutStream"]


class OutStream:
    """Buffers and sends the chunks of a response to one caller.

    Chunks written in one iteration of the loop are sent in one system call.

    :param limit: most bytes that are buffered for a caller that does not read.
    :ivar is_overfull: a write was rejected because of the limit.
    """

    def __init__(self, sock, wire: Wire, limit: int):
        self._sock = sock
        self._fileno = sock.fileno()
        self._wire = wire
        self._limit = limit
        self._waiting = bytearray()
        self._is_blocked = False
        self._is_flush_due = False
        self._is_closed = False
        self._on_empty: Callable[[], None] | None = None
        self._on_writable = self._on_ready
        self.is_overfull = False

    def write(self, data: bytes) -> bool:
        """Send data as one chunk.

        :returns: False if the limit is exceeded; the data is then not sent.
        """
        return self.write_raw(b"%x\r\n%b\r\n" % (len(data), data))

    def write_raw(self, data: bytes) -> bool:
        """Send bytes without chunk framing; returns as :meth:`write` does."""
        if self._is_closed:
            return True
        if len(self._waiting) + len(data) > self._limit:
            self.is_overfull = True
            return False
        self._waiting += data
        if not self._is_blocked and not self._is_flush_due:
            self._is_flush_due = True
            self._wire.at_turn_end(self._flush)
        return True

    def when_empty(self, callback: Callable[[], None]) -> None:
        """Call back once all buffered bytes have been sent."""
        self._on_empty = callback
        if not self._is_flush_due and not self._is_blocked:
            self._is_flush_due = True
            self._wire.at_turn_end(self._flush)

    def abandon(self) -> None:
        """Discard the buffered bytes; called when the connection is closed."""
        self._is_closed = True
        self._waiting.clear()
        if self._is_blocked:
            self._is_blocked = False
            self._wire.unwatch_fd(self._fileno, self._on_writable)

    def _flush(self) -> None:
        self._is_flush_due = False
        if self._is_closed:
            return
        try:
            while self._waiting:
                count = self._sock.send(self._waiting)
                del self._waiting[:count]
        except BlockingIOError:
            self._block()
            return
        except OSError:
            self._is_closed = True
            return
        self._unblock()
        if self._on_empty is not None:
            callback, self._on_empty = self._on_empty, None
            callback()

    def _on_ready(self, _: int) -> None:
        self._flush()

    def _block(self) -> None:
        if not self._is_blocked:
            self._is_blocked = True
            self._wire.watch(self._sock, WRITE, self._on_writable)

    def _unblock(self) -> None:
        if self._is_blocked:
            self._is_blocked = False
            self._wire.unwatch(self._sock)

"""Chunked responses, written directly to the caller's socket."""

from collections.abc import Callable

from briarrelay_daemon.reactor import WRITE, Reactor

__all__ = ["ResponseStream"]


class ResponseStream:
    """Buffers and sends the chunks of a response to one caller.

    Chunks written in one iteration of the loop are sent in one system call.

    :param limit: most bytes that are buffered for a caller that does not read.
    :ivar is_over_limit: a write was rejected because of the limit.
    """

    def __init__(self, sock, reactor: Reactor, limit: int):
        self._sock = sock
        self._fileno = sock.fileno()
        self._reactor = reactor
        self._limit = limit
        self._buffer = bytearray()
        self._is_blocked = False
        self._is_flush_due = False
        self._is_closed = False
        self._on_all_sent: Callable[[], None] | None = None
        # Stored, since unwatch_fd() compares callbacks by identity, and each access to
        # a method makes a new object.
        self._on_writable = self._on_ready
        self.is_over_limit = False

    def write(self, data: bytes) -> bool:
        """Send data as one chunk.

        :returns: False if the limit is exceeded; the data is then not sent.
        """
        return self.write_raw(b"%x\r\n%b\r\n" % (len(data), data))

    def write_raw(self, data: bytes) -> bool:
        """Send bytes without chunk framing; returns as :meth:`write` does.

        Does nothing, and returns True, once the connection is closed.
        """
        if self._is_closed:
            return True
        if len(self._buffer) + len(data) > self._limit:
            self.is_over_limit = True
            return False
        self._buffer += data
        if not self._is_blocked and not self._is_flush_due:
            self._is_flush_due = True
            self._reactor.defer(self._flush)
        return True

    def call_when_sent(self, callback: Callable[[], None]) -> None:
        """Call back once all buffered bytes have been sent."""
        self._on_all_sent = callback
        if not self._is_flush_due and not self._is_blocked:
            self._is_flush_due = True
            self._reactor.defer(self._flush)

    def discard(self) -> None:
        """Discard the buffered bytes; called when the connection is closed."""
        self._is_closed = True
        self._buffer.clear()
        if self._is_blocked:
            self._is_blocked = False
            self._reactor.unwatch_fd(self._fileno, self._on_writable)

    def _flush(self) -> None:
        self._is_flush_due = False
        if self._is_closed:
            return
        try:
            while self._buffer:
                count = self._sock.send(self._buffer)
                del self._buffer[:count]
        except BlockingIOError:
            self._block()
            return
        except OSError:
            self._is_closed = True
            return
        self._unblock()
        if self._on_all_sent is not None:
            callback, self._on_all_sent = self._on_all_sent, None
            callback()

    def _on_ready(self, _: int) -> None:
        self._flush()

    def _block(self) -> None:
        if not self._is_blocked:
            self._is_blocked = True
            self._reactor.watch(self._sock, WRITE, self._on_writable)

    def _unblock(self) -> None:
        if self._is_blocked:
            self._is_blocked = False
            self._reactor.unwatch(self._sock)

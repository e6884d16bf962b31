"""An answer in parts, written straight to the caller's socket."""

from collections.abc import Callable

from briarrelay_daemon.wire import WRITE, Wire

__all__ = ["OutStream"]


class OutStream:
    """Parts of an answer on their way to one caller, bounded in memory.

    Parts written in one turn of the loop leave in one system call.

    :param limit: bytes kept for a caller that does not read.
    """

    def __init__(self, sock, wire: Wire, limit: int):
        self._sock = sock
        self._fileno = sock.fileno()
        self._wire = wire
        self._limit = limit
        self._waiting = bytearray()
        self._is_blocked = False
        self._is_flushing = False
        self._is_gone = False
        self._when_empty: Callable[[], None] | None = None
        self._on_writable = self._flush_blocked
        self.is_overfull = False

    def write(self, data: bytes) -> bool:
        """Send a part as a chunk.

        :returns: False if the caller has not read what it was sent before.
        """
        return self.write_raw(b"%x\r\n%b\r\n" % (len(data), data))

    def write_raw(self, data: bytes) -> bool:
        """Send bytes as they are."""
        if self._is_gone:
            return True
        if len(self._waiting) + len(data) > self._limit:
            self.is_overfull = True
            return False
        self._waiting += data
        if not self._is_blocked and not self._is_flushing:
            self._is_flushing = True
            self._wire.at_turn_end(self._flush)
        return True

    def when_empty(self, callback: Callable[[], None]) -> None:
        """Call back once everything has left."""
        self._when_empty = callback
        if not self._is_flushing and not self._is_blocked:
            self._is_flushing = True
            self._wire.at_turn_end(self._flush)

    def abandon(self) -> None:
        """Forget what is left; the connection is closed."""
        self._is_gone = True
        self._waiting.clear()
        if self._is_blocked:
            self._is_blocked = False
            self._wire.forget(self._fileno, self._on_writable)

    def _flush(self) -> None:
        self._is_flushing = False
        if self._is_gone:
            return
        try:
            while self._waiting:
                count = self._sock.send(self._waiting)
                del self._waiting[:count]
        except BlockingIOError:
            self._block()
            return
        except OSError:
            self._is_gone = True
            return
        self._unblock()
        if self._when_empty is not None:
            callback, self._when_empty = self._when_empty, None
            callback()

    def _flush_blocked(self, _: int) -> None:
        self._flush()

    def _block(self) -> None:
        if not self._is_blocked:
            self._is_blocked = True
            self._wire.watch(self._sock, WRITE, self._on_writable)

    def _unblock(self) -> None:
        if self._is_blocked:
            self._is_blocked = False
            self._wire.unwatch(self._sock)

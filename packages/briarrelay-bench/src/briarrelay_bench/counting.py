"""Forwards TCP connections and counts the bytes that they carry."""

import socket
import threading

__all__ = ["CountingForwarder"]

CHUNK = 65_536


class CountingForwarder:
    """Listens on a port of its own and forwards to another.

    :param to: port on loopback that connections go on to.
    """

    def __init__(self, to: int):
        self._to = to
        self._lock = threading.Lock()
        self.total = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                inner, _ = self._listener.accept()
                outer = socket.create_connection(("127.0.0.1", self._to))
            except OSError:
                return
            for source, sink in ((inner, outer), (outer, inner)):
                pump = threading.Thread(
                    target=self._pump, args=(source, sink), daemon=True
                )
                pump.start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK):
                with self._lock:
                    self.total += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            source.close()
            sink.close()

    def close(self) -> None:
        """Take no more connections."""
        self._listener.close()

"""TCP forwarder that counts the bytes it forwards."""

import socket
import threading

__all__ = ["CountingForwarder"]

CHUNK_BYTES = 65_536


class CountingForwarder:
    """Listens on a free loopback port and forwards connections to another port.

    :param target_port: loopback port to which connections are forwarded.
    :ivar total: bytes forwarded so far, in both directions.
    """

    def __init__(self, target_port: int):
        self._target_port = target_port
        self._lock = threading.Lock()
        self.total = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def _accept_connections(self) -> None:
        while True:
            try:
                inner, _ = self._listener.accept()
                outer = socket.create_connection(("127.0.0.1", self._target_port))
            except OSError:
                return
            for source, sink in ((inner, outer), (outer, inner)):
                thread = threading.Thread(
                    target=self._copy, args=(source, sink), daemon=True
                )
                thread.start()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                with self._lock:
                    self.total += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            source.close()
            sink.close()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

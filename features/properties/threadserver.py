"""A server on loopback whose connections are served by threads."""

import socket
from collections.abc import Callable
from contextlib import suppress
from threading import Thread

__all__ = ["ThreadServer"]


class ThreadServer:
    """Accepts connections, and serves each in a thread; subclasses override `serve`.

    :ivar port: port on which it listens.
    :ivar threads: the thread that accepts, and those of the connections.
    """

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._sockets = [self._listener]
        self.threads: list[Thread] = []
        self._start(self._accept)

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError

    def _start(self, target: Callable, *arguments) -> None:
        thread = Thread(target=target, args=arguments, daemon=True)
        self.threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._sockets.append(sock)
            self._start(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        with suppress(OSError):  # the caller has ended
            self.serve(sock)

    def close(self) -> None:
        """End the threads, then close the sockets.

        A thread could otherwise use a descriptor that is another socket's by then.
        """
        self._end(self._sockets[:1], self.threads[:1])  # it starts the others
        self._end(self._sockets[1:], self.threads[1:])
        for sock in self._sockets:
            sock.close()

    def _end(self, sockets: list[socket.socket], threads: list[Thread]) -> None:
        for sock in sockets:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        for thread in threads:
            thread.join()

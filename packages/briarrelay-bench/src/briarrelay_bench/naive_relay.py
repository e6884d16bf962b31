"""Baseline for the relay benchmark: one circuits event for each read and each write.

It does the work of the daemon's relay with the same libraries: it reads the engine's
frames, checks their sequence and writes server-sent events, but passes every read and
write through the event queue.

Usage:
  naive-relay --port N --to N

Options:
  --port N  port on loopback, 0 for any
  --to N    port of the engine
"""

import sys

import orjson
from circuits import Component, handler
from circuits.net.events import close, connect, write
from circuits.net.sockets import TCPClient, TCPServer
from docopt import docopt
from httptools import HttpResponseParser

from briarrelay_daemon.chatapi import sse_event_prefix, sse_text_event

RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class _Upstream(Component):
    """Connection to the engine on behalf of one caller."""

    def __init__(self, number: int, sock, port: int):
        channel = f"upstream-{number}"
        super().__init__(channel=channel)
        self._caller_socket = sock
        self._port = port
        self._pending: list[bytes] = []
        self._connected = False
        self._parser = HttpResponseParser(self)
        self._partial_line = b""
        self._next_seq = 0
        self._event_head = b""
        self.fire(write(sock, RESPONSE_HEAD), "callers")
        TCPClient(channel=channel).register(self)

    def open(self) -> None:
        """Connect to the engine."""
        self.fire(connect("127.0.0.1", self._port))

    def send(self, data: bytes) -> None:
        """Forward bytes of the caller, once the engine is connected."""
        if self._connected:
            self.fire(write(data))
        else:
            self._pending.append(data)

    @handler("connected")
    def _on_connected(self, *_) -> None:
        self._connected = True
        for data in self._pending:
            self.fire(write(data))

    @handler("read")
    def _on_read(self, data) -> None:
        self._parser.feed_data(data)

    def on_body(self, data: bytes) -> None:
        """Handle a part of the engine's response body."""
        lines = (self._partial_line + data).split(b"\n")
        self._partial_line = lines.pop()
        for line in lines:
            self._on_frame(orjson.loads(line))

    def _on_frame(self, frame: dict) -> None:
        if frame["k"] == "end":
            self.fire(write(self._caller_socket, b"0\r\n\r\n"), "callers")
        if frame["k"] != "token" or frame["s"] != self._next_seq:
            return
        self._next_seq += 1
        if not self._event_head:
            self._event_head = sse_event_prefix(frame["r"])
        event = sse_text_event(self._event_head, frame["t"])
        chunk = b"%x\r\n%b\r\n" % (len(event), event)
        self.fire(write(self._caller_socket, chunk), "callers")

    @handler("disconnected")
    def _on_disconnected(self, *_) -> None:
        self.fire(close(self._caller_socket), "callers")
        self.unregister()


class NaiveRelay(Component):
    """Accepts callers and opens a connection to the engine for each."""

    channel = "callers"

    def __init__(self, port: int, engine_port: int):
        super().__init__(channel=self.channel)
        self._engine_port = engine_port
        self._upstreams: dict = {}
        self._accepted = 0
        self._server = TCPServer(("127.0.0.1", port), channel=self.channel)
        self._server.register(self)

    def ready(self, *_) -> None:
        """Print the port on which the process listens."""
        print(f"listening {self._server.port}", flush=True)

    @handler("connect")
    def _on_connect(self, sock, *_) -> None:
        self._accepted += 1
        upstream = _Upstream(self._accepted, sock, self._engine_port).register(self)
        self._upstreams[sock] = upstream
        upstream.open()

    @handler("read")
    def _on_read(self, sock, data) -> None:
        self._upstreams[sock].send(data)

    @handler("disconnect")
    def _on_disconnect(self, sock) -> None:
        self._upstreams.pop(sock, None)


def main(argv: list[str] | None = None) -> int:
    """Relay until the process is terminated."""
    options = docopt(__doc__, argv)
    NaiveRelay(int(options["--port"]), int(options["--to"])).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())

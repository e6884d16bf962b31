"""A proxy between one machine and the store, which can cut that link."""

import asyncio
import socket
import struct
from contextlib import suppress

RESET = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards connections; while it is cut, it resets them."""

    def __init__(self, target: tuple[str, int]):
        self.target = target
        self.is_cut = False
        self.host = ""
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        self.host = host
        await asyncio.start_server(self._serve, host, port, backlog=256)

    def cut(self) -> None:
        """Reset all connections, and each new one."""
        self.is_cut = True
        for writer in list(self._writers):
            _reset(writer)

    def heal(self) -> None:
        self.is_cut = False

    async def _serve(self, reader, writer) -> None:
        if self.is_cut:
            _reset(writer)
            return
        try:
            # the store tells machines apart by their address
            upstream = await asyncio.open_connection(
                *self.target, local_addr=(self.host, 0)
            )
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, upstream[1]}
        await asyncio.gather(
            self._copy(reader, upstream[1]), self._copy(upstream[0], writer)
        )
        self._writers -= {writer, upstream[1]}

    async def _copy(self, reader, writer) -> None:
        with suppress(OSError, ConnectionError):
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        with suppress(OSError, RuntimeError):
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    with suppress(OSError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()

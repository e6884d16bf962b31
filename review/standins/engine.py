"""Backend servers: model engines that stream, and plain services."""

import asyncio
import json
import time

from standins.http import Server, encode_response
from standins.store import Store

HEARTBEAT_S = 1.2
EVENT_S = 0.02
WORK_S = 0.045


class Engine(Server):
    """One backend server, which writes its entry to the store.

    :ivar arrivals: requests that reached it: time, id, machine's request was sent by,
        and whether it ran.
    """

    def __init__(self, store: Store, name: str, service: str, host: str, port: int):
        super().__init__()
        self.store, self.name, self.service = store, name, service
        self.host, self.port = host, port
        self.zone = "bag-a"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_registered = True
        self.arrivals: list[dict] = []
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        await self.listen(self.host, self.port)
        self._beats = asyncio.create_task(self._beat())

    def entry(self) -> dict:
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def write_entry(self) -> float:
        return self.store.put("keyed.servers", self.name, self.entry())

    async def _beat(self) -> None:
        while True:
            if self.is_registered:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self) -> float:
        """Report that it leaves; return the time of the acknowledgement."""
        self.state = "draining"
        return self.write_entry()

    def leave(self) -> float:
        """Remove the entry and go on serving; return the acknowledgement's time."""
        self.is_registered = False
        return self.store.put("keyed.servers", self.name, None)

    def stop(self) -> None:
        """End at once; the entry stays, as after a crash."""
        if self._beats is not None:
            self._beats.cancel()
        self.close()

    async def handle(self, message, writer) -> None:
        if message.path == "/api/order":
            writer.write(self.answer_order(json.loads(message.body)))
            return
        attempt = message.header("x-attempt-id")
        expected = message.header("x-expect-instance")
        runs = not expected or expected == self.name
        peer = writer.get_extra_info("peername") or ("", 0)
        self.arrivals.append(
            {"at": time.time(), "attempt": attempt, "runs": runs, "from": peer[0]}
        )
        echo = [("X-Attempt-Id", attempt)]
        if not runs:
            headers = [*echo, ("X-Instance-Id", self.name)]
            writer.write(encode_response(421, headers))
            return
        sealed = [*echo, ("X-Response-Seal", f"seal.{attempt}")]
        if message.header("x-token-counts"):
            await self.stream(message, sealed, writer)
            return
        await asyncio.sleep(WORK_S)
        body = f"{attempt} {self.name}".encode()
        writer.write(encode_response(200, sealed, body))

    def answer_order(self, order: dict) -> bytes:
        headers = [("Content-Type", "application/json")]
        return encode_response(200, headers, b'{"free":400000}')

    async def stream(self, message, headers, writer) -> None:
        count = int(message.header("x-token-counts").split(",")[1])
        first = int(message.header("last-event-id") or 0) + 1
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(first, count + 1):
            await asyncio.sleep(EVENT_S)
            text = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(text), text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

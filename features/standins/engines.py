"""Stand-in for backend servers: engines that stream, and plain services."""

import random
import time
from struct import pack

import orjson

from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.responsereader import CallSink
from briarrelay_daemon.settings import Address
from standins.loop import StandInLoop, read_path

BEAT_S = 0.4
EVENT_S = 0.02


class Run:
    """One request that a server runs."""

    def __init__(self, server: "ServerStandIn", exchange, attempt: str, first: int):
        self.server = server
        self.exchange = exchange
        self.attempt = attempt
        self.next = first


class ServerStandIn:
    """One backend server.

    :ivar trouble: parts of the requests that fail in a way.
    """

    def __init__(self, group: "Servers", name: str, host: str, port: int, **options):
        self.group = group
        self.loop = group.loop
        self.name = name
        self.host, self.port = host, port
        self.service = options["service"]
        self.advertised = options.get("advertised", f"{host}:{port}")
        self.data_centre = options.get("data_centre", "a")
        self.slots = options.get("slots", 8)
        self.state = "ready"
        self.is_silent = False
        self.born = int(time.time() * 1000)
        self.running: list[Run] = []
        self.tickets: dict[str, float] = {}
        self.trouble: dict[str, float] = {}
        self.server = self.loop.serve(host, port, self.on_request, self.on_left)
        self.sequence = 0

    def entry(self) -> dict:
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.advertised,
            "zone": self.data_centre,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def chance(self, name: str) -> bool:
        return self.group.random.random() < self.trouble.get(name, 0.0)

    def on_request(self, exchange) -> None:
        path = read_path(exchange)
        if path == "/api/order":
            self.order(exchange)
            return
        attempt = exchange.header("x-attempt-id")
        expected = exchange.header("x-expect-instance")
        echo = [(b"X-Attempt-Id", attempt.encode())]
        if expected and expected != self.name:
            exchange.reply(421, [*echo, (b"X-Instance-Id", self.name.encode())], b"")
        elif len(self.running) >= self.slots or self.chance("shed"):
            exchange.reply(503, [*echo, (b"X-Not-Executed", b"1")], b"")
        else:
            self.run(exchange, attempt, echo)

    def run(self, exchange, attempt: str, echo: list) -> None:
        self.group.note(self, exchange, attempt)
        seal = [*echo, (b"X-Response-Seal", f"seal.{attempt}".encode())]
        if self.chance("cut"):
            exchange.abort()
        elif self.chance("mute"):
            return
        elif exchange.header("x-token-counts"):
            self.stream(exchange, attempt, seal)
        elif self.chance("error"):
            exchange.reply(500, seal, b"failed")
        else:
            body = f"{attempt} {self.name}".encode() * 20
            self.loop.later(EVENT_S, lambda: exchange.reply(200, seal, body))

    def stream(self, exchange, attempt: str, seal: list) -> None:
        first = int(exchange.header("last-event-id") or 0) + 1
        run = Run(self, exchange, attempt, first)
        self.running.append(run)
        count = int(exchange.header("x-token-counts").split(",")[1])
        exchange.begin(200, [(b"Content-Type", b"text/event-stream"), *seal])
        self.loop.later(EVENT_S, lambda: self.write(run, count))

    def write(self, run: Run, count: int) -> None:
        if run not in self.running:
            return
        if not run.exchange.is_open:
            self.running.remove(run)
            return
        if self.is_silent:
            self.loop.later(EVENT_S, lambda: self.write(run, count))
            return
        text = f"id: {run.next}\ndata: {run.attempt} {run.next}\n\n".encode()
        if self.chance("break"):
            run.exchange.send(text[: len(text) // 2])
            self.running.remove(run)
            self.loop.later(0.01, run.exchange.abort)
            return
        run.exchange.send(text)
        run.next += 1
        if run.next > count:
            self.running.remove(run)
            run.exchange.end()
        else:
            self.loop.later(EVENT_S, lambda: self.write(run, count))

    def on_left(self, exchange) -> None:
        self.running = [r for r in self.running if r.exchange is not exchange]

    def order(self, exchange) -> None:
        order = orjson.loads(exchange.body)
        now = time.monotonic()
        self.tickets = {k: t for k, t in self.tickets.items() if t > now}
        if order["operation"] == "reserve":
            self.tickets[order["id"]] = now + order["hold-ms"] / 1000
        else:
            self.tickets.pop(order["id"], None)
        exchange.reply(200, [], b'{"free":1}')


class Servers:
    """Backend servers of one process; they register themselves in the store."""

    def __init__(self, loop: StandInLoop, store: Address, seed: int = 0):
        self.loop = loop
        self.random = random.Random(seed)
        self.client = HttpClient(loop.reactor)
        self.store = store
        self.servers: dict[str, ServerStandIn] = {}
        self.runs: list[dict] = []

    def note(self, server: ServerStandIn, exchange, attempt: str) -> None:
        self.runs.append(
            {
                "at": time.time(),
                "attempt": attempt,
                "server": server.name,
                "service": server.service,
                "state": server.state,
                "path": read_path(exchange),
                "workspace": exchange.header("x-tenant"),
                "resumed": exchange.header("last-event-id"),
                "has_key": bool(exchange.header("authorization")),
            }
        )

    def add(self, name: str, host: str, port: int, **options) -> ServerStandIn:
        server = ServerStandIn(self, name, host, port, **options)
        self.servers[name] = server
        self.beat(server)
        return server

    def beat(self, server: ServerStandIn) -> None:
        if self.servers.get(server.name) is not server:
            return
        self.register(server, orjson.dumps(server.entry()))
        self.loop.later(BEAT_S, lambda: self.beat(server))

    def register(self, server: ServerStandIn, value: bytes) -> None:
        name = server.name.encode()
        content = bytes([len(name)]) + name + value
        self.client.call(
            self.store,
            "POST",
            "/api/log-append?topic=keyed.servers&part=0",
            CallSink(),
            body=pack(">I", len(content)) + content,
            timeout=2.0,
        )

    def control(self, exchange) -> None:
        """Take a test's word about a server, or tell what ran."""
        path = read_path(exchange)
        order = orjson.loads(exchange.body) if exchange.body else {}
        if path == "/standin/runs":
            exchange.reply(200, [], orjson.dumps(self.runs))
            return
        server = self.servers[order["server"]]
        if path == "/standin/trouble":
            server.trouble = order["trouble"]
        elif path == "/standin/silent":
            server.is_silent = order["is_silent"]
        elif path == "/standin/drain":
            server.state = "draining"
            self.register(server, orjson.dumps(server.entry()))
        elif path == "/standin/remove":
            del self.servers[order["server"]]
            self.register(server, b"")
        elif path == "/standin/tickets":
            now = time.monotonic()
            held = [k for k, t in server.tickets.items() if t > now]
            exchange.reply(200, [], orjson.dumps(held))
            return
        exchange.reply(200, [], b"{}")

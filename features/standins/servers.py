"""Stand-in for backend servers: engines that stream, and plain services."""

import random
import time
from struct import pack

import orjson

from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.responsereader import CallSink
from briarrelay_daemon.settings import Address
from standins.loop import StandInLoop, read_path
from standins.unframed import UnframedExchange

REGISTRATION_INTERVAL_S = 0.4
EVENT_INTERVAL_S = 0.02
FLOOD_INTERVAL_S = 0.002
SLOW_INTERVAL_S = 0.5
LONG_WORK_PREFIX = b"/booklong/"
LONG_WORK_S = 1.5
"""Seconds that plain servers take for a request of LONG_WORK_PREFIX."""

TRICKLE_INTERVAL_S = 0.1
PAUSE_S = 1.0

RESTART_S = 2.0
"""Seconds after a crash in which a server is back."""

PLAIN_CRASH_S = (0.02, 0.1)
"""Shortest and longest time in seconds until a plain server crashes under a request."""

ENTRY_TTL_S = 1.2
"""Seconds after which the store drops the entry of a server that is silent."""


ERROR_TEXT = b"id: 7\ndata: internal error\n\n"
"""Body of an error that looks like an event."""

RESUME_ERRORS = (
    (500, b"text/plain", True),
    (500, b"text/event-stream", True),
    (404, b"text/event-stream", True),
    (503, b"text/event-stream", False),
    (200, b"text/event-stream", False),
    (200, b"application/json", True),
)
"""Status and type of errors in response to a resumed stream, and whether each is
sealed."""


class RunningStream:
    """A streaming request that a server is executing."""

    def __init__(
        self, server: "ServerStandIn", exchange, attempt: str, first_event: int
    ):
        self.server = server
        self.exchange = exchange
        self.attempt = attempt
        self.first_event = self.next_event = first_event
        self.interval_s = EVENT_INTERVAL_S
        self.crumbles = server.draw_fault("crumble")

    @property
    def written_events(self) -> int:
        """Number of events that this server has written."""
        return self.next_event - self.first_event


class ServerStandIn:
    """One backend server.

    :ivar key: the name by which tests address it; `name` may change with a restart.
    :ivar is_down: it has crashed and is not back yet.
    :ivar announces_leaving: every response says that the server is shutting down.
    :ivar limit: the limit that every response names, as text; empty for none.
    :ivar limited_at: time of the first response that named it, None before.
    :ivar arrivals: times at which requests arrived.
    :ivar paused_at: times at which it asked for a pause of PAUSE_S.
    :ivar resting_until: time of the loop's clock until which it is silent.
    :ivar held: callbacks that wait until then, in order.
    :ivar last_replies: the last complete reply on each connection.
    :ivar fault_rates: probability of each fault (``shed``, ``pause``, ``cut``,
        ``mute``, ``error``, ``flood``, ``half``, ``double`` and ``unframed`` for each
        request, ``slow``, ``trickle`` and ``crumble`` for each stream, ``break`` for
        each of its events; ``resume_error`` for each stream that goes on here). An
        ``unframed`` response has neither a length nor chunks;
        one that is to ``crumble`` closes in order inside an event.
    """

    def __init__(
        self, group: "ServerGroup", name: str, host: str, port: int, **options
    ):
        self.group = group
        self.loop = group.loop
        self.key = self.name = name
        self.host, self.port = host, port
        self.is_down = False
        self.restarts = 0
        self.service = options["service"]
        self.advertised = options.get("advertised", f"{host}:{port}")
        self.data_centre = options.get("data_centre", "a")
        self.slots = options.get("slots", 8)
        self.state = "ready"
        self.is_silent = False
        self.announces_leaving = False
        self.limit = ""
        self.limited_at: float | None = None
        self.arrivals: list[float] = []
        self.paused_at: list[float] = []
        self.resting_until = 0.0
        self.held: list = []
        self.last_replies: dict[object, bytes] = {}
        self.started_at_ms = int(time.time() * 1000)
        self.running: list[RunningStream] = []
        self.reservations: dict[str, float] = {}
        self.fault_rates: dict[str, float] = {}
        self.server = self.loop.serve(host, port, self.on_request, self.on_disconnect)
        self.sequence = 0

    def make_registration(self) -> dict:
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
            "born": self.started_at_ms,
        }

    def set_limit(self, limit: str) -> None:
        """Name a limit in every response from now on, or none if it is empty."""
        self.limit, self.limited_at = limit, None

    def make_announcements(self) -> list[tuple[bytes, bytes]]:
        """Return the headers in which the server tells of itself."""
        headers = []
        if self.announces_leaving:
            headers.append((b"Server-Leaving", b"1"))
        if self.limit:
            self.limited_at = self.limited_at or time.time()
            headers.append((b"Server-Limit", self.limit.encode()))
        return headers

    def rest(self, seconds: float) -> None:
        """Fall silent for some seconds, then go on with everything that came."""
        now = self.loop.reactor.clock()
        self.resting_until = max(self.resting_until, now + seconds)
        self.loop.call_later(seconds, self.go_on)

    def go_on(self) -> None:
        """Run what was held, unless the server is to rest on."""
        if self.loop.reactor.clock() >= self.resting_until:
            held, self.held = self.held, []
            for callback in held:
                callback()

    def when_awake(self, callback) -> None:
        """Run a callback, or hold it while the server is silent."""
        if self.held or self.loop.reactor.clock() < self.resting_until:
            self.held.append(callback)
        else:
            callback()

    def call_later(self, seconds: float, callback) -> None:
        """Call after a delay, or later if the server is silent then."""
        self.loop.call_later(seconds, lambda: self.when_awake(callback))

    def crash(self, attempt: str, content: str) -> None:
        """End at once: close every connection without a further byte, and the port.

        :param content: part of the prompt that is the cause, or target of the request.
        """
        self.group.crashes.append(
            {
                "at": time.time(),
                "attempt": attempt,
                "server": self.name,
                "content": content,
            }
        )
        self.is_down = True
        self.running, self.held, self.reservations = [], [], {}
        for connection in list(self.server._connections):
            exchange = connection._exchange
            if isinstance(exchange, UnframedExchange):
                exchange.abort()  # an end in order would complete its response
            elif exchange is not None:
                exchange.is_open = False
            connection.close()
        self.loop.reactor.unwatch(self.server._sock)
        self.server._sock.close()
        name = self.name
        self.loop.call_later(ENTRY_TTL_S, lambda: self.group.register(name, b""))
        self.loop.call_later(RESTART_S, self.restart)

    def restart(self) -> None:
        """Start again without a memory of before, under the same or a new id."""
        self.is_down = False
        self.restarts += 1
        if self.group.random.random() < 0.5:
            self.name = f"{self.key}.{self.restarts}"
        self.started_at_ms = int(time.time() * 1000)
        self.sequence = 0
        self.resting_until = 0.0
        self.state, self.announces_leaving = "ready", False
        self.set_limit("")
        self.last_replies = {}
        self.server = self.loop.serve(
            self.host, self.port, self.on_request, self.on_disconnect
        )
        self.group.register_periodically(self)

    def draw_fault(self, name: str) -> bool:
        return self.group.random.random() < self.fault_rates.get(name, 0.0)

    def on_request(self, exchange) -> None:
        """Handle a request, also one whose caller has left while it was held."""
        self.when_awake(lambda: self.handle(exchange))

    def handle(self, exchange) -> None:
        path = read_path(exchange)
        if path == "/api/order":
            self.handle_order(exchange)
            return
        attempt = exchange.header("x-attempt-id")
        expected = exchange.header("x-expect-instance")
        self.arrivals.append(time.time())
        echo = [(b"X-Attempt-Id", attempt.encode()), *self.make_announcements()]
        if expected and expected != self.name:
            exchange.reply(421, [*echo, (b"X-Instance-Id", self.name.encode())], b"")
        elif len(self.running) >= self.slots or self.draw_fault("shed"):
            exchange.reply(503, [*echo, (b"X-Not-Executed", b"1")], b"")
        elif self.draw_fault("pause"):
            self.paused_at.append(time.time())
            pause = (b"Retry-After", b"%.1f" % PAUSE_S)
            exchange.reply(503, [*echo, (b"X-Not-Executed", b"1"), pause], b"")
        else:
            self.execute(exchange, attempt, echo)

    def execute(self, exchange, attempt: str, echo: list) -> None:
        self.group.record_run(self, exchange, attempt)
        if self.draw_fault("unframed"):
            exchange = UnframedExchange.replace(exchange)
        headers = [*echo, (b"X-Response-Seal", f"seal.{attempt}".encode())]
        if self.draw_fault("cut"):
            exchange.abort()
        elif self.draw_fault("mute"):
            return
        elif self.draw_fault("half"):
            exchange.begin(200, headers)
            exchange.send(attempt.encode())
            self.call_later(EVENT_INTERVAL_S, exchange.abort)
        elif self.draw_fault("flood"):
            kind = b"text/event-stream" if exchange.header("x-token-counts") else b"a/b"
            exchange.begin(200, [(b"Content-Type", kind), *headers])
            self.flood(exchange)
        elif exchange.header("last-event-id") and self.draw_fault("resume_error"):
            self.reply_error(exchange, echo, headers)
        elif exchange.header("x-token-counts"):
            self.start_stream(exchange, attempt, headers)
        elif self.group.is_crash_request(exchange):
            self.crash_later(exchange, attempt)
        elif self.draw_fault("error"):
            exchange.reply(500, headers, b"failed")
        else:
            body = f"{attempt} {self.name}".encode() * 20
            is_long = exchange.target.startswith(LONG_WORK_PREFIX)
            takes_s = LONG_WORK_S if is_long else EVENT_INTERVAL_S
            self.call_later(takes_s, lambda: self.reply(exchange, headers, body))

    def reply(self, exchange, headers: list, body: bytes) -> None:
        """Send a complete reply, perhaps after a second copy of the one before."""
        if not exchange.is_open:
            return
        connection = exchange._connection
        if isinstance(exchange, UnframedExchange):
            exchange.reply(200, headers, body)
            return
        if self.draw_fault("double") and connection in self.last_replies:
            connection.write(self.last_replies[connection])
        lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body)]
        lines += [name + b": " + value for name, value in headers]
        self.last_replies[connection] = b"\r\n".join([*lines, b"", b""]) + body
        exchange.reply(200, headers, body)

    def reply_error(self, exchange, echo: list, sealed: list) -> None:
        """Answer a stream that began at another server with some error."""
        status, kind, is_sealed = self.group.random.choice(RESUME_ERRORS)
        headers = [(b"Content-Type", kind), *(sealed if is_sealed else echo)]
        exchange.reply(status, headers, ERROR_TEXT)

    def crash_later(self, exchange, attempt: str) -> None:
        """Crash in a moment, unless another request crashes this process before."""
        restarts, target = self.restarts, exchange.target.decode()

        def crash() -> None:
            if not self.is_down and self.restarts == restarts:
                self.crash(attempt, target)

        self.call_later(self.group.random.uniform(*PLAIN_CRASH_S), crash)

    def flood(self, exchange) -> None:
        """Send bytes that complete no event and no body, until the caller closes."""
        if exchange.is_open:
            exchange.send(b"a" * 65_536)
            self.call_later(FLOOD_INTERVAL_S, lambda: self.flood(exchange))

    def start_stream(self, exchange, attempt: str, headers: list) -> None:
        first_event = int(exchange.header("last-event-id") or 0) + 1
        run = RunningStream(self, exchange, attempt, first_event)
        self.running.append(run)
        count = int(exchange.header("x-token-counts").split(",")[1])
        exchange.begin(200, [(b"Content-Type", b"text/event-stream"), *headers])
        if self.draw_fault("slow"):
            run.interval_s = SLOW_INTERVAL_S
        if self.draw_fault("trickle"):
            self.trickle(run)
            return
        self.call_later(EVENT_INTERVAL_S, lambda: self.send_event(run, count))

    def trickle(self, run: RunningStream) -> None:
        """Send a byte now and then that completes no event."""
        if run in self.running and run.exchange.is_open:
            run.exchange.send(b":")
            self.call_later(TRICKLE_INTERVAL_S, lambda: self.trickle(run))

    def send_event(self, run: RunningStream, count: int) -> None:
        if run not in self.running:
            return
        if not run.exchange.is_open:
            self.running.remove(run)
            return
        if self.is_silent:
            self.call_later(EVENT_INTERVAL_S, lambda: self.send_event(run, count))
            return
        content = self.group.find_crash_content(run)
        if content:
            self.crash(run.attempt, content)
            return
        text = (
            f"id: {run.next_event}\ndata: {run.attempt} {run.next_event}\n\n".encode()
        )
        if self.draw_fault("break"):
            run.exchange.send(text[: len(text) // 2])
            self.running.remove(run)
            self.call_later(0.01, run.exchange.abort)
            return
        if run.crumbles and run.next_event > 1:
            run.exchange.send(text[: len(text) // 2])
            self.running.remove(run)
            run.exchange.end()
            return
        run.exchange.send(text)
        run.next_event += 1
        if run.next_event > count:
            self.running.remove(run)
            run.exchange.end()
        else:
            self.call_later(run.interval_s, lambda: self.send_event(run, count))

    def on_disconnect(self, exchange) -> None:
        self.running = [r for r in self.running if r.exchange is not exchange]

    def handle_order(self, exchange) -> None:
        """Hold or release a reservation; expired ones are removed first."""
        order = orjson.loads(exchange.body)
        now = time.monotonic()
        self.reservations = {k: t for k, t in self.reservations.items() if t > now}
        if order["operation"] == "reserve":
            self.reservations[order["id"]] = now + order["hold-ms"] / 1000
        else:
            self.reservations.pop(order["id"], None)
        exchange.reply(200, self.make_announcements(), b'{"free":1}')


class ServerGroup:
    """Backend servers of one process; they register themselves in the store."""

    def __init__(self, loop: StandInLoop, store: Address, seed: int = 0):
        self.loop = loop
        self.random = random.Random(seed)
        self.client = HttpClient(loop.reactor)
        self.store = store
        self.servers: dict[str, ServerStandIn] = {}
        self.runs: list[dict] = []
        self.crash_parts: dict[str, int] = {}
        self.crash_requests: set[tuple[str, str, bytes]] = set()
        self.crashes: list[dict] = []

    def is_crash_request(self, exchange) -> bool:
        """Return whether servers crash on a whole request."""
        target, workspace = exchange.target.decode(), exchange.header("x-tenant")
        return (target, workspace, exchange.body) in self.crash_requests

    def find_crash_content(self, run: RunningStream) -> str:
        """Return the content on which an engine crashes now, empty for none.

        The last part belongs to the request alone and is never one on which engines
        crash.
        """
        if run.written_events == 0 and self.is_crash_request(run.exchange):
            return run.exchange.target.decode()
        entries = run.exchange.header("x-prompt-prefix").split(",")[:-1]
        parts = [entry.partition(":")[0] for entry in entries]
        return next(
            (p for p in parts if self.crash_parts.get(p) == run.written_events), ""
        )

    def record_run(self, server: ServerStandIn, exchange, attempt: str) -> None:
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
                "prompt_prefix": exchange.header("x-prompt-prefix"),
            }
        )

    def add(self, name: str, host: str, port: int, **options) -> ServerStandIn:
        server = ServerStandIn(self, name, host, port, **options)
        self.servers[name] = server
        self.register_periodically(server)
        return server

    def register_periodically(self, server: ServerStandIn) -> None:
        if self.servers.get(server.key) is not server or server.is_down:
            return
        self.announce(server)
        server.call_later(
            REGISTRATION_INTERVAL_S, lambda: self.register_periodically(server)
        )

    def announce(self, server: ServerStandIn) -> None:
        """Write a server's record to the store, unless it is down."""
        if not server.is_down:
            self.register(server.name, orjson.dumps(server.make_registration()))

    def register(self, name: str, value: bytes) -> None:
        """Write the record of a name to the store; an empty value removes it."""
        key = name.encode()
        content = bytes([len(key)]) + key + value
        self.client.call(
            self.store,
            "POST",
            "/api/log-append?topic=keyed.servers&part=0",
            CallSink(),
            body=pack(">I", len(content)) + content,
            timeout=2.0,
        )

    def handle_control(self, exchange) -> None:
        """Apply a test's command to a server, or return what the servers ran.

        ``crashes`` returns the crashes. If the command has ``parts``, it replaces the
        parts of prompts on which engines crash; the value of each is the number of
        events that an engine writes before. ``requests`` does the same for the whole
        requests on which servers crash, as path, workspace and body.
        """
        path = read_path(exchange)
        command = orjson.loads(exchange.body) if exchange.body else {}
        if path == "/standin/runs":
            exchange.reply(200, [], orjson.dumps(self.runs))
            return
        if path == "/standin/crashes":
            if "parts" in command:
                self.crash_parts = command["parts"]
            if "requests" in command:
                self.crash_requests = {
                    (path, workspace, body.encode())
                    for path, workspace, body in command["requests"]
                }
            exchange.reply(200, [], orjson.dumps(self.crashes))
            return
        server = self.servers[command["server"]]
        if path == "/standin/trouble":
            server.fault_rates = command["trouble"]
        elif path == "/standin/silent":
            server.is_silent = command["is_silent"]
        elif path == "/standin/rest":
            seconds = command["seconds"]
            self.loop.call_later(command["after_s"], lambda: server.rest(seconds))
        elif path == "/standin/limit":
            server.set_limit(command["limit"])
        elif path == "/standin/arrivals":
            seen = {"arrivals": server.arrivals, "limited_at": server.limited_at}
            exchange.reply(200, [], orjson.dumps(seen))
            return
        elif path == "/standin/leave":
            server.announces_leaving = command["is_leaving"]
        elif path == "/standin/drain":
            server.state = "draining"
            self.announce(server)
        elif path == "/standin/restart":
            server.announces_leaving = False
            server.started_at_ms = int(time.time() * 1000)
            self.announce(server)
        elif path == "/standin/pauses":
            exchange.reply(200, [], orjson.dumps(server.paused_at))
            return
        elif path == "/standin/remove":
            del self.servers[command["server"]]
            self.register(server.name, b"")
        elif path == "/standin/tickets":
            now = time.monotonic()
            held = [k for k, t in server.reservations.items() if t > now]
            exchange.reply(200, [], orjson.dumps(held))
            return
        exchange.reply(200, [], b"{}")

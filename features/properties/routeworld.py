"""Harness that drives one route instance with simulated callers, servers and store."""

from briarrelay_core.identity import Identity
from briarrelay_core.ports.directory import (
    ListTopic,
    PeerAddress,
    PublishEntry,
    ReadTopic,
    ServerEntry,
    ServerState,
    Topic,
    TopicChange,
    TopicListed,
    TopicRead,
)
from briarrelay_core.ports.memory import Release, Reserve
from briarrelay_core.ports.route import (
    ForwardRequest,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    RouteRequest,
)
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.instance import RouteInstance
from briarrelay_core.routes.model import (
    CallerLimits,
    EngineProfile,
    KeyHolder,
    Route,
    RouteConfiguration,
    RouteKind,
    Service,
    ServiceShare,
)

HOST = "desk.example"
KEY = "key-1"

PROFILE = EngineProfile(
    memory_tokens=450_000,
    step_s=0.000925,
    step_per_stream_s=0.00000966,
    step_per_token_s=2.54e-9,
    read_tokens_per_s=256_000.0,
    pair_s=0.0917e-9,
    stride=46,
    hop_s=0.0001,
)


def make_route(name: str, kind: RouteKind, service: str, **changes) -> Route:
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "shares": (ServiceShare(service, 1.0),),
        "timeout_s": 10.0,
        "target_latency_s": 0.3,
        "attempts": 2,
    }
    return Route(**{**fields, **changes})


def make_configuration(version: int = 1, **changes) -> RouteConfiguration:
    fields = {
        "version": version,
        "routes": (
            make_route(
                "chat", RouteKind.STREAM, "llm", is_resumable=True, gap_limit_s=0.2
            ),
            make_route(
                "file",
                RouteKind.STREAM,
                "llm",
                is_resumable=True,
                gap_limit_s=0.8,
                target_latency_s=3.0,
                timeout_s=15.0,
            ),
            make_route("once", RouteKind.STREAM, "llm", gap_limit_s=0.2),
            make_route("book", RouteKind.UNSAFE, "desk", attempts=1),
            make_route("look", RouteKind.SAFE, "desk"),
        ),
        "services": {
            "llm": Service(name="llm", profile=PROFILE),
            "desk": Service(name="desk"),
        },
        "limits": CallerLimits(),
        "holders": (KeyHolder(name="owners", keys=(KEY,)),),
    }
    return RouteConfiguration(**{**fields, **changes})


def make_entry(name: str, service: str, **changes) -> ServerEntry:
    number = int(name.rpartition("-")[2])
    fields = {
        "name": name,
        "service": service,
        "host": f"10.0.{0 if service == 'llm' else 1}.{number}",
        "port": 8080,
        "data_centre": "a",
        "state": ServerState.READY,
        "slots": 8,
        "born": 1.0,
    }
    return ServerEntry(**{**fields, **changes})


class RouteWorld:
    """Drives one instance in virtual time and records its effects.

    :param engines: number of engines of the service for prompts.
    :param plain_servers: number of backend servers of the plain service.
    :param now: seconds of the virtual clock at the start.
    :ivar all_effects: every effect so far, in order.
    :ivar non_store_effects: the effects so far without accesses to the store.
    :ivar end_positions: position of the last delivered change, by topic.
    """

    def __init__(self, engines: int = 3, plain_servers: int = 2, now: float = 1_000.0):
        self.now = now
        address = PeerAddress(
            name="entry-1", host="10.9.0.1", question_port=1, digest_port=2
        )
        self.instance = RouteInstance(
            identity=Identity("entry-1", 1, "a"),
            address=address,
            repeats=RetryLimits(slack=100.0),
            grace_s=8.0,
            hold_s=3.2,
        )
        self.non_store_effects: list = []
        self.all_effects: list = []
        self._request_count = 0
        self.end_positions = dict.fromkeys(Topic, 0)
        self.record(self.instance.start(now))
        self.list_servers(
            *[make_entry(f"engine-{n}", "llm") for n in range(1, engines + 1)],
            *[make_entry(f"desk-{n}", "desk") for n in range(1, plain_servers + 1)],
        )
        self.list_topic(
            Topic.CONFIGURATION, TopicChange("config", make_configuration())
        )
        self.list_topic(Topic.ENTRIES)

    def record(self, effects: list) -> list:
        """Record effects; return those that are not accesses to the store."""
        kept = [
            e
            for e in effects
            if not isinstance(e, (ListTopic, ReadTopic, PublishEntry))
        ]
        self.all_effects += effects
        self.non_store_effects += kept
        return kept

    def deliver(self, message) -> list:
        """Deliver a message to the instance; return its effects."""
        return self.record(self.instance.handle(message, self.now))

    def list_topic(self, topic: Topic, *changes: TopicChange) -> list:
        """Deliver the store's listing of a topic."""
        return self.deliver(
            TopicListed(topic, changes, self.end_positions[topic], False)
        )

    def list_servers(self, *entries: ServerEntry) -> list:
        """Deliver the store's listing of servers."""
        changes = [TopicChange(entry.name, entry) for entry in entries]
        return self.list_topic(Topic.SERVERS, *changes)

    def deliver_changes(self, topic: Topic, *changes: TopicChange) -> list:
        """Deliver changes of a topic that a read of the store returned."""
        self.end_positions[topic] += len(changes)
        return self.deliver(TopicRead(topic, changes, self.end_positions[topic]))

    def advance(self, seconds: float) -> list:
        """Advance the clock and run the timers that are due."""
        target = self.now + seconds
        effects = []
        while (due := self.instance.next_due) is not None and due <= target:
            self.now = max(self.now, due)
            effects += self.record(self.instance.run_timers(self.now))
        self.now = target
        return effects

    def request(self, route: str, **changes) -> list:
        """Deliver a caller's request; return its effects."""
        self._request_count += 1
        is_prompt = route in ("chat", "file", "once")
        fields = {
            "request_id": self._request_count,
            "caller_request_id": f"attempt-{self._request_count}",
            "host": HOST,
            "path": f"/{route}/x",
            "key": KEY,
            "time_limit_s": 8.0,
            "prompt_tokens": 5_000 if is_prompt else 0,
            "output_tokens": 500 if is_prompt else 0,
        }
        return self.deliver(RouteRequest(**{**fields, **changes}))

    def of_type(self, effects: list, effect_class: type) -> list:
        """Return the effects that are instances of a class."""
        return [effect for effect in effects if isinstance(effect, effect_class)]

    def forwards(self, effects: list | None = None) -> list[ForwardRequest]:
        """Return forwarded requests among effects, by default all so far."""
        return self.of_type(
            self.all_effects if effects is None else effects, ForwardRequest
        )

    @property
    def open_reservations(self) -> set[str]:
        """Ids of memory reservations that were requested and not released."""
        open_ids = set()
        for effect in self.all_effects:
            if isinstance(effect, Reserve):
                open_ids.add(effect.reservation_id)
            elif isinstance(effect, Release):
                open_ids.discard(effect.reservation_id)
        return open_ids


def start_response(world: RouteWorld, attempt_id: int) -> None:
    """Deliver the head and the first event of a send's response."""
    head = ResponseHead(
        attempt_id=attempt_id, kind=ResponseKind.SUCCESS, status=200, is_stream=True
    )
    world.deliver(head)
    world.deliver(ResponseEvent(attempt_id, "1", b"1"))


def engine_names(world: RouteWorld) -> list[str]:
    """Return the names of all usable engines."""
    return [
        s.entry.name
        for s in world.instance.controller.servers.of_service("llm", world.now)
    ]

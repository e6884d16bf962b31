"""A route instance between made-up callers, servers and a made-up store."""

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
from briarrelay_core.routes.budget import RepeatLimits
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
    given = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "shares": (ServiceShare(service, 1.0),),
        "timeout_s": 10.0,
        "target_latency_s": 0.3,
        "attempts": 2,
    }
    return Route(**{**given, **changes})


def make_configuration(version: int = 1, **changes) -> RouteConfiguration:
    given = {
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
    return RouteConfiguration(**{**given, **changes})


def make_entry(name: str, service: str, **changes) -> ServerEntry:
    number = int(name.rpartition("-")[2])
    given = {
        "name": name,
        "service": service,
        "host": f"10.0.{0 if service == 'llm' else 1}.{number}",
        "port": 8080,
        "data_centre": "a",
        "state": ServerState.READY,
        "slots": 8,
        "born": 1.0,
    }
    return ServerEntry(**{**given, **changes})


class RouteWorld:
    """Drives one instance; effects are kept by class.

    :param engines: engines of the service for prompts.
    """

    def __init__(self, engines: int = 3, desks: int = 2, now: float = 1_000.0):
        self.now = now
        address = PeerAddress(
            name="entry-1", host="10.9.0.1", question_port=1, digest_port=2
        )
        self.core = RouteInstance(
            identity=Identity("entry-1", 1, "a"),
            address=address,
            repeats=RepeatLimits(slack=100.0),
            grace_s=8.0,
            hold_s=3.2,
        )
        self.effects: list = []
        self.seen: list = []
        self._count = 0
        self.ends = dict.fromkeys(Topic, 0)
        self.run(self.core.start(now))
        self.list_servers(
            *[make_entry(f"engine-{n}", "llm") for n in range(1, engines + 1)],
            *[make_entry(f"desk-{n}", "desk") for n in range(1, desks + 1)],
        )
        self.list_topic(
            Topic.CONFIGURATION, TopicChange("config", make_configuration())
        )
        self.list_topic(Topic.ENTRIES)

    def run(self, effects: list) -> list:
        """Keep effects; return those that are not about the store."""
        mine = [
            e
            for e in effects
            if not isinstance(e, (ListTopic, ReadTopic, PublishEntry))
        ]
        self.seen += effects
        self.effects += mine
        return mine

    def tell(self, message) -> list:
        """Hand a message to the instance."""
        return self.run(self.core.handle(message, self.now))

    def list_topic(self, topic: Topic, *changes: TopicChange) -> list:
        """Let the store list a topic."""
        return self.tell(TopicListed(topic, changes, self.ends[topic], False))

    def list_servers(self, *entries: ServerEntry) -> list:
        """Let the store list servers."""
        changes = [TopicChange(entry.name, entry) for entry in entries]
        return self.list_topic(Topic.SERVERS, *changes)

    def change(self, topic: Topic, *changes: TopicChange) -> list:
        """Let the store tell of changes."""
        self.ends[topic] += len(changes)
        return self.tell(TopicRead(topic, changes, self.ends[topic]))

    def advance(self, seconds: float) -> list:
        """Let time pass."""
        target = self.now + seconds
        effects = []
        while (due := self.core.next_due) is not None and due <= target:
            self.now = max(self.now, due)
            effects += self.run(self.core.run_timers(self.now))
        self.now = target
        return effects

    def request(self, route: str, **changes) -> list:
        """Let a caller send a request; return the effects."""
        self._count += 1
        is_prompt = route in ("chat", "file", "once")
        given = {
            "request_id": self._count,
            "caller_request_id": f"attempt-{self._count}",
            "host": HOST,
            "path": f"/{route}/x",
            "key": KEY,
            "time_limit_s": 8.0,
            "prompt_tokens": 5_000 if is_prompt else 0,
            "output_tokens": 500 if is_prompt else 0,
        }
        return self.tell(RouteRequest(**{**given, **changes}))

    def of(self, effects: list, effect_class: type) -> list:
        """Return the effects of a class."""
        return [effect for effect in effects if isinstance(effect, effect_class)]

    def forwards(self, effects: list | None = None) -> list[ForwardRequest]:
        """Return the sends among effects, by default among all so far."""
        return self.of(self.seen if effects is None else effects, ForwardRequest)

    @property
    def reserved(self) -> set[str]:
        """Ids of reservations asked for and not given back."""
        held = set()
        for effect in self.seen:
            if isinstance(effect, Reserve):
                held.add(effect.reservation_id)
            elif isinstance(effect, Release):
                held.discard(effect.reservation_id)
        return held


def begin(world: RouteWorld, send_id: int) -> None:
    """Let a send's first event come."""
    head = ResponseHead(
        send_id=send_id, kind=ResponseKind.SUCCESS, status=200, is_stream=True
    )
    world.tell(head)
    world.tell(ResponseEvent(send_id, "1", b"1"))


def names(world: RouteWorld) -> list[str]:
    """Return the names of all engines."""
    return [
        s.entry.name for s in world.core.controller.servers.of_service("llm", world.now)
    ]

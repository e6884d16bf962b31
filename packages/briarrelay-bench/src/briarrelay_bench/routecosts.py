"""Measures what an entry instance spends on one unit of work, by deployment size."""

from collections.abc import Iterator
from itertools import count

from attrs import evolve, fields, frozen

from briarrelay_bench.sites import PROFILE
from briarrelay_bench.unit_costs import cpu_us
from briarrelay_core.identity import Identity
from briarrelay_core.ports.digest import DigestReceived, LoadDigest, ServerLoad
from briarrelay_core.ports.directory import (
    PeerAddress,
    ServerEntry,
    ServerState,
    Topic,
    TopicChange,
    TopicListed,
)
from briarrelay_core.ports.route import (
    ForwardRequest,
    RateLimit,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    RouteRequest,
)
from briarrelay_core.routes.allowances.limits import ServerLimitTable
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.instance import RouteInstance
from briarrelay_core.routes.model import (
    CallerLimits,
    Route,
    RouteConfiguration,
    RouteKind,
    Service,
    ServiceShare,
)
from briarrelay_daemon.digestcodec import decode_digest, encode_digest

__all__ = [
    "SIZES",
    "RouteCosts",
    "format_limit_costs",
    "format_route_costs",
    "measure_route_costs",
]

SIZES = ((4, 26), (25, 81), (78, 200), (390, 1_100))
"""Numbers of entry instances and of engines."""

LIMIT_PER_S = 1.1
"""Requests per second that a limited engine takes."""

DATA_CENTRES = 5
SERVERS_PER_DIGEST = 12
"""Servers on which one instance has requests in progress, in a busy second."""

NOW = 1_000.0


@frozen(slots=True, kw_only=True)
class RouteCosts:
    """CPU time of units of work, in microseconds.

    :param digest_in: a peer's digest is decoded and applied.
    :param digest_out: a digest is made and encoded, without its transmission.
    :param chat: a prompt of 5,000 tokens is placed, read and ended.
    :param file: the same for one of 300,000 tokens.
    :param check: a periodic check with two prompts in progress.
    """

    instances: int
    engines: int
    digest_in: float
    digest_out: float
    chat: float
    file: float
    check: float


def _make_instance(engines: int) -> RouteInstance:
    address = PeerAddress(
        name="entry-0", host="10.9.0.1", question_port=1, digest_port=2, data_centre="0"
    )
    instance = RouteInstance(
        identity=Identity("entry-0", 1, "0"),
        address=address,
        repeats=RetryLimits(slack=1e9),
        grace_s=8.0,
        hold_s=3.2,
    )
    instance.start(NOW)
    servers = tuple(
        TopicChange(f"engine-{number}", _make_entry(number))
        for number in range(engines)
    )
    instance.handle(TopicListed(Topic.SERVERS, servers, 0, False), NOW)
    change = TopicChange("configuration", _make_configuration())
    instance.handle(TopicListed(Topic.CONFIGURATION, (change,), 0, False), NOW)
    return instance


def _make_entry(number: int) -> ServerEntry:
    return ServerEntry(
        name=f"engine-{number}",
        service="llm",
        host=f"10.0.{number // 250}.{number % 250}",
        port=8080,
        data_centre=str(number % DATA_CENTRES),
        state=ServerState.READY,
        slots=5,
    )


def _make_configuration() -> RouteConfiguration:
    route = Route(
        name="chat",
        host="desk.example",
        prefix="/",
        kind=RouteKind.STREAM,
        shares=(ServiceShare("llm", 1.0),),
        timeout_s=15.0,
        target_latency_s=4.0,
        attempts=2,
        gap_limit_s=0.25,
        is_resumable=True,
    )
    return RouteConfiguration(
        version=1,
        routes=(route,),
        services={"llm": Service(name="llm", profile=PROFILE)},
        limits=CallerLimits(),
    )


def _make_digests(instances: int, engines: int) -> Iterator[bytes]:
    """Yield encoded digests of all peers in turn; the servers in them vary."""
    peers = [
        PeerAddress(
            name=f"entry-{number}",
            host=f"10.8.{number // 250}.{number % 250}",
            question_port=1,
            digest_port=2,
            data_centre=str(number % DATA_CENTRES),
        )
        for number in range(1, instances)
    ]
    load = ServerLoad(0.02, 1, 0, 5_000, ((0.25, 1.3),))
    for number in count(1):
        for index, peer in enumerate(peers):
            first = 31 * index + 17 * number
            names = [
                f"engine-{(first + 7 * step) % engines}"
                for step in range(SERVERS_PER_DIGEST)
            ]
            yield encode_digest(
                LoadDigest(
                    sender=peer,
                    incarnation=1,
                    number=number,
                    version=1,
                    loads=dict.fromkeys(names, load),
                    peers=tuple(peers[:2]),
                )
            )


def _make_request(request_id: int, tokens: int) -> RouteRequest:
    return RouteRequest(
        request_id=request_id,
        caller_request_id=f"r{request_id}",
        host="desk.example",
        path="/x",
        time_limit_s=15.0,
        prompt_tokens=tokens,
        output_tokens=500,
    )


def _serve(instance: RouteInstance, request_id: int, tokens: int) -> None:
    """Place a prompt, deliver its first event, and end it."""
    request = _make_request(request_id, tokens)
    for effect in instance.handle(request, NOW):
        if isinstance(effect, ForwardRequest):
            attempt_id = effect.attempt_id
            head = ResponseHead(
                attempt_id=attempt_id,
                kind=ResponseKind.SUCCESS,
                status=200,
                is_stream=True,
            )
            instance.handle(head, NOW)
            instance.handle(ResponseEvent(attempt_id, "1", b"1"), NOW)
            instance.handle(ResponseComplete(attempt_id), NOW)


def measure_route_costs(instances: int, engines: int) -> RouteCosts:
    """Return the costs for one instance among others, whose digests it has received.

    :param instances: entry instances of the deployment.
    """
    instance = _make_instance(engines)
    digests = _make_digests(instances, engines)
    repeats = max(400, 2 * instances)
    prepared = [next(digests) for _ in range(2 * repeats)]
    received = iter(prepared)

    def receive(_: int) -> None:
        instance.handle(DigestReceived(decode_digest(next(received))), NOW)

    for number in range(repeats):
        receive(number)
    digest_in = cpu_us(receive, repeats)
    for number in range(2):
        instance.handle(_make_request(5_000 + number, 5_000), NOW)
    costs = {
        "digest_in": digest_in,
        "check": cpu_us(lambda _: instance._run_checks(NOW), 50),
        "chat": cpu_us(lambda n: _serve(instance, n, 5_000), 200),
        "file": cpu_us(lambda n: _serve(instance, 1_000 + n, 300_000), 50),
        "digest_out": cpu_us(lambda n: _encode_own(instance, NOW + 1 + n), 200),
    }
    rounded = {name: round(value) for name, value in costs.items()}
    return RouteCosts(instances=instances, engines=engines, **rounded)


def _encode_own(instance: RouteInstance, now: float) -> None:
    for effect in instance.peers.on_changed(now, is_urgent=True):
        encode_digest(effect.digest)


def format_route_costs() -> str:
    """Return the costs at each of `SIZES` as a Markdown table."""
    names = [field.name for field in fields(RouteCosts)]
    rows = [names, ["---"] * len(names)]
    for size in SIZES:
        costs = measure_route_costs(*size)
        rows.append([f"{getattr(costs, name):,}" for name in names])
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def format_limit_costs() -> str:
    """Return the costs while all engines of the largest size name a limit."""
    instances, engines = SIZES[-1]
    names = [f"engine-{n:04}" for n in range(engines)]
    unlimited, limited = ServerLimitTable(), ServerLimitTable()
    limited.set_members(instances, instances // 2, NOW)
    for name in names:
        limited.record_limit(name, 1.0, RateLimit(LIMIT_PER_S), NOW)

    def look(table: ServerLimitTable, number: int) -> None:
        for name in names:
            table.admits_in_s(name, 1.0, NOW + number)

    look_us = cpu_us(lambda n: look(limited, n), 20) / engines
    none_us = cpu_us(lambda n: look(unlimited, n), 20) / engines
    reports = limited.own_reports(NOW)
    sizes = [_count_bytes(reports[:count]) for count in (1, len(reports))]
    return (
        f"A look at a limited engine: {look_us:.1f} us, while none is: {none_us:.2f} "
        f"us. In a digest: {sizes[0]} bytes for one limit, {sizes[1]} for "
        f"{len(reports)}; {_count_bytes((), ('nylo1a',))} for a service out of reach."
    )


def _count_bytes(limits: tuple = (), cut_off: tuple = ()) -> int:
    """Return the bytes that reports add to a digest."""
    sender = PeerAddress(
        name="entry-0", host="10.9.0.1", question_port=1, digest_port=2
    )
    plain = LoadDigest(sender=sender, incarnation=1, number=1, version=1)
    full = evolve(plain, limits=limits, cut_off=cut_off, members=SIZES[-1][0])
    return len(encode_digest(full)) - len(encode_digest(plain))

"""Configuration by the operators: routes, services, workspaces and limits."""

from enum import StrEnum

from attrs import field, frozen

__all__ = [
    "CallerLimits",
    "EngineProfile",
    "KeyHolder",
    "PromptRetention",
    "Route",
    "RouteConfiguration",
    "RouteKind",
    "Service",
    "ServiceShare",
]


class RouteKind(StrEnum):
    """Whether requests may be repeated, and whether responses are streamed."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen(slots=True)
class ServiceShare:
    """Fraction of a route's requests that goes to a service.

    :param weight: relative to the other shares of the route.
    """

    service: str
    weight: float


@frozen(slots=True, kw_only=True)
class Route:
    """How requests to a host, below a path prefix, are handled.

    :param timeout_s: seconds within which the response must be complete.
    :param target_latency_s: seconds within which a response is on time; for streams,
        within which the first event is.
    :param attempts: most backend servers that one request may be sent to.
    :param gap_limit_s: longest pause in seconds between events of a stream that is on
        time, None for no limit.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_latency_s: float
    attempts: int = 1
    is_anonymous: bool = False
    is_resumable: bool = False
    gap_limit_s: float | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run again on another backend server."""
        return self.kind is RouteKind.SAFE or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )

    def service_for(self, unit: float) -> str:
        """Return the service for a request.

        :param unit: number in [0, 1) that selects one of the shares by weight.
        """
        remaining = unit * sum(share.weight for share in self.shares)
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.shares[-1].service


@frozen(slots=True, kw_only=True)
class EngineProfile:
    """Speed and memory of the engines of a service.

    Engines work in passes. While streams are generated, a pass has ``stride`` steps,
    each of which generates one token of every stream and may read a chunk of a prompt.

    :param memory_tokens: tokens of context that an engine holds.
    :param step_s: seconds of a step.
    :param step_per_stream_s: further seconds of a step for each stream.
    :param step_per_token_s: further seconds of a step for each token of context of the
        streams being generated.
    :param read_tokens_per_s: prompt tokens read per second.
    :param pair_s: seconds for each pair of a prompt token and an earlier one.
    :param hop_s: further seconds of a step when a prompt's memory is spread over
        engines.
    """

    memory_tokens: int
    step_s: float
    step_per_stream_s: float
    step_per_token_s: float
    read_tokens_per_s: float
    pair_s: float
    stride: int
    hop_s: float = 0.0

    def read_s(self, tokens: int, parts: int = 1) -> float:
        """Return seconds that each engine takes to read its part of a prompt.

        :param parts: number of engines that split the prompt.
        """
        pairs = tokens * tokens / 2
        return (tokens / self.read_tokens_per_s + pairs * self.pair_s) / parts

    def pass_s(self, streams: int, tokens: int) -> float:
        """Return seconds of a pass that generates streams and reads no prompt.

        :param tokens: tokens of context of all its streams.
        """
        if not streams:
            return 0.0
        step = self.step_s + self.step_per_stream_s * streams
        return self.stride * (step + self.step_per_token_s * tokens)


@frozen(slots=True, kw_only=True)
class PromptRetention:
    """How long the engines of a service keep the prompts that they have read.

    :param keep_s: seconds since the last use for which a prompt is kept.
    :param memory_share: fraction of an engine's memory that kept prompts may fill.
    :param is_shared: whether a workspace's request may use what an engine has read for
        another one.
    """

    keep_s: float
    memory_share: float = 1.0
    is_shared: bool = False


@frozen(slots=True, kw_only=True)
class Service:
    """A group of interchangeable backend servers.

    :param profile: None for plain services.
    :param cold_start_s: seconds for which a server is cold after it starts.
    :param cold_per_s: requests per second that a cold server takes from all instances
        together, 0 if its number is not restricted.
    :param problem: which of these values were invalid and left out, else empty.
    :param retention: None if its engines keep nothing after a request.
    """

    name: str
    profile: EngineProfile | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    problem: str = ""
    retention: PromptRetention | None = None


@frozen(slots=True, kw_only=True)
class KeyHolder:
    """A workspace and the bearer keys of its callers."""

    name: str
    keys: tuple[str, ...] = field(repr=False)


@frozen(slots=True, kw_only=True)
class CallerLimits:
    """Limits on the size and duration of what callers send.

    :param header_bytes: largest request header in bytes.
    :param body_bytes: largest request body in bytes.
    :param header_s: seconds within which a request's header must arrive.
    :param idle_s: seconds that a connection may stay open without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


@frozen(slots=True, kw_only=True)
class RouteConfiguration:
    """A complete version of the configuration.

    :param holders: empty if callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    holders: tuple[KeyHolder, ...] = ()
    _by_host: dict[str, list[Route]] = field(init=False, repr=False, eq=False)
    _by_key: dict[str, str] = field(init=False, repr=False, eq=False)

    @_by_host.default
    def _group_by_host(self) -> dict[str, list[Route]]:
        grouped: dict[str, list[Route]] = {}
        for route in self.routes:
            grouped.setdefault(route.host, []).append(route)
        for routes in grouped.values():
            routes.sort(key=lambda route: -len(route.prefix))
        return grouped

    @_by_key.default
    def _index_keys(self) -> dict[str, str]:
        return {key: holder.name for holder in self.holders for key in holder.keys}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_of(self, key: str) -> str | None:
        """Return the workspace that a key belongs to, None if there is none."""
        return self._by_key.get(key)

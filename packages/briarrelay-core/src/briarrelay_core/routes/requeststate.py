"""State of a request in progress and of its active attempt."""

from attrs import define, field

from briarrelay_core.ports.route import ResponseKind, RouteRequest
from briarrelay_core.reasons import RetryReason
from briarrelay_core.routes.model import EngineProfile, PromptRetention, Route
from briarrelay_core.routes.placement import Placement
from briarrelay_core.routes.retention.beginnings import Beginning, beginnings_of

__all__ = ["AttemptState", "RoutedRequest"]

TOKENS_PER_WEIGHT = 15_000.0
"""Prompt tokens that add 1, the weight of a short prompt, to a request's weight.
Derived from the payoffs on the users' sheets, which are about 2 for a request of 45 k
tokens and 20 for one of 210 k."""


@define(slots=True, eq=False)
class AttemptState:
    """One attempt to send a request to a backend server.

    :param server_born: start of the server's incarnation that the attempt goes to.
    :param expected_s: seconds until the first event, as estimated at placement.
    :param saved_s: seconds of reading that the estimate leaves out, since the server is
        believed to hold the beginning of the prompt.
    :param held_s: seconds of reading that are saved if it does.
    :param has_whole_prompt: the memory of the prompt is on the server alone.
    :param progress_at: time of the attempt's start or of its last message.
    :param pending_placement: the placement while its memory is being reserved, None
        once the request has been sent.
    :param kind: kind of the response's head, None before it arrives.
    :param events: events received in this attempt.
    :param is_resumption: the server sends the rest of a stream, from some event on.
    :param is_delegated: the server is a peer, which sends the request to one.
    :param max_runs: attempts after which the request may have run, if this one is lost.
    :param is_survived: it has shown that its contents do not crash the server.
    :param silence_counted_at: time at which its silence was last counted as a failure
        of the server.
    :param searched_at: time at which another server was last looked for, since this one
        is silent.
    :param was_unread: it was not read for so long that its server may have cut it off.
    """

    attempt_id: int
    server: str
    server_born: float
    helpers: tuple[str, ...]
    sent_at: float
    expected_s: float
    progress_at: float
    pending_placement: Placement | None = None
    kind: ResponseKind | None = None
    status: int = 0
    is_stream: bool = False
    events: int = 0
    is_resumption: bool = False
    is_survived: bool = False
    is_delegated: bool = False
    max_runs: int = 1
    saved_s: float = 0.0
    held_s: float = 0.0
    has_whole_prompt: bool = True
    silence_counted_at: float = float("-inf")
    searched_at: float = float("-inf")
    was_unread: bool = False

    @property
    def incarnation(self) -> str:
        """The server's incarnation, ``name@born``."""
        return f"{self.server}@{self.server_born}"

    @property
    def is_sent(self) -> bool:
        """Whether the request has left for the server; its memory is reserved first."""
        return self.pending_placement is None


@define(slots=True, eq=False)
class RoutedRequest:
    """A request in progress.

    :param deadline: time by which the response must be complete.
    :param active_attempt: the attempt in progress, None while the request waits.
    :param prepared_attempt: the attempt that replaces the active one once its memory
        has been reserved, None if there is none.
    :param tried: servers that it was sent to, in order.
    :param last_incarnation: incarnation of the server that it was sent to last.
    :param excluded: engines not to use for it: those that caused a refusal or denied
        memory.
    :param excluded_at: time at which an engine was last excluded.
    :param attempt_count: attempts so far.
    :param undelivered: attempts that never reached their server.
    :param refused_at: time at which its last attempt was refused or failed to reach its
        server, minus infinity if it did not end so.
    :param is_relief: it goes to a peer since this instance is overloaded.
    :param delegated_count: number of attempts that went to a peer.
    :param peer_retry_after_s: time to return that the last peer named which refused it.
    :param room_in_s: seconds after which engines have room for it, 0 if not known.
    :param possible_runs: attempts after which the request may have run.
    :param awaited_retry: reason of a retry that the budget does not allow yet, else
        None.
    :param is_head_relayed: whether the caller has received the head of the response.
    :param last_event: id of the last event relayed, empty for none.
    :param failed_attempt_id: attempt whose error response may be relayed, 0 for
        none.
    :param content: its name among the contents that can crash backend servers; the
        same for each repeat, empty if it is not known.
    :param reading_paused_at: time since which its caller reads too slowly for more of
        the response, None if it does not.
    :param quarantined_content: content for which it ended, empty for none.
    :param retention: None if the engines of its service keep nothing.
    :ivar beginnings: beginnings of its prompt that engines may hold.
    """

    request: RouteRequest
    route: Route
    service: str
    profile: EngineProfile | None
    workspace: str
    arrived_at: float
    deadline: float
    content: str = ""
    active_attempt: AttemptState | None = None
    prepared_attempt: AttemptState | None = None
    tried: list[str] = field(factory=list)
    last_incarnation: str = ""
    excluded: set[str] = field(factory=set)
    excluded_at: float = float("-inf")
    attempt_count: int = 0
    undelivered: int = 0
    delegated_count: int = 0
    is_relief: bool = False
    peer_retry_after_s: float = 0.0
    refused_at: float = float("-inf")
    room_in_s: float = 0.0
    possible_runs: int = 0
    awaited_retry: RetryReason | None = None
    is_head_relayed: bool = False
    last_event: str = ""
    failed_attempt_id: int = 0
    quarantined_content: str = ""
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    reading_paused_at: float | None = None
    retention: PromptRetention | None = None
    beginnings: tuple[Beginning, ...] = field(init=False)

    @beginnings.default
    def _find_beginnings(self) -> tuple[Beginning, ...]:
        if self.retention is None or not self.is_prompt:
            return ()
        workspace = None if self.retention.is_shared else self.workspace
        return beginnings_of(self.request.read_layout(), self.service, workspace)

    def exclude(self, engine: str, now: float) -> None:
        """Exclude an engine that caused a refusal or denied memory."""
        self.excluded.add(engine)
        self.excluded_at = now

    @property
    def resume_after(self) -> str:
        """Id of the last event that the caller has, from any response so far."""
        return self.last_event or self.request.resume_after

    @property
    def has_only_rejections(self) -> bool:
        """Whether it is a prompt that engines rejected, and that has surely not run.

        It may then be sent again to an engine that rejected it.
        """
        if not self.is_prompt or self.is_head_relayed or self.active_attempt:
            return False
        if self.possible_runs or self.failed_attempt_id:
            return False
        is_elsewhere = self.undelivered or self.delegated_count
        return self.refused_at > float("-inf") and not is_elsewhere

    @property
    def is_prompt(self) -> bool:
        """Whether an engine has to read a prompt for it."""
        return self.profile is not None and self.request.prompt_tokens > 0

    @property
    def prompt_parts(self) -> tuple[str, ...]:
        """Shared parts of its prompt, if engines process it."""
        return self.request.prompt_parts if self.profile is not None else ()

    @property
    def contents(self) -> tuple[str, ...]:
        """What can crash a server that runs it: shared parts, then the request."""
        return (*self.prompt_parts, self.content) if self.content else self.prompt_parts

    @property
    def weight(self) -> float:
        """Cost of a late response, relative to a short prompt."""
        return 1.0 + self.request.prompt_tokens / TOKENS_PER_WEIGHT

    def log_fields(
        self, outcome: str, attempt: AttemptState | None, version: int, now: float
    ) -> tuple[tuple[str, str], ...]:
        """Return the fields of the log line at the end of the request.

        :param attempt: the attempt that was active at the end.
        :param version: version of the configuration in force.
        """
        first = self.first_event_at
        saved_ms = f"{1000 * attempt.saved_s:.0f}" if attempt else ""
        held = (("saved_ms", saved_ms),) if self.retention is not None else ()
        return (
            ("outcome", outcome),
            ("route", self.route.name),
            ("workspace", self.workspace),
            ("version", str(version)),
            ("servers", ",".join(self.tried)),
            ("helpers", str(len(attempt.helpers)) if attempt else "0"),
            ("expected_ms", f"{1000 * attempt.expected_s:.0f}" if attempt else ""),
            ("first_ms", f"{1000 * (first - self.arrived_at):.0f}" if first else ""),
            ("whole_ms", f"{1000 * (now - self.arrived_at):.0f}"),
            ("gap_ms", f"{1000 * self.longest_gap_s:.0f}"),
            ("last_event", self.last_event),
            ("tokens", str(self.request.prompt_tokens)),
            ("parts", ",".join(self.request.prompt_parts)),
            ("content", self.content),
            *held,
        )

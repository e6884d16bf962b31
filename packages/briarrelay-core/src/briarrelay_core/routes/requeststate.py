"""State of a request in progress and of its active send."""

from attrs import define, field

from briarrelay_core.ports.route import ResponseKind, RouteRequest
from briarrelay_core.routes.model import EngineProfile, Route
from briarrelay_core.routes.placement import Placement

__all__ = ["RoutedRequest", "SendState"]

TOKENS_PER_WEIGHT = 15_000.0
"""Prompt tokens that add 1, the weight of a short prompt, to a request's weight.
Derived from the payoffs on the users' sheets, which are about 2 for a request of 45 k
tokens and 20 for one of 210 k."""


@define(slots=True, eq=False)
class SendState:
    """One send of a request to a backend server.

    :param expected_s: seconds until the first event, as estimated at placement.
    :param progress_at: time of the send's start or of the last message on it.
    :param pending_placement: the placement while its memory is being reserved, None
        once the request has been sent.
    :param kind: kind of the answer's head, None before it arrives.
    :param events: events received on this send.
    """

    send_id: int
    server: str
    helpers: tuple[str, ...]
    sent_at: float
    expected_s: float
    progress_at: float
    pending_placement: Placement | None = None
    kind: ResponseKind | None = None
    status: int = 0
    is_stream: bool = False
    events: int = 0


@define(slots=True, eq=False)
class RoutedRequest:
    """A request in progress.

    :param deadline: time by which the answer must be complete.
    :param active_send: the send in progress, None while the request waits.
    :param tried: servers that it was sent to, in order.
    :param excluded: engines not to use for it: those that caused a refusal or denied
        memory.
    :param send_count: sends so far.
    :param undelivered: sends that never reached their server.
    :param possible_runs: sends after which the request may have run.
    :param is_head_relayed: whether the caller has received the head of the answer.
    :param last_event: id of the last event relayed, empty for none.
    :param failed_send_id: send whose failure answer may be relayed, 0 for none.
    """

    request: RouteRequest
    route: Route
    service: str
    profile: EngineProfile | None
    workspace: str
    arrived_at: float
    deadline: float
    active_send: SendState | None = None
    tried: list[str] = field(factory=list)
    excluded: set[str] = field(factory=set)
    send_count: int = 0
    undelivered: int = 0
    possible_runs: int = 0
    is_head_relayed: bool = False
    last_event: str = ""
    failed_send_id: int = 0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0

    @property
    def resume_after(self) -> str:
        """Id of the last event that the caller has, from any answer so far."""
        return self.last_event or self.request.resume_after

    @property
    def is_prompt(self) -> bool:
        """Whether an engine has to read a prompt for it."""
        return self.profile is not None and self.request.prompt_tokens > 0

    @property
    def weight(self) -> float:
        """Cost of a late answer, relative to a short prompt."""
        return 1.0 + self.request.prompt_tokens / TOKENS_PER_WEIGHT

    def log_fields(
        self, outcome: str, send: SendState | None, version: int, now: float
    ) -> tuple[tuple[str, str], ...]:
        """Return the fields of the log line at the end of the request.

        :param send: the send that was active at the end.
        :param version: version of the configuration in force.
        """
        first = self.first_event_at
        return (
            ("outcome", outcome),
            ("route", self.route.name),
            ("workspace", self.workspace),
            ("version", str(version)),
            ("servers", ",".join(self.tried)),
            ("helpers", str(len(send.helpers)) if send else "0"),
            ("expected_ms", f"{1000 * send.expected_s:.0f}" if send else ""),
            ("first_ms", f"{1000 * (first - self.arrived_at):.0f}" if first else ""),
            ("whole_ms", f"{1000 * (now - self.arrived_at):.0f}"),
            ("gap_ms", f"{1000 * self.longest_gap_s:.0f}"),
            ("last_event", self.last_event),
            ("tokens", str(self.request.prompt_tokens)),
        )

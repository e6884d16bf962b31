"""State of a request on its way to a backend server and back."""

from attrs import define, field

from briarrelay_core.ports.route import HeadKind, RouteRequest
from briarrelay_core.routes.model import EngineProfile, Route
from briarrelay_core.routes.placement import Placement

__all__ = ["RoutedRequest", "Sending"]


@define(slots=True, eq=False)
class Sending:
    """One send to a backend server.

    :param expected_s: seconds until the first event, as estimated when it was sent.
    :param progress_at: time of the last sign of life.
    :param placement: kept while memory is set aside, None once the send has left.
    :param kind: what the head of the answer said, None before it came.
    """

    send_id: int
    server: str
    helpers: tuple[str, ...]
    sent_at: float
    expected_s: float
    progress_at: float
    placement: Placement | None = None
    kind: HeadKind | None = None
    status: int = 0
    is_stream: bool = False
    events: int = 0


@define(slots=True, eq=False)
class RoutedRequest:
    """A request in progress.

    :param due: time of the final answer at the latest.
    :param unsent: sends that never reached their server.
    :param avoided: engines that refused to help it.
    :param runs: sends after which the request may have run.
    :param is_begun: the caller has the head of the answer.
    :param last_event: id of the last event passed on, empty for none.
    :param failure: send whose answer is a failure that may be passed on, 0 for none.
    """

    request: RouteRequest
    route: Route
    service: str
    profile: EngineProfile | None
    workspace: str
    arrived_at: float
    due: float
    sending: Sending | None = None
    tried: list[str] = field(factory=list)
    avoided: set[str] = field(factory=set)
    sends: int = 0
    unsent: int = 0
    runs: int = 0
    is_begun: bool = False
    last_event: str = ""
    failure: int = 0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0

    @property
    def resume_after(self) -> str:
        """Id of the last event that the caller has, from this answer or before it."""
        return self.last_event or self.request.resume_after

    @property
    def is_prompt(self) -> bool:
        """Whether an engine reads a prompt for it."""
        return self.profile is not None and self.request.prompt_tokens > 0

    @property
    def weight(self) -> float:
        """What a late answer costs, relative to a short prompt."""
        return 1.0 + self.request.prompt_tokens / WEIGHT_TOKENS


WEIGHT_TOKENS = 15_000.0
"""Prompt tokens that add as much to a request's weight as a short one has; from the
payoffs on the users' sheets, about 2 a request of 45 k and 20 for 210 k."""

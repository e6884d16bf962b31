"""State of one prompt from its arrival to its final answer."""

from enum import StrEnum

from attrs import define, field

from briarrelay_core.memory.allocator import GangPlan
from briarrelay_core.ports.caller import ChatRequest
from briarrelay_core.routing.fleet import PromptRequirements
from briarrelay_core.routing.lengths import LengthClass, length_class_of
from briarrelay_core.timers import Timer

__all__ = ["Chat", "Phase"]


class Phase(StrEnum):
    """Where a request is."""

    QUEUED = "queued"
    RESERVING = "reserving"
    PAUSED = "paused"
    SENT = "sent"
    STREAMING = "streaming"
    RELAYED = "relayed"
    DONE = "done"


@define(slots=True, eq=False)
class Chat:
    """A prompt in progress.

    :param attempt: number of the attempt in progress, 0 before the first.
    :param engines: engines of the attempt, the lead first.
    :param next_seq: index of the next token that the caller is due.
    :param generated: text passed on so far, kept for a continuation elsewhere.
    :param why: steps of the decision, for an explanation.
    """

    request: ChatRequest
    workspace: str
    weight: float
    arrived: float
    phase: Phase = Phase.QUEUED
    attempt: int = 0
    engines: tuple[str, ...] = ()
    plan: GangPlan | None = None
    granted: int = 0
    ready: set[str] = field(factory=set)
    next_seq: int = 0
    generated: list[str] = field(factory=list)
    tried: set[str] = field(factory=set)
    probed: bool = False
    excess: bool = False
    first_token_at: float | None = None
    expected_s: float = 0.0
    priority: float = 0.0
    relay_peer: str = ""
    relay_next: int = 0
    why: list[str] = field(factory=list)
    timers: dict[str, Timer] = field(factory=dict)

    @property
    def id(self) -> str:
        """Id of the request."""
        return self.request.request_id

    @property
    def length_class(self) -> LengthClass:
        """Class of the prompt's length."""
        return length_class_of(self.request.prompt_tokens)

    @property
    def needs_reservation(self) -> bool:
        """Whether engine memory is reserved before the prompt is sent."""
        return self.length_class is LengthClass.LONG

    @property
    def remaining_tokens(self) -> int:
        """Tokens still to be generated."""
        return max(1, self.request.output_tokens - self.next_seq)

    @property
    def need(self) -> PromptRequirements:
        """What routing has to know."""
        return PromptRequirements(
            self.id,
            self.request.model,
            self.length_class,
            self.request.prompt_tokens + self.next_seq,
            self.remaining_tokens,
            self.request.blocks,
            frozenset(self.tried),
            self.excess,
        )

    def set_timer(self, name: str, timer: Timer | None) -> None:
        """Replace one of the request's timers."""
        old = self.timers.pop(name, None)
        if old is not None:
            old.cancel()
        if timer is not None:
            self.timers[name] = timer

    def cancel_timers(self) -> None:
        """Cancel every timer of the request."""
        for timer in self.timers.values():
            timer.cancel()
        self.timers.clear()

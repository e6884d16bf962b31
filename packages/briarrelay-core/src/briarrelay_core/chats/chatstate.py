"""State of one prompt from its arrival to its final outcome."""

from enum import StrEnum

from attrs import define, field

from briarrelay_core.memory.allocator import GangPlan
from briarrelay_core.ports.caller import ChatRequest
from briarrelay_core.routing.fleet import PromptRequirements
from briarrelay_core.routing.lengths import LengthClass, length_class_of
from briarrelay_core.timers import Timer

__all__ = ["Chat", "Phase"]


class Phase(StrEnum):
    """Phase of a request's lifecycle.

    PAUSED requests wait for the delay before a retry, RELAYED ones are served by
    another data centre.
    """

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

    :param arrived: arrival time, in Unix seconds.
    :param attempt: number of the current attempt, 0 before the first.
    :param engines: engines of the current attempt, the lead engine first.
    :param plan: engines and tokens of an attempt whose memory is reserved.
    :param granted: number of the plan's reservations that are granted.
    :param ready_engines: engines of a gang that are ready to generate.
    :param next_seq: index of the next token to send to the caller.
    :param generated: text of the tokens sent so far, to resume on another engine.
    :param tried: engines that failed or refused, and peers that were unreachable.
    :param probed: whether a probe of a stalled stream is pending.
    :param excess: whether the workspace exceeds its share.
    :param first_token_at: time of the first token, in Unix seconds.
    :param expected_first_token_s: estimated seconds to the first token of the attempt.
    :param priority: priority in the engine's queue; lower is served sooner.
    :param relay_peer: peer that the prompt is relayed to.
    :param relay_next_seq: index of the next part of the peer's response.
    :param why: steps of the request's explanation, in order.
    :param timers: pending timers by name.
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
    ready_engines: set[str] = field(factory=set)
    next_seq: int = 0
    generated: list[str] = field(factory=list)
    tried: set[str] = field(factory=set)
    probed: bool = False
    excess: bool = False
    first_token_at: float | None = None
    expected_first_token_s: float = 0.0
    priority: float = 0.0
    relay_peer: str = ""
    relay_next_seq: int = 0
    why: list[str] = field(factory=list)
    timers: dict[str, Timer] = field(factory=dict)

    @property
    def id(self) -> str:
        """Id of the request."""
        return self.request.request_id

    @property
    def length_class(self) -> LengthClass:
        """Length class of the prompt."""
        return length_class_of(self.request.prompt_tokens)

    @property
    def needs_reservation(self) -> bool:
        """Whether engine memory is reserved before the prompt is sent."""
        return self.length_class is LengthClass.LONG

    @property
    def remaining_tokens(self) -> int:
        """Output tokens still to be generated, at least 1."""
        return max(1, self.request.output_tokens - self.next_seq)

    @property
    def requirements(self) -> PromptRequirements:
        """Requirements of the prompt that routing takes into account."""
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
        """Replace the named timer and cancel the old one; None only cancels it."""
        old = self.timers.pop(name, None)
        if old is not None:
            old.cancel()
        if timer is not None:
            self.timers[name] = timer

    def cancel_timers(self) -> None:
        """Cancel all timers of the request."""
        for timer in self.timers.values():
            timer.cancel()
        self.timers.clear()

"""A caller of the users' deployments: what it waits for, what it pays."""

from attrs import define, field

from briarrelay_bench.sheets import Arrival

__all__ = ["Caller"]

SHORTEST_PATIENCE_S = 2.0
"""Silence that every caller bears, in seconds."""

AIM_PATIENCE = 4.0
"""Times its aim for which a caller bears silence."""

GAP_PATIENCE = 8.0
"""Times its longest pause for which a caller bears silence."""

RETRIES = 1
"""Times that a caller asks again."""

RETURN_PART = 1 / 3
"""Part of the time left up to which a caller heeds Retry-After."""


@define(slots=True, eq=False)
class Caller:
    """One request as its caller sees it, over all its attempts.

    :ivar causes: why attempts before the last one ended.
    """

    arrival: Arrival
    began_at: float
    instance: int = 0
    request_id: int = 0
    attempt: int = 0
    events: int = 0
    heard_at: float = field(init=False)
    first_s: float | None = None
    longest_gap_s: float = 0.0
    causes: list[str] = field(factory=list)
    outcome: str = ""

    def __attrs_post_init__(self):
        self.heard_at = self.began_at

    @property
    def time_limit_s(self) -> float:
        """Seconds of silence after which it leaves."""
        kind = self.arrival.kind
        return max(
            SHORTEST_PATIENCE_S, AIM_PATIENCE * kind.aim_s, GAP_PATIENCE * kind.gap_s
        )

    @property
    def is_over(self) -> bool:
        """Whether it has its final outcome."""
        return bool(self.outcome)

    @property
    def is_on_time(self) -> bool:
        """Whether its answer came whole, in time and without long pauses."""
        kind = self.arrival.kind
        if self.outcome != "done" or self.first_s > kind.aim_s:
            return False
        return not kind.gap_s or self.longest_gap_s <= kind.gap_s

    @property
    def earned(self) -> float:
        """What its answer is worth."""
        if self.outcome != "done":
            return 0.0
        on_time, late = self.arrival.kind.worth
        return on_time if self.is_on_time else late

    @property
    def loss(self) -> str:
        """Why it did not earn its whole worth, empty if it did."""
        kind = self.arrival.kind
        if self.is_on_time:
            return ""
        if self.outcome != "done":
            return self.outcome or "unfinished"
        if self.causes:
            return f"{self.causes[-1]} once"
        return "waited" if self.first_s > kind.aim_s else "paused"

    def left_s(self, now: float) -> float:
        """Return seconds until its deadline."""
        return self.began_at + self.arrival.kind.deadline_s - now

    def may_retry(self, wait_s: float, now: float) -> bool:
        """Return whether it asks again after some seconds."""
        if self.attempt > RETRIES:
            return False
        return wait_s <= RETURN_PART * self.left_s(now)

    def note_event(self, at: float) -> None:
        """Take an event of its answer."""
        self.events += 1
        if self.first_s is None:
            self.first_s = at - self.began_at
        else:
            self.longest_gap_s = max(self.longest_gap_s, at - self.heard_at)
        self.heard_at = at

    def end(self, outcome: str, at: float) -> None:
        """Take its final outcome."""
        self.outcome = outcome
        self.heard_at = at

"""Model of a caller of the users' deployments: its timeouts, retries and worth."""

from attrs import define, field

from briarrelay_bench.sites import Arrival

__all__ = ["Caller"]

MIN_IDLE_TIMEOUT_S = 2.0
"""Shortest idle timeout in seconds."""

IDLE_TIMEOUT_TARGET_FACTOR = 4.0
"""Idle timeout as a multiple of the target latency."""

IDLE_TIMEOUT_GAP_FACTOR = 8.0
"""Idle timeout as a multiple of the longest pause allowed between events."""

MAX_RETRIES = 1
"""Retries after the first attempt."""

MAX_RETRY_WAIT_FRACTION = 1 / 3
"""Longest Retry-After that a caller waits for, as a fraction of the time left."""


@define(slots=True, eq=False)
class Caller:
    """One request from the side of its caller, over all attempts.

    :param started_at: time of the first attempt, in seconds.
    :param instance: number of the entry instance of the latest attempt.
    :param request_id: id of the latest attempt.
    :ivar first_event_s: seconds to the first event, None without one.
    :ivar failure_causes: why attempts before the last one failed.
    :ivar outcome: final outcome, empty until then.
    """

    arrival: Arrival
    started_at: float
    instance: int = 0
    request_id: int = 0
    attempt: int = 0
    events: int = 0
    last_activity_at: float = field(init=False)
    first_event_s: float | None = None
    longest_gap_s: float = 0.0
    failure_causes: list[str] = field(factory=list)
    outcome: str = ""

    def __attrs_post_init__(self):
        self.last_activity_at = self.started_at

    @property
    def idle_timeout_s(self) -> float:
        """Seconds without an event after which the caller disconnects."""
        kind = self.arrival.kind
        return max(
            MIN_IDLE_TIMEOUT_S,
            IDLE_TIMEOUT_TARGET_FACTOR * kind.aim_s,
            IDLE_TIMEOUT_GAP_FACTOR * kind.gap_s,
        )

    @property
    def is_over(self) -> bool:
        """Whether the request has its final outcome."""
        return bool(self.outcome)

    @property
    def is_on_time(self) -> bool:
        """Whether the answer is complete, started in time and had no long pause."""
        kind = self.arrival.kind
        if self.outcome != "done" or self.first_event_s > kind.aim_s:
            return False
        return not kind.gap_s or self.longest_gap_s <= kind.gap_s

    @property
    def earned_worth(self) -> float:
        """Worth of the answer: full if on time, reduced if late, else 0."""
        if self.outcome != "done":
            return 0.0
        on_time, late = self.arrival.kind.worth
        return on_time if self.is_on_time else late

    @property
    def loss_cause(self) -> str:
        """Why the answer earned less than its full worth, empty if it did not."""
        kind = self.arrival.kind
        if self.is_on_time:
            return ""
        if self.outcome != "done":
            return self.outcome or "unfinished"
        if self.failure_causes:
            return f"{self.failure_causes[-1]} once"
        return "waited" if self.first_event_s > kind.aim_s else "paused"

    def remaining_s(self, now: float) -> float:
        """Return seconds until its deadline."""
        return self.started_at + self.arrival.kind.deadline_s - now

    def may_retry(self, wait_s: float, now: float) -> bool:
        """Return whether the caller retries after a wait."""
        if self.attempt > MAX_RETRIES:
            return False
        return wait_s <= MAX_RETRY_WAIT_FRACTION * self.remaining_s(now)

    def record_event(self, at: float) -> None:
        """Record an event of the answer."""
        self.events += 1
        if self.first_event_s is None:
            self.first_event_s = at - self.started_at
        else:
            self.longest_gap_s = max(self.longest_gap_s, at - self.last_activity_at)
        self.last_activity_at = at

    def end(self, outcome: str, at: float) -> None:
        """Record the final outcome."""
        self.outcome = outcome
        self.last_activity_at = at

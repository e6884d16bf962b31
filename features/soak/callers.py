"""Callers of the soak, and checks of their responses against what servers ran."""

import random
import threading
import time

from attrs import define, field
from standins.fleet import (
    EntryInstance,
    Fleet,
    Response,
    call,
    event_ids,
    make_prompt_prefix,
)

NOT_RUN_STATUSES = (408, 421, 429, 503)
CRASH_PART = "dead01"
"""Id of a part of prompts on which engines crash."""

MIDDLE_PARTS = ("91bd3f06", "a7", "33c0", "e0")
"""Ids of parts that some prompts share."""

TOLERATED_CRASHES = 5
"""Crashes by one part after which requests with it are to be held back."""

HOLD_BACK_S = 6.0
"""Seconds after the last tolerated crash from which they are held back."""

MAX_LATE_CRASH_REQUESTS = 3
"""Most of them that may reach engines after that."""

DEADLINE_TOLERANCE_S = 1.0
"""Seconds past its deadline after which a response counts as late."""


@define(slots=True)
class SentRequest:
    """One request and the response that its caller received.

    :param count: number of events asked for, of a stream.
    :param prompt_prefix: its X-Prompt-Prefix header, of a stream.
    :param crashes: engines crash on it.
    """

    attempt: str
    kind: str
    entry: str
    started_at: float
    timeout_s: float
    count: int = 0
    prompt_prefix: str = ""
    crashes: bool = False
    response: Response | None = None
    ended_at: float = 0.0


@define(slots=True, eq=False)
class Callers:
    """Threads that send requests to randomly chosen entry instances until stopped.

    :param crash_ratio: fraction of prompts on which engines crash.
    """

    fleet: Fleet
    seed: int
    threads: int = 8
    crash_ratio: float = 0.0
    sent: list[SentRequest] = field(factory=list)
    _is_stopping: bool = False
    _started: list[threading.Thread] = field(factory=list)

    def start(self) -> None:
        """Start the threads."""
        for number in range(self.threads):
            thread = threading.Thread(target=self._send_all, args=(number,))
            thread.start()
            self._started.append(thread)

    def stop(self) -> None:
        """Stop sending and wait for the last responses."""
        self._is_stopping = True
        for thread in self._started:
            thread.join()

    def _send_all(self, number: int) -> None:
        rng = random.Random(self.seed * 1_000 + number)
        count = 0
        while not self._is_stopping:
            count += 1
            entry = rng.choice(self.fleet.instances)
            kind = rng.choice(("chat", "chat", "book", "look"))
            self._send(entry, f"{self.seed}-{number}-{count}", kind, rng)
            time.sleep(rng.uniform(0.0, 0.1))

    def _send(self, entry: EntryInstance, attempt: str, kind: str, rng) -> None:
        timeout_s = rng.choice((2.0, 4.0))
        sent = SentRequest(attempt, kind, entry.name, time.monotonic(), timeout_s)
        arguments = {}
        if kind == "chat":
            sent.count = rng.randint(1, 40)
            tokens = rng.choice((500, 5000, 30000))
            middle = rng.sample(MIDDLE_PARTS, rng.randint(0, 2))
            if self.crash_ratio and rng.random() < self.crash_ratio:
                sent.crashes = True
                middle.insert(rng.randint(0, len(middle)), CRASH_PART)
            sent.prompt_prefix = make_prompt_prefix(attempt, tokens, tuple(middle))
            arguments["tokens"] = f"{tokens},{sent.count}"
            arguments["middle_parts"] = tuple(middle)
        elif kind == "look":
            arguments = {"method": "GET", "body": b""}
        sent.response = call(
            entry, f"/{kind}/x", attempt, deadline_ms=int(timeout_s * 1000), **arguments
        )
        sent.ended_at = time.monotonic()
        self.sent.append(sent)


@define(slots=True)
class Pause:
    """A time in which an instance was suspended and could not respond."""

    entry: str
    started_at: float
    ended_at: float = float("inf")

    def overlaps(self, sent: SentRequest) -> bool:
        """Return whether the instance was paused while it had the request."""
        is_disjoint = self.ended_at < sent.started_at or self.started_at > sent.ended_at
        return self.entry == sent.entry and not is_disjoint


def find_violations(
    sent: list[SentRequest], runs: list[dict], pauses: list[Pause]
) -> list[str]:
    """Return the guarantees that were violated, one line each.

    :param runs: requests that backend servers ran.
    :param pauses: while paused, an instance may respond late.
    """
    by_attempt: dict[str, list[dict]] = {}
    for run in runs:
        by_attempt.setdefault(run["attempt"], []).append(run)
    violations = []
    for request in sent:
        own_runs = by_attempt.get(request.attempt, [])
        was_paused = any(pause.overlaps(request) for pause in pauses)
        violations += [
            f"{request.attempt}: {text}"
            for text in _check(request, own_runs, was_paused)
        ]
    sent_attempts = {request.attempt for request in sent}
    violations += [
        f"{a}: ran, but no caller sent it" for a in by_attempt if a not in sent_attempts
    ]
    return violations


def find_cut_answers(sent: list[SentRequest]) -> list[str]:
    """Return the requests whose answer was broken off or replaced by a failure.

    A refusal is neither, nor is an end at the caller's time limit.
    """
    return [
        f"{request.attempt}: {request.kind} cut, status {request.response.status}"
        for request in sent
        if request.ended_at - request.started_at < request.timeout_s
        and (
            request.response.status in (0, 502)
            or (request.response.status == 200 and not request.response.is_complete)
        )
    ]


def find_hold_back(crashes: list[dict]) -> float:
    """Return the Unix time from which requests that crash engines are held back.

    With fewer than the tolerated crashes, the time counts from the last one.
    """
    if not crashes:
        return float("inf")
    return crashes[:TOLERATED_CRASHES][-1]["at"] + HOLD_BACK_S


def find_late_crashes(
    sent: list[SentRequest], runs: list[dict], crashes: list[dict]
) -> list[str]:
    """Return a line if requests on which engines crash are not held back in time."""
    held_from = find_hold_back(crashes)
    attempts = {request.attempt for request in sent if request.crashes}
    late = {
        run["attempt"]
        for run in runs
        if run["attempt"] in attempts and run["at"] > held_from
    }
    if len(late) <= MAX_LATE_CRASH_REQUESTS:
        return []
    return [
        f"{len(late)} requests that crash engines reached them from {HOLD_BACK_S:.0f} "
        f"s after crash {TOLERATED_CRASHES} on; {len(crashes)} crashes"
    ]


def _check(request: SentRequest, runs: list[dict], was_paused: bool) -> list[str]:
    violations = []
    response = request.response
    if request.kind == "book" and len(runs) > 1:
        violations.append(f"booking ran {len(runs)} times")
    if request.kind != "chat" and response.status in NOT_RUN_STATUSES and runs:
        if request.kind == "book":
            violations.append(
                f"booking ran, but the status {response.status} says it did not"
            )
    if response.status == 200:
        if response.headers.get("x-response-seal") != f"seal.{request.attempt}":
            violations.append("status 200 without the server's response seal")
        if request.kind == "chat":
            violations += _check_stream(request)
        elif response.is_complete and request.attempt.encode() not in response.body:
            violations.append("response to another request")
    if (
        request.ended_at - request.started_at > request.timeout_s + DEADLINE_TOLERANCE_S
        and not was_paused
    ):
        violations.append(
            f"response after {request.ended_at - request.started_at:.1f} s"
        )
    if any(run["prompt_prefix"] != request.prompt_prefix for run in runs):
        violations.append("ran with other prompt parts")
    if any(run["workspace"] != "owners" or run["has_key"] for run in runs):
        violations.append(
            "ran for another workspace, or the server saw the caller's key"
        )
    return violations


def _check_stream(request: SentRequest) -> list[str]:
    ids = event_ids(request.response)
    violations = []
    if ids != list(range(1, len(ids) + 1)):
        violations.append(f"event ids {ids}")
    if request.response.is_complete and len(ids) != request.count:
        violations.append(f"complete with {len(ids)} of {request.count} events")
    if request.attempt.encode() not in request.response.body and ids:
        violations.append("events of another response")
    return violations

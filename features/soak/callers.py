"""Callers of the soak, and checks of their responses against what servers ran."""

import random
import threading
import time

from attrs import define, field, frozen
from standins.fleet import (
    CrashRequest,
    EntryInstance,
    Fleet,
    Response,
    call,
    event_ids,
    make_prompt_prefix,
)

NOT_RUN_STATUSES = (408, 421, 429, 503)
QUARANTINE_REASONS = (b"prompt_quarantined", b"request_quarantined")

MIDDLE_PARTS = ("91bd3f06", "a7", "33c0", "e0")
"""Ids of parts that some prompts share."""

MAX_LATE_CRASH_REQUESTS = 3
"""Most requests with a content on which servers crash that may reach them once they are
to be held back."""

DEADLINE_TOLERANCE_S = 1.0
"""Seconds past its deadline after which a response counts as late."""


@frozen(slots=True)
class CrashContent:
    """A part of prompts, or a whole request, on which servers crash.

    :param name: the part, or the path of the request.
    :param kind: kind of the requests that have it.
    :param ratio: fraction of the requests of this kind that have it.
    :param tolerated_crashes: crashes by it after which it is to be held back.
    :param hold_back_s: seconds after the last of them from which it is held back.
    :param after_events: number of events that an engine writes before it crashes.
    :param request: none for a part of prompts.
    """

    name: str
    kind: str = "chat"
    ratio: float = 0.1
    tolerated_crashes: int = 5
    hold_back_s: float = 6.0
    after_events: int = 0
    request: CrashRequest | None = None

    @classmethod
    def whole(cls, kind: str, body: bytes, ratio: float) -> "CrashContent":
        """Return a whole request with the bound that users gave for it."""
        request = CrashRequest(f"/{kind}/crash", body)
        return cls(request.path, kind, ratio, 3, 3.0, request=request)


CRASH_PART = CrashContent("dead01")
LATE_CRASH_PART = CrashContent("dead02", after_events=2)
CRASH_PROMPT = CrashContent.whole("chat", b"crash", 0.1)
CRASH_LOOK = CrashContent.whole("look", b"", 0.2)
CRASH_BOOKING = CrashContent.whole("book", b"crash", 0.2)


@define(slots=True)
class SentRequest:
    """One request and the response that its caller received.

    :param count: number of events asked for, of a stream.
    :param prompt_prefix: its X-Prompt-Prefix header, of a stream.
    :param content: what servers crash on in it.
    """

    attempt: str
    kind: str
    entry: str
    started_at: float
    timeout_s: float
    count: int = 0
    prompt_prefix: str = ""
    content: CrashContent | None = None
    response: Response | None = None
    ended_at: float = 0.0


@define(slots=True, eq=False)
class Callers:
    """Threads that send requests to randomly chosen entry instances until stopped.

    :param contents: what servers crash on; some requests have one of them.
    """

    fleet: Fleet
    seed: int
    threads: int = 8
    contents: tuple[CrashContent, ...] = ()
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
        sent.content = self._draw_content(kind, rng)
        path, body = f"/{kind}/x", attempt.encode()
        arguments = {}
        if kind == "chat":
            arguments = self._draw_prompt(sent, rng)
        elif kind == "look":
            arguments, body = {"method": "GET"}, b""
        if sent.content and sent.content.request:
            path, body = sent.content.request.path, sent.content.request.body
        arguments["deadline_ms"] = int(timeout_s * 1000)
        sent.response = call(entry, path, attempt, body=body, **arguments)
        sent.ended_at = time.monotonic()
        self.sent.append(sent)

    def _draw_content(self, kind: str, rng) -> CrashContent | None:
        """Return what servers crash on in the next request, or none."""
        for content in self.contents:
            if content.kind == kind and rng.random() < content.ratio:
                return content
        return None

    def _draw_prompt(self, sent: SentRequest, rng) -> dict:
        """Return the arguments of a call with a prompt; a repeat has the same one."""
        content, own = sent.content, sent.attempt
        tokens = rng.choice((500, 5000, 30000))
        middle = rng.sample(MIDDLE_PARTS, rng.randint(0, 2))
        sent.count = rng.randint(1, 40)
        if content and content.request:
            own, tokens, middle = content.name, 5000, [MIDDLE_PARTS[0]]
        elif content:
            middle.insert(rng.randint(0, len(middle)), content.name)
            sent.count = max(sent.count, content.after_events + 1)
        sent.prompt_prefix = make_prompt_prefix(own, tokens, tuple(middle))
        return {
            "tokens": f"{tokens},{sent.count}",
            "extra_headers": {"X-Prompt-Prefix": sent.prompt_prefix},
        }


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


def find_hold_back(crashes: list[dict], content: CrashContent) -> float:
    """Return the Unix time from which requests with a content are held back.

    With fewer than the tolerated crashes, the time counts from the last one.
    """
    times = [crash["at"] for crash in crashes if crash["content"] == content.name]
    if not times:
        return float("inf")
    return times[: content.tolerated_crashes][-1] + content.hold_back_s


def find_late_crashes(
    sent: list[SentRequest],
    runs: list[dict],
    crashes: list[dict],
    contents: tuple[CrashContent, ...],
) -> list[str]:
    """Return a line for each content that is not held back in time."""
    violations = []
    for content in contents:
        held_from = find_hold_back(crashes, content)
        attempts = {r.attempt for r in sent if r.content is content}
        late = [r for r in runs if r["attempt"] in attempts and r["at"] > held_from]
        if len(late) > MAX_LATE_CRASH_REQUESTS:
            count = sum(crash["content"] == content.name for crash in crashes)
            violations.append(
                f"{content.name} reached servers {len(late)} times from "
                f"{content.hold_back_s:.0f} s after crash {content.tolerated_crashes} "
                f"on; {count} crashes"
            )
    return violations


def find_wrong_refusals(sent: list[SentRequest]) -> list[str]:
    """Return the sound requests that were refused for a quarantined content."""
    return [
        f"{request.attempt}: sound, but refused {request.response.body.decode()}"
        for request in sent
        if request.content is None
        and any(reason in request.response.body for reason in QUARANTINE_REASONS)
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

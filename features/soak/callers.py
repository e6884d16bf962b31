"""Callers of the soak, and the promises as they and backend servers see them."""

import random
import threading
import time

from attrs import define, field
from standins.fleet import Answer, Entry, Fleet, call, event_ids

NOT_RUN_STATUSES = (408, 421, 429, 503)
LATE_S = 1.0
"""Seconds beyond its time after which a request counts as left hanging."""


@define(slots=True)
class Sent:
    """One request and what its caller got."""

    attempt: str
    kind: str
    entry: str
    begun_at: float
    patience_s: float
    count: int = 0
    answer: Answer | None = None
    ended_at: float = 0.0


@define(slots=True, eq=False)
class Callers:
    """Threads that send requests to instances that live, until told to stop."""

    fleet: Fleet
    seed: int
    threads: int = 8
    sent: list[Sent] = field(factory=list)
    _is_over: bool = False
    _running: list[threading.Thread] = field(factory=list)

    def start(self) -> None:
        """Begin to send."""
        for number in range(self.threads):
            thread = threading.Thread(target=self._send_all, args=(number,))
            thread.start()
            self._running.append(thread)

    def stop(self) -> None:
        """Wait for the last answers."""
        self._is_over = True
        for thread in self._running:
            thread.join()

    def _send_all(self, number: int) -> None:
        chance = random.Random(self.seed * 1_000 + number)
        count = 0
        while not self._is_over:
            count += 1
            entry = chance.choice(self.fleet.instances)
            kind = chance.choice(("chat", "chat", "book", "look"))
            self._send(entry, f"{self.seed}-{number}-{count}", kind, chance)
            time.sleep(chance.uniform(0.0, 0.1))

    def _send(self, entry: Entry, attempt: str, kind: str, chance) -> None:
        patience_s = chance.choice((2.0, 4.0))
        sent = Sent(attempt, kind, entry.name, time.monotonic(), patience_s)
        more = {}
        if kind == "chat":
            sent.count = chance.randint(1, 40)
            more["tokens"] = f"{chance.choice((500, 5000, 30000))},{sent.count}"
        elif kind == "look":
            more = {"method": "GET", "body": b""}
        sent.answer = call(
            entry, f"/{kind}/x", attempt, deadline_ms=int(patience_s * 1000), **more
        )
        sent.ended_at = time.monotonic()
        self.sent.append(sent)


@define(slots=True)
class Pause:
    """A time in which an instance stood still and could not answer."""

    entry: str
    begun_at: float
    ended_at: float = float("inf")

    def covers(self, sent: Sent) -> bool:
        """Return whether a request met the pause."""
        is_apart = self.ended_at < sent.begun_at or self.begun_at > sent.ended_at
        return self.entry == sent.entry and not is_apart


def find_broken(sent: list[Sent], runs: list[dict], pauses: list[Pause]) -> list[str]:
    """Return what was promised and not kept, one line each."""
    by_attempt: dict[str, list[dict]] = {}
    for run in runs:
        by_attempt.setdefault(run["attempt"], []).append(run)
    broken = []
    for one in sent:
        mine = by_attempt.get(one.attempt, [])
        is_paused = any(pause.covers(one) for pause in pauses)
        broken += [f"{one.attempt}: {text}" for text in _check(one, mine, is_paused)]
    known = {one.attempt for one in sent}
    broken += [f"{a}: nobody sent it" for a in by_attempt if a not in known]
    return broken


def _check(one: Sent, runs: list[dict], is_paused: bool) -> list[str]:
    found = []
    answer = one.answer
    if one.kind == "book" and len(runs) > 1:
        found.append(f"a booking ran {len(runs)} times")
    if one.kind != "chat" and answer.status in NOT_RUN_STATUSES and runs:
        if one.kind == "book":
            found.append(f"said not to have run with {answer.status}")
    if answer.status == 200:
        if answer.headers.get("x-response-seal") != f"seal.{one.attempt}":
            found.append("a success without the server's proof")
        if one.kind == "chat":
            found += _check_stream(one)
        elif answer.is_whole and one.attempt.encode() not in answer.body:
            found.append("the answer to another request")
    if one.ended_at - one.begun_at > one.patience_s + LATE_S and not is_paused:
        found.append(f"answered after {one.ended_at - one.begun_at:.1f} s")
    if any(run["workspace"] != "owners" or run["has_key"] for run in runs):
        found.append("ran for another workspace, or with the key")
    return found


def _check_stream(one: Sent) -> list[str]:
    ids = event_ids(one.answer)
    found = []
    if ids != list(range(1, len(ids) + 1)):
        found.append(f"pieces {ids}")
    if one.answer.is_whole and len(ids) != one.count:
        found.append(f"complete with {len(ids)} of {one.count} pieces")
    if one.attempt.encode() not in one.answer.body and ids:
        found.append("pieces of another answer")
    return found

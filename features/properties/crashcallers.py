"""Callers on real processes that send requests on which servers crash beside others."""

import threading
import time
from collections.abc import Callable

from attrs import field, frozen
from standins.fleet import Fleet, Response, call, event_ids

EVENTS = 10
"""Events of a complete stream."""

SOUND_GAP_S = 0.1
"""Seconds between the sound requests of one kind."""

STABILITY_WINDOW_S = 3.0
"""Seconds after the last crash that the users tolerate until their bound holds."""

MAX_REACHING = 3
"""Requests that crash servers that may reach them from then on, at all instances."""

MIN_WHOLE_RATIO = 0.95
"""Fraction of the sound requests that are whole once the crashes have ended."""

RELEASE_S = 15.0
"""Seconds within which all instances follow an operator's release."""

READY_S = 1.0
"""Seconds from readiness within which a restarted instance refuses a content."""


@frozen(slots=True)
class Source:
    """Requests of one kind, sent at fixed intervals.

    :param make: returns the arguments of `call` for the request with a number, with its
        path; those of streams ask for `EVENTS` events.
    :param is_bad: servers crash on them.
    """

    kind: str
    gap_s: float
    make: Callable[[int], dict]
    is_bad: bool = False


@frozen(slots=True)
class Outcome:
    """What the caller of one request saw.

    :param at: time at which it was sent, in Unix seconds.
    """

    attempt: str
    kind: str
    is_bad: bool
    is_stream: bool
    at: float
    response: Response = field(repr=False)

    @property
    def is_right(self) -> bool:
        """Whether what was received is its own response, or the first part of it."""
        if not self.is_stream:
            own = f"{self.attempt} ".encode()
            return self.response.status != 200 or self.response.body.startswith(own)
        lines = self.response.body.splitlines()
        given = [line for line in lines if line.startswith(b"data:")]
        ids = event_ids(self.response)
        texts = [f"data: {self.attempt} {number}".encode() for number in ids]
        return ids == list(range(1, len(ids) + 1)) and given == texts

    @property
    def is_whole(self) -> bool:
        """Whether the caller got its own response in full."""
        return (
            self.response.status == 200
            and self.response.is_complete
            and self.is_right
            and (not self.is_stream or len(event_ids(self.response)) == EVENTS)
        )

    @property
    def is_broken_off(self) -> bool:
        """Whether the response had begun and the caller saw it end too early."""
        return self.response.status == 200 and not self.response.is_complete

    @property
    def is_refused(self) -> bool:
        """Whether the request was not answered, and the caller was told so."""
        if self.response.status == 503:
            return float(self.response.headers.get("retry-after", 0)) > 0
        return self.response.status == 502


class Callers:
    """Callers that send requests to the instances in turn.

    :ivar outcomes: what the callers of the requests that have ended saw.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.outcomes: list[Outcome] = []
        self._counts: dict[str, int] = {}
        self._threads: list[threading.Thread] = []

    def send(self, source: Source) -> None:
        """Send the next request of a source; its attempt is named ``KIND-NUMBER``."""
        number = self._counts.get(source.kind, 0)
        self._counts[source.kind] = number + 1
        instances = self.fleet.instances
        entry = instances[number % len(instances)]
        thread = threading.Thread(target=self._call, args=(entry, source, number))
        self._threads.append(thread)
        thread.start()

    def _call(self, entry, source: Source, number: int) -> None:
        at = time.time()
        attempt = f"{source.kind}-{number}"
        arguments = source.make(number)
        is_stream = "tokens" in arguments
        response = call(entry, attempt=attempt, **arguments)
        self.outcomes.append(
            Outcome(attempt, source.kind, source.is_bad, is_stream, at, response)
        )

    def run(self, sources: tuple[Source, ...], seconds: float) -> None:
        """Send the requests of some sources."""
        start = time.monotonic()
        due = [
            (index * source.gap_s, position)
            for position, source in enumerate(sources)
            for index in range(int(seconds / source.gap_s))
        ]
        for at_s, position in sorted(due):
            time.sleep(max(0.0, start + at_s - time.monotonic()))
            self.send(sources[position])

    def join(self) -> None:
        """Wait until all requests have ended."""
        for thread in self._threads:
            thread.join()


def make_prompt(*parts: str) -> dict:
    """Return the arguments of `call` for a prompt.

    :param parts: id and tokens of each part.
    """
    tokens = sum(int(part.partition(":")[2]) for part in parts)
    return {
        "path": "/chat/x",
        "tokens": f"{tokens},{EVENTS}",
        "extra_headers": {"X-Prompt-Prefix": ",".join(parts)},
        "body": b"x",  # prompts differ by their parts alone
    }


def whole_ratio(outcomes: list[Outcome], start: float, end: float) -> float:
    """Return the fraction of the sound requests of a time that were whole.

    :raises AssertionError: if there are too few to tell.
    """
    whole = [o.is_whole for o in outcomes if not o.is_bad and start <= o.at < end]
    if len(whole) <= 20:
        raise AssertionError(f"only {len(whole)} sound requests")
    return sum(whole) / len(whole)


def is_refused_for(response: Response, reason: str, content: str = "") -> bool:
    """Return whether a response refuses a content, and says when to send it again.

    :param content: name that the refusal has to mention.
    """
    is_named = reason.encode() in response.body and content.encode() in response.body
    retry_after = float(response.headers.get("retry-after", 0))
    return response.status == 503 and is_named and retry_after > 0

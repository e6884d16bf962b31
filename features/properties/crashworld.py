"""Simulation of several route instances whose engines crash on certain requests."""

from functools import partial

from attrs import define, field

from briarrelay_bench.delegates import DelegatedRequest, delegate, read_reply
from briarrelay_core.outcomes import Failed, NotRun
from briarrelay_core.ports.route import (
    AbortAttempt,
    AbortResponse,
    CallerDisconnected,
    DelegateRequest,
    ForwardRequest,
    RelayEnd,
    RelayFullResponse,
    RelayHead,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    ResponseLost,
    RouteRequest,
    SendErrorResponse,
)
from briarrelay_core.ports.telemetry import LogEvent
from properties.directoryworld import DirectoryWorld
from properties.routeworld import HOST, KEY, make_entry

CLOSED = "connection closed before the response was complete"

DOWN_S = 2.0
"""Seconds after a crash until an engine is back as a new incarnation."""

CRASH_AFTER_S = (0.05, 0.15)
"""Shortest and longest time in seconds from sending a request to its first event."""

PLAIN_ROUTES = ("book", "look")
"""Routes to the plain service."""

PEER_DELAY_S = 0.002
"""Seconds that a message between two instances takes."""

FIRST_DELEGATED_ID = 1_000_000
"""Id at a peer of the first delegated request."""

EVENT_SPACING_S = 0.05
"""Seconds between the events of a response."""


@define(slots=True, eq=False)
class CallerView:
    """What a simulated caller sees of its request.

    :param sent_at: times at which the request was forwarded to an engine.
    :param begun_at: time of the response's head.
    :param outcome: ``done``, ``cut``, or the reason of an error response; empty while
        the request is in progress.
    :param is_not_run: the error response promises that the request did not run.
    :param ended_at: time of the error response.
    :param retry_after_s: what the error response tells the caller to wait.
    """

    request: RouteRequest
    instance: int
    at: float
    sent_at: list[float] = field(factory=list)
    begun_at: float = float("inf")
    outcome: str = ""
    is_not_run: bool = False
    ended_at: float = float("inf")
    retry_after_s: float = 0.0


class CrashWorld(DirectoryWorld):
    """Drives instances whose engines crash when they begin to answer certain requests.

    :param bad_parts: parts of prompts on which an engine crashes.
    :param bad_requests: fingerprints of requests on which any server crashes.
    :param event_count: number of events of a response.
    :param events_before_crash: events that an engine writes before it crashes.
    :param plain_count: number of servers of the plain service.
    :ivar views: what callers see, by request id.
    :ivar crashes: time and engine of each crash.
    :ivar delegated: requests of instances to peers, by the id that they have there.
    """

    def __init__(
        self,
        instance_count: int,
        server_count: int,
        seed: int = 0,
        bad_parts: tuple[str, ...] = (),
        event_count: int = 4,
        bad_requests: tuple[str, ...] = (),
        plain_count: int = 0,
        events_before_crash: int = 0,
    ):
        self.events_before_crash = events_before_crash
        self.bad_parts = set(bad_parts)
        self.bad_requests = set(bad_requests)
        self.event_count = event_count
        self.views: dict[int, CallerView] = {}
        self.crashes: list[tuple[float, str]] = []
        self.logs: list[tuple[float, int, LogEvent]] = []
        self.delegated: dict[int, DelegatedRequest] = {}
        self._delegated_views: dict[int, CallerView] = {}
        self._attempts: dict[tuple[int, int], tuple[str, CallerView]] = {}
        self._down: set[str] = set()
        super().__init__(instance_count, server_count, seed)
        for n in range(server_count):
            self.update(f"engine-{n}", data_centre="abc"[n % 3], born=1.0)
        for n in range(plain_count):
            entry = make_entry(f"desk-{n}", "desk", data_centre="abc"[n % 3])
            self.register(entry)

    # Callers

    def send(
        self,
        n: int,
        parts: tuple[str, ...],
        route: str = "chat",
        fingerprint: str = "",
        prompt_tokens: int = 5_000,
    ) -> CallerView:
        """Deliver a request to an instance, a prompt unless its service is plain."""
        request_id = len(self.views) + 1
        is_prompt = route not in PLAIN_ROUTES
        request = RouteRequest(
            request_id=request_id,
            caller_request_id=f"attempt-{request_id}",
            host=HOST,
            path=f"/{route}/x",
            key=KEY,
            time_limit_s=8.0,
            prompt_tokens=prompt_tokens if is_prompt else 0,
            output_tokens=500 if is_prompt else 0,
            prompt_parts=parts,
            fingerprint=fingerprint or f"{request_id}",
        )
        view = CallerView(request, n, self.now)
        self.views[request_id] = view
        self.deliver(n, request)
        return view

    def forwarded(self, content: str, since: float) -> list[float]:
        """Return the times from `since` at which requests with a content were sent.

        :param content: a part of prompts, or the fingerprint of a request.
        """
        return sorted(
            at
            for view in self.views.values()
            if content in (*view.request.prompt_parts, view.request.fingerprint)
            for at in view.sent_at
            if at > since
        )

    def events_logged(self, event: str) -> list[tuple[float, int, dict]]:
        """Return time, instance and fields of the log lines of an event."""
        return [
            (at, n, dict(line.fields))
            for at, n, line in self.logs
            if line.event == event
        ]

    # Engines

    def crash(self, engine: str) -> None:
        """Let an engine close its connections; it is back after `DOWN_S`."""
        if engine in self._down:
            return
        self._down.add(engine)
        self.crashes.append((self.now, engine))
        for key, (server, _) in list(self._attempts.items()):
            if server == engine:
                del self._attempts[key]
                lost = ResponseLost(key[1], True, CLOSED, is_closed=True)
                self.schedule(0.001, partial(self.deliver, key[0], lost))
        self.schedule(DOWN_S, partial(self._return, engine))

    def _return(self, engine: str) -> None:
        self._down.discard(engine)
        self.update(engine, born=self.now)

    def run_effects(self, n: int, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, DelegateRequest):
                self._delegate(n, effect)
            elif isinstance(effect, AbortAttempt):
                self._abort_delegated(n, effect.attempt_id)
            if isinstance(effect, ForwardRequest):
                self._forward(n, effect)
            elif getattr(effect, "request_id", None) in self.delegated:
                self._pass_back(effect)
            elif isinstance(effect, AbortAttempt):
                self._attempts.pop((n, effect.attempt_id), None)
            elif isinstance(effect, RelayHead):
                self.views[effect.request_id].begun_at = self.now
            elif isinstance(effect, (RelayEnd, RelayFullResponse)):
                self.views[effect.request_id].outcome = "done"
            elif isinstance(effect, AbortResponse):
                self.views[effect.request_id].outcome = "cut"
            elif isinstance(effect, SendErrorResponse):
                view = self.views[effect.request_id]
                view.outcome = effect.outcome.reason.value
                view.is_not_run = isinstance(effect.outcome, NotRun)
                view.ended_at = self.now
                view.retry_after_s = getattr(effect.outcome, "retry_after", 0.0)
                assert view.is_not_run or isinstance(effect.outcome, Failed)
            elif isinstance(effect, LogEvent):
                self.logs.append((self.now, n, effect))
        super().run_effects(n, effects)

    def _forward(self, n: int, effect: ForwardRequest) -> None:
        if effect.server in self._down:
            lost = ResponseLost(
                effect.attempt_id, False, "connecting failed: ECONNREFUSED"
            )
            self.schedule(0.001, partial(self.deliver, n, lost))
            return
        view = self._delegated_views.get(effect.request_id)
        view = view or self.views[effect.request_id]
        view.sent_at.append(self.now)
        self._attempts[n, effect.attempt_id] = (effect.server, view)
        self.schedule(
            self.random.uniform(*CRASH_AFTER_S),
            partial(self._write, n, effect.attempt_id, 1),
        )

    def _delegate(self, n: int, effect: DelegateRequest) -> None:
        peer = self.index_by_host[effect.host]
        view = self.views[effect.request_id]
        request_id = FIRST_DELEGATED_ID + len(self.delegated)
        delegated = delegate(effect, view.request, n, peer, request_id)
        self.delegated[request_id] = delegated
        self._delegated_views[request_id] = view
        self.schedule(PEER_DELAY_S, partial(self.deliver, peer, delegated.request))

    def _abort_delegated(self, n: int, attempt_id: int) -> None:
        for request_id, delegated in self.delegated.items():
            if (delegated.origin, delegated.attempt_id) == (n, attempt_id):
                gone = CallerDisconnected(request_id)
                self.schedule(PEER_DELAY_S, partial(self.deliver, delegated.peer, gone))

    def _pass_back(self, effect) -> None:
        """Deliver what a peer relays for a delegated request to the instance."""
        delegated = self.delegated[effect.request_id]
        for message in read_reply(effect, delegated):
            self.schedule(
                PEER_DELAY_S, partial(self.deliver, delegated.origin, message)
            )

    def _write(self, n: int, attempt_id: int, number: int) -> None:
        """Let an engine write one event of a response, or crash instead."""
        if (n, attempt_id) not in self._attempts:
            return
        engine, view = self._attempts[n, attempt_id]
        is_bad = view.request.fingerprint in self.bad_requests
        is_bad = is_bad or self.bad_parts & set(view.request.prompt_parts)
        is_plain = view.request.path.split("/")[1] in PLAIN_ROUTES
        if is_bad and (is_plain or number > self.events_before_crash):
            self.crash(engine)
            return
        if is_plain:
            self._complete(n, attempt_id)
            return
        if number == 1:
            self.deliver(n, self.make_head(attempt_id, engine, is_stream=True))
        if number > self.event_count:
            self._finish(n, attempt_id)
            return
        self.deliver(n, ResponseEvent(attempt_id, str(number), b"x"))
        self.schedule(EVENT_SPACING_S, partial(self._write, n, attempt_id, number + 1))

    def make_head(self, attempt_id: int, server: str, **fields) -> ResponseHead:
        """Return the head of a server's response."""
        return ResponseHead(
            attempt_id=attempt_id, kind=ResponseKind.SUCCESS, status=200, **fields
        )

    def _complete(self, n: int, attempt_id: int) -> None:
        """Let a server of the plain service send its response."""
        server, _ = self._attempts[n, attempt_id]
        self.deliver(n, self.make_head(attempt_id, server))
        self._finish(n, attempt_id)

    def _finish(self, n: int, attempt_id: int) -> None:
        del self._attempts[n, attempt_id]
        self.deliver(n, ResponseComplete(attempt_id))


def make_part(number: int) -> str:
    """Return the id of a part of a prompt."""
    return f"{number:016x}"

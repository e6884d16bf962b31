"""Stateful test that each admitted request ends once, in time, whatever changes."""

import unittest
from collections import Counter

from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.control import DrainRequested, ExitProcess, ProcessResumed
from briarrelay_core.ports.directory import ServerState, Topic, TopicChange
from briarrelay_core.ports.memory import (
    Release,
    ReleaseResponse,
    Reserve,
    ReserveResponse,
)
from briarrelay_core.ports.route import (
    AbortAttempt,
    AbortResponse,
    CallerDisconnected,
    ForwardRequest,
    RelayEnd,
    RelayEvent,
    RelayFullResponse,
    RelayHead,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    ResponseLost,
    SendErrorResponse,
)
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.model import KeyHolder
from briarrelay_core.routes.requeststate import RoutedRequest
from briarrelay_core.routes.waiting import caller_timeout_s
from properties.routeworld import KEY, RouteWorld, make_configuration, make_entry

FINAL_EFFECTS = (RelayEnd, RelayFullResponse, AbortResponse, SendErrorResponse)

STREAMS = ("chat", "file", "once")

END_SLACK_S = 0.25
"""Seconds after its deadline by which a request has ended: 0.1 s in which the server's
response is still awaited, and a check each 0.1 s."""

HOLD_S = 0.4
"""Seconds for which a request may be held after a suspension."""

STEP_S = 0.05

NOT_RUN_KINDS = (ResponseKind.NOT_RUN, ResponseKind.OTHER_SERVER)


class _RequestLog:
    """What happened to one request.

    :ivar ends_by: time by which it has ended.
    :ivar routed: its state in the core once it has been sent, None before.
    :ivar last_event_at: time at which its caller got the last event.
    :ivar live_attempt: attempt that has been sent and has not ended, None if there is
        none.
    :ivar possible_runs: attempts after which it may have run.
    """

    def __init__(self, route: str, ends_by: float):
        self.route = route
        self.ends_by = ends_by
        self.live_attempt: int | None = None
        self.possible_runs: set[int] = set()
        self.events: list[int] = []
        self.final: object = None
        self.routed: RoutedRequest | None = None
        self.last_event_at = 0.0
        self.is_begun = False
        self.is_gone = False

    @property
    def is_over(self) -> bool:
        return self.final is not None or self.is_gone


class RequestEndMachine(RuleBasedStateMachine):
    """Requests, changes, silence, losses, refusals, grants, denials and a stop.

    :ivar logs: what happened to each request, by its id.
    :ivar sends: forwarded requests whose connection is open, by attempt id; also those
        that were aborted, since their messages may be on the way.
    :ivar next_events: id of the next event of each attempt.
    :ivar reserves: orders to reserve memory without an answer.
    :ivar releases: orders to release memory without an answer.
    """

    def __init__(self):
        super().__init__()
        self.logs: dict[int, _RequestLog] = {}
        self.sends: dict[int, ForwardRequest] = {}
        self.next_events: dict[int, int] = {}
        self.reserves: list[Reserve] = []
        self.releases: list[Release] = []
        self.version = 1
        self.births = Counter()
        self.has_exited = False

    @initialize(engines=st.sampled_from([1, 2, 3, 8]))
    def start(self, engines):
        self.world = RouteWorld(engines=engines)
        self.controller = self.world.instance.controller

    # Effects

    def apply(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, ForwardRequest):
                self.on_forward(effect)
            elif isinstance(effect, AbortAttempt):
                self.on_attempt_end(effect.attempt_id)
            elif isinstance(effect, Reserve):
                self.reserves.append(effect)
            elif isinstance(effect, Release):
                self.releases.append(effect)
            elif isinstance(effect, RelayHead):
                self.logs[effect.request_id].is_begun = True
                self.logs[effect.request_id].last_event_at = self.world.now
            elif isinstance(effect, RelayEvent):
                self.logs[effect.request_id].events.append(int(effect.data))
                self.logs[effect.request_id].last_event_at = self.world.now
            elif isinstance(effect, FINAL_EFFECTS):
                self.on_final(effect)
        # The process ends some time after these effects.
        if any(isinstance(effect, ExitProcess) for effect in effects):
            self.on_exit()

    def on_forward(self, effect: ForwardRequest) -> None:
        log = self.logs[effect.request_id]
        log.routed = self.controller.requests[effect.request_id]
        route = log.routed.route
        assert not log.is_over, "sent after its end"
        assert log.live_attempt is None, "two attempts at a time"
        assert route.is_repeatable or not log.possible_runs, "may run twice"
        assert len(log.possible_runs) < route.attempts, "more runs than attempts"
        log.live_attempt = effect.attempt_id
        log.possible_runs.add(effect.attempt_id)
        self.sends[effect.attempt_id] = effect
        self.next_events[effect.attempt_id] = int(effect.resume_after or 0) + 1

    def on_attempt_end(self, attempt_id: int) -> None:
        for log in self.logs.values():
            if log.live_attempt == attempt_id:
                log.live_attempt = None

    def on_final(self, effect) -> None:
        log = self.logs[effect.request_id]
        assert not log.is_over, "a second end"
        assert self.world.now <= log.ends_by, "ended too late"
        log.final = effect
        if isinstance(effect, SendErrorResponse):
            assert not log.is_begun, "an error response within a stream"
            if isinstance(effect.outcome, NotRun):
                assert not log.possible_runs, "reported as not run"
        if isinstance(effect, AbortResponse):
            assert log.is_begun, "cut before it began"
            assert self.may_be_cut(log), "cut though it might have gone on"

    def may_be_cut(self, log: _RequestLog) -> bool:
        """Return whether a begun stream can't run again while its caller waits."""
        route = log.routed.route
        if not route.is_repeatable or len(log.possible_runs) >= route.attempts:
            return True
        leaves_at = log.last_event_at + caller_timeout_s(log.routed)
        return self.world.now >= min(leaves_at, log.routed.deadline - 0.05)

    def on_exit(self) -> None:
        self.has_exited = True
        for number, log in self.logs.items():
            assert log.is_over or log.is_begun, f"request {number} was not answered"

    # Callers

    @rule(
        route=st.sampled_from(["chat", "file", "file", "once", "book", "look"]),
        time_limit_s=st.sampled_from([0.5, 3.0, 15.0]),
        tokens=st.sampled_from([5_000, 600_000, 900_000]),
    )
    def send_request(self, route, time_limit_s, tokens):
        if self.has_exited:
            return
        number = len(self.logs) + 1
        ends_by = self.world.now + time_limit_s + END_SLACK_S + HOLD_S
        self.logs[number] = _RequestLog(route, ends_by)
        changes = {"prompt_tokens": tokens} if route == "file" else {}
        self.apply(self.world.request(route, time_limit_s=time_limit_s, **changes))
        routed = self.controller.requests.get(number)
        if routed is not None:
            assert routed.deadline <= self.world.now + time_limit_s
            self.logs[number].ends_by = routed.deadline + END_SLACK_S

    @rule(
        route=st.sampled_from(["chat", "file", "file"]),
        tokens=st.sampled_from([600_000, 900_000]),
    )
    def begin_stream(self, route, tokens):
        """Send a request, and let its engines grant memory and begin to answer."""
        known = set(self.sends)
        self.send_request(route, 15.0, tokens)
        if self.has_exited:
            return
        self.answer_all_reserves(True)
        for attempt_id in self.sends.keys() - known:
            if self.sends[attempt_id].request_id == len(self.logs):
                self.send_event(attempt_id)

    @precondition(lambda self: self.logs and not self.has_exited)
    @rule(data=st.data())
    def leave(self, data):
        number = data.draw(st.sampled_from(sorted(self.logs)))
        if not self.logs[number].is_over:
            self.logs[number].is_gone = True
            self.apply(self.world.deliver(CallerDisconnected(number)))

    # Servers

    def draw_send(self, data) -> int:
        return data.draw(st.sampled_from(sorted(self.sends)))

    def mark_not_run(self, attempt_id: int) -> None:
        """Record an answer that proves it; none is heard for an aborted attempt."""
        log = self.logs[self.sends[attempt_id].request_id]
        if log.live_attempt == attempt_id:
            log.possible_runs.discard(attempt_id)

    @precondition(lambda self: self.sends and not self.has_exited)
    @rule(data=st.data())
    def go_on(self, data):
        """Let a server send the head, and an event if it is a stream."""
        self.send_event(self.draw_send(data))

    def send_event(self, attempt_id: int) -> None:
        log = self.logs[self.sends[attempt_id].request_id]
        is_stream = log.route in STREAMS
        head = ResponseHead(
            attempt_id=attempt_id,
            kind=ResponseKind.SUCCESS,
            status=200,
            is_stream=is_stream,
        )
        self.apply(self.world.deliver(head))
        if is_stream:
            number = self.next_events[attempt_id]
            self.next_events[attempt_id] += 1
            event = ResponseEvent(attempt_id, str(number), str(number).encode())
            self.apply(self.world.deliver(event))

    @precondition(lambda self: self.sends and not self.has_exited)
    @rule(data=st.data())
    def complete(self, data):
        attempt_id = self.draw_send(data)
        del self.sends[attempt_id]
        self.on_attempt_end(attempt_id)
        self.apply(self.world.deliver(ResponseComplete(attempt_id)))

    @precondition(lambda self: self.sends and not self.has_exited)
    @rule(
        data=st.data(),
        kind=st.sampled_from([k for k in ResponseKind if k != ResponseKind.SUCCESS]),
        pause_s=st.sampled_from([0.0, 0.0, 2.0]),
    )
    def refuse(self, data, kind, pause_s):
        attempt_id = self.draw_send(data)
        if kind in NOT_RUN_KINDS:
            if self.next_events[attempt_id] > 1:
                return
            self.mark_not_run(attempt_id)
        status = 500 if kind is ResponseKind.FAILURE else 503
        head = ResponseHead(
            attempt_id=attempt_id, kind=kind, status=status, pause_s=pause_s
        )
        is_failure = kind is ResponseKind.FAILURE
        if not is_failure:
            del self.sends[attempt_id]
            self.on_attempt_end(attempt_id)
        self.apply(self.world.deliver(head))

    @precondition(lambda self: self.sends and not self.has_exited)
    @rule(count=st.integers(1, 8))
    def refuse_all(self, count):
        """Let servers refuse what is sent to them several times in a row."""
        for _ in range(count):
            fresh = [i for i in self.sends if self.next_events[i] == 1]
            for attempt_id in fresh:
                self.mark_not_run(attempt_id)
                del self.sends[attempt_id]
                self.on_attempt_end(attempt_id)
                kind = ResponseKind.NOT_RUN
                head = ResponseHead(attempt_id=attempt_id, kind=kind, status=503)
                self.apply(self.world.deliver(head))
            self.advance(0.1)
            if self.has_exited:
                return

    @precondition(lambda self: self.sends and not self.has_exited)
    @rule(data=st.data(), is_sent=st.booleans(), is_closed=st.booleans())
    def lose(self, data, is_sent, is_closed):
        attempt_id = self.draw_send(data)
        if not is_sent:
            if self.next_events[attempt_id] > 1:
                return
            self.mark_not_run(attempt_id)
        del self.sends[attempt_id]
        self.on_attempt_end(attempt_id)
        lost = ResponseLost(attempt_id, is_sent, "lost", is_closed)
        self.apply(self.world.deliver(lost))

    @precondition(lambda self: self.reserves and not self.has_exited)
    @rule(is_granted=st.sampled_from([True, True, True, False, None]))
    def answer_all_reserves(self, is_granted):
        reserves, self.reserves = self.reserves, []
        for reserve in reserves:
            message = ReserveResponse(reserve.reservation_id, is_granted)
            self.apply(self.world.deliver(message))

    @precondition(lambda self: self.reserves and not self.has_exited)
    @rule(data=st.data(), is_granted=st.sampled_from([True, False, None]))
    def answer_one_reserve(self, data, is_granted):
        index = data.draw(st.integers(0, len(self.reserves) - 1))
        reserve = self.reserves.pop(index)
        message = ReserveResponse(reserve.reservation_id, is_granted)
        self.apply(self.world.deliver(message))

    @precondition(lambda self: self.releases and not self.has_exited)
    @rule(is_done=st.booleans())
    def answer_releases(self, is_done):
        releases, self.releases = self.releases, []
        for release in releases:
            message = ReleaseResponse(release.reservation_id, is_done)
            self.apply(self.world.deliver(message))

    # Changes

    @rule(
        routes=st.sets(st.sampled_from(["chat", "file", "once", "book", "look"])),
        services=st.sets(st.sampled_from(["llm", "desk"])),
        timeout_s=st.sampled_from([0.05, 1.0, 10.0, 15.0]),
        attempts=st.integers(1, 3),
        key=st.sampled_from([KEY, KEY, KEY, "key-2", ""]),
        body_bytes=st.sampled_from([1, 4_194_304]),
    )
    def change_configuration(
        self, routes, services, timeout_s, attempts, key, body_bytes
    ):
        if self.has_exited:
            return
        base = make_configuration()
        self.version += 1
        changed = evolve(
            base,
            version=self.version,
            routes=tuple(
                evolve(
                    route,
                    timeout_s=timeout_s,
                    attempts=1 if route.name == "book" else attempts,
                    target_latency_s=min(route.target_latency_s, timeout_s),
                )
                for route in base.routes
                if route.name in routes
            ),
            services={name: base.services[name] for name in services},
            limits=evolve(base.limits, body_bytes=body_bytes, idle_s=0.1),
            holders=(KeyHolder(name="owners", keys=(key,)),) if key else (),
        )
        change = TopicChange("config", changed)
        self.apply(self.world.deliver_changes(Topic.CONFIGURATION, change))

    @rule(ratio=st.sampled_from([0.0, 1.0]))
    def change_retry_budget(self, ratio):
        limits = RetryLimits(ratio=ratio, slack=100.0 * ratio)
        self.controller.budget.limits = limits

    @rule(
        number=st.sampled_from([1, 1, 2, 2, 3, 8, 9]),
        change=st.sampled_from(["gone", "leaving", "renewed", "restarted"]),
    )
    def change_engine(self, number, change):
        if self.has_exited:
            return
        name = f"engine-{number}"
        entry = make_entry(name, "llm", born=1.0 + self.births[name])
        if change == "gone":
            entry = None
        elif change == "leaving":
            entry = evolve(entry, state=ServerState.DRAINING)
        elif change == "restarted":
            self.births[name] += 1
            entry = evolve(entry, born=1.0 + self.births[name])
        message = TopicChange(name, entry)
        self.apply(self.world.deliver_changes(Topic.SERVERS, message))

    @rule(suspended_s=st.sampled_from([0.5, 2.0]))
    def resume_process(self, suspended_s):
        if not self.has_exited:
            self.apply(self.world.deliver(ProcessResumed(suspended_s)))

    # Rare, since few rules do anything after it.
    @rule(chance=st.integers(0, 4))
    def stop(self, chance):
        if not chance and not self.has_exited:
            self.apply(self.world.deliver(DrainRequested()))

    # Time

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.2, 2.6, 6.0]))
    def advance_time(self, seconds):
        self.advance(seconds)

    @rule(is_granted=st.sampled_from([True, True, False]))
    def be_silent(self, is_granted):
        """Let streams be silent until they may move, then answer for their memory."""
        self.answer_all_reserves(True)
        for _ in range(6):
            self.advance(0.5)
            if not self.has_exited:
                self.answer_all_reserves(is_granted)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            if self.has_exited:
                return
            self.apply(self.world.advance(STEP_S))
            for number, log in self.logs.items():
                is_late = self.world.now > log.ends_by
                assert log.is_over or not is_late, f"request {number} did not end"

    # State

    @invariant()
    def events_are_contiguous(self):
        for log in self.logs.values():
            assert log.events == list(range(1, len(log.events) + 1))

    @invariant()
    def attempts_belong_to_requests(self):
        """Load and memory are held for attempts of requests in progress only."""
        attempt_ids = set()
        for number, routed in self.controller.requests.items():
            assert not self.logs[number].is_over
            active, prepared = routed.active_attempt, routed.prepared_attempt
            if active is not None:
                assert self.controller.attempts[active.attempt_id] is routed
                attempt_ids.add(active.attempt_id)
            if prepared is not None:
                assert active is not None and active.is_sent
                attempt_ids.add(prepared.attempt_id)
        reserved = {int(i.split("-")[-2]) for i in self.world.open_reservations}
        assert reserved <= attempt_ids
        assert self.controller.attempts.keys() <= attempt_ids
        assert self.controller.load._by_attempt.keys() <= attempt_ids

    def teardown(self):
        self.advance(30.0)
        if self.has_exited:
            return
        for number, log in self.logs.items():
            assert log.is_over, f"request {number} did not end"
        self.attempts_belong_to_requests()
        assert not self.controller.requests
        assert not self.world.open_reservations


RequestEndTest = RequestEndMachine.TestCase
RequestEndTest.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None
)


if __name__ == "__main__":
    unittest.main()

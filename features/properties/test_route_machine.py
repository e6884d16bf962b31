"""Stateful test of the guarantees to callers under any order of events."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.directory import ServerState, Topic, TopicChange
from briarrelay_core.ports.memory import Reserve, ReserveResponse
from briarrelay_core.ports.route import (
    AbortResponse,
    CallerDisconnected,
    ForwardRequest,
    RelayEnd,
    RelayEvent,
    RelayFullResponse,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    ResponseLost,
    SendErrorResponse,
)
from properties.routeworld import RouteWorld, make_configuration, make_entry

FINAL_EFFECTS = (RelayEnd, RelayFullResponse, AbortResponse, SendErrorResponse)


class _RequestLog:
    """What was sent for one request, and what its caller received."""

    def __init__(self, route: str):
        self.route = route
        self.attempts: list[int] = []
        self.may_have_run: set[int] = set()
        self.events: list[int] = []
        self.final_responses: list = []
        self.has_disconnected = False


class RouteMachine(RuleBasedStateMachine):
    """Events of callers, servers, the store and the clock in any order.

    :ivar request_logs: what happened to each request, by its id.
    :ivar open_sends: forwarded requests whose response has not ended, by send id.
    :ivar request_ids: request id of each send, by send id.
    :ivar next_event_ids: id of the next event of each send, by send id.
    :ivar reserves: memory reservations that have no response yet.
    :ivar draining_servers: servers that have announced that they drain.
    """

    def __init__(self):
        super().__init__()
        self.world = RouteWorld()
        self.request_logs: dict[int, _RequestLog] = {}
        self.open_sends: dict[int, ForwardRequest] = {}
        self.request_ids: dict[int, int] = {}
        self.next_event_ids: dict[int, int] = {}
        self.reserves: list[Reserve] = []
        self.draining_servers: set[str] = set()
        self.version = 1

    def apply_effects(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, ForwardRequest):
                self.on_forward(effect)
            elif isinstance(effect, Reserve):
                self.reserves.append(effect)
            elif isinstance(effect, RelayEvent):
                self.request_logs[effect.request_id].events.append(int(effect.data))
            elif isinstance(effect, FINAL_EFFECTS):
                self.on_final(effect)

    def on_forward(self, effect: ForwardRequest) -> None:
        request = self.request_logs[effect.request_id]
        assert effect.server not in self.draining_servers, (
            "request forwarded to a draining server"
        )
        assert not request.has_disconnected, (
            "request forwarded after its caller disconnected"
        )
        if request.route in ("book", "once"):
            assert not request.may_have_run, (
                "non-repeatable request that may have run was forwarded again"
            )
        assert len(request.may_have_run) < 2, (
            "more possible runs than attempts of the route"
        )
        request.attempts.append(effect.attempt_id)
        request.may_have_run.add(effect.attempt_id)
        self.open_sends[effect.attempt_id] = effect
        self.request_ids[effect.attempt_id] = effect.request_id
        self.next_event_ids[effect.attempt_id] = int(effect.resume_after or 0) + 1

    def on_final(self, effect) -> None:
        request = self.request_logs[effect.request_id]
        request.final_responses.append(effect)
        assert len(request.final_responses) == 1, "more than one final response"
        assert not request.has_disconnected
        if isinstance(effect, SendErrorResponse) and isinstance(effect.outcome, NotRun):
            assert not request.may_have_run, (
                "reported as not run although it may have run"
            )

    def close_send(self, attempt_id: int, has_not_run: bool = False) -> ForwardRequest:
        forward = self.open_sends.pop(attempt_id)
        if has_not_run:
            self.request_logs[forward.request_id].may_have_run.discard(attempt_id)
        return forward

    def draw_key(self, data, items):
        return data.draw(st.sampled_from(sorted(items)))

    @rule(route=st.sampled_from(["chat", "file", "once", "book", "look"]))
    def send_request(self, route):
        number = len(self.request_logs) + 1
        self.request_logs[number] = _RequestLog(route)
        tokens = 700_000 if route == "file" else 5_000
        changes = {} if route in ("book", "look") else {"prompt_tokens": tokens}
        self.apply_effects(self.world.request(route, **changes))

    @precondition(lambda self: self.reserves)
    @rule(data=st.data(), is_granted=st.sampled_from([True, True, True, False, None]))
    def respond_to_reserve(self, data, is_granted):
        index = data.draw(st.integers(0, len(self.reserves) - 1))
        effect = self.reserves.pop(index)
        self.apply_effects(
            self.world.deliver(ReserveResponse(effect.reservation_id, is_granted))
        )

    @precondition(lambda self: self.open_sends)
    @rule(data=st.data(), kind=st.sampled_from(ResponseKind))
    def deliver_head(self, data, kind):
        attempt_id = self.draw_key(data, self.open_sends)
        if kind in (ResponseKind.NOT_RUN, ResponseKind.OTHER_SERVER):
            self.close_send(attempt_id, has_not_run=True)
        status = {ResponseKind.SUCCESS: 200, ResponseKind.FAILURE: 500}.get(kind, 503)
        route = self.request_logs[self.request_ids[attempt_id]].route
        is_stream = route in ("chat", "file", "once")
        message = ResponseHead(
            attempt_id=attempt_id, kind=kind, status=status, is_stream=is_stream
        )
        self.apply_effects(self.world.deliver(message))
        if kind is ResponseKind.UNPROVEN:
            self.open_sends.pop(attempt_id, None)

    @precondition(lambda self: self.open_sends)
    @rule(data=st.data())
    def deliver_event(self, data):
        attempt_id = self.draw_key(data, self.open_sends)
        if self.request_logs[self.open_sends[attempt_id].request_id].route in (
            "book",
            "look",
        ):
            return
        number = self.next_event_ids[attempt_id]
        self.next_event_ids[attempt_id] += 1
        event = ResponseEvent(attempt_id, str(number), str(number).encode())
        self.apply_effects(self.world.deliver(event))

    @precondition(lambda self: self.open_sends)
    @rule(data=st.data())
    def complete_response(self, data):
        attempt_id = self.draw_key(data, self.open_sends)
        self.open_sends.pop(attempt_id)
        self.apply_effects(self.world.deliver(ResponseComplete(attempt_id)))

    @precondition(lambda self: self.open_sends)
    @rule(data=st.data(), is_sent=st.booleans())
    def lose_response(self, data, is_sent):
        attempt_id = self.draw_key(data, self.open_sends)
        self.close_send(attempt_id, has_not_run=not is_sent)
        self.apply_effects(self.world.deliver(ResponseLost(attempt_id, is_sent)))

    @precondition(lambda self: self.request_logs)
    @rule(data=st.data())
    def disconnect_caller(self, data):
        number = self.draw_key(data, self.request_logs)
        request = self.request_logs[number]
        if request.final_responses or request.has_disconnected:
            return
        request.has_disconnected = True
        self.apply_effects(self.world.deliver(CallerDisconnected(number)))

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 2.0, 6.0]))
    def advance_time(self, seconds):
        self.apply_effects(self.world.advance(seconds))

    @rule(number=st.integers(1, 3))
    def drain_server(self, number):
        name = f"engine-{number}"
        entry = make_entry(name, "llm", state=ServerState.DRAINING)
        self.draining_servers.add(name)
        self.apply_effects(
            self.world.deliver_changes(Topic.SERVERS, TopicChange(name, entry))
        )

    @rule(number=st.integers(1, 3))
    def deliver_late_heartbeat(self, number):
        """Deliver an entry that was written before the server began to drain."""
        entry = make_entry(f"engine-{number}", "llm")
        change = TopicChange(entry.name, entry)
        self.apply_effects(self.world.deliver_changes(Topic.SERVERS, change))

    @rule(step=st.integers(-2, 2))
    def publish_configuration(self, step):
        version = self.version + step
        change = TopicChange("config", make_configuration(version))
        self.apply_effects(self.world.deliver_changes(Topic.CONFIGURATION, change))
        self.version = max(self.version, version)

    @invariant()
    def version_never_decreases(self):
        assert (
            self.world.instance.controller.admission.configuration.version
            == self.version
        )

    @invariant()
    def events_are_contiguous(self):
        for request in self.request_logs.values():
            expected = list(range(1, len(request.events) + 1))
            assert request.events == expected, "an event is missing or was repeated"

    def teardown(self):
        self.apply_effects(self.world.advance(30.0))
        for number, request in self.request_logs.items():
            assert request.has_disconnected or request.final_responses, (
                f"request {number} has no final response"
            )
        route_controller = self.world.instance.controller
        assert not route_controller.requests and not route_controller.attempts
        assert not route_controller.load.own_loads(self.world.now), (
            "load remains after all requests ended"
        )
        assert not self.world.open_reservations, (
            "memory remains reserved after all requests ended"
        )


RouteMachineTest = RouteMachine.TestCase
RouteMachineTest.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


if __name__ == "__main__":
    unittest.main()

"""Stateful test of requests beside planned work, under any order of events.

Planned work is a change of the configuration, the presets or the settings, the removal
of a server's entry, a suspension of the process, and a planned stop.
"""

import unittest
from itertools import product

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, precondition, rule

from briarrelay_core.agreement.configuration import Preset
from briarrelay_core.ports.control import (
    DrainRequested,
    ExitProcess,
    ProcessResumed,
    RouteSettingsChanged,
)
from briarrelay_core.ports.directory import Topic, TopicChange, TopicPolled
from briarrelay_core.ports.memory import ReserveResponse
from briarrelay_core.ports.route import (
    AbortResponse,
    ResponseComplete,
    ResponseEvent,
    ResponseHead,
    ResponseKind,
    ResponseLost,
)
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_core.routes.model import KeyHolder, RouteKind, Service
from briarrelay_core.routes.presets import PresetCollection
from properties.routeworld import make_configuration, make_route
from properties.test_route_machine import RouteMachine

ANSWER_MARGIN_S = 0.25
"""Seconds after its deadline by which a request must be answered."""

GRACE_S = 8.0
KILL_MARGIN_S = 0.6

DEFAULT_ROUTES = make_configuration().routes
SLOW_LIMITS = {"timeout_s": 1.0, "target_latency_s": 0.1, "attempts": 1}
CONFIGURATIONS = (
    {},
    {"routes": DEFAULT_ROUTES[2:4]},
    {"holders": (KeyHolder(name="others", keys=("key-2",)),)},
    {"holders": ()},
    {"services": {"llm": Service(name="llm"), "desk": Service(name="desk")}},
    {
        "routes": (
            make_route("chat", RouteKind.STREAM, "gone", **SLOW_LIMITS),
            make_route("file", RouteKind.STREAM, "llm", **SLOW_LIMITS),
            make_route("once", RouteKind.STREAM, "llm", **SLOW_LIMITS),
            make_route("book", RouteKind.UNSAFE, "desk", **SLOW_LIMITS),
            make_route("look", RouteKind.SAFE, "gone", **SLOW_LIMITS),
        )
    },
)
PRESETS = {
    "strict": Preset(retry_ratio=0.0, accept_long=False, accept_calls=False),
    "usual": Preset(retry_ratio=0.5),
}


class PlannedChangesMachine(RouteMachine):
    """As the machine of routes, with planned work in between.

    :ivar deadlines: deadline of each request that was admitted.
    :ivar failed: requests of which an attempt failed, or got no memory.
    :ivar stopped_at: time of the signal to stop, None without one.
    :ivar has_ended: the process has decided to end.
    """

    def __init__(self):
        super().__init__()
        self.deadlines: dict[int, float] = {}
        self.failed: set[int] = set()
        self.succeeding: set[int] = set()
        self.revision = 0
        self.stopped_at: float | None = None
        self.has_ended = False
        self._deliver = self.world.deliver
        self.world.deliver = self.deliver

    @property
    def core(self):
        return self.world.instance

    def deliver(self, message) -> list:
        """Deliver a message, and note which requests may be cut because of it."""
        if isinstance(message, ResponseHead):
            if message.kind is ResponseKind.SUCCESS:
                self.succeeding.add(message.attempt_id)
            else:
                self.failed.add(self.request_ids[message.attempt_id])
        elif isinstance(message, ResponseLost):
            self.failed.add(self.request_ids[message.attempt_id])
        elif isinstance(message, ResponseComplete):
            if message.attempt_id not in self.succeeding:
                self.failed.add(self.request_ids[message.attempt_id])
        elif isinstance(message, ReserveResponse) and not message.is_granted:
            self.failed.update(self.request_logs)
        effects = self._deliver(message)
        self.note_deadlines()
        return effects

    def note_deadlines(self) -> None:
        for number, routed in self.core.controller.requests.items():
            self.deadlines[number] = routed.deadline

    def apply_effects(self, effects: list) -> None:
        self.note_deadlines()
        super().apply_effects(effects)
        if any(isinstance(effect, ExitProcess) for effect in effects):
            self.has_ended = True
            assert not self.core.resumption._held, "held requests have no answer"
            for number, routed in self.core.controller.requests.items():
                assert routed.is_head_relayed, f"request {number} has no answer"
            elapsed_s = self.world.now - self.stopped_at
            assert (
                not self.core.controller.requests
                or elapsed_s >= GRACE_S - KILL_MARGIN_S
            ), "the process ends before its requests"

    def on_final(self, effect) -> None:
        super().on_final(effect)
        if isinstance(effect, AbortResponse):
            number = effect.request_id
            assert number in self.failed or self.world.now >= self.deadlines[number], (
                "a response was cut though no server failed"
            )

    def teardown(self):
        self.set_crowded(False)
        super().teardown()

    @rule(route=st.sampled_from(["chat", "chat", "once"]))
    def begin_stream(self, route):
        """Send a request whose stream begins at once."""
        earlier = set(self.open_sends)
        self.send_request(route)
        for attempt_id in set(self.open_sends) - earlier:
            head = ResponseHead(
                attempt_id=attempt_id,
                kind=ResponseKind.SUCCESS,
                status=200,
                is_stream=True,
            )
            self.apply_effects(self.world.deliver(head))
            self.next_event_ids[attempt_id] += 1
            event = ResponseEvent(attempt_id, "1", b"1")
            self.apply_effects(self.world.deliver(event))

    @rule(is_crowded=st.booleans())
    def set_crowded(self, is_crowded):
        """Fill all engines with the requests of others, or free them."""
        load = self.core.controller.load
        for number, slot in product(range(1, 4), range(8)):
            name = f"crowd-{number}-{slot}"
            load.remove(name)
            if is_crowded:
                load.add(name, f"engine-{number}", self.world.now)

    @rule()
    def let_servers_be_silent(self):
        """Let engines be silent for longer than their streams usually are."""
        self.apply_effects(self.world.advance(1.4))

    @rule(changes=st.sampled_from(CONFIGURATIONS))
    def change_configuration(self, changes):
        self.version += 1
        change = TopicChange("config", make_configuration(self.version, **changes))
        self.apply_effects(
            self.world.deliver_changes(Topic.CONFIGURATION, change),
        )

    @rule(active=st.sampled_from(["", *PRESETS]))
    def change_presets(self, active):
        self.revision += 1
        collection = PresetCollection(
            revision=self.revision, presets=PRESETS, active=active
        )
        change = TopicChange("presets", collection)
        self.apply_effects(self.world.deliver_changes(Topic.PRESETS, change))

    @rule(slack=st.sampled_from([0.0, 100.0]))
    def change_settings(self, slack):
        message = RouteSettingsChanged(
            repeats=RetryLimits(ratio=0.0, slack=slack), grace_s=GRACE_S, seeds=()
        )
        self.apply_effects(self.world.deliver(message))

    @rule(name=st.sampled_from(["engine-1", "engine-2", "desk-1", "desk-2"]))
    def remove_server(self, name):
        change = TopicChange(name, None)
        self.apply_effects(self.world.deliver_changes(Topic.SERVERS, change))

    @rule(seconds=st.sampled_from([0.5, 3.0]), is_noticed=st.booleans())
    def suspend(self, seconds, is_noticed):
        """Let the clock go on while nothing runs."""
        self.world.now += seconds
        if is_noticed:
            self.apply_effects(self.world.deliver(ProcessResumed(seconds)))

    @rule(topic=st.sampled_from([Topic.CONFIGURATION, Topic.SERVERS]))
    def confirm_after_suspension(self, topic):
        self.apply_effects(self.world.deliver(TopicPolled(topic, ())))

    @precondition(lambda self: self.stopped_at is None)
    @rule()
    def stop(self):
        self.stopped_at = self.world.now
        self.apply_effects(self.world.deliver(DrainRequested()))

    @invariant()
    def each_request_is_answered_in_time_or_in_progress(self):
        held = self.core.resumption._held
        in_progress = self.core.controller.requests
        for number, request in self.request_logs.items():
            if request.final_responses or request.has_disconnected:
                continue
            assert number in held or number in in_progress, (
                f"request {number} is forgotten"
            )


class PrecisePlannedChangesMachine(PlannedChangesMachine):
    """The same with a clock that never jumps, so that deadlines are kept."""

    suspend = None

    @rule(seconds=st.sampled_from([0.3, 3.0]))
    def resume(self, seconds):
        self.apply_effects(self.world.deliver(ProcessResumed(seconds)))

    @invariant()
    def each_request_is_answered_soon_after_its_deadline(self):
        for number in self.core.controller.requests:
            deadline = self.deadlines[number]
            assert self.world.now <= deadline + ANSWER_MARGIN_S, (
                f"request {number} is late"
            )


PlannedChangesTest = PlannedChangesMachine.TestCase
PrecisePlannedChangesTest = PrecisePlannedChangesMachine.TestCase
PlannedChangesTest.settings = PrecisePlannedChangesTest.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None
)


if __name__ == "__main__":
    unittest.main()

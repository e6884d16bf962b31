"""Requests in progress while the configuration of their route changes."""

import unittest

from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.directory import Topic, TopicChange
from briarrelay_core.ports.route import (
    AbortResponse,
    RelayEnd,
    RelayFullResponse,
    ResponseComplete,
    ResponseHead,
    ResponseKind,
    SendErrorResponse,
)
from briarrelay_core.routes.model import CallerLimits
from properties.routeworld import (
    RouteWorld,
    make_configuration,
    make_route,
    start_response,
)

PLAIN = ("book", "look")


def changed_routes(**changes) -> tuple:
    """Return all routes of the first configuration, with changes."""
    routes = make_configuration().routes
    return tuple(
        make_route(r.name, r.kind, r.shares[0].service, attempts=r.attempts, **changes)
        for r in routes
    )


CHANGES = {
    "routes dropped": {"routes": ()},
    "timeout lowered": {"routes": changed_routes(timeout_s=0.5)},
    "timeout raised": {"routes": changed_routes(timeout_s=60.0)},
    "keys dropped": {"holders": ()},
    "idle time lowered": {"limits": CallerLimits(idle_s=0.1)},
    "services dropped": {"services": {}},
}


class ChangedRouteTest(unittest.TestCase):
    """Each request that was admitted gets one answer, whatever changes meanwhile."""

    def change(self, world: RouteWorld, changes: dict) -> list:
        configuration = make_configuration(2, **changes)
        return world.deliver_changes(
            Topic.CONFIGURATION, TopicChange("config", configuration)
        )

    def answer(self, world: RouteWorld, attempt_id: int) -> list:
        head = ResponseHead(
            attempt_id=attempt_id, kind=ResponseKind.SUCCESS, status=200
        )
        return world.deliver(head) + world.deliver(ResponseComplete(attempt_id))

    def test_plain_request_gets_the_answer_of_its_server(self):
        for route in PLAIN:
            for name, changes in CHANGES.items():
                with self.subTest(route=route, change=name):
                    world = RouteWorld()
                    (sent,) = world.forwards(world.request(route))
                    effects = self.change(world, changes) + world.advance(0.7)
                    effects += self.answer(world, sent.attempt_id)
                    self.assertEqual(world.of_type(effects, SendErrorResponse), [])
                    answers = world.of_type(effects, RelayFullResponse)
                    self.assertEqual(len(answers), 1)

    def test_waiting_plain_request_is_sent_or_refused(self):
        for route in PLAIN:
            for name, changes in CHANGES.items():
                with self.subTest(route=route, change=name):
                    world = RouteWorld(plain_servers=1)
                    load = world.instance.controller.load
                    for slot in range(16):
                        load.add(f"slot-{slot}", "desk-1", world.now)
                    self.assertEqual(world.forwards(world.request(route)), [])
                    effects = self.change(world, changes) + world.advance(9.0)
                    answers = world.of_type(effects, SendErrorResponse)
                    self.assertEqual([type(a.outcome) for a in answers], [NotRun])

    def test_waiting_plain_request_is_sent_once_a_slot_is_free(self):
        for route in PLAIN:
            for name, changes in CHANGES.items():
                with self.subTest(route=route, change=name):
                    world = RouteWorld(plain_servers=1)
                    load = world.instance.controller.load
                    for slot in range(16):
                        load.add(f"slot-{slot}", "desk-1", world.now)
                    world.request(route)
                    self.change(world, changes)
                    load.remove("slot-0")
                    (sent,) = world.forwards(world.advance(0.2))
                    effects = self.answer(world, sent.attempt_id)
                    answers = world.of_type(effects, RelayFullResponse)
                    self.assertEqual(len(answers), 1)

    def test_stream_goes_on(self):
        for name, changes in CHANGES.items():
            with self.subTest(change=name):
                world = RouteWorld()
                (sent,) = world.forwards(world.request("chat"))
                start_response(world, sent.attempt_id)
                effects = self.change(world, changes) + world.advance(0.7)
                effects += world.deliver(ResponseComplete(sent.attempt_id))
                self.assertEqual(world.of_type(effects, AbortResponse), [])
                self.assertEqual(len(world.of_type(effects, RelayEnd)), 1)

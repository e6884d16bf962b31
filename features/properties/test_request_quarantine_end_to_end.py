"""Whole requests that crash servers, on real processes with stand-ins."""

import time
import unittest

from standins.fleet import CrashRequest, Fleet, Response, call

from properties.crashcallers import (
    MAX_REACHING,
    MIN_WHOLE_RATIO,
    READY_S,
    RELEASE_S,
    SOUND_GAP_S,
    STABILITY_WINDOW_S,
    Callers,
    Source,
    is_refused_for,
    make_prompt,
    whole_ratio,
)
from properties.test_platform_end_to_end import run_ctl

BAD_GAP_S = 0.4

SOUND_ONLY_S = 2.5
"""Seconds of sound requests before the first one on which servers crash."""

MIXED_S = 11.0
"""Seconds during which that one comes again and again as well."""

CRASHES = 3
"""Crashes under one request after which the users' bound begins to count."""

REFUSED = "request_quarantined"

PARTS = ("5c1e07a2:400", "91bd3f06:400")
"""Shared parts of all prompts, sound or not."""

BAD_SLOT = 7

BAD_REQUESTS = {
    "look": CrashRequest(f"/look/slots?day={BAD_SLOT}"),
    "book": CrashRequest("/book/slots", b'{"slot": 7}'),
    "chat": CrashRequest("/chat/x", b'{"text": 7}'),
}
"""By route, the request on which servers crash."""


def make_look(number: int) -> dict:
    """Return a request of the safe route."""
    return {"path": f"/look/slots?day={number}", "method": "GET", "body": b""}


def make_book(number: int) -> dict:
    """Return a request that may not repeat."""
    return {"path": "/book/slots", "body": b'{"slot": %d}' % number}


def make_chat(number: int) -> dict:
    """Return a prompt."""
    prompt = make_prompt(*PARTS, f"{number:08x}:{200 + number}")
    return {**prompt, "body": b'{"text": %d}' % number}


MAKERS = {"look": make_look, "book": make_book, "chat": make_chat}


def make_sources(routes: tuple[str, ...], is_bad: bool) -> tuple[Source, ...]:
    """Return the sound requests of some routes, no two alike, or the bad ones."""
    if is_bad:
        return tuple(
            Source(
                f"bad-{route}",
                BAD_GAP_S,
                lambda _, make=MAKERS[route]: make(BAD_SLOT),
                is_bad=True,
            )
            for route in routes
        )
    return tuple(
        Source(
            f"sound-{route}",
            SOUND_GAP_S,
            lambda number, make=MAKERS[route]: make(BAD_SLOT + 1 + number),
        )
        for route in routes
    )


class Crashing:
    """Four instances, three plain servers, eight engines; a bad request repeats.

    :cvar routes: those whose sound requests are sent, and a bad one of each.
    """

    routes: tuple[str, ...] = ()
    subnet = ""

    @classmethod
    def setUpClass(cls):
        options = {"engines": 8, "plain_servers": 3, "entries": 4}
        sound = make_sources(cls.routes, is_bad=False)
        bad = make_sources(cls.routes, is_bad=True)
        with Fleet(**options, subnet=cls.subnet) as fleet:
            fleet.crash_on(requests=tuple(BAD_REQUESTS[r] for r in cls.routes))
            callers = Callers(fleet)
            callers.run(sound, SOUND_ONLY_S)
            cls.bad_from = time.time()
            callers.run(sound + bad, MIXED_S)
            callers.join()
            crashes = fleet.crashes()
            cls.outcomes = callers.outcomes
            cls.runs = fleet.runs()
        cls.crash_times = {
            route: [c["at"] for c in crashes if c["content"] == request.path]
            for route, request in BAD_REQUESTS.items()
        }

    def third_at(self, route: str) -> float:
        """Return the time of the third crash, or of the last if there were fewer."""
        times = self.crash_times[route][:CRASHES]
        self.assertGreater(len(times), 0, f"no server crashed on {route}")
        return times[-1]

    def of_route(self, route: str, is_bad: bool) -> list:
        """Return what the callers of a route's bad or sound requests saw."""
        kind = f"bad-{route}" if is_bad else f"sound-{route}"
        return [o for o in self.outcomes if o.kind == kind]

    def run_counts(self) -> dict[str, int]:
        """Return how many servers began to run each attempt."""
        counts: dict[str, int] = {}
        for run in self.runs:
            counts[run["attempt"]] = counts.get(run["attempt"], 0) + 1
        return counts

    def test_few_bad_requests_reach_servers_after_the_window(self):
        for route in self.routes:
            since = self.third_at(route) + STABILITY_WINDOW_S
            late = [
                run["attempt"]
                for run in self.runs
                if run["attempt"].startswith(f"bad-{route}-") and run["at"] > since
            ]
            sent = [o for o in self.of_route(route, is_bad=True) if o.at > since]
            with self.subTest(route=route):
                self.assertGreater(len(sent), 10)
                crashes = len(self.crash_times[route])
                seen = f"{len(late)} runs late, {crashes} crashes"
                self.assertLessEqual(len(late), MAX_REACHING, seen)

    def test_sound_requests_are_whole_again_after_twice_the_window(self):
        for route in self.routes:
            sound = self.of_route(route, is_bad=False)
            before = whole_ratio(sound, 0.0, self.bad_from)
            since = self.third_at(route) + 2 * STABILITY_WINDOW_S
            after = whole_ratio(sound, since, float("inf"))
            with self.subTest(route=route):
                self.assertGreaterEqual(after, before / 2, f"before {before:.2f}")
                self.assertGreaterEqual(after, MIN_WHOLE_RATIO, f"before {before:.2f}")

    def test_bad_requests_are_refused_and_told_whether_they_were_sent(self):
        counts = self.run_counts()
        for route in self.routes:
            since = self.third_at(route) + STABILITY_WINDOW_S
            bad = self.of_route(route, is_bad=True)
            unsaid = [o for o in bad if not o.is_refused]
            denied = [
                o for o in bad if o.response.status == 503 and o.attempt in counts
            ]
            unnamed = [
                outcome
                for outcome in bad
                if outcome.at > since
                and outcome.attempt not in counts
                and not is_refused_for(outcome.response, REFUSED, "request:")
            ]
            with self.subTest(route=route):
                self.assertEqual(unsaid, [])
                self.assertEqual(denied, [], "sent, but refused as if they were not")
                self.assertEqual(unnamed, [], "refused without the content's name")

    def test_request_that_may_not_repeat_reaches_one_server(self):
        counts = self.run_counts()
        booked = {a: n for a, n in counts.items() if "-book-" in a}
        self.assertEqual(bool(booked), "book" in self.routes)
        self.assertEqual([a for a, n in booked.items() if n > 1], [])

    def test_no_answer_is_wrong_or_broken_off(self):
        """While servers crash, a stream that loses both attempts may break off."""
        since = max(map(self.third_at, self.routes)) + STABILITY_WINDOW_S
        odd = [
            (outcome.attempt, outcome.response.status, outcome.response.body[:80])
            for outcome in self.outcomes
            if not outcome.is_right
            or not (outcome.is_whole or outcome.is_refused or outcome.is_broken_off)
        ]
        self.assertEqual(odd, [], f"of {len(self.outcomes)}")
        broken_off = [o for o in self.outcomes if o.is_broken_off and o.at > since]
        self.assertEqual(len(broken_off), 0, f"of {len(self.outcomes)}")


class SafeRequestAndPromptTest(Crashing, unittest.TestCase):
    """A safe request of the plain service, and a prompt."""

    routes = ("look", "chat")
    subnet = "1.34"


class UnsafeRequestTest(Crashing, unittest.TestCase):
    """A request of the plain service that may not repeat."""

    routes = ("book",)
    subnet = "1.35"


class StoredQuarantineTest(unittest.TestCase):
    """The quarantine in the store: all instances are killed, an operator releases."""

    def quarantine(self, fleet: Fleet) -> None:
        """Send the bad request until it is refused."""
        fleet.crash_on(requests=(BAD_REQUESTS["book"],))
        for number in range(40):
            entry = fleet.instances[number % len(fleet.instances)]
            if self.is_quarantined(self.send(entry, f"first-{number}")):
                return
            time.sleep(0.2)
        self.fail("the request was not quarantined")

    def send(self, entry, attempt: str, slot: int = BAD_SLOT) -> Response:
        return call(entry, attempt=attempt, **make_book(slot))

    def is_quarantined(self, response: Response, content: str = "") -> bool:
        return is_refused_for(response, REFUSED, content)

    def restored(self, entry) -> bool:
        """Return whether an instance has logged a quarantine since its start."""
        return any(e["event"] == REFUSED for e in entry.log_entries())

    def test_request_is_refused_after_all_instances_were_killed_until_released(self):
        options = {"engines": 1, "plain_servers": 3, "entries": 4}
        with Fleet(**options, subnet="1.36") as fleet:
            self.quarantine(fleet)
            time.sleep(0.5)
            for entry in fleet.instances:
                entry.process.kill()
            for entry in fleet.instances:
                entry.process.wait()
                entry.log.unlink()
            time.sleep(2.0)  # until all servers are back
            store = "--store={}:{}".format(*fleet.store_address)
            code, text = run_ctl(store, "quarantine", "list")
            self.assertEqual(code, 0, text)
            content = text.split()[3]
            self.assertTrue(content.startswith("request:"), text)
            self.assertEqual(text.split()[3::2], [content, "quarantined"])
            runs = len(fleet.runs())
            for entry in fleet.instances:
                fleet.start(entry)
            for entry in fleet.instances:
                fleet.wait(entry.is_ready)
                fleet.wait(lambda entry=entry: self.restored(entry), READY_S)
                response = self.send(entry, f"later-{entry.name}")
                self.assertTrue(self.is_quarantined(response, content), response)
            self.assertEqual(len(fleet.runs()), runs)
            for entry in fleet.instances:
                response = self.send(entry, f"sound-{entry.name}", BAD_SLOT + 1)
                self.assertEqual(response.status, 200)
            self.release(fleet, store, content)

    def release(self, fleet: Fleet, store: str, content: str) -> None:
        """Release the request and wait until each instance sends it again."""
        fleet.crash_on()
        code, text = run_ctl(store, "quarantine", "release", content)
        self.assertEqual(code, 0, text)
        for entry in fleet.instances:
            name = entry.name
            fleet.wait(
                lambda entry=entry, name=name: (
                    self.send(entry, f"released-{name}").status == 200
                ),
                RELEASE_S,
            )
        fleet.wait(lambda: content not in run_ctl(store, "quarantine", "list")[1], 2.0)


if __name__ == "__main__":
    unittest.main()

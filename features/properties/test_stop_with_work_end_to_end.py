"""A planned stop with short and long work, on real processes with stand-ins."""

import signal
import threading
import time
import unittest
from http.client import HTTPConnection, HTTPException

from standins.fleet import VIRTUAL_HOST, EntryInstance, Fleet, configuration

GRACE_S = 4
"""Less than the long work of a request that comes late in it takes."""

BEFORE_S = 4.0
"""Seconds of requests before the stop, some times of each kind of work."""

PROMPT = {"X-Token-Counts": "1000,40", "X-Prompt-Prefix": "5c1e07a2:1000"}
LONG_PROMPT = {"X-Token-Counts": "1000,90", "X-Prompt-Prefix": "5c1e07a2:1000"}

WORK = (
    ("/look/x", {}),
    ("/book/short", {}),
    ("/booklong/x", {}),
    ("/chat/x", PROMPT),
    ("/chat/x", LONG_PROMPT),
)
"""Paths and headers of short and long work. Streams of 90 events last 1.8 s, plain long
work 1.5 s."""


class Caller(threading.Thread):
    """Sends the same request again and again until the instance has ended.

    :param keeps: whether it uses a connection as long as it is open.
    :ivar answers: by id of the request, its status and whether it is complete; status 0
        without a response.
    """

    def __init__(self, entry: EntryInstance, name: str, work: tuple, keeps: bool):
        super().__init__(name=name)
        self.entry = entry
        self.path, self.headers = work
        self.keeps = keeps
        self.answers: dict[str, tuple[int, bool]] = {}
        self._connection: HTTPConnection | None = None

    def run(self) -> None:
        while self.entry.process.poll() is None:
            attempt = f"{self.name}-{len(self.answers)}"
            self.answers[attempt] = self.send(attempt)
            time.sleep(0.02)
        self.close()

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def send(self, attempt: str) -> tuple[int, bool]:
        """Send a request; return the status and whether its response is complete."""
        entry = self.entry
        if self._connection is None:
            self._connection = HTTPConnection(entry.host, entry.front_port, timeout=7)
        headers = {
            "Host": VIRTUAL_HOST,
            "X-Attempt-Id": attempt,
            "X-Request-Deadline": "5500",
            "Authorization": "Bearer key-1",
            **self.headers,
        }
        status = 0
        try:
            self._connection.request("POST", self.path, b"x", headers)
            response = self._connection.getresponse()
            status = response.status
            response.read()
            is_closed = response.will_close
        except (OSError, HTTPException):
            self.close()
            return status, False
        if is_closed or not self.keeps:
            self.close()
        return status, True


class StopWithWorkTest(unittest.TestCase):
    def test_each_request_that_ran_is_answered(self):
        """Requests that came late were passed on, and cut at the end of the grace."""
        with Fleet(engines=6, plain_servers=3, entries=2, subnet="1.62") as fleet:
            version = configuration(2)
            long_route = {**version["routes"][1], "name": "booklong"}
            long_route["path-prefix"] = "/booklong/"
            version["routes"].append(long_route)
            fleet.put("keyed.op", "config", version)
            entry = fleet.instances[0]
            fleet.write_settings(entry, grace=GRACE_S)
            entry.process.send_signal(signal.SIGHUP)
            time.sleep(1.0)
            callers = [
                Caller(entry, f"c{n}-{keeps:d}", work, keeps)
                for n, work in enumerate(WORK)
                for keeps in (False, True)
            ]
            for caller in callers:
                caller.start()
            time.sleep(BEFORE_S)
            stopped_at = time.monotonic()
            entry.process.send_signal(signal.SIGTERM)
            self.assertEqual(0, entry.process.wait(GRACE_S + 2))
            self.assertLess(time.monotonic() - stopped_at, GRACE_S)
            for caller in callers:
                caller.join()
            ran = {run["attempt"] for run in fleet.runs()}
            refused = 0
            for caller in callers:
                for attempt, (status, is_complete) in caller.answers.items():
                    refused += status == 503
                    if attempt in ran:
                        self.assertEqual((200, True), (status, is_complete), attempt)
                    else:
                        self.assertIn(status, (0, 503), attempt)
            self.assertGreater(refused, 5)


if __name__ == "__main__":
    unittest.main()

"""End-to-end tests: real processes with stand-ins for the platform's services."""

import signal
import socket
import subprocess
import sys
import threading
import time
import unittest
from pathlib import Path

from standins.fleet import (
    ROOT,
    VIRTUAL_HOST,
    EntryInstance,
    Fleet,
    call,
    configuration,
    event_ids,
    post,
)


def run_ctl(*arguments: str) -> tuple[int, str]:
    """Run an operator's command; return its exit code and output."""
    completed = subprocess.run(
        [sys.executable, str(ROOT / "platform" / "ctl.py"), *arguments],
        capture_output=True,
        text=True,
    )
    return completed.returncode, completed.stdout + completed.stderr


def find_bad_keys(entry: EntryInstance) -> set[str]:
    """Return the keys of the invalid records that an instance has logged."""
    return {e["key"] for e in entry.log_entries() if e["event"] == "entry_bad"}


class EndToEndTest(unittest.TestCase):
    """Requests through one fleet, shared by all tests since a start takes seconds.

    Tests run in order of their names, so those that publish configurations are named
    in ascending order of the versions.
    """

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(engines=3, plain_servers=2, entries=2, subnet="1.1")
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__)

    def setUp(self):
        for name in self.fleet.server_names:
            self.fleet.send_command("trouble", name, trouble={})
            self.fleet.send_command("silent", name, is_silent=False)
        self.entry = self.fleet.instances[0]

    def runs_of(self, attempt: str) -> list[dict]:
        """Return the runs of a request on the backend servers."""
        return [run for run in self.fleet.runs() if run["attempt"] == attempt]

    def set_faults(self, **faults) -> None:
        """Make every backend server fail at the given rates."""
        for name in self.fleet.server_names:
            self.fleet.send_command("trouble", name, trouble=faults)

    def test_stream_is_complete_and_sealed(self):
        response = call(self.entry, "/chat/x", "s1", tokens="1000,5")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers["x-response-seal"], "seal.s1")
        self.assertEqual(event_ids(response), [1, 2, 3, 4, 5])
        run = self.runs_of("s1")[0]
        self.assertEqual(run["workspace"], "owners")
        self.assertFalse(run["has_key"])

    def test_broken_stream_resumes_on_another_server(self):
        self.set_faults(**{"break": 0.1})
        responses = [
            call(self.entry, "/chat/x", f"r{n}", tokens="1000,12") for n in range(8)
        ]
        for response in responses:
            ids = event_ids(response)
            self.assertEqual(ids, list(range(1, len(ids) + 1)))
            if response.is_complete and response.status == 200:
                self.assertEqual(len(ids), 12)

    def test_unsafe_request_runs_once_although_its_response_is_lost(self):
        self.set_faults(cut=1.0)
        response = call(self.entry, "/book/x", "b1")
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.runs_of("b1")), 1)

    def test_safe_request_is_retried(self):
        self.fleet.send_command("trouble", "desk-0", trouble={"cut": 1.0})
        for n in range(6):
            response = call(self.entry, "/look/x", f"l{n}", method="GET", body=b"")
            self.assertEqual(response.status, 200)

    def test_request_refused_by_every_server_is_not_run(self):
        self.set_faults(shed=1.0)
        response = call(self.entry, "/book/x", "b2")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["retry-after"]), 0)
        self.assertEqual(self.runs_of("b2"), [])

    def test_unknown_route_and_key_are_refused(self):
        self.assertEqual(call(self.entry, "/none/x", "u1").status, 404)
        self.assertEqual(call(self.entry, "/book/x", "u2", key="no").status, 401)
        self.assertEqual(self.runs_of("u1") + self.runs_of("u2"), [])

    def test_invalid_headers_are_refused(self):
        for headers in (
            {"X-Request-Deadline": "soon"},
            {"X-Token-Counts": "many"},
            {"X-Attempt-Id": ""},
        ):
            response = call(
                self.entry, "/chat/x", "h1", tokens="1,1", extra_headers=headers
            )
            self.assertEqual(response.status, 400, headers)
        self.assertEqual(self.runs_of("h1"), [])
        refused = [e for e in self.entry.log_entries() if e["event"] == "refused"]
        self.assertIn("h1", {e.get("request_id") for e in refused})

    def test_configuration_applies_on_every_instance(self):
        self.fleet.put("keyed.op", "config", configuration(5, routes=("new",)))
        time.sleep(0.5)
        for number, entry in enumerate(self.fleet.instances):
            response = call(entry, "/new/x", f"c{number}", method="GET", body=b"")
            self.assertEqual(response.status, 200)
        self.fleet.put("keyed.op", "config", configuration(4))
        time.sleep(0.3)
        response = call(self.entry, "/new/x", "c9", method="GET", body=b"")
        self.assertEqual(response.status, 200)

    def test_bad_records_are_logged_and_ignored(self):
        for number, value in enumerate(
            ("text", {"address": 5}, {"service": "desk", "state": "odd"})
        ):
            self.fleet.put("keyed.servers", f"odd-{number}", value)
        self.fleet.put("keyed.op", "config", {"version": "high"})
        time.sleep(1.2)
        self.assertEqual(call(self.entry, "/book/x", "k1").status, 200)
        # the instance that reads the servers for all logs theirs
        logged = [find_bad_keys(entry) for entry in self.fleet.instances]
        self.assertLessEqual({"odd-0", "odd-1", "odd-2"}, set.union(*logged))
        for bad_keys in logged:
            self.assertIn("config", bad_keys)

    def test_configuration_is_followed_after_the_store_drops_its_history(self):
        post(*self.fleet.store_address, "/standin/forget")
        time.sleep(1.2)
        self.fleet.put("keyed.op", "config", configuration(8, routes=("later",)))
        time.sleep(0.8)
        response = call(self.entry, "/later/x", "f1", method="GET", body=b"")
        self.assertEqual(response.status, 200)

    def test_caller_disconnect_is_logged(self):
        def disconnect():
            sock = socket.create_connection((self.entry.host, self.entry.front_port))
            sock.sendall(
                f"POST /chat/x HTTP/1.1\r\nHost: {VIRTUAL_HOST}\r\nX-Attempt-Id: g1\r\n"
                "X-Token-Counts: 100,200\r\nAuthorization: Bearer key-1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            sock.recv(100)
            sock.close()

        disconnect()
        self.fleet.wait(
            lambda: any(
                e["event"] == "request"
                and e["request_id"] == "g1"
                and e["outcome"] == "caller_gone"
                for e in self.entry.log_entries()
            ),
            3.0,
        )

    def test_settings_are_reloaded(self):
        entry = self.entry

        def events(name: str) -> list[dict]:
            return [line for line in entry.log_entries() if line["event"] == name]

        original = entry.settings_file.read_text()
        entry.settings_file.write_text("node = ")
        entry.process.send_signal(signal.SIGHUP)
        self.fleet.wait(lambda: events("reload_failed"), 3.0)
        self.fleet.write_settings(entry, grace=9)
        self.fleet.wait(lambda: events("reloaded"), 5.0)
        self.assertIn("grace_s", events("reloaded")[-1]["changed"])
        entry.settings_file.write_text(original)
        self.assertEqual(call(entry, "/book/x", "q1").status, 200)

    def test_metrics_are_served(self):
        import http.client

        connection = http.client.HTTPConnection(self.entry.host, 9464, timeout=2)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        self.assertIn('briarrelay_total{name="refused.unknown_route"}', text)


class AuditTest(unittest.TestCase):
    """The audit record, read with the operator's commands."""

    def test_record_is_exported_verified_and_explained(self):
        with Fleet(engines=1, plain_servers=1, entries=2, subnet="1.5") as fleet:
            store = "{}:{}".format(*fleet.store_address)
            for number in range(6):
                entry = fleet.instances[number % 2]
                call(entry, "/book/x", f"v{number}")
            call(fleet.instances[0], "/none/x", "v-refused")
            for entry in fleet.instances:
                entry.process.send_signal(signal.SIGTERM)
            for entry in fleet.instances:
                entry.process.wait(10)
            path = str(fleet.folder / "day.jsonl")
            code, text = run_ctl(f"--store={store}", "audit", "export", path)
            self.assertEqual((code, text.split()[0]), (0, "added"))
            code, text = run_ctl("audit", "verify", path)
            self.assertEqual(code, 0, text)
            code, text = run_ctl(f"--store={store}", "explain", "v3")
            self.assertIn("request owners done desk-0", text)
            code, text = run_ctl(f"--store={store}", "explain", "v-refused")
            self.assertIn("refusal", text)
            code, _ = run_ctl(f"--store={store}", "explain", "nobody")
            self.assertEqual(code, 8)
            lines = Path(path).read_text().splitlines()
            altered = [line.replace("owners", "others") for line in lines]
            for tampered in (altered, lines[::-1]):
                Path(path).write_text("\n".join(tampered) + "\n")
                code, text = run_ctl("audit", "verify", path)
                self.assertEqual(code, 7, text)
        code, text = run_ctl(f"--store={store}", "explain", "v3")
        self.assertEqual(code, 6)
        self.assertIn("does not answer", text)


class StoreReturnTest(unittest.TestCase):
    """The store returns to a copy some seconds old, twice, while requests go on."""

    def test_everything_accepted_holds_after_the_store_returned_to_a_copy(self):
        with Fleet(engines=2, plain_servers=1, entries=2, subnet="1.9") as fleet:
            store = "{}:{}".format(*fleet.store_address)
            path = str(fleet.folder / "day.jsonl")
            for round_number in (1, 2):
                self.run_round(fleet, store, round_number)
                code, text = run_ctl(f"--store={store}", "audit", "export", path)
                self.assertEqual(code, 0, text)
            code, text = run_ctl("audit", "verify", path)
            self.assertEqual(code, 0, text)
            for entry in fleet.instances:
                events = [line["event"] for line in entry.log_entries()]
                self.assertEqual(events.count("store_returned_to_copy"), 2)
            code, text = run_ctl(f"--store={store}", "preset", "list")
            self.assertIn("revision 4", text)

    def run_round(self, fleet: Fleet, store: str, number: int) -> None:
        post(*fleet.store_address, "/standin/copy")
        newest = 10 * number
        for version in range(newest - 4, newest + 1):
            fleet.put("keyed.op", "config", configuration(version, (f"new{version}",)))
        name = f"closed{number}"
        presets = fleet.folder / f"{name}.jsonc"
        presets.write_text('{"accept_long": false}')
        for arguments in (("publish", name, str(presets)), ("activate", name)):
            code, text = run_ctl(f"--store={store}", "preset", *arguments)
            self.assertEqual(code, 0, text)
        bookings = [f"b{number}-{index}" for index in range(6)]
        for index, booking in enumerate(bookings):
            response = call(fleet.instances[index % 2], "/book/x", booking)
            self.assertEqual(response.status, 200)
        time.sleep(6.0)
        post(*fleet.store_address, "/standin/return")
        fleet.put("keyed.op", "config", configuration(newest, (f"new{newest}",)))
        time.sleep(7.0)
        for entry in fleet.instances:
            response = call(entry, f"/new{newest}/x", f"n{number}", method="GET")
            self.assertEqual(response.status, 200)
        for booking in bookings:
            code, text = run_ctl(f"--store={store}", "explain", booking)
            self.assertEqual(code, 0, text)
        restarted = fleet.instances[0]
        restarted.process.kill()
        restarted.process.wait()
        fleet.start(restarted)
        fleet.wait(restarted.is_ready, 10)
        response = call(restarted, "/chat/x", f"long{number}", tokens="200000,1")
        self.assertEqual(response.status, 503)


class StopTest(unittest.TestCase):
    def test_graceful_stop_completes_all_streams(self):
        with Fleet(engines=2, plain_servers=1, entries=2, subnet="1.2") as fleet:
            entry = fleet.instances[0]
            responses = []

            def stream(number: int):
                responses.append(call(entry, "/chat/x", f"p{number}", tokens="1000,60"))

            threads = [threading.Thread(target=stream, args=(n,)) for n in range(4)]
            for thread in threads:
                thread.start()
            time.sleep(0.3)
            entry.process.send_signal(signal.SIGTERM)
            for thread in threads:
                thread.join()
            self.assertEqual(
                [len(event_ids(response)) for response in responses], [60] * 4
            )
            self.assertEqual(entry.process.wait(10), 0)
            events = [line["event"] for line in entry.log_entries()]
            self.assertIn("stopping", events)
            self.assertIn("stopped", events)

    def test_draining_server_gets_no_new_requests(self):
        with Fleet(engines=2, plain_servers=1, entries=1, subnet="1.3") as fleet:
            entry = fleet.instances[0]
            fleet.send_command("drain", "engine-0")
            time.sleep(2.0)
            for number in range(6):
                call(entry, "/chat/x", f"d{number}", tokens="1000,2")
            servers = {r["server"] for r in fleet.runs()}
            self.assertEqual(servers, {"engine-1"})

    def test_server_that_announces_its_shutdown_gets_no_new_requests(self):
        """Its entry says that it is ready all the while."""
        with Fleet(engines=2, plain_servers=1, entries=2, subnet="1.6") as fleet:
            fleet.send_command("leave", "engine-0", is_leaving=True)
            for number in range(8):
                response = call(
                    fleet.instances[0], "/chat/x", f"a{number}", tokens="1000,3"
                )
                self.assertEqual(event_ids(response), [1, 2, 3])
            time.sleep(1.0)
            announced = len(fleet.runs())
            for number in range(12):
                entry = fleet.instances[number % 2]
                call(entry, "/chat/x", f"b{number}", tokens="1000,2")
            later_runs = fleet.runs()[announced:]
            self.assertEqual({run["server"] for run in later_runs}, {"engine-1"})

    def test_server_that_names_a_pause_gets_no_requests_in_it(self):
        with Fleet(engines=2, plain_servers=1, entries=1, subnet="1.7") as fleet:
            fleet.send_command("trouble", "engine-0", trouble={"pause": 1.0})
            end = time.monotonic() + 4.0
            number = 0
            while time.monotonic() < end:
                number += 1
                response = call(
                    fleet.instances[0], "/chat/x", f"p{number}", tokens="1000,1"
                )
                self.assertEqual(response.status, 200)
            times = fleet.send_command("pauses", "engine-0")
            gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
            self.assertGreaterEqual(len(times), 2)
            self.assertGreaterEqual(min(gaps), 1.0)

    def test_responses_without_end_cost_bounded_memory(self):
        with Fleet(engines=2, plain_servers=2, entries=1, subnet="1.8") as fleet:
            entry = fleet.instances[0]
            memory_file = Path(f"/proc/{entry.process.pid}/statm")
            for name in ("engine-0", "desk-0"):
                fleet.send_command("trouble", name, trouble={"flood": 1.0})
            pages_before = int(memory_file.read_text().split()[1])
            for number in range(6):
                response = call(entry, "/chat/x", f"e{number}", tokens="1000,3")
                self.assertEqual(event_ids(response), [1, 2, 3])
                response = call(entry, "/look/x", f"l{number}", method="GET", body=b"")
                self.assertEqual(response.status, 200)
            pages = int(memory_file.read_text().split()[1]) - pages_before
            self.assertLess(pages * 4_096, 48_000_000)

    def test_start_without_the_store(self):
        """A new instance gets the configuration and the servers from a peer."""
        with Fleet(engines=2, plain_servers=1, entries=2, subnet="1.4") as fleet:
            post(*fleet.store_address, "/standin/trouble", {"busy": 1.0})
            entry = fleet.instances[1]
            entry.process.kill()
            entry.process.wait()
            fleet.start(entry)
            fleet.wait(entry.is_ready, 10)
            response = call(entry, "/chat/x", "w1", tokens="1000,3")
            self.assertEqual(event_ids(response), [1, 2, 3])


if __name__ == "__main__":
    unittest.main()

"""What callers get from a process that ends after a planned stop."""

import socket
import unittest
from time import monotonic
from types import SimpleNamespace

from logbook import Logger, NullHandler

from briarrelay_core.ports.control import ExitProcess
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_daemon.routedaemon import RouteDaemon
from briarrelay_daemon.routesettings import RouteSettings
from briarrelay_platform.dialect import PlatformDialect
from properties.test_http_connections import LOCAL_ADDRESS, run_reactor

BODY = b"x" * 16_000_000
"""More than the sockets' buffers hold."""


class ExitTest(unittest.TestCase):
    def make_daemon(self, grace_s: float) -> RouteDaemon:
        """Return a daemon that was asked to stop and records its end."""
        settings = RouteSettings(
            name="entry-1",
            data_centre="a",
            listen=LOCAL_ADDRESS,
            ready=LOCAL_ADDRESS,
            ready_path="/ready",
            questions=LOCAL_ADDRESS,
            digests=LOCAL_ADDRESS,
            metrics=LOCAL_ADDRESS,
            metrics_path="/metrics",
            repeats=RetryLimits(),
            grace_s=grace_s,
            hold_s=3.2,
            max_unused_s=8.0,
            news_s=2.0,
        )
        source = SimpleNamespace(path=__file__, read=lambda: settings)
        daemon = RouteDaemon(
            settings,
            PlatformDialect(),
            lambda host, client: None,
            source,
            Logger("test"),
        )
        self.ends = []
        daemon.stop = lambda: self.ends.append(daemon.host.now)
        daemon.host.core.stopping.begin(daemon.host.now)
        return daemon

    def exit_with_response(self, grace_s: float, part_bytes: int) -> tuple[int, float]:
        """Let the daemon exit while a caller reads a response in parts.

        :param part_bytes: bytes that the caller reads every 30 ms.
        :returns: bytes of the response that were unsent at the end, and the seconds
            from the exit's begin to it.
        """
        with NullHandler().applicationbound():
            daemon = self.make_daemon(grace_s)
            server, reactor = daemon.routes.server, daemon.reactor
            requests = []
            server.on_request = requests.append
            with socket.create_connection(("127.0.0.1", server.port)) as sock:
                sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                run_reactor(reactor, lambda: requests)
                requests[0].reply(200, [], BODY)
                began_at = daemon.host.now
                daemon._on_exit_process(ExitProcess())
                sock.setblocking(False)
                end = monotonic() + 10.0
                while not self.ends and monotonic() < end:
                    run_reactor(reactor, lambda: self.ends, 0.03)
                    try:
                        sock.recv(part_bytes) if part_bytes else None
                    except BlockingIOError:
                        pass
                unsent = server.unsent_bytes
        self.assertTrue(self.ends, "the daemon did not end")
        return unsent, self.ends[0] - began_at

    def test_response_that_the_caller_is_reading_is_sent_before_the_exit(self):
        unsent, _ = self.exit_with_response(grace_s=8.0, part_bytes=500_000)
        self.assertEqual(unsent, 0)

    def test_caller_that_reads_nothing_does_not_delay_the_exit_for_long(self):
        _, seconds = self.exit_with_response(grace_s=8.0, part_bytes=0)
        self.assertLess(seconds, 1.5)

    def test_exit_is_not_delayed_beyond_the_grace_time(self):
        _, seconds = self.exit_with_response(grace_s=1.0, part_bytes=1_000)
        self.assertLess(seconds, 1.0)


if __name__ == "__main__":
    unittest.main()

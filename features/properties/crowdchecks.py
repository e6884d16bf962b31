"""What the tests of crowds check of a process."""

from unittest import TestCase

from standins.crowd import peak_memory_bytes, socket_count

__all__ = ["ANSWER_WITHIN_S", "CrowdTest"]

ANSWER_WITHIN_S = 40.0
"""Seconds after which an ordinary caller without an answer gives up; longer than any
time limit of an instance or its configuration."""


class CrowdTest(TestCase):
    """A process of its own for each crowd, whose bounds are checked.

    :ivar process: the process.
    :ivar memory_bytes: bound on its peak of resident memory.
    :ivar max_sockets: bound on its open sockets.
    :ivar most_sockets: most open sockets that were seen.
    """

    process = None
    memory_bytes = 0
    max_sockets = 0
    most_sockets = 0

    def watch(self) -> None:
        """Look at the sockets of the process, which must live."""
        self.assertIsNone(self.process.poll(), "the process has ended")
        self.most_sockets = max(self.most_sockets, socket_count(self.process.pid))

    def check_bounds(self) -> None:
        """Check what the process has used so far."""
        self.watch()
        self.assertLessEqual(peak_memory_bytes(self.process.pid), self.memory_bytes)
        self.assertLessEqual(self.most_sockets, self.max_sockets)

    def check_refusals(self, responses: list[bytes], *allowed: bytes) -> None:
        """Check that each response has one of the statuses, a 503 a time to return."""
        for response in responses:
            self.assertIn(response.split(b" ")[1], allowed, response[:200])
            if response.startswith(b"HTTP/1.1 503"):
                self.assertIn(b"\nretry-after: ", response.lower())

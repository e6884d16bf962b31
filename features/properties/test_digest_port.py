"""Digests are received by datagram, in a large deployment several at a time."""

import socket
import unittest
from time import monotonic
from types import SimpleNamespace

from attrs import evolve

from briarrelay_core.ports.digest import DigestReceived, LoadDigest, SendDigest
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_daemon.digestcodec import encode_digest
from briarrelay_daemon.digestport import READ_PAUSE_S, DigestPort
from briarrelay_daemon.reactor import Reactor
from properties.test_http_connections import LOCAL_ADDRESS, run_reactor

PEER = PeerAddress(name="p", host="10.0.0.1", question_port=1, digest_port=2)


class RecordingHost:
    """Records the messages to the core, and the times of their delivery."""

    def __init__(self, reactor: Reactor, size_factor: float):
        peers = SimpleNamespace(size_factor=size_factor)
        self.core = SimpleNamespace(peers=peers)
        self.counters = SimpleNamespace(add=lambda name: None)
        self.reactor = reactor
        self.received: list[tuple[DigestReceived, float]] = []

    def register(self, effect_class: type, perform) -> None:
        pass

    def dispatch(self, message: DigestReceived) -> None:
        self.received.append((message, monotonic()))


class DigestPortTest(unittest.TestCase):
    def receive(self, size_factor: float, count: int) -> list[float]:
        """Send digests 4 ms apart; return when each was delivered, from the first."""
        reactor = Reactor(monotonic)
        host = RecordingHost(reactor, size_factor)
        pages = SimpleNamespace(add=lambda path, serve: None)
        port = DigestPort(host, None, pages, LOCAL_ADDRESS)
        self.addCleanup(port._sock.close)
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        for number in range(1, count + 1):
            digest = LoadDigest(sender=PEER, incarnation=1, number=number, version=1)
            sender.sendto(encode_digest(digest), port._sock.getsockname())
            run_reactor(reactor, lambda: False, 0.004)
        run_reactor(reactor, lambda: len(host.received) == count)
        numbers = [message.digest.number for message, _ in host.received]
        self.assertEqual(numbers, list(range(1, count + 1)))
        return [at - host.received[0][1] for _, at in host.received]

    def test_digests_are_read_together_in_a_large_deployment(self):
        times = self.receive(size_factor=2.5, count=15)
        wakes = 1 + sum(b - a > 0.015 for a, b in zip(times, times[1:], strict=False))
        self.assertLessEqual(wakes, 2 + times[-1] / (READ_PAUSE_S * 1.5))

    def test_digests_are_read_at_once_in_a_small_deployment(self):
        times = self.receive(size_factor=1.0, count=15)
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreater(sum(gap > 0.001 for gap in gaps), 10)

    def test_peer_with_an_impossible_port_keeps_no_digest_from_others(self):
        reactor = Reactor(monotonic)
        host = RecordingHost(reactor, 1.0)
        pages = SimpleNamespace(add=lambda path, serve: None)
        port = DigestPort(host, None, pages, LOCAL_ADDRESS)
        self.addCleanup(port._sock.close)
        odd = evolve(PEER, digest_port=70_000)
        sound = evolve(PEER, host="127.0.0.1", digest_port=port._sock.getsockname()[1])
        digest = LoadDigest(sender=PEER, incarnation=1, number=1, version=1)
        port._send(SendDigest(digest, (odd, sound)))
        run_reactor(reactor, lambda: host.received)
        self.assertEqual(1, len(host.received))


if __name__ == "__main__":
    unittest.main()

"""What this instance can relay, what of it is in use, and when it is overloaded."""

from collections.abc import Iterable
from math import exp

from attrs import define, field

from briarrelay_core.ports.room import PeerRoom, RelayLimits
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.routes.requeststate import RoutedRequest

__all__ = ["DecayingRate", "RelayCapacity", "describe_room"]

HIGH_MARK = 0.8
"""Part in use from which new requests are handed to peers."""

LOW_MARK = 0.6
"""Part in use below which they no longer are."""

HIGH_DELAY_S = 0.05
"""Mean delay of the loop in seconds from which new requests are handed to peers."""

LOW_DELAY_S = 0.02
"""Mean delay in seconds below which they no longer are."""

MAX_DELAY_SAMPLE_S = 0.2
"""Longest single delay in seconds that counts; one pause is no overload."""

DELAY_WEIGHT = 0.2
"""Weight of a new delay in the mean; there is one for each run of timers."""

RATE_SPAN_S = 1.0
"""Seconds over which rates are averaged."""

REQUEST_COST_S = 0.00085
"""Processor seconds on one core to admit and place a request."""

EVENT_COST_S = 0.00007
"""Processor seconds on one core to relay an event."""

EVENTS_PER_REQUEST = 30
"""Events of a usual response, to count room in requests."""

OPEN_SPAN_S = 1.0
"""Seconds in which the link must carry the bodies that are being sent."""

MEMORY_FRACTION = 0.25
"""Part of the memory that bodies of requests in progress may hold."""


@define(slots=True)
class DecayingRate:
    """A rate per second, averaged over `RATE_SPAN_S` with falling weights."""

    _value: float = 0.0
    _at: float = float("-inf")

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._value = self.at(now) + amount / RATE_SPAN_S
        self._at = now

    def at(self, now: float) -> float:
        """Return the rate per second."""
        return self._value * exp(min(0.0, (self._at - now) / RATE_SPAN_S))


@define(slots=True, eq=False)
class RelayCapacity:
    """Compares what an instance relays with what it can.

    :ivar is_overloaded: it is above its high mark, and was not below the low one since.
    :ivar has_urgent_change: it became overloaded or ceased to be.
    """

    limits: RelayLimits = RelayLimits()
    is_overloaded: bool = False
    has_urgent_change: bool = False
    delay_s: float = 0.0
    _requests: DecayingRate = field(factory=DecayingRate)
    _events: DecayingRate = field(factory=DecayingRate)
    _bytes: DecayingRate = field(factory=DecayingRate)
    _open_bytes: int = 0

    @property
    def is_known(self) -> bool:
        """Whether the settings say what the instance can relay."""
        return self.limits.is_known

    @property
    def open_bytes(self) -> int:
        """Bytes of bodies whose response has not begun."""
        return self._open_bytes

    def record_request(self, body_bytes: int, now: float) -> None:
        """Record a new request, whose body crosses the link in each direction."""
        self._requests.add(1.0, now)
        self._bytes.add(body_bytes, now)
        self._open_bytes += body_bytes

    def record_event(self, size: int, now: float) -> None:
        """Record an event to relay, which crosses the link in each direction."""
        self._events.add(1.0, now)
        self._bytes.add(size, now)

    def record_delay(self, delay_s: float) -> None:
        """Record how late the loop ran a timer."""
        sample_s = min(MAX_DELAY_SAMPLE_S, max(0.0, delay_s))
        self.delay_s += DELAY_WEIGHT * (sample_s - self.delay_s)

    def part_in_use(self, now: float) -> float:
        """Return the largest part in use of processor, link and memory."""
        return max(self._processor_part(now), self.link_part(now), self._memory_part())

    def _processor_part(self, now: float) -> float:
        spent = REQUEST_COST_S * self._requests.at(now)
        return (spent + EVENT_COST_S * self._events.at(now)) / self.limits.cores

    def link_part(self, now: float) -> float:
        """Return the part of the link in use by bodies and responses."""
        rate = max(self._bytes.at(now), self._open_bytes / OPEN_SPAN_S)
        return rate / self.limits.link_bytes_per_s

    def _memory_part(self) -> float:
        if self.limits.memory_bytes is None:
            return 0.0
        return self._open_bytes / (MEMORY_FRACTION * self.limits.memory_bytes)

    def carries_twice(self, body_bytes: int, seconds: float) -> bool:
        """Return whether the link carries a body once more, beside those that are open.

        :param seconds: time in which its caller expects the response.
        """
        waiting = self._open_bytes + 2 * body_bytes
        return waiting <= HIGH_MARK * seconds * self.limits.link_bytes_per_s

    def room(self, now: float) -> PeerRoom | None:
        """Return what peers may give this instance, None if that is not known."""
        if not self.is_known:
            return None
        part = self.part_in_use(now)
        if self.is_overloaded or part >= HIGH_MARK:
            return PeerRoom(0.0, 0.0)
        cost_s = REQUEST_COST_S + EVENTS_PER_REQUEST * EVENT_COST_S
        free = HIGH_MARK - self.link_part(now)
        return PeerRoom(
            (HIGH_MARK - part) * self.limits.cores / cost_s,
            free * self.limits.link_bytes_per_s,
        )

    def check(self, requests: Iterable[RoutedRequest], now: float) -> list:
        """Find out whether the instance is overloaded; log when it begins and ends.

        :param requests: the requests in progress.
        """
        if not self.is_known:
            return []
        self._open_bytes = sum(
            routed.request.body_bytes
            for routed in requests
            if routed.first_event_at is None
        )
        part = self.part_in_use(now)
        if self.is_overloaded:
            is_over = part > LOW_MARK or self.delay_s > LOW_DELAY_S
        else:
            is_over = part >= HIGH_MARK or self.delay_s >= HIGH_DELAY_S
        if is_over == self.is_overloaded:
            return []
        self.is_overloaded = is_over
        self.has_urgent_change = True
        event = "overload_begun" if is_over else "overload_ended"
        fields = (
            ("in_use", f"{part:.2f}"),
            ("link", f"{self.link_part(now):.2f}"),
            ("delay_ms", f"{1000 * self.delay_s:.0f}"),
        )
        return [
            LogEvent("info", event, fields=fields),
            IncrementCounter(f"room.{event}"),
        ]


def describe_room(capacity: RelayCapacity, now: float) -> list[str]:
    """Return what is in use and left, for operators; nothing if that is not known."""
    room = capacity.room(now)
    if room is None:
        return []
    return [
        f"in_use={capacity.part_in_use(now):.2f}",
        f"requests_per_s={room.requests_per_s:.0f}",
        f"bytes_per_s={room.bytes_per_s:.0f}",
        f"delay_ms={1000 * capacity.delay_s:.0f}",
    ]

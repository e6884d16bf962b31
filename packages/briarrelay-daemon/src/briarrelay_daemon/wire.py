"""Readiness of many sockets at the cost of one circuits event.

A second epoll set is itself watched by circuits: however many of its sockets are
ready, circuits fires one event, and the callbacks run directly.
"""

import select
from collections.abc import Callable
from os import eventfd, eventfd_read, eventfd_write
from threading import Lock

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

from briarrelay_core.timers import TimerService

__all__ = ["READ", "WRITE", "Inbox", "Wire"]

READ = select.EPOLLIN
WRITE = select.EPOLLOUT

MAX_READY = 256
"""Sockets served in one turn of the loop."""


class Wire(BaseComponent):
    """Watches sockets for the parts of the daemon, and runs their timers.

    :param clock: returns the time in seconds.
    """

    channel = "wire"

    def __init__(self, clock: Callable[[], float]):
        super().__init__(channel=self.channel)
        self.clock = clock
        self.timers = TimerService()
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callable[[int], None]] = {}
        self._turn_ends: list[Callable[[], None]] = []

    def attach(self, poller: BasePoller) -> None:
        """Let a circuits poller watch the whole set."""
        poller.addReader(self, self._epoll)

    def watch(self, sock, events: int, callback: Callable[[int], None]) -> None:
        """Call back when a socket is ready."""
        self.watch_fd(sock.fileno(), events, callback)

    def watch_fd(
        self, fileno: int, events: int, callback: Callable[[int], None]
    ) -> None:
        """Call back when a descriptor is ready."""
        known = self._callbacks.get(fileno)
        self._callbacks[fileno] = callback
        try:
            if known is not None:
                self._epoll.modify(fileno, events)
                return
        except FileNotFoundError:
            pass  # the descriptor was closed and its number given out again
        self._epoll.register(fileno, events)

    def unwatch(self, sock) -> None:
        """Forget a socket that is still open."""
        fileno = sock.fileno()
        self.forget(fileno, self._callbacks.get(fileno))

    def forget(self, fileno: int, callback: Callable[[int], None] | None) -> None:
        """Forget a descriptor, which may be closed already, if it is still the same."""
        if callback is None or self._callbacks.get(fileno) is not callback:
            return
        del self._callbacks[fileno]
        try:
            self._epoll.unregister(fileno)
        except (OSError, ValueError):
            pass

    def at_turn_end(self, callback: Callable[[], None]) -> None:
        """Call back when the sockets that are ready now have been served."""
        self._turn_ends.append(callback)

    @handler("_read")
    def _on_ready(self, _) -> None:
        for fileno, events in self._epoll.poll(0, MAX_READY):
            callback = self._callbacks.get(fileno)
            if callback is not None:
                callback(events)
        self.end_turn()

    def end_turn(self) -> None:
        """Run what was put off to the end of the turn."""
        while self._turn_ends:
            waiting, self._turn_ends = self._turn_ends, []
            for callback in waiting:
                callback()

    @handler("generate_events")
    def _on_generate_events(self, event) -> None:
        self.end_turn()
        due = self.timers.next_due
        if due is None:
            return
        now = self.clock()
        if due <= now:
            self.timers.run_due(now)
            self.end_turn()
            due = self.timers.next_due
        if due is not None:
            event.reduce_time_left(max(0.0, due - self.clock()))


class Inbox:
    """Hands items from other threads to the loop's thread, in order."""

    def __init__(self, wire: Wire, take: Callable[[object], None]):
        self._take = take
        self._lock = Lock()
        self._items: list = []
        self._event = eventfd(0)
        wire.watch_fd(self._event, READ, self._on_ready)

    def put(self, item) -> None:
        """Add an item, from any thread."""
        with self._lock:
            self._items.append(item)
            if len(self._items) == 1:
                eventfd_write(self._event, 1)

    def _on_ready(self, _) -> None:
        with self._lock:
            eventfd_read(self._event)
            items, self._items = self._items, []
        for item in items:
            self._take(item)

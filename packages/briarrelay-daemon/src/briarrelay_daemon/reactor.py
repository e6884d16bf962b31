"""Socket readiness and timers on top of the circuits event loop.

The sockets are registered in an epoll set of their own, whose descriptor circuits
watches. However many sockets are ready, circuits fires a single event, and their
callbacks are called directly.
"""

import select
from collections import deque
from collections.abc import Callable
from os import eventfd, eventfd_read, eventfd_write
from threading import Lock

from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

from briarrelay_core.timers import TimerService

__all__ = ["READ", "WRITE", "Inbox", "Reactor"]

READ = select.EPOLLIN
WRITE = select.EPOLLOUT

MAX_EVENTS_PER_ITERATION = 256
"""Most sockets served in one iteration of the loop."""


class Reactor(BaseComponent):
    """Calls back when sockets are ready and when timers are due.

    :param clock: returns the time in seconds.
    :ivar timers: timers on this clock; what their callbacks return is ignored.
    :ivar before_events: called before the events of each loop iteration.
    """

    channel = "wire"

    def __init__(self, clock: Callable[[], float]):
        super().__init__(channel=self.channel)
        self.clock = clock
        self.timers = TimerService()
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callable[[int], None]] = {}
        self._deferred: list[Callable[[], None]] = []
        self._soon: list[Callable[[], None]] = []
        self.before_events: Callable[[], None] = lambda: None

    def attach(self, poller: BasePoller) -> None:
        """Register the epoll set with a circuits poller."""
        poller.addReader(self, self._epoll)

    def watch(self, sock, events: int, callback: Callable[[int], None]) -> None:
        """Call back when a socket is ready; replaces an earlier registration.

        :param events: mask of READ and WRITE.
        :param callback: called with the mask of epoll events that occurred.
        """
        self.watch_fd(sock.fileno(), events, callback)

    def watch_fd(
        self, fileno: int, events: int, callback: Callable[[int], None]
    ) -> None:
        """Call back when a descriptor is ready, as :meth:`watch` does for a socket."""
        previous = self._callbacks.get(fileno)
        self._callbacks[fileno] = callback
        try:
            if previous is not None:
                self._epoll.modify(fileno, events)
                return
        except FileNotFoundError:
            pass  # the descriptor was closed and its number reused
        self._epoll.register(fileno, events)

    def unwatch(self, sock) -> None:
        """Stop watching a socket that is still open."""
        fileno = sock.fileno()
        self.unwatch_fd(fileno, self._callbacks.get(fileno))

    def unwatch_fd(self, fileno: int, callback: Callable[[int], None] | None) -> None:
        """Stop watching a descriptor, which may be closed already.

        Does nothing if the number was reused and watched with another callback.
        """
        if callback is None or self._callbacks.get(fileno) is not callback:
            return
        del self._callbacks[fileno]
        try:
            self._epoll.unregister(fileno)
        except (OSError, ValueError):
            pass

    def defer(self, callback: Callable[[], None]) -> None:
        """Call back at the end of this loop iteration, after the ready sockets."""
        self._deferred.append(callback)

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call back in the next loop iteration, so that others have their turn."""
        self._soon.append(callback)

    @handler("_read")
    def _on_ready(self, _) -> None:
        self.before_events()
        for fileno, events in self._epoll.poll(0, MAX_EVENTS_PER_ITERATION):
            callback = self._callbacks.get(fileno)
            if callback is not None:
                callback(events)
        self.run_deferred()

    def run_deferred(self) -> None:
        """Run the callbacks deferred to the end of this loop iteration.

        Those after one that raises run in the next iteration.
        """
        while self._deferred:
            callbacks, self._deferred = deque(self._deferred), []
            try:
                while callbacks:
                    callbacks.popleft()()
            finally:
                self._deferred = [*callbacks, *self._deferred]

    def run_soon(self) -> None:
        """Run the callbacks for this iteration, and those deferred to its end."""
        callbacks, self._soon = deque(self._soon), []
        try:
            while callbacks:
                callbacks.popleft()()
        finally:
            self._soon = [*callbacks, *self._soon]
            self.run_deferred()

    @handler("generate_events")
    def _on_generate_events(self, event) -> None:
        self.run_soon()
        if self._soon:
            event.reduce_time_left(0.0)
        due = self.timers.next_due
        if due is None:
            return
        now = self.clock()
        if due <= now:
            self.timers.run_due(now)
            self.run_deferred()
            due = self.timers.next_due
        if due is not None:
            event.reduce_time_left(max(0.0, due - self.clock()))


class Inbox:
    """Queue that passes items from other threads to the loop's thread, in order.

    :param callback: called with each item, in the loop's thread.
    """

    def __init__(self, reactor: Reactor, callback: Callable[[object], None]):
        self._callback = callback
        self._lock = Lock()
        self._items: list = []
        self._event = eventfd(0)
        reactor.watch_fd(self._event, READ, self._on_ready)

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
            self._callback(item)

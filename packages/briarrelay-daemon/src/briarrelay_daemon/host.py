"""Runs the core: passes messages in, performs effects, runs timers."""

from collections.abc import Callable
from time import monotonic, time
from traceback import format_tb

from logbook import Logger

from briarrelay_core.ports.instance import Instance
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_daemon.observe import Counters, write_log_event
from briarrelay_daemon.reactor import Reactor

__all__ = ["Host", "SteadyClock"]

MAX_TRACE_CALLS = 4
"""Innermost calls of a failed effect that are logged."""


class SteadyClock:
    """Unix seconds that never jump: wall time at the start plus monotonic time."""

    def __init__(self):
        self._offset = time() - monotonic()

    def __call__(self) -> float:
        return monotonic() + self._offset


class Host:
    """Passes messages to an entry instance and performs the effects that it returns.

    Each adapter registers a function for every class of effects that it performs.
    """

    def __init__(
        self, core: Instance, reactor: Reactor, counters: Counters, logger: Logger
    ):
        self.core = core
        self.reactor = reactor
        self.counters = counters
        self.logger = logger
        self._performers: dict[type, Callable] = {}
        self._timer = None
        self.register(
            IncrementCounter, lambda effect: counters.add(effect.name, effect.amount)
        )
        self.register(LogEvent, lambda effect: write_log_event(logger, effect))

    @property
    def now(self) -> float:
        """Current time in Unix seconds."""
        return self.reactor.clock()

    def register(self, effect_class: type, perform: Callable) -> None:
        """Set the function that performs one class of effects."""
        self._performers[effect_class] = perform

    def start(self) -> None:
        """Start the core and perform its first effects."""
        self._perform(self.core.start(self.now))

    def dispatch(self, message) -> None:
        """Pass a message to the core and perform the resulting effects."""
        self._perform(self.core.handle(message, self.now))

    def _perform(self, effects: list) -> None:
        performers = self._performers
        for effect in effects:
            perform = performers[type(effect)]
            try:
                perform(effect)
            except Exception as error:
                # The effects after it may hold the response to a caller.
                self._report_failure(effect, error)
        self._set_timer()

    def _report_failure(self, effect, error: Exception) -> None:
        self.counters.add("effect.failed")
        self.logger.error(
            "effect_failed",
            effect=type(effect).__name__,
            problem=f"{type(error).__name__}: {error}",
            trace="".join(format_tb(error.__traceback__, -MAX_TRACE_CALLS)),
        )

    def _set_timer(self) -> None:
        due = self.core.next_due
        timer = self._timer
        if timer is not None and not timer.cancelled and due == timer.due:
            return
        if timer is not None:
            timer.cancel()
        self._timer = None
        if due is not None:
            self._timer = self.reactor.timers.at(due, self._on_timer)

    def _on_timer(self, _: float) -> list:
        self._timer = None
        try:
            self._perform(self.core.run_timers(self.now))
        except Exception:
            self._set_timer()
            raise
        return []

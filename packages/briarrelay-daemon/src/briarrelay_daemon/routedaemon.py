"""The briarrelayd process for routes: the event loop and its components."""

import signal
from collections.abc import Callable
from os import eventfd, eventfd_read, eventfd_write
from time import CLOCK_BOOTTIME, CLOCK_MONOTONIC, clock_gettime

from attrs import evolve
from circuits import Component
from circuits.core.pollers import EPoll
from logbook import Logger

from briarrelay_core.identity import Identity
from briarrelay_core.ports.control import (
    CloseIdleConnections,
    DrainRequested,
    ExitProcess,
    ProcessResumed,
)
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.routes.cooperation.capacity import describe_room
from briarrelay_core.routes.instance import RouteInstance
from briarrelay_daemon.calleraccount import AccountLimits, CallerAccount
from briarrelay_daemon.connectionshares import ConnectionShares, usable_descriptors
from briarrelay_daemon.digestport import DigestPort
from briarrelay_daemon.heldbytes import BufferLimits, HeldBytes
from briarrelay_daemon.host import Host, SteadyClock
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.metrics import Metrics
from briarrelay_daemon.pages import PageServer
from briarrelay_daemon.reactor import READ, Reactor
from briarrelay_daemon.routeport import Dialect, RoutePort
from briarrelay_daemon.routesettings import (
    RouteSettings,
    SettingsReloader,
    SettingsSource,
)
from briarrelay_daemon.settings import Address

__all__ = ["RouteDaemon"]

SHUTDOWN_DELAY_S = 0.15
"""Seconds from the last request to the exit, in which final responses are sent."""

SENDING_CHECK_S = 0.5
"""Seconds between checks whether callers still read their final responses, for which
the exit waits."""

EXIT_MARGIN_S = 0.2
"""Seconds before the end of the grace time at which the process ends in any case."""

LIMITS_CHECK_S = 0.5
"""Seconds between checks for changed limits of callers."""

MAX_ADDED_HEADER_BYTES = 1_024
"""Bytes of headers that a peer may add to a request that it delegates."""

MIN_SUSPEND_S = 0.3
"""Shortest suspension after which the core is notified that its state may be stale."""


class RouteDaemon(Component):
    """The event loop of the process and all components attached to it.

    :param dialect: header names and message formats of callers and backend servers.
    :param attach_platform: called with the host and the client; registers the
        handlers of effects that need the platform's store and engines.
    :param source: where settings are reloaded from when they change.
    """

    channel = "daemon"

    def __init__(
        self,
        settings: RouteSettings,
        dialect: Dialect,
        attach_platform: Callable[[Host, HttpClient], None],
        source: SettingsSource,
        logger: Logger,
    ):
        super().__init__(channel=self.channel)
        clock = SteadyClock()
        poller = EPoll().register(self)
        self.reactor = Reactor(clock).register(self)
        self.reactor.attach(poller)
        self.metrics = Metrics()
        core = _make_core(settings, clock())
        self.host = Host(core, self.reactor, self.metrics, logger)
        limits = BufferLimits.for_memory(settings.memory_bytes)
        held = HeldBytes(self.reactor, limits)
        self._memory_bytes = settings.memory_bytes
        account_limits = AccountLimits.for_process(settings.memory_bytes)
        self._account = CallerAccount(clock, account_limits)
        shares = ConnectionShares.of(usable_descriptors(settings.max_sockets))
        client = HttpClient(self.reactor, held, shares.outgoing)
        servers, allowances = core.controller.servers, core.allowances
        self.metrics.states["evacuated"] = lambda: servers.evacuations.in_force
        self.metrics.states["cold"] = allowances.cold.names
        self.metrics.states["room"] = lambda: describe_room(core.capacity, clock())
        self.routes = RoutePort(
            self.host,
            client,
            settings.listen,
            settings.digests,
            dialect,
            held,
            self._account,
            shares,
        )
        attach_platform(self.host, client)
        questions = self._make_page_server(settings.questions, held, shares.questions)
        DigestPort(self.host, client, questions, settings.digests)
        self._make_page_server(settings.ready, held, shares.pages).add(
            settings.ready_path, self._serve_readiness
        )
        self._make_page_server(settings.metrics, held, shares.pages).add(
            settings.metrics_path, lambda: (200, self.metrics.render())
        )
        self.host.register(ExitProcess, self._on_exit_process)
        self.host.register(CloseIdleConnections, lambda _: self._close_idle())
        self._last_suspended_s = _suspended_s()
        self.reactor.before_events = self._check_suspension
        self.reactor.timers.every(
            LIMITS_CHECK_S, self._apply_limits, clock() + LIMITS_CHECK_S
        )
        self._reloader = SettingsReloader(self.host, settings, source)
        self._stop_event = eventfd(0)
        self.reactor.watch_fd(self._stop_event, READ, self._on_stop_event)

    def started(self, *_) -> None:
        """Start the core and handle signals, once the loop runs."""
        signal.signal(signal.SIGTERM, self._on_stop_signal)
        signal.signal(signal.SIGINT, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._reloader.on_signal)
        # It may have been blocked while the process started.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        self.host.start()
        self.host.logger.info("started", port=self.routes.server.port)

    def _make_page_server(
        self, bind: Address, held: HeldBytes, max_connections: int
    ) -> PageServer:
        return PageServer(
            bind,
            self.reactor,
            held=held,
            account=self._account,
            max_connections=max_connections,
        )

    def _serve_readiness(self) -> tuple[int, bytes]:
        is_ready = self.host.core.is_ready
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")

    def _check_suspension(self) -> None:
        """Notify the core of a suspension, before it handles other messages."""
        total_s = _suspended_s()
        suspended_s = total_s - self._last_suspended_s
        self._last_suspended_s = total_s
        if suspended_s > MIN_SUSPEND_S:
            self.host.dispatch(ProcessResumed(suspended_s))

    def _apply_limits(self, _: float) -> list:
        """Apply the configured limits of callers' requests."""
        configuration = self.host.core.controller.admission.configuration
        if configuration is not None:
            limits = configuration.limits
            self.routes.server.limits = limits
            # Peers add headers to what their callers sent.
            header_bytes = limits.header_bytes + MAX_ADDED_HEADER_BYTES
            self.routes.delegations.limits = evolve(limits, header_bytes=header_bytes)
            self._account.limits = AccountLimits.for_process(
                self._memory_bytes, limits.body_bytes
            )
        return []

    def _close_idle(self) -> None:
        for server in self.routes.servers:
            server.close_idle()

    def _on_stop_signal(self, *_) -> None:
        """Wake the loop, which starts to drain; a signal handler must do no more."""
        eventfd_write(self._stop_event, 1)

    def _on_stop_event(self, _: int) -> None:
        eventfd_read(self._stop_event)
        for server in self.routes.servers:
            server.keeps_alive = False
        self.host.dispatch(DrainRequested())

    @property
    def _exit_by(self) -> float:
        """Time by which the process must have ended, as it is killed soon after."""
        stopping = self.host.core.stopping
        return stopping.began_at + stopping.grace_s - EXIT_MARGIN_S

    def _on_exit_process(self, _: ExitProcess) -> None:
        self._close_idle()
        self.reactor.timers.at(self.host.now + SHUTDOWN_DELAY_S, self._exit)

    def _exit(self, now: float, previously_unsent: int | None = None) -> list:
        """End the process, unless callers are still reading their responses.

        :param previously_unsent: unsent bytes of responses at the previous check.
        """
        unsent = sum(server.unsent_bytes for server in self.routes.servers)
        next_check = now + SENDING_CHECK_S
        if unsent and unsent != previously_unsent and next_check < self._exit_by:
            self.reactor.timers.at(next_check, lambda now: self._exit(now, unsent))
            return []
        self.host.logger.info("stopped", unsent_bytes=unsent)
        self.stop()
        return []


def _suspended_s() -> float:
    """Return the seconds that the system has been suspended since it booted."""
    return clock_gettime(CLOCK_BOOTTIME) - clock_gettime(CLOCK_MONOTONIC)


def _make_core(settings: RouteSettings, now: float) -> RouteInstance:
    identity = Identity(settings.name, int(now * 1_000), settings.data_centre)
    address = PeerAddress(
        name=settings.name,
        host=settings.listen.host,
        question_port=settings.questions.port,
        digest_port=settings.digests.port,
        data_centre=settings.data_centre,
    )
    return RouteInstance(
        identity=identity,
        address=address,
        repeats=settings.repeats,
        grace_s=settings.grace_s,
        hold_s=settings.hold_s,
        max_unused_s=settings.max_unused_s,
        news_s=settings.news_s,
        apply_s=settings.apply_s,
        seeds=settings.seeds,
        retention=settings.retention,
        relay_limits=settings.relay_limits,
    )

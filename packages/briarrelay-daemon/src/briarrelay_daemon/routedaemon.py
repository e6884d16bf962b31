"""briarrelayd where it carries routes: the loop and what is attached to it."""

import signal
from collections.abc import Callable
from os import eventfd, eventfd_read, eventfd_write
from time import CLOCK_BOOTTIME, CLOCK_MONOTONIC, clock_gettime

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
from briarrelay_core.routes.instance import RouteInstance
from briarrelay_daemon.digestport import DigestPort
from briarrelay_daemon.host import Host, SteadyClock
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.metrics import Metrics
from briarrelay_daemon.pages import PageServer
from briarrelay_daemon.routeport import Dialect, RoutePort
from briarrelay_daemon.routesettings import Reload, RouteSettings, SettingsSource
from briarrelay_daemon.wire import READ, Wire

__all__ = ["RouteDaemon"]

LAST_ANSWERS_S = 0.15
"""Seconds between the end of the last request and the end of the process."""

FREEZE_CHECK_S = 0.5
"""Seconds between looks for time in which the instance stood still."""

FREEZE_S = 0.3
"""Seconds of standing still that are worth a look at what is believed."""


class RouteDaemon(Component):
    """The loop and everything that is attached to it.

    :param dialect: names and formats of callers and backend servers.
    :param attach_platform: called with the host and the client; registers what
        performs the effects that concern the platform.
    :param source: where settings are read from again when they change.
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
        self.wire = Wire(clock).register(self)
        self.wire.attach(poller)
        self.metrics = Metrics()
        core = _make_core(settings, clock())
        self.host = Host(core, self.wire, self.metrics, logger)
        client = HttpClient(self.wire)
        self.routes = RoutePort(self.host, client, settings.listen, dialect)
        attach_platform(self.host, client)
        questions = PageServer(settings.questions, self.wire)
        DigestPort(self.host, client, questions, settings.digests)
        PageServer(settings.ready, self.wire).add(settings.ready_path, self._ready)
        PageServer(settings.metrics, self.wire).add(
            settings.metrics_path, lambda: (200, self.metrics.render())
        )
        self.host.register(ExitProcess, self._on_stopped)
        self.host.register(
            CloseIdleConnections, lambda _: self.routes.server.close_idle()
        )
        self._standing_s = _standing_s()
        self.wire.timers.every(
            FREEZE_CHECK_S, self._check_clocks, clock() + FREEZE_CHECK_S
        )
        self._reload = Reload(self.host, settings, source)
        self._stop_event = eventfd(0)
        self.wire.watch_fd(self._stop_event, READ, self._on_stop_event)

    def started(self, *_) -> None:
        """Begin to work once the loop runs."""
        signal.signal(signal.SIGTERM, self._on_stop_signal)
        signal.signal(signal.SIGINT, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._reload.on_signal)
        self.host.start()
        self.host.logger.info("started", port=self.routes.server.port)

    def _ready(self) -> tuple[int, bytes]:
        is_ready = self.host.core.is_ready
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")

    def _check_clocks(self, _: float) -> list:
        standing = _standing_s()
        stood = standing - self._standing_s
        self._standing_s = standing
        if stood > FREEZE_S:
            self.host.tell(ProcessResumed(stood))
        server = self.routes.server
        configuration = self.host.core.controller.admission.configuration
        if configuration is not None:
            server.limits = configuration.limits
        return []

    def _on_stop_signal(self, *_) -> None:
        """Wake the loop; a signal handler may not do more."""
        eventfd_write(self._stop_event, 1)

    def _on_stop_event(self, _: int) -> None:
        eventfd_read(self._stop_event)
        self.routes.server.keeps_alive = False
        self.host.tell(DrainRequested())

    def _on_stopped(self, _: ExitProcess) -> None:
        self.routes.server.close_idle()
        self.wire.timers.at(self.host.now + LAST_ANSWERS_S, self._end)

    def _end(self, _: float) -> list:
        self.host.logger.info("stopped")
        self.stop()
        return []


def _standing_s() -> float:
    """Return seconds in which the steady clock stood still."""
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
        news_s=settings.news_s,
        seeds=settings.seeds,
    )

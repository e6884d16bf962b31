"""Settings of an entry instance that carries routes, and their change while it runs."""

import os
from collections.abc import Callable
from os import eventfd, eventfd_read, eventfd_write

from attrs import fields, frozen

from briarrelay_core.ports.control import RouteSettingsChanged
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.routes.budget import RepeatLimits
from briarrelay_daemon.host import Host
from briarrelay_daemon.settings import Address, SettingsError
from briarrelay_daemon.wire import READ

__all__ = ["Reload", "RouteSettings", "SettingsSource"]

LOOK_S = 2.0
"""Seconds between looks at the settings file, which may change without a signal."""


@frozen(slots=True, kw_only=True)
class RouteSettings:
    """Settings of an entry instance that carries routes.

    :param listen: where callers connect.
    :param ready: where the balancer asks whether it may send callers here.
    :param questions: where peers ask for the configuration and servers.
    :param digests: where peers send their digests.
    :param metrics: where counters and histograms are read.
    :param grace_s: seconds that a planned stop may take.
    :param hold_s: seconds that memory of an engine is set aside without renewal.
    :param news_s: seconds within which a leaving server must get no new work.
    """

    name: str
    data_centre: str
    listen: Address
    ready: Address
    ready_path: str
    questions: Address
    digests: Address
    metrics: Address
    metrics_path: str
    repeats: RepeatLimits
    grace_s: float
    hold_s: float
    news_s: float
    seeds: tuple[PeerAddress, ...] = ()


@frozen(slots=True)
class SettingsSource:
    """Where settings come from.

    :param read: returns the settings; raises :class:`SettingsError`.
    """

    path: str
    read: Callable[[], RouteSettings]


class Reload:
    """Puts changed settings in force; settings that do not fit change nothing."""

    def __init__(self, host: Host, settings: RouteSettings, source: SettingsSource):
        self._host = host
        self._settings = settings
        self._source = source
        self._stamp = self._read_stamp()
        self._event = eventfd(0)
        wire = host.wire
        wire.watch_fd(self._event, READ, self._on_event)
        wire.timers.every(LOOK_S, self._look, wire.clock() + LOOK_S)

    def on_signal(self, *_) -> None:
        """Wake the loop; a signal handler may not do more."""
        eventfd_write(self._event, 1)

    def _on_event(self, _: int) -> None:
        eventfd_read(self._event)
        self._stamp = self._read_stamp()
        self._reload("signal")

    def _look(self, _: float) -> list:
        stamp = self._read_stamp()
        if stamp != self._stamp:
            self._stamp = stamp
            self._reload("file")
        return []

    def _read_stamp(self) -> tuple[int, int]:
        try:
            found = os.stat(self._source.path)
        except OSError as error:
            self._host.logger.warning("settings_unseen", problem=str(error))
            return 0, 0
        return found.st_mtime_ns, found.st_size

    def _reload(self, cause: str) -> None:
        logger = self._host.logger
        try:
            settings = self._source.read()
        except SettingsError as error:
            logger.error("reload_failed", cause=cause, problem=str(error))
            return
        changed = [
            field.name
            for field in fields(RouteSettings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        ]
        self._settings = settings
        self._host.tell(
            RouteSettingsChanged(
                repeats=settings.repeats,
                grace_s=settings.grace_s,
                seeds=settings.seeds,
            )
        )
        logger.info("reloaded", cause=cause, changed=",".join(changed))

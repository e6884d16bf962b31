"""Settings of an entry instance that serves routes, and their reload at run time."""

import os
from collections.abc import Callable
from os import eventfd, eventfd_read, eventfd_write

from attrs import fields, frozen

from briarrelay_core.agreement.outbox import Retention
from briarrelay_core.ports.control import RouteSettingsChanged
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.ports.room import RelayLimits
from briarrelay_core.routes.budget import RetryLimits
from briarrelay_daemon.host import Host
from briarrelay_daemon.reactor import READ
from briarrelay_daemon.settings import Address, SettingsError

__all__ = ["RouteSettings", "SettingsReloader", "SettingsSource"]

FILE_CHECK_S = 2.0
"""Seconds between checks of the settings file, which may change without a signal."""


@frozen(slots=True, kw_only=True)
class RouteSettings:
    """Settings of an entry instance that serves routes.

    :param listen: address on which callers connect.
    :param ready: address for readiness checks by the load balancer.
    :param questions: address on which peers request the configuration and servers.
    :param digests: UDP address on which peers send their digests.
    :param metrics: address at which counters and histograms are read.
    :param repeats: limits on the retries of requests.
    :param grace_s: seconds that a planned stop may take.
    :param hold_s: seconds after which an unrenewed reservation of engine memory ends.
    :param max_unused_s: seconds for which reserved memory may stay unused.
    :param news_s: seconds within which all instances must stop sending new requests
        to a server that leaves.
    :param apply_s: seconds within which an accepted configuration must be in force.
    :param seeds: peers to contact at the start.
    :param memory_bytes: memory of the process, None if it is not known.
    :param max_sockets: sockets that it may open, None if their number is not known.
    :param relay_limits: what it can relay.
    :param retention: how long the audit record is kept after the store has it.
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
    repeats: RetryLimits
    grace_s: float
    hold_s: float
    max_unused_s: float
    news_s: float
    apply_s: float = 2.0
    seeds: tuple[PeerAddress, ...] = ()
    memory_bytes: int | None = None
    max_sockets: int | None = None
    relay_limits: RelayLimits = RelayLimits()
    retention: Retention = Retention(keep_s=60.0, keep_bytes=4_000_000)


@frozen(slots=True)
class SettingsSource:
    """Where settings are read from.

    :param path: file that is checked for changes.
    :param read: returns the settings; raises :class:`SettingsError`.
    """

    path: str
    read: Callable[[], RouteSettings]


class SettingsReloader:
    """Applies changed settings, on a signal or when the file changes.

    Invalid settings are logged and not applied.
    """

    def __init__(self, host: Host, settings: RouteSettings, source: SettingsSource):
        self._host = host
        self._settings = settings
        self._source = source
        self._signature = self._read_signature()
        self._event = eventfd(0)
        reactor = host.reactor
        reactor.watch_fd(self._event, READ, self._on_event)
        reactor.timers.every(
            FILE_CHECK_S, self._check_file, reactor.clock() + FILE_CHECK_S
        )

    def on_signal(self, *_) -> None:
        """Wake the loop, which then reloads; a signal handler must do no more."""
        eventfd_write(self._event, 1)

    def _on_event(self, _: int) -> None:
        eventfd_read(self._event)
        self._signature = self._read_signature()
        self._reload("signal")

    def _check_file(self, _: float) -> list:
        signature = self._read_signature()
        if signature != self._signature:
            self._signature = signature
            self._reload("file")
        return []

    def _read_signature(self) -> tuple[int, int]:
        try:
            status = os.stat(self._source.path)
        except OSError as error:
            self._host.logger.warning("settings_unseen", problem=str(error))
            return 0, 0
        return status.st_mtime_ns, status.st_size

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
        self._host.dispatch(
            RouteSettingsChanged(
                repeats=settings.repeats,
                grace_s=settings.grace_s,
                seeds=settings.seeds,
            )
        )
        logger.info("reloaded", cause=cause, changed=",".join(changed))

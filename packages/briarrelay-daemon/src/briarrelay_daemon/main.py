"""briarrelayd, an entry instance.

Usage:
  briarrelayd --settings FILE [--check]
  briarrelayd --help

Options:
  --settings FILE  settings, JSON with comments
  --check          validate the settings, report the first error, and exit

Signals: SIGTERM and SIGINT start a graceful shutdown; further ones have no effect.
Exit codes: 0 after a graceful shutdown, 2 if the settings are invalid.
"""

import signal
import sys
from os import eventfd, eventfd_read, eventfd_write

from circuits import Component
from circuits.core.pollers import EPoll
from docopt import docopt
from logbook import Logger

from briarrelay_core.entry import EntryInstance
from briarrelay_core.identity import Identity
from briarrelay_core.ports.control import DrainRequested, ExitProcess
from briarrelay_core.ports.platform import (
    InstanceKind,
    InstanceList,
    LifecycleState,
    ListedInstance,
)
from briarrelay_daemon.calleraccount import AccountLimits, CallerAccount
from briarrelay_daemon.callerport import CallerPort
from briarrelay_daemon.connectionshares import ConnectionShares, usable_descriptors
from briarrelay_daemon.engineport import EnginePort
from briarrelay_daemon.heldbytes import BufferLimits, HeldBytes
from briarrelay_daemon.host import Host, SteadyClock
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.observe import Counters, JsonHandler
from briarrelay_daemon.peerport import PeerPort
from briarrelay_daemon.platformport import PlatformPort
from briarrelay_daemon.reactor import READ, Reactor
from briarrelay_daemon.serviceport import ServicePort
from briarrelay_daemon.settings import Settings, SettingsError, read_settings

__all__ = ["Daemon", "main"]

EXIT_DELAY_S = 0.3
"""Delay before the process exits, in which the last responses are sent."""


class Daemon(Component):
    """The event loop with the core and its adapters."""

    channel = "daemon"

    def __init__(self, settings: Settings, logger: Logger):
        super().__init__(channel=self.channel)
        clock = SteadyClock()
        poller = EPoll().register(self)
        self.reactor = Reactor(clock).register(self)
        self.reactor.attach(poller)
        identity = Identity(settings.name, int(clock() * 1_000), settings.data_centre)
        core = EntryInstance(identity, settings.record_wait_s)
        self.host = Host(core, self.reactor, Counters(settings), logger)
        shares = ConnectionShares.of(usable_descriptors(settings.max_descriptors))
        held = HeldBytes(self.reactor, BufferLimits.for_memory(settings.memory_bytes))
        limits = AccountLimits.for_process(
            settings.memory_bytes, settings.max_body_bytes
        )
        account = CallerAccount(clock, limits)
        client = HttpClient(self.reactor, held, shares.outgoing)
        EnginePort(self.host, client)
        ServicePort(self.host, client)
        PlatformPort(self.host, client, settings)
        self.peer_port = PeerPort(
            self.host,
            settings.peer_listen,
            account,
            settings.max_body_bytes,
            shares.peers,
        )
        self.caller_port = CallerPort(
            self.host, settings, held, account, shares.callers
        )
        self.host.register(ExitProcess, self._on_stopped)
        self._seed_instances = _seed_list_entries(settings)
        self._stop_event = eventfd(0)
        self.reactor.watch_fd(self._stop_event, READ, self._on_stop_event)

    def started(self, *_) -> None:
        """Start the servers and the core once the event loop runs."""
        signal.signal(signal.SIGTERM, self._on_stop_signal)
        signal.signal(signal.SIGINT, self._on_stop_signal)
        self.peer_port.start()
        if self._seed_instances:
            self.host.dispatch(InstanceList(0, self._seed_instances))
        self.host.start()
        self.host.logger.info("started", port=self.caller_port.server.port)

    def _on_stop_signal(self, *_) -> None:
        """Wake the event loop, in which the shutdown is handled.

        A signal handler may run in the middle of other code and must not call the core.
        """
        eventfd_write(self._stop_event, 1)

    def _on_stop_event(self, _: int) -> None:
        eventfd_read(self._stop_event)
        self.host.dispatch(DrainRequested())

    def _on_stopped(self, _: ExitProcess) -> None:
        exit_at = self.host.now + EXIT_DELAY_S
        self.reactor.timers.at(exit_at, lambda _: self._exit())

    def _exit(self) -> list:
        self.host.logger.info("stopped")
        self.peer_port.stop()
        self.stop()
        return []


def _seed_list_entries(settings: Settings) -> tuple[ListedInstance, ...]:
    """Return instance list entries for the seed peers.

    Their incarnation 0 is older than that of any entry in the instance list.
    """
    return tuple(
        ListedInstance(
            name=seed.name,
            incarnation=0,
            kind=InstanceKind.ENTRY,
            data_centre=seed.data_centre,
            host=seed.address.host,
            port=seed.address.port,
            state=LifecycleState.LIVE,
        )
        for seed in settings.seed_peers
    )


def main(argv: list[str] | None = None) -> int:
    """Run the daemon until a graceful shutdown and return the exit code."""
    options = docopt(__doc__, argv)
    try:
        settings = read_settings(options["--settings"])
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    if options["--check"]:
        print(f"{options['--settings']}: settings of {settings.name} are valid")
        return 0
    with JsonHandler(settings.name, settings.log_level).applicationbound():
        Daemon(settings, Logger("briarrelayd")).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())

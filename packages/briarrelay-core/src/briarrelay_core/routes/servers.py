"""Tracks which backend servers may get requests.

Each server registers itself by an entry in the platform's store, which it renews.
"""

from attrs import define, field

from briarrelay_core.ports.directory import ServerEntry, ServerState, TopicChange
from briarrelay_core.ports.position import START, EraPosition
from briarrelay_core.ports.telemetry import LogEvent
from briarrelay_core.routes.allowances.evacuations import EvacuationTable

__all__ = ["KnownServer", "ServerTable"]

REREGISTER_S = 2.3
"""Seconds after an outage of the store within which live servers renew expired
entries."""

MIN_REGISTERED_FRACTION = 0.5
"""Fraction of a service's servers that must stay registered for a missing entry to
count as gone at once; an unreachable data centre removes a third or less."""

GONE_MEMORY_S = 60.0
"""Seconds for which a server whose entry is gone is remembered; a copy that the store
returns to is some seconds old."""

GONE_BLOCK_S = 2.5
"""Seconds for which a server gets no requests at least after a peer reported its entry
gone, and for which this instance reports such servers. By then each instance that
reaches the store has read whether the entry exists."""

LEAVING_ANNOUNCE_S = 8.0
"""Seconds for which a leaving server is announced to peers."""

LEAVING_MEMORY_S = 60.0
"""Seconds for which a leaving server is remembered after its entry was removed."""


@define(slots=True, eq=False)
class KnownServer:
    """A registered backend server.

    :param updated_at: time at which this entry was applied.
    :param expires_at: time from which it gets no requests, since its entry was removed;
        None while it is registered.
    :param is_leaving: it is shutting down and gets no new requests.
    :param is_address_reused: another server answered at its address since the last
        entry.
    :param blocked_until: time until which it gets no requests, after a peer reported
        its entry gone.
    :param gone_before: position up to which this instance has to read the store before
        it gets requests again, None if no peer reported its entry gone since.
    """

    entry: ServerEntry
    updated_at: float
    expires_at: float | None = None
    is_leaving: bool = False
    is_address_reused: bool = False
    blocked_until: float = float("-inf")
    gone_before: EraPosition | None = None

    @property
    def incarnation(self) -> str:
        """Its incarnation, ``name@born``."""
        return f"{self.entry.name}@{self.entry.born}"

    def is_usable(self, now: float) -> bool:
        """Return whether it may get new requests."""
        if self.is_leaving or self.is_address_reused or now < self.blocked_until:
            return False
        if self.gone_before is not None:
            return False
        return self.expires_at is None or now < self.expires_at


@define(slots=True)
class ServerTable:
    """The known backend servers, by name and by service.

    :ivar _leaving: by name, the ``born`` value of a leaving server and the time at
        which it was first found to be leaving.
    :ivar _gone: by name, the ``born`` value of a server whose entry is gone and the
        time at which that was detected.
    :ivar _gone_for_peers: the same for servers that peers reported as gone.
    :ivar _reported_gone: names of servers that peers reported as gone, and which this
        instance has not confirmed yet.
    :ivar _read_until: position up to which this instance has read the store.
    :ivar has_urgent_change: a server announced its shutdown to this instance, and peers
        have not been notified yet.
    :param evacuations: the data centres whose servers get no new requests; they stay
        registered, so an evacuation does not look like an outage of the store.
    """

    evacuations: EvacuationTable = field(factory=EvacuationTable)
    _servers: dict[str, KnownServer] = field(factory=dict)
    _by_service: dict[str, dict[str, KnownServer]] = field(factory=dict)
    _leaving: dict[str, tuple[float, float]] = field(factory=dict)
    _gone: dict[str, tuple[float, float]] = field(factory=dict)
    _gone_for_peers: dict[str, tuple[float, float]] = field(factory=dict)
    _reported_gone: set[str] = field(factory=set)
    _read_until: EraPosition = START
    has_urgent_change: bool = False

    def __len__(self) -> int:
        return len(self._servers)

    def get(self, name: str) -> KnownServer | None:
        """Return a server by name."""
        return self._servers.get(name)

    def is_usable(self, name: str, now: float) -> bool:
        """Return whether a server may get new requests."""
        server = self._servers.get(name)
        if server is None or not server.is_usable(now):
            return False
        return not self.evacuations.is_evacuated(server.entry.data_centre)

    def of_service(self, service: str, now: float) -> list[KnownServer]:
        """Return the servers of a service that may get new requests."""
        servers = self._by_service.get(service, {})
        usable = [server for server in servers.values() if server.is_usable(now)]
        evacuated = self.evacuations.in_force
        if not evacuated:
            return usable
        return [s for s in usable if s.entry.data_centre not in evacuated]

    def is_evacuated(self, service: str) -> bool:
        """Return whether each server of a service is in an evacuated data centre."""
        servers = self._by_service.get(service, {})
        return bool(servers) and all(
            self.evacuations.is_evacuated(s.entry.data_centre) for s in servers.values()
        )

    def entries(self) -> list[ServerEntry]:
        """Return the entries of all registered servers."""
        return [s.entry for s in self._servers.values() if s.expires_at is None]

    def leaving_servers(self, now: float) -> tuple[str, ...]:
        """Return ``name@born`` of servers recently found to be leaving."""
        outdated = [
            name
            for name, (_, at) in self._leaving.items()
            if now - at > LEAVING_MEMORY_S and name not in self._servers
        ]
        for name in outdated:
            del self._leaving[name]
        return tuple(
            f"{name}@{born}"
            for name, (born, at) in self._leaving.items()
            if now - at < LEAVING_ANNOUNCE_S
        )

    def gone_servers(self, now: float) -> tuple[str, ...]:
        """Return ``name@born`` of servers whose entries recently disappeared."""
        for memory in (self._gone, self._gone_for_peers):
            outdated = [n for n, (_, at) in memory.items() if now - at > GONE_MEMORY_S]
            for name in outdated:
                del memory[name]
        return tuple(
            f"{name}@{born}"
            for name, (born, at) in self._gone.items()
            if now - at < GONE_BLOCK_S
        )

    def is_gone(self, entry: ServerEntry) -> bool:
        """Return whether the entry of this incarnation was removed not long ago."""
        memories = (self._gone, self._gone_for_peers)
        gone = [memory[entry.name] for memory in memories if entry.name in memory]
        return any(born == entry.born for born, _ in gone)

    def is_change(self, change: TopicChange) -> bool:
        """Return whether a record adds, changes or removes an entry.

        A record that only renews an entry is no change.
        """
        known = self._servers.get(change.key)
        if known is None or known.expires_at is not None:
            return change.value is not None
        return known.entry != change.value

    def apply(self, entry: ServerEntry, now: float) -> tuple[bool, list]:
        """Add a server or replace its entry.

        :returns: whether the server is new or has restarted, and effects.
        """
        known = self._servers.get(entry.name)
        is_new = known is None or known.entry.born != entry.born
        if known is not None and known.entry.service != entry.service:
            self._by_service[known.entry.service].pop(entry.name, None)
        server = KnownServer(entry, now)
        leaving = self._leaving.get(entry.name)
        server.is_leaving = entry.state is ServerState.DRAINING or (
            leaving is not None and leaving[0] == entry.born
        )
        if known is not None and not is_new:
            server.gone_before = known.gone_before
        self._gone.pop(entry.name, None)
        self._gone_for_peers.pop(entry.name, None)
        self._servers[entry.name] = server
        self._by_service.setdefault(entry.service, {})[entry.name] = server
        was_leaving = known is not None and known.is_leaving and not is_new
        if server.is_leaving and not was_leaving:
            return is_new, self._mark_leaving(entry, "store", now)
        if is_new:
            return True, [_make_log_event("server_listed", entry)]
        return False, []

    def remove(self, name: str, reregister_until: float, now: float) -> list:
        """Handle the removal of a server's entry from the store.

        :param reregister_until: time until which the entry may return, if the store was
            unreachable.
        """
        known = self._servers.get(name)
        if known is None or known.expires_at is not None:
            return []
        if now < reregister_until and self._suggests_store_outage(
            known.entry.service, now
        ):
            known.expires_at = reregister_until
            return [_make_log_event("server_lapsed", known.entry)]
        known.expires_at = now
        self._gone[name] = (known.entry.born, now)
        return [_make_log_event("server_gone", known.entry)]

    def await_renewal(self, name: str, until: float) -> list:
        """Handle a server that is missing from a copy that the store returned to.

        :param until: time until which it may write its entry again.
        """
        known = self._servers.get(name)
        if known is None or known.expires_at is not None:
            return []
        known.expires_at = until
        return [_make_log_event("server_lapsed", known.entry)]

    def _suggests_store_outage(self, service: str, now: float) -> bool:
        """Return whether one more removal leaves a service too few registered servers.

        Then the store was unavailable to the servers too, so that live ones could not
        renew their entries. If only a few are missing, only this instance could not
        reach the store, and those servers have left.
        """
        servers = self._by_service.get(service, {})
        registered = sum(
            s.expires_at is None and s.is_usable(now) for s in servers.values()
        )
        return registered - 1 < MIN_REGISTERED_FRACTION * len(servers)

    def remove_expired(self, now: float) -> list[str]:
        """Remove servers whose ``expires_at`` has passed; return their names."""
        names = [
            name
            for name, server in self._servers.items()
            if server.expires_at is not None and server.expires_at <= now
        ]
        for name in names:
            service = self._servers.pop(name).entry.service
            self._by_service[service].pop(name, None)
        return names

    def apply_announcement(self, name: str, born: float, now: float) -> list:
        """Apply a response in which a server announces its shutdown.

        :param born: start of the incarnation that sent the response.
        """
        known = self._servers.get(name)
        if known is None or known.is_leaving or known.entry.born != born:
            return []
        known.is_leaving = True
        self.has_urgent_change = True
        return self._mark_leaving(known.entry, "response", now)

    def at_address(self, address: str) -> list[ServerEntry]:
        """Return the entries of the servers that listen at an address."""
        return [s.entry for s in self._servers.values() if s.entry.address == address]

    def apply_peer_leaving(self, report: str, now: float) -> list:
        """Apply a peer's report, ``name@born``, that a server is leaving."""
        known = self._find_registered(report)
        if known is None or known.is_leaving:
            return []
        known.is_leaving = True
        return self._mark_leaving(known.entry, "peer", now)

    def apply_peer_gone(self, report: str, position: EraPosition, now: float) -> list:
        """Apply a peer's report, ``name@born``, that a server's entry is gone.

        It holds until this instance has read as far itself, however late that is.

        :param position: position after the newest change that the peer has read.
        """
        known = self._find_registered(report)
        if known is None or now < known.blocked_until:
            return []
        known.blocked_until = now + GONE_BLOCK_S
        if known.gone_before is not None:
            return []
        if position > self._read_until:
            known.gone_before = position
            self._reported_gone.add(known.entry.name)
        self._gone_for_peers[known.entry.name] = (known.entry.born, now)
        return [_make_log_event("server_gone", known.entry, "peer")]

    def confirm_registered(self, position: EraPosition) -> None:
        """Record that the store was read; the entries that are left exist.

        :param position: position up to which it was read.
        """
        self._read_until = position
        for name in list(self._reported_gone):
            known = self._servers.get(name)
            if known is None or known.gone_before is None:
                self._reported_gone.discard(name)
            elif known.gone_before <= position:
                known.gone_before = None
                self._reported_gone.discard(name)

    def _find_registered(self, report: str) -> KnownServer | None:
        """Return the registered server that a report, ``name@born``, refers to."""
        name, _, born_text = report.rpartition("@")
        known = self._servers.get(name)
        if known is None or known.expires_at is not None:
            return None
        return known if str(known.entry.born) == born_text else None

    def _mark_leaving(self, entry: ServerEntry, source: str, now: float) -> list:
        self._leaving[entry.name] = (entry.born, now)
        return [_make_log_event("server_leaving", entry, source)]


def _make_log_event(event: str, entry: ServerEntry, source: str = "store") -> LogEvent:
    fields = (
        ("server", entry.name),
        ("service", entry.service),
        ("address", entry.address),
        ("source", source),
    )
    return LogEvent("info", event, fields=fields)

"""Cuts entry instances off from backend servers, as a partition does."""

import json
import socket
from pathlib import Path

from attrs import define, field

from standins.fleet import EntryInstance, Fleet
from standins.proxy import Proxy

__all__ = ["FAULTS_FOLDER", "Links"]

FAULTS_FOLDER = Path(__file__).resolve().parent / "faults"
"""On the module path of the instances; its ``sitecustomize`` reads how to connect."""

FILL_CONNECTIONS = 4
"""Connections after which the queue of a listener that accepts none is full."""


@define(slots=True, eq=False)
class Links:
    """The connections of entry instances to the servers of a fleet.

    :param proxies: the proxies before the servers.
    :ivar _hole: an address at which connections hang, since its queue is full.
    :ivar _closed: an address at which connections are refused.
    """

    fleet: Fleet
    proxies: list[Proxy]
    _hole: tuple[str, int] = field(init=False)
    _closed: tuple[str, int] = field(init=False)
    _sockets: list[socket.socket] = field(factory=list)

    def __attrs_post_init__(self):
        hole = socket.socket()
        hole.bind(("127.0.0.1", 0))
        hole.listen(0)
        self._hole = hole.getsockname()
        closed = socket.socket()
        closed.bind(("127.0.0.1", 0))
        self._closed = closed.getsockname()
        self._sockets = [hole, closed]
        for _ in range(FILL_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._hole)
            self._sockets.append(filler)
        for entry in self.fleet.instances:
            self.heal(entry)

    def close(self) -> None:
        """Close the sockets; instances must have ended."""
        for sock in self._sockets:
            sock.close()

    def cut(self, entry: EntryInstance, hangs: bool) -> None:
        """Cut an instance off from all servers.

        :param hangs: open and new connections hang; otherwise open ones are reset and
            new ones refused.
        """
        self._write(entry, self._hole if hangs else self._closed)
        for proxy in self.proxies:
            proxy.cut(entry.host, hangs)

    def heal(self, entry: EntryInstance) -> None:
        """Let an instance open connections to the servers again."""
        self._write(entry, None)

    def _write(self, entry: EntryInstance, instead: tuple[str, int] | None) -> None:
        ports = [proxy.address[1] for proxy in self.proxies]
        links = {"host": entry.host, "ports": ports, "instead": instead}
        path = Path(f"{entry.settings_file}.links")
        new = Path(f"{path}.new")
        new.write_text(json.dumps(links), encoding="utf-8")
        new.replace(path)

"""Networks of loopback addresses, each used by one fleet of the machine at a time."""

import errno
import socket

__all__ = ["reserve_network"]

LOCK_PORT = 9463
"""Port whose binding on the first address of a network reserves the network."""

MAX_NETWORKS = 25
"""Networks that are tried before the reservation fails."""

OCTET_STEP = 10
"""Difference of the second octets of networks that are tried one after the other."""

MAX_OCTET = 250


def reserve_network(subnet: str) -> tuple[str, socket.socket]:
    """Reserve a network, the wanted one or another one with the same third octet.

    Fleets use fixed ports on their addresses, and the same subnet may be in use by a
    run of another checkout.

    :param subnet: octets ``x.y`` of the wanted network ``127.x.y.*``.
    :returns: octets of the reserved network, and a socket that holds it until closed.
    :raises OSError: if all networks that were tried are in use.
    """
    first, third = map(int, subnet.split("."))
    for step in range(MAX_NETWORKS):
        second = (first - 1 + step * OCTET_STEP) % MAX_OCTET + 1
        lock = socket.socket()
        try:
            lock.bind((f"127.{second}.{third}.1", LOCK_PORT))
        except OSError as error:
            lock.close()
            if error.errno != errno.EADDRINUSE:
                raise
            continue
        return f"{second}.{third}", lock
    raise OSError(f"all networks for {subnet} are in use; end an earlier run")

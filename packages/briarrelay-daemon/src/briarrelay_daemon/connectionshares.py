"""How the descriptors of a process are shared among its connections."""

import resource

from attrs import frozen

__all__ = ["ConnectionShares", "usable_descriptors"]

FILE_DESCRIPTORS = 64
"""Descriptors below the system's limit that are kept for files and event loops."""

MAX_DESCRIPTORS = 65_536
"""Descriptors of a process whose settings and system name no lower number."""

OWN_SOCKETS = 16
"""Sockets that belong to no share: those that listen, and datagrams."""

MIN_CONNECTIONS = 8
"""Connections of the smallest share."""

CALLER_FRACTION = 0.4
DELEGATION_FRACTION = 0.1
QUESTION_FRACTION = 0.1
PAGE_FRACTION = 0.02
OUTGOING_FRACTION = 0.3


@frozen(slots=True)
class ConnectionShares:
    """Most connections of each kind that a process opens or accepts.

    :param callers: from callers.
    :param delegations: from peers that delegate requests.
    :param questions: from peers that ask for the configuration and servers.
    :param pages: for readiness, and as many for metrics.
    :param outgoing: to backend servers, peers and the platform.
    """

    callers: int
    delegations: int
    questions: int
    pages: int
    outgoing: int

    @property
    def peers(self) -> int:
        """Connections from peers to a process that serves all they ask at one port."""
        return self.delegations + self.questions

    @classmethod
    def of(cls, sockets: int) -> "ConnectionShares":
        """Return the shares of a number of sockets."""
        shared = sockets - OWN_SOCKETS
        fractions = (
            CALLER_FRACTION,
            DELEGATION_FRACTION,
            QUESTION_FRACTION,
            PAGE_FRACTION,
            OUTGOING_FRACTION,
        )
        return cls(*(max(MIN_CONNECTIONS, int(shared * part)) for part in fractions))


def usable_descriptors(configured: int | None) -> int:
    """Return how many sockets the process may open.

    :param configured: number that the settings name, None if they name none.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        soft_limit = MAX_DESCRIPTORS
    usable = min(soft_limit, MAX_DESCRIPTORS) - FILE_DESCRIPTORS
    return usable if configured is None else min(configured, usable)

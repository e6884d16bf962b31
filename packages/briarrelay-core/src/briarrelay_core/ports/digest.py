"""Messages between entry instances that carry routes."""

from attrs import field, frozen

from briarrelay_core.ports.directory import PeerAddress

__all__ = [
    "AskPeer",
    "DigestHeard",
    "LoadDigest",
    "NEVER_S",
    "PeerAnswered",
    "SendDigest",
    "ServerLoad",
]


NEVER_S = 1e6
"""Seconds told for a reading that never was."""


@frozen(slots=True)
class ServerLoad:
    """What one entry instance has in progress on a backend server.

    :param read_s: seconds of prompts still to be read there.
    :param leads: requests sent to it.
    :param helps: requests for which it reads a part.
    :param tokens: context tokens of its requests.
    :param streams: longest pause in seconds and weight of the streams written there.
    """

    read_s: float = 0.0
    leads: int = 0
    helps: int = 0
    tokens: int = 0
    streams: tuple[tuple[float, float], ...] = ()


@frozen(slots=True, kw_only=True)
class LoadDigest:
    """What an entry instance tells its peers; the newest replaces all before.

    :param number: rises with each digest of an incarnation.
    :param version: version of the configuration in force there.
    :param presets: revision of the presets there.
    :param directory: offset behind the newest change of a server that it read.
    :param directory_age_s: seconds since it read the servers from the platform.
    :param gone: backend servers whose entries went without a word of leaving.
    :param leaving: backend servers known to leave or to be gone.
    :param peers: entry instances heard of late.
    """

    sender: PeerAddress
    incarnation: int
    number: int
    version: int
    loads: dict[str, ServerLoad] = field(factory=dict)
    leaving: tuple[str, ...] = ()
    peers: tuple[PeerAddress, ...] = ()
    presets: int = 0
    directory: int = 0
    directory_age_s: float = NEVER_S
    gone: tuple[str, ...] = ()


@frozen(slots=True)
class SendDigest:
    """Effect: send a digest to peers; it may be lost."""

    digest: LoadDigest
    peers: tuple[PeerAddress, ...]


@frozen(slots=True)
class DigestHeard:
    """A peer's digest arrived."""

    digest: LoadDigest


@frozen(slots=True)
class AskPeer:
    """Effect: ask a peer for its configuration and servers."""

    peer: PeerAddress


@frozen(slots=True)
class PeerAnswered:
    """A peer's answer to AskPeer.

    :param changes: the configuration, the presets and the servers it knows, as topic
        changes.
    """

    peer: PeerAddress
    changes: tuple = ()
    problem: str = ""

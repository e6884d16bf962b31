"""Messages by which entry instances share load and configuration."""

from attrs import field, frozen

from briarrelay_core.ports.cold import ColdReport
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.ports.evacuation import EvacuationReport
from briarrelay_core.ports.position import START, EraPosition
from briarrelay_core.ports.room import PeerRoom
from briarrelay_core.ports.route import RateLimit

__all__ = [
    "MAX_CRASH_REPORTS",
    "MAX_CONTENTS",
    "MAX_CONTENT_CHARS",
    "MAX_CUT_OFF_REPORTS",
    "MAX_HELD_REPORTS",
    "MAX_LIMIT_REPORTS",
    "MAX_PROBE_S",
    "MAX_QUARANTINE_REPORTS",
    "MAX_REPORT_SERVERS",
    "MAX_SURVIVED_REPORTS",
    "MIN_REACH",
    "UNKNOWN_AGE_S",
    "CrashReport",
    "DigestReceived",
    "HeldReport",
    "LimitReport",
    "LoadDigest",
    "PeerResponse",
    "QuarantineReport",
    "QueryPeer",
    "SendDigest",
    "ServerLoad",
]


UNKNOWN_AGE_S = 1e6
"""Maximum age in seconds; also the age of a directory that was never read."""

MAX_CRASH_REPORTS = 32
"""Most crashes that a digest reports."""

MAX_CONTENTS = 33
"""Most contents of a crash report."""

MAX_CONTENT_CHARS = 128
"""Longest name of a content: a part of prompts, or a whole request."""

MAX_PROBE_S = 3.0
"""Longest time in seconds for which a request with a suspect content keeps others with
it from servers."""

MAX_QUARANTINE_REPORTS = 16
"""Most quarantined contents that a digest reports."""

MAX_CUT_OFF_REPORTS = 16
"""Most services that a digest reports as out of reach."""

MAX_HELD_REPORTS = 8
"""Most beginnings of prompts held by servers that a digest reports."""

MAX_LIMIT_REPORTS = 16
"""Most limits of servers that a digest reports."""

MIN_REACH = 0.5
"""Share of servers that a sender still reaches, below which its reports of crashes do
not count."""

MAX_REPORT_SERVERS = 8
"""Most servers named as the reason for a quarantine."""

MAX_SURVIVED_REPORTS = 32
"""Most contents that a digest reports as sound."""


@frozen(slots=True)
class ServerLoad:
    """What one entry instance has in progress on a backend server.

    :param read_s: seconds of prompt processing (prefill) that are left there.
    :param lead_requests: number of requests forwarded to it.
    :param helper_requests: number of requests of other engines for which it
        processes a part of the prompt.
    :param tokens: context tokens held by its requests.
    :param streams: pairs of the maximum pause between events in seconds and the weight
        of the streams with that maximum.
    """

    read_s: float = 0.0
    lead_requests: int = 0
    helper_requests: int = 0
    tokens: int = 0
    streams: tuple[tuple[float, float], ...] = ()


@frozen(slots=True, kw_only=True)
class CrashReport:
    """A server closed the connection of an attempt before it survived the request.

    :param server: the engine's incarnation, ``name@born``.
    :param contents: contents of the request, the shared parts of its prompt first.
    :param sent_age_s: seconds since the request was sent.
    :param lost_age_s: seconds since the connection was closed.
    """

    server: str
    contents: tuple[str, ...]
    sent_age_s: float
    lost_age_s: float


@frozen(slots=True, kw_only=True)
class QuarantineReport:
    """A content is quarantined, since it crashes servers.

    :param remaining_s: seconds until the quarantine lapses.
    :param since_age_s: seconds since the attempt of the first counted strike was sent.
    :param servers: servers that it crashed, as ``name@born``.
    """

    content: str
    remaining_s: float
    since_age_s: float
    servers: tuple[str, ...] = ()


@frozen(slots=True, kw_only=True)
class LimitReport:
    """A server named a limit on the requests of all instances, or named none again.

    :param server: its name.
    :param born: start of the server, in Unix seconds.
    :param limit: None if it is no longer in force.
    :param age_s: seconds since the last response that named it; if it is no longer in
        force, since the request was sent whose response did not.
    :param since_age_s: seconds since the instances' turns are counted.
    """

    server: str
    born: float
    limit: RateLimit | None
    age_s: float
    since_age_s: float


@frozen(slots=True)
class HeldReport:
    """A server has read a beginning of a prompt, which it may still hold.

    :param born: start of the server, in Unix seconds.
    :param key: see :class:`briarrelay_core.routes.retention.beginnings.Beginning`.
    :param age_s: seconds since it was read.
    """

    server: str
    born: float
    key: str
    tokens: int
    age_s: float


@frozen(slots=True, kw_only=True)
class LoadDigest:
    """State that an entry instance sends to its peers; the newest replaces the others.

    :param number: sequence number of the digest within the incarnation.
    :param version: version of the configuration that the sender applies.
    :param loads: what the sender has in progress on each backend server, by name.
    :param leaving: backend servers that are shutting down or have stopped, as
        ``name@born``.
    :param peers: addresses of entry instances that were active recently.
    :param presets: position of the presets that the sender applies.
    :param directory: position after the newest change of a server that it read.
    :param directory_age_s: seconds since the sender read the servers from the platform.
    :param gone: backend servers whose entries were recently removed from the store, as
        ``name@born``.
    :param paused: seconds for which backend servers asked the sender for no further
        requests, by name.
    :param crashes: servers that closed connections to the sender lately.
    :param quarantined: contents that the sender keeps from servers.
    :param probed: seconds for which peers hold requests with suspect contents, since
        the sender has sent one.
    :param survived: seconds since a server survived a content that was reported struck.
    :param limits: limits of servers that the sender observed lately.
    :param cut_off: services whose backend servers the sender can not reach.
    :param held: beginnings of prompts that servers have read for the sender lately.
    :param room: what peers may give the sender, None if it does not say.
    :param reach: share of the servers of a service that the sender still reaches, of
        those that it reached before it lost some at once; 1 if it lost none.
    :param dropped_fields: fields that the receiver could not read.
    :param members: number of instances that the sender knows, itself included; 1 if it
        reports no limits.
    :param evacuations: data centres whose evacuation was asked for, or taken back
        lately.
    :param cold: backend servers that are cold.
    :param invalid_reports: number of these reports that were invalid and left out when
        the digest was decoded.
    """

    sender: PeerAddress
    incarnation: int
    number: int
    version: int
    loads: dict[str, ServerLoad] = field(factory=dict)
    leaving: tuple[str, ...] = ()
    peers: tuple[PeerAddress, ...] = ()
    presets: EraPosition = START
    directory: EraPosition = START
    directory_age_s: float = UNKNOWN_AGE_S
    gone: tuple[str, ...] = ()
    paused: dict[str, float] = field(factory=dict)
    crashes: tuple[CrashReport, ...] = ()
    quarantined: tuple[QuarantineReport, ...] = ()
    survived: dict[str, float] = field(factory=dict)
    probed: dict[str, float] = field(factory=dict)
    limits: tuple[LimitReport, ...] = ()
    members: int = 1
    cut_off: tuple[str, ...] = ()
    evacuations: tuple[EvacuationReport, ...] = ()
    cold: tuple[ColdReport, ...] = ()
    held: tuple[HeldReport, ...] = ()
    room: PeerRoom | None = None
    reach: float = 1.0
    dropped_fields: tuple[str, ...] = ()
    invalid_reports: int = field(default=0, eq=False)


@frozen(slots=True)
class SendDigest:
    """Effect: send a digest to peers, without acknowledgement or retry."""

    digest: LoadDigest
    peers: tuple[PeerAddress, ...]


@frozen(slots=True)
class DigestReceived:
    """A peer's digest arrived."""

    digest: LoadDigest


@frozen(slots=True)
class QueryPeer:
    """Effect: fetch the configuration, presets and servers from a peer."""

    peer: PeerAddress


@frozen(slots=True)
class PeerResponse:
    """Response to QueryPeer.

    :param changes: the peer's configuration, presets and servers as topic changes.
    :param problem: why the response is missing or invalid, empty if it is valid.
    """

    peer: PeerAddress
    changes: tuple = ()
    problem: str = ""

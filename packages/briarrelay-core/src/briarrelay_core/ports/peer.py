"""Messages between entry instances; every one is one-way."""

from attrs import evolve, field, frozen

__all__ = [
    "Digest",
    "Evidence",
    "FetchRevision",
    "FromPeer",
    "HandOver",
    "HandOverTaken",
    "MemoryReply",
    "PeerMessage",
    "PeerUnreachable",
    "RecentSend",
    "ReleaseMemory",
    "RelayAnswer",
    "RelayCancel",
    "RelayRequest",
    "ReportEntry",
    "ReserveMemory",
    "RevisionSnapshot",
    "SendPeer",
    "WorkspaceDemand",
]


@frozen(slots=True)
class RecentSend:
    """Prompt tokens that the sender has just given an engine."""

    engine: str
    length_class: int
    tokens: int
    at: float
    excess: bool = False


@frozen(slots=True)
class Evidence:
    """What the sender knows of an incarnation."""

    name: str
    incarnation: int
    state: str


@frozen(slots=True)
class ReportEntry:
    """An engine's load report, passed on."""

    engine: str
    as_of: float
    queued_short: int
    queued_medium: int
    queued_long: int
    memory_free: int
    decoding: int
    memory_total: int
    rate: float
    step_s: float
    models: tuple[str, ...] = ()

    def without_size(self) -> "ReportEntry":
        """Return the report without what seldom changes."""
        return evolve(self, memory_total=0, rate=0.0, step_s=0.0, models=())


@frozen(slots=True)
class WorkspaceDemand:
    """Prompt tokens a second that a workspace asks of the sender."""

    workspace: str
    rate: float


@frozen(slots=True)
class Digest:
    """Bounded summary of what the sender knows, sent to a random peer."""

    as_of: float
    revision: int
    draining: bool
    demand_rate: float
    sends: tuple[RecentSend, ...] = ()
    evidence: tuple[Evidence, ...] = ()
    reports: tuple[ReportEntry, ...] = ()
    demands: tuple[WorkspaceDemand, ...] = ()


@frozen(slots=True)
class ReserveMemory:
    """Ask the allocator of an engine for memory.

    :param expires: Unix seconds after which the reservation is void.
    """

    engine: str
    request_id: str
    attempt: int
    tokens: int
    expires: float


@frozen(slots=True)
class MemoryReply:
    """Answer to ReserveMemory."""

    engine: str
    request_id: str
    attempt: int
    granted: bool
    free: int


@frozen(slots=True)
class ReleaseMemory:
    """Give a reservation back."""

    engine: str
    request_id: str
    attempt: int


@frozen(slots=True)
class FetchRevision:
    """Ask for the sender's configuration if it is newer than a revision."""

    known: int


@frozen(slots=True)
class RevisionSnapshot:
    """A whole configuration state at a revision, as JSON text."""

    revision: int
    offset: int
    body: str


@frozen(slots=True)
class HandOver:
    """Records of a stopping instance for a peer to append."""

    stream: str
    bodies: tuple[str, ...]


@frozen(slots=True)
class HandOverTaken:
    """The peer keeps the records that were handed over."""

    stream: str
    count: int


@frozen(slots=True)
class RelayRequest:
    """A whole request that the sender's data centre cannot serve."""

    request_id: str
    key: str
    model: str
    prompt_tokens: int
    output_tokens: int
    deadline: float
    hops: int
    blocks: tuple[int, ...] = ()
    payload: bytes = field(default=b"", repr=False)


@frozen(slots=True)
class RelayAnswer:
    """Part of the answer to a relayed request.

    :param seq: index of the part, from 0.
    :param outcome: empty until the last part, then the outcome's tag.
    """

    request_id: str
    seq: int
    text: str
    outcome: str = ""
    reason: str = ""
    output_tokens: int = 0


@frozen(slots=True)
class RelayCancel:
    """The caller of a relayed request is gone."""

    request_id: str


PeerMessage = (
    Digest
    | ReserveMemory
    | MemoryReply
    | ReleaseMemory
    | FetchRevision
    | RevisionSnapshot
    | HandOver
    | HandOverTaken
    | RelayRequest
    | RelayAnswer
    | RelayCancel
)


@frozen(slots=True)
class SendPeer:
    """Effect: deliver a message to a peer, at most once."""

    peer: str
    message: PeerMessage


@frozen(slots=True)
class PeerUnreachable:
    """A message to a peer was not answered."""

    peer: str
    message: PeerMessage


@frozen(slots=True)
class FromPeer:
    """A message of a peer has arrived."""

    peer: str
    incarnation: int
    message: PeerMessage

"""One-way messages between entry instances.

Class and field names are those of the protobuf messages in ``peer.proto``.
"""

from attrs import evolve, field, frozen

__all__ = [
    "Digest",
    "Evidence",
    "FetchRevision",
    "HandOver",
    "HandOverTaken",
    "MemoryReply",
    "PeerMessage",
    "PeerMessageReceived",
    "PeerUnreachable",
    "RecentSend",
    "RelayAnswer",
    "RelayCancel",
    "RelayRequest",
    "ReleaseMemory",
    "ReportEntry",
    "ReserveMemory",
    "RevisionSnapshot",
    "SendToPeer",
    "WorkspaceDemand",
]


@frozen(slots=True)
class RecentSend:
    """Prompt tokens that the sender sent to an engine.

    Peers add them to the engine's queue until its next load report includes them.

    :param length_class: index of the length class, 0 being the shortest.
    :param at: Unix seconds of the send.
    """

    engine: str
    length_class: int
    tokens: int
    at: float
    excess: bool = False


@frozen(slots=True)
class Evidence:
    """State of an incarnation, as observed by the sender.

    :param state: value of :class:`~briarrelay_core.ports.platform.LifecycleState`.
    """

    name: str
    incarnation: int
    state: str


@frozen(slots=True)
class ReportEntry:
    """Load report of an engine, forwarded to peers."""

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

    def without_static_fields(self) -> "ReportEntry":
        """Return the report without the fields that seldom change."""
        return evolve(self, memory_total=0, rate=0.0, step_s=0.0, models=())


@frozen(slots=True)
class WorkspaceDemand:
    """Prompt tokens per second that a workspace requests from the sender."""

    workspace: str
    rate: float


@frozen(slots=True)
class Digest:
    """Bounded summary of the sender's state, for gossip.

    :param as_of: Unix seconds at which it was made.
    :param revision: configuration revision that the sender applies.
    :param demand_rate: prompt tokens per second requested from the sender.
    """

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
    """Request memory from the entry instance that allocates an engine's memory.

    :param expires: Unix seconds at which the reservation ends.
    """

    engine: str
    request_id: str
    attempt: int
    tokens: int
    expires: float


@frozen(slots=True)
class MemoryReply:
    """Response to ReserveMemory.

    :param free: memory of the engine that can still be reserved, in tokens.
    """

    engine: str
    request_id: str
    attempt: int
    granted: bool
    free: int


@frozen(slots=True)
class ReleaseMemory:
    """Release a reservation."""

    engine: str
    request_id: str
    attempt: int


@frozen(slots=True)
class FetchRevision:
    """Request the receiver's configuration if it is newer than the sender's.

    :param known: revision that the sender has.
    """

    known: int


@frozen(slots=True)
class RevisionSnapshot:
    """Complete configuration state at a revision.

    :param offset: log offset up to which the state is folded.
    :param body: JSON text.
    """

    revision: int
    offset: int
    body: str


@frozen(slots=True)
class HandOver:
    """Records that a stopping instance could not append; the receiver appends them.

    :param first: number of the first record in the sender's queue.
    """

    stream: str
    bodies: tuple[str, ...]
    first: int = 0


@frozen(slots=True)
class HandOverTaken:
    """Acknowledgement of HandOver.

    :param count: number of records that the sender of this message has taken over,
        from the first one on.
    :param first: number of the first record, as in HandOver.
    """

    stream: str
    count: int
    first: int = 0


@frozen(slots=True)
class RelayRequest:
    """A complete request that the sender's data centre cannot serve."""

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
    """Part of the response to a relayed request.

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
    """The caller of a relayed request disconnected."""

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
class SendToPeer:
    """Effect: send a message to a peer; it is delivered at most once."""

    peer: str
    message: PeerMessage


@frozen(slots=True)
class PeerUnreachable:
    """The delivery of a message to a peer was not acknowledged."""

    peer: str
    message: PeerMessage


@frozen(slots=True)
class PeerMessageReceived:
    """A message arrived from a peer.

    :param incarnation: incarnation of the peer.
    """

    peer: str
    incarnation: int
    message: PeerMessage

"""Messages between the core and the platform's store of servers and configuration."""

from enum import StrEnum

from attrs import field, frozen

from briarrelay_core.ports.evacuation import Evacuation
from briarrelay_core.ports.quarantine import QuarantineRecord
from briarrelay_core.routes.model import RouteConfiguration
from briarrelay_core.routes.presets import PresetCollection

__all__ = [
    "EntryPublished",
    "ListTopic",
    "PeerAddress",
    "PollTopic",
    "PresetsReplaced",
    "PublishEntry",
    "ReadTopic",
    "ReplacePresets",
    "ServerEntry",
    "ServerState",
    "Topic",
    "TopicChange",
    "TopicExpired",
    "TopicFailed",
    "TopicListed",
    "TopicPolled",
    "TopicRead",
]


class Topic(StrEnum):
    """Topics of the store that an entry instance reads.

    It follows the changes of all of them but the quarantine.
    """

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    ENTRIES = "entries"
    PRESETS = "presets"
    QUARANTINE = "quarantine"


class ServerState(StrEnum):
    """State that a backend server publishes in its entry."""

    READY = "ready"
    DRAINING = "draining"


@frozen(slots=True, kw_only=True)
class ServerEntry:
    """Registration of a backend server.

    :param born: Unix seconds of its start.
    :param slots: maximum number of concurrent requests.
    :param cold_remaining_s: seconds for which it stays cold. Entries differ if only one
        of them is cold, not as this time passes.
    :param problem: which values were invalid and left out, else empty.
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    state: ServerState
    slots: int
    born: float = 0.0
    cold_remaining_s: float = field(default=0.0, eq=bool)
    problem: str = field(default="", eq=False)

    @property
    def address(self) -> str:
        """Address on which the server listens, as ``host:port``."""
        return f"{self.host}:{self.port}"


@frozen(slots=True, kw_only=True)
class PeerAddress:
    """Address at which an entry instance serves its peers.

    :param question_port: TCP port for HTTP requests of peers.
    :param digest_port: UDP port for digests, and TCP port for requests of peers.
    :param data_centre: empty if unknown.
    """

    name: str
    host: str
    question_port: int
    digest_port: int
    data_centre: str = ""


@frozen(slots=True)
class TopicChange:
    """The newest value of a key.

    :param value: None if the key was deleted or its value is invalid.
    :param problem: why the value, or a part of it that is left out, is invalid; else
        empty.
    :param position: offset after the record, 0 if unknown.
    :param is_from_copy: it was listed when the store had just returned to a copy, which
        may lack later changes.
    """

    key: str
    value: (
        ServerEntry
        | PeerAddress
        | RouteConfiguration
        | PresetCollection
        | QuarantineRecord
        | Evacuation
        | None
    )
    problem: str = ""
    position: int = 0
    is_from_copy: bool = False


@frozen(slots=True)
class ListTopic:
    """Effect: read the newest value of each key.

    :param after: last key of the previous page, empty for the first page.
    :param generation: copied to the response.
    """

    topic: Topic
    after: str = ""
    generation: int = 0


@frozen(slots=True)
class ReadTopic:
    """Effect: read changes from an offset on by long polling.

    :param wait_s: maximum seconds that the platform waits for a change.
    :param generation: copied to the response.
    """

    topic: Topic
    start: int
    wait_s: float
    generation: int = 0


@frozen(slots=True)
class TopicListed:
    """Response to ListTopic.

    :param end: offset after the newest record at the time of the read.
    :param has_more: more pages follow.
    :param era: era of the store, None if it does not report one.
    """

    topic: Topic
    changes: tuple[TopicChange, ...]
    end: int
    has_more: bool
    generation: int = 0
    era: int | None = None


@frozen(slots=True)
class TopicRead:
    """Response to ReadTopic.

    :param end: offset at which to continue.
    :param era: era of the store, None if it does not report one.
    :param has_more: the store had more changes than one response holds.
    """

    topic: Topic
    changes: tuple[TopicChange, ...]
    end: int
    generation: int = 0
    era: int | None = None
    has_more: bool = False


@frozen(slots=True)
class PollTopic:
    """Effect: read changes without waiting, concurrently with another read.

    :param generation: copied to the response.
    :param needs_new_connection: the open ones may be dead without notice.
    """

    topic: Topic
    start: int
    generation: int = 0
    needs_new_connection: bool = False


@frozen(slots=True)
class TopicPolled:
    """Response to PollTopic.

    :param era: era of the store, None if it does not report one.
    :param end: offset at which to continue, None if it is unknown.
    :param has_more: the store had more changes than one response holds.
    """

    topic: Topic
    changes: tuple[TopicChange, ...]
    generation: int = 0
    era: int | None = None
    end: int | None = None
    has_more: bool = False


@frozen(slots=True)
class TopicExpired:
    """The platform does not have the record at the requested offset.

    It has expired, or the store has returned to a copy that ends before it.

    :param era: era of the store, None if it does not report one.
    """

    topic: Topic
    generation: int = 0
    era: int | None = None


@frozen(slots=True)
class TopicFailed:
    """A ListTopic or ReadTopic failed or its response is invalid."""

    topic: Topic
    problem: str = field(default="")
    generation: int = 0


@frozen(slots=True)
class PublishEntry:
    """Effect: register this entry instance in the store, or deregister it.

    :param is_live: False to deregister.
    """

    address: PeerAddress
    is_live: bool


@frozen(slots=True)
class EntryPublished:
    """Response to PublishEntry.

    :param era: era of the store, None if it does not report one.
    """

    is_done: bool
    era: int | None = None


@frozen(slots=True)
class ReplacePresets:
    """Effect: write the presets if an offset is still the end of their topic."""

    collection: PresetCollection
    position: int


@frozen(slots=True)
class PresetsReplaced:
    """Response to ReplacePresets.

    :param is_done: None if it is unknown whether the presets were written.
    :param era: era of the store, None if it does not report one.
    """

    collection: PresetCollection
    is_done: bool | None
    era: int | None = None

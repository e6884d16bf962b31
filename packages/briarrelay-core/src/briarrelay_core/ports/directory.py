"""Messages between the core and the platform's news of servers and configuration."""

from enum import StrEnum

from attrs import field, frozen

from briarrelay_core.routes.model import RouteConfiguration
from briarrelay_core.routes.presets import PresetBook

__all__ = [
    "CheckTopic",
    "EntryPublished",
    "ListTopic",
    "PeerAddress",
    "PublishEntry",
    "ReadTopic",
    "ServerEntry",
    "ServerState",
    "Topic",
    "TopicChange",
    "TopicChecked",
    "TopicExpired",
    "TopicFailed",
    "TopicListed",
    "TopicRead",
]


class Topic(StrEnum):
    """What is followed."""

    CONFIGURATION = "configuration"
    SERVERS = "servers"
    ENTRIES = "entries"
    PRESETS = "presets"


class ServerState(StrEnum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@frozen(slots=True, kw_only=True)
class ServerEntry:
    """What a backend server registered.

    :param born: Unix seconds of its start.
    :param slots: requests that it runs at a time.
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    state: ServerState
    slots: int
    born: float = 0.0

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self.host}:{self.port}"


@frozen(slots=True, kw_only=True)
class PeerAddress:
    """Where an entry instance takes digests and questions of its peers.

    :param data_centre: empty if it is not known.
    """

    name: str
    host: str
    question_port: int
    digest_port: int
    data_centre: str = ""


@frozen(slots=True)
class TopicChange:
    """The newest value of a key.

    :param value: None if the key was dropped or the value is of no use.
    :param problem: why the value is of no use, empty if it is.
    :param position: offset behind the record, 0 if it is not known.
    """

    key: str
    value: ServerEntry | PeerAddress | RouteConfiguration | PresetBook | None
    problem: str = ""
    position: int = 0


@frozen(slots=True)
class ListTopic:
    """Effect: read the newest value of each key.

    :param after: key to continue after, empty to begin.
    """

    topic: Topic
    after: str = ""


@frozen(slots=True)
class ReadTopic:
    """Effect: read changes from an offset on.

    :param wait_s: seconds that the platform may wait for a change.
    """

    topic: Topic
    start: int
    wait_s: float


@frozen(slots=True)
class TopicListed:
    """Answer to ListTopic.

    :param end: offset after the newest record when the page was read.
    :param has_more: further pages follow the last key.
    """

    topic: Topic
    changes: tuple[TopicChange, ...]
    end: int
    has_more: bool


@frozen(slots=True)
class TopicRead:
    """Answer to ReadTopic.

    :param end: offset to read from next.
    """

    topic: Topic
    changes: tuple[TopicChange, ...]
    end: int


@frozen(slots=True)
class CheckTopic:
    """Effect: read changes without waiting, beside a waiting read of the topic."""

    topic: Topic
    start: int


@frozen(slots=True)
class TopicChecked:
    """Answer to CheckTopic."""

    topic: Topic
    changes: tuple[TopicChange, ...]


@frozen(slots=True)
class TopicExpired:
    """The records from the wanted offset on are no longer kept."""

    topic: Topic


@frozen(slots=True)
class TopicFailed:
    """No usable answer to ListTopic or ReadTopic."""

    topic: Topic
    problem: str = field(default="")


@frozen(slots=True)
class PublishEntry:
    """Effect: tell the platform where this instance is, or that it stopped."""

    address: PeerAddress
    is_live: bool


@frozen(slots=True)
class EntryPublished:
    """Answer to PublishEntry."""

    is_done: bool

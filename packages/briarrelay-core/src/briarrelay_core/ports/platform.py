"""Messages between the core, the platform's instance list and its weight store."""

from enum import StrEnum

from attrs import frozen

__all__ = [
    "FetchWeights",
    "InstanceKind",
    "InstanceList",
    "LifeState",
    "ListedInstance",
    "OrderAnswer",
    "OrderKind",
    "ReadEngineState",
    "ReadInstanceList",
    "SendOrder",
    "WeightsReady",
]


class InstanceKind(StrEnum):
    """What runs on an instance."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class LifeState(StrEnum):
    """What is known of an incarnation; later members override earlier ones."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@frozen(slots=True)
class ListedInstance:
    """An entry of the platform's instance list.

    :param incarnation: rises each time the instance's process starts.
    :param checks_fencing: the backend server refuses old fencing numbers.
    """

    name: str
    incarnation: int
    kind: InstanceKind
    data_centre: str
    host: str
    port: int
    state: LifeState
    checks_fencing: bool = False
    service: str = ""


@frozen(slots=True)
class InstanceList:
    """Answer of the instance list, which lags behind."""

    version: int
    instances: tuple[ListedInstance, ...]
    failed: bool = False


@frozen(slots=True)
class ReadInstanceList:
    """Effect: read the instance list if it is newer than a version."""

    known_version: int


class OrderKind(StrEnum):
    """What an engine is told to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


@frozen(slots=True)
class SendOrder:
    """Effect: send an idempotent order to an engine.

    :param fencing: offset of the sender's lease record.
    """

    engine: str
    kind: OrderKind
    value: str
    fencing: int


@frozen(slots=True)
class ReadEngineState:
    """Effect: read back what an engine has in force."""

    engine: str


@frozen(slots=True)
class OrderAnswer:
    """What an engine has in force, read back or after an order."""

    engine: str
    accepted: bool
    highest_fencing: int
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    failed: bool = False


@frozen(slots=True)
class FetchWeights:
    """Effect: ask the weight store to make a model's weights ready."""

    model: str


@frozen(slots=True)
class WeightsReady:
    """Answer of the weight store.

    :param retry_after: seconds to wait when the store refuses for its rate limit.
    """

    model: str
    ready: bool
    retry_after: float = 0.0

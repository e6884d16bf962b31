"""Messages between the core, the instance list, engines and the weight store."""

from enum import StrEnum

from attrs import frozen

__all__ = [
    "EngineState",
    "FetchWeights",
    "InstanceKind",
    "InstanceList",
    "LifecycleState",
    "ListedInstance",
    "OrderKind",
    "ReadEngineState",
    "ReadInstanceList",
    "SendOrder",
    "WeightsStatus",
]


class InstanceKind(StrEnum):
    """Kind of process that an instance runs."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class LifecycleState(StrEnum):
    """Lifecycle state of an incarnation; later members override earlier ones."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@frozen(slots=True)
class ListedInstance:
    """An entry of the platform's instance list.

    :param incarnation: increases each time the instance's process starts.
    :param checks_fencing: the backend server refuses orders with a fencing token lower
        than the highest that it has received.
    :param service: plain service that the instance runs, empty for other kinds.
    """

    name: str
    incarnation: int
    kind: InstanceKind
    data_centre: str
    host: str
    port: int
    state: LifecycleState
    checks_fencing: bool = False
    service: str = ""


@frozen(slots=True)
class InstanceList:
    """Response to ReadInstanceList; the list may lag behind the actual state."""

    version: int
    instances: tuple[ListedInstance, ...]
    failed: bool = False


@frozen(slots=True)
class ReadInstanceList:
    """Effect: read the instance list if it is newer than a version."""

    known_version: int


class OrderKind(StrEnum):
    """Kind of an order to an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


@frozen(slots=True)
class SendOrder:
    """Effect: send an idempotent order to an engine.

    :param fencing: fencing token, the offset of the sender's lease record.
    """

    engine: str
    kind: OrderKind
    value: str
    fencing: int


@frozen(slots=True)
class ReadEngineState:
    """Effect: read the models, adapters and role of an engine."""

    engine: str


@frozen(slots=True)
class EngineState:
    """State of an engine, in response to SendOrder or ReadEngineState.

    :param highest_fencing: highest fencing token that the engine has accepted.
    """

    engine: str
    accepted: bool
    highest_fencing: int
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    failed: bool = False


@frozen(slots=True)
class FetchWeights:
    """Effect: request that the weight store makes the weights of a model available."""

    model: str


@frozen(slots=True)
class WeightsStatus:
    """Response to FetchWeights.

    :param ready: the weights are available.
    :param retry_after: seconds to wait if the weight store's rate limit was exceeded.
    """

    model: str
    ready: bool
    retry_after: float = 0.0

"""Messages between callers and the core."""

from attrs import field, frozen

from briarrelay_core.outcomes import Outcome

__all__ = [
    "CallerGone",
    "ChatRequest",
    "SendOutcome",
    "SendResponseText",
    "ServiceRequest",
]


@frozen(slots=True)
class ChatRequest:
    """A prompt to be answered by a model engine.

    :param key: bearer key that names the workspace.
    :param prompt_tokens: length of the prompt in tokens.
    :param output_tokens: maximum number of tokens to generate.
    :param blocks: chained hashes of the prompt's cache blocks, first block first.
    :param deadline: Unix seconds by which the response must be complete.
    :param payload: request body for the engine, which the core does not parse.
    :param hops: number of times the request was relayed to another data centre.
    """

    request_id: str
    key: str
    model: str
    prompt_tokens: int
    output_tokens: int
    deadline: float
    blocks: tuple[int, ...] = ()
    payload: bytes = field(default=b"", repr=False)
    hops: int = 0


@frozen(slots=True)
class ServiceRequest:
    """A call to a plain service.

    :param idempotency_key: UUIDv7 that identifies the call when its caller retries it,
        empty if there is none.
    """

    request_id: str
    key: str
    service: str
    path: str
    body: bytes
    deadline: float
    idempotency_key: str = ""


@frozen(slots=True)
class CallerGone:
    """The caller's connection closed before the response was complete.

    :param slow: this instance closed it because the caller read too slowly.
    """

    request_id: str
    slow: bool = False


@frozen(slots=True)
class SendResponseText:
    """Effect: send generated text to the caller."""

    request_id: str
    text: str


@frozen(slots=True)
class SendOutcome:
    """Effect: send the outcome of a request to its caller without delay."""

    request_id: str
    outcome: Outcome
    output_tokens: int = 0

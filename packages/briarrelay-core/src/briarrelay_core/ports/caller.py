"""Messages between callers and the core."""

from attrs import field, frozen

from briarrelay_core.outcomes import Outcome

__all__ = [
    "AnswerText",
    "CallerGone",
    "ChatRequest",
    "Finish",
    "ServiceRequest",
]


@frozen(slots=True)
class ChatRequest:
    """A prompt to be answered by a model engine.

    :param key: bearer key that names the workspace.
    :param prompt_tokens: length of the prompt in tokens.
    :param output_tokens: most tokens to generate.
    :param blocks: chained hashes of the prompt's cache blocks, first block first.
    :param deadline: Unix seconds by which the answer must be whole.
    :param payload: body that the engine receives, opaque here.
    :param hops: how many data centres the request has left before.
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

    :param idempotency_key: UUIDv7 of a call that may be repeated by its caller.
    :param repeatable: whether running it twice does no harm.
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
    """The caller's connection has ended before the answer was whole."""

    request_id: str
    slow: bool = False


@frozen(slots=True)
class AnswerText:
    """Effect: pass generated text on to the caller."""

    request_id: str
    text: str


@frozen(slots=True)
class Finish:
    """Effect: the final answer of a request, sent at once."""

    request_id: str
    outcome: Outcome
    output_tokens: int = 0

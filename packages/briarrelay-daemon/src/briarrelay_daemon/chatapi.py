"""Parses callers' HTTP requests and encodes the responses to them.

Chat requests follow the OpenAI chat completions format.
"""

import re
from math import ceil

import orjson
from attrs import frozen
from xxhash import xxh3_64_intdigest

from briarrelay_core.outcomes import NotRun, Outcome
from briarrelay_core.ports.caller import ChatRequest, ServiceRequest
from briarrelay_core.reasons import RefusalReason
from briarrelay_core.routing.prefix import BLOCK_TOKENS
from briarrelay_daemon.settings import Settings

__all__ = [
    "ParsedChat",
    "bearer_key",
    "chat_completion",
    "error_body",
    "error_status",
    "parse_chat",
    "parse_deadline",
    "parse_service_call",
    "sse_event_prefix",
    "sse_final_events",
    "sse_text_event",
]

DEFAULT_OUTPUT_TOKENS = 256
"""Output limit of a request without ``max_tokens``."""

VALUES_FRACTION = 0.15
"""Part of the process's memory that the values of one JSON body may take."""

OBJECT_BYTES = 232
ARRAY_BYTES = 88
ELEMENT_BYTES = 72
"""Most memory of an object, of an array, and of each further member or element."""

STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"', re.DOTALL)

SSE_DONE = b"data: [DONE]\n\n"

SSE_EVENT_SUFFIX = b"}}]}\n\n"
"""Bytes after the JSON-encoded text in each server-sent event with text."""


@frozen(slots=True)
class ParsedChat:
    """A valid chat request.

    :param stream: whether the caller requested a streamed response.
    """

    request: ChatRequest
    stream: bool


def _bad_request(detail: str) -> NotRun:
    return NotRun(RefusalReason.BAD_REQUEST, detail=detail)


def parse_deadline(headers: dict[str, str]) -> float | NotRun:
    """Return the deadline in Unix seconds, or a refusal if it is absent or invalid."""
    given = headers.get("request-deadline")
    if given is None:
        return NotRun(RefusalReason.DEADLINE_INVALID, detail="the header is absent.")
    try:
        deadline = float(given)
    except ValueError:
        deadline = float("nan")
    if deadline != deadline or deadline in (float("inf"), float("-inf")):
        return NotRun(RefusalReason.DEADLINE_INVALID, detail=f"given {given!r}.")
    return deadline


def bearer_key(headers: dict[str, str]) -> str:
    """Return the key of the Authorization header, empty without a bearer key."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _prompt_text(messages: object) -> str | NotRun:
    """Return the messages as one text, or a refusal that names the invalid one."""
    if not isinstance(messages, list) or not messages:
        return _bad_request("messages: expected a list of one or more messages.")
    lines = []
    for index, message in enumerate(messages):
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(content, str):
            return _bad_request(f"messages[{index}].content: expected a text.")
        lines.append(f"{message.get('role', 'user')}: {content}")
    return "\n".join(lines)


def _hash_blocks(text: bytes, block_bytes: int) -> tuple[int, ...]:
    """Return the hash of each full block of a prompt, seeded with the hash before it.

    Two prompts with the same hash at an index agree up to the end of that block.
    """
    blocks = []
    chain_hash = 0
    for start in range(0, len(text) - block_bytes + 1, block_bytes):
        chain_hash = xxh3_64_intdigest(
            text[start : start + block_bytes], seed=chain_hash
        )
        blocks.append(chain_hash)
    return tuple(blocks)


def _check_fields(model: object, stream: object, max_tokens: object) -> NotRun | None:
    if not isinstance(model, str):
        return _bad_request(f"model: given {model!r}, expected a text.")
    if not isinstance(stream, bool):
        return _bad_request(f"stream: given {stream!r}, expected true or false.")
    if not isinstance(max_tokens, int) or isinstance(max_tokens, bool):
        return _bad_request(
            f"max_tokens: given {max_tokens!r}, expected a whole number."
        )
    return None


def _has_many_values(body: bytes, limit: float) -> bool:
    """Return whether the values of a JSON text may take more memory than a limit.

    A few bytes of text can become an object of hundreds of bytes.
    """
    if _structure_bytes(body) <= limit:
        return False
    return _structure_bytes(STRING.sub(b"", body)) > limit


def _structure_bytes(text: bytes) -> int:
    """Return the most memory that objects and arrays with so many members take."""
    return (
        OBJECT_BYTES * text.count(b"{")
        + ARRAY_BYTES * text.count(b"[")
        + ELEMENT_BYTES * text.count(b",")
    )


def parse_chat(
    body: bytes, headers: dict[str, str], request_id: str, settings: Settings
) -> ParsedChat | NotRun:
    """Parse and validate a chat request.

    :param headers: header names in lower case.
    :returns: the request, or a refusal that names the invalid field.
    """
    if len(body) > settings.max_body_bytes:
        detail = f"given {len(body)} bytes, limit {settings.max_body_bytes}."
        return NotRun(RefusalReason.TOO_LARGE, detail=detail)
    if _has_many_values(body, VALUES_FRACTION * settings.memory_bytes):
        detail = "the JSON has too many values for its length."
        return NotRun(RefusalReason.TOO_LARGE, detail=detail)
    try:
        value = orjson.loads(body)
    except ValueError as error:
        return _bad_request(f"the body is not JSON ({error}).")
    if not isinstance(value, dict):
        return _bad_request("the body is not an object.")
    deadline = parse_deadline(headers)
    if isinstance(deadline, NotRun):
        return deadline
    model, stream = value.get("model"), value.get("stream", False)
    max_tokens = value.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    refusal = _check_fields(model, stream, max_tokens)
    if refusal is not None:
        return refusal
    text = _prompt_text(value.get("messages"))
    if isinstance(text, NotRun):
        return text
    prompt = text.encode()
    request = ChatRequest(
        request_id=request_id,
        key=bearer_key(headers),
        model=model,
        prompt_tokens=max(1, ceil(len(prompt) / settings.bytes_per_token)),
        output_tokens=max_tokens,
        deadline=deadline,
        blocks=_hash_blocks(prompt, int(BLOCK_TOKENS * settings.bytes_per_token)),
        payload=prompt,
    )
    return ParsedChat(request, stream)


def parse_service_call(
    service: str, path: str, body: bytes, headers: dict[str, str], request_id: str
) -> ServiceRequest | NotRun:
    """Parse and validate a call to a plain service.

    :param headers: header names in lower case.
    :returns: the request, or a refusal if the deadline is invalid.
    """
    deadline = parse_deadline(headers)
    if isinstance(deadline, NotRun):
        return deadline
    return ServiceRequest(
        request_id=request_id,
        key=bearer_key(headers),
        service=service,
        path=path,
        body=body,
        deadline=deadline,
        idempotency_key=headers.get("idempotency-key", ""),
    )


def sse_event_prefix(request_id: str) -> bytes:
    """Return the bytes before the JSON-encoded text in each event with text.

    They are the same for all events of a response and are computed once.
    """
    event = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": None}}],
    }
    # Cut the placeholder null and the closing brackets, which follow the text.
    return (
        b"data: "
        + orjson.dumps(event).removesuffix(SSE_EVENT_SUFFIX[:-2])[: -len(b"null")]
    )


def sse_text_event(prefix: bytes, text: str) -> bytes:
    """Return generated text as a server-sent event.

    :param prefix: result of :func:`sse_event_prefix` for the request.
    """
    return prefix + orjson.dumps(text) + SSE_EVENT_SUFFIX


def sse_final_events(request_id: str, outcome: Outcome) -> bytes:
    """Return the events that end a streamed response: the finish or an error."""
    if outcome.tag == "done":
        event = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        }
        return b"data: " + orjson.dumps(event) + b"\n\n" + SSE_DONE
    return b"data: " + error_body(request_id, outcome) + b"\n\n"


def chat_completion(
    request_id: str, model: str, text: str, prompt_tokens: int, output_tokens: int
) -> bytes:
    """Return the body of a chat response that is not streamed."""
    message = {"role": "assistant", "content": text}
    return orjson.dumps(
        {
            "id": request_id,
            "object": "chat.completion",
            "model": model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": output_tokens,
                "total_tokens": prompt_tokens + output_tokens,
            },
        }
    )


def error_body(request_id: str, outcome: Outcome) -> bytes:
    """Return the JSON body of an error response.

    :param outcome: any outcome but ``Done``.
    """
    reason = getattr(outcome, "reason", "") or outcome.tag
    error = {
        "request_id": request_id,
        "outcome": outcome.tag,
        "reason": str(reason),
        "message": getattr(outcome, "message", "") or outcome.detail or str(reason),
    }
    if isinstance(outcome, NotRun):
        error["scope"] = outcome.scope
        if outcome.retry_after:
            error["retry_after"] = outcome.retry_after
    return orjson.dumps({"error": error})


def error_status(outcome: Outcome) -> int:
    """Return the HTTP status of an error response.

    :param outcome: any outcome but ``Done``.
    """
    if isinstance(outcome, NotRun):
        return outcome.reason.status
    if outcome.tag == "unknown":
        # A reason means that this request was refused, though an earlier one with its
        # idempotency key may have run.
        return 409 if outcome.reason else 504
    return 504 if outcome.reason == "deadline" else 502

"""Chat requests and answers in the form that callers know."""

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
    "error_body",
    "failure_status",
    "parse_call",
    "parse_chat",
    "sse_end",
    "sse_head",
    "sse_text",
    "whole_answer",
]

DEFAULT_OUTPUT_TOKENS = 256
"""Tokens generated when the caller names no number."""

SSE_DONE = b"data: [DONE]\n\n"

SSE_TAIL = b"}}]}\n\n"
"""What stands behind the text in each server-sent event of an answer."""


@frozen(slots=True)
class ParsedChat:
    """A checked chat request.

    :param stream: whether the caller wants the answer in parts.
    """

    request: ChatRequest
    stream: bool


def _bad(detail: str) -> NotRun:
    return NotRun(RefusalReason.BAD_REQUEST, detail=detail)


def _read_deadline(headers: dict[str, str]) -> float | NotRun:
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
    """Return the bearer key of a request, empty if there is none."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _prompt_text(messages: object) -> str | NotRun:
    if not isinstance(messages, list) or not messages:
        return _bad("messages: expected a list of one or more messages.")
    parts = []
    for index, message in enumerate(messages):
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(content, str):
            return _bad(f"messages[{index}].content: expected a text.")
        parts.append(f"{message.get('role', 'user')}: {content}")
    return "\n".join(parts)


def _chain_blocks(text: bytes, block_bytes: int) -> tuple[int, ...]:
    """Return a hash of each whole block, chained to the block before."""
    blocks = []
    last = 0
    for start in range(0, len(text) - block_bytes + 1, block_bytes):
        last = xxh3_64_intdigest(text[start : start + block_bytes], seed=last)
        blocks.append(last)
    return tuple(blocks)


def _field_problem(model: object, stream: object, output: object) -> NotRun | None:
    if not isinstance(model, str):
        return _bad(f"model: given {model!r}, expected a text.")
    if not isinstance(stream, bool):
        return _bad(f"stream: given {stream!r}, expected true or false.")
    if not isinstance(output, int) or isinstance(output, bool):
        return _bad(f"max_tokens: given {output!r}, expected a whole number.")
    return None


def parse_chat(
    body: bytes, headers: dict[str, str], request_id: str, settings: Settings
) -> ParsedChat | NotRun:
    """Check a chat request.

    :returns: the request, or a refusal that names the field.
    """
    if len(body) > settings.max_body_bytes:
        detail = f"given {len(body)} bytes, limit {settings.max_body_bytes}."
        return NotRun(RefusalReason.TOO_LARGE, detail=detail)
    try:
        value = orjson.loads(body)
    except ValueError as error:
        return _bad(f"the body is not JSON ({error}).")
    if not isinstance(value, dict):
        return _bad("the body is not an object.")
    deadline = _read_deadline(headers)
    if isinstance(deadline, NotRun):
        return deadline
    model, stream = value.get("model"), value.get("stream", False)
    output = value.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    problem = _field_problem(model, stream, output)
    if problem is not None:
        return problem
    text = _prompt_text(value.get("messages"))
    if isinstance(text, NotRun):
        return text
    raw = text.encode()
    request = ChatRequest(
        request_id=request_id,
        key=bearer_key(headers),
        model=model,
        prompt_tokens=max(1, ceil(len(raw) / settings.bytes_per_token)),
        output_tokens=output,
        deadline=deadline,
        blocks=_chain_blocks(raw, int(BLOCK_TOKENS * settings.bytes_per_token)),
        payload=raw,
    )
    return ParsedChat(request, stream)


def parse_call(
    service: str, path: str, body: bytes, headers: dict[str, str], request_id: str
) -> ServiceRequest | NotRun:
    """Check a call to a plain service."""
    deadline = _read_deadline(headers)
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


def sse_head(request_id: str) -> bytes:
    """Return what stands before the text in each server-sent event of an answer."""
    event = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": None}}],
    }
    return b"data: " + orjson.dumps(event).removesuffix(SSE_TAIL[:-2])[: -len(b"null")]


def sse_text(head: bytes, text: str) -> bytes:
    """Return generated text as a server-sent event.

    :param head: what :func:`sse_head` returned for the request.
    """
    return head + orjson.dumps(text) + SSE_TAIL


def sse_end(request_id: str, outcome: Outcome) -> bytes:
    """Return the last server-sent events of an answer."""
    if outcome.tag == "done":
        event = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        }
        return b"data: " + orjson.dumps(event) + b"\n\n" + SSE_DONE
    return b"data: " + error_body(request_id, outcome) + b"\n\n"


def whole_answer(
    request_id: str, model: str, text: str, prompt_tokens: int, output_tokens: int
) -> bytes:
    """Return a whole answer."""
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
    """Return the body of an answer that is not the whole answer asked for."""
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


def failure_status(outcome: Outcome) -> int:
    """Return the HTTP status of an answer that is not the whole answer asked for."""
    if isinstance(outcome, NotRun):
        return outcome.reason.status
    if outcome.tag == "unknown":
        return 409 if outcome.reason else 504
    return 504 if outcome.reason == "deadline" else 502

"""What the connections of a crowd send to an instance for routes, a function a kind."""

from collections.abc import Iterable
from itertools import chain, count, repeat

from standins.crowd import announced_body, chunked_body, pieces
from standins.fleet import VIRTUAL_HOST

BODY_BYTES = 4_000_000
"""Longest body that the configuration allows."""

_numbers = count()


def head(path: str, deadline_ms: int = 5_000) -> bytes:
    """Return request line and headers of a proper request."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {VIRTUAL_HOST}\r\n"
        f"X-Attempt-Id: crowd-{next(_numbers)}\r\n"
        f"X-Request-Deadline: {deadline_ms}\r\nAuthorization: Bearer key-1\r\n"
    ).encode()


def small_request() -> Iterable[bytes]:
    yield head("/look/x") + b"\r\n"


def stream_request() -> Iterable[bytes]:
    prompt = b"X-Token-Counts: 1000,40\r\nX-Prompt-Prefix: 5c1e07a2:1000\r\n"
    yield head("/chat/x") + prompt + b"\r\n"


def one_byte_short() -> Iterable[bytes]:
    return announced_body(head("/look/x"), BODY_BYTES)


def one_byte_short_in_pieces() -> Iterable[bytes]:
    return pieces(one_byte_short(), 16)


def complete_body() -> Iterable[bytes]:
    return announced_body(head("/look/x"), BODY_BYTES, missing=0)


def large_chunks() -> Iterable[bytes]:
    return chunked_body(head("/look/x"), BODY_BYTES - 262_144, 262_144)


def chunks_of_one_byte() -> Iterable[bytes]:
    return chunked_body(head("/look/x"), 300_000, 1)


def endless_trailer() -> Iterable[bytes]:
    chunked = head("/look/x") + b"Transfer-Encoding: chunked\r\n\r\n"
    trailer = chunked + b"1\r\nx\r\n0\r\nX-Trailer: "
    return chain([trailer], repeat(b"t" * 65_536, BODY_BYTES // 65_536))


def endless_chunk_extension() -> Iterable[bytes]:
    chunked = head("/look/x") + b"Transfer-Encoding: chunked\r\n\r\n1;extension="
    return chain([chunked], repeat(b"e" * 65_536, BODY_BYTES // 65_536))


def many_empty_headers() -> Iterable[bytes]:
    yield head("/look/x") + b"a:\r\n" * 3_900


def endless_header() -> Iterable[bytes]:
    start = head("/look/x") + b"X-Long: "
    return chain([start], repeat(b"h" * 65_536, BODY_BYTES // 65_536))


def announced_over_limit() -> Iterable[bytes]:
    return announced_body(head("/look/x"), 4 * BODY_BYTES)


def sent_over_limit() -> Iterable[bytes]:
    return chunked_body(head("/look/x"), 4 * BODY_BYTES, 65_536)


def nothing() -> Iterable[bytes]:
    return ()


def trickle() -> Iterable[bytes]:
    start = head("/look/x") + b"Content-Length: 1000\r\n\r\n"
    return chain([start], repeat(b"x", 200))


def pipelined_requests() -> Iterable[bytes]:
    yield b"".join(head("/look/x") + b"\r\n" for _ in range(700))


def smallest_pipelined_requests() -> Iterable[bytes]:
    yield b"GET / HTTP/1.1\r\n\r\n" * 3_600


KINDS = (
    announced_over_limit,
    chunks_of_one_byte,
    complete_body,
    endless_header,
    endless_trailer,
    large_chunks,
    many_empty_headers,
    nothing,
    one_byte_short,
    one_byte_short_in_pieces,
    pipelined_requests,
    sent_over_limit,
    smallest_pipelined_requests,
    stream_request,
    trickle,
)
"""Kinds that any port may get."""

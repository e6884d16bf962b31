"""A caller's request while it is being read, and the check of its size."""

from io import BytesIO

from attrs import define, field

from briarrelay_core.routes.model import CallerLimits

__all__ = ["CallerMessage"]

MESSAGE_BYTES = 512
"""Memory of a message without headers and body."""

HEADER_OBJECT_BYTES = 160
"""Memory of a header beside its characters: two bytes objects, their tuple and its
place in the list."""


@define(slots=True, eq=False)
class CallerMessage:
    """A request that is being read.

    :param is_begun: its first byte has been received.
    :param body: what has been received of the body; its value is taken without a copy.
    :param begun_at: time at which its first byte was parsed, in seconds.
    :param head_bytes: bytes received before the header was complete.
    :param header_bytes: bytes of the headers that have been parsed.
    :param declared_bytes: length of the body that the header declares, 0 for none.
    :param framing_bytes: bytes of chunk headers and trailers since the last part of the
        body.
    :param time_limit_s: seconds within which the body must be complete.
    :param awaits_continue: the caller sends the body after an interim response, which
        it has not got yet.
    """

    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(factory=list)
    body: BytesIO = field(factory=BytesIO)
    is_begun: bool = False
    begun_at: float = 0.0
    head_bytes: int = 0
    header_bytes: int = 0
    declared_bytes: int = 0
    framing_bytes: int = 0
    time_limit_s: float = float("inf")
    is_head_complete: bool = False
    awaits_continue: bool = False
    method: str = ""
    keeps_alive: bool = False

    @property
    def body_bytes(self) -> int:
        """Bytes of the body that have been received."""
        return self.body.tell()

    @property
    def held_bytes(self) -> int:
        """Memory that is held for the message, with what the parser has of its head."""
        head = max(self.head_bytes, self.header_bytes) + self.framing_bytes
        objects = MESSAGE_BYTES + HEADER_OBJECT_BYTES * len(self.headers)
        return objects + head + self.body.__sizeof__()

    @property
    def expects_continue(self) -> bool:
        """Whether the header asks for an interim response before the body."""
        return any(
            name.lower() == b"expect" and value.strip().lower() == b"100-continue"
            for name, value in self.headers
        )

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header, unless it is a trailer, which no one asked for."""
        if not self.is_head_complete:
            self.headers.append((name, value))
            self.header_bytes += len(name) + len(value) + 4

    def complete_head(self) -> None:
        """Mark the header as complete."""
        self.is_head_complete = True
        for name, value in self.headers:
            if name.lower() == b"content-length" and value.strip().isdigit():
                self.declared_bytes = int(value)

    def check_limits(self, limits: CallerLimits) -> tuple[int, bytes] | None:
        """Return status and text of a refusal if the request is over a limit."""
        head = max(
            self.header_bytes + len(self.target),
            0 if self.is_head_complete else self.head_bytes,
        )
        if head > limits.header_bytes:
            text = b"the header is over %d bytes; send a shorter one"
            return 431, text % limits.header_bytes
        if self.framing_bytes > limits.header_bytes:
            text = b"%d bytes of the chunked body are no data; send larger chunks"
            return 431, text % self.framing_bytes
        if max(self.body_bytes, self.declared_bytes) > limits.body_bytes:
            text = b"the body is over %d bytes; send a shorter one"
            return 413, text % limits.body_bytes
        return None

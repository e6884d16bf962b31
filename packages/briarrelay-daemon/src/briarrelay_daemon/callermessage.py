"""A caller's request while it is being read, and the check of its size."""

from attrs import define, field

from briarrelay_core.routes.model import CallerLimits

__all__ = ["CallerMessage"]


@define(slots=True, eq=False)
class CallerMessage:
    """A request that is being read.

    :param is_begun: its first byte has been received.
    :param head_bytes: bytes received before the header was complete.
    :param awaits_continue: the caller sends the body after an interim response, which
        it has not got yet.
    """

    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(factory=list)
    body: bytearray = field(factory=bytearray)
    is_begun: bool = False
    head_bytes: int = 0
    is_head_complete: bool = False
    awaits_continue: bool = False
    method: str = ""
    keeps_alive: bool = False

    @property
    def expects_continue(self) -> bool:
        """Whether the header asks for an interim response before the body."""
        return any(
            name.lower() == b"expect" and value.strip().lower() == b"100-continue"
            for name, value in self.headers
        )

    def check_limits(self, limits: CallerLimits) -> tuple[int, bytes] | None:
        """Return status and text of a refusal if the request is over a limit."""
        head = sum(len(name) + len(value) + 4 for name, value in self.headers)
        head = max(
            head + len(self.target), 0 if self.is_head_complete else self.head_bytes
        )
        if head > limits.header_bytes:
            text = b"the header is over %d bytes; send a shorter one"
            return 431, text % limits.header_bytes
        declared_length = self._declared_length() if self.is_head_complete else 0
        if max(len(self.body), declared_length) > limits.body_bytes:
            text = b"the body is over %d bytes; send a shorter one"
            return 413, text % limits.body_bytes
        return None

    def _declared_length(self) -> int:
        for name, value in self.headers:
            if name.lower() == b"content-length" and value.strip().isdigit():
                return int(value)
        return 0

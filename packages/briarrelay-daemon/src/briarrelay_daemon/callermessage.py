"""A caller's request while it is read, and the limits that it keeps to."""

from attrs import define, field

from briarrelay_core.routes.model import CallerLimits

__all__ = ["CallerMessage"]


@define(slots=True, eq=False)
class CallerMessage:
    """A request that is being read.

    :param head_bytes: bytes received before its header was whole.
    """

    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(factory=list)
    body: bytearray = field(factory=bytearray)
    head_bytes: int = 0
    has_head: bool = False
    method: str = ""
    keeps_alive: bool = False

    def excess(self, limits: CallerLimits) -> tuple[int, bytes] | None:
        """Return status and text of a refusal if it is over a limit."""
        head = sum(len(name) + len(value) + 4 for name, value in self.headers)
        head = max(head + len(self.target), 0 if self.has_head else self.head_bytes)
        if head > limits.header_bytes:
            text = b"the header is over %d bytes; send a shorter one"
            return 431, text % limits.header_bytes
        declared = self._declared() if self.has_head else 0
        if max(len(self.body), declared) > limits.body_bytes:
            text = b"the body is over %d bytes; send a shorter one"
            return 413, text % limits.body_bytes
        return None

    def _declared(self) -> int:
        for name, value in self.headers:
            if name.lower() == b"content-length" and value.strip().isdigit():
                return int(value)
        return 0

"""Remembers which engines rejected a prompt lately, to send no further ones there.

Answers full engines whose load no digest has reported yet: each arrival that an engine
rejects uses up one of the request's attempts and delays it.
"""

from attrs import define, field

from briarrelay_core.ports.directory import ServerEntry
from briarrelay_core.routes.requeststate import RoutedRequest
from briarrelay_core.routes.servers import KnownServer

__all__ = ["RECENT_REJECTION_S", "RejectionTable"]

RECENT_REJECTION_S = 0.5
"""Seconds for which a rejection counts; the next digests of all peers then report the
engine's load."""


@define(slots=True, eq=False)
class RejectionTable:
    """The smallest prompt that each engine rejected lately.

    :ivar _by_server: by server, its start, the tokens that it rejected and when; the
        latest is last.
    """

    _by_server: dict[str, tuple[float, int, float]] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._by_server)

    def record(self, routed: RoutedRequest, engine: ServerEntry, now: float) -> None:
        """Record that an engine rejected a prompt, or its share of it as a helper."""
        if not routed.is_prompt:
            return
        tokens, born = _needed_tokens(routed), engine.born
        known = self._by_server.pop(engine.name, None)
        if known and known[0] == born and now - known[2] < RECENT_REJECTION_S:
            tokens = min(tokens, known[1])
        self._by_server[engine.name] = (born, tokens, now)
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        """Forget old rejections, also those of engines that have left."""
        for name, (_, _, at) in list(self._by_server.items()):
            if now - at < RECENT_REJECTION_S:
                break
            del self._by_server[name]

    def without_full(
        self, routed: RoutedRequest, servers: list[KnownServer], now: float
    ) -> list[KnownServer]:
        """Return the servers that are not expected to reject a prompt.

        A stream that has begun may try each server, since its caller sees the pause.
        """
        if not self._by_server or not routed.is_prompt or routed.is_head_relayed:
            return servers
        tokens = _needed_tokens(routed)
        return [s for s in servers if not self._is_full(s, tokens, now)]

    def _is_full(self, server: KnownServer, tokens: int, now: float) -> bool:
        known = self._by_server.get(server.entry.name)
        if known is None:
            return False
        born, known_tokens, at = known
        if born != server.entry.born or now - at >= RECENT_REJECTION_S:
            del self._by_server[server.entry.name]
            return False
        return tokens >= known_tokens


def _needed_tokens(routed: RoutedRequest) -> int:
    return routed.request.prompt_tokens + routed.request.output_tokens

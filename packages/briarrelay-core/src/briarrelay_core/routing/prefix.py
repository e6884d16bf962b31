"""Approximate index of the prompt blocks that engines have cached."""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

from briarrelay_core.ports.engine import CacheEvents

__all__ = ["BLOCK_TOKENS", "PrefixIndex"]

BLOCK_TOKENS = 1_000
"""Prompt tokens of one cache block."""

MAX_BLOCKS = 100_000
"""Blocks kept in the index; the least recently used go first."""

GAP_FACTOR = 0.5
"""What confidence in an engine's cache is multiplied by when events are missed."""

CONFIDENCE_STEP = 0.1
"""Confidence regained with each batch of events without a gap."""


@define(slots=True)
class PrefixIndex:
    """Which engines are believed to hold which blocks.

    A missed event lowers the confidence in an engine, it does not drop its blocks:
    a wrong guess costs a prefill, no more.
    """

    _holders: OrderedDict = field(factory=OrderedDict)
    _next_event: dict[str, int] = field(factory=dict)
    _confidence: dict[str, float] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._holders)

    def next_event(self, engine: str) -> int:
        """Return the sequence number of the next cache event to ask for."""
        return self._next_event.get(engine, 0)

    def confidence(self, engine: str) -> float:
        """Return how far the index is believed for an engine, from 0 to 1."""
        return self._confidence.get(engine, 1.0)

    def add(self, engine: str, blocks: Iterable[int]) -> None:
        """Note that an engine has processed blocks."""
        for block in blocks:
            self._holders.setdefault(block, set()).add(engine)
            self._holders.move_to_end(block)
        while len(self._holders) > MAX_BLOCKS:
            self._holders.popitem(last=False)

    def apply(self, batch: CacheEvents) -> bool:
        """Apply an engine's events; return whether some were missed before them."""
        expected = self._next_event.get(batch.engine, batch.first)
        gap = batch.first > expected
        factor = GAP_FACTOR if gap else 1.0
        step = CONFIDENCE_STEP if batch.events and not gap else 0.0
        confidence = self.confidence(batch.engine) * factor + step
        self._confidence[batch.engine] = min(1.0, confidence)
        for event in batch.events[max(0, expected - batch.first) :]:
            if event.stored:
                self.add(batch.engine, (event.block,))
            else:
                self._holders.get(event.block, set()).discard(batch.engine)
        end = batch.first + len(batch.events)
        self._next_event[batch.engine] = max(expected, end)
        return gap

    def forget(self, engine: str) -> None:
        """Drop what is known of an engine that started anew or is gone."""
        self._next_event.pop(engine, None)
        self._confidence.pop(engine, None)
        for holders in self._holders.values():
            holders.discard(engine)

    def holders(self, block: int) -> frozenset[str]:
        """Return the engines that are believed to hold a block."""
        return frozenset(self._holders.get(block, ()))

    def cached_tokens(self, engine: str, blocks: tuple[int, ...]) -> int:
        """Return the leading prompt tokens that an engine is believed to hold."""
        count = 0
        for block in blocks:
            if engine not in self._holders.get(block, ()):
                break
            count += 1
        return int(count * BLOCK_TOKENS * self.confidence(engine))

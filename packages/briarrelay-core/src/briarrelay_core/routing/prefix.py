"""Approximate index of the prompt blocks in the engines' prefix caches."""

from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

from briarrelay_core.ports.engine import CacheEvents
from briarrelay_core.routing.confidence import ConfidenceTable

__all__ = ["BLOCK_TOKENS", "PrefixIndex"]

BLOCK_TOKENS = 1_000
"""Prompt tokens of one cache block."""

MAX_BLOCKS = 100_000
"""Largest number of blocks in the index; the least recently added are evicted."""


@define(slots=True)
class PrefixIndex:
    """Maps prompt blocks to the engines that are expected to have them cached.

    Missed events lower the confidence in an engine but do not drop its blocks, since
    a wrong entry costs no more than a prefill.
    """

    _holders: OrderedDict = field(factory=OrderedDict)
    _next_event: dict[str, int] = field(factory=dict)
    _confidence: ConfidenceTable = field(factory=ConfidenceTable)

    def __len__(self) -> int:
        return len(self._holders)

    def next_event(self, engine: str) -> int:
        """Return the sequence number of the next cache event to read."""
        return self._next_event.get(engine, 0)

    def confidence(self, engine: str) -> float:
        """Return the confidence in the entries of an engine, from 0 to 1."""
        return self._confidence.of(engine)

    def add(self, engine: str, blocks: Iterable[int]) -> None:
        """Add blocks that an engine has cached."""
        for block in blocks:
            self._holders.setdefault(block, set()).add(engine)
            self._holders.move_to_end(block)
        while len(self._holders) > MAX_BLOCKS:
            self._holders.popitem(last=False)

    def apply(self, batch: CacheEvents) -> bool:
        """Apply an engine's cache events; return whether earlier ones were missed."""
        expected = self._next_event.get(batch.engine, batch.first)
        gap = batch.first > expected
        self._confidence.adjust(batch.engine, confirmed=bool(batch.events), refuted=gap)
        for event in batch.events[max(0, expected - batch.first) :]:
            if event.stored:
                self.add(batch.engine, (event.block,))
            else:
                self._holders.get(event.block, set()).discard(batch.engine)
        end = batch.first + len(batch.events)
        self._next_event[batch.engine] = max(expected, end)
        return gap

    def forget(self, engine: str) -> None:
        """Drop the state of an engine that is gone or has restarted."""
        self._next_event.pop(engine, None)
        self._confidence.forget(engine)
        for holders in self._holders.values():
            holders.discard(engine)

    def holders(self, block: int) -> frozenset[str]:
        """Return the engines that are expected to have a block cached."""
        return frozenset(self._holders.get(block, ()))

    def cached_tokens(self, engine: str, blocks: tuple[int, ...]) -> int:
        """Return the expected number of leading prompt tokens cached by an engine.

        :param blocks: ids of the prompt's leading blocks, in order.
        :returns: tokens of the matching blocks, scaled by the confidence.
        """
        count = 0
        for block in blocks:
            if engine not in self._holders.get(block, ()):
                break
            count += 1
        return int(count * BLOCK_TOKENS * self.confidence(engine))

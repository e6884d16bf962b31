"""Start-time fair queueing between workspaces.

Source: Goyal, Vin and Cheng, "Start-time Fair Queuing".
"""

from collections.abc import Callable, Iterator
from heapq import heappop, heappush

from attrs import define, field

__all__ = ["FairQueue", "Waiting"]


@define(slots=True, order=False)
class Waiting:
    """A request that waits for an engine.

    :param cost: prompt tokens, charged to the workspace when it leaves the queue.
    :param key: order among requests of the same workspace; lower goes first.
    """

    request_id: str
    workspace: str
    cost: int
    key: float
    removed: bool = False

    def __lt__(self, other: "Waiting") -> bool:
        return (self.key, self.request_id) < (other.key, other.request_id)


@define(slots=True)
class _Flow:
    weight: float = 1.0
    start: float = 0.0
    queued: int = 0
    heap: list = field(factory=list)

    def head(self) -> Waiting | None:
        while self.heap and self.heap[0].removed:
            heappop(self.heap)
        return self.heap[0] if self.heap else None


@define(slots=True)
class FairQueue:
    """Requests of many workspaces, served in proportion to weight."""

    _flows: dict[str, _Flow] = field(factory=dict)
    _items: dict[str, Waiting] = field(factory=dict)
    _virtual: float = 0.0

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._items

    def __iter__(self) -> Iterator[Waiting]:
        return iter(list(self._items.values()))

    @property
    def queued_tokens(self) -> int:
        """Tokens of every waiting request."""
        return sum(flow.queued for flow in self._flows.values())

    def queued_of(self, workspace: str) -> int:
        """Return the tokens that a workspace has waiting."""
        flow = self._flows.get(workspace)
        return flow.queued if flow else 0

    def active_weight(self) -> float:
        """Return the sum of weights of workspaces that have requests waiting."""
        return sum(flow.weight for flow in self._flows.values() if flow.queued)

    def push(self, item: Waiting, weight: float) -> None:
        """Add a request; an idle workspace starts level with the others."""
        flow = self._flows.setdefault(item.workspace, _Flow())
        flow.weight = weight
        if flow.head() is None:
            flow.start = max(flow.start, self._virtual)
        heappush(flow.heap, item)
        flow.queued += item.cost
        self._items[item.request_id] = item

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out without charging its workspace."""
        item = self._items.pop(request_id, None)
        if item is not None:
            item.removed = True
            self._flows[item.workspace].queued -= item.cost
        return item

    def refund(self, workspace: str, cost: int) -> None:
        """Give back what a request was charged that could not be served."""
        flow = self._flows.get(workspace)
        if flow is not None:
            flow.start -= cost / flow.weight

    def pop(self, is_eligible: Callable[[Waiting], bool]) -> Waiting | None:
        """Take the next request that can be served now, or None.

        A workspace whose first request can not be served does not hold up others.
        """
        heads = [(f.start, name) for name, f in self._flows.items() if f.head()]
        for start, name in sorted(heads):
            flow = self._flows[name]
            item = flow.head()
            if not is_eligible(item):
                continue
            self.remove(item.request_id)
            self._virtual = max(self._virtual, start)
            flow.start = start + item.cost / flow.weight
            return item
        self._drop_idle()
        return None

    def _drop_idle(self) -> None:
        idle = [
            name
            for name, flow in self._flows.items()
            if flow.head() is None and flow.start <= self._virtual
        ]
        for name in idle:
            del self._flows[name]

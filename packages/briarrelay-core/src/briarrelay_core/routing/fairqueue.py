"""Start-time fair queueing between workspaces, with credit for bursts.

Source: Goyal, Vin and Cheng, "Start-time Fair Queuing".
"""

from collections.abc import Callable, Iterator
from heapq import heappop, heappush

from attrs import define, field

__all__ = ["BURST_TOKENS", "FairQueue", "Waiting"]

BURST_TOKENS = 2_000_000.0
"""Tokens, for a weight of 1, by which a workspace may fall behind and catch up."""

FIRST_CREDIT_TOKENS = 500_000.0
"""Tokens, for a weight of 1, that a workspace starts with as its credit."""


@define(slots=True, order=False)
class Waiting:
    """A request that waits for an engine.

    :param cost: prompt tokens, charged to the workspace when it leaves the queue.
    :param key: order among requests of the same workspace; lower goes first.
    :param lane: requests of different lanes do not hold each other up.
    """

    request_id: str
    workspace: str
    cost: int
    key: float
    lane: int = 0
    removed: bool = False

    def __lt__(self, other: "Waiting") -> bool:
        return (self.key, self.request_id) < (other.key, other.request_id)


@define(slots=True)
class _Flow:
    """Requests of one workspace.

    :param start: tokens charged so far over weight, the tag of its next request.
    """

    weight: float = 1.0
    start: float = 0.0
    queued: dict[int, int] = field(factory=dict)
    lanes: dict[int, list] = field(factory=dict)

    def heads(self) -> list[Waiting]:
        """Return the first request of each lane, the first of all first."""
        heads = []
        for heap in self.lanes.values():
            while heap and heap[0].removed:
                heappop(heap)
            if heap:
                heads.append(heap[0])
        return sorted(heads)


@define(slots=True)
class FairQueue:
    """Requests of many workspaces, served in proportion to weight.

    A workspace that asked for less than its share keeps a credit, up to a burst. Those
    in credit go first, in the order of arrival; those beyond it share what is left.
    Flows of idle workspaces are kept, since they hold the credit; the configuration
    bounds their number.
    """

    _flows: dict[str, _Flow] = field(factory=dict)
    _items: dict[str, Waiting] = field(factory=dict)
    _virtual: float = 0.0
    _busy: set[str] = field(factory=set)

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._items

    def __iter__(self) -> Iterator[Waiting]:
        return iter(list(self._items.values()))

    def ahead_of(self, workspace: str, lane: int) -> float:
        """Return tokens that are served before a new request of a workspace.

        It counts what the workspace has waiting in the lane, and what others have
        waiting as far as it was served beyond them; credit counts against both.
        """
        flow = self._flows.get(workspace)
        if flow is None:
            return 0.0
        own = sum(flow.queued.values())
        others = sum(item.cost for item in self._items.values()) - own
        lead = (flow.start - self._virtual) * flow.weight
        return max(0.0, min(lead, others) + flow.queued.get(lane, 0))

    def is_excess(self, workspace: str) -> bool:
        """Return whether a workspace has been served beyond its share and credit."""
        flow = self._flows.get(workspace)
        return flow is not None and flow.start >= self._virtual

    def push(self, item: Waiting, weight: float) -> None:
        """Add a request; a workspace that was idle has credit for a burst at most."""
        first = self._virtual - FIRST_CREDIT_TOKENS / weight
        flow = self._flows.setdefault(item.workspace, _Flow(start=first))
        flow.weight = weight
        flow.start = max(flow.start, self._virtual - BURST_TOKENS / weight)
        heappush(flow.lanes.setdefault(item.lane, []), item)
        flow.queued[item.lane] = flow.queued.get(item.lane, 0) + item.cost
        self._items[item.request_id] = item
        self._busy.add(item.workspace)

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out without charging its workspace."""
        item = self._items.pop(request_id, None)
        if item is not None:
            item.removed = True
            self._flows[item.workspace].queued[item.lane] -= item.cost
        return item

    def refund(self, workspace: str, cost: int) -> None:
        """Give back what a request was charged that could not be served."""
        flow = self._flows.get(workspace)
        if flow is not None:
            flow.start -= cost / flow.weight

    def pop(self, is_eligible: Callable[[Waiting, bool], bool]) -> Waiting | None:
        """Take the next request that can be served now, or None.

        A request that can not be served holds up neither other workspaces nor the
        other lanes of its own.

        :param is_eligible: called with a request and whether it is its workspace's
            turn; a workspace before its turn must not get more than one at its turn.
        """
        is_turn = True
        for flow, heads in self._in_order():
            for item in heads:
                if is_eligible(item, is_turn):
                    self._take(flow, item)
                    return item
            is_turn = False
        return None

    def _in_order(self) -> list[tuple[_Flow, list[Waiting]]]:
        """Return the workspaces that wait: in credit by arrival, then by tag."""
        waiting = []
        for name in sorted(self._busy):
            flow = self._flows[name]
            heads = flow.heads()
            if not heads:
                self._busy.discard(name)
                continue
            in_credit = flow.start < self._virtual
            rank = (0, heads[0].key) if in_credit else (1, flow.start)
            waiting.append((rank, name, flow, heads))
        waiting.sort(key=lambda entry: entry[:2])
        return [(flow, heads) for _, _, flow, heads in waiting]

    def _take(self, flow: _Flow, item: Waiting) -> None:
        start = flow.start
        self.remove(item.request_id)
        self._virtual = max(self._virtual, start)
        flow.start = start + item.cost / flow.weight

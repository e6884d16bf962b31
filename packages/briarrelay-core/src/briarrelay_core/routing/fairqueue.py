"""Start-time fair queueing between workspaces, with burst credit.

Source: Goyal, Vin and Cheng, "Start-time Fair Queuing".
"""

from collections.abc import Callable, Iterator
from heapq import heappop, heappush

from attrs import define, field

__all__ = ["BURST_TOKENS", "FairQueue", "QueuedRequest"]

BURST_TOKENS = 2_000_000.0
"""Largest credit of a workspace, in tokens for a weight of 1."""

INITIAL_CREDIT_TOKENS = 500_000.0
"""Credit of a new workspace, in tokens for a weight of 1."""


@define(slots=True, order=False)
class QueuedRequest:
    """A queued request.

    :param cost: prompt tokens, charged to the workspace when the request is popped.
    :param key: sort key among requests of the same workspace; lower goes first.
    :param lane: queue within the workspace; requests of different lanes do not block
        each other.
    :param removed: whether it left the queue; its heap entry is skipped.
    """

    request_id: str
    workspace: str
    cost: int
    key: float
    lane: int = 0
    removed: bool = False

    def __lt__(self, other: "QueuedRequest") -> bool:
        return (self.key, self.request_id) < (other.key, other.request_id)


@define(slots=True)
class _Flow:
    """Queued requests of one workspace.

    :param start: start tag of its next request: tokens charged so far over weight.
    :param queued: queued tokens by lane.
    :param lanes: heap of requests by lane.
    """

    weight: float = 1.0
    start: float = 0.0
    queued: dict[int, int] = field(factory=dict)
    lanes: dict[int, list] = field(factory=dict)

    def heads(self) -> list[QueuedRequest]:
        """Return the first request of each lane, in the order of their keys."""
        heads = []
        for heap in self.lanes.values():
            while heap and heap[0].removed:
                heappop(heap)
            if heap:
                heads.append(heap[0])
        return sorted(heads)


@define(slots=True)
class FairQueue:
    """Queue of requests of many workspaces, served in proportion to weight.

    A workspace that uses less than its share accumulates credit, up to
    `BURST_TOKENS`. Workspaces with credit are served first, in the order of arrival;
    the others share the remaining capacity. Flows of idle workspaces are kept because
    they hold the credit; the configuration bounds their number.
    """

    _flows: dict[str, _Flow] = field(factory=dict)
    _items: dict[str, QueuedRequest] = field(factory=dict)
    _virtual_time: float = 0.0
    _backlogged: set[str] = field(factory=set)

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._items

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._items.values()))

    def tokens_ahead_of(self, workspace: str, lane: int) -> float:
        """Return the tokens that are served before a new request of a workspace.

        These are its own tokens queued in the lane, and the tokens that others have
        queued, up to the amount by which it has been served beyond them. Credit is
        deducted from both.
        """
        flow = self._flows.get(workspace)
        if flow is None:
            return 0.0
        own = sum(flow.queued.values())
        others = sum(item.cost for item in self._items.values()) - own
        lead = (flow.start - self._virtual_time) * flow.weight
        return max(0.0, min(lead, others) + flow.queued.get(lane, 0))

    def is_excess(self, workspace: str) -> bool:
        """Return whether a workspace has used up its share and its credit."""
        flow = self._flows.get(workspace)
        return flow is not None and flow.start >= self._virtual_time

    def push(self, item: QueuedRequest, weight: float) -> None:
        """Add a request; credit saved up by its workspace is capped at one burst."""
        initial = self._virtual_time - INITIAL_CREDIT_TOKENS / weight
        flow = self._flows.setdefault(item.workspace, _Flow(start=initial))
        flow.weight = weight
        flow.start = max(flow.start, self._virtual_time - BURST_TOKENS / weight)
        heappush(flow.lanes.setdefault(item.lane, []), item)
        flow.queued[item.lane] = flow.queued.get(item.lane, 0) + item.cost
        self._items[item.request_id] = item
        self._backlogged.add(item.workspace)

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request without charging its workspace."""
        item = self._items.pop(request_id, None)
        if item is not None:
            item.removed = True
            self._flows[item.workspace].queued[item.lane] -= item.cost
        return item

    def refund(self, workspace: str, cost: int) -> None:
        """Undo the charge for a request that could not be served."""
        flow = self._flows.get(workspace)
        if flow is not None:
            flow.start -= cost / flow.weight

    def pop(
        self, is_eligible: Callable[[QueuedRequest, bool], bool]
    ) -> QueuedRequest | None:
        """Remove and return the next request that can be served now, or None.

        A request that can not be served blocks neither other workspaces nor the other
        lanes of its own.

        :param is_eligible: called with a request and whether its workspace is first
            in the order of service; must not accept more for a later workspace than
            for the first one.
        """
        is_first = True
        for flow, heads in self._service_order():
            for item in heads:
                if is_eligible(item, is_first):
                    self._charge(flow, item)
                    return item
            is_first = False
        return None

    def _service_order(self) -> list[tuple[_Flow, list[QueuedRequest]]]:
        """Return backlogged flows with the first request of each of their lanes.

        Flows with credit come first, by the key of their first request; the others
        follow by start tag.
        """
        entries = []
        for name in sorted(self._backlogged):
            flow = self._flows[name]
            heads = flow.heads()
            if not heads:
                self._backlogged.discard(name)
                continue
            has_credit = flow.start < self._virtual_time
            rank = (0, heads[0].key) if has_credit else (1, flow.start)
            entries.append((rank, name, flow, heads))
        entries.sort(key=lambda entry: entry[:2])
        return [(flow, heads) for _, _, flow, heads in entries]

    def _charge(self, flow: _Flow, item: QueuedRequest) -> None:
        start = flow.start
        self.remove(item.request_id)
        self._virtual_time = max(self._virtual_time, start)
        flow.start = start + item.cost / flow.weight

"""Baseline balancing policies: least connections and round robin.

`BaselineInstance` has the same interface as an entry instance. Both policies send each
prompt at once, without queueing, and engines serve prompts in the order of arrival.
They respect engine memory, use gangs for prompts that exceed the memory of one engine,
retry on another engine after a refusal or a failed connection, and fail the request at
its deadline.
"""

from functools import singledispatchmethod

from attrs import define, field

from briarrelay_core.identity import Identity
from briarrelay_core.outcomes import Done, Failed
from briarrelay_core.ports.caller import ChatRequest, SendOutcome, SendResponseText
from briarrelay_core.ports.engine import (
    CancelRequest,
    EngineFrame,
    EngineLost,
    FrameKind,
    SendRequest,
    StartGang,
)
from briarrelay_core.reasons import FailureReason
from briarrelay_core.timers import TimerService

__all__ = ["BaselineInstance"]

RETRY_S = 0.1
"""Delay in seconds before a prompt that was refused or lost is retried."""


@define(slots=True, eq=False)
class _PendingRequest:
    request: ChatRequest
    attempt: int = 0
    engines: tuple[str, ...] = ()
    ready_engines: set[str] = field(factory=set)
    refused_by: set[str] = field(factory=set)
    next_seq: int = 0
    awaits_retry: bool = True


@define(slots=True)
class BaselineInstance:
    """An entry instance that only balances connections over engines.

    :param engines: memory in tokens by engine name.
    :param uses_least_connections: whether to use least connections; otherwise, round
        robin.
    """

    identity: Identity
    engines: dict[str, int]
    uses_least_connections: bool
    timers: TimerService = field(factory=TimerService)
    _pending: dict[str, _PendingRequest] = field(factory=dict)
    _connections: dict[str, int] = field(factory=dict)
    _lost_engines: set[str] = field(factory=set)
    _rotation: int = 0

    @property
    def next_due(self) -> float | None:
        """Unix time in seconds of the next timer, None without timers."""
        return self.timers.next_due

    def start(self, now: float) -> list:
        """Start without open connections; return no effects."""
        self._connections = dict.fromkeys(self.engines, 0)
        return []

    def run_timers(self, now: float) -> list:
        """Run the timers that are due; return their effects."""
        return self.timers.run_due(now)

    @singledispatchmethod
    def handle(self, message, now: float) -> list:
        """Handle a message; messages without a handler are ignored."""
        return []

    @handle.register
    def _(self, message: ChatRequest, now: float) -> list:
        pending = _PendingRequest(message)
        self._pending[message.request_id] = pending
        self.timers.at(message.deadline, lambda t: self._on_deadline(pending))
        return self._dispatch(pending, now)

    def _engine_order(self) -> list[str]:
        names = [
            name for name in sorted(self.engines) if name not in self._lost_engines
        ]
        if self.uses_least_connections:
            return sorted(names, key=lambda name: self._connections[name])
        self._rotation += 1
        offset = self._rotation % max(1, len(names))
        return names[offset:] + names[:offset]

    def _dispatch(self, pending: _PendingRequest, now: float) -> list:
        request = pending.request
        names = [n for n in self._engine_order() if n not in pending.refused_by]
        tokens = request.prompt_tokens + pending.next_seq
        for size in range(1, len(names) + 1):
            share_tokens = -(-tokens // size)
            chosen = names[:size]
            required_tokens = share_tokens + request.output_tokens
            if all(self.engines[name] >= required_tokens for name in chosen):
                return self._send(pending, tuple(chosen), share_tokens)
        pending.refused_by.clear()
        return self._schedule_retry(pending, now)

    def _schedule_retry(self, pending: _PendingRequest, now: float) -> list:
        pending.awaits_retry = True
        self.timers.at(now + RETRY_S, lambda t: self._retry(pending, t))
        return []

    def _retry(self, pending: _PendingRequest, now: float) -> list:
        if pending.request.request_id not in self._pending or not pending.awaits_retry:
            return []
        return self._dispatch(pending, now)

    def _send(
        self, pending: _PendingRequest, engines: tuple[str, ...], share_tokens: int
    ) -> list:
        request = pending.request
        pending.attempt += 1
        pending.engines = engines
        pending.ready_engines = set()
        pending.awaits_retry = False
        for name in engines:
            self._connections[name] += 1
        return [
            SendRequest(
                engine=name,
                request_id=request.request_id,
                attempt=pending.attempt,
                owner=self.identity.name,
                incarnation=self.identity.incarnation,
                model=request.model,
                tokens=share_tokens,
                output_tokens=request.output_tokens,
                reserve=share_tokens + request.output_tokens,
                priority=0.0,
                deadline=request.deadline,
                blocks=request.blocks if len(engines) == 1 else (),
                start_at=pending.next_seq,
                segment=index,
                segments=len(engines),
            )
            for index, name in enumerate(engines)
        ]

    def _release_engines(self, pending: _PendingRequest) -> list:
        cancels = [
            CancelRequest(name, pending.request.request_id, pending.attempt)
            for name in pending.engines
        ]
        for name in pending.engines:
            self._connections[name] -= 1
        pending.engines = ()
        return cancels

    @handle.register
    def _(self, frame: EngineFrame, now: float) -> list:
        pending = self._pending.get(frame.request_id)
        if pending is None or frame.attempt != pending.attempt:
            return []
        if frame.engine not in pending.engines:
            return []
        if frame.kind is FrameKind.TOKEN:
            pending.next_seq += 1
            return [SendResponseText(frame.request_id, frame.text)]
        if frame.kind is FrameKind.END:
            return self._finish(pending, Done())
        if frame.kind is FrameKind.READY:
            pending.ready_engines.add(frame.engine)
            if len(pending.ready_engines) < len(pending.engines):
                return []
            lead = pending.engines[0]
            start = StartGang(lead, frame.request_id, pending.attempt, pending.engines)
            return [start]
        if frame.kind is FrameKind.ACCEPTED:
            return []
        pending.refused_by.add(frame.engine)
        return self._release_engines(pending) + self._schedule_retry(pending, now)

    @handle.register
    def _(self, message: EngineLost, now: float) -> list:
        self._lost_engines.add(message.engine)
        pending = self._pending.get(message.request_id)
        if pending is None or message.engine not in pending.engines:
            return []
        return self._release_engines(pending) + self._schedule_retry(pending, now)

    def _finish(self, pending: _PendingRequest, outcome) -> list:
        del self._pending[pending.request.request_id]
        finish = SendOutcome(pending.request.request_id, outcome, pending.next_seq)
        return [*self._release_engines(pending), finish]

    def _on_deadline(self, pending: _PendingRequest) -> list:
        if pending.request.request_id not in self._pending:
            return []
        return self._finish(pending, Failed(FailureReason.DEADLINE))

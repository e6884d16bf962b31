"""Baseline policies behind the same seam: least connections and round robin.

Both send each prompt at once, engines serve them in the order of arrival. They keep
within engine memory, use gangs for prompts beyond one engine, try again elsewhere
when an engine refuses or its connection fails, and give up at the deadline.
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
"""Seconds before a refused prompt is tried again."""


@define(slots=True, eq=False)
class _Open:
    request: ChatRequest
    attempt: int = 0
    engines: tuple[str, ...] = ()
    ready: set[str] = field(factory=set)
    refused: set[str] = field(factory=set)
    next_seq: int = 0
    waiting: bool = True


@define(slots=True)
class BaselineInstance:
    """An entry instance that balances connections and does nothing else.

    :param engines: names of the engines, and the memory of each in tokens.
    :param by_connections: False takes the engines in turn.
    """

    identity: Identity
    engines: dict[str, int]
    by_connections: bool
    timers: TimerService = field(factory=TimerService)
    _open: dict[str, _Open] = field(factory=dict)
    _connections: dict[str, int] = field(factory=dict)
    _dead: set[str] = field(factory=set)
    _turn: int = 0

    @property
    def next_due(self) -> float | None:
        """Time at which timers are to be run, in seconds."""
        return self.timers.next_due

    def start(self, now: float) -> list:
        """Begin to work."""
        self._connections = dict.fromkeys(self.engines, 0)
        return []

    def run_timers(self, now: float) -> list:
        """Run the timers that are due."""
        return self.timers.run_due(now)

    @singledispatchmethod
    def handle(self, message, now: float) -> list:
        """Take a message; those of other ports mean nothing here."""
        return []

    @handle.register
    def _(self, message: ChatRequest, now: float) -> list:
        entry = _Open(message)
        self._open[message.request_id] = entry
        self.timers.at(message.deadline, lambda t: self._on_deadline(entry))
        return self._try(entry, now)

    def _order(self) -> list[str]:
        names = [name for name in sorted(self.engines) if name not in self._dead]
        if self.by_connections:
            return sorted(names, key=lambda name: self._connections[name])
        self._turn += 1
        turn = self._turn % max(1, len(names))
        return names[turn:] + names[:turn]

    def _try(self, entry: _Open, now: float) -> list:
        request = entry.request
        names = [n for n in self._order() if n not in entry.refused]
        tokens = request.prompt_tokens + entry.next_seq
        for size in range(1, len(names) + 1):
            part = -(-tokens // size)
            chosen = names[:size]
            need = part + request.output_tokens
            if all(self.engines[name] >= need for name in chosen):
                return self._send(entry, tuple(chosen), part)
        entry.refused.clear()
        return self._later(entry, now)

    def _later(self, entry: _Open, now: float) -> list:
        entry.waiting = True
        self.timers.at(now + RETRY_S, lambda t: self._again(entry, t))
        return []

    def _again(self, entry: _Open, now: float) -> list:
        if entry.request.request_id not in self._open or not entry.waiting:
            return []
        return self._try(entry, now)

    def _send(self, entry: _Open, engines: tuple[str, ...], part: int) -> list:
        request = entry.request
        entry.attempt += 1
        entry.engines = engines
        entry.ready = set()
        entry.waiting = False
        for name in engines:
            self._connections[name] += 1
        return [
            SendRequest(
                engine=name,
                request_id=request.request_id,
                attempt=entry.attempt,
                owner=self.identity.name,
                incarnation=self.identity.incarnation,
                model=request.model,
                tokens=part,
                output_tokens=request.output_tokens,
                reserve=part + request.output_tokens,
                priority=0.0,
                deadline=request.deadline,
                blocks=request.blocks if len(engines) == 1 else (),
                start_at=entry.next_seq,
                segment=index,
                segments=len(engines),
            )
            for index, name in enumerate(engines)
        ]

    def _close(self, entry: _Open) -> list:
        cancels = [
            CancelRequest(name, entry.request.request_id, entry.attempt)
            for name in entry.engines
        ]
        for name in entry.engines:
            self._connections[name] -= 1
        entry.engines = ()
        return cancels

    @handle.register
    def _(self, frame: EngineFrame, now: float) -> list:
        entry = self._open.get(frame.request_id)
        if entry is None or frame.attempt != entry.attempt:
            return []
        if frame.engine not in entry.engines:
            return []
        if frame.kind is FrameKind.TOKEN:
            entry.next_seq += 1
            return [SendResponseText(frame.request_id, frame.text)]
        if frame.kind is FrameKind.END:
            return self._finish(entry, Done())
        if frame.kind is FrameKind.READY:
            entry.ready.add(frame.engine)
            if len(entry.ready) < len(entry.engines):
                return []
            lead = entry.engines[0]
            start = StartGang(lead, frame.request_id, entry.attempt, entry.engines)
            return [start]
        if frame.kind is FrameKind.ACCEPTED:
            return []
        entry.refused.add(frame.engine)
        return self._close(entry) + self._later(entry, now)

    @handle.register
    def _(self, message: EngineLost, now: float) -> list:
        self._dead.add(message.engine)
        entry = self._open.get(message.request_id)
        if entry is None or message.engine not in entry.engines:
            return []
        return self._close(entry) + self._later(entry, now)

    def _finish(self, entry: _Open, outcome) -> list:
        del self._open[entry.request.request_id]
        finish = SendOutcome(entry.request.request_id, outcome, entry.next_seq)
        return [*self._close(entry), finish]

    def _on_deadline(self, entry: _Open) -> list:
        if entry.request.request_id not in self._open:
            return []
        return self._finish(entry, Failed(FailureReason.DEADLINE))

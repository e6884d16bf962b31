"""Which prompt goes to which engine, and when."""

from attrs import define, evolve, field

from briarrelay_core.chats.chatstate import Chat, Phase
from briarrelay_core.context import Context
from briarrelay_core.memory.allocator import GangPlan, plan_gang
from briarrelay_core.memory.reservations import ReservationKeeper
from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.engine import SendRequest
from briarrelay_core.reasons import RefusalReason
from briarrelay_core.routing.admission import Admission, whole_seconds
from briarrelay_core.routing.estimate import Estimate, priority_key
from briarrelay_core.routing.fairqueue import FairQueue, Waiting
from briarrelay_core.routing.lengths import LengthClass

__all__ = ["Dispatcher"]

PUMP_S = 0.02
"""Seconds between looks at the queues while they are not empty."""

DENIED_PAUSE_S = 0.2
"""Seconds before a prompt whose reservation was denied is tried again."""

DECODE_STRETCH = 1.2
"""Steps that one generated token is expected to take."""


@define(slots=True)
class Dispatcher:
    """Fair queues by length class, and the start of attempts.

    Prompts stay in the queue until an engine has little work before them: late
    choice uses newer news of the engines and leaves the order to fairness.
    """

    context: Context
    admission: Admission
    reservations: ReservationKeeper | None = None
    _short: FairQueue = field(factory=FairQueue)
    _others: FairQueue = field(factory=FairQueue)
    _pumping: bool = False

    @property
    def queued(self) -> int:
        """Number of prompts that wait for an engine."""
        return len(self._short) + len(self._others)

    def _queue_of(self, length_class: LengthClass) -> FairQueue:
        return self._short if length_class is LengthClass.SHORT else self._others

    def _window(self, length_class: LengthClass) -> float:
        preset = self.context.preset
        if length_class is LengthClass.SHORT:
            return preset.short_window_s
        return preset.medium_window_s

    def service_s(self, chat: Chat) -> float:
        """Return seconds that a prompt takes on an idle engine."""
        engines = self.context.fleet.live_engines()
        views = [self.context.fleet.view(name) for name in engines]
        rate = max((view.rate for view in views), default=1.0)
        step = max((view.step_s for view in views), default=0.0)
        prompt = chat.request.prompt_tokens + chat.next_seq
        return prompt / rate + chat.remaining_tokens * step * DECODE_STRETCH

    def feasible(self, chat: Chat, now: float) -> NotRun | None:
        """Return a refusal if a prompt cannot finish in its time, else None."""
        margin = self.context.preset.admit_margin_s
        slack = chat.request.deadline - margin - now - self.service_s(chat)
        if slack < 0:
            return NotRun(
                RefusalReason.CANNOT_FINISH,
                whole_seconds(-slack),
                f"given {chat.request.deadline - now:.1f} s, "
                f"needs {self.service_s(chat) + margin:.1f} s.",
            )
        wait = self.expected_wait(chat, now)
        if wait > slack:
            return NotRun(RefusalReason.OVERLOADED, whole_seconds(wait - slack))
        return None

    def expected_wait(self, chat: Chat, now: float) -> float:
        """Return seconds that a prompt would wait in the queue."""
        queue = self._queue_of(chat.length_class)
        ahead = queue.ahead_of(chat.workspace, chat.length_class)
        if ahead == 0:
            return 0.0
        return ahead / self.admission.fair_rate(chat.workspace, now)

    def submit(self, chat: Chat, now: float) -> list:
        """Put a prompt in its queue and serve what can be served."""
        objective = self.context.preset.objective
        key = priority_key(objective, chat.length_class, chat.arrived)
        chat.phase = Phase.QUEUED
        cost = chat.request.prompt_tokens
        item = Waiting(chat.id, chat.workspace, cost, key, chat.length_class)
        self._queue_of(chat.length_class).push(item, chat.weight)
        return self.pump(now)

    def withdraw(self, chat: Chat) -> None:
        """Take a prompt out of its queue."""
        self._queue_of(chat.length_class).remove(chat.id)

    def pump(self, now: float) -> list:
        """Start every attempt that an engine has room for."""
        effects = []
        for queue in (self._short, self._others):
            while queue:
                chosen: dict[str, Estimate | GangPlan] = {}
                item = queue.pop(lambda i, t, c=chosen: self._choose(i, t, c, now))
                if item is None:
                    break
                chat = self.context.chats[item.request_id]
                effects.extend(self._start(chat, chosen[item.request_id], now))
        if self.queued and not self._pumping:
            self._pumping = True
            self.context.timers.at(now + PUMP_S, self._on_pump)
        return effects

    def _on_pump(self, now: float) -> list:
        self._pumping = False
        return self.pump(now)

    def _choose(self, item: Waiting, is_turn: bool, chosen: dict, now: float) -> bool:
        chat = self.context.chats[item.request_id]
        queue = self._queue_of(chat.length_class)
        chat.excess = queue.is_excess(
            chat.workspace
        ) and self.admission.exceeds_fair_rate(chat.workspace, now)
        if chat.needs_reservation:
            choice = self._plan(chat, is_turn, now)
        else:
            need = evolve(chat.need, tried=chat.need.tried | self._kept(chat, now))
            window = self._window(chat.length_class)
            choice = self.context.fleet.best(need, now, window)
        if choice is not None:
            chosen[item.request_id] = choice
        return choice is not None

    def _kept(self, chat: Chat, now: float) -> frozenset[str]:
        """Return the engines that a prompt has to leave to short ones for now."""
        preset = self.context.preset
        patient = now - chat.arrived < preset.reserve_patience_s
        if chat.length_class is LengthClass.SHORT or not patient:
            return frozenset()
        model = chat.request.model
        return self.context.fleet.reserved(model, preset.short_reserve, now)

    def _plan(self, chat: Chat, is_turn: bool, now: float) -> GangPlan | None:
        """Choose the engines of a long prompt.

        A gang may join engines with more work queued than one engine alone: it needs
        several at one time, and they work in the order of arrival anyhow. It may so
        only at its workspace's turn, or it would take engines from those before it.
        """
        preset = self.context.preset
        prompt = chat.request.prompt_tokens + chat.next_seq
        output = chat.request.output_tokens
        room, waits = self._room(chat, now)
        windows = (preset.medium_window_s, preset.long_window_s)
        for window in windows[: 1 + is_turn]:
            near = {name: room[name] for name in room if waits[name] <= window}
            plan = plan_gang(prompt, output, near, waits)
            if plan is None:
                continue
            if len(plan.engines) > 1 or window == preset.medium_window_s:
                return plan
        return None

    def _room(self, chat: Chat, now: float) -> tuple[dict[str, int], dict[str, float]]:
        """Return each engine's room for a long prompt and the work before it."""
        fleet = self.context.fleet
        headroom = 1 - self.context.preset.memory_headroom
        kept = self._kept(chat, now)
        room, waits = {}, {}
        for name in fleet.usable(chat.request.model, now):
            if name in chat.tried or name in kept:
                continue
            view = fleet.view(name)
            waits[name] = fleet.estimate(name, chat.need, now).wait_s
            room[name] = min(view.memory_free, int(view.memory_total * headroom))
        return room, waits

    def _start(self, chat: Chat, choice: Estimate | GangPlan, now: float) -> list:
        if isinstance(choice, GangPlan):
            return self.reservations.start(chat, choice, now)
        chat.attempt += 1
        chat.expected_s = choice.first_token_s
        chat.why.append(
            f"attempt {chat.attempt} to {choice.engine} after "
            f"{now - chat.arrived:.3f} s, first token expected in "
            f"{choice.first_token_s:.3f} s, {choice.cached} tokens cached"
        )
        return self.launch(
            chat, (choice.engine,), (chat.need.tokens,), now, choice.cached
        )

    def on_granted(self, chat: Chat, now: float) -> list:
        """Send a prompt whose memory is reserved."""
        plan = chat.plan
        rate = self.context.fleet.view(plan.engines[0]).rate
        chat.expected_s = max(plan.tokens) / rate + self.context.preset.long_window_s
        chat.why.append(
            f"attempt {chat.attempt} to {'+'.join(plan.engines)} after "
            f"{now - chat.arrived:.3f} s, memory reserved"
        )
        return self.launch(chat, plan.engines, plan.tokens, now)

    def on_denied(self, chat: Chat, engine: str, now: float) -> list:
        """Queue a prompt again after a pause; its reservation was denied."""
        chat.why.append(f"no memory at {engine}")
        queue = self._queue_of(chat.length_class)
        queue.refund(chat.workspace, chat.request.prompt_tokens)
        chat.phase = Phase.PAUSED
        timer = self.context.timers.at(
            now + DENIED_PAUSE_S, lambda t: self._resubmit(chat, t)
        )
        chat.set_timer("resubmit", timer)
        return []

    def _resubmit(self, chat: Chat, now: float) -> list:
        if chat.phase is not Phase.PAUSED:
            return []
        return self.submit(chat, now)

    def launch(
        self,
        chat: Chat,
        engines: tuple[str, ...],
        tokens: tuple[int, ...],
        now: float,
        cached: int = 0,
    ) -> list:
        """Send an attempt to its engines."""
        objective = self.context.preset.objective
        chat.priority = priority_key(
            objective, chat.length_class, chat.arrived, chat.excess
        )
        chat.phase = Phase.SENT
        chat.engines = engines
        chat.ready = set()
        chat.probed = False
        effects = []
        for index, engine in enumerate(engines):
            part = tokens[index]
            self.context.fleet.note_sent(
                engine, evolve(chat.need, tokens=part), min(cached, part - 1), now
            )
            effects.append(self._request(chat, engine, index, part))
        return effects

    def _request(self, chat: Chat, engine: str, index: int, tokens: int) -> SendRequest:
        request = chat.request
        identity = self.context.identity
        return SendRequest(
            engine=engine,
            request_id=chat.id,
            attempt=chat.attempt,
            owner=identity.name,
            incarnation=identity.incarnation,
            model=request.model,
            tokens=tokens,
            output_tokens=request.output_tokens,
            reserve=tokens + chat.remaining_tokens,
            priority=chat.priority,
            deadline=request.deadline,
            blocks=request.blocks if len(chat.engines) == 1 else (),
            start_at=chat.next_seq,
            generated="".join(chat.generated),
            segment=index,
            segments=len(chat.engines),
            payload=request.payload,
        )

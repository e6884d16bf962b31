"""Dispatch of queued prompts to engines."""

from math import inf

from attrs import define, evolve, field

from briarrelay_core.chats.chatstate import Chat, Phase
from briarrelay_core.context import Context
from briarrelay_core.memory.allocator import GangPlan, plan_gang
from briarrelay_core.memory.reservations import ReservationCoordinator
from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.engine import SendRequest
from briarrelay_core.reasons import RefusalReason
from briarrelay_core.routing.admission import Admission, whole_seconds
from briarrelay_core.routing.estimate import Estimate, priority_key
from briarrelay_core.routing.fairqueue import FairQueue, QueuedRequest
from briarrelay_core.routing.lengths import LengthClass

__all__ = ["Dispatcher"]

DISPATCH_PERIOD_S = 0.02
"""Seconds between dispatch runs while prompts are queued."""

DENIED_RETRY_DELAY_S = 0.2
"""Seconds before a prompt whose reservation was denied is queued again."""

STEPS_PER_OUTPUT_TOKEN = 1.2
"""Batch steps that an engine is expected to need for one output token."""


@define(slots=True)
class Dispatcher:
    """Queues prompts fairly by length class and sends them to engines.

    A prompt stays queued until some engine has little work ahead of it. Choosing the
    engine late uses more recent load reports and leaves the order of service to the
    fair queues.
    """

    context: Context
    admission: Admission
    reservations: ReservationCoordinator | None = None
    _short: FairQueue = field(factory=FairQueue)
    _longer: FairQueue = field(factory=FairQueue)
    _is_scheduled: bool = False

    @property
    def queued(self) -> int:
        """Number of queued prompts."""
        return len(self._short) + len(self._longer)

    def _queue_of(self, length_class: LengthClass) -> FairQueue:
        return self._short if length_class is LengthClass.SHORT else self._longer

    def _window_s(self, length_class: LengthClass) -> float:
        preset = self.context.preset
        if length_class is LengthClass.SHORT:
            return preset.short_window_s
        return preset.medium_window_s

    def service_time_s(self, chat: Chat) -> float:
        """Return the seconds that a prompt takes on an idle engine of the fleet."""
        engines = self.context.fleet.live_engines()
        views = [self.context.fleet.view(name) for name in engines]
        rate = max((view.rate for view in views), default=1.0)
        step = max((view.step_s for view in views), default=0.0)
        prompt = chat.request.prompt_tokens + chat.next_seq
        return prompt / rate + chat.remaining_tokens * step * STEPS_PER_OUTPUT_TOKEN

    def check_feasibility(self, chat: Chat, now: float) -> NotRun | None:
        """Return a refusal if a prompt cannot finish by its deadline, else None."""
        margin = self.context.preset.admit_margin_s
        slack = chat.request.deadline - margin - now - self.service_time_s(chat)
        if slack < 0:
            return NotRun(
                RefusalReason.CANNOT_FINISH,
                whole_seconds(-slack),
                f"given {chat.request.deadline - now:.1f} s, "
                f"needs {self.service_time_s(chat) + margin:.1f} s.",
            )
        wait = self.expected_wait(chat, now)
        if wait > slack:
            return NotRun(RefusalReason.OVERLOADED, whole_seconds(wait - slack))
        return None

    def expected_wait(self, chat: Chat, now: float) -> float:
        """Return the seconds that a prompt is expected to wait in its queue.

        They are infinite while no engine works.
        """
        queue = self._queue_of(chat.length_class)
        tokens = queue.tokens_ahead_of(chat.workspace, chat.length_class)
        if tokens == 0:
            return 0.0
        rate = self.admission.fair_rate(chat.workspace, now)
        return tokens / rate if rate > 0 else inf

    def submit(self, chat: Chat, now: float) -> list:
        """Queue a prompt, then dispatch every prompt that an engine can take."""
        objective = self.context.preset.objective
        key = priority_key(objective, chat.length_class, chat.arrived)
        chat.phase = Phase.QUEUED
        cost = chat.request.prompt_tokens
        item = QueuedRequest(chat.id, chat.workspace, cost, key, chat.length_class)
        self._queue_of(chat.length_class).push(item, chat.weight)
        return self.dispatch(now)

    def dequeue(self, chat: Chat) -> None:
        """Remove a prompt from its queue."""
        self._queue_of(chat.length_class).remove(chat.id)

    def dispatch(self, now: float) -> list:
        """Send every queued prompt that an engine can take now."""
        effects = []
        for queue in (self._short, self._longer):
            while queue:
                chosen: dict[str, Estimate | GangPlan] = {}
                item = queue.pop(lambda i, f, c=chosen: self._choose(i, f, c, now))
                if item is None:
                    break
                chat = self.context.chats[item.request_id]
                effects.extend(self._start(chat, chosen[item.request_id], now))
        if self.queued and not self._is_scheduled:
            self._is_scheduled = True
            self.context.timers.at(now + DISPATCH_PERIOD_S, self._on_dispatch_timer)
        return effects

    def _on_dispatch_timer(self, now: float) -> list:
        self._is_scheduled = False
        return self.dispatch(now)

    def _choose(
        self, item: QueuedRequest, is_first: bool, chosen: dict, now: float
    ) -> bool:
        """Choose the engine or gang for a queued prompt.

        :param is_first: whether the prompt's workspace is first in service order.
        :param chosen: filled with the choice, by request id.
        :returns: whether the prompt can be sent now.
        """
        chat = self.context.chats[item.request_id]
        queue = self._queue_of(chat.length_class)
        chat.excess = queue.is_excess(
            chat.workspace
        ) and self.admission.exceeds_fair_rate(chat.workspace, now)
        if chat.needs_reservation:
            choice = self._plan(chat, is_first, now)
        else:
            requirements = evolve(
                chat.requirements,
                tried=chat.requirements.tried | self._reserved_for_short(chat, now),
            )
            window = self._window_s(chat.length_class)
            choice = self.context.fleet.select_engine(requirements, now, window)
        if choice is not None:
            chosen[item.request_id] = choice
        return choice is not None

    def _reserved_for_short(self, chat: Chat, now: float) -> frozenset[str]:
        """Return the engines that a prompt may not use, reserved for short prompts.

        A prompt that has waited for `reserve_patience_s` may use every engine.
        """
        preset = self.context.preset
        is_restricted = now - chat.arrived < preset.reserve_patience_s
        if chat.length_class is LengthClass.SHORT or not is_restricted:
            return frozenset()
        model = chat.request.model
        return self.context.fleet.reserved_for_short(model, preset.short_reserve, now)

    def _plan(self, chat: Chat, is_first: bool, now: float) -> GangPlan | None:
        """Choose the engines of a long prompt.

        A gang may include engines with more queued work than a single engine may have:
        it needs several engines at once, and they process long work in the order of
        arrival anyway. The longer window applies only if the prompt's workspace is
        first in the order of service; otherwise the gang would take engines that the
        workspaces ahead of it are due.
        """
        preset = self.context.preset
        prompt = chat.request.prompt_tokens + chat.next_seq
        output = chat.request.output_tokens
        free, queue_s = self._free_memory(chat, now)
        windows = (preset.medium_window_s, preset.long_window_s)
        for window in windows[: 1 + is_first]:
            available = {n: free[n] for n in free if queue_s[n] <= window}
            plan = plan_gang(prompt, output, available, queue_s)
            if plan is None:
                continue
            if len(plan.engines) > 1 or window == preset.medium_window_s:
                return plan
        return None

    def _free_memory(
        self, chat: Chat, now: float
    ) -> tuple[dict[str, int], dict[str, float]]:
        """Return the free memory of the engines that a long prompt may use.

        :returns: tokens of memory, and seconds of work ahead of the prompt, by engine.
        """
        fleet = self.context.fleet
        usable_ratio = 1 - self.context.preset.memory_headroom
        reserved = self._reserved_for_short(chat, now)
        free, queue_s = {}, {}
        for name in fleet.usable(chat.request.model, now):
            if name in chat.tried or name in reserved:
                continue
            view = fleet.view(name)
            queue_s[name] = fleet.estimate(name, chat.requirements, now).wait_s
            free[name] = min(view.memory_free, int(view.memory_total * usable_ratio))
        return free, queue_s

    def _start(self, chat: Chat, choice: Estimate | GangPlan, now: float) -> list:
        if isinstance(choice, GangPlan):
            return self.reservations.start(chat, choice, now)
        chat.attempt += 1
        chat.expected_first_token_s = choice.first_token_s
        chat.why.append(
            f"attempt {chat.attempt} to {choice.engine} after "
            f"{now - chat.arrived:.3f} s, first token expected in "
            f"{choice.first_token_s:.3f} s, {choice.cached} tokens cached"
        )
        return self.send_attempt(
            chat, (choice.engine,), (chat.requirements.tokens,), now, choice.cached
        )

    def on_granted(self, chat: Chat, now: float) -> list:
        """Send a prompt whose memory is reserved."""
        plan = chat.plan
        rate = self.context.fleet.view(plan.engines[0]).rate
        chat.expected_first_token_s = (
            max(plan.tokens) / rate + self.context.preset.long_window_s
        )
        chat.why.append(
            f"attempt {chat.attempt} to {'+'.join(plan.engines)} after "
            f"{now - chat.arrived:.3f} s, memory reserved"
        )
        return self.send_attempt(chat, plan.engines, plan.tokens, now)

    def on_denied(self, chat: Chat, engine: str, now: float) -> list:
        """Queue a prompt whose reservation was denied again, after a delay."""
        chat.why.append(f"no memory at {engine}")
        queue = self._queue_of(chat.length_class)
        queue.refund(chat.workspace, chat.request.prompt_tokens)
        chat.phase = Phase.PAUSED
        timer = self.context.timers.at(
            now + DENIED_RETRY_DELAY_S, lambda t: self._resubmit(chat, t)
        )
        chat.set_timer("resubmit", timer)
        return []

    def _resubmit(self, chat: Chat, now: float) -> list:
        if chat.phase is not Phase.PAUSED:
            return []
        return self.submit(chat, now)

    def send_attempt(
        self,
        chat: Chat,
        engines: tuple[str, ...],
        tokens: tuple[int, ...],
        now: float,
        cached: int = 0,
    ) -> list:
        """Send an attempt to its engines.

        :param tokens: prompt tokens for each engine, in the order of the engines.
        :param cached: prompt tokens expected in the engine's cache, 0 for a gang.
        """
        objective = self.context.preset.objective
        chat.priority = priority_key(
            objective, chat.length_class, chat.arrived, chat.excess
        )
        chat.phase = Phase.SENT
        chat.engines = engines
        chat.ready_engines = set()
        chat.probed = False
        effects = []
        for index, engine in enumerate(engines):
            segment_tokens = tokens[index]
            self.context.fleet.record_send(
                engine,
                evolve(chat.requirements, tokens=segment_tokens),
                min(cached, segment_tokens - 1),
                now,
            )
            effects.append(self._send_request(chat, engine, index, segment_tokens))
        return effects

    def _send_request(
        self, chat: Chat, engine: str, index: int, tokens: int
    ) -> SendRequest:
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

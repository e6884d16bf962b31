"""Orders to engines, by the holder of the data centre's lease alone."""

from math import log

from attrs import define, field

from briarrelay_core.agreement.configuration import Configuration, ModelSpec
from briarrelay_core.agreement.leases import LEASE_STREAM, Lease, LeaseFold, LeaseRecord
from briarrelay_core.agreement.tails import LogTail
from briarrelay_core.context import Context
from briarrelay_core.membership.rendezvous import ranked, unit_hash
from briarrelay_core.ports.log import LogRecord
from briarrelay_core.ports.observe import Count
from briarrelay_core.ports.platform import (
    FetchWeights,
    OrderAnswer,
    OrderKind,
    ReadEngineState,
    SendOrder,
    WeightsReady,
)

__all__ = ["OrderKeeper", "assign_models"]

LEASE_S = 15.0
"""Seconds for which a lease holds."""

CLOCK_MARGIN_S = 1.0
"""Seconds by which a holder stops early and others start late."""

ORDER_DELAY_S = 5.0
"""Longest time that an order may be on its way to an engine."""

RANK_S = 2.0
"""Seconds that each further candidate waits for the one before it."""

CHECK_S = 1.0
"""Seconds between looks at the lease and the engines."""

STATE_AGE_S = 5.0
"""Age after which an engine's state is read again."""

SETTLED_AGE_S = 30.0
"""Age after which the state of an engine that matches is read again."""

ROLL_PART = 0.25
"""Part of the engines that may be loading at the same time."""


def assign_models(
    configuration: Configuration, engines: list[str]
) -> dict[str, tuple[str, ModelSpec]]:
    """Return the model of each engine.

    The choice of an engine depends on its name alone, so that few engines change
    when others come or go; a model that nobody chose gets its best engine.

    Source: Schindelhauer and Schomaker, "Weighted Distributed Hash Tables".
    """
    shares = {n: s for n, s in configuration.models.items() if s.share > 0}
    if not shares:
        return {}

    def score(engine: str, model: str) -> float:
        unit = max(unit_hash("model", engine, model), 1e-12)
        return -shares[model].share / log(unit)

    chosen = {e: max(shares, key=lambda m, e=e: (score(e, m), m)) for e in engines}
    for model in sorted(shares):
        spare = [e for e in engines if list(chosen.values()).count(chosen[e]) > 1]
        if model not in chosen.values() and spare:
            chosen[max(spare, key=lambda e, m=model: (score(e, m), e))] = model
    return {engine: (model, shares[model]) for engine, model in chosen.items()}


@define(slots=True)
class _Engine:
    """What is known of an engine's state."""

    answer: OrderAnswer | None = None
    asked_at: float = -STATE_AGE_S
    read_at: float = -STATE_AGE_S
    ordered_at: float = -STATE_AGE_S


@define(slots=True)
class OrderKeeper:
    """Holds the order lease, or waits for it, and makes engines match.

    :param valid_until: time up to which this instance may send orders; counted from
        before its lease record was sent.
    """

    context: Context
    fold: LeaseFold = field(factory=LeaseFold)
    tail: LogTail | None = None
    valid_until: float = 0.0
    obey_from: float = 0.0
    _pending: str = ""
    _pending_at: float = 0.0
    _wishes: int = 0
    _engines: dict[str, _Engine] = field(factory=dict)
    _weights: dict[str, bool] = field(factory=dict)
    _assigned: tuple = (None, None)
    _weights_at: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self):
        self.tail = LogTail(LEASE_STREAM, self.context.timers, self._consume)

    def start(self, now: float) -> list:
        """Begin to follow the lease."""
        self.context.timers.every(CHECK_S, self._check, now + CHECK_S)
        return self.tail.start(now)

    @property
    def lease(self) -> Lease | None:
        """The lease of the own data centre, which may have lapsed."""
        return self.fold.lease_of(self.context.identity.data_centre)

    def is_holder(self, now: float) -> bool:
        """Return whether this instance may send orders now."""
        return now < self.valid_until and self._is_mine(self.lease)

    def _is_mine(self, lease: Lease | None) -> bool:
        identity = self.context.identity
        return lease is not None and (
            (lease.record.holder, lease.record.incarnation)
            == (identity.name, identity.incarnation)
        )

    def _consume(self, records: tuple[LogRecord, ...], now: float) -> list:
        effects = []
        for record in records:
            before = self.lease
            if self.fold.apply(record, now) and self.lease is not before:
                effects += self._on_lease(before, now)
        return effects

    def _on_lease(self, before: Lease | None, now: float) -> list:
        lease = self.lease
        if lease.record.id != self._pending:
            if self._is_mine(before) and not self._is_mine(lease):
                self.valid_until = 0.0
            return []
        self._pending = ""
        self.valid_until = self._pending_at + LEASE_S - CLOCK_MARGIN_S
        if self._is_mine(before):
            return []
        self.obey_from = now + ORDER_DELAY_S
        self._engines.clear()
        return self.context.note(
            now, "order", f"lease-{lease.offset}", "", "lease taken"
        )

    def _check(self, now: float) -> list:
        if self.context.configuration is None or self.context.draining:
            return []
        if self.is_holder(now):
            effects = self._reconcile(now)
            if now > self.valid_until - LEASE_S / 2:
                effects += self._wish(now)
            return effects
        return self._wish(now) if self._may_take(now) else []

    def _may_take(self, now: float) -> bool:
        if not self.tail.caught_up or self.tail.down_since is not None:
            return False
        lease = self.lease
        lapsed = 0.0 if lease is None else lease.lapses_at + CLOCK_MARGIN_S
        identity = self.context.identity
        peers = self.context.entry_peers(now, identity.data_centre)
        order = ranked(f"orders:{identity.data_centre}", [identity.name, *peers])
        return now > lapsed + RANK_S * order.index(identity.name)

    def _wish(self, now: float) -> list:
        """Ask for the lease, or to go on holding it; one wish at a time."""
        if self._pending and now < self._pending_at + LEASE_S:
            return []
        self._wishes += 1
        identity = self.context.identity
        self._pending = f"{identity.name}.{identity.incarnation}.{self._wishes}"
        self._pending_at = now
        lease = self.lease
        record = LeaseRecord(
            id=self._pending,
            data_centre=identity.data_centre,
            holder=identity.name,
            incarnation=identity.incarnation,
            after=lease.offset if lease else -1,
            duration_s=LEASE_S,
        )
        return self.context.outbox.add(LEASE_STREAM, record.to_json(), now)

    def _reconcile(self, now: float) -> list:
        engines = self.context.fleet.live_engines()
        wanted = self._wanted(engines)
        room = max(1, int(len(engines) * ROLL_PART))
        effects = []
        for name in engines:
            engine = self._engines.setdefault(name, _Engine())
            order = self._next_order(name, engine, *wanted[name]) if wanted else None
            age = SETTLED_AGE_S if order is None and engine.answer else STATE_AGE_S
            if now - engine.read_at >= age:
                effects += self._read(name, engine, now)
                continue
            if order is None:
                continue
            if self._is_loading(engine, now):
                room -= 1
            elif room > 0 and self._may_order(name, now):
                room -= 1
                effects += self._order(engine, order, wanted[name], now)
        return effects

    def _wanted(self, engines: list[str]) -> dict[str, tuple[str, ModelSpec]]:
        """Return the model of each engine; worked out again when anything changed."""
        question = (self.context.revision, tuple(engines))
        if self._assigned[0] != question:
            chosen = assign_models(self.context.configuration, engines)
            self._assigned = (question, chosen)
        return self._assigned[1]

    def _read(self, name: str, engine: _Engine, now: float) -> list:
        if now - engine.asked_at < STATE_AGE_S:
            return []
        engine.asked_at = now
        return [ReadEngineState(name)]

    def _is_loading(self, engine: _Engine, now: float) -> bool:
        return now - engine.ordered_at < STATE_AGE_S

    def _may_order(self, name: str, now: float) -> bool:
        member = self.context.membership.get(name)
        checks = member is not None and member.listed.checks_fencing
        return checks or now >= self.obey_from

    def _next_order(
        self, name: str, engine: _Engine, model: str, spec: ModelSpec
    ) -> SendOrder | None:
        state = engine.answer
        if state is None:
            return None
        fencing = self.lease.offset
        wanted = f"{model}@{spec.version}"
        if wanted not in state.models:
            return SendOrder(name, OrderKind.LOAD_MODEL, wanted, fencing)
        for adapter in spec.adapters:
            if adapter not in state.adapters:
                return SendOrder(name, OrderKind.LOAD_ADAPTER, adapter, fencing)
        if state.role != spec.role:
            return SendOrder(name, OrderKind.SET_ROLE, spec.role, fencing)
        return None

    def _order(
        self, engine: _Engine, order: SendOrder, wanted: tuple, now: float
    ) -> list:
        if order.kind is OrderKind.LOAD_MODEL and not self._weights.get(order.value):
            return self._fetch(order.value, now)
        engine.ordered_at = now
        why = (f"{order.kind.value} {order.value}", f"fencing {order.fencing}")
        return [
            order,
            Count("order.sent"),
            *self.context.note(now, "order", order.engine, "", order.kind.value, why),
        ]

    def _fetch(self, model: str, now: float) -> list:
        if now < self._weights_at.get(model, 0.0):
            return []
        self._weights_at[model] = now + STATE_AGE_S
        return [FetchWeights(model)]

    def on_weights(self, message: WeightsReady, now: float) -> list:
        """Take the weight store's answer; a refusal for its rate is waited out."""
        self._weights[message.model] = message.ready
        if not message.ready:
            pause = max(1.0, message.retry_after)
            self._weights_at[message.model] = now + pause
        return []

    def on_answer(self, message: OrderAnswer, now: float) -> list:
        """Take an engine's state; a higher fencing number ends the own lease."""
        engine = self._engines.setdefault(message.engine, _Engine())
        if message.failed:
            return [Count("order.failed")]
        engine.answer = message
        engine.read_at = now
        lease = self.lease
        if lease is not None and message.highest_fencing > lease.offset:
            self.valid_until = 0.0
            return [Count("order.superseded")]
        return []

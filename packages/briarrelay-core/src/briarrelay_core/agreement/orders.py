"""Orders that make engines load what the configuration assigns to them.

In each data centre only the holder of the order lease sends them.
"""

from math import log

from attrs import define, field

from briarrelay_core.agreement.configuration import Configuration, ModelSpec
from briarrelay_core.agreement.leases import LEASE_STREAM, Lease, LeaseFold, LeaseRecord
from briarrelay_core.agreement.logtail import LogTail
from briarrelay_core.context import Context
from briarrelay_core.membership.rendezvous import ranked, unit_hash
from briarrelay_core.ports.log import LogRecord
from briarrelay_core.ports.platform import (
    EngineState,
    FetchWeights,
    OrderKind,
    ReadEngineState,
    SendOrder,
    WeightsStatus,
)
from briarrelay_core.ports.telemetry import IncrementCounter

__all__ = ["OrderController", "assign_models"]

LEASE_DURATION_S = 15.0
"""Time for which a lease is valid."""

CLOCK_MARGIN_S = 1.0
"""Margin on each side of a lease's expiry.

The holder stops sending orders this much earlier, other instances request the lease
this much later.
"""

MAX_ORDER_DELAY_S = 5.0
"""Longest time that an order may take to reach an engine."""

RANK_DELAY_S = 2.0
"""Delay per rank with which an instance requests an expired lease; rank 0 has none."""

CHECK_INTERVAL_S = 1.0
"""Interval between checks of the lease and the engines."""

STATE_REFRESH_S = 5.0
"""Age after which an engine's state is read again.

Also the time for which an engine counts as loading after an order.
"""

MATCHED_REFRESH_S = 30.0
"""Age after which the state of an engine is read again if it needs no order."""

MAX_LOADING_FRACTION = 0.25
"""Fraction of the engines that may be loading at the same time, but at least one."""


def assign_models(
    configuration: Configuration, engines: list[str]
) -> dict[str, tuple[str, ModelSpec]]:
    """Return the model that each engine is to serve.

    Weighted rendezvous hashing picks the model from the engine's name alone, so that
    few engines change their model when others come or go. A model that this leaves
    without an engine gets the one with the highest score for it among the engines whose
    model is also served by another engine.

    Source: Schindelhauer and Schomaker, "Weighted Distributed Hash Tables".
    """
    specs = {n: s for n, s in configuration.models.items() if s.share > 0}
    if not specs:
        return {}

    def score(engine: str, model: str) -> float:
        hash_value = max(unit_hash("model", engine, model), 1e-12)
        return -specs[model].share / log(hash_value)

    chosen = {e: max(specs, key=lambda m, e=e: (score(e, m), m)) for e in engines}
    for model in sorted(specs):
        spare = [e for e in engines if list(chosen.values()).count(chosen[e]) > 1]
        if model not in chosen.values() and spare:
            chosen[max(spare, key=lambda e, m=model: (score(e, m), e))] = model
    return {engine: (model, specs[model]) for engine, model in chosen.items()}


@define(slots=True)
class _KnownEngine:
    """Latest state read from an engine, and times of reads and orders in seconds.

    :param read_sent_at: when a read of the state was last sent.
    :param state_read_at: when `latest` arrived.
    :param ordered_at: when an order was last sent.
    """

    latest: EngineState | None = None
    read_sent_at: float = -STATE_REFRESH_S
    state_read_at: float = -STATE_REFRESH_S
    ordered_at: float = -STATE_REFRESH_S


@define(slots=True)
class OrderController:
    """Requests the order lease and, as its holder, sends orders to engines.

    The orders make the engines match the configuration.

    :param fold: leases derived from the records read so far.
    :param tail: reads the lease stream of the log.
    :param valid_until: time up to which this instance may send orders, counted from
        before its lease record was sent.
    :param unfenced_orders_from: time from which orders may go to engines that do not
        check fencing tokens; by then the previous holder's orders have arrived.
    :ivar _pending_request_id: id of this instance's lease record that was not read back
        yet, empty if there is none.
    :ivar _cached_assignment: inputs and result of the latest `assign_models`.
    """

    context: Context
    fold: LeaseFold = field(factory=LeaseFold)
    tail: LogTail | None = None
    valid_until: float = 0.0
    unfenced_orders_from: float = 0.0
    _pending_request_id: str = ""
    _requested_at: float = 0.0
    _request_count: int = 0
    _engines: dict[str, _KnownEngine] = field(factory=dict)
    _weights_ready: dict[str, bool] = field(factory=dict)
    _cached_assignment: tuple = (None, None)
    _next_fetch_at: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self):
        self.tail = LogTail(LEASE_STREAM, self.context.timers, self._consume)

    def start(self, now: float) -> list:
        """Start to follow the lease stream."""
        self.context.timers.every(CHECK_INTERVAL_S, self._check, now + CHECK_INTERVAL_S)
        return self.tail.start(now)

    @property
    def lease(self) -> Lease | None:
        """Latest lease of this instance's data centre, which may have expired."""
        return self.fold.lease_of(self.context.identity.data_centre)

    def is_holder(self, now: float) -> bool:
        """Return whether this instance may send orders now."""
        return now < self.valid_until and self._is_own(self.lease)

    def _is_own(self, lease: Lease | None) -> bool:
        identity = self.context.identity
        return lease is not None and (
            (lease.record.holder, lease.record.incarnation)
            == (identity.name, identity.incarnation)
        )

    def _consume(self, records: tuple[LogRecord, ...], now: float) -> list:
        effects = []
        for record in records:
            previous = self.lease
            if self.fold.apply(record, now) and self.lease is not previous:
                effects += self._on_lease(previous, now)
        return effects

    def _on_lease(self, previous: Lease | None, now: float) -> list:
        lease = self.lease
        if lease.record.id != self._pending_request_id:
            if self._is_own(previous) and not self._is_own(lease):
                self.valid_until = 0.0
            return []
        self._pending_request_id = ""
        self.valid_until = self._requested_at + LEASE_DURATION_S - CLOCK_MARGIN_S
        if self._is_own(previous):
            return []
        self.unfenced_orders_from = now + MAX_ORDER_DELAY_S
        self._engines.clear()
        return self.context.record_event(
            now, "order", f"lease-{lease.offset}", "", "lease taken"
        )

    def _check(self, now: float) -> list:
        if self.context.configuration is None or self.context.draining:
            return []
        if self.is_holder(now):
            effects = self._reconcile(now)
            if now > self.valid_until - LEASE_DURATION_S / 2:
                effects += self._request_lease(now)
            return effects
        return self._request_lease(now) if self._may_request_lease(now) else []

    def _may_request_lease(self, now: float) -> bool:
        if not self.tail.caught_up or self.tail.down_since is not None:
            return False
        lease = self.lease
        expired_at = 0.0 if lease is None else lease.expires_at + CLOCK_MARGIN_S
        identity = self.context.identity
        peers = self.context.entry_peers(now, identity.data_centre)
        order = ranked(f"orders:{identity.data_centre}", [identity.name, *peers])
        return now > expired_at + RANK_DELAY_S * order.index(identity.name)

    def _request_lease(self, now: float) -> list:
        """Request or renew the lease, with one request in progress at a time."""
        if self._pending_request_id and now < self._requested_at + LEASE_DURATION_S:
            return []
        self._request_count += 1
        identity = self.context.identity
        self._pending_request_id = (
            f"{identity.name}.{identity.incarnation}.{self._request_count}"
        )
        self._requested_at = now
        lease = self.lease
        record = LeaseRecord(
            id=self._pending_request_id,
            data_centre=identity.data_centre,
            holder=identity.name,
            incarnation=identity.incarnation,
            after=lease.offset if lease else -1,
            duration_s=LEASE_DURATION_S,
        )
        return self.context.outbox.add(LEASE_STREAM, record.to_json(), now)

    def _reconcile(self, now: float) -> list:
        engines = self.context.fleet.live_engines()
        wanted = self._wanted_models(engines)
        loading_slots = max(1, int(len(engines) * MAX_LOADING_FRACTION))
        effects = []
        for name in engines:
            engine = self._engines.setdefault(name, _KnownEngine())
            order = self._next_order(name, engine, *wanted[name]) if wanted else None
            refresh_s = (
                MATCHED_REFRESH_S
                if order is None and engine.latest
                else STATE_REFRESH_S
            )
            if now - engine.state_read_at >= refresh_s:
                effects += self._read_state(name, engine, now)
                continue
            if order is None:
                continue
            if self._is_loading(engine, now):
                loading_slots -= 1
            elif loading_slots > 0 and self._may_order(name, now):
                loading_slots -= 1
                effects += self._send_order(engine, order, wanted[name], now)
        return effects

    def _wanted_models(self, engines: list[str]) -> dict[str, tuple[str, ModelSpec]]:
        """Return the model of each engine, from the cache while nothing changed."""
        inputs = (self.context.revision, tuple(engines))
        if self._cached_assignment[0] != inputs:
            chosen = assign_models(self.context.configuration, engines)
            self._cached_assignment = (inputs, chosen)
        return self._cached_assignment[1]

    def _read_state(self, name: str, engine: _KnownEngine, now: float) -> list:
        if now - engine.read_sent_at < STATE_REFRESH_S:
            return []
        engine.read_sent_at = now
        return [ReadEngineState(name)]

    def _is_loading(self, engine: _KnownEngine, now: float) -> bool:
        return now - engine.ordered_at < STATE_REFRESH_S

    def _may_order(self, name: str, now: float) -> bool:
        """Return whether no order of the previous holder can undo one sent now."""
        member = self.context.membership.get(name)
        checks_tokens = member is not None and member.listed.checks_fencing
        return checks_tokens or now >= self.unfenced_orders_from

    def _next_order(
        self, name: str, engine: _KnownEngine, model: str, spec: ModelSpec
    ) -> SendOrder | None:
        """Return the order that an engine needs next.

        :returns: None if the engine matches the configuration or its state is unknown.
        """
        state = engine.latest
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

    def _send_order(
        self, engine: _KnownEngine, order: SendOrder, wanted: tuple, now: float
    ) -> list:
        """Send an order, or fetch the weights first if a model's are not ready."""
        if order.kind is OrderKind.LOAD_MODEL and not self._weights_ready.get(
            order.value
        ):
            return self._fetch_weights(order.value, now)
        engine.ordered_at = now
        why = (f"{order.kind.value} {order.value}", f"fencing {order.fencing}")
        return [
            order,
            IncrementCounter("order.sent"),
            *self.context.record_event(
                now, "order", order.engine, "", order.kind.value, why
            ),
        ]

    def _fetch_weights(self, model: str, now: float) -> list:
        if now < self._next_fetch_at.get(model, 0.0):
            return []
        self._next_fetch_at[model] = now + STATE_REFRESH_S
        return [FetchWeights(model)]

    def on_weights(self, message: WeightsStatus, now: float) -> list:
        """Record whether a model's weights are ready; if not, fetch again later."""
        self._weights_ready[message.model] = message.ready
        if not message.ready:
            pause = max(1.0, message.retry_after)
            self._next_fetch_at[message.model] = now + pause
        return []

    def on_engine_state(self, message: EngineState, now: float) -> list:
        """Handle an engine's state; a higher fencing token in it ends this lease."""
        engine = self._engines.setdefault(message.engine, _KnownEngine())
        if message.failed:
            return [IncrementCounter("order.failed")]
        engine.latest = message
        engine.state_read_at = now
        lease = self.lease
        if lease is not None and message.highest_fencing > lease.offset:
            self.valid_until = 0.0
            return [IncrementCounter("order.superseded")]
        return []

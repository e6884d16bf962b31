"""Engines of this data centre: load, health, cached prompts and selection."""

from collections import deque
from collections.abc import Iterable

from attrs import define, field

from briarrelay_core.agreement.configuration import Preset
from briarrelay_core.identity import Identity
from briarrelay_core.membership.membership import Membership
from briarrelay_core.membership.rendezvous import ranked, unit_hash
from briarrelay_core.ports.engine import EngineReport
from briarrelay_core.ports.peer import RecentSend, ReportEntry
from briarrelay_core.ports.platform import InstanceKind
from briarrelay_core.routing.engineview import EngineView, SentWork
from briarrelay_core.routing.estimate import Estimate, estimate_first_token
from briarrelay_core.routing.health import HealthTable
from briarrelay_core.routing.lengths import LengthClass
from briarrelay_core.routing.prefix import PrefixIndex

__all__ = ["Fleet", "PromptRequirements"]

MAX_CANDIDATES = 16
"""Largest number of engines compared for one request, besides cache holders."""

TIE_TOLERANCE_S = 0.002
"""Seconds within which estimates of engines count as equal."""

MAX_RECENT_SENDS = 64
"""Sends of this instance that are kept for digests."""


@define(slots=True, frozen=True)
class PromptRequirements:
    """Properties of a request that the choice of an engine depends on.

    :param tokens: prompt tokens to process.
    :param blocks: ids of the prompt's leading cache blocks.
    :param tried: engines that may not be chosen.
    :param excess: whether the request's workspace is beyond its share.
    """

    request_id: str
    model: str
    length_class: LengthClass
    tokens: int
    output_tokens: int
    blocks: tuple[int, ...] = ()
    tried: frozenset[str] = frozenset()
    excess: bool = False


@define(slots=True)
class Fleet:
    """Views of the engines of this data centre, and the choice between them.

    :param recent_sends: latest sends of this instance, for digests.
    """

    identity: Identity
    membership: Membership
    health: HealthTable = field(factory=HealthTable)
    prefix: PrefixIndex = field(factory=PrefixIndex)
    recent_sends: deque = field(factory=lambda: deque(maxlen=MAX_RECENT_SENDS))
    _views: dict[str, EngineView] = field(factory=dict)
    _newest_sends: dict[str, float] = field(factory=dict)

    def view(self, engine: str) -> EngineView:
        """Return the view of an engine; create it if there is none."""
        if engine not in self._views:
            self._views[engine] = EngineView(engine)
        return self._views[engine]

    def live_engines(self) -> list[str]:
        """Return the live engines of this data centre, which may get new work."""
        members = self.membership.live(InstanceKind.ENGINE, self.identity.data_centre)
        return [member.name for member in members]

    def usable(self, model: str, now: float) -> list[str]:
        """Return the live engines that have a model loaded and are not ejected."""
        return [
            name
            for name in self.live_engines()
            if model in self.view(name).models and not self.health.is_ejected(name, now)
        ]

    def capacity(self, now: float) -> float:
        """Return the prompt tokens a second that the fleet can process.

        Engines that are ejected or have not reported yet are left out.
        """
        return sum(
            self.view(name).rate
            for name in self.live_engines()
            if not self.health.is_ejected(name, now) and self.view(name).as_of > 0
        )

    def largest_prompt(self, model: str, preset: Preset, max_engines: int) -> int:
        """Return the tokens that the largest possible gang can hold when idle.

        :param max_engines: largest number of engines in a gang.
        """
        sizes = sorted(
            (
                int(self.view(name).memory_total * (1 - preset.memory_headroom))
                for name in self.live_engines()
                if model in self.view(name).models
            ),
            reverse=True,
        )[:max_engines]
        return max(
            (count * size for count, size in enumerate(sizes, start=1)), default=0
        )

    def reserved_for_short(
        self, model: str, ratio: float, now: float
    ) -> frozenset[str]:
        """Return the engines that are reserved for short prompts.

        Every instance computes the same set; at least one engine is not reserved.

        :param ratio: fraction of the usable engines to reserve.
        """
        usable = self.usable(model, now)
        count = min(len(usable) - 1, int(ratio * len(usable) + 0.5))
        return frozenset(ranked("short-reserve", usable)[: max(0, count)])

    def estimate(
        self, engine: str, requirements: PromptRequirements, now: float
    ) -> Estimate:
        """Estimate the time to first token of a request on one engine."""
        view = self.view(engine)
        cached = (
            self.prefix.cached_tokens(engine, requirements.blocks)
            if requirements.blocks
            else 0
        )
        cached = min(cached, requirements.tokens - 1)
        return estimate_first_token(
            view,
            requirements.length_class,
            requirements.tokens,
            cached,
            now,
            requirements.excess,
        )

    def select_engine(
        self, requirements: PromptRequirements, now: float, window_s: float
    ) -> Estimate | None:
        """Choose the engine with the least expected time to first token.

        :param window_s: limit on the expected wait, in seconds, 0 for none.
        :returns: None if no engine has enough free memory and a wait within the limit.
        """
        options = [
            self.estimate(name, requirements, now)
            for name in self._candidates(requirements, now)
            if self._fits(name, requirements)
        ]
        if window_s > 0:
            options = [option for option in options if option.wait_s <= window_s]
        if not options:
            return None
        shortest = min(option.first_token_s for option in options)
        ties = [o for o in options if o.first_token_s <= shortest + TIE_TOLERANCE_S]
        return max(ties, key=lambda o: unit_hash(requirements.request_id, o.engine))

    def _candidates(self, requirements: PromptRequirements, now: float) -> list[str]:
        names = [
            name
            for name in self.usable(requirements.model, now)
            if name not in requirements.tried
            and self.health.admits(name, requirements.request_id, now)
        ]
        if len(names) <= MAX_CANDIDATES:
            return names
        sample = ranked(requirements.request_id, names)[:MAX_CANDIDATES]
        holders = (
            self.prefix.holders(requirements.blocks[0]) if requirements.blocks else ()
        )
        return sample + [n for n in names if n in holders and n not in sample]

    def _fits(self, engine: str, requirements: PromptRequirements) -> bool:
        return (
            self.view(engine).memory_free
            >= requirements.tokens + requirements.output_tokens
        )

    def record_send(
        self, engine: str, requirements: PromptRequirements, cached: int, now: float
    ) -> None:
        """Record that a request was sent to an engine.

        :param cached: prompt tokens expected in the engine's cache.
        """
        tokens = max(1, requirements.tokens - cached)
        work = SentWork(
            now,
            requirements.length_class,
            tokens,
            requirements.request_id,
            requirements.excess,
        )
        self.view(engine).add_sent(work, now)
        send = RecentSend(
            engine, int(requirements.length_class), tokens, now, requirements.excess
        )
        self.recent_sends.append(send)

    def record_peer_sends(
        self, peer: str, sends: Iterable[RecentSend], now: float
    ) -> None:
        """Add a peer's recent sends to the views, each send once."""
        newest = self._newest_sends.get(peer, 0.0)
        for send in sends:
            if send.at <= newest or send.engine not in self._views:
                continue
            length_class = LengthClass(send.length_class)
            work = SentWork(send.at, length_class, send.tokens, excess=send.excess)
            self._views[send.engine].add_sent(work, now)
            self._newest_sends[peer] = max(self._newest_sends.get(peer, 0.0), send.at)

    def apply_report(self, report: EngineReport, now: float) -> bool:
        """Apply a load report; return whether it was newer than the last one."""
        return self.view(report.engine).apply_report(report, now)

    def report_entries(self, since: float, limit: int) -> tuple[ReportEntry, ...]:
        """Return the newest reports for a digest.

        :param since: Unix seconds; older reports are left out.
        :param limit: largest number of reports.
        """
        newest = sorted(self._views.values(), key=lambda v: -v.as_of)[:limit]
        return tuple(v.to_entry() for v in newest if v.as_of > since)

    def forget(self, engine: str) -> None:
        """Drop the state of an engine that is gone or has restarted."""
        self._views.pop(engine, None)
        self.prefix.forget(engine)
        self.health.forget(engine)

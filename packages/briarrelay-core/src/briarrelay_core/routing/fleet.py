"""The engines of the own data centre, as this instance sees them."""

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

__all__ = ["Fleet", "Need"]

MAX_CANDIDATES = 16
"""Engines that one routing decision compares in a large data centre."""

TIE_S = 0.002
"""Difference of estimates, in seconds, below which engines count as equal."""

RECENT_SENDS = 64
"""Own sends kept for digests."""


@define(slots=True, frozen=True)
class Need:
    """What routing has to know of a request."""

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
    """Views of the engines, and the choice between them."""

    identity: Identity
    membership: Membership
    health: HealthTable = field(factory=HealthTable)
    prefix: PrefixIndex = field(factory=PrefixIndex)
    recent_sends: deque = field(factory=lambda: deque(maxlen=RECENT_SENDS))
    _views: dict[str, EngineView] = field(factory=dict)
    _seen_sends: dict[str, float] = field(factory=dict)

    def view(self, engine: str) -> EngineView:
        """Return the view of an engine, a new one if it was not known."""
        if engine not in self._views:
            self._views[engine] = EngineView(engine)
        return self._views[engine]

    def live_engines(self) -> list[str]:
        """Return the engines of the own data centre that may get new work."""
        members = self.membership.live(InstanceKind.ENGINE, self.identity.data_centre)
        return [member.name for member in members]

    def usable(self, model: str, now: float) -> list[str]:
        """Return live engines that have a model loaded and are not ejected."""
        return [
            name
            for name in self.live_engines()
            if model in self.view(name).models and not self.health.is_ejected(name, now)
        ]

    def capacity(self, now: float) -> float:
        """Return prompt tokens a second that the usable engines process."""
        return sum(
            self.view(name).rate
            for name in self.live_engines()
            if not self.health.is_ejected(name, now) and self.view(name).as_of > 0
        )

    def largest_prompt(self, model: str, preset: Preset, max_engines: int) -> int:
        """Return the longest prompt, in tokens, that a gang can ever hold."""
        usable = sorted(
            (
                int(self.view(name).memory_total * (1 - preset.memory_headroom))
                for name in self.live_engines()
                if model in self.view(name).models
            ),
            reverse=True,
        )[:max_engines]
        return max(
            (size * room for size, room in enumerate(usable, start=1)), default=0
        )

    def reserved(self, model: str, part: float, now: float) -> frozenset[str]:
        """Return the engines that longer prompts leave to short ones.

        Every instance finds the same ones; at least one engine is never reserved.
        """
        usable = self.usable(model, now)
        count = min(len(usable) - 1, int(part * len(usable) + 0.5))
        return frozenset(ranked("short-reserve", usable)[: max(0, count)])

    def estimate(self, engine: str, need: Need, now: float) -> Estimate:
        """Estimate the time to first token of a request on one engine."""
        view = self.view(engine)
        cached = self.prefix.cached_tokens(engine, need.blocks) if need.blocks else 0
        cached = min(cached, need.tokens - 1)
        return estimate_first_token(
            view, need.length_class, need.tokens, cached, now, need.excess
        )

    def best(self, need: Need, now: float, window_s: float) -> Estimate | None:
        """Choose the engine with the least expected time to first token.

        :param window_s: most seconds of work that may be queued ahead, 0 for any.
        :returns: None if no engine has room within the window.
        """
        options = [
            self.estimate(name, need, now)
            for name in self._candidates(need, now)
            if self._fits(name, need)
        ]
        if window_s > 0:
            options = [option for option in options if option.wait_s <= window_s]
        if not options:
            return None
        least = min(option.first_token_s for option in options)
        ties = [o for o in options if o.first_token_s <= least + TIE_S]
        return max(ties, key=lambda o: unit_hash(need.request_id, o.engine))

    def _candidates(self, need: Need, now: float) -> list[str]:
        names = [
            name
            for name in self.usable(need.model, now)
            if name not in need.tried and self.health.admits(name, need.request_id, now)
        ]
        if len(names) <= MAX_CANDIDATES:
            return names
        sample = ranked(need.request_id, names)[:MAX_CANDIDATES]
        holders = self.prefix.holders(need.blocks[0]) if need.blocks else ()
        return sample + [n for n in names if n in holders and n not in sample]

    def _fits(self, engine: str, need: Need) -> bool:
        return self.view(engine).memory_free >= need.tokens + need.output_tokens

    def note_sent(self, engine: str, need: Need, cached: int, now: float) -> None:
        """Note that a request was given to an engine."""
        tokens = max(1, need.tokens - cached)
        work = SentWork(now, need.length_class, tokens, need.request_id, need.excess)
        self.view(engine).add_sent(work, now)
        send = RecentSend(engine, int(need.length_class), tokens, now, need.excess)
        self.recent_sends.append(send)

    def note_peer_sends(
        self, peer: str, sends: Iterable[RecentSend], now: float
    ) -> None:
        """Take a peer's recent sends, each once."""
        newest = self._seen_sends.get(peer, 0.0)
        for send in sends:
            if send.at <= newest or send.engine not in self._views:
                continue
            length_class = LengthClass(send.length_class)
            work = SentWork(send.at, length_class, send.tokens, excess=send.excess)
            self._views[send.engine].add_sent(work, now)
            self._seen_sends[peer] = max(self._seen_sends.get(peer, 0.0), send.at)

    def apply_report(self, report: EngineReport, now: float) -> bool:
        """Take a load report; return whether it was news."""
        return self.view(report.engine).apply_report(report, now)

    def report_entries(self, since: float, limit: int) -> tuple[ReportEntry, ...]:
        """Return the newest reports for a digest, at most a number of them."""
        newest = sorted(self._views.values(), key=lambda v: -v.as_of)[:limit]
        return tuple(v.to_entry() for v in newest if v.as_of > since)

    def forget(self, engine: str) -> None:
        """Drop what is known of an engine that is gone or started anew."""
        self._views.pop(engine, None)
        self.prefix.forget(engine)
        self.health.forget(engine)

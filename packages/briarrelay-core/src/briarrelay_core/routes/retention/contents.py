"""Beginnings of prompts that each backend server is believed to hold."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from attrs import define, field, frozen

from briarrelay_core.ports.digest import MAX_HELD_REPORTS, HeldReport
from briarrelay_core.routes.model import PromptRetention
from briarrelay_core.routes.placement import HeldTokens
from briarrelay_core.routes.retention.beginnings import Beginning
from briarrelay_core.routes.retention.trials import TrialTable
from briarrelay_core.routing.confidence import ConfidenceTable

__all__ = ["HeldContents", "Memory"]

MAX_ENTRIES = 256
"""Most beginnings that are remembered of one server."""

REPORT_S = 2.0
"""Seconds after a read for which digests report it; within them each peer gets one."""

MIN_CONFIDENCE = 0.02
"""Smallest confidence; what is held then hardly matters, but can still be confirmed."""


@frozen(slots=True)
class Memory:
    """Memory of a server.

    :param total_tokens: tokens of context that it has room for.
    :param used_tokens: tokens of context that its requests use.
    """

    total_tokens: int
    used_tokens: int


@define(slots=True)
class _Entry:
    """A beginning that a server holds.

    :param used_at: time at which a request with it was last read there.
    :param is_own: this instance sent that request.
    """

    tokens: int
    added_tokens: int
    used_at: float
    is_own: bool


@define(slots=True)
class _Server:
    """What one incarnation of a server holds, the least recently used entry first."""

    born: float
    entries: OrderedDict[str, _Entry] = field(factory=OrderedDict)
    held_tokens: int = 0


@define(slots=True, eq=False)
class HeldContents:
    """Remembers what was read by each server, and forgets what it can not hold now.

    :ivar confidence: by server, lowered when it was shown not to hold something.
    :ivar service_confidence: the same by service, whose servers keep prompts alike.
    :ivar trials: requests that rely on servers which were not shown to keep prompts.
    :ivar _is_used: a service keeps prompts; until then peers' reports are ignored.
    """

    confidence: ConfidenceTable = field(factory=ConfidenceTable)
    service_confidence: ConfidenceTable = field(factory=ConfidenceTable)
    trials: TrialTable = field(factory=TrialTable)
    _servers: dict[str, _Server] = field(factory=dict)
    _holders: dict[str, set[str]] = field(factory=dict)
    _own_reads: OrderedDict[tuple[str, str], float] = field(factory=OrderedDict)
    _is_used: bool = False

    def __len__(self) -> int:
        return sum(len(server.entries) for server in self._servers.values())

    def estimate(
        self,
        server: str,
        born: float,
        service: str,
        beginnings: Sequence[Beginning],
        terms: PromptRetention,
        memory: Memory,
        now: float,
    ) -> HeldTokens | None:
        """Return what a server is believed to hold of a prompt, None for nothing."""
        known = self._known(server, born)
        if known is None:
            return None
        self._evict(server, known, terms, memory, now)
        for beginning in reversed(beginnings):
            entry = known.entries.get(beginning.key)
            if entry is not None:
                confidence = self._confidence(server, service)
                return HeldTokens(beginning.tokens, confidence)
        return None

    def _confidence(self, server: str, service: str) -> float:
        by_service = self.service_confidence.of(service)
        return max(MIN_CONFIDENCE, self.confidence.of(server) * by_service)

    def holders(self, beginnings: Iterable[Beginning]) -> set[str]:
        """Return the servers that may hold a beginning of a prompt."""
        return set().union(*(self._holders.get(b.key, ()) for b in beginnings))

    def record_read(
        self,
        server: str,
        born: float,
        beginnings: Sequence[Beginning],
        terms: PromptRetention,
        memory: Memory,
        now: float,
    ) -> None:
        """Record that a server has read a prompt."""
        self._is_used = True
        known = self._known(server, born)
        if known is None:
            known = self._servers[server] = _Server(born)
        # The longest is evicted first; without a shorter one it would not match.
        for beginning in reversed(beginnings):
            entry = _Entry(beginning.tokens, beginning.added_tokens, now, True)
            self._put(server, known, beginning.key, entry)
            self._own_reads[server, beginning.key] = now
            self._own_reads.move_to_end((server, beginning.key))
        while len(self._own_reads) > MAX_HELD_REPORTS:
            self._own_reads.popitem(last=False)
        self._evict(server, known, terms, memory, now)

    def refute(
        self, server: str, service: str, beginnings: Iterable[Beginning]
    ) -> None:
        """Forget beginnings that a server was shown not to hold."""
        known = self._servers.get(server)
        if known is not None:
            for beginning in beginnings:
                self._drop(server, known, beginning.key)
        self.confidence.adjust(server, confirmed=False, refuted=True)
        self.service_confidence.adjust(service, confirmed=False, refuted=True)
        self.trials.refute(service, self.service_confidence.of(service))

    def confirm(self, server: str, service: str) -> None:
        """Record that a server was shown to hold what it was believed to hold."""
        self.confidence.adjust(server, confirmed=True, refuted=False)
        self.service_confidence.adjust(service, confirmed=True, refuted=False)
        self.trials.confirm(service)

    def forget(self, server: str) -> None:
        """Forget the content of a server that restarted or left."""
        known = self._servers.pop(server, None)
        self.confidence.forget(server)
        if known is not None:
            for key in list(known.entries):
                self._drop(server, known, key)

    def own_reports(self, now: float) -> tuple[HeldReport, ...]:
        """Return what servers read for this instance lately, the newest first."""
        reports = []
        for (server, key), at in reversed(self._own_reads.items()):
            if now - at > REPORT_S:
                break
            known = self._servers.get(server)
            entry = known.entries.get(key) if known is not None else None
            if entry is not None and entry.is_own:
                report = HeldReport(server, known.born, key, entry.tokens, now - at)
                reports.append(report)
        return tuple(reports)

    def apply_reports(self, reports: Iterable[HeldReport], now: float) -> None:
        """Apply what a peer reported of registered servers.

        A report counts the tokens of its beginning in full; the parts that others
        share are then counted more than once, so that rather too much is evicted.
        """
        if not self._is_used:
            return
        for report in reports:
            known = self._known(report.server, report.born)
            if known is None:
                known = self._servers[report.server] = _Server(report.born)
            used_at = now - report.age_s
            old = known.entries.get(report.key)
            if old is None:
                entry = _Entry(report.tokens, report.tokens, used_at, False)
                self._put(report.server, known, report.key, entry)
            elif used_at > old.used_at:
                old.used_at, old.is_own = used_at, False
                known.entries.move_to_end(report.key)

    def _known(self, server: str, born: float) -> _Server | None:
        """Return what is known of an incarnation; another one is forgotten."""
        known = self._servers.get(server)
        if known is not None and known.born != born:
            self.forget(server)
            return None
        return known

    def _put(self, server: str, known: _Server, key: str, entry: _Entry) -> None:
        self._drop(server, known, key)
        known.entries[key] = entry
        known.held_tokens += entry.added_tokens
        self._holders.setdefault(key, set()).add(server)
        while len(known.entries) > MAX_ENTRIES:
            self._drop(server, known, next(iter(known.entries)))

    def _drop(self, server: str, known: _Server, key: str) -> None:
        entry = known.entries.pop(key, None)
        if entry is None:
            return
        known.held_tokens -= entry.added_tokens
        holders = self._holders[key]
        holders.discard(server)
        if not holders:
            del self._holders[key]

    def _evict(
        self,
        server: str,
        known: _Server,
        terms: PromptRetention,
        memory: Memory,
        now: float,
    ) -> None:
        """Forget what is too old, and what exceeds the memory that requests leave."""
        room = min(
            terms.memory_share * memory.total_tokens,
            memory.total_tokens - memory.used_tokens,
        )
        for key, entry in list(known.entries.items()):
            is_recent = now - entry.used_at <= terms.keep_s
            if is_recent and known.held_tokens <= room:
                break
            self._drop(server, known, key)

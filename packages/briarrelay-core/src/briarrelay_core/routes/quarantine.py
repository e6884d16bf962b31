"""Finds parts of prompts that crash engines, and keeps requests with them away.

A part is struck when an engine closes the connection of an attempt with it before the
first event. Strikes count in sequence, so that the loss of many engines at one moment
counts once, and an engine that writes on a part clears it. Instances share what they
see by digests and arrive at the same count, in whatever order reports arrive.
"""

from collections import OrderedDict

from attrs import define, field

from briarrelay_core.ports.digest import (
    MAX_CRASH_REPORTS,
    MAX_QUARANTINE_REPORTS,
    MAX_REPORT_SERVERS,
    MAX_WRITTEN_REPORTS,
    CrashReport,
    LoadDigest,
    QuarantineReport,
)
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.routes.probes import ProbeTable
from briarrelay_core.routes.strikes import (
    MAX_STRIKES,
    SUSPECT_STRIKES,
    Crash,
    StruckPart,
)

__all__ = [
    "QUARANTINE_S",
    "STRIKES_TO_QUARANTINE",
    "PromptQuarantine",
]

STRIKES_TO_QUARANTINE = 4
"""Strikes in sequence, without a first event between them, that quarantine a part."""

STRIKES_IF_SHARED = 8
"""The same for a part on which an engine has written before, or whose crashes a
rarer suspect part explains. Prompts share their first parts, so each crash that another
part causes strikes them too, and that part reaches its number first."""

QUARANTINE_S = 600.0
"""Seconds for which a part stays quarantined after the last request with it."""

REPORT_S = 2.0
"""Seconds for which own observations are repeated in digests, since some get lost."""

STRIKE_MEMORY_S = 3_600.0
"""Seconds after its last strike for which a part's strikes are remembered."""

MAX_STRUCK = 4_096
"""Number of struck parts that are remembered."""

MAX_WRITTEN = 4_096
"""Number of parts of which it is remembered when an engine wrote on them."""

MAX_QUARANTINED = 256
"""Number of parts in quarantine; beyond it, the one that lapses first is dropped."""

MAX_CRASH_CHARS = 12_000
"""Characters of the parts in the crash reports of a digest, which is one datagram."""


@define(slots=True, eq=False)
class _Quarantine:
    """A quarantined part.

    :param until: time at which the quarantine lapses unless a request renews it.
    :param since: time at which the attempt of the first strike was sent; a later first
        event shows that the part is sound.
    :param servers: engines that it crashed, as ``name@born``.
    :param is_own: this instance found it, not a peer.
    """

    until: float
    since: float
    servers: tuple[str, ...]
    is_own: bool = False


@define(slots=True, eq=False)
class PromptQuarantine:
    """Parts of prompts that are struck, quarantined or known to be sound.

    Its methods return the effects to execute, unless said otherwise.

    :param probes: suspect parts of requests that are on engines.
    :ivar has_urgent_change: peers have not been notified of a strike or a quarantine.
    :ivar _written: time of the last first event on a part, the latest part at the end.
    :ivar _struck: parts with strikes, the one struck last at the end.
    :ivar _crashes: own observations that digests still repeat.
    :ivar _answers: parts of peers' reports on which an engine has written, and the time
        until which digests say so.
    :ivar _new: parts quarantined since the last call of `pop_new`.
    """

    probes: ProbeTable = field(factory=ProbeTable)
    has_urgent_change: bool = False
    _written: OrderedDict[str, float] = field(factory=OrderedDict)
    _struck: OrderedDict[str, StruckPart] = field(factory=OrderedDict)
    _quarantined: dict[str, _Quarantine] = field(factory=dict)
    _crashes: list[Crash] = field(factory=list)
    _answers: dict[str, float] = field(factory=dict)
    _new: list[str] = field(factory=list)
    _turn: int = 0

    @property
    def parts(self) -> tuple[str, ...]:
        """The quarantined parts."""
        return tuple(self._quarantined)

    # Requests

    def find(self, parts: tuple[str, ...], now: float) -> str:
        """Return a quarantined part of a request, empty for none, and renew it."""
        if not self._quarantined:
            return ""
        for part in parts:
            known = self._quarantined.get(part)
            if known is not None and now < known.until:
                known.until = now + QUARANTINE_S
                return part
        return ""

    def suspects(self, parts: tuple[str, ...]) -> frozenset[str]:
        """Return the suspect parts of a request, on which no engine has written."""
        if not self._struck:
            return frozenset()
        return frozenset(
            part
            for part in parts
            if part in self._struck
            and part not in self._written
            and self._struck[part].is_suspect
        )

    def may_probe(
        self, suspects: frozenset[str], arrived_at: float, jitter: float, now: float
    ) -> bool:
        """Return whether a request with suspect parts may be sent now.

        :param jitter: delay in seconds after its arrival or the last strike.
        """
        return all(
            not self.probes.is_held(part, now)
            and now >= max(arrived_at, self._struck[part].known_at) + jitter
            for part in suspects
        )

    def record_probe(
        self, suspects: frozenset[str], expected_s: float, now: float
    ) -> None:
        """Record that a request with suspect parts is sent.

        :param expected_s: seconds until its first event is expected.
        """
        for part in suspects:
            self.probes.record(part, expected_s, now)
            self.has_urgent_change = True

    def servers_of(self, part: str) -> tuple[str, ...]:
        """Return the engines, as ``name@born``, that a quarantined part crashed."""
        known = self._quarantined.get(part)
        return known.servers if known else ()

    def is_own(self, part: str) -> bool:
        """Return whether this instance found that a part has to be quarantined."""
        known = self._quarantined.get(part)
        return known is not None and known.is_own

    def restore(self, part: str, now: float) -> list:
        """Quarantine a part that the store lists, unless it is known better here."""
        if part in self._quarantined or part in self._written:
            return []
        return self._quarantine(part, now + QUARANTINE_S, now, (), "store")

    def release(self, part: str, now: float) -> list:
        """End a quarantine for an operator.

        Digests report the part as one on which an engine has written.
        """
        if part not in self._quarantined:
            return []
        self._remember_written(part, now)
        self._answer(part, now)
        self.has_urgent_change = True
        return self._clear(part, "operator")

    def pop_new(self) -> list[str]:
        """Return the parts that were quarantined since the last call."""
        new, self._new = self._new, []
        return [part for part in new if part in self._quarantined]

    # Own observations

    def record_crash(
        self, parts: tuple[str, ...], server: str, sent_at: float, now: float
    ) -> list:
        """Record that an engine closed the connection before the first event.

        :param server: the engine's incarnation, ``name@born``.
        """
        crash = Crash(sent_at, now, server, tuple(dict.fromkeys(parts)))
        if not crash.parts:
            return []
        self._crashes = [*self._crashes, crash][-MAX_CRASH_REPORTS:]
        self.has_urgent_change = True
        return self._strike(crash, "own", now)

    def record_written(self, parts: tuple[str, ...], now: float) -> list:
        """Record the first event of an attempt: its parts are sound."""
        effects = []
        for part in parts:
            if part in self._struck or part in self._quarantined:
                self.has_urgent_change |= part in self.probes
                effects += self._clear(part, "own")
                self._answer(part, now)
            self._remember_written(part, now)
        return effects

    def _remember_written(self, part: str, at: float) -> None:
        self._written[part] = max(at, self._written.get(part, at))
        self._written.move_to_end(part)
        if len(self._written) > MAX_WRITTEN:
            self._written.popitem(last=False)

    def _answer(self, part: str, now: float) -> None:
        if len(self._answers) < MAX_WRITTEN_REPORTS or part in self._answers:
            self._answers[part] = now + REPORT_S

    # Strikes

    def _strike(self, crash: Crash, source: str, now: float) -> list:
        if self._is_explained(crash):
            return []
        effects, counts = [], {}
        for position, part in enumerate(crash.parts):
            if crash.sent_at <= self._written.get(part, float("-inf")):
                continue
            struck = self._struck.setdefault(part, StruckPart(position))
            self._struck.move_to_end(part)
            if len(struck.attempts) < MAX_STRIKES:
                struck.attempts.add((crash.server, crash.parts))
            if crash.server in struck.strikes or len(struck.strikes) >= MAX_STRIKES:
                continue
            struck.strikes[crash.server] = (crash.sent_at, crash.lost_at)
            struck.known_at = now
            self.probes.end(part)
            count = struck.count
            if count >= SUSPECT_STRIKES and not struck.is_logged:
                struck.is_logged = True
                effects += _report("part_suspected", part, source, crash.server)
            counts[part] = count
        reached = [
            part
            for part, count in counts.items()
            if count >= STRIKES_TO_QUARANTINE and count >= self._strikes_needed(part)
        ]
        while len(self._struck) > MAX_STRUCK:
            self._struck.popitem(last=False)
        for part in reached:
            struck = self._struck.get(part)
            if struck is not None:
                servers = tuple(struck.strikes)
                until = now + QUARANTINE_S
                effects += self._quarantine(part, until, struck.since, servers, source)
        if reached:
            self._drop_explained()
        return effects

    def _strikes_needed(self, part: str) -> int:
        """Return the strikes that quarantine a part."""
        if part in self._written:
            return STRIKES_IF_SHARED
        struck = self._struck[part]
        has_rival = any(
            name not in self._written and struck.is_explained_by(other)
            for name, other in self._struck.items()
        )
        return STRIKES_IF_SHARED if has_rival else STRIKES_TO_QUARANTINE

    def _is_explained(self, crash: Crash) -> bool:
        """Return whether a quarantined part is the reason for a crash."""
        is_explained = False
        for part, known in self._quarantined.items():
            if crash.server in known.servers:
                is_explained = True
            elif part in crash.parts:
                is_explained = True
                if len(known.servers) < MAX_STRIKES:
                    known.servers += (crash.server,)
                    self._drop_explained()
        return is_explained

    def _drop_explained(self) -> None:
        """Drop the strikes by engines that quarantined parts crashed."""
        servers = set().union(*(known.servers for known in self._quarantined.values()))
        for part, struck in list(self._struck.items()):
            for server in servers.intersection(struck.strikes):
                del struck.strikes[server]
            if not struck.strikes and not struck.earlier:
                del self._struck[part]

    def _quarantine(
        self,
        part: str,
        until: float,
        since: float,
        servers: tuple[str, ...],
        source: str,
    ) -> list:
        self._struck.pop(part, None)
        self._quarantined[part] = _Quarantine(until, since, servers, source == "own")
        self._new.append(part)
        self.has_urgent_change = True
        effects = _report("part_quarantined", part, source, ",".join(servers))
        if len(self._quarantined) > MAX_QUARANTINED:
            first = min(self._quarantined, key=lambda p: self._quarantined[p].until)
            del self._quarantined[first]
            effects.append(IncrementCounter("route.part_dropped"))
        return effects

    def _clear(self, part: str, source: str) -> list:
        """Drop the strikes and the quarantine of a part."""
        struck = self._struck.pop(part, None)
        known = self._quarantined.pop(part, None)
        self.probes.end(part)
        if known is None and not (struck and struck.is_logged):
            return []
        return _report("part_cleared", part, source)

    def expire(self, now: float) -> list:
        """Drop what is outdated; a lapsed part is quarantined after one more strike."""
        self.probes.expire(now)
        if not (self._quarantined or self._struck):
            return []
        effects = []
        for part, known in list(self._quarantined.items()):
            if now >= known.until:
                del self._quarantined[part]
                self._struck[part] = StruckPart(
                    earlier=STRIKES_TO_QUARANTINE - 1, known_at=now, is_logged=True
                )
                effects += _report("part_cleared", part, "lapse")
        while self._struck:
            struck = next(iter(self._struck.values()))
            if now - struck.known_at < STRIKE_MEMORY_S:
                break
            self._struck.popitem(last=False)
        return effects

    # Peers

    def own_crashes(self, now: float) -> tuple[CrashReport, ...]:
        """Return the latest own observations for a digest."""
        if not self._crashes:
            return ()
        self._crashes = [c for c in self._crashes if now - c.lost_at < REPORT_S]
        reports, chars = [], 0
        for crash in reversed(self._crashes):
            chars += sum(map(len, crash.parts))
            if chars > MAX_CRASH_CHARS:
                break
            report = CrashReport(
                server=crash.server,
                parts=crash.parts,
                sent_age_s=round(now - crash.sent_at, 3),
                lost_age_s=round(now - crash.lost_at, 3),
            )
            reports.append(report)
        return tuple(reports)

    def own_quarantines(self, now: float) -> tuple[QuarantineReport, ...]:
        """Return quarantined parts for a digest, in turn if there are many.

        The time that remains is rounded down, so that reports of reports do not keep a
        quarantine in force.
        """
        if not self._quarantined:
            return ()
        parts = list(self._quarantined)
        if len(parts) > MAX_QUARANTINE_REPORTS:
            newest = parts[-MAX_QUARANTINE_REPORTS // 2 :]
            older = parts[: -MAX_QUARANTINE_REPORTS // 2]
            self._turn += 1
            start = self._turn * (MAX_QUARANTINE_REPORTS // 2) % len(older)
            older = [*older[start:], *older[:start]]
            parts = newest + older[: MAX_QUARANTINE_REPORTS // 2]
        return tuple(
            QuarantineReport(
                part=part,
                remaining_s=int(known.until - now),
                since_age_s=round(now - known.since, 3),
                servers=known.servers[:MAX_REPORT_SERVERS],
            )
            for part, known in ((part, self._quarantined[part]) for part in parts)
            if known.until - now >= 1.0
        )

    def own_written(self, now: float) -> dict[str, float]:
        """Return the seconds since engines wrote on parts that were reported struck."""
        if not self._answers:
            return {}
        self._answers = {p: until for p, until in self._answers.items() if now < until}
        return {
            part: round(now - self._written[part], 3)
            for part in self._answers
            if part in self._written
        }

    def apply_digest(self, digest: LoadDigest, now: float) -> list:
        """Apply what a peer saw."""
        effects = []
        self.probes.apply(digest.probed, now)
        for part, age_s in digest.written.items():
            effects += self._apply_written(part, now - age_s)
        known = set(self._quarantined) if digest.crashes else set()
        for report in digest.crashes:
            crash = Crash(
                now - report.sent_age_s,
                now - report.lost_age_s,
                report.server,
                report.parts,
            )
            for part in crash.parts:
                if part in self._written:
                    self._answer(part, now)
            effects += self._strike(crash, "peer", now)
        if digest.crashes:
            reported = {report.part for report in digest.quarantined}
            for part in self._quarantined.keys() - known - reported:
                self._quarantined[part].is_own = True
        for report in digest.quarantined:
            effects += self._apply_quarantine(report, now)
        return effects

    def _apply_written(self, part: str, at: float) -> list:
        """Apply a peer's report that an engine wrote on a part."""
        self._remember_written(part, at)
        known = self._quarantined.get(part)
        if known is not None:
            return self._clear(part, "peer") if at > known.since else []
        struck = self._struck.get(part)
        if struck is None:
            return []
        struck.strikes = {s: v for s, v in struck.strikes.items() if v[0] > at}
        if struck.strikes:
            return []
        return self._clear(part, "peer")

    def _apply_quarantine(self, report: QuarantineReport, now: float) -> list:
        """Apply a peer's report of a quarantined part, unless it is known to be sound.

        A report whose end is near is ignored: it may be of a quarantine that lapsed
        here.
        """
        since = now - report.since_age_s
        until = now + min(report.remaining_s, QUARANTINE_S)
        known = self._quarantined.get(report.part)
        if known is not None:
            known.until = max(known.until, until)
            known.since = min(known.since, since)
            return []
        if report.remaining_s < REPORT_S:
            return []
        if self._written.get(report.part, float("-inf")) > since:
            self._answer(report.part, now)
            self.has_urgent_change = True
            return []
        effects = self._quarantine(report.part, until, since, report.servers, "peer")
        self._drop_explained()
        return effects


def _report(event: str, part: str, source: str, servers: str = "") -> list:
    """Return the log line and the count of a change of a part."""
    fields = (("part", part), ("source", source), ("servers", servers))
    level = "warning" if event == "part_quarantined" else "info"
    return [LogEvent(level, event, fields=fields), IncrementCounter(f"route.{event}")]

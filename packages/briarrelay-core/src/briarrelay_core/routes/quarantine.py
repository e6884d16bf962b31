"""Finds contents that crash servers, and keeps requests with them away.

A content is a part of prompts or a whole request. It is struck when a server closes the
connection of an attempt with it early. Strikes count in sequence, so that the loss of
many servers at one moment counts once, and a server that survives a content clears it.
Instances share what they see by digests and arrive at the same count, in whatever order
reports arrive.
"""

from collections import OrderedDict

from attrs import define, evolve, field

from briarrelay_core.ports.digest import (
    MAX_CRASH_REPORTS,
    MAX_QUARANTINE_REPORTS,
    MAX_REPORT_SERVERS,
    MAX_SURVIVED_REPORTS,
    MIN_REACH,
    CrashReport,
    LoadDigest,
    QuarantineReport,
)
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.routes.contents import is_request_content, kind_of_content
from briarrelay_core.routes.losses.held import HeldLosses
from briarrelay_core.routes.probes import ProbeTable
from briarrelay_core.routes.strikes import (
    MAX_STRIKES,
    SUSPECT_STRIKES,
    Crash,
    StruckContent,
)

__all__ = [
    "QUARANTINE_S",
    "STRIKES_OF_REQUEST",
    "STRIKES_TO_QUARANTINE",
    "SURVIVAL_EVENTS",
    "WITHDRAWN_S",
    "ContentQuarantine",
]

STRIKES_TO_QUARANTINE = 4
"""Strikes in sequence, without a survival between, that quarantine a part."""

STRIKES_IF_SHARED = 8
"""The same for a part that an engine has survived before, or whose crashes a rarer
suspect content explains. Prompts share their first parts, so each crash that another
content causes strikes them too, and that content reaches its number first."""

STRIKES_OF_REQUEST = 3
"""The same for a whole request; only its own repeats are refused."""

STRIKES_OF_SOUND_REQUEST = 6
"""The same for a whole request that a server has answered before."""

SURVIVAL_EVENTS = 4
"""Events of a response, unless it is complete before, that show that the server has
survived its contents."""

QUARANTINE_S = 600.0
"""Seconds for which a content stays quarantined after the last request with it."""

REPORT_S = 2.0
"""Seconds for which own observations are repeated in digests, since some get lost."""

STRIKE_MEMORY_S = 3_600.0
"""Seconds after its last strike for which a content's strikes are remembered."""

MAX_STRUCK = 4_096
"""Number of struck contents that are remembered."""

MAX_SURVIVED = 4_096
"""Number of contents of which it is remembered when a server survived them."""

MAX_QUARANTINED = 256
"""Number of contents in quarantine; beyond it, the one that lapses first is dropped."""

WITHDRAWN_S = 1.0
"""Seconds before a peer reported the loss of its links since which its reports of
crashes are dropped."""

MAX_CRASH_CHARS = 12_000
"""Characters of the contents in a digest's crash reports; it is one datagram."""


@define(slots=True, eq=False)
class _Quarantine:
    """A quarantined content.

    :param until: time at which the quarantine lapses unless a request renews it.
    :param since: time at which the attempt of the first strike was sent; a later
        survival shows that the content is sound.
    :param servers: servers that it crashed, as ``name@born``.
    :param is_own: this instance found it, not a peer.
    """

    until: float
    since: float
    servers: tuple[str, ...]
    is_own: bool = False


@define(slots=True, eq=False)
class ContentQuarantine:
    """Contents that are struck, quarantined or known to be sound.

    Its methods return the effects to execute, unless said otherwise.

    :param probes: suspect contents of requests that are on engines.
    :param held_losses: own losses that may have been of the links.
    :ivar has_urgent_change: peers have not been notified of a strike or a quarantine.
    :ivar _survived: time at which a server last survived a content, the latest last.
    :ivar _struck: contents with strikes, the one struck last at the end.
    :ivar _crashes: own observations that digests still repeat.
    :ivar _answers: contents of peers' reports that a server has survived, and the
        time until which digests say so.
    :ivar _new: contents quarantined since the last call of `pop_new`.
    """

    probes: ProbeTable = field(factory=ProbeTable)
    held_losses: HeldLosses = field(factory=HeldLosses)
    has_urgent_change: bool = False
    _survived: OrderedDict[str, float] = field(factory=OrderedDict)
    _struck: OrderedDict[str, StruckContent] = field(factory=OrderedDict)
    _quarantined: dict[str, _Quarantine] = field(factory=dict)
    _crashes: list[Crash] = field(factory=list)
    _answers: dict[str, float] = field(factory=dict)
    _new: list[str] = field(factory=list)
    _turn: int = 0

    @property
    def contents(self) -> tuple[str, ...]:
        """The quarantined contents."""
        return tuple(self._quarantined)

    # Requests

    def find(self, contents: tuple[str, ...], now: float) -> str:
        """Return a quarantined content of a request, empty for none, and renew it."""
        if not self._quarantined:
            return ""
        for content in contents:
            known = self._quarantined.get(content)
            if known is not None and now < known.until:
                known.until = now + QUARANTINE_S
                return content
        return ""

    def suspects(self, contents: tuple[str, ...]) -> frozenset[str]:
        """Return the suspect contents of a request, which no server has survived."""
        if not self._struck:
            return frozenset()
        return frozenset(
            content
            for content in contents
            if content in self._struck
            and content not in self._survived
            and self._struck[content].is_suspect
        )

    def may_probe(
        self, suspects: frozenset[str], arrived_at: float, jitter: float, now: float
    ) -> bool:
        """Return whether a request with suspect contents may be sent now.

        :param jitter: delay in seconds after its arrival or the last strike.
        """
        return all(
            not self.probes.is_held(content, now)
            and now >= max(arrived_at, self._struck[content].known_at) + jitter
            for content in suspects
        )

    def record_probe(
        self, suspects: frozenset[str], expected_s: float, now: float
    ) -> None:
        """Record that a request with suspect contents is sent.

        :param expected_s: seconds until its first event is expected.
        """
        for content in suspects:
            self.probes.record(content, expected_s, now)
            self.has_urgent_change = True

    def servers_of(self, content: str) -> tuple[str, ...]:
        """Return the engines, as ``name@born``, that a quarantined content crashed."""
        known = self._quarantined.get(content)
        return known.servers if known else ()

    def is_own(self, content: str) -> bool:
        """Return whether this instance found that a content has to be quarantined."""
        known = self._quarantined.get(content)
        return known is not None and known.is_own

    def restore(self, content: str, now: float) -> list:
        """Quarantine a content that the store lists, unless it is known better here."""
        if content in self._quarantined or content in self._survived:
            return []
        return self._quarantine(content, now + QUARANTINE_S, now, (), "store")

    def release(self, content: str, now: float) -> list:
        """End a quarantine for an operator.

        Digests report the content as one that a server has survived.
        """
        if content not in self._quarantined:
            return []
        self._remember_survival(content, now)
        self._answer(content, now)
        self.has_urgent_change = True
        return self._clear(content, "operator")

    def pop_new(self) -> list[str]:
        """Return the contents that were quarantined since the last call."""
        new, self._new = self._new, []
        return [content for content in new if content in self._quarantined]

    # Own observations

    def record_crash(
        self, contents: tuple[str, ...], server: str, sent_at: float, now: float
    ) -> list:
        """Record that a server closed a connection before it survived the request.

        :param server: the engine's incarnation, ``name@born``.
        """
        return self._record(Crash(sent_at, now, server, _distinct(contents)), now)

    def hold_loss(
        self, contents: tuple[str, ...], server: str, sent_at: float, now: float
    ) -> None:
        """Record a loss of the links that counts as a crash if the server restarts.

        :param server: the engine's incarnation, ``name@born``.
        """
        self.held_losses.hold(Crash(sent_at, now, server, _distinct(contents)))

    def record_start(self, name: str, born: float, now: float) -> list:
        """Record that a server has started, so that held losses were crashes."""
        effects = []
        for loss in self.held_losses.pop_restarted(name, born, now):
            effects.append(IncrementCounter("route.held_loss_was_crash"))
            effects += self._record(evolve(loss, known_at=now), now)
        return effects

    def _record(self, crash: Crash, now: float) -> list:
        if not crash.contents:
            return []
        self._crashes = [*self._crashes, crash][-MAX_CRASH_REPORTS:]
        self.has_urgent_change = True
        return self._strike(crash, "own", now)

    def record_survival(self, contents: tuple[str, ...], now: float) -> list:
        """Record that a server has survived the contents of an attempt."""
        effects = []
        for content in contents:
            if content in self._struck or content in self._quarantined:
                self.has_urgent_change |= content in self.probes
                effects += self._clear(content, "own")
                self._answer(content, now)
            elif is_request_content(content):
                # most requests never come again
                continue
            self._remember_survival(content, now)
        return effects

    def withdraw(self, source: str, since: float) -> list:
        """Drop the strikes that a source reported since a time; it had lost its links.

        :param source: name of a peer, empty for this instance.
        """
        if not source:
            self.has_urgent_change = True
            self.held_losses.hold(*(c for c in self._crashes if c.lost_at >= since))
            self._crashes = [c for c in self._crashes if c.lost_at < since]
        withdrawn = 0
        for content, struck in list(self._struck.items()):
            if struck.withdraw(source, since):
                withdrawn += 1
                if not struck.strikes and not struck.earlier:
                    del self._struck[content]
                    self.probes.end(content)
        if not withdrawn:
            return []
        fields = (
            ("source", source or "own"),
            ("contents", str(withdrawn)),
            ("reason", "sender_lost_links"),
        )
        return [
            LogEvent("info", "strikes_withdrawn", fields=fields),
            IncrementCounter("route.strikes_withdrawn", withdrawn),
        ]

    def _remember_survival(self, content: str, at: float) -> None:
        self._survived[content] = max(at, self._survived.get(content, at))
        self._survived.move_to_end(content)
        if len(self._survived) > MAX_SURVIVED:
            self._survived.popitem(last=False)

    def _answer(self, content: str, now: float) -> None:
        if len(self._answers) < MAX_SURVIVED_REPORTS or content in self._answers:
            self._answers[content] = now + REPORT_S

    # Strikes

    def _strike(self, crash: Crash, source: str, now: float, peer: str = "") -> list:
        effects, counts = [], {}
        for position, content in self._unexplained(crash):
            if crash.sent_at <= self._survived.get(content, float("-inf")):
                continue
            struck = self._struck.setdefault(content, StruckContent(position))
            self._struck.move_to_end(content)
            if len(struck.attempts) < MAX_STRIKES:
                struck.attempts.add((crash.server, crash.contents))
            if crash.server in struck.strikes or len(struck.strikes) >= MAX_STRIKES:
                continue
            struck.strikes[crash.server] = (crash.sent_at, crash.lost_at)
            struck.sources[crash.server] = peer
            struck.known_at = now
            self.probes.end(content)
            count = struck.count
            if count >= SUSPECT_STRIKES and not struck.is_logged:
                struck.is_logged = True
                effects += _report("suspected", content, source, crash.server)
            counts[content] = count
        reached = [
            content
            for content, count in counts.items()
            if self._has_enough_strikes(content, count)
        ]
        while len(self._struck) > MAX_STRUCK:
            self._struck.popitem(last=False)
        for content in reached:
            struck = self._struck.get(content)
            if struck is not None:
                servers = tuple(struck.strikes)
                until = now + QUARANTINE_S
                effects += self._quarantine(
                    content, until, struck.since, servers, source
                )
        if reached:
            self._drop_explained()
        return effects

    def _has_enough_strikes(self, content: str, count: int) -> bool:
        """Return whether a content has the strikes that quarantine it."""
        is_sound = content in self._survived
        if is_request_content(content):
            needed = STRIKES_OF_SOUND_REQUEST if is_sound else STRIKES_OF_REQUEST
            return count >= needed
        struck = self._struck[content]
        if count < STRIKES_TO_QUARANTINE or struck.is_explained_by_request:
            return False
        if count >= STRIKES_IF_SHARED:
            return True
        rivals = [
            other
            for name, other in self._struck.items()
            if other is not struck and name not in self._survived
        ]
        if is_sound or any(struck.is_explained_by(rival) for rival in rivals):
            return False
        # after one more crash, two contents rarely have the same evidence
        is_first = count == STRIKES_TO_QUARANTINE
        return not (is_first and any(struck.is_as_likely_as(r) for r in rivals))

    def _unexplained(self, crash: Crash) -> list[tuple[int, str]]:
        """Return the contents that a crash strikes, with their places.

        A quarantined part explains the crash of a server for all contents; a whole
        request does so for the parts of other prompts, since it may have been there by
        chance.
        """
        explaining = self._record_server(crash)
        if any(not is_request_content(content) for content in explaining):
            return []
        is_of_other_request = bool(explaining.difference(crash.contents))
        return [
            (position, content)
            for position, content in enumerate(crash.contents)
            if content not in explaining
            and (is_request_content(content) or not is_of_other_request)
        ]

    def _record_server(self, crash: Crash) -> set[str]:
        """Return the quarantined contents that explain a crash, by it or its server."""
        explaining, is_new = set(), False
        for content, known in self._quarantined.items():
            if crash.server in known.servers:
                explaining.add(content)
            elif content in crash.contents:
                explaining.add(content)
                if len(known.servers) < MAX_STRIKES:
                    known.servers += (crash.server,)
                    is_new = True
        if is_new:
            self._drop_explained()
        return explaining

    def _drop_explained(self) -> None:
        """Drop the strikes by servers that quarantined contents crashed."""
        causes: dict[str, list[str]] = {}
        for content, known in self._quarantined.items():
            for server in known.servers:
                causes.setdefault(server, []).append(content)
        for content, struck in list(self._struck.items()):
            for server in causes.keys() & struck.strikes.keys():
                if any(self._explains(c, content, server) for c in causes[server]):
                    del struck.strikes[server]
            if not struck.strikes and not struck.earlier:
                del self._struck[content]

    def _explains(self, quarantined: str, content: str, server: str) -> bool:
        """Return whether a quarantined content explains the strike of another one."""
        if not is_request_content(quarantined):
            return True
        if is_request_content(content):
            return False
        return not self._struck[content].has_attempt(server, quarantined)

    def _quarantine(
        self,
        content: str,
        until: float,
        since: float,
        servers: tuple[str, ...],
        source: str,
    ) -> list:
        self._struck.pop(content, None)
        self._quarantined[content] = _Quarantine(until, since, servers, source == "own")
        self._new.append(content)
        self.has_urgent_change = True
        effects = _report("quarantined", content, source, ",".join(servers))
        if len(self._quarantined) > MAX_QUARANTINED:
            first = min(self._quarantined, key=lambda p: self._quarantined[p].until)
            del self._quarantined[first]
            effects.append(IncrementCounter("route.content_dropped"))
        return effects

    def _clear(self, content: str, source: str) -> list:
        """Drop the strikes and the quarantine of a content."""
        struck = self._struck.pop(content, None)
        known = self._quarantined.pop(content, None)
        self.probes.end(content)
        if known is None and not (struck and struck.is_logged):
            return []
        return _report("cleared", content, source)

    def expire(self, now: float) -> list:
        """Drop what is outdated; one more strike quarantines a lapsed content."""
        self.probes.expire(now)
        if not (self._quarantined or self._struck):
            return []
        effects = []
        for content, known in list(self._quarantined.items()):
            if now >= known.until:
                del self._quarantined[content]
                self._struck[content] = StruckContent(
                    earlier=STRIKES_TO_QUARANTINE - 1, known_at=now, is_logged=True
                )
                effects += _report("cleared", content, "lapse")
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
        self._crashes = [
            c for c in self._crashes if now - max(c.lost_at, c.known_at) < REPORT_S
        ]
        reports, chars = [], 0
        for crash in reversed(self._crashes):
            chars += sum(map(len, crash.contents))
            if chars > MAX_CRASH_CHARS:
                break
            report = CrashReport(
                server=crash.server,
                contents=crash.contents,
                sent_age_s=round(now - crash.sent_at, 3),
                lost_age_s=round(now - crash.lost_at, 3),
            )
            reports.append(report)
        return tuple(reports)

    def own_quarantines(self, now: float) -> tuple[QuarantineReport, ...]:
        """Return quarantined contents for a digest, in turn if there are many.

        The time that remains is rounded down, so that reports of reports do not keep a
        quarantine in force.
        """
        if not self._quarantined:
            return ()
        contents = list(self._quarantined)
        if len(contents) > MAX_QUARANTINE_REPORTS:
            newest = contents[-MAX_QUARANTINE_REPORTS // 2 :]
            older = contents[: -MAX_QUARANTINE_REPORTS // 2]
            self._turn += 1
            start = self._turn * (MAX_QUARANTINE_REPORTS // 2) % len(older)
            older = [*older[start:], *older[:start]]
            contents = newest + older[: MAX_QUARANTINE_REPORTS // 2]
        return tuple(
            QuarantineReport(
                content=content,
                remaining_s=int(known.until - now),
                since_age_s=round(now - known.since, 3),
                servers=known.servers[:MAX_REPORT_SERVERS],
            )
            for content, known in (
                (content, self._quarantined[content]) for content in contents
            )
            if known.until - now >= 1.0
        )

    def own_survived(self, now: float) -> dict[str, float]:
        """Return the seconds since servers survived contents reported as struck."""
        if not self._answers:
            return {}
        self._answers = {p: until for p, until in self._answers.items() if now < until}
        return {
            content: round(now - self._survived[content], 3)
            for content in self._answers
            if content in self._survived
        }

    def apply_digest(self, digest: LoadDigest, now: float) -> list:
        """Apply what a peer saw."""
        effects = []
        self.probes.apply(digest.probed, now)
        for content, age_s in digest.survived.items():
            effects += self._apply_survival(content, now - age_s)
        if digest.reach < MIN_REACH:
            effects += self.withdraw(digest.sender.name, now - WITHDRAWN_S)
        known = set(self._quarantined) if digest.crashes else set()
        for report in digest.crashes if digest.reach >= MIN_REACH else ():
            crash = Crash(
                now - report.sent_age_s,
                now - report.lost_age_s,
                report.server,
                report.contents,
            )
            for content in crash.contents:
                if content in self._survived:
                    self._answer(content, now)
            effects += self._strike(crash, "peer", now, digest.sender.name)
        if digest.crashes:
            reported = {report.content for report in digest.quarantined}
            for content in self._quarantined.keys() - known - reported:
                self._quarantined[content].is_own = True
        for report in digest.quarantined:
            effects += self._apply_quarantine(report, now)
        return effects

    def _apply_survival(self, content: str, at: float) -> list:
        """Apply a peer's report that a server survived a content."""
        self._remember_survival(content, at)
        known = self._quarantined.get(content)
        if known is not None:
            return self._clear(content, "peer") if at > known.since else []
        struck = self._struck.get(content)
        if struck is None:
            return []
        struck.strikes = {s: v for s, v in struck.strikes.items() if v[0] > at}
        if struck.strikes:
            return []
        return self._clear(content, "peer")

    def _apply_quarantine(self, report: QuarantineReport, now: float) -> list:
        """Apply a peer's report of a quarantined content, unless it is known as sound.

        A report whose end is near is ignored: it may be of a quarantine that lapsed
        here.
        """
        since = now - report.since_age_s
        until = now + min(report.remaining_s, QUARANTINE_S)
        if self._survived.get(report.content, float("-inf")) > since:
            self._answer(report.content, now)
            self.has_urgent_change = True
            return []
        known = self._quarantined.get(report.content)
        if known is not None:
            known.until = max(known.until, until)
            known.since = min(known.since, since)
            return []
        if report.remaining_s < REPORT_S:
            return []
        effects = self._quarantine(report.content, until, since, report.servers, "peer")
        self._drop_explained()
        return effects


def _distinct(contents: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(contents))


def _report(change: str, content: str, source: str, servers: str = "") -> list:
    """Return the log line and the count of a change of a content."""
    kind = kind_of_content(content)
    event = f"{kind}_{change}"
    name = "content" if kind == "request" else "part"
    fields = ((name, content), ("source", source), ("servers", servers))
    level = "warning" if change == "quarantined" else "info"
    return [LogEvent(level, event, fields=fields), IncrementCounter(f"route.{event}")]

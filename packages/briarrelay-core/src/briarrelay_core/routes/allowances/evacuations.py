"""Evacuated data centres, whose backend servers get nothing new.

Of two statements on a data centre, that with the later position in the store holds,
whether the store or a peer made it. So an older one never replaces a newer one.
"""

from collections.abc import Iterable

from attrs import define, field

from briarrelay_core.ports.evacuation import MAX_EVACUATION_REPORTS, EvacuationReport
from briarrelay_core.ports.position import START, EraPosition
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent

__all__ = ["EvacuationTable"]

REPORT_WITHDRAWN_S = 60.0
"""Seconds for which an instance reports to peers that an evacuation was taken back; the
store turns instances away for some seconds."""

MAX_REMEMBERED = 256
"""Most data centres of which an evacuation that was taken back is remembered."""


@define(slots=True)
class _Known:
    """The newest statement on one data centre.

    :param changed_at: time at which it was learnt.
    :param key: key of its record in the store, empty if only peers reported it.
    """

    is_asked: bool
    position: EraPosition
    changed_at: float
    key: str = ""


@define(slots=True)
class EvacuationTable:
    """The newest statement on each data centre that was ever evacuated.

    :ivar has_urgent_change: a change was read from the store, and peers have not been
        notified of it.
    :ivar in_force: the evacuated data centres.
    :ivar _read_until: position up to which this instance has read the store.
    :ivar _changes: changes for the audit record, each a data centre and its outcome.
    """

    has_urgent_change: bool = False
    in_force: frozenset[str] = frozenset()
    _known: dict[str, _Known] = field(factory=dict)
    _read_until: EraPosition = START
    _changes: list[tuple[str, str, str]] = field(factory=list)

    # Statements

    def apply(
        self,
        data_centre: str,
        is_asked: bool,
        position: EraPosition,
        now: float,
        key: str = "",
        is_from_copy: bool = False,
    ) -> list:
        """Apply a record of the store; return effects.

        :param is_from_copy: the store has just returned to a copy. What it holds is
            asked for, also if it was taken back before; operators see it there.
        """
        effects = self._set(
            data_centre, is_asked, position, "copy" if is_from_copy else "store", now
        )
        if key and data_centre in self._known:
            self._known[data_centre].key = key
        if effects:
            self.has_urgent_change = True
        return effects

    def apply_reports(self, reports: Iterable[EvacuationReport], now: float) -> list:
        """Apply a peer's reports; return effects.

        An evacuation that was asked for no later than this instance has read the store
        is no news: it is known, or was taken back.
        """
        effects = []
        for report in reports:
            if report.is_asked and self._has_read(report.position):
                continue
            effects += self._set(
                report.data_centre, report.is_asked, report.position, "peer", now
            )
        return effects

    def _has_read(self, position: EraPosition) -> bool:
        read_until = self._read_until
        return position.era == read_until.era and position <= read_until

    def record_read(self, position: EraPosition) -> None:
        """Record that all statements in the store up to a position are known."""
        self._read_until = max(self._read_until, position)

    def apply_listing(
        self, listed_keys: set[str], end: EraPosition, now: float
    ) -> list:
        """End the evacuations that a complete listing lacks; return effects.

        One that was asked for before the store returned to a copy goes on until its
        record is written or deleted again, since the copy may lack that record.

        :param end: position after the newest record at the time of the listing.
        """
        effects = []
        for data_centre in sorted(self.in_force):
            known = self._known[data_centre]
            if known.key in listed_keys or known.position.era != end.era:
                continue
            if known.position < end:
                effects += self.apply(data_centre, False, end, now, known.key)
        return effects

    def _set(
        self,
        data_centre: str,
        is_asked: bool,
        position: EraPosition,
        source: str,
        now: float,
    ) -> list:
        known = self._known.get(data_centre)
        if known is not None and position <= known.position:
            return []
        was_asked = known is not None and known.is_asked
        if known is None:
            if not is_asked and len(self._known) >= MAX_REMEMBERED:
                self._forget_oldest()
            known = self._known[data_centre] = _Known(is_asked, position, now)
        known.is_asked, known.position = is_asked, position
        if is_asked == was_asked:
            return []
        known.changed_at = now
        self.in_force = frozenset(n for n, k in self._known.items() if k.is_asked)
        outcome = "asked" if is_asked else "taken_back"
        self._changes.append((data_centre, outcome, source))
        fields = (
            ("data_centre", data_centre),
            ("source", source),
            ("era", str(position.era)),
            ("position", str(position.number)),
        )
        return [
            LogEvent("info", f"evacuation_{outcome}", fields=fields),
            IncrementCounter(f"evacuation.{outcome}"),
        ]

    def _forget_oldest(self) -> None:
        """Forget the evacuation that was taken back first."""
        withdrawn = [
            (k.changed_at, n) for n, k in self._known.items() if not k.is_asked
        ]
        if withdrawn:
            del self._known[min(withdrawn)[1]]

    # Questions

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether the servers of a data centre get nothing new."""
        return data_centre in self.in_force

    def own_reports(self, now: float) -> tuple[EvacuationReport, ...]:
        """Return what a digest reports, evacuations in force first."""
        if not self._known:
            return ()
        recent = [
            (not known.is_asked, -known.changed_at, name)
            for name, known in self._known.items()
            if known.is_asked or now - known.changed_at < REPORT_WITHDRAWN_S
        ]
        return tuple(
            EvacuationReport(name, not is_withdrawn, self._known[name].position)
            for is_withdrawn, _, name in sorted(recent)[:MAX_EVACUATION_REPORTS]
        )

    def pop_changes(self) -> list[tuple[str, str, str]]:
        """Return data centre, outcome and source of each change since the last call."""
        changes, self._changes = self._changes, []
        return changes

"""Membership table: live, leaving and gone instances.

Merges the platform's list, the digests of peers and own observations.
"""

from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from briarrelay_core.ports.peer import Evidence
from briarrelay_core.ports.platform import InstanceKind, LifecycleState, ListedInstance

__all__ = ["Member", "Membership"]

_STATE_ORDER = {
    LifecycleState.LIVE: 0,
    LifecycleState.LEAVING: 1,
    LifecycleState.GONE: 2,
}

RECENT_CHANGE_S = 30.0
"""Seconds for which a changed state is passed on to peers."""

SUSPICION_S = 5.0
"""Seconds for which a peer that was found unreachable is not selected."""


@frozen(slots=True)
class Member:
    """An instance at its newest known incarnation.

    :param listed: entry of the platform's list, or None if the instance is known
        only from other evidence.
    :param changed_at: time at which the state last changed, in Unix seconds.
    """

    name: str
    incarnation: int
    state: LifecycleState
    listed: ListedInstance | None = None
    changed_at: float = 0.0

    @property
    def rank(self) -> tuple[int, int]:
        """Precedence of evidence: by incarnation, then by state."""
        return (self.incarnation, _STATE_ORDER[self.state])


@define(slots=True)
class Membership:
    """State of each instance, merged from evidence so that it only advances.

    Merging keeps the evidence of the higher incarnation, and within an incarnation
    the later state. A leaving incarnation therefore never becomes live again, in
    whatever order evidence arrives.

    :param version: version of the newest instance list that was merged.
    """

    _members: dict[str, Member] = field(factory=dict)
    _suspected_until: dict[str, float] = field(factory=dict)
    version: int = 0
    _live_cache: dict[tuple, list[Member]] = field(factory=dict)

    def get(self, name: str) -> Member | None:
        """Return the member with a name, or None if it is unknown."""
        return self._members.get(name)

    def members(self, kind: InstanceKind) -> list[Member]:
        """Return the listed members of a kind, sorted by name."""
        return sorted(
            (m for m in self._members.values() if m.listed and m.listed.kind is kind),
            key=lambda m: m.name,
        )

    def live(self, kind: InstanceKind, data_centre: str | None = None) -> list[Member]:
        """Return the listed live members of a kind, which may get new work.

        The result is cached until the table changes; callers must not modify it.

        :param data_centre: the members' data centre, or None for all.
        """
        key = (kind, data_centre)
        if key not in self._live_cache:
            self._live_cache[key] = [
                m
                for m in self.members(kind)
                if m.state is LifecycleState.LIVE
                and data_centre in (None, m.listed.data_centre)
            ]
        return self._live_cache[key]

    def observe(
        self, name: str, incarnation: int, state: LifecycleState, now: float
    ) -> bool:
        """Merge evidence of an incarnation; return whether the state advanced."""
        known = self._members.get(name)
        if known is None:
            self._live_cache.clear()
            self._members[name] = Member(name, incarnation, state, None, now)
            return True
        updated = evolve(known, incarnation=incarnation, state=state, changed_at=now)
        if updated.rank <= known.rank:
            return False
        self._members[name] = updated
        self._live_cache.clear()
        if incarnation > known.incarnation:
            self._suspected_until.pop(name, None)
        return True

    def apply_list(
        self, version: int, instances: Iterable[ListedInstance], now: float
    ) -> list[str]:
        """Merge the platform's list; return the names whose state advanced.

        A list older than the last one merged is ignored. An instance that is no
        longer in the list is gone.
        """
        if version < self.version:
            return []
        self.version = version
        self._live_cache.clear()
        entries = {entry.name: entry for entry in instances}
        changed = []
        for name, entry in entries.items():
            if self.observe(name, entry.incarnation, entry.state, now):
                changed.append(name)
            known = self._members[name]
            if entry.incarnation >= known.incarnation or known.listed is None:
                self._members[name] = evolve(known, listed=entry)
        for name, known in self._members.items():
            unlisted = known.listed is not None and name not in entries
            if unlisted and known.state is not LifecycleState.GONE:
                self.observe(name, known.incarnation, LifecycleState.GONE, now)
                changed.append(name)
        return changed

    def mark_suspect(self, name: str, now: float) -> None:
        """Mark a peer as suspect for ``SUSPICION_S`` seconds."""
        self._suspected_until[name] = now + SUSPICION_S

    def is_suspect(self, name: str, now: float) -> bool:
        """Return whether a peer is suspected to be unreachable."""
        return self._suspected_until.get(name, 0.0) > now

    def is_gone(self, name: str, incarnation: int) -> bool:
        """Return whether an incarnation is known to have ended."""
        known = self._members.get(name)
        if known is None:
            return False
        if known.incarnation > incarnation:
            return True
        return known.incarnation == incarnation and known.state is LifecycleState.GONE

    def recent_evidence(self, now: float, limit: int) -> tuple[Evidence, ...]:
        """Return recent state changes for a digest.

        Leaving and gone instances come first, then the newest changes.

        :param limit: maximum number of changes.
        """
        recent = [
            m for m in self._members.values() if m.changed_at > now - RECENT_CHANGE_S
        ]
        recent.sort(
            key=lambda m: (m.state is LifecycleState.LIVE, -m.changed_at, m.name)
        )
        return tuple(
            Evidence(m.name, m.incarnation, m.state.value) for m in recent[:limit]
        )

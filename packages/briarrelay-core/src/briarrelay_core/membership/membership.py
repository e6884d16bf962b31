"""Live, leaving and gone incarnations, merged from several sources."""

from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from briarrelay_core.ports.peer import Evidence
from briarrelay_core.ports.platform import InstanceKind, LifecycleState, ListedInstance

__all__ = ["Member", "Membership"]

_RANK = {LifecycleState.LIVE: 0, LifecycleState.LEAVING: 1, LifecycleState.GONE: 2}

RECENT_S = 30.0
"""Seconds for which changed evidence is passed on to peers."""

SUSPECT_S = 5.0
"""Seconds for which an unreachable peer is not chosen."""


@frozen(slots=True)
class Member:
    """An instance at its newest known incarnation.

    :param listed: the platform's entry, or None if only peers told of it.
    """

    name: str
    incarnation: int
    state: LifecycleState
    listed: ListedInstance | None = None
    changed_at: float = 0.0

    @property
    def rank(self) -> tuple[int, int]:
        """Order in which evidence overrides: incarnation, then state."""
        return (self.incarnation, _RANK[self.state])


@define(slots=True)
class Membership:
    """Evidence of instances, merged so that it only ever advances.

    Merging takes the greater of incarnation and state. A leaving incarnation
    therefore never becomes live again, in whatever order evidence arrives.
    """

    _members: dict[str, Member] = field(factory=dict)
    _suspect: dict[str, float] = field(factory=dict)
    version: int = 0
    _live: dict[tuple, list[Member]] = field(factory=dict)

    def get(self, name: str) -> Member | None:
        """Return the member of a name, if known."""
        return self._members.get(name)

    def members(self, kind: InstanceKind) -> list[Member]:
        """Return the listed members of a kind, in the order of their names."""
        return sorted(
            (m for m in self._members.values() if m.listed and m.listed.kind is kind),
            key=lambda m: m.name,
        )

    def live(self, kind: InstanceKind, data_centre: str | None = None) -> list[Member]:
        """Return the members that may get new work.

        The answer is kept until evidence advances; callers must not change it.
        """
        key = (kind, data_centre)
        if key not in self._live:
            self._live[key] = [
                m
                for m in self.members(kind)
                if m.state is LifecycleState.LIVE
                and data_centre in (None, m.listed.data_centre)
            ]
        return self._live[key]

    def observe(
        self, name: str, incarnation: int, state: LifecycleState, now: float
    ) -> bool:
        """Merge evidence of an incarnation; return whether anything advanced."""
        known = self._members.get(name)
        if known is None:
            self._live.clear()
            self._members[name] = Member(name, incarnation, state, None, now)
            return True
        seen = evolve(known, incarnation=incarnation, state=state, changed_at=now)
        if seen.rank <= known.rank:
            return False
        self._members[name] = seen
        self._live.clear()
        if incarnation > known.incarnation:
            self._suspect.pop(name, None)
        return True

    def apply_list(
        self, version: int, instances: Iterable[ListedInstance], now: float
    ) -> list[str]:
        """Merge the platform's list; return the names whose state advanced.

        An instance that the list no longer has is gone.
        """
        if version < self.version:
            return []
        self.version = version
        self._live.clear()
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

    def suspect(self, name: str, now: float) -> None:
        """Do not choose a peer for a while."""
        self._suspect[name] = now + SUSPECT_S

    def is_suspect(self, name: str, now: float) -> bool:
        """Return whether a peer was unreachable of late."""
        return self._suspect.get(name, 0.0) > now

    def is_gone(self, name: str, incarnation: int) -> bool:
        """Return whether an incarnation is known to have ended."""
        known = self._members.get(name)
        if known is None:
            return False
        if known.incarnation > incarnation:
            return True
        return known.incarnation == incarnation and known.state is LifecycleState.GONE

    def recent_evidence(self, now: float, limit: int) -> tuple[Evidence, ...]:
        """Return the newest changes for a digest, at most a number of them."""
        recent = [m for m in self._members.values() if m.changed_at > now - RECENT_S]
        recent.sort(
            key=lambda m: (m.state is LifecycleState.LIVE, -m.changed_at, m.name)
        )
        return tuple(
            Evidence(m.name, m.incarnation, m.state.value) for m in recent[:limit]
        )

"""Reservations of engine memory for long prompts and gangs of engines."""

from attrs import define, field, frozen

__all__ = ["Allocator", "GangPlan", "Reservation", "plan_gang"]

MAX_GANG = 8
"""Most engines that one prompt may use."""


@frozen(slots=True)
class Reservation:
    """Memory of an engine that is kept for an attempt.

    :param expires: Unix seconds after which the reservation is void.
    """

    request_id: str
    attempt: int
    owner: str
    incarnation: int
    tokens: int
    expires: float


@frozen(slots=True)
class GangPlan:
    """Engines and memory for a prompt.

    :param engines: in the order of their names, in which they are reserved.
    :param tokens: prompt tokens of each engine, in the same order.
    """

    engines: tuple[str, ...]
    tokens: tuple[int, ...]


def plan_gang(
    prompt: int, output: int, room: dict[str, int], waits: dict[str, float]
) -> GangPlan | None:
    """Choose the fewest engines that hold a prompt, the least loaded of them.

    :param room: tokens that each engine can give to this prompt now.
    :param waits: seconds of work that each engine has queued.
    :returns: None if the engines are too full now.
    """
    names = sorted(room, key=lambda name: (waits[name], name))
    for size in range(1, min(MAX_GANG, len(names)) + 1):
        part = -(-prompt // size) + output
        fitting = [name for name in names if room[name] >= part][:size]
        if len(fitting) == size:
            return GangPlan(tuple(sorted(fitting)), _split(prompt, size))
    return None


def _split(prompt: int, size: int) -> tuple[int, ...]:
    share = -(-prompt // size)
    return tuple(min(share, prompt - share * index) for index in range(size))


@define(slots=True)
class Allocator:
    """Reservations of the engines that this instance keeps the table for.

    The table is soft state: a new allocator starts empty and learns from the
    engines' residents and from owners. The engine's own refusal is the last word.
    """

    _tables: dict[str, dict[tuple[str, int], Reservation]] = field(factory=dict)

    def reserved(self, engine: str, now: float) -> int:
        """Return tokens that are reserved in an engine."""
        self._expire(engine, now)
        return sum(r.tokens for r in self._tables.get(engine, {}).values())

    def reserve(self, engine: str, wanted: Reservation, room: int, now: float) -> bool:
        """Reserve memory; asking again for the same attempt changes nothing.

        :param room: tokens of the engine that reservations may take in all.
        """
        key = (wanted.request_id, wanted.attempt)
        table = self._tables.setdefault(engine, {})
        held = self.reserved(engine, now)
        if key in table:
            return True
        if held + wanted.tokens > room:
            return False
        table[key] = wanted
        return True

    def release(self, engine: str, request_id: str, attempt: int) -> bool:
        """Give a reservation back; return whether there was one."""
        table = self._tables.get(engine, {})
        return table.pop((request_id, attempt), None) is not None

    def release_owner(self, owner: str, incarnation: int) -> int:
        """Give back what an owner's earlier incarnations hold.

        :param incarnation: oldest incarnation that is still alive.
        :returns: number of reservations given back.
        """
        count = 0
        for table in self._tables.values():
            dead = [
                key
                for key, r in table.items()
                if r.owner == owner and r.incarnation < incarnation
            ]
            for key in dead:
                del table[key]
            count += len(dead)
        return count

    def drop_engine(self, engine: str) -> None:
        """Forget an engine that is gone, started anew or has another allocator."""
        self._tables.pop(engine, None)

    def _expire(self, engine: str, now: float) -> None:
        table = self._tables.get(engine, {})
        for key in [key for key, r in table.items() if r.expires <= now]:
            del table[key]

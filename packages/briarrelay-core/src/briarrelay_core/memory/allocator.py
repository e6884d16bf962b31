"""Engine memory reservations for long prompts and the gangs that serve them.

A gang is a group of engines that process the segments of one prompt together.
"""

from attrs import define, field, frozen

__all__ = ["Allocator", "GangPlan", "Reservation", "plan_gang"]

MAX_GANG_ENGINES = 8
"""Largest number of engines that may serve one prompt."""


@frozen(slots=True)
class Reservation:
    """Memory of one engine that is reserved for an attempt.

    :param owner: entry instance that serves the request.
    :param incarnation: incarnation of the owner.
    :param expires: Unix seconds from which the reservation no longer counts.
    """

    request_id: str
    attempt: int
    owner: str
    incarnation: int
    tokens: int
    expires: float


@frozen(slots=True)
class GangPlan:
    """Assignment of a prompt to one or more engines.

    :param engines: engine names, sorted; they are reserved in this order.
    :param tokens: prompt tokens for each engine, in the same order.
    """

    engines: tuple[str, ...]
    tokens: tuple[int, ...]


def plan_gang(
    prompt: int, output: int, free: dict[str, int], wait_s: dict[str, float]
) -> GangPlan | None:
    """Choose the smallest gang that can hold a prompt, least loaded engines first.

    :param prompt: prompt tokens, split evenly over the gang.
    :param output: output tokens, which every engine of the gang needs memory for.
    :param free: tokens of memory that each engine has available.
    :param wait_s: seconds of work queued on each engine.
    :returns: None if no gang has enough free memory.
    """
    names = sorted(free, key=lambda name: (wait_s[name], name))
    for size in range(1, min(MAX_GANG_ENGINES, len(names)) + 1):
        needed = -(-prompt // size) + output
        fitting = [name for name in names if free[name] >= needed][:size]
        if len(fitting) == size:
            return GangPlan(tuple(sorted(fitting)), _split(prompt, size))
    return None


def _split(prompt: int, size: int) -> tuple[int, ...]:
    share = -(-prompt // size)
    return tuple(min(share, prompt - share * index) for index in range(size))


@define(slots=True)
class Allocator:
    """Reservation tables of the engines that this instance is the allocator of.

    The tables are soft state: a new allocator starts with empty ones and rebuilds
    them from the engines' residents and from owners. The final decision is the
    engine's, which refuses a request that does not fit.
    """

    _tables: dict[str, dict[tuple[str, int], Reservation]] = field(factory=dict)

    def reserved(self, engine: str, now: float) -> int:
        """Return the number of tokens reserved on an engine."""
        self._expire(engine, now)
        return sum(r.tokens for r in self._tables.get(engine, {}).values())

    def reserve(self, engine: str, wanted: Reservation, limit: int, now: float) -> bool:
        """Reserve memory; a repeated reservation of an attempt changes nothing.

        :param limit: total tokens that may be reserved on the engine.
        :returns: whether the memory is reserved.
        """
        key = (wanted.request_id, wanted.attempt)
        table = self._tables.setdefault(engine, {})
        reserved_tokens = self.reserved(engine, now)
        if key in table:
            return True
        if reserved_tokens + wanted.tokens > limit:
            return False
        table[key] = wanted
        return True

    def release(self, engine: str, request_id: str, attempt: int) -> bool:
        """Release a reservation; return whether it existed."""
        table = self._tables.get(engine, {})
        return table.pop((request_id, attempt), None) is not None

    def release_earlier_incarnations(self, owner: str, incarnation: int) -> int:
        """Release the reservations of an owner's earlier incarnations.

        :param incarnation: oldest incarnation that is still live.
        :returns: number of reservations released.
        """
        count = 0
        for table in self._tables.values():
            stale = [
                key
                for key, r in table.items()
                if r.owner == owner and r.incarnation < incarnation
            ]
            for key in stale:
                del table[key]
            count += len(stale)
        return count

    def drop_engine(self, engine: str) -> None:
        """Drop the table of an engine that is gone, restarted or changed allocator."""
        self._tables.pop(engine, None)

    def _expire(self, engine: str, now: float) -> None:
        table = self._tables.get(engine, {})
        for key in [key for key, r in table.items() if r.expires <= now]:
            del table[key]

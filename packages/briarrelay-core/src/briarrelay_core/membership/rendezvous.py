"""Rendezvous hashing: every instance computes the same owner of a name.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates".
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

__all__ = ["owner_of", "ranked", "unit_hash"]


def _score(name: str, candidate: str) -> int:
    return xxh3_64_intdigest(f"{name}\0{candidate}".encode())


def ranked(name: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by descending score, which depends on the name."""
    return sorted(candidates, key=lambda c: (_score(name, c), c), reverse=True)


def owner_of(name: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest score, or None if there is none."""
    return max(candidates, key=lambda c: (_score(name, c), c), default=None)


def unit_hash(*parts: object) -> float:
    """Return a hash of the parts as a number in [0, 1)."""
    return xxh3_64_intdigest("\0".join(map(str, parts)).encode()) / 2**64

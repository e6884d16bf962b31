"""Encoding of what servers hold of prompts, as a field of a digest."""

from math import isfinite
from typing import Any

from briarrelay_core.ports.digest import MAX_HELD_REPORTS, UNKNOWN_AGE_S, HeldReport

__all__ = ["decode_held", "encode_held"]

MAX_TEXT_CHARS = 200
"""Longest name of a server."""

KEY_CHARS = 16
"""Length of the key of a beginning, in hexadecimal digits."""

MAX_TOKENS = 10**9
"""Most tokens of a beginning."""


def encode_held(reports: tuple[HeldReport, ...]) -> list | None:
    """Return reports as rows, grouped by server; None if there are none."""
    grouped: dict[tuple[str, float], list] = {}
    for report in reports:
        row = [report.key, report.tokens, round(report.age_s, 2)]
        grouped.setdefault((report.server, report.born), []).append(row)
    return [[*server, rows] for server, rows in grouped.items()] or None


def decode_held(value: Any) -> tuple[HeldReport, ...]:
    """Return the reports that a field holds; further ones are left out.

    :raises ValueError: if the field is invalid.
    """
    try:
        reports = [
            _decode_row(server, born, *row)
            for server, born, rows in value[:MAX_HELD_REPORTS]
            for row in rows[:MAX_HELD_REPORTS]
        ]
    except (TypeError, KeyError) as error:
        raise ValueError(f"not a list of held beginnings: {error}") from error
    return tuple(reports[:MAX_HELD_REPORTS])


def _decode_row(
    server: Any, born: Any, key: Any, tokens: Any, age_s: Any
) -> HeldReport:
    if not isinstance(server, str) or len(server) > MAX_TEXT_CHARS:
        raise ValueError("name of a server is not a short text")
    if not isinstance(key, str) or len(key) != KEY_CHARS:
        raise ValueError("key of a beginning has another length")
    if type(tokens) is not int or not 0 < tokens <= MAX_TOKENS:
        raise ValueError("tokens of a beginning out of bounds")
    age_s = min(UNKNOWN_AGE_S, _decode_number(age_s))
    return HeldReport(server, _decode_number(born), key, tokens, age_s)


def _decode_number(value: Any) -> float:
    """Return a number that is finite and not negative."""
    if type(value) not in (int, float) or not isfinite(value) or value < 0:
        raise ValueError("number out of bounds")
    return float(value)

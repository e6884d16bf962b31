"""Encoding of the cold servers that digests report."""

from math import isfinite

from briarrelay_core.ports.cold import MAX_COLD_REPORTS, MAX_COLD_S, ColdReport

__all__ = ["decode_cold", "encode_cold"]

MAX_NAME_CHARS = 200
"""Longest name of a server in a report."""


def encode_cold(reports: tuple[ColdReport, ...]) -> list | None:
    """Return the field of a digest, None if there is nothing to report."""
    rows = [
        [r.server, r.born, round(r.remaining_s, 2), round(r.since_age_s, 3)]
        for r in reports
    ]
    return rows or None


def decode_cold(rows: object) -> tuple[tuple[ColdReport, ...], int]:
    """Return the reports of a digest, and how many were invalid and left out."""
    if rows is None:
        return (), 0
    if not isinstance(rows, list):
        return (), 1
    rows = rows[:MAX_COLD_REPORTS]
    reports = [report for report in map(_decode_report, rows) if report is not None]
    return tuple(reports), len(rows) - len(reports)


def _decode_report(row: object) -> ColdReport | None:
    if not isinstance(row, list) or len(row) < 4:
        return None
    server, *numbers = row[:4]
    if not isinstance(server, str) or len(server) > MAX_NAME_CHARS:
        return None
    if not all(type(n) in (int, float) and isfinite(n) and n >= 0 for n in numbers):
        return None
    born, remaining_s, since_age_s = map(float, numbers)
    if max(remaining_s, since_age_s) > MAX_COLD_S:
        return None
    return ColdReport(
        server=server, born=born, remaining_s=remaining_s, since_age_s=since_age_s
    )

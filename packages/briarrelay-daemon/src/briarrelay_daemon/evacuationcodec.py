"""Encoding of the evacuations that digests report."""

from briarrelay_core.ports.evacuation import MAX_EVACUATION_REPORTS, EvacuationReport
from briarrelay_core.ports.position import EraPosition

__all__ = ["decode_evacuations", "encode_evacuations"]

MAX_NAME_CHARS = 200
"""Longest name of a data centre in a report."""


def encode_evacuations(reports: tuple[EvacuationReport, ...]) -> list | None:
    """Return the field of a digest, None if there is nothing to report."""
    rows = [
        [r.data_centre, int(r.is_asked), r.position.era, r.position.number]
        for r in reports
    ]
    return rows or None


def decode_evacuations(rows: object) -> tuple[tuple[EvacuationReport, ...], int]:
    """Return the reports of a digest, and how many were invalid and left out."""
    if rows is None:
        return (), 0
    if not isinstance(rows, list):
        return (), 1
    rows = rows[:MAX_EVACUATION_REPORTS]
    reports = [report for report in map(_decode_report, rows) if report is not None]
    return tuple(reports), len(rows) - len(reports)


def _decode_report(row: object) -> EvacuationReport | None:
    if not isinstance(row, list) or len(row) < 4:
        return None
    name, is_asked, era, number = row[:4]
    if not isinstance(name, str) or len(name) > MAX_NAME_CHARS:
        return None
    if is_asked not in (0, 1) or not all(
        type(n) is int and n >= 0 for n in (era, number)
    ):
        return None
    return EvacuationReport(name, bool(is_asked), EraPosition(era, number))

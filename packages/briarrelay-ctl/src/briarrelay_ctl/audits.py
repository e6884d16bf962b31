"""Exports, verifies and searches the audit record.

An exported file keeps records for longer than the log retains them.
"""

import json
from pathlib import Path

from attrs import frozen

from briarrelay_core.record.record import (
    AUDIT_STREAM,
    ChainFault,
    parse_batch,
    verify_batches,
)
from briarrelay_ctl.remote import LogClient

__all__ = ["Exported", "export_record", "find_entries", "verify_export"]


@frozen(slots=True)
class Exported:
    """Result of an export.

    :param added: number of records that were appended to the file.
    :param next_offset: offset at which the next export starts.
    :param missed: number of records that expired from the log before the export.
    """

    added: int
    next_offset: int
    missed: int


def _read_lines(path: Path) -> list[dict]:
    if not path.exists():
        return []
    with path.open(encoding="utf-8") as lines:
        return [json.loads(line) for line in lines if line.strip()]


def export_record(log: LogClient, path: Path) -> Exported:
    """Append the records that are not in the file yet."""
    exported = _read_lines(path)
    start = exported[-1]["offset"] + 1 if exported else 0
    added = 0
    next_offset = start
    with path.open("a", encoding="utf-8") as out:
        for record in log.read_all(AUDIT_STREAM, start):
            line = {"offset": record.offset, "body": record.body}
            out.write(json.dumps(line) + "\n")
            added += 1
            next_offset = record.offset + 1
    return Exported(added, next_offset, next_offset - start - added)


def verify_export(path: Path) -> tuple[int, list[ChainFault]]:
    """Verify an exported file.

    :returns: the number of records, and the faults, empty if there are none.
    """
    faults = []
    bodies = []
    expected = None
    with path.open(encoding="utf-8") as lines:
        for number, text in enumerate(lines, start=1):
            try:
                line = json.loads(text)
                offset, body = line["offset"], line["body"]
            except (ValueError, KeyError, TypeError):
                faults.append(ChainFault(f"line {number}", "altered: not a record"))
                continue
            if expected is not None and offset != expected:
                problem = f"dropped or reordered: offset {offset}, expected {expected}"
                faults.append(ChainFault(f"line {number}", problem))
            expected = offset + 1
            bodies.append(body)
    return len(bodies), faults + verify_batches(bodies)


def find_entries(log: LogClient, subject: str) -> list:
    """Return pairs of instance name and entry about a request or change.

    Batches that can not be parsed are skipped.
    """
    matches = []
    for record in log.read_all(AUDIT_STREAM, 0):
        try:
            batch = parse_batch(record.body)
        except ValueError:
            continue
        for entry in batch.entries:
            if entry.subject == subject:
                matches.append((batch.instance, entry))
    return matches

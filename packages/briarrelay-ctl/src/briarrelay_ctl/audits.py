"""Exports, verifies and searches the audit record.

An exported file keeps records for longer than the log retains them.
"""

import json
from pathlib import Path

from attrs import frozen

from briarrelay_core.ports.position import START, EraPosition
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
    :param next_position: position at which the next export starts.
    :param missed: number of records that expired from the log before the export.
    """

    added: int
    next_position: EraPosition
    missed: int


def _read_lines(path: Path) -> list[dict]:
    if not path.exists():
        return []
    with path.open(encoding="utf-8") as lines:
        return [json.loads(line) for line in lines if line.strip()]


def export_record(log: LogClient, path: Path) -> Exported:
    """Append the records that are not in the file yet.

    If the log has returned to a copy, all its records are appended again.
    """
    exported = _read_lines(path)
    position = START
    if exported:
        last = exported[-1]
        position = EraPosition(last.get("era", 0), last["offset"] + 1)
    added = missed = 0
    with path.open("a", encoding="utf-8") as out:
        for record in log.read_all(AUDIT_STREAM, position):
            if record.era == position.era:
                missed += record.offset - position.number
            line = {"offset": record.offset, "body": record.body}
            if record.era:
                line["era"] = record.era
            out.write(json.dumps(line) + "\n")
            added += 1
            position = EraPosition(record.era, record.offset + 1)
    return Exported(added, position, missed)


def verify_export(path: Path) -> tuple[int, list[ChainFault]]:
    """Verify an exported file.

    :returns: the number of records, and the faults, empty if there are none.
    """
    faults = []
    bodies = []
    eras = []
    expected = None
    with path.open(encoding="utf-8") as lines:
        for number, text in enumerate(lines, start=1):
            try:
                line = json.loads(text)
                offset, body = line["offset"], line["body"]
                era = line.get("era", 0)
            except (ValueError, KeyError, TypeError):
                faults.append(ChainFault(f"line {number}", "altered: not a record"))
                continue
            problem = _check_position(EraPosition(era, offset), expected)
            if problem:
                faults.append(ChainFault(f"line {number}", problem))
            expected = EraPosition(era, offset + 1)
            bodies.append(body)
            eras.append(era)
    return len(bodies), faults + verify_batches(bodies, eras)


def _check_position(position: EraPosition, expected: EraPosition | None) -> str:
    """Return the problem with a record's position, empty if it is the expected one.

    Offsets start again in a later era.
    """
    if expected is None or position == expected or position.era > expected.era:
        return ""
    if position.era < expected.era:
        return f"reordered: era {position.era} after era {expected.era}"
    return f"dropped or reordered: offset {position.number}, expected {expected.number}"


def find_entries(log: LogClient, subject: str) -> list:
    """Return pairs of instance name and entry about a request or change.

    Batches that can not be parsed are skipped.
    """
    matches = []
    for record in log.read_all(AUDIT_STREAM, START):
        try:
            batch = parse_batch(record.body)
        except ValueError:
            continue
        for entry in batch.entries:
            if entry.subject == subject:
                matches.append((batch.instance, entry))
    return matches

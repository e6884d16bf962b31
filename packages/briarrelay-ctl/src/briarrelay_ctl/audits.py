"""The record, kept past the log's retention, and its check."""

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

__all__ = ["Exported", "export", "find", "verify"]


@frozen(slots=True)
class Exported:
    """What an export added.

    :param missed: records that the log had forgotten before they were exported.
    """

    added: int
    next_offset: int
    missed: int


def _read_lines(path: Path) -> list[dict]:
    if not path.exists():
        return []
    with path.open(encoding="utf-8") as lines:
        return [json.loads(line) for line in lines if line.strip()]


def export(log: LogClient, path: Path) -> Exported:
    """Append the records that a file does not hold yet."""
    held = _read_lines(path)
    start = held[-1]["offset"] + 1 if held else 0
    added = 0
    next_offset = start
    with path.open("a", encoding="utf-8") as out:
        for record in log.read_all(AUDIT_STREAM, start):
            line = {"offset": record.offset, "body": record.body}
            out.write(json.dumps(line) + "\n")
            added += 1
            next_offset = record.offset + 1
    return Exported(added, next_offset, next_offset - start - added)


def verify(path: Path) -> tuple[int, list[ChainFault]]:
    """Check an exported file.

    :returns: the number of records, and faults, empty if the record is whole.
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


def find(log: LogClient, subject: str) -> list:
    """Return the entries of the record about a request or change."""
    found = []
    for record in log.read_all(AUDIT_STREAM, 0):
        try:
            batch = parse_batch(record.body)
        except ValueError:
            continue
        for entry in batch.entries:
            if entry.subject == subject:
                found.append((batch.instance, entry))
    return found

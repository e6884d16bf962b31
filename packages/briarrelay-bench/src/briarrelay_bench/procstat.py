"""Processor time and memory of a process, as the kernel counts them."""

import os
from pathlib import Path

__all__ = ["cpu_seconds", "resident_mb"]

_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used, user and system."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * _PAGE / 1e6

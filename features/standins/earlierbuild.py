"""Checkouts of earlier builds, which run beside the present one."""

import io
import subprocess
import tarfile
from pathlib import Path

__all__ = ["LAST_RELEASE", "has_history", "unpack_build"]

LAST_RELEASE = "c31e8c9bd82a970c6f161f942a01d2f9e6d55418"
"""Commit of the build that is in service before this one."""

ROOT = Path(__file__).resolve().parents[2]


def has_history(commit: str) -> bool:
    """Return whether the repository's history holds a commit."""
    command = ["git", "cat-file", "-e", f"{commit}^{{commit}}"]
    return subprocess.run(command, cwd=ROOT, capture_output=True).returncode == 0


def unpack_build(commit: str, folder: Path) -> Path:
    """Write the programs of a commit into a folder; return the folder."""
    archive = subprocess.run(
        ["git", "archive", commit, "platform", "packages"],
        cwd=ROOT,
        capture_output=True,
        check=True,
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter="data")
    return folder

"""Signals that come while a process is starting."""

import os
import signal
import subprocess
import sys
import time
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from standins.fleet import ROOT, Fleet

LOADING = """import sys, time
print("loading", flush=True)
time.sleep(30.0)
"""
"""A module that the process imports at its start, and that takes long."""

END_S = 0.5
"""Seconds within which a signal without a handler has ended a process."""


def restore_default_action() -> None:
    """Undo that the parent process ignores the signal, which children inherit."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def blocks_signal(pid: int) -> bool:
    """Return whether a process blocks SIGHUP."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    (mask,) = (line.split()[1] for line in lines if line.startswith("SigBlk:"))
    return bool(int(mask, 16) >> signal.SIGHUP - 1 & 1)


class ReloadSignalTest(unittest.TestCase):
    def test_signal_does_not_end_a_process_that_loads_its_modules(self):
        """Its default action ended the process without a log line."""
        with TemporaryDirectory() as folder:
            Path(folder, "logbook.py").write_text(LOADING, encoding="utf-8")
            process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "start.py")],
                stdout=subprocess.PIPE,
                env={**os.environ, "PYTHONPATH": folder},
                preexec_fn=restore_default_action,
            )
            try:
                self.assertEqual(b"loading\n", process.stdout.readline())
                process.send_signal(signal.SIGHUP)
                time.sleep(END_S)
                self.assertIsNone(process.poll())
            finally:
                process.kill()
                process.wait()
                process.stdout.close()

    def test_settings_that_change_during_the_start_are_read(self):
        """A signal that is ignored instead would be lost."""
        with Fleet(engines=1, plain_servers=1, entries=1, subnet="1.61") as fleet:
            (entry,) = fleet.instances
            entry.process.kill()
            entry.process.wait()
            fleet.start(entry)
            fleet.wait(lambda: blocks_signal(entry.process.pid))
            entry.process.send_signal(signal.SIGHUP)
            fleet.wait(entry.is_ready)
            events = [log_entry["event"] for log_entry in entry.log_entries()]
            self.assertIn("reloaded", events)


if __name__ == "__main__":
    unittest.main()

"""Shifts the wall clock of a process by the seconds in a file, as a clock step does.

The monotonic clock is left alone, as it is by a clock step on a real machine.
"""

import os
import time

_real_time = time.time


def _shifted_time() -> float:
    try:
        with open(os.environ["SOAK_CLOCK"], encoding="utf-8") as file:
            return _real_time() + float(file.read() or 0)
    except (KeyError, OSError, ValueError):
        return _real_time()


time.time = _shifted_time
time.time_ns = lambda: int(_shifted_time() * 1e9)

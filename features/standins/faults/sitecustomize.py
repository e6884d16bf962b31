"""Injects faults into the process of an entry instance: clock steps, cut connections.

`SOAK_CLOCK` names a file with the seconds by which the wall clock is shifted, as by a
clock step; the monotonic clock is left alone. Beside the settings file of the instance,
a file with the suffix ``.links`` tells how it connects, see `standins.cuts`.
"""

import json
import os
import socket
import time

_real_time = time.time
_real_connect_ex = socket.socket.connect_ex


def _shifted_time() -> float:
    try:
        with open(os.environ["SOAK_CLOCK"], encoding="utf-8") as file:
            return _real_time() + float(file.read() or 0)
    except (KeyError, OSError, ValueError):
        return _real_time()


def _read_links() -> dict:
    try:
        with open(os.environ["BRIARRELAY_BOOT"] + ".links", encoding="utf-8") as file:
            return json.load(file)
    except (KeyError, OSError, ValueError):
        return {}


def _connect_ex(sock: socket.socket, address: tuple[str, int]) -> int:
    """Connect from the instance's own address, or elsewhere if the way is cut."""
    links = _read_links()
    if address[1] in links.get("ports", ()):
        sock.bind((links["host"], 0))
        address = tuple(links["instead"] or address)
    return _real_connect_ex(sock, address)


time.time = _shifted_time
time.time_ns = lambda: int(_shifted_time() * 1e9)
socket.socket.connect_ex = _connect_ex

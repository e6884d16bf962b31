"""Runs the store stand-in or the backend server stand-ins as a process.

Usage:
  main.py store HOST PORT [--seed=N]
  main.py servers HOST PORT STORE [--seed=N] SERVER...

SERVER is NAME,SERVICE,PORT,ADVERTISED,DATA_CENTRE.
"""

import signal
import sys
from pathlib import Path

from docopt import docopt

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "features"))

from briarrelay_daemon.settings import Address  # noqa: E402
from standins.loop import StandInLoop  # noqa: E402
from standins.servers import ServerGroup  # noqa: E402
from standins.store import StoreStandIn  # noqa: E402


def main() -> None:
    options = docopt(__doc__)
    loop = StandInLoop()
    host, port = options["HOST"], int(options["PORT"])
    seed = int(options["--seed"] or 0)
    if options["store"]:
        StoreStandIn(loop, host, port, seed)
    else:
        store_host, _, store_port = options["STORE"].rpartition(":")
        servers = ServerGroup(loop, Address(store_host, int(store_port)), seed)
        loop.serve(host, port, servers.handle_control)
        for server in options["SERVER"]:
            name, service, server_port, advertised, data_centre = server.split(",")
            servers.add(
                name,
                host,
                int(server_port),
                service=service,
                advertised=advertised,
                data_centre=data_centre,
            )
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    loop.run()


if __name__ == "__main__":
    main()

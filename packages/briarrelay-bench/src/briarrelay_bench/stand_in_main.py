"""Starts one stand-in.

Usage:
  stand-in engine --port N --name NAME [--rate F] [--memory N] [--models LIST]
                  [--ignores-fencing]
  stand-in platform --port N [--list-lag S]
  stand-in service --port N --name NAME

Options:
  --port N        port on loopback, 0 for any
  --name NAME     name in the instance list
  --rate F        prompt tokens processed a second [default: 200000]
  --memory N      tokens of memory [default: 450000]
  --models LIST   models loaded, with versions, after commas [default: base@1]
  --list-lag S    seconds by which the instance list is late [default: 1.0]
"""

import sys

from docopt import docopt

from briarrelay_bench.engine_model import EngineSpec
from briarrelay_bench.engine_server import EngineServer
from briarrelay_bench.platform_server import PlatformServer
from briarrelay_bench.service_server import ServiceServer
from briarrelay_daemon.settings import Address


def main(argv: list[str] | None = None) -> int:
    """Run one stand-in until it is told to end."""
    options = docopt(__doc__, argv)
    bind = Address("127.0.0.1", int(options["--port"]))
    if options["engine"]:
        models = tuple(m for m in options["--models"].split(",") if m)
        spec = EngineSpec(
            rate=float(options["--rate"]), memory=int(options["--memory"])
        )
        checks = not options["--ignores-fencing"]
        EngineServer(bind, options["--name"], spec, models, checks).run()
    elif options["platform"]:
        PlatformServer(bind, float(options["--list-lag"])).run()
    else:
        ServiceServer(bind, options["--name"]).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())

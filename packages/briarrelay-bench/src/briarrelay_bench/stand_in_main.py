"""Runs a stand-in for an engine, the platform or a plain service.

Usage:
  stand-in engine --port N --name NAME [--rate F] [--memory N] [--models LIST]
                  [--ignores-fencing]
  stand-in platform --port N [--list-lag S]
  stand-in service --port N --name NAME

Options:
  --port N        port on loopback, 0 for any
  --name NAME     name in the instance list
  --rate F        prompt tokens processed per second [default: 200000]
  --memory N      memory, in tokens [default: 450000]
  --models LIST   comma-separated loaded models, with versions [default: base@1]
  --list-lag S    delay of the instance list, in seconds [default: 1.0]
"""

import sys

from docopt import docopt

from briarrelay_bench.engine_model import EngineSpec
from briarrelay_bench.engine_server import EngineServer
from briarrelay_bench.platform_server import PlatformServer
from briarrelay_bench.service_server import ServiceServer
from briarrelay_daemon.settings import Address


def main(argv: list[str] | None = None) -> int:
    """Run a stand-in until the process receives SIGTERM."""
    options = docopt(__doc__, argv)
    bind = Address("127.0.0.1", int(options["--port"]))
    if options["engine"]:
        models = tuple(m for m in options["--models"].split(",") if m)
        spec = EngineSpec(
            rate=float(options["--rate"]), memory=int(options["--memory"])
        )
        checks_fencing = not options["--ignores-fencing"]
        EngineServer(bind, options["--name"], spec, models, checks_fencing).run()
    elif options["platform"]:
        PlatformServer(bind, float(options["--list-lag"])).run()
    else:
        ServiceServer(bind, options["--name"]).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())

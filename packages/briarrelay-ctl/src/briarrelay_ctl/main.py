"""briarrelayctl, the operators' command.

Usage:
  briarrelayctl --settings FILE config publish PATCH [--base N] [--wait] [--json]
  briarrelayctl --settings FILE config show [--json]
  briarrelayctl --settings FILE config history [--json]
  briarrelayctl --settings FILE config settle ID [--json]
  briarrelayctl --settings FILE preset activate NAME [--base N] [--wait] [--json]
  briarrelayctl --settings FILE preset list [--json]
  briarrelayctl --settings FILE status [--json]
  briarrelayctl --settings FILE explain ID [--json]
  briarrelayctl --settings FILE audit export FILE_OUT [--json]
  briarrelayctl --settings FILE audit verify FILE_IN [--json]
  briarrelayctl --settings FILE drain PLACE [--json]
  briarrelayctl --help

Options:
  --settings FILE  settings, JSON with comments
  --base N         revision that the change was made on; the current one if absent
  --wait           wait until every instance has the change in force
  --json           print JSON for programs

PATCH is a file with a JSON merge patch; PLACE is HOST:PORT of an entry instance.

Exit codes: 0 done; 2 the command or its settings are wrong; 3 another change won
the race; 4 the change does not fit; 5 not known whether it landed; 6 something does
not answer; 7 the record has faults; 8 nothing found.
"""

import json
import sys
from pathlib import Path

from attrs import asdict
from docopt import docopt

from briarrelay_ctl.audits import export, verify
from briarrelay_ctl.changes import Changes, UnsettledError
from briarrelay_ctl.commands import Commands
from briarrelay_ctl.remote import InstanceClient, LogClient, RemoteError
from briarrelay_ctl.results import (
    EXIT_FAULTS,
    EXIT_NO_ANSWER,
    EXIT_UNSETTLED,
    EXIT_USAGE,
    Result,
)
from briarrelay_ctl.settings import SettingsError, read_json, read_settings

__all__ = ["main"]


def _audit(options: dict, commands: Commands) -> Result:
    if options["export"]:
        done = export(commands.changes.log, Path(options["FILE_OUT"]))
        text = f"added {done.added} records, next offset {done.next_offset}"
        if done.missed:
            text += f"; the log had forgotten {done.missed} records: export more often"
        return Result(0, asdict(done), text)
    count, faults = verify(Path(options["FILE_IN"]))
    value = {"records": count, "faults": [asdict(fault) for fault in faults]}
    if not faults:
        return Result(0, value, f"{count} records, the record is whole")
    lines = [f"{fault.where}: {fault.problem}" for fault in faults]
    return Result(EXIT_FAULTS, value, "\n".join(lines))


def _run(options: dict) -> Result:
    settings = read_settings(options["--settings"])
    log = LogClient(settings)
    changes = Changes(log, settings.author, settings.settle_s)
    commands = Commands(settings, changes, InstanceClient(settings))
    base = int(options["--base"]) if options["--base"] is not None else None
    if options["audit"]:
        return _audit(options, commands)
    if options["publish"]:
        patch = read_json(options["PATCH"])
        return commands.publish(patch, base, options["--wait"])
    if options["activate"]:
        return commands.activate(options["NAME"], base, options["--wait"])
    if options["settle"]:
        return commands.settle(options["ID"])
    if options["explain"]:
        return commands.explain(options["ID"])
    if options["drain"]:
        return commands.drain(options["PLACE"])
    for name in ("show", "history", "list", "status"):
        if options[name]:
            return getattr(commands, name)()
    raise SettingsError("no command given; see briarrelayctl --help")


def main(argv: list[str] | None = None) -> int:
    """Run one command; return its exit code."""
    options = docopt(__doc__, argv)
    try:
        result = _run(options)
    except SettingsError as error:
        return _fail(options, EXIT_USAGE, error)
    except ValueError as error:
        return _fail(options, EXIT_USAGE, error)
    except UnsettledError as error:
        return _fail(options, EXIT_UNSETTLED, error)
    except (RemoteError, OSError) as error:
        return _fail(options, EXIT_NO_ANSWER, error)
    print(json.dumps(result.value) if options["--json"] else result.text)
    return result.code


def _fail(options: dict, code: int, error: Exception) -> int:
    if options["--json"]:
        print(json.dumps({"error": str(error), "code": code}))
    else:
        print(error, file=sys.stderr)
    return code


if __name__ == "__main__":
    sys.exit(main())

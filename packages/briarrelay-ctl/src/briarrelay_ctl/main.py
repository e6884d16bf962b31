"""briarrelayctl, the command-line tool for operators.

Usage:
  briarrelayctl --settings FILE config publish PATCH [--base N] [--wait] [--json]
  briarrelayctl --settings FILE config check FILE_IN [--against VERSION] [--json]
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
  --settings FILE  settings file, JSON with comments
  --base N         revision that the change is based on; default: the current one
  --wait           wait until the change is in force on every instance
  --against VERSION  also list what differs from 'in-force' or from another file
  --json           print the result as JSON

PATCH is a file with a JSON merge patch. 'config check' reads a complete configuration;
with nothing found it exits with 0, with an error with 4, and with 7 if entries can
never match or limits contradict each other; differences do not change the code. PLACE
is HOST:PORT of an entry instance.

Exit codes: 0 success; 2 invalid command line or settings; 3 conflict with another
change; 4 invalid change; 5 unknown whether the change was written; 6 the log or an
instance does not answer; 7 the audit record or the configuration has faults; 8 nothing
found.
"""

import json
import sys
from pathlib import Path

from attrs import asdict
from docopt import docopt

from briarrelay_ctl.audits import export_record, verify_export
from briarrelay_ctl.changes import ChangeClient, OutcomeUnknownError
from briarrelay_ctl.commands import Commands
from briarrelay_ctl.remote import InstanceClient, LogClient, RemoteError
from briarrelay_ctl.results import (
    EXIT_FAULTS,
    EXIT_NO_RESPONSE,
    EXIT_OUTCOME_UNKNOWN,
    EXIT_USAGE,
    Result,
)
from briarrelay_ctl.settings import SettingsError, read_json, read_settings

__all__ = ["main"]


def _audit(options: dict, commands: Commands) -> Result:
    if options["export"]:
        exported = export_record(commands.changes.log, Path(options["FILE_OUT"]))
        next_offset = exported.next_position.number
        text = f"added {exported.added} records, next offset {next_offset}"
        if exported.missed:
            text += (
                f"; {exported.missed} records expired before they were exported; "
                f"export more often"
            )
        return Result(0, asdict(exported), text)
    count, faults = verify_export(Path(options["FILE_IN"]))
    value = {"records": count, "faults": [asdict(fault) for fault in faults]}
    if not faults:
        return Result(0, value, f"{count} records, the record is whole")
    lines = [f"{fault.where}: {fault.problem}" for fault in faults]
    return Result(EXIT_FAULTS, value, "\n".join(lines))


def _run(options: dict) -> Result:
    settings = read_settings(options["--settings"])
    log = LogClient(settings)
    changes = ChangeClient(log, settings.author, settings.settle_s)
    commands = Commands(settings, changes, InstanceClient(settings))
    base = int(options["--base"]) if options["--base"] is not None else None
    if options["audit"]:
        return _audit(options, commands)
    if options["check"]:
        return commands.check(options["FILE_IN"], options["--against"])
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
    """Run one command and return its exit code."""
    options = docopt(__doc__, argv)
    try:
        result = _run(options)
    except SettingsError as error:
        return _fail(options, EXIT_USAGE, error)
    except ValueError as error:
        return _fail(options, EXIT_USAGE, error)
    except OutcomeUnknownError as error:
        return _fail(options, EXIT_OUTCOME_UNKNOWN, error)
    except (RemoteError, OSError) as error:
        return _fail(options, EXIT_NO_RESPONSE, error)
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

"""Exit codes and results of commands."""

from attrs import frozen

__all__ = [
    "EXIT_CONFLICT",
    "EXIT_FAULTS",
    "EXIT_INVALID",
    "EXIT_NOT_FOUND",
    "EXIT_NO_RESPONSE",
    "EXIT_OUTCOME_UNKNOWN",
    "EXIT_USAGE",
    "Result",
]

EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_INVALID = 4
EXIT_OUTCOME_UNKNOWN = 5
EXIT_NO_RESPONSE = 6
EXIT_FAULTS = 7
EXIT_NOT_FOUND = 8


@frozen(slots=True)
class Result:
    """Result of a command.

    :param code: exit code of the process.
    :param value: what is printed with --json.
    :param text: what is printed otherwise.
    """

    code: int
    value: object
    text: str

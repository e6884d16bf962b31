"""What a command returns: an exit code, a value for programs, text for people."""

from attrs import frozen

__all__ = [
    "EXIT_FAULTS",
    "EXIT_INVALID",
    "EXIT_NOTHING",
    "EXIT_NO_ANSWER",
    "EXIT_RACE",
    "EXIT_UNSETTLED",
    "EXIT_USAGE",
    "Result",
]

EXIT_USAGE = 2
EXIT_RACE = 3
EXIT_INVALID = 4
EXIT_UNSETTLED = 5
EXIT_NO_ANSWER = 6
EXIT_FAULTS = 7
EXIT_NOTHING = 8


@frozen(slots=True)
class Result:
    """Exit code, value for programs and text for people."""

    code: int
    value: object
    text: str

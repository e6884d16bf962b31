"""What a check of a configuration finds."""

from enum import StrEnum

from attrs import frozen

__all__ = ["Finding", "Severity"]


class Severity(StrEnum):
    """How much a finding matters.

    ERROR makes the configuration unusable, NEVER is an entry that can never match or
    have an effect, CONTRADICTION two values that exclude each other, and NOTE something
    that is ignored.
    """

    ERROR = "error"
    NEVER = "never"
    CONTRADICTION = "contradiction"
    NOTE = "note"


@frozen(slots=True)
class Finding:
    """Something to correct in a configuration.

    :param place: the entry and field, as ``routes[name].field``.
    :param remedy: what to do, as an imperative.
    """

    severity: Severity
    place: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.severity}: {self.place}: {self.problem}; {self.remedy}"

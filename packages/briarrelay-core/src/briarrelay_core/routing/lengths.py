"""Length classes of prompts."""

from enum import IntEnum

__all__ = ["LengthClass", "MEDIUM_LIMIT", "SHORT_LIMIT", "class_of"]

SHORT_LIMIT = 8_000
"""Most tokens of a short prompt."""

MEDIUM_LIMIT = 100_000
"""Most tokens of a medium prompt."""


class LengthClass(IntEnum):
    """Prompts that are routed alike."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2

    @property
    def label(self) -> str:
        """Name for logs and reports."""
        return self.name.lower()


def class_of(tokens: int) -> LengthClass:
    """Return the class of a prompt's length in tokens."""
    if tokens <= SHORT_LIMIT:
        return LengthClass.SHORT
    if tokens <= MEDIUM_LIMIT:
        return LengthClass.MEDIUM
    return LengthClass.LONG

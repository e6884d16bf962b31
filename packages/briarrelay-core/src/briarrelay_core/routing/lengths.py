"""Length classes of prompts."""

from enum import IntEnum

__all__ = ["MEDIUM_MAX_TOKENS", "SHORT_MAX_TOKENS", "LengthClass", "length_class_of"]

SHORT_MAX_TOKENS = 8_000
"""Longest prompt, in tokens, that is classed as short."""

MEDIUM_MAX_TOKENS = 100_000
"""Longest prompt, in tokens, that is classed as medium."""


class LengthClass(IntEnum):
    """Length class of a prompt; prompts of one class share routing rules."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2

    @property
    def label(self) -> str:
        """Name for logs and reports."""
        return self.name.lower()


def length_class_of(tokens: int) -> LengthClass:
    """Return the length class of a prompt of a number of tokens."""
    if tokens <= SHORT_MAX_TOKENS:
        return LengthClass.SHORT
    if tokens <= MEDIUM_MAX_TOKENS:
        return LengthClass.MEDIUM
    return LengthClass.LONG

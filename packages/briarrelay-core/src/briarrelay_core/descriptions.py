"""Describes values that were given from outside, for messages and logs."""

from reprlib import Repr

__all__ = ["describe"]

MAX_CHARS = 60
"""Longest description."""

_REPR = Repr()
_REPR.maxlevel = 2
_REPR.maxstring = _REPR.maxlong = _REPR.maxother = 40
_REPR.maxlist = _REPR.maxdict = 3


def describe(value: object) -> str:
    """Return a short text like ``repr()``, whatever the size or nesting of a value."""
    return _REPR.repr(value)[:MAX_CHARS]

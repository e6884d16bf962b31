"""Names of what can crash backend servers: parts of prompts, and whole requests."""

import re
from hashlib import blake2b

__all__ = ["is_request_content", "kind_of_content", "request_content"]

_DIGEST_BYTES = 16

_REQUEST_PREFIX = "request:"
"""Begins the name of a whole request; names of parts have no colon."""

_REQUEST_NAME = re.compile(f"{_REQUEST_PREFIX}[0-9a-f]{{{2 * _DIGEST_BYTES}}}")


def request_content(fingerprint: str, workspace: str) -> str:
    """Return the name of a whole request, empty if its fingerprint is not known.

    :param workspace: of the caller, empty for callers without a key.
    """
    if not fingerprint:
        return ""
    digest = blake2b(f"{fingerprint}\0{workspace}".encode(), digest_size=_DIGEST_BYTES)
    return _REQUEST_PREFIX + digest.hexdigest()


def is_request_content(content: str) -> bool:
    """Return whether a content is a whole request."""
    return _REQUEST_NAME.fullmatch(content) is not None


def kind_of_content(content: str) -> str:
    """Return ``request`` for a whole request, and ``part`` for a part of prompts."""
    return "request" if is_request_content(content) else "part"

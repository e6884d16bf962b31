"""Names of what can crash backend servers: parts of prompts, and whole requests."""

from hashlib import blake2b

__all__ = ["is_request_content", "request_content"]

_REQUEST_PREFIX = "request:"
"""Begins the name of a whole request; parts of prompts have no colon."""

_DIGEST_BYTES = 16


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
    return content.startswith(_REQUEST_PREFIX)

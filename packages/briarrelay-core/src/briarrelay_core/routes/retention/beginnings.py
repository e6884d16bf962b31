"""Names of the beginnings of prompts."""

from collections.abc import Sequence
from hashlib import blake2b

from attrs import frozen

from briarrelay_core.ports.route import PromptPart

__all__ = ["MIN_BEGINNING_TOKENS", "Beginning", "beginnings_of"]

MIN_BEGINNING_TOKENS = 1_000
"""Tokens of the shortest beginning that is considered; a shorter one is read within a
few steps of an engine, which is less than its estimated delay is known to."""

_KEY_BYTES = 8


@frozen(slots=True)
class Beginning:
    """One or more parts with which a prompt begins.

    :param key: hash of the parts and of who may use what was read of them.
    :param tokens: tokens of all of them.
    :param added_tokens: tokens by which it is longer than the next shorter beginning.
    """

    key: str
    tokens: int
    added_tokens: int


def beginnings_of(
    layout: Sequence[PromptPart], service: str, workspace: str | None
) -> tuple[Beginning, ...]:
    """Return the beginnings of a prompt, the shortest first.

    :param layout: the parts of the prompt, in order.
    :param workspace: the workspace that may use them, None for all workspaces.
    """
    scope = "*" if workspace is None else f"={workspace}"
    digest = blake2b(f"{service}\0{scope}".encode(), digest_size=_KEY_BYTES)
    found, tokens, counted = [], 0, 0
    for part in layout:
        digest.update(f"\0{part.name}:{part.tokens}".encode())
        tokens += part.tokens
        if tokens < MIN_BEGINNING_TOKENS or tokens == counted:
            continue
        found.append(Beginning(digest.hexdigest(), tokens, tokens - counted))
        counted = tokens
    return tuple(found)

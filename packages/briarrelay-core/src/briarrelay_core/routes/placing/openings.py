"""Cost of the first stream with a short pause limit on an engine.

An engine that generates such streams can not read a long prompt without making them
late; a further stream there adds little to its passes. Streams with the shortest limit
are therefore placed together while their passes allow it, and other engines stay free
for long reads.
"""

from collections.abc import Collection

__all__ = ["opening_cost"]

OPENING_COST = 0.1
"""Cost of an engine without streams of the shortest pause limit to the first such
stream, as a fraction of the loss of a short late stream."""


def opening_cost(
    limit_s: float, shortest_on_engine_s: float, limits_s: Collection[float]
) -> float:
    """Return the cost of an engine that is lost to long reads by a stream.

    It is 0 where all streams have the same limit, for streams with a longer limit than
    others, and where the engine has a stream with such a limit already. It is larger
    the more the stream shortens the longest pass of the engine.

    :param limit_s: longest pause in seconds of the stream to place, 0 for no limit.
    :param shortest_on_engine_s: shortest such limit on the engine, infinite without
        streams.
    :param limits_s: limits of all streams.
    """
    if not limit_s or len(limits_s) < 2 or limit_s > min(limits_s):
        return 0.0
    return OPENING_COST * max(0.0, 1.0 - limit_s / shortest_on_engine_s)

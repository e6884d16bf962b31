"""Which reads every other instance must know before it places a prompt.

A read that makes a pass longer than a stream's pause limit makes that stream late, and
so does a stream that joins the engine during the read. The instance that starts such a
read reports it to all peers at once; other reads follow with the usual digests.
"""

from collections.abc import Iterable

from briarrelay_core.routes.model import EngineProfile

__all__ = ["breaks_pause_limit"]


def breaks_pause_limit(
    profile: EngineProfile, read_s: float, limits_s: Iterable[float]
) -> bool:
    """Return whether a read makes a pass longer than the shortest pause limit.

    :param profile: speed of the engine that reads.
    :param read_s: seconds that the engine spends on the read.
    :param limits_s: longest pauses between events in seconds, of the service's streams;
        0 for no limit.
    """
    shortest_s = min((limit for limit in limits_s if limit), default=float("inf"))
    return profile.pass_s(1, 0) + read_s > shortest_s

"""Simulation of route instances of which some are cut off from backend servers."""

from enum import StrEnum
from functools import partial

from briarrelay_core.ports.route import ForwardRequest, ResponseLost
from properties.crashworld import CallerView, CrashWorld

CONNECT_TIMEOUT_S = 0.12
"""Seconds after which an attempt to connect over a cut is given up."""

UNACKNOWLEDGED_S = 1.0
"""Seconds after which an open connection over a cut fails."""


class Cut(StrEnum):
    """What happens to the connections of an instance that is cut off.

    ``HANG``: open and new ones hang. ``RESET``: open ones are reset, new ones refused.
    ``LIVE``: open ones live on, new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    LIVE = "live"


class CutWorld(CrashWorld):
    """Drives instances of which some lose their connections to backend servers.

    :ivar cuts: kind of the cut, by instance.
    :ivar lost_servers: servers that all instances lose.
    """

    def __init__(self, instance_count: int, server_count: int, **options):
        self.cuts: dict[int, Cut] = {}
        self.lost_servers: set[str] = set()
        super().__init__(instance_count, server_count, **options)

    def cut(self, n: int, kind: Cut) -> None:
        """Cut an instance off from all backend servers."""
        self.cuts[n] = kind
        if kind is Cut.LIVE:
            return
        for key in [key for key in self._attempts if key[0] == n]:
            del self._attempts[key]
            is_reset = kind is Cut.RESET
            lost = ResponseLost(key[1], True, "reading failed", is_closed=is_reset)
            delay_s = 0.001 if is_reset else UNACKNOWLEDGED_S
            self.schedule(delay_s, partial(self.deliver, n, lost))

    def heal(self, n: int) -> None:
        """End the cut of an instance."""
        del self.cuts[n]

    def _forward(self, n: int, effect: ForwardRequest) -> None:
        kind = self.cuts.get(n)
        if kind is None and effect.server not in self.lost_servers:
            super()._forward(n, effect)
            return
        lost = ResponseLost(effect.attempt_id, False, "connecting failed")
        delay_s = CONNECT_TIMEOUT_S if kind is Cut.HANG else 0.001
        self.schedule(delay_s, partial(self.deliver, n, lost))

    def request_steadily(
        self, per_s: float, seconds: float, route: str = "chat", fingerprint: str = ""
    ) -> list[CallerView]:
        """Let each instance get requests at equal distances; return their views.

        :param fingerprint: that of all requests; by default each has its own.
        """
        views: list[CallerView] = []

        def arrive(n: int) -> None:
            views.append(self.send(n, (), route, fingerprint))

        for n in range(len(self.instances)):
            for number in range(int(per_s * seconds)):
                at = (number + n / len(self.instances)) / per_s
                self.schedule(at, partial(arrive, n))
        self.advance(seconds)
        return views

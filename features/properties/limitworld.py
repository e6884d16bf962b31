"""Simulation of several route instances whose backend servers name limits."""

from collections import defaultdict
from functools import partial

from standins.limits import LimitedServer

from briarrelay_core.ports.route import ForwardRequest, RateLimit, ResponseHead
from properties.crashworld import CallerView, CrashWorld


class LimitWorld(CrashWorld):
    """Drives instances in front of servers that name limits in all responses.

    :ivar limited: servers that name a limit, by name.
    """

    def __init__(self, instance_count: int, server_count: int, **options):
        self.limited: dict[str, LimitedServer] = {}
        self._sent: defaultdict[str, list[float]] = defaultdict(list)
        super().__init__(instance_count, server_count, **options)

    def limit(self, name: str, per_s: float) -> LimitedServer:
        """Let a server name a limit from now on."""
        self.limited[name] = LimitedServer(per_s)
        return self.limited[name]

    def lift(self, name: str) -> None:
        """Let a server name no limit any more."""
        del self.limited[name]

    def make_head(self, attempt_id: int, server: str, **fields) -> ResponseHead:
        limited = self.limited.get(server)
        if limited is not None:
            limited.named_at = min(limited.named_at, self.now)
            fields["limit"] = RateLimit(limited.per_s)
        return super().make_head(attempt_id, server, **fields)

    def run_effects(self, n: int, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, ForwardRequest):
                self._sent[effect.server].append(self.now)
                helpers = {helper.address for helper in effect.helpers}
                for name, limited in self.limited.items():
                    address = self.current_entries[name][1].address
                    if name == effect.server or address in helpers:
                        limited.arrivals.append(self.now)
        super().run_effects(n, effects)

    def sent_to(self, server: str) -> list[float]:
        """Return the times at which requests were forwarded to a server."""
        return self._sent[server]

    def schedule_requests(
        self,
        per_s: float,
        seconds: float,
        route: str = "chat",
        prompt_tokens: int = 5_000,
    ) -> list[CallerView]:
        """Let each instance get requests at random times; return their views, later.

        :param per_s: mean number of requests per second and instance.
        """
        views: list[CallerView] = []

        def arrive(n: int) -> None:
            views.append(self.send(n, (), route, prompt_tokens=prompt_tokens))

        for n in range(len(self.instances)):
            at = self.random.expovariate(per_s)
            while at < seconds:
                self.schedule(at, partial(arrive, n))
                at += self.random.expovariate(per_s)
        return views

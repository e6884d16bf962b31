"""Simulation of route instances, engines and callers in virtual time."""

from collections.abc import Callable
from functools import partial, singledispatchmethod
from heapq import heappop, heappush
from random import Random

from attrs import define, field

from briarrelay_bench.backends import Backends
from briarrelay_bench.delegates import DelegatedRequest, delegate, read_reply
from briarrelay_bench.deployment import (
    HOST,
    make_configuration,
    make_entries,
    make_instances,
)
from briarrelay_bench.packetloss import LossyStreams
from briarrelay_bench.passengine import PassEngine
from briarrelay_bench.routecaller import Caller
from briarrelay_bench.sites import Arrival, Site
from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.digest import DigestReceived, SendDigest
from briarrelay_core.ports.directory import ListTopic, Topic, TopicChange, TopicListed
from briarrelay_core.ports.memory import Release, Reserve
from briarrelay_core.ports.route import (
    AbortAttempt,
    AbortResponse,
    CallerDisconnected,
    DelegateRequest,
    ForwardRequest,
    RelayEnd,
    RelayEvent,
    RelayFullResponse,
    RouteRequest,
    SendErrorResponse,
)
from briarrelay_core.routes.instance import RouteInstance

__all__ = ["RouteFleet"]

WARM_UP_S = 3.0
"""Seconds before the first request, in which instances discover each other."""


@define(slots=True, eq=False)
class RouteFleet:
    """Event loop with the instances of a deployment and simulated backend servers.

    :ivar now: virtual time in seconds.
    :ivar cores: entry instances by number.
    :ivar callers: by number of the arrival.
    :ivar _delegated: delegated requests and their callers, by id at the peer.
    """

    site: Site
    seed: int = 1
    now: float = 0.0
    cores: list[RouteInstance] = field(init=False)
    backends: Backends = field(init=False)
    callers: dict[int, Caller] = field(factory=dict)
    _events: list = field(factory=list)
    _delegated: dict[int, tuple[DelegatedRequest, Caller]] = field(factory=dict)
    _sequence: int = 0
    _instance_by_host: dict[str, int] = field(init=False)
    _random: Random = field(init=False)
    _streams: LossyStreams = field(init=False)

    def __attrs_post_init__(self):
        self._random = Random(self.seed)
        self._streams = LossyStreams(self.site.packet_loss, Random(self.seed))
        self.backends = Backends(self.site, self.schedule, self._deliver_response)
        self.cores = make_instances(self.site)
        self._instance_by_host = {
            core.address.host: n for n, core in enumerate(self.cores)
        }
        for number in range(self.site.instances):
            self.schedule(self._random.random(), partial(self._start, number))

    @property
    def engines(self) -> dict[str, PassEngine]:
        """Engines by name."""
        return self.backends.engines

    def _start(self, number: int) -> None:
        self._perform_all(number, self.cores[number].start(self.now))

    # Event loop

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self._sequence += 1
        heappush(self._events, (self.now + seconds, self._sequence, action))

    def run(self, arrivals: list[Arrival], seconds: float) -> None:
        """Simulate the arrivals and all later events.

        :param seconds: time to simulate after the warm-up.
        """
        for arrival in arrivals:
            self.schedule(WARM_UP_S + arrival.at, partial(self._start_caller, arrival))
        end = WARM_UP_S + seconds
        while True:
            due_times = [core.next_due for core in self.cores]
            due = min((d for d in due_times if d is not None), default=float("inf"))
            event_due = self._events[0][0] if self._events else float("inf")
            if min(due, event_due) > end:
                return
            if event_due <= due:
                self.now, _, action = heappop(self._events)
                action()
            else:
                self.now = max(self.now, due)
                number = due_times.index(due)
                self._perform_all(number, self.cores[number].run_timers(self.now))

    def _deliver(self, number: int, message) -> None:
        self._perform_all(number, self.cores[number].handle(message, self.now))

    def _deliver_response(self, number: int, message) -> None:
        """Deliver a server's message, later if a packet of its stream is lost."""
        attempt_id = getattr(message, "attempt_id", None)
        if attempt_id is None or not self.site.packet_loss:
            self._deliver(number, message)
            return
        arrival = self._streams.arrival_at((number, attempt_id), self.now)
        self.schedule(arrival - self.now, partial(self._deliver, number, message))

    def _perform_all(self, number: int, effects: list) -> None:
        for effect in effects:
            is_delegated = getattr(effect, "request_id", None) in self._delegated
            if is_delegated and not isinstance(effect, ForwardRequest):
                self._pass_back(effect)
            else:
                self._perform(effect, number)

    @singledispatchmethod
    def _perform(self, effect, number: int) -> None:
        """Perform an effect of an instance; effects without a handler are ignored."""

    # Callers

    def _start_caller(self, arrival: Arrival) -> None:
        caller = Caller(arrival, self.now)
        self.callers[arrival.number] = caller
        self._send_attempt(caller)
        self.schedule(caller.idle_timeout_s, partial(self._check_idle_timeout, caller))

    def _send_attempt(self, caller: Caller) -> None:
        arrival = caller.arrival
        local_instances = [
            n
            for n in range(self.site.instances)
            if n % self.site.data_centres == arrival.zone % self.site.data_centres
        ]
        caller.instance = self._random.choice(local_instances)
        caller.attempt += 1
        self._sequence += 1
        caller.request_id = self._sequence
        self.schedule(
            self.site.caller_delay_s,
            partial(self._deliver, caller.instance, self._make_request(caller)),
        )

    def _make_request(self, caller: Caller) -> RouteRequest:
        arrival = caller.arrival
        return RouteRequest(
            request_id=caller.request_id,
            caller_request_id=f"{arrival.number}.{caller.attempt}",
            host=HOST,
            path=f"/{arrival.kind.route}/x",
            time_limit_s=caller.remaining_s(self.now),
            prompt_tokens=arrival.tokens,
            output_tokens=arrival.events * self.site.profile.stride,
            read_layout=lambda: arrival.layout,
            resume_after=str(caller.events) if caller.events else "",
        )

    def _find_caller(self, request_id: int, number: int) -> Caller | None:
        if request_id in self._delegated:
            caller = self._delegated[request_id][1]
            return None if caller.is_over else caller
        for caller in self.callers.values():
            if caller.request_id == request_id and caller.instance == number:
                return None if caller.is_over else caller
        return None

    def _check_idle_timeout(self, caller: Caller) -> None:
        """Disconnect a caller that is idle for too long or past its deadline."""
        if caller.is_over:
            return
        idle_s = self.now - caller.last_activity_at
        if idle_s >= caller.idle_timeout_s or caller.remaining_s(self.now) <= 0:
            caller.end("left", self.now)
            self._deliver(caller.instance, CallerDisconnected(caller.request_id))
            return
        wait_s = min(caller.idle_timeout_s - idle_s, caller.remaining_s(self.now))
        self.schedule(max(0.001, wait_s), partial(self._check_idle_timeout, caller))

    def _reaches_caller_at(self, caller: Caller) -> float:
        at = self.now + self.site.caller_delay_s
        return self._streams.arrival_at(caller.request_id, at)

    def _retry(self, caller: Caller, cause: str, wait_s: float) -> None:
        if not caller.may_retry(wait_s, self.now):
            caller.end(cause, self.now)
            return
        caller.failure_causes.append(cause)
        self.schedule(wait_s, partial(self._resend, caller))

    def _resend(self, caller: Caller) -> None:
        if not caller.is_over:
            self._send_attempt(caller)

    @_perform.register
    def _(self, effect: RelayEvent, number: int) -> None:
        caller = self._find_caller(effect.request_id, number)
        if caller is not None:
            caller.record_event(self._reaches_caller_at(caller))

    @_perform.register
    def _(self, effect: RelayEnd, number: int) -> None:
        caller = self._find_caller(effect.request_id, number)
        if caller is not None:
            caller.end("done", self.now + self.site.caller_delay_s)

    @_perform.register
    def _(self, effect: RelayFullResponse, number: int) -> None:
        caller = self._find_caller(effect.request_id, number)
        if caller is not None:
            caller.record_event(self.now + self.site.caller_delay_s)
            caller.end("done", self.now + self.site.caller_delay_s)

    @_perform.register
    def _(self, effect: AbortResponse, number: int) -> None:
        caller = self._find_caller(effect.request_id, number)
        if caller is not None:
            self._retry(caller, "broken", 0.02)

    @_perform.register
    def _(self, effect: SendErrorResponse, number: int) -> None:
        caller = self._find_caller(effect.request_id, number)
        if caller is None:
            return
        is_refused = isinstance(effect.outcome, NotRun)
        wait_s = effect.outcome.retry_after or 0.02 if is_refused else 0.02
        self._retry(caller, "refused" if is_refused else "failed", wait_s)

    # Backend servers, peers and platform

    @_perform.register
    def _(self, effect: ForwardRequest, number: int) -> None:
        caller = self._find_caller(effect.request_id, number)
        if caller is not None:
            self.backends.forward(effect, number, caller.arrival)

    @_perform.register
    def _(self, effect: DelegateRequest, number: int) -> None:
        caller = self._find_caller(effect.request_id, number)
        if caller is None:
            return
        peer = self._instance_by_host[effect.host]
        self._sequence += 1
        request = self._make_request(caller)
        delegated = delegate(effect, request, number, peer, self._sequence)
        self._delegated[delegated.request.request_id] = (delegated, caller)
        self.schedule(self.site.hop_s, partial(self._deliver, peer, delegated.request))

    def _pass_back(self, effect) -> None:
        """Deliver what a peer relays for a delegated request to the instance."""
        delegated, _ = self._delegated[effect.request_id]
        for message in read_reply(effect, delegated):
            action = partial(self._deliver, delegated.origin, message)
            self.schedule(self.site.hop_s, action)

    def _abort_delegated(self, effect: AbortAttempt, number: int) -> None:
        for request_id, (delegated, _) in self._delegated.items():
            if (delegated.origin, delegated.attempt_id) == (number, effect.attempt_id):
                gone = CallerDisconnected(request_id)
                action = partial(self._deliver, delegated.peer, gone)
                self.schedule(self.site.hop_s, action)

    @_perform.register
    def _(self, effect: AbortAttempt, number: int) -> None:
        self.backends.abort(effect, number)
        self._abort_delegated(effect, number)

    @_perform.register
    def _(self, effect: Reserve, number: int) -> None:
        self.backends.reserve(effect, number)

    @_perform.register
    def _(self, effect: Release, number: int) -> None:
        self.backends.release(effect, number)

    @_perform.register
    def _(self, effect: SendDigest, number: int) -> None:
        received = DigestReceived(effect.digest)
        for address in effect.peers:
            peer = self._instance_by_host[address.host]
            self.schedule(self.site.hop_s, partial(self._deliver, peer, received))

    @_perform.register
    def _(self, effect: ListTopic, number: int) -> None:
        changes = ()
        if effect.topic is Topic.CONFIGURATION:
            changes = (TopicChange("config", make_configuration(self.site)),)
        elif effect.topic is Topic.SERVERS:
            changes = tuple(TopicChange(e.name, e) for e in make_entries(self.site))
        listed = TopicListed(effect.topic, changes, 0, False)
        self.schedule(0.004, partial(self._deliver, number, listed))

"""Handles the requests of routes: admission, placement, attempts and retries."""

from attrs import define, evolve, field

from briarrelay_core.agreement.configuration import Objective
from briarrelay_core.membership.rendezvous import unit_hash
from briarrelay_core.outcomes import Failed, NotRun
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.ports.route import (
    AbortAttempt,
    AbortResponse,
    CallerDisconnected,
    RelayFullResponse,
    RouteRequest,
    SendErrorResponse,
)
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.reasons import FailureReason, RefusalReason, RetryReason
from briarrelay_core.record.record import Entry, Recorder
from briarrelay_core.routes.admission import (
    NO_SERVER_RETRY_S,
    OTHER_INSTANCE_RETRY_S,
    RouteAdmission,
)
from briarrelay_core.routes.attempts import AttemptTable
from briarrelay_core.routes.budget import ServiceRetryBudget
from briarrelay_core.routes.contents import (
    is_request_content,
    kind_of_content,
    request_content,
)
from briarrelay_core.routes.cooperation.delegation import Delegation
from briarrelay_core.routes.deferral import should_defer
from briarrelay_core.routes.load import LoadTable
from briarrelay_core.routes.observations import ServerObservations
from briarrelay_core.routes.placement import Placement
from briarrelay_core.routes.probes import PROBE_JITTER_S
from briarrelay_core.routes.quarantine import SURVIVAL_EVENTS, ContentQuarantine
from briarrelay_core.routes.queueing.feasibility import (
    MIN_BACKLOG_S,
    NoPlace,
    find_no_place,
)
from briarrelay_core.routes.queueing.rejections import RejectionTable
from briarrelay_core.routes.queueing.retryafter import spread_return_s
from briarrelay_core.routes.refusals import RefusalHandler
from briarrelay_core.routes.requeststate import AttemptState, RoutedRequest
from briarrelay_core.routes.reservations import Reservations
from briarrelay_core.routes.retention.tracker import RetentionTracker
from briarrelay_core.routes.selection import ServerSelector, is_too_large
from briarrelay_core.routes.servers import KnownServer, ServerTable
from briarrelay_core.routes.waiting import RETURN_PAUSE_S, remaining_wait_s

__all__ = ["RequestController"]

MAX_REFUSED_ATTEMPTS = 3
"""Attempts of a request that backend servers may refuse without running it, in addition
to the attempts that its route allows."""

MAX_UNDELIVERED_ATTEMPTS = 6
"""Attempts of a request that may fail to reach a server. An unreachable data centre
uses up two of them before it is suspected and gets no further requests."""

PLACEMENT_MARGIN_S = 0.15
"""Seconds by which a paused or limited server must take a request before the end of its
wait; queued requests are placed every 0.1 s."""

_NOT_RUN_REASONS = (RetryReason.SERVER_REFUSED, RetryReason.SERVER_REPLACED)
"""Reasons of retries after an attempt that provably did not run."""

MIN_ATTEMPT_TIME_S = 0.02
"""Shortest time in seconds before its deadline at which a request is still sent."""

RESPONSE_GRACE_S = 0.1
"""Seconds after a request's deadline in which the server's own response is still
awaited."""

STOP_MARGIN_S = 0.2
"""Seconds before the process ends by which a response has to be expected, since it may
take a little longer than those before."""

MAX_SOUND_SILENCE_S = 2.0
"""Silence in seconds after which a request may give up memory that its next attempt
needs; the longest pause that was seen of a sound server is 1.6 s."""

MIN_RETRY_AFTER_S = 0.3
"""Smallest Retry-After in seconds; about the time that a short response takes, after
which a slot becomes free."""

QUARANTINE_RETRY_S = 30.0
"""Smallest Retry-After in seconds for a request with a quarantined content; only
operators or a new release of the servers can change that."""


@define(slots=True, eq=False)
class RequestController:
    """Processes each request of this instance from its arrival to its response.

    An attempt sends a request to one backend server, its lead. For a long prompt,
    further engines, its helpers, read a share of the prompt or hold part of its
    memory.

    :param delegation: set by the instance once its peers are set up.
    :param requests: requests in progress by request id.
    :param rejections: prompts that engines rejected lately.
    :ivar refusals: refuses the requests that are not admitted.
    :ivar retention: records what servers have read.
    :ivar _waiting: queued requests by request id.
    """

    servers: ServerTable
    load: LoadTable
    budget: ServiceRetryBudget
    recorder: Recorder
    reservations: Reservations
    observations: ServerObservations
    selector: ServerSelector
    admission: RouteAdmission = field(factory=RouteAdmission)
    quarantine: ContentQuarantine = field(factory=ContentQuarantine)
    rejections: RejectionTable = field(factory=RejectionTable)
    delegation: Delegation | None = None
    requests: dict[int, RoutedRequest] = field(factory=dict)
    refusals: RefusalHandler = field(init=False)
    retention: RetentionTracker = field(init=False)
    _attempt_table: AttemptTable = field(init=False)
    _waiting: dict[int, RoutedRequest] = field(factory=dict)

    def __attrs_post_init__(self):
        self.refusals = RefusalHandler(self.admission, self.recorder)
        self.quarantine.held_losses = self.observations.held_losses
        self.retention = RetentionTracker(self.load, self.observations.held)
        self._attempt_table = AttemptTable(
            self.servers, self.load, self.reservations, self.observations
        )

    @property
    def attempts(self) -> dict[int, RoutedRequest]:
        """Requests by the id of their active attempt."""
        return self._attempt_table.by_id

    # Arrival

    def on_request(self, request: RouteRequest, now: float) -> list:
        """Admit a caller's request and place it, or refuse it."""
        admission_result = self.admission.check(request)
        if isinstance(admission_result, NotRun):
            return self.refusals.refuse(request, admission_result, now)
        route = admission_result.route
        if request.max_attempts is not None:
            route = evolve(route, attempts=min(route.attempts, request.max_attempts))
        effective_limit_s = route.timeout_s
        if request.time_limit_s is not None:
            effective_limit_s = min(effective_limit_s, request.time_limit_s)
        routed = RoutedRequest(
            request=request,
            route=route,
            service=admission_result.service,
            profile=admission_result.profile,
            workspace=admission_result.workspace,
            retention=admission_result.retention,
            arrived_at=now,
            deadline=now + effective_limit_s,
            content=request_content(request.fingerprint, admission_result.workspace),
        )
        self.requests[request.request_id] = routed
        if not request.is_delegated:
            self.budget.record_request(admission_result.service, now)
        effects = []
        if self._waiting and self.selector.has_limited(routed.service, now):
            # A limited server's next turn belongs to a request that waits for it.
            effects += self.place_waiting(now)
        return effects + self.place(routed, now)

    # Placement

    def place(self, routed: RoutedRequest, now: float) -> list:
        """Send a request to the best server, or queue it until one has room.

        A request that is out of time, too large or has no eligible server is ended; see
        `give_up`. A stream that has begun waits for servers instead, since one may come
        back while its caller is there.
        """
        if routed.deadline - now < MIN_ATTEMPT_TIME_S:
            return self.give_up(routed, now)
        if self._is_too_late_to_end(routed, 0.0, now):
            return self.give_up(routed, now, RefusalReason.DRAINING)
        content = self.quarantine.find(routed.contents, now)
        if content:
            return self._give_up_quarantined(routed, content, now)
        if routed.awaited_retry is not None:
            return self._retry_when_allowed(routed, now)
        peer = self.delegation.choose(routed, now)
        if peer is not None:
            return self._delegate(routed, peer, now)
        eligible_servers = self.selector.candidates(routed, now)
        if eligible_servers and is_too_large(routed, len(eligible_servers)):
            if not routed.is_head_relayed:
                return self.give_up(routed, now, RefusalReason.SERVERS_FULL)
            eligible_servers = []
        accepting_servers = self.rejections.without_full(routed, eligible_servers, now)
        placement = (
            self.selector.choose(routed, accepting_servers, now)
            if accepting_servers
            else None
        )
        no_place = placement and self._find_no_place(
            routed, placement, accepting_servers, now
        )
        if no_place:
            return self._refuse_without_place(routed, no_place, now)
        if (
            placement is not None
            and not should_defer(routed, placement, now)
            and not self._must_wait_for_suspect(routed, now)
        ):
            if self._is_too_late_to_end(routed, placement.expected_s, now):
                return self.give_up(routed, now, RefusalReason.DRAINING)
            self._waiting.pop(routed.request.request_id, None)
            return self._start_attempt(routed, placement, now)
        if not eligible_servers and not self._can_wait_for_server(routed, now):
            peer = (
                self.delegation.find_peer(routed, now) if routed.undelivered else None
            )
            if peer is not None:
                return self._delegate(routed, peer, now)
            return self.give_up(routed, now, self._reason_without_server(routed, now))
        if routed.request.request_id in self._waiting:
            return []
        self._waiting[routed.request.request_id] = routed
        return [IncrementCounter("route.waited")]

    def _is_too_late_to_end(
        self, routed: RoutedRequest, expected_s: float, now: float
    ) -> bool:
        """Return whether a response would not be complete before the process ends.

        One that reaches its deadline before does not count, nor a begun stream, which
        can no longer be refused.

        :param expected_s: seconds until the first event is expected.
        """
        ends_at = self.admission.ends_at
        if routed.is_head_relayed or routed.deadline <= ends_at:
            return False
        takes_s = expected_s + self.observations.times.longest_s(routed)
        return now + takes_s + STOP_MARGIN_S > ends_at

    def _find_no_place(
        self,
        routed: RoutedRequest,
        placement: Placement,
        servers: list[KnownServer],
        now: float,
    ) -> NoPlace | None:
        if routed.is_head_relayed or not routed.is_prompt:
            return None
        if self.load.of(placement.lead, now).read_s <= MIN_BACKLOG_S:
            return None
        names = [server.entry.name for server in servers]
        loads = {name: self.load.of(name, now) for name in names}
        return find_no_place(routed, placement, loads, now)

    def _refuse_without_place(
        self, routed: RoutedRequest, no_place: NoPlace, now: float
    ) -> list:
        """Refuse a prompt that no engine reads in time."""
        routed.room_in_s = no_place.room_in_s
        fields = (
            ("reason", no_place.reason.value),
            ("first_ms", f"{1000 * no_place.first_event_s:.0f}"),
            ("room_in_ms", f"{1000 * no_place.room_in_s:.0f}"),
        )
        return [
            LogEvent("info", "no_place", routed.request.caller_request_id, fields),
            IncrementCounter(f"route.no_place.{no_place.reason.value}"),
            *self.give_up(routed, now, RefusalReason.SERVERS_FULL),
        ]

    def _delegate(self, routed: RoutedRequest, peer: PeerAddress, now: float) -> list:
        """Let a peer send a request that this instance does not send itself."""
        self._waiting.pop(routed.request.request_id, None)
        fields = (("peer", peer.name), ("unreached", str(routed.undelivered)))
        return [
            self._attempt_table.delegate(routed, peer, now),
            LogEvent("info", "delegated", routed.request.caller_request_id, fields),
            IncrementCounter(
                "route.delegated_overload" if routed.is_relief else "route.delegated"
            ),
        ]

    def can_delegate(self, routed: RoutedRequest, now: float) -> bool:
        """Return whether a request whose server is silent may go to a peer instead."""
        if not self.observations.isolation.is_cut_off(routed.service, now):
            return False
        if not self._may_retry(routed, routed.possible_runs + 1, now):
            return False
        if not self.budget.allows(routed.service, now):
            return False
        return self.delegation.find_peer(routed, now) is not None

    def _must_wait_for_suspect(self, routed: RoutedRequest, now: float) -> bool:
        """Return whether a request with suspect contents has to wait for another.

        Of requests with the same suspect content, one after another is sent, until a
        server is known to have survived it or it is quarantined.
        """
        suspects = self.quarantine.suspects(routed.contents)
        if not suspects:
            return False
        share = unit_hash(self.selector.name, routed.request.caller_request_id, "probe")
        jitter_s = PROBE_JITTER_S * self.selector.size_factor * share
        if not self.quarantine.may_probe(suspects, routed.arrived_at, jitter_s, now):
            return True
        return any(
            not suspects.isdisjoint(other.contents)
            for other in self.attempts.values()
            if not other.active_attempt.is_survived
        )

    def record_crash(
        self, routed: RoutedRequest, attempt: AttemptState, now: float
    ) -> list:
        """Record that a server crashed before it had survived the contents."""
        effects = self.quarantine.record_crash(
            routed.contents, attempt.incarnation, attempt.sent_at, now
        )
        return effects + self.end_quarantined(now)

    def record_survival(
        self, routed: RoutedRequest, attempt: AttemptState, now: float
    ) -> list:
        """Record that a server has run a request without a crash.

        The rest of a stream may be shorter than what another server crashed on. A peer
        records the survival of what it was delegated; its failure may hide a crash.
        """
        if attempt.is_survived or attempt.is_delegated:
            return []
        if attempt.is_resumption and attempt.events < SURVIVAL_EVENTS:
            return []
        attempt.is_survived = True
        return self.quarantine.record_survival(routed.contents, now)

    def end_quarantined(self, now: float) -> list:
        """End the requests with contents quarantined since the last call.

        A request goes on if its server has already sent an event.
        """
        effects = []
        for content in self.quarantine.pop_new():
            entry = Entry(
                at=round(now, 3),
                kind="quarantine",
                subject=content,
                outcome="quarantined",
                why=",".join(self.quarantine.servers_of(content)),
            )
            self.recorder.add(entry)
            for routed in list(self.requests.values()):
                attempt = routed.active_attempt
                if content not in routed.contents:
                    continue
                if attempt is None or not attempt.events:
                    _count_active_attempt(routed)
                    effects += self._give_up_quarantined(routed, content, now)
        return effects

    def _give_up_quarantined(
        self, routed: RoutedRequest, content: str, now: float
    ) -> list:
        routed.quarantined_content = content
        reason = (
            RefusalReason.REQUEST_QUARANTINED
            if is_request_content(content)
            else RefusalReason.PROMPT_QUARANTINED
        )
        return self.give_up(routed, now, reason)

    def _can_wait_for_server(self, routed: RoutedRequest, now: float) -> bool:
        """Return whether a request without an eligible server waits for one.

        A stream that has begun waits as long as its caller does, since it can no longer
        be refused. Other requests wait if a paused or limited server is expected to
        take them in their time, and prompts also if an engine rejected them.
        """
        if routed.is_head_relayed:
            return remaining_wait_s(routed, now) > 0
        may_return = routed.has_only_rejections
        resumes_in_s = self.selector.resumes_in_s(
            routed,
            now,
            is_untried=True,
            requests_ahead=self._requests_ahead(routed),
        )
        if may_return and self.selector.has_usable(routed, now):
            resumes_in_s = max(0.0, routed.refused_at + RETURN_PAUSE_S - now)
        if resumes_in_s is None:
            return False
        return resumes_in_s + PLACEMENT_MARGIN_S < remaining_wait_s(routed, now)

    def _requests_ahead(self, routed: RoutedRequest) -> int:
        """Return the number of queued requests that are placed before a request."""
        key = self._queue_key(routed)
        return sum(
            other.service == routed.service and self._queue_key(other) < key
            for other in self._waiting.values()
            if other is not routed
        )

    def _reason_without_server(
        self, routed: RoutedRequest, now: float
    ) -> RefusalReason:
        """Return why no server can get a request."""
        if self.servers.is_evacuated(routed.service):
            return RefusalReason.SERVERS_EVACUATED
        is_limited = self.selector.has_limited(routed.service, now)
        if is_limited and self.selector.resumes_in_s(routed, now) is not None:
            return RefusalReason.SERVERS_LIMITED
        return RefusalReason.NO_ENGINE

    def _start_attempt(
        self, routed: RoutedRequest, placement: Placement, now: float
    ) -> list:
        self._record_probe(routed, placement, now)
        effects = self._attempt_table.start(routed, placement, now)
        return effects + self.retention.on_sent(routed, placement, now)

    def _record_probe(
        self, routed: RoutedRequest, placement: Placement, now: float
    ) -> None:
        """Record that contents of a request that may crash a server are tried again."""
        suspects = self.quarantine.suspects(routed.contents)
        if suspects:
            expected_s = placement.expected_s or routed.route.target_latency_s
            self.quarantine.record_probe(suspects, expected_s, now)

    def end_attempt(self, routed: RoutedRequest, now: float) -> AttemptState:
        """End the active attempt of a request and release its load and memory.

        An attempt that was to replace it is dropped; the request is placed anew.
        """
        self._attempt_table.drop_prepared(routed, now)
        return self._attempt_table.end(routed, now)

    def record_progress(self, routed: RoutedRequest, now: float) -> None:
        """Record that the active attempt of a request goes on; it is not replaced."""
        routed.active_attempt.progress_at = now
        self._attempt_table.drop_prepared(routed, now)

    def on_granted(self, attempt_id: int, now: float) -> list:
        """Send a request after all its memory has been reserved."""
        if attempt_id in self._attempt_table.prepared:
            return self._move_to_prepared(self._attempt_table.prepared[attempt_id], now)
        routed = self.attempts[attempt_id]
        placement = routed.active_attempt.pending_placement
        routed.active_attempt.pending_placement = None
        reserved_at = routed.active_attempt.sent_at
        routed.active_attempt.sent_at = routed.active_attempt.progress_at = now
        if not self._may_send_reserved(placement, reserved_at, now):
            return self.on_denied(attempt_id, "", now)
        return [self._attempt_table.forward(routed, placement, now)]

    def _may_send_reserved(
        self, placement: Placement, reserved_at: float, now: float
    ) -> bool:
        """Return whether a request may still be sent after its memory was reserved."""
        names = (placement.lead, *placement.helpers)
        if not all(self.servers.is_usable(name, now) for name in names):
            return False
        allowances = self.observations.allowances
        if not allowances:
            return True
        servers = [(name, self.servers.get(name).entry.born) for name in names]
        return allowances.admit_reserved(servers, reserved_at, now)

    def on_denied(self, attempt_id: int, engine: str, now: float) -> list:
        """Queue a request again because its memory could not be reserved.

        The attempt is not counted, since nothing was sent. If it was to replace another
        attempt, that one goes on.

        :param engine: the engine that denied the reservation, empty if a server of the
            placement became unusable while memory was being reserved.
        """
        prepared = self._attempt_table.prepared.get(attempt_id)
        routed = prepared or self.attempts[attempt_id]
        if engine:
            routed.exclude(engine, now)
        if prepared:
            self._attempt_table.drop_prepared(routed, now)
            return []
        self.end_attempt(routed, now)
        routed.tried.pop()
        routed.attempt_count -= 1
        if remaining_wait_s(routed, now) < 0:
            return self.give_up(routed, now, RefusalReason.SERVERS_FULL)
        self._waiting[routed.request.request_id] = routed
        return []

    def place_waiting(self, now: float) -> list:
        """Try to place the queued requests, in the order of `_queue_key`."""
        effects = []
        for routed in sorted(self._waiting.values(), key=self._queue_key):
            effects += self.place(routed, now)
        return effects

    def _queue_key(self, routed: RoutedRequest) -> float:
        """Return the sort key of a queued request; the lowest is placed first.

        The order is first come, first served if the preset's objective is TTFT.
        Otherwise the request whose target latency ends first is placed first.
        """
        if self.admission.preset_collection.in_force.objective is Objective.TTFT:
            return routed.arrived_at
        return routed.arrived_at + routed.route.target_latency_s

    # Retries

    def retry_or_give_up(
        self,
        routed: RoutedRequest,
        reason: RetryReason,
        now: float,
        was_delivered: bool = True,
    ) -> list:
        """Retry a request if that is allowed, otherwise end it.

        A begun stream is not ended by refusals, only retried less often.

        :param was_delivered: whether the last attempt reached its server; only then
            does the retry use the retry budget.
        """
        if reason in _NOT_RUN_REASONS or not was_delivered:
            routed.refused_at = now
        if not self._may_run_again(routed, routed.possible_runs, now):
            return self.give_up(routed, now)
        must_wait = not _has_attempts_left(routed)
        if not must_wait and was_delivered:
            must_wait = not self.budget.withdraw(routed.service, now)
        if must_wait:
            if not routed.is_head_relayed:
                return self.give_up(routed, now)
            routed.awaited_retry = reason
            return self.place(routed, now)
        return self._log_retry(routed, reason, now) + self.place(routed, now)

    def _retry_when_allowed(self, routed: RoutedRequest, now: float) -> list:
        """Retry a begun stream once the budget allows it; until then it is queued.

        One that has been refused often also waits for some time after a refusal.
        """
        is_paused = now - routed.refused_at < RETURN_PAUSE_S
        if (is_paused and not _has_attempts_left(routed)) or not self.budget.withdraw(
            routed.service, now
        ):
            self._waiting[routed.request.request_id] = routed
            return []
        reason, routed.awaited_retry = routed.awaited_retry, None
        return self._log_retry(routed, reason, now) + self.place(routed, now)

    def find_alternative(self, routed: RoutedRequest, now: float) -> Placement | None:
        """Return where a request could be sent now instead of to its active server.

        :returns: None if no further attempt is allowed, if it has a quarantined
            content, or no server that is not ejected has room.
        """
        if not self._may_retry(routed, routed.possible_runs + 1, now):
            return None
        if self.quarantine.find(routed.contents, now):
            return None
        if not self.budget.allows(routed.service, now):
            return None
        health = self.observations.health
        eligible_servers = [
            server
            for server in self.selector.candidates(routed, now)
            if not health.is_ejected(server.entry.name, now)
        ]
        eligible_servers = self.rejections.without_full(routed, eligible_servers, now)
        if not eligible_servers:
            return None
        with self.load.without(routed.active_attempt.attempt_id):
            placement = self.selector.choose(routed, eligible_servers, now)
        if placement is None or should_defer(routed, placement, now):
            return None
        if not placement.memory_shares:
            return placement
        beside = self.selector.choose(routed, eligible_servers, now)
        if beside is not None:
            return beside
        # Only its own memory is missing, as far as is known.
        silent_s = now - routed.active_attempt.progress_at
        if silent_s <= MAX_SOUND_SILENCE_S or routed.excluded:
            return None
        return evolve(placement, replaces_memory=True)

    def move(
        self,
        routed: RoutedRequest,
        placement: Placement,
        reason: RetryReason,
        now: float,
    ) -> list:
        """Abort the active attempt of a request and send the request elsewhere.

        If memory has to be reserved for that, it is reserved first and the active
        attempt goes on until then, unless its own memory is needed.

        :param placement: from :meth:`find_alternative` at the same time.
        """
        if placement.memory_shares and not placement.replaces_memory:
            return self._attempt_table.prepare(routed, placement, now)
        return [
            *self._abort_for_move(routed, reason, now),
            *self._start_attempt(routed, placement, now),
        ]

    def _move_to_prepared(self, routed: RoutedRequest, now: float) -> list:
        """Replace the active attempt by the prepared one, whose memory is reserved."""
        prepared = routed.prepared_attempt
        placement = prepared.pending_placement
        if (
            not self._may_retry(routed, routed.possible_runs + 1, now)
            or not self.budget.allows(routed.service, now)
            or not self._may_send_reserved(placement, prepared.sent_at, now)
        ):
            self._attempt_table.drop_prepared(routed, now)
            return []
        self._record_probe(routed, placement, now)
        return [
            *self._abort_for_move(routed, RetryReason.SERVER_SILENT, now),
            self._attempt_table.send_prepared(routed, now),
        ]

    def drop_old_moves(self, before: float, now: float) -> None:
        """Drop the moves whose memory was requested before a time, but not granted."""
        for routed in list(self._attempt_table.prepared.values()):
            if routed.prepared_attempt.sent_at < before:
                self._attempt_table.drop_prepared(routed, now)

    def _abort_for_move(
        self, routed: RoutedRequest, reason: RetryReason, now: float
    ) -> list:
        """Abort the active attempt of a request, which is sent elsewhere at once."""
        attempt = self._attempt_table.end(routed, now)
        routed.possible_runs += 1
        self.budget.withdraw(routed.service, now)
        return [
            AbortAttempt(attempt.attempt_id),
            # Its memory is released first, since the placement may need it.
            *self.reservations.pop_effects(),
            *self._log_retry(routed, reason, now),
        ]

    def abandon(self, routed: RoutedRequest, reason: RetryReason, now: float) -> list:
        """End the active attempt of a request, which is retried if that is allowed."""
        attempt = self.end_attempt(routed, now)
        routed.possible_runs += 1
        return [
            AbortAttempt(attempt.attempt_id),
            *self.retry_or_give_up(routed, reason, now),
        ]

    def _log_retry(
        self, routed: RoutedRequest, reason: RetryReason, now: float
    ) -> list:
        fields = (
            ("reason", reason.value),
            ("server", routed.tried[-1]),
            ("runs", str(routed.possible_runs)),
            ("last_event", routed.last_event),
            ("left_s", f"{routed.deadline - now:.2f}"),
        )
        log_event = LogEvent("info", "retry", routed.request.caller_request_id, fields)
        self._record(routed, "retry", reason.value, now)
        return [log_event, IncrementCounter(f"retried.{reason.value}")]

    def _may_retry(self, routed: RoutedRequest, possible_runs: int, now: float) -> bool:
        """Return whether a request may get another attempt, if the budget allows it.

        :param possible_runs: attempts after which it may have run.
        """
        return _has_attempts_left(routed) and self._may_run_again(
            routed, possible_runs, now
        )

    def _may_run_again(
        self, routed: RoutedRequest, possible_runs: int, now: float
    ) -> bool:
        """Return whether a request may run again, however often it was refused.

        :param possible_runs: attempts after which it may have run.
        """
        if possible_runs and not routed.route.is_repeatable:
            return False
        if possible_runs >= routed.route.attempts:
            return False
        return routed.deadline - now >= MIN_ATTEMPT_TIME_S

    # Final responses

    def give_up(
        self,
        routed: RoutedRequest,
        now: float,
        reason: RefusalReason = RefusalReason.SERVERS_REFUSED,
    ) -> list:
        """End a request without another attempt.

        If the caller already has the head of a response, that response is aborted.
        Otherwise the caller gets the error response of a server if there is one, a
        failure if the request may have run, and a refusal if it has not.

        :param reason: reason of the refusal.
        """
        if routed.is_head_relayed:
            return self.close(routed, "cut", now) + [
                AbortResponse(routed.request.request_id)
            ]
        if routed.failed_attempt_id:
            effects = self.close(routed, "passed_failure", now)
            relay = RelayFullResponse(
                routed.request.request_id, routed.failed_attempt_id
            )
            return [*effects, relay]
        if routed.possible_runs:
            is_out_of_time = routed.deadline - now < MIN_ATTEMPT_TIME_S
            failure_reason = (
                FailureReason.DEADLINE if is_out_of_time else FailureReason.SERVER_LOST
            )
            return self._fail(routed, Failed(failure_reason), now)
        retry_after_s = self._retry_after(routed, reason, now)
        content = routed.quarantined_content
        detail = f"{kind_of_content(content)} {content}." if content else ""
        return self._refuse_admitted(
            routed, NotRun(reason, retry_after=retry_after_s, detail=detail), now
        )

    def _retry_after(
        self, routed: RoutedRequest, reason: RefusalReason, now: float
    ) -> float:
        """Return the Retry-After in seconds, with jitter to spread out retries.

        While every server is paused or limited, it is the time until one of them takes
        a request besides those that wait.
        """
        share = unit_hash(routed.request.caller_request_id, "spread")
        jitter = 1.0 + share
        if routed.peer_retry_after_s:
            return routed.peer_retry_after_s
        if routed.quarantined_content:
            return QUARANTINE_RETRY_S * jitter
        resumes_in_s = self.selector.resumes_in_s(
            routed, now, requests_ahead=self._requests_ahead(routed)
        )
        if resumes_in_s is not None:
            return resumes_in_s + MIN_RETRY_AFTER_S * jitter
        if routed.room_in_s:
            left_s = routed.deadline - now
            return spread_return_s(routed.room_in_s, left_s, share)
        if reason in (RefusalReason.NO_ENGINE, RefusalReason.SERVERS_EVACUATED):
            return NO_SERVER_RETRY_S * jitter
        if reason is RefusalReason.DRAINING:
            return OTHER_INSTANCE_RETRY_S
        return max(MIN_RETRY_AFTER_S, routed.route.target_latency_s / 2) * jitter

    def _fail(self, routed: RoutedRequest, outcome: Failed, now: float) -> list:
        effects = self.close(routed, outcome.reason.value, now)
        effects.append(IncrementCounter(f"failed.{outcome.reason.value}"))
        effects.append(SendErrorResponse(routed.request.request_id, outcome))
        return effects

    def _refuse_admitted(
        self, routed: RoutedRequest, refusal: NotRun, now: float
    ) -> list:
        effects = self.close(routed, refusal.reason.value, now)
        effects.append(IncrementCounter(f"refused.{refusal.reason.value}"))
        effects.append(SendErrorResponse(routed.request.request_id, refusal))
        return effects

    def close(self, routed: RoutedRequest, outcome: str, now: float) -> list:
        """Remove a request, abort its active attempt if there is one, and log its end.

        :param outcome: the outcome for the log and the audit record.
        """
        request = routed.request
        effects = []
        attempt = routed.active_attempt
        if attempt is not None:
            self.end_attempt(routed, now)
            effects.append(AbortAttempt(attempt.attempt_id))
        self.requests.pop(request.request_id, None)
        self._waiting.pop(request.request_id, None)
        # The instance that has the caller records the request itself.
        kind = "delegated_request" if request.is_delegated else "request"
        self._record(routed, kind, outcome, now)
        fields = routed.log_fields(outcome, attempt, self.admission.version, now)
        effects.append(LogEvent("info", kind, request.caller_request_id, fields))
        return effects

    def _record(
        self, routed: RoutedRequest, kind: str, outcome: str, now: float
    ) -> None:
        reasons = list(routed.tried)
        if routed.quarantined_content:
            content = routed.quarantined_content
            reasons.append(f"{kind_of_content(content)} {content}")
        entry = Entry(
            at=round(now, 3),
            kind=kind,
            subject=routed.request.caller_request_id,
            workspace=routed.workspace,
            outcome=outcome,
            why=",".join(reasons),
        )
        self.recorder.add(entry)

    def on_caller_disconnected(self, message: CallerDisconnected, now: float) -> list:
        """Abort the request of a caller that disconnected."""
        routed = self.requests.get(message.request_id)
        if routed is None:
            return []
        effects = self.close(routed, "caller_gone", now)
        return [
            *effects,
            IncrementCounter("route.caller_gone"),
            *self.place_waiting(now),
        ]

    def expire_requests(self, now: float) -> list:
        """Answer requests that passed their deadline or waited too long."""
        effects = []
        for routed in list(self.requests.values()):
            if now >= routed.deadline + RESPONSE_GRACE_S:
                _count_active_attempt(routed)
                effects += self.give_up(routed, now, RefusalReason.CANNOT_FINISH)
            elif routed.active_attempt is None and remaining_wait_s(routed, now) < 0:
                effects += self.give_up(routed, now, RefusalReason.SERVERS_FULL)
        return effects

    def answer_unbegun(self, now: float) -> list:
        """End the requests whose response has not begun, as the process ends."""
        effects = []
        for routed in list(self.requests.values()):
            if routed.is_head_relayed:
                continue
            _count_active_attempt(routed)
            effects += self.give_up(routed, now, RefusalReason.DRAINING)
        return effects


def _has_attempts_left(routed: RoutedRequest) -> bool:
    """Return whether a request was refused, and not delivered, less often than it may.

    Only requests that have not begun end for this.
    """
    if routed.undelivered > MAX_UNDELIVERED_ATTEMPTS:
        return False
    delivered = routed.attempt_count - routed.undelivered
    return delivered < routed.route.attempts + MAX_REFUSED_ATTEMPTS


def _count_active_attempt(routed: RoutedRequest) -> None:
    """Count the active attempt of a request as a possible run, if it has been sent."""
    attempt = routed.active_attempt
    if attempt is not None and attempt.is_sent:
        routed.possible_runs += 1

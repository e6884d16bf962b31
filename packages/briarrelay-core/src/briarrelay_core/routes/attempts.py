"""Attempts to send requests to backend servers, with their load and their memory."""

from attrs import define, field

from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.ports.route import (
    DelegateRequest,
    ForwardRequest,
    HelperAddress,
)
from briarrelay_core.routes.load import LoadTable
from briarrelay_core.routes.observations import ServerObservations
from briarrelay_core.routes.placement import Placement
from briarrelay_core.routes.placing.longreads import breaks_pause_limit
from briarrelay_core.routes.requeststate import AttemptState, RoutedRequest
from briarrelay_core.routes.reservations import Reservations
from briarrelay_core.routes.servers import ServerTable

__all__ = ["AttemptTable"]


@define(slots=True, eq=False)
class AttemptTable:
    """Starts and ends attempts.

    :param by_id: requests by the id of their active attempt.
    :param prepared: requests by the id of their prepared attempt.
    """

    servers: ServerTable
    load: LoadTable
    reservations: Reservations
    observations: ServerObservations
    by_id: dict[int, RoutedRequest] = field(factory=dict)
    prepared: dict[int, RoutedRequest] = field(factory=dict)
    _last_id: int = 0

    def start(self, routed: RoutedRequest, placement: Placement, now: float) -> list:
        """Start an attempt: send the request, or reserve its memory first."""
        attempt = self._add(routed, placement, now)
        self._activate(routed, attempt, now)
        if not placement.memory_shares:
            return [self.forward(routed, placement, now)]
        return self._reserve(attempt, placement, now)

    def delegate(
        self, routed: RoutedRequest, peer: PeerAddress, now: float
    ) -> DelegateRequest:
        """Start an attempt of a peer, which may use the attempts that are left."""
        self._last_id += 1
        max_attempts = routed.route.attempts - routed.possible_runs
        if routed.is_relief:
            # The others are left for the loss of the peer.
            max_attempts = 1
        attempt = AttemptState(
            attempt_id=self._last_id,
            server=peer.name,
            server_born=0.0,
            helpers=(),
            sent_at=now,
            expected_s=0.0,
            progress_at=now,
            is_delegated=True,
            max_runs=max_attempts,
        )
        self._activate(routed, attempt, now)
        routed.delegated_count += 1
        routed.last_incarnation = ""
        routed.refused_at = float("-inf")
        attempt.is_resumption = bool(routed.resume_after)
        return DelegateRequest(
            request_id=routed.request.request_id,
            attempt_id=attempt.attempt_id,
            peer=peer.name,
            host=peer.host,
            port=peer.digest_port,
            time_limit_s=routed.deadline - now,
            max_attempts=max_attempts,
            resume_after=routed.resume_after,
            needs_new_connection=not routed.route.is_repeatable,
        )

    def prepare(self, routed: RoutedRequest, placement: Placement, now: float) -> list:
        """Reserve the memory of an attempt that is to replace the active one.

        Nothing is sent, and the active attempt goes on.
        """
        attempt = self._add(routed, placement, now)
        routed.prepared_attempt = attempt
        self.prepared[attempt.attempt_id] = routed
        return self._reserve(attempt, placement, now)

    def send_prepared(self, routed: RoutedRequest, now: float) -> ForwardRequest:
        """Make the prepared attempt of a request the active one, and send it.

        The request has no active attempt any more, and the memory is reserved.
        """
        attempt, routed.prepared_attempt = routed.prepared_attempt, None
        del self.prepared[attempt.attempt_id]
        placement, attempt.pending_placement = attempt.pending_placement, None
        attempt.sent_at = attempt.progress_at = now
        self._activate(routed, attempt, now)
        return self.forward(routed, placement, now)

    def drop_prepared(self, routed: RoutedRequest, now: float) -> None:
        """Release the load and memory of the prepared attempt, if there is one."""
        attempt, routed.prepared_attempt = routed.prepared_attempt, None
        if attempt is not None:
            del self.prepared[attempt.attempt_id]
            self._release(attempt, now)

    def _add(
        self, routed: RoutedRequest, placement: Placement, now: float
    ) -> AttemptState:
        """Return a new attempt, whose load is added."""
        self._last_id += 1
        self._add_load(routed, placement, self._last_id, now)
        for name in (placement.lead, *placement.helpers):
            born = self.servers.get(name).entry.born
            self.observations.allowances.record_send(name, born, now)
        return AttemptState(
            attempt_id=self._last_id,
            server=placement.lead,
            server_born=self.servers.get(placement.lead).entry.born,
            helpers=placement.helpers,
            sent_at=now,
            expected_s=placement.expected_s,
            progress_at=now,
            saved_s=placement.saved_s,
            held_s=placement.held_s,
            has_whole_prompt=not placement.memory_shares,
        )

    def _activate(
        self, routed: RoutedRequest, attempt: AttemptState, now: float
    ) -> None:
        routed.attempt_count += 1
        routed.tried.append(attempt.server)
        routed.active_attempt = attempt
        self.by_id[attempt.attempt_id] = routed
        self.observations.pauses.record_send(attempt.server, now)

    def _reserve(self, attempt: AttemptState, placement: Placement, now: float) -> list:
        attempt.pending_placement = placement
        memory_shares = [
            (self.servers.get(name).entry, tokens)
            for name, tokens in placement.memory_shares
        ]
        return self.reservations.reserve_all(attempt.attempt_id, memory_shares, now)

    def forward(
        self, routed: RoutedRequest, placement: Placement, now: float
    ) -> ForwardRequest:
        """Return the effect that sends the request of an attempt."""
        attempt_id = routed.active_attempt.attempt_id
        routed.last_incarnation = routed.active_attempt.incarnation
        routed.refused_at = float("-inf")
        routed.active_attempt.is_resumption = bool(routed.resume_after)
        reserved = self.reservations.ids_of(attempt_id)
        entry = self.servers.get(placement.lead).entry
        return ForwardRequest(
            request_id=routed.request.request_id,
            attempt_id=attempt_id,
            server=entry.name,
            host=entry.host,
            port=entry.port,
            time_limit_s=routed.deadline - now,
            workspace=routed.workspace,
            helpers=tuple(
                HelperAddress(
                    self.servers.get(name).entry.address, reserved.get(name, "")
                )
                for name in placement.helpers
            ),
            resume_after=routed.resume_after,
            needs_new_connection=not routed.route.is_repeatable
            or self.observations.isolation.is_cut_off(routed.service, now),
        )

    def _add_load(
        self, routed: RoutedRequest, placement: Placement, attempt_id: int, now: float
    ) -> None:
        request = routed.request
        helper_tokens = dict(placement.memory_shares)
        lead_tokens = (
            request.prompt_tokens + request.output_tokens - sum(helper_tokens.values())
        )
        self.load.add(
            attempt_id,
            placement.lead,
            now,
            tokens=lead_tokens if routed.is_prompt else 0,
            read_s=placement.read_s,
            limit_s=routed.route.gap_limit_s or 0.0,
            weight=routed.weight,
        )
        for helper in placement.helpers:
            self.load.add(
                attempt_id,
                helper,
                now,
                tokens=helper_tokens.get(helper, 0),
                read_s=placement.read_s,
                is_lead=False,
            )
        if routed.is_prompt and breaks_pause_limit(
            routed.profile, placement.read_s, self.load.limits_s
        ):
            self.load.has_long_read = True

    def end(self, routed: RoutedRequest, now: float) -> AttemptState:
        """End the active attempt of a request and release its load and memory."""
        attempt = routed.active_attempt
        routed.active_attempt = None
        del self.by_id[attempt.attempt_id]
        self._release(attempt, now)
        return attempt

    def _release(self, attempt: AttemptState, now: float) -> None:
        self.load.remove(attempt.attempt_id)
        self.reservations.release(attempt.attempt_id, now)

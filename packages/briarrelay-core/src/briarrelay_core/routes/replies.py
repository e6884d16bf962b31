"""What backend servers say to the sends of a desk, and their silence."""

from attrs import define

from briarrelay_core.ports.observe import Count, Note
from briarrelay_core.ports.route import (
    AbortSend,
    HeadKind,
    RelayEnd,
    RelayEvent,
    RelayHead,
    RelayWhole,
    SendDone,
    SendEvent,
    SendHead,
    SendLost,
)
from briarrelay_core.reasons import RetryReason
from briarrelay_core.routes.desk import RouteDesk
from briarrelay_core.routes.model import RouteKind
from briarrelay_core.routes.routed import RoutedRequest, SendState

__all__ = ["ReplyHandler"]

FIRST_EVENT_SLACK_S = 0.35
"""Seconds beyond the expectation after which a first event counts as missing."""

FIRST_EVENT_FACTOR = 2.0
"""Times the expectation after which a first event counts as missing."""

MIN_GAP_TIMEOUT_S = 0.8
"""Shortest silence of a stream in seconds that counts as lost."""

GAP_TIMEOUT_FACTOR = 2.5
"""Times the longest pause on time after which a stream counts as lost."""

READING_FACTOR = 1.5
"""Times the reading known to be in progress by which a server may be silent longer."""

CALLER_MIN_PATIENCE_S = 2.0
"""Seconds of silence that every caller of a stream bears, by the users' pages."""

CALLER_TARGET_FACTOR = 4.0
"""Times the target latency that it bears."""

CALLER_GAP_FACTOR = 8.0
"""Times the longest pause on time that it bears."""

MOVE_FRACTION = 0.65
"""Part of a caller's patience after which its stream goes on elsewhere; the rest is for
reading the prompt again."""

SAFE_TIMEOUT_FACTOR = 3.0
"""Times the target latency after which a repeatable call counts as lost."""


@define(slots=True, eq=False)
class ReplyHandler:
    """Applies what backend servers say to the requests of a desk."""

    desk: RouteDesk

    def on_head(self, message: SendHead, now: float) -> list:
        """Take the head of an answer."""
        routed = self.desk.sends.get(message.send_id)
        if routed is None:
            return []
        send = routed.active_send
        self.desk.evidence.note_heard(send.server, now)
        send.kind = message.kind
        send.status = message.status
        send.is_stream = message.is_stream
        send.progress_at = now
        if message.kind is HeadKind.NOT_RUN:
            return self._on_refused(routed, message, now)
        if message.kind is HeadKind.OTHER_SERVER:
            return self._on_replaced(routed, now)
        if message.kind is HeadKind.UNPROVEN:
            return self._on_unusable(routed, "unproven answer", now)
        return []

    def _on_refused(self, routed: RoutedRequest, message: SendHead, now: float) -> list:
        send = self.desk.end_send(routed, now)
        blamed = self._server_by_address(message.at_fault, send) or send.server
        fields = (
            ("server", send.server),
            ("blamed", blamed),
            ("status", str(message.status)),
        )
        note = Note("info", "not_run", routed.request.caller_id, fields)
        if blamed != send.server:
            routed.excluded.add(blamed)
            self.desk.evidence.health.note_failure(blamed, now)
        effects = [note, AbortSend(send.send_id)]
        return effects + self.desk.retry_or_give_up(
            routed, RetryReason.SERVER_REFUSED, now
        )

    def _server_by_address(self, address: str, send: SendState) -> str:
        """Return the name of the engine of a send that has an address."""
        if not address:
            return ""
        for name in (send.server, *send.helpers):
            known = self.desk.servers.get(name)
            if known is not None and known.entry.address == address:
                return name
        return ""

    def _on_replaced(self, routed: RoutedRequest, now: float) -> list:
        send = self.desk.end_send(routed, now)
        known = self.desk.servers.get(send.server)
        if known is not None:
            known.is_address_reused = True
        fields = (("server", send.server),)
        note = Note("warning", "server_replaced", routed.request.caller_id, fields)
        effects = [note, AbortSend(send.send_id)]
        return effects + self.desk.retry_or_give_up(
            routed, RetryReason.SERVER_REPLACED, now
        )

    def on_event(self, message: SendEvent, now: float) -> list:
        """Pass an event on unless the caller has it already."""
        routed = self.desk.sends.get(message.send_id)
        if routed is None:
            return []
        send = routed.active_send
        if routed.is_head_relayed:
            routed.longest_gap_s = max(routed.longest_gap_s, now - routed.last_event_at)
        routed.last_event_at = now
        send.progress_at = now
        self.desk.evidence.note_heard(send.server, now)
        send.events += 1
        effects = []
        if send.events == 1:
            self._on_first_event(routed, now)
        if not routed.is_head_relayed:
            routed.is_head_relayed = True
            routed.first_event_at = now
            effects.append(RelayHead(routed.request.request_id, send.send_id))
        if not _is_newer(message.event_id, routed.resume_after):
            return [*effects, Count("route.event_repeated")]
        routed.last_event = message.event_id
        effects.append(RelayEvent(routed.request.request_id, message.data))
        return effects

    def _on_first_event(self, routed: RoutedRequest, now: float) -> None:
        send = routed.active_send
        self.desk.load.note_read(send.send_id)
        taken = now - send.sent_at
        self.desk.evidence.slowdown.observe(send.server, send.expected_s, taken, now)
        self.desk.evidence.health.note_success(send.server)

    def on_done(self, message: SendDone, now: float) -> list:
        """Take word that an answer is whole."""
        desk = self.desk
        routed = desk.sends.get(message.send_id)
        if routed is None:
            return []
        send = routed.active_send
        if send.kind is HeadKind.FAILURE:
            return self._on_failure(routed, now)
        if routed.is_head_relayed and not send.is_stream:
            return self._on_unusable(routed, "not a stream", now)
        desk.evidence.health.note_success(send.server)
        request_id = routed.request.request_id
        if routed.is_head_relayed:
            relay = [RelayEnd(request_id)]
        else:
            routed.first_event_at = now
            relay = [RelayWhole(request_id, send.send_id)]
        desk.load.remove(send.send_id)
        effects = [
            effect
            for effect in desk.close(routed, "done", now)
            if not isinstance(effect, AbortSend)
        ]
        return effects + relay + desk.place_waiting(now)

    def _on_failure(self, routed: RoutedRequest, now: float) -> list:
        desk = self.desk
        send = desk.end_send(routed, now)
        routed.possible_runs += 1
        routed.failed_send_id = send.send_id
        if send.status < 500:
            return desk.give_up(routed, now) + desk.place_waiting(now)
        desk.evidence.health.note_failure(send.server, now)
        fields = (("server", send.server), ("status", str(send.status)))
        note = Note("info", "server_failed", routed.request.caller_id, fields)
        return [
            note,
            *desk.retry_or_give_up(routed, RetryReason.SERVER_FAILED, now),
            *desk.place_waiting(now),
        ]

    def on_lost(self, message: SendLost, now: float) -> list:
        """Take word that there will be no whole answer."""
        routed = self.desk.sends.get(message.send_id)
        if routed is None:
            return []
        if message.is_sent:
            return self._on_unusable(routed, message.problem, now)
        send = self.desk.end_send(routed, now)
        self.desk.evidence.health.note_failure(send.server, now, certain=True)
        self.desk.evidence.note_unreached(send.server, now)
        routed.undelivered += 1
        return [
            self._make_lost_note(routed, send, message.problem),
            *self.desk.retry_or_give_up(
                routed, RetryReason.SERVER_LOST, now, has_arrived=False
            ),
            *self.desk.place_waiting(now),
        ]

    def _on_unusable(self, routed: RoutedRequest, problem: str, now: float) -> list:
        """Deal with a send after which the request may have run."""
        send = self.desk.end_send(routed, now)
        routed.possible_runs += 1
        self.desk.evidence.health.note_failure(send.server, now)
        return [
            self._make_lost_note(routed, send, problem),
            AbortSend(send.send_id),
            *self.desk.retry_or_give_up(routed, RetryReason.SERVER_LOST, now),
            *self.desk.place_waiting(now),
        ]

    def _make_lost_note(
        self, routed: RoutedRequest, send: SendState, problem: str
    ) -> Note:
        fields = (
            ("server", send.server),
            ("problem", problem),
            ("events", str(send.events)),
        )
        return Note("info", "send_lost", routed.request.caller_id, fields)

    def check_silence(self, now: float) -> list:
        """Move requests that may be repeated off servers that went silent."""
        effects = []
        for routed in list(self.desk.requests.values()):
            send = routed.active_send
            if send is None or send.pending_placement is not None:
                continue
            if not routed.route.is_repeatable:
                continue
            patience = _silence_timeout_s(routed, send)
            patience += READING_FACTOR * self._read_allowance_s(send, now)
            silent_s = now - send.progress_at
            if silent_s > patience:
                effects += self._on_silent(routed, now)
            elif self._should_move(routed, silent_s, now):
                effects += self._move(routed, now)
        return effects

    def _should_move(self, routed: RoutedRequest, silent_s: float, now: float) -> bool:
        """Return whether a caller would leave before a reading engine writes on.

        It is moved only to an engine that writes before the caller leaves.
        """
        patience_s = _caller_patience_s(routed)
        if silent_s <= MOVE_FRACTION * patience_s:
            return False
        chooser = self.desk.chooser
        known = chooser.candidates(routed, now)
        placement = chooser.choose(routed, known, now) if known else None
        return placement is not None and placement.expected_s < patience_s - silent_s

    def _read_allowance_s(self, send: SendState, now: float) -> float:
        """Return seconds that the engines of a send may read without a word."""
        load = self.desk.load
        names = (send.server, *(() if send.events else send.helpers))
        return max(load.reading_s(name, now) for name in names)

    def _on_silent(self, routed: RoutedRequest, now: float) -> list:
        desk = self.desk
        send = routed.active_send
        is_fully_silent = (
            desk.evidence.last_response_at.get(send.server, 0.0) <= send.progress_at
        )
        desk.evidence.health.note_failure(send.server, now, certain=is_fully_silent)
        return self._move(routed, now)

    def _move(self, routed: RoutedRequest, now: float) -> list:
        """Send a request to another server, if it may still be sent."""
        desk = self.desk
        send = routed.active_send
        if routed.possible_runs + 1 >= routed.route.attempts:
            send.progress_at = now
            return []
        desk.end_send(routed, now)
        routed.possible_runs += 1
        fields = (
            ("server", send.server),
            ("silent_s", f"{now - send.progress_at:.2f}"),
            ("expected_s", f"{send.expected_s:.2f}"),
            ("events", str(send.events)),
        )
        return [
            Note("info", "server_silent", routed.request.caller_id, fields),
            AbortSend(send.send_id),
            *desk.retry_or_give_up(routed, RetryReason.SERVER_SILENT, now),
        ]


def _silence_timeout_s(routed: RoutedRequest, send: SendState) -> float:
    """Return seconds of silence after which a server counts as lost."""
    if routed.route.kind is not RouteKind.STREAM:
        return SAFE_TIMEOUT_FACTOR * routed.route.target_latency_s
    if not send.events:
        return FIRST_EVENT_SLACK_S + FIRST_EVENT_FACTOR * send.expected_s
    return max(
        MIN_GAP_TIMEOUT_S, GAP_TIMEOUT_FACTOR * (routed.route.gap_limit_s or 0.0)
    )


def _caller_patience_s(routed: RoutedRequest) -> float:
    """Return seconds of silence after which the caller leaves a stream."""
    if routed.route.kind is not RouteKind.STREAM:
        return float("inf")
    target_s, gap_s = routed.route.target_latency_s, routed.route.gap_limit_s or 0.0
    return max(
        CALLER_MIN_PATIENCE_S,
        CALLER_TARGET_FACTOR * target_s,
        CALLER_GAP_FACTOR * gap_s,
    )


def _is_newer(event_id: str, last: str) -> bool:
    if not last:
        return True
    try:
        return int(event_id) > int(last)
    except ValueError:
        return event_id != last

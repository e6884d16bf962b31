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
from briarrelay_core.routes.routed import RoutedRequest, Sending

__all__ = ["ReplyKeeper"]

FIRST_EVENT_S = 0.35
"""Seconds beyond the expectation after which a first event counts as missing."""

FIRST_EVENT_FACTOR = 2.0
"""Times the expectation after which a first event counts as missing."""

GAP_S = 0.8
"""Shortest silence of a stream in seconds that counts as lost."""

GAP_FACTOR = 2.5
"""Times the longest pause on time after which a stream counts as lost."""

READING_FACTOR = 1.5
"""Times the reading known to be in progress by which a server may be silent longer."""

CALLER_S = 2.0
"""Seconds of silence that every caller of a stream bears, by the users' pages."""

CALLER_AIM = 4.0
"""Times the target latency that it bears."""

CALLER_GAP = 8.0
"""Times the longest pause on time that it bears."""

LEAVING_PART = 0.65
"""Part of a caller's patience after which its stream goes on elsewhere; the rest is for
reading the prompt again."""

SAFE_FACTOR = 3.0
"""Times the target latency after which a repeatable call counts as lost."""


@define(slots=True, eq=False)
class ReplyKeeper:
    """Applies what backend servers say to the requests of a desk."""

    desk: RouteDesk

    def on_head(self, message: SendHead, now: float) -> list:
        """Take the head of an answer."""
        routed = self.desk.sends.get(message.send_id)
        if routed is None:
            return []
        sending = routed.sending
        self.desk.evidence.note_heard(sending.server, now)
        sending.kind = message.kind
        sending.status = message.status
        sending.is_stream = message.is_stream
        sending.progress_at = now
        if message.kind is HeadKind.NOT_RUN:
            return self._on_refused(routed, message, now)
        if message.kind is HeadKind.OTHER_SERVER:
            return self._on_replaced(routed, now)
        if message.kind is HeadKind.UNPROVEN:
            return self._on_broken(routed, "unproven answer", now)
        return []

    def _on_refused(self, routed: RoutedRequest, message: SendHead, now: float) -> list:
        sending = self.desk.end_send(routed, now)
        blamed = self._server_at(message.at_fault, sending) or sending.server
        fields = (
            ("server", sending.server),
            ("blamed", blamed),
            ("status", str(message.status)),
        )
        note = Note("info", "not_run", routed.request.caller_id, fields)
        if blamed != sending.server:
            routed.avoided.add(blamed)
            self.desk.evidence.health.note_failure(blamed, now)
        effects = [note, AbortSend(sending.send_id)]
        return effects + self.desk.repeat_or_give_up(
            routed, RetryReason.SERVER_REFUSED, now
        )

    def _server_at(self, address: str, sending: Sending) -> str:
        """Return the name of the engine of a send that has an address."""
        if not address:
            return ""
        for name in (sending.server, *sending.helpers):
            known = self.desk.servers.get(name)
            if known is not None and known.entry.address == address:
                return name
        return ""

    def _on_replaced(self, routed: RoutedRequest, now: float) -> list:
        sending = self.desk.end_send(routed, now)
        known = self.desk.servers.get(sending.server)
        if known is not None:
            known.is_misdirected = True
        fields = (("server", sending.server),)
        note = Note("warning", "server_replaced", routed.request.caller_id, fields)
        effects = [note, AbortSend(sending.send_id)]
        return effects + self.desk.repeat_or_give_up(
            routed, RetryReason.SERVER_REPLACED, now
        )

    def on_event(self, message: SendEvent, now: float) -> list:
        """Pass an event on unless the caller has it already."""
        routed = self.desk.sends.get(message.send_id)
        if routed is None:
            return []
        sending = routed.sending
        if routed.is_begun:
            routed.longest_gap_s = max(routed.longest_gap_s, now - routed.last_event_at)
        routed.last_event_at = now
        sending.progress_at = now
        self.desk.evidence.note_heard(sending.server, now)
        sending.events += 1
        effects = []
        if sending.events == 1:
            self._on_first_event(routed, now)
        if not routed.is_begun:
            routed.is_begun = True
            routed.first_event_at = now
            effects.append(RelayHead(routed.request.request_id, sending.send_id))
        if not _is_newer(message.event_id, routed.resume_after):
            return [*effects, Count("route.event_repeated")]
        routed.last_event = message.event_id
        effects.append(RelayEvent(routed.request.request_id, message.data))
        return effects

    def _on_first_event(self, routed: RoutedRequest, now: float) -> None:
        sending = routed.sending
        self.desk.load.note_read(sending.send_id)
        taken = now - sending.sent_at
        self.desk.evidence.pace.observe(sending.server, sending.expected_s, taken, now)
        self.desk.evidence.health.note_success(sending.server)

    def on_done(self, message: SendDone, now: float) -> list:
        """Take word that an answer is whole."""
        desk = self.desk
        routed = desk.sends.get(message.send_id)
        if routed is None:
            return []
        sending = routed.sending
        if sending.kind is HeadKind.FAILURE:
            return self._on_failure(routed, now)
        if routed.is_begun and not sending.is_stream:
            return self._on_broken(routed, "not a stream", now)
        desk.evidence.health.note_success(sending.server)
        request_id = routed.request.request_id
        if routed.is_begun:
            relay = [RelayEnd(request_id)]
        else:
            routed.first_event_at = now
            relay = [RelayWhole(request_id, sending.send_id)]
        desk.load.remove(sending.send_id)
        effects = [
            effect
            for effect in desk.close(routed, "done", now)
            if not isinstance(effect, AbortSend)
        ]
        return effects + relay + desk.serve_waiting(now)

    def _on_failure(self, routed: RoutedRequest, now: float) -> list:
        desk = self.desk
        sending = desk.end_send(routed, now)
        routed.runs += 1
        routed.failure = sending.send_id
        if sending.status < 500:
            return desk.give_up(routed, now) + desk.serve_waiting(now)
        desk.evidence.health.note_failure(sending.server, now)
        fields = (("server", sending.server), ("status", str(sending.status)))
        note = Note("info", "server_failed", routed.request.caller_id, fields)
        return [
            note,
            *desk.repeat_or_give_up(routed, RetryReason.SERVER_FAILED, now),
            *desk.serve_waiting(now),
        ]

    def on_lost(self, message: SendLost, now: float) -> list:
        """Take word that there will be no whole answer."""
        routed = self.desk.sends.get(message.send_id)
        if routed is None:
            return []
        if message.is_sent:
            return self._on_broken(routed, message.problem, now)
        sending = self.desk.end_send(routed, now)
        self.desk.evidence.health.note_failure(sending.server, now, certain=True)
        self.desk.evidence.note_unreached(sending.server, now)
        routed.unsent += 1
        return [
            self._note_lost(routed, sending, message.problem),
            *self.desk.repeat_or_give_up(
                routed, RetryReason.SERVER_LOST, now, has_arrived=False
            ),
            *self.desk.serve_waiting(now),
        ]

    def _on_broken(self, routed: RoutedRequest, problem: str, now: float) -> list:
        """Deal with a send after which the request may have run."""
        sending = self.desk.end_send(routed, now)
        routed.runs += 1
        self.desk.evidence.health.note_failure(sending.server, now)
        return [
            self._note_lost(routed, sending, problem),
            AbortSend(sending.send_id),
            *self.desk.repeat_or_give_up(routed, RetryReason.SERVER_LOST, now),
            *self.desk.serve_waiting(now),
        ]

    def _note_lost(self, routed: RoutedRequest, sending: Sending, problem: str) -> Note:
        fields = (
            ("server", sending.server),
            ("problem", problem),
            ("events", str(sending.events)),
        )
        return Note("info", "send_lost", routed.request.caller_id, fields)

    def check_silence(self, now: float) -> list:
        """Move requests that may be repeated off servers that went silent."""
        effects = []
        for routed in list(self.desk.requests.values()):
            sending = routed.sending
            if sending is None or sending.placement is not None:
                continue
            if not routed.route.is_repeatable:
                continue
            patience = _patience_s(routed, sending)
            patience += READING_FACTOR * self._reading_s(sending, now)
            silent_s = now - sending.progress_at
            if silent_s > patience:
                effects += self._on_silent(routed, now)
            elif self._is_better_moved(routed, silent_s, now):
                effects += self._move(routed, now)
        return effects

    def _is_better_moved(
        self, routed: RoutedRequest, silent_s: float, now: float
    ) -> bool:
        """Return whether a caller would leave before a reading engine writes on.

        It is moved only to an engine that writes before the caller leaves.
        """
        patience_s = _caller_patience_s(routed)
        if silent_s <= LEAVING_PART * patience_s:
            return False
        chooser = self.desk.chooser
        known = chooser.candidates(routed, now)
        placement = chooser.choose(routed, known, now) if known else None
        return placement is not None and placement.expected_s < patience_s - silent_s

    def _reading_s(self, sending: Sending, now: float) -> float:
        """Return seconds that the engines of a send may read without a word."""
        load = self.desk.load
        names = (sending.server, *(() if sending.events else sending.helpers))
        return max(load.reading_s(name, now) for name in names)

    def _on_silent(self, routed: RoutedRequest, now: float) -> list:
        desk = self.desk
        sending = routed.sending
        is_mute = desk.evidence.heard_at.get(sending.server, 0.0) <= sending.progress_at
        desk.evidence.health.note_failure(sending.server, now, certain=is_mute)
        return self._move(routed, now)

    def _move(self, routed: RoutedRequest, now: float) -> list:
        """Send a request to another server, if it may still be sent."""
        desk = self.desk
        sending = routed.sending
        if routed.runs + 1 >= routed.route.attempts:
            sending.progress_at = now
            return []
        desk.end_send(routed, now)
        routed.runs += 1
        fields = (
            ("server", sending.server),
            ("silent_s", f"{now - sending.progress_at:.2f}"),
            ("expected_s", f"{sending.expected_s:.2f}"),
            ("events", str(sending.events)),
        )
        return [
            Note("info", "server_silent", routed.request.caller_id, fields),
            AbortSend(sending.send_id),
            *desk.repeat_or_give_up(routed, RetryReason.SERVER_SILENT, now),
        ]


def _patience_s(routed: RoutedRequest, sending: Sending) -> float:
    """Return seconds of silence after which a server counts as lost."""
    if routed.route.kind is not RouteKind.STREAM:
        return SAFE_FACTOR * routed.route.target_latency_s
    if not sending.events:
        return FIRST_EVENT_S + FIRST_EVENT_FACTOR * sending.expected_s
    return max(GAP_S, GAP_FACTOR * (routed.route.gap_limit_s or 0.0))


def _caller_patience_s(routed: RoutedRequest) -> float:
    """Return seconds of silence after which the caller leaves a stream."""
    if routed.route.kind is not RouteKind.STREAM:
        return float("inf")
    target_s, gap_s = routed.route.target_latency_s, routed.route.gap_limit_s or 0.0
    return max(CALLER_S, CALLER_AIM * target_s, CALLER_GAP * gap_s)


def _is_newer(event_id: str, last: str) -> bool:
    if not last:
        return True
    try:
        return int(event_id) > int(last)
    except ValueError:
        return event_id != last

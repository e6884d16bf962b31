"""Connects requests in progress with what servers hold."""

from attrs import define, evolve, field

from briarrelay_core.ports.digest import HeldReport
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.routes.load import LoadTable
from briarrelay_core.routes.placement import Candidate, Placement
from briarrelay_core.routes.requeststate import AttemptState, RoutedRequest
from briarrelay_core.routes.retention.contents import HeldContents, Memory
from briarrelay_core.routes.retention.judgement import Judgement, judge
from briarrelay_core.routes.servers import KnownServer

__all__ = ["MAX_ADDED_HOLDERS", "RetentionTracker"]

MAX_ADDED_HOLDERS = 16
"""Most servers that are compared for a request because they may hold its beginning."""


@define(slots=True, eq=False)
class RetentionTracker:
    """Estimates savings before a request is placed, and judges them afterwards.

    Requests without beginnings, as those of services that keep nothing, pass through.
    """

    load: LoadTable
    contents: HeldContents = field(factory=HeldContents)

    def with_holders(
        self, routed: RoutedRequest, sample: list[KnownServer], known: list[KnownServer]
    ) -> list[KnownServer]:
        """Return a sample of servers with those that may hold the beginning."""
        if not routed.beginnings or len(sample) == len(known):
            return sample
        holders = self.contents.holders(routed.beginnings)
        holders.difference_update(server.entry.name for server in sample)
        added = [server for server in known if server.entry.name in holders]
        return sample + added[:MAX_ADDED_HOLDERS]

    def with_held_tokens(
        self,
        routed: RoutedRequest,
        candidates: list[Candidate],
        known: list[KnownServer],
        now: float,
    ) -> list[Candidate]:
        """Return the candidates with the tokens that each is believed to hold.

        :param known: the servers of the candidates, in the same order.
        """
        trials = self.contents.trials
        if not routed.beginnings or not trials.has_room(routed.service, now):
            return candidates
        holders = self.contents.holders(routed.beginnings)
        return [
            self._with_held(routed, candidate, server, now)
            if candidate.name in holders
            else candidate
            for candidate, server in zip(candidates, known, strict=True)
        ]

    def _with_held(
        self,
        routed: RoutedRequest,
        candidate: Candidate,
        server: KnownServer,
        now: float,
    ) -> Candidate:
        memory = Memory(routed.profile.memory_tokens, candidate.load.tokens)
        held = self.contents.estimate(
            candidate.name,
            server.entry.born,
            routed.service,
            routed.beginnings,
            routed.retention,
            memory,
            now,
        )
        if held is None:
            return candidate
        # The last token is always read, since the first event follows from it.
        tokens = min(held.tokens, routed.request.prompt_tokens - 1)
        return evolve(candidate, held=evolve(held, tokens=tokens))

    def on_sent(self, routed: RoutedRequest, placement: Placement, now: float) -> list:
        """Record that a request relies on what its server is believed to hold."""
        if not placement.saved_s:
            return []
        unheld_s = placement.expected_s + placement.saved_s
        request_id = routed.request.request_id
        self.contents.trials.begin(routed.service, request_id, unheld_s, now)
        return [IncrementCounter("route.held_believed")]

    def on_first_event(
        self, routed: RoutedRequest, attempt: AttemptState, now: float
    ) -> tuple[list, float]:
        """Record what a server has read; return effects, and the time to expect.

        That is the time in seconds that the first event of a server that holds nothing
        takes, if it was shown to hold nothing; otherwise the expected time.
        """
        expected_s = attempt.expected_s
        unheld_s = expected_s + attempt.saved_s
        if not routed.beginnings or attempt.is_delegated:
            return [], expected_s
        effects = []
        if attempt.saved_s:
            self.contents.trials.end(routed.service, routed.request.request_id)
            taken_s = now - attempt.sent_at
            judgement = judge(unheld_s, attempt.held_s, taken_s)
            effects = [IncrementCounter(f"route.held_{judgement.value}")]
            if judgement is Judgement.REFUTED:
                self.contents.refute(attempt.server, routed.service, routed.beginnings)
                expected_s = unheld_s
            elif judgement is Judgement.CONFIRMED:
                self.contents.confirm(attempt.server, routed.service)
        if attempt.has_whole_prompt:
            memory = Memory(
                routed.profile.memory_tokens, self.load.of(attempt.server, now).tokens
            )
            self.contents.record_read(
                attempt.server,
                attempt.server_born,
                routed.beginnings,
                routed.retention,
                memory,
                now,
            )
        return effects, expected_s

    def own_reports(self, now: float) -> tuple[HeldReport, ...]:
        """Return what digests report of servers' content."""
        return self.contents.own_reports(now)

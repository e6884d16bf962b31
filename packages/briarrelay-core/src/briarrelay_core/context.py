"""State shared by the components of an entry instance."""

from collections import OrderedDict

from attrs import define, field

from briarrelay_core.agreement.configuration import Configuration, Preset
from briarrelay_core.agreement.outbox import Outbox
from briarrelay_core.chats.chatstate import Chat
from briarrelay_core.identity import Identity
from briarrelay_core.membership.membership import Membership
from briarrelay_core.ports.platform import InstanceKind
from briarrelay_core.ports.telemetry import IncrementCounter
from briarrelay_core.record.record import Entry, Recorder
from briarrelay_core.routing.fleet import Fleet
from briarrelay_core.routing.limits import DemandMeter, WorkspaceRateLimiter
from briarrelay_core.routing.retries import RetryBudget
from briarrelay_core.timers import TimerService

__all__ = ["Context", "Explanation"]

MAX_EXPLANATIONS = 5_000
"""Number of explanations kept in memory; the oldest is dropped first."""


@define(slots=True, frozen=True)
class Explanation:
    """Outcome of a request, refusal, retry, change or order, and the reasons for it.

    :param subject: id of the request or change, or name of the engine.
    :param at: Unix seconds.
    :param kind: ``request``, ``refusal``, ``retry``, ``change`` or ``order``.
    """

    subject: str
    at: float
    kind: str
    workspace: str
    outcome: str
    why: tuple[str, ...]


@define(slots=True)
class Context:
    """State that several components read; each field has a single writer.

    :param workspace_by_key_hash: names of workspaces by the hash of their bearer keys.
    :param total_demand: prompt tokens per second requested from this instance.
    :param peer_demand: the same for each peer, with the time of its digest.
    """

    identity: Identity
    timers: TimerService
    membership: Membership
    fleet: Fleet
    outbox: Outbox
    recorder: Recorder
    limits: WorkspaceRateLimiter = field(factory=WorkspaceRateLimiter)
    retry_budget: RetryBudget = field(factory=RetryBudget)
    chats: dict[str, Chat] = field(factory=dict)
    configuration: Configuration | None = None
    workspace_by_key_hash: dict[str, str] = field(factory=dict)
    revision: int = 0
    draining: bool = False
    total_demand: DemandMeter = field(factory=DemandMeter)
    peer_demand: dict[str, tuple[float, float]] = field(factory=dict)
    _explanations: OrderedDict = field(factory=OrderedDict)

    @property
    def preset(self) -> Preset:
        """The active preset."""
        return self.configuration.preset_in_force

    def entry_peers(self, now: float, data_centre: str | None = None) -> list[str]:
        """Return the names of live entry instances that are reachable, except this one.

        :param data_centre: restricts the result to this data centre.
        """
        return [
            member.name
            for member in self.membership.live(InstanceKind.ENTRY, data_centre)
            if member.name != self.identity.name
            and not self.membership.is_suspect(member.name, now)
        ]

    def record_event(
        self,
        now: float,
        kind: str,
        subject: str,
        workspace: str = "",
        outcome: str = "",
        why: tuple[str, ...] = (),
    ) -> list:
        """Add an entry to the audit record and store its explanation.

        :returns: a counter effect if the audit record was full.
        """
        entry = Entry(
            at=round(now, 3),
            kind=kind,
            subject=subject,
            workspace=workspace,
            outcome=outcome,
            why="; ".join(why),
        )
        is_recorded = self.recorder.add(entry)
        explanation = Explanation(subject, now, kind, workspace, outcome, why)
        self._explanations[subject] = explanation
        if len(self._explanations) > MAX_EXPLANATIONS:
            self._explanations.popitem(last=False)
        return [] if is_recorded else [IncrementCounter("record.gap")]

    def explain(self, subject: str) -> Explanation | None:
        """Return the explanation of a request or change, None if it was dropped."""
        return self._explanations.get(subject)

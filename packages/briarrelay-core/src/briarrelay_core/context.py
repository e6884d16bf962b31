"""What the parts of an instance share."""

from collections import OrderedDict

from attrs import define, field

from briarrelay_core.agreement.configuration import Configuration, Preset
from briarrelay_core.agreement.outbox import Outbox
from briarrelay_core.chats.chatstate import Chat
from briarrelay_core.identity import Identity
from briarrelay_core.membership.membership import Membership
from briarrelay_core.ports.observe import Count
from briarrelay_core.ports.platform import InstanceKind
from briarrelay_core.record.record import Entry, Recorder
from briarrelay_core.routing.fleet import Fleet
from briarrelay_core.routing.limits import DemandMeter, WorkspaceRateLimiter
from briarrelay_core.routing.retries import RetryBudget
from briarrelay_core.timers import TimerService

__all__ = ["Context", "Explanation"]

MAX_EXPLANATIONS = 5_000
"""Latest explanations kept in memory."""


@define(slots=True, frozen=True)
class Explanation:
    """Why a request or change went as it did."""

    subject: str
    at: float
    kind: str
    workspace: str
    outcome: str
    why: tuple[str, ...]


@define(slots=True)
class Context:
    """State that several parts read; each field is written by one part.

    :param total_demand: prompt tokens a second asked of this instance.
    """

    identity: Identity
    timers: TimerService
    membership: Membership
    fleet: Fleet
    outbox: Outbox
    recorder: Recorder
    limits: WorkspaceRateLimiter = field(factory=WorkspaceRateLimiter)
    budget: RetryBudget = field(factory=RetryBudget)
    chats: dict[str, Chat] = field(factory=dict)
    configuration: Configuration | None = None
    workspace_of: dict[str, str] = field(factory=dict)
    revision: int = 0
    draining: bool = False
    total_demand: DemandMeter = field(factory=DemandMeter)
    peer_demand: dict[str, tuple[float, float]] = field(factory=dict)
    _explanations: OrderedDict = field(factory=OrderedDict)

    @property
    def preset(self) -> Preset:
        """The preset in force."""
        return self.configuration.preset_in_force

    def entry_peers(self, now: float, data_centre: str | None = None) -> list[str]:
        """Return the other live entry instances that answer."""
        return [
            member.name
            for member in self.membership.live(InstanceKind.ENTRY, data_centre)
            if member.name != self.identity.name
            and not self.membership.is_suspect(member.name, now)
        ]

    def note(
        self,
        now: float,
        kind: str,
        subject: str,
        workspace: str = "",
        outcome: str = "",
        why: tuple[str, ...] = (),
    ) -> list:
        """Put something into the record and among the explanations."""
        entry = Entry(
            at=round(now, 3),
            kind=kind,
            subject=subject,
            workspace=workspace,
            outcome=outcome,
            why="; ".join(why),
        )
        kept = self.recorder.add(entry)
        explanation = Explanation(subject, now, kind, workspace, outcome, why)
        self._explanations[subject] = explanation
        if len(self._explanations) > MAX_EXPLANATIONS:
            self._explanations.popitem(last=False)
        return [] if kept else [Count("record.gap")]

    def explain(self, subject: str) -> Explanation | None:
        """Return why a request or change went as it did, if still in memory."""
        return self._explanations.get(subject)

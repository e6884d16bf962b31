"""Bounds the requests that rely on servers which may keep nothing at all."""

from attrs import define, field

__all__ = ["MAX_TRIALS", "TrialTable"]

MAX_TRIALS = 2
"""Most requests at a time that rely on what servers of an unproven service hold."""

MIN_CONFIDENCE = 0.5
"""Confidence in a service below which it has to be proven again."""

OVERDUE_FACTOR = 2.0
"""Multiple of the time that a first event takes without the saving, after which a
request no longer counts as a trial."""

OVERDUE_S = 1.0
"""Further seconds until then."""


@define(slots=True, eq=False)
class TrialTable:
    """Tells of which services servers were shown to keep prompts.

    Until a belief has been confirmed, only a few requests at a time rely on one; a
    configuration that wrongly says that servers keep prompts then delays only these.

    :ivar _running: end of each trial, by request and by service.
    """

    _proven: set[str] = field(factory=set)
    _running: dict[str, dict[str, float]] = field(factory=dict)

    def has_room(self, service: str, now: float) -> bool:
        """Return whether a further request may rely on what servers hold."""
        if service in self._proven:
            return True
        running = self._running.get(service)
        if not running:
            return True
        for request_id in [r for r, until in running.items() if until <= now]:
            del running[request_id]
        return len(running) < MAX_TRIALS

    def begin(self, service: str, request_id: str, unheld_s: float, now: float) -> None:
        """Record a request that relies on what a server holds.

        :param unheld_s: seconds that its first event takes if the server holds nothing.
        """
        if service not in self._proven:
            until = now + OVERDUE_FACTOR * unheld_s + OVERDUE_S
            self._running.setdefault(service, {})[request_id] = until

    def end(self, service: str, request_id: str) -> None:
        """Record the first event of a request."""
        self._running.get(service, {}).pop(request_id, None)

    def confirm(self, service: str) -> None:
        """Record that a server was shown to hold what it was believed to hold."""
        self._proven.add(service)
        self._running.pop(service, None)

    def refute(self, service: str, confidence: float) -> None:
        """Record that a server was shown to hold nothing of what was expected.

        :param confidence: in the servers of the service, after this.
        """
        if confidence < MIN_CONFIDENCE:
            self._proven.discard(service)

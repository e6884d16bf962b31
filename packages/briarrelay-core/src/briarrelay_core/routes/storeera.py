"""Tracks the era of the platform's store, which rises when it returns to a copy."""

from attrs import define

from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent

__all__ = ["StoreEra"]


@define(slots=True)
class StoreEra:
    """The highest era that the store has reported to this instance.

    :param value: 0 until the store reports an era.
    :param confirmed_at: time of the last response of this era.
    :ivar _is_reported: the store has reported an era.
    :ivar _has_problem: the last response had no era, or an earlier one.
    """

    value: int = 0
    confirmed_at: float = float("-inf")
    _is_reported: bool = False
    _has_problem: bool = False

    def observe(self, era: int | None, now: float) -> tuple[bool, list]:
        """Handle the era of a response.

        A response without an era, or with an earlier one, is logged once and changes
        nothing.

        :param era: None if the response has none or it is invalid.
        :returns: whether the store has returned to a copy, and effects.
        """
        if era is None and not self._is_reported:
            self.confirmed_at = now
            return False, []
        if era is None or era < self.value:
            return False, self._report_problem(era)
        is_new = self._is_reported and era > self.value
        old, self.value = self.value, era
        self.confirmed_at = now
        self._is_reported, self._has_problem = True, False
        if not is_new:
            return False, []
        fields = (("era", str(era)), ("before", str(old)))
        log_event = LogEvent("warning", "store_returned_to_copy", fields=fields)
        return True, [log_event, IncrementCounter("store.returned_to_copy")]

    def _report_problem(self, era: int | None) -> list:
        if self._has_problem:
            return []
        self._has_problem = True
        fields = (("given", str(era)), ("known", str(self.value)))
        return [
            LogEvent("warning", "store_era_bad", fields=fields),
            IncrementCounter("store.era_bad"),
        ]

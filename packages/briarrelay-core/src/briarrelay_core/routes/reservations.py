"""Reserves memory on several engines for one prompt, on all of them or on none.

A reservation expires after a short time unless it is renewed, which happens while its
request runs. So the memory that a crashed entry instance reserved becomes free without
a release.
"""

from collections.abc import Callable

from attrs import define, field

from briarrelay_core.ports.directory import ServerEntry
from briarrelay_core.ports.memory import (
    Release,
    ReleaseResponse,
    Reserve,
    ReserveResponse,
)
from briarrelay_core.ports.telemetry import IncrementCounter, LogEvent
from briarrelay_core.timers import TimerService

__all__ = ["Reservations"]

RENEW_AFTER_FRACTION = 0.35
"""Fraction of the holding time after which a reservation is renewed; leaves time for
two attempts."""

RELEASE_RETRY_S = 0.5
"""Seconds between attempts to release memory that the engine has not confirmed."""

LATE_EXECUTION_S = 12.0
"""Seconds for which an engine may still execute a command that it has not confirmed."""

LATE_RELEASE_PERIOD_S = 1.5
"""Seconds between releases while a reserve command may still be executed late."""


@define(slots=True, eq=False)
class _Reservation:
    """Memory reserved on one engine.

    :param pending_reserves: reserve commands without a response yet; the engine may
        execute them after a release that was sent later.
    :param unanswered_at: time of the last reserve command that failed without a
        response.
    """

    reservation_id: str
    attempt_id: int
    server: ServerEntry
    tokens: int
    is_granted: bool = False
    is_released: bool = False
    released_at: float = 0.0
    pending_reserves: int = 0
    unanswered_at: float = float("-inf")


@define(slots=True, eq=False)
class Reservations:
    """Memory reservations of this instance's attempts.

    :param prefix: makes ids unique among instances and incarnations.
    :param hold_s: seconds that a reservation lasts without being renewed.
    :param on_granted: called with an attempt's id and the time once all its memory is
        granted.
    :param on_denied: called with an attempt's id, the engine that did not grant memory
        and the time.
    :ivar _by_id: reservations by their id, also released ones that are not confirmed
        yet.
    :ivar _effects: releases to send with the next effects.
    """

    prefix: str
    hold_s: float
    timers: TimerService
    on_granted: Callable[[int, float], list] | None = None
    on_denied: Callable[[int, str, float], list] | None = None
    _by_id: dict[str, _Reservation] = field(factory=dict)
    _by_attempt: dict[int, list[_Reservation]] = field(factory=dict)
    _effects: list = field(factory=list)

    def ids_of(self, attempt_id: int) -> dict[str, str]:
        """Return the reservation id on each server of an attempt."""
        return {
            r.server.name: r.reservation_id
            for r in self._by_attempt.get(attempt_id, ())
        }

    def reserve_all(
        self, attempt_id: int, memory_shares: list[tuple[ServerEntry, int]], now: float
    ) -> list:
        """Request memory on engines for an attempt.

        :param memory_shares: engines, and the tokens to reserve on each.
        """
        reservations = [
            _Reservation(
                f"{self.prefix}-{attempt_id}-{index}", attempt_id, server, tokens
            )
            for index, (server, tokens) in enumerate(memory_shares)
        ]
        self._by_attempt[attempt_id] = reservations
        for reservation in reservations:
            self._by_id[reservation.reservation_id] = reservation
        self.timers.at(
            now + self.hold_s * RENEW_AFTER_FRACTION,
            lambda t: self._renew(attempt_id, t),
        )
        return [self._reserve(reservation) for reservation in reservations]

    def _reserve(self, reservation: _Reservation) -> Reserve:
        reservation.pending_reserves += 1
        return Reserve(
            reservation_id=reservation.reservation_id,
            host=reservation.server.host,
            port=reservation.server.port,
            tokens=reservation.tokens,
            hold_s=self.hold_s,
        )

    def _renew(self, attempt_id: int, now: float) -> list:
        reservations = self._by_attempt.get(attempt_id)
        if not reservations:
            return []
        self.timers.at(
            now + self.hold_s * RENEW_AFTER_FRACTION,
            lambda t: self._renew(attempt_id, t),
        )
        return [self._reserve(reservation) for reservation in reservations]

    def on_reserved(self, message: ReserveResponse, now: float) -> list:
        """Handle an engine's response to a reserve command."""
        reservation = self._by_id.get(message.reservation_id)
        if reservation is None:
            return []
        reservation.pending_reserves -= 1
        if message.is_granted is None:
            reservation.unanswered_at = now
        if reservation.is_released:
            return [_release(reservation)] if message.is_granted else []
        if reservation.is_granted:
            return self._on_renewed(reservation, message)
        if not message.is_granted:
            return self._on_not_granted(reservation, message, now)
        reservation.is_granted = True
        attempt_reservations = self._by_attempt[reservation.attempt_id]
        if all(r.is_granted for r in attempt_reservations):
            return self.on_granted(reservation.attempt_id, now)
        return []

    def _on_renewed(self, reservation: _Reservation, message: ReserveResponse) -> list:
        if message.is_granted:
            return []
        fields = (
            ("reservation", reservation.reservation_id),
            ("server", reservation.server.name),
            ("answered", str(message.is_granted is not None)),
        )
        return [LogEvent("warning", "renewal_failed", fields=fields)]

    def _on_not_granted(
        self, reservation: _Reservation, message: ReserveResponse, now: float
    ) -> list:
        fields = (
            ("reservation", reservation.reservation_id),
            ("server", reservation.server.name),
            ("tokens", str(reservation.tokens)),
            ("answered", str(message.is_granted is not None)),
        )
        log_event = LogEvent("info", "reservation_denied", fields=fields)
        attempt_id = reservation.attempt_id
        self.release(attempt_id, now)
        return [
            log_event,
            IncrementCounter("reservation.denied"),
            *self.on_denied(attempt_id, reservation.server.name, now),
        ]

    def release(self, attempt_id: int, now: float) -> None:
        """Release an attempt's memory; the commands are sent with the next effects."""
        for reservation in self._by_attempt.pop(attempt_id, ()):
            reservation.is_released = True
            reservation.released_at = now
            self._effects.append(_release(reservation))

    def on_released(self, message: ReleaseResponse, now: float) -> list:
        """Handle the response to a release.

        The release is repeated while it is unconfirmed, and while the engine may still
        execute a reserve command late.
        """
        reservation = self._by_id.get(message.reservation_id)
        if reservation is None:
            return []
        late_until = reservation.unanswered_at + LATE_EXECUTION_S
        give_up_at = max(late_until, reservation.released_at + 2 * self.hold_s)
        is_confirmed = message.is_done and not reservation.pending_reserves
        if now >= give_up_at or (is_confirmed and now >= late_until):
            del self._by_id[message.reservation_id]
            return []
        delay_s = LATE_RELEASE_PERIOD_S if message.is_done else RELEASE_RETRY_S
        self.timers.at(now + delay_s, lambda _: [_release(reservation)])
        return []

    def pop_effects(self) -> list:
        """Return the queued releases, and clear the queue."""
        effects, self._effects = self._effects, []
        return effects


def _release(reservation: _Reservation) -> Release:
    return Release(
        reservation_id=reservation.reservation_id,
        host=reservation.server.host,
        port=reservation.server.port,
    )

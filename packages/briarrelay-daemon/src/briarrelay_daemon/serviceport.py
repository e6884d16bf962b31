"""HTTP adapter for plain services."""

from briarrelay_core.ports.service import CallService, ServiceLost, ServiceResponse
from briarrelay_daemon.bytesresponse import BytesResponse
from briarrelay_daemon.host import Host
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.settings import Address

__all__ = ["ServicePort"]

RESPONSE_GRACE_S = 25.0
"""Seconds past the deadline for which a response is awaited, to record the outcome."""

MAX_RESPONSE_BYTES = 4_000_000
"""Longest response body; the rest is cut off."""


class ServicePort:
    """Calls plain services, each call on a new connection."""

    def __init__(self, host: Host, client: HttpClient):
        self._host = host
        self._client = client
        host.register(CallService, self._call)

    def _call(self, effect: CallService) -> None:
        member = self._host.core.context.membership.get(effect.instance)
        if member is None or member.listed is None:
            self._host.dispatch(ServiceLost(effect.call_id, False))
            return
        dispatch = self._host.dispatch

        def on_done(status: int, body: bytes) -> None:
            dispatch(ServiceResponse(effect.call_id, status, body))

        headers = [("Content-Type", "application/json")]
        if effect.idempotency_key:
            headers.append(("Idempotency-Key", effect.idempotency_key))
        self._client.call(
            Address(member.listed.host, member.listed.port),
            "POST",
            effect.path,
            BytesResponse(
                on_done,
                lambda sent: dispatch(ServiceLost(effect.call_id, sent)),
                MAX_RESPONSE_BYTES,
            ),
            body=effect.body,
            headers=tuple(headers),
            timeout=max(0.1, effect.deadline - self._host.now) + RESPONSE_GRACE_S,
            force_new_connection=True,
        )

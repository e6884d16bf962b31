"""Plain services over HTTP."""

from briarrelay_core.ports.service import CallService, ServiceLost, ServiceResponse
from briarrelay_daemon.bytesresponse import BytesResponse
from briarrelay_daemon.host import Host
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.settings import Address

__all__ = ["ServicePort"]

LINGER_S = 25.0
"""Seconds beyond the deadline for which an answer is waited for, for the record."""

MAX_ANSWER_BYTES = 4_000_000
"""Longest answer that is taken whole."""


class ServicePort:
    """Performs calls to plain services, each on a connection of its own."""

    def __init__(self, host: Host, client: HttpClient):
        self._host = host
        self._client = client
        host.register(CallService, self._call)

    def _call(self, effect: CallService) -> None:
        member = self._host.core.context.membership.get(effect.instance)
        if member is None or member.listed is None:
            self._host.dispatch(ServiceLost(effect.call_id, False))
            return
        tell = self._host.dispatch

        def done(status: int, body: bytes) -> None:
            tell(ServiceResponse(effect.call_id, status, body[:MAX_ANSWER_BYTES]))

        headers = [("Content-Type", "application/json")]
        if effect.idempotency_key:
            headers.append(("Idempotency-Key", effect.idempotency_key))
        self._client.call(
            Address(member.listed.host, member.listed.port),
            "POST",
            effect.path,
            BytesResponse(done, lambda sent: tell(ServiceLost(effect.call_id, sent))),
            body=effect.body,
            headers=tuple(headers),
            timeout=max(0.1, effect.deadline - self._host.now) + LINGER_S,
            fresh=True,
        )

"""Plain services over HTTP."""

from briarrelay_core.ports.service import CallService, ServiceAnswer, ServiceLost
from briarrelay_daemon.host import Host
from briarrelay_daemon.httpcall import CallSink, HttpClient
from briarrelay_daemon.settings import Address

__all__ = ["ServicePort"]

LINGER_S = 25.0
"""Seconds beyond the deadline for which an answer is waited for, for the record."""

MAX_ANSWER_BYTES = 4_000_000
"""Longest answer that is taken whole."""


class _WholeAnswer(CallSink):
    def __init__(self, host: Host, call_id: str):
        self._host = host
        self._call_id = call_id
        self._status = 0
        self._body = bytearray()

    def on_head(self, status: int, headers: dict[str, str]) -> None:
        self._status = status

    def on_data(self, data: bytes) -> None:
        self._body += data

    def on_end(self) -> None:
        body = bytes(self._body[:MAX_ANSWER_BYTES])
        self._host.tell(ServiceAnswer(self._call_id, self._status, body))

    def on_lost(self, sent: bool) -> None:
        self._host.tell(ServiceLost(self._call_id, sent))


class ServicePort:
    """Performs calls to plain services, each on a connection of its own."""

    def __init__(self, host: Host, client: HttpClient):
        self._host = host
        self._client = client
        host.register(CallService, self._call)

    def _call(self, effect: CallService) -> None:
        member = self._host.core.context.membership.get(effect.instance)
        if member is None or member.listed is None:
            self._host.tell(ServiceLost(effect.call_id, False))
            return
        headers = [("Content-Type", "application/json")]
        if effect.idempotency_key:
            headers.append(("Idempotency-Key", effect.idempotency_key))
        self._client.call(
            Address(member.listed.host, member.listed.port),
            "POST",
            effect.path,
            _WholeAnswer(self._host, effect.call_id),
            body=effect.body,
            headers=tuple(headers),
            timeout=max(0.1, effect.deadline - self._host.now) + LINGER_S,
            fresh=True,
        )

"""Pages for balancers and operators."""

from hmac import compare_digest
from urllib.parse import unquote

import orjson
from attrs import asdict

from briarrelay_core.agreement.configuration import hash_key
from briarrelay_core.ports.control import DrainRequested
from briarrelay_core.ports.platform import InstanceKind
from briarrelay_daemon.chatapi import bearer_key
from briarrelay_daemon.host import Host
from briarrelay_daemon.webserver import Exchange

__all__ = ["StatusPages"]

NOT_FOUND = (
    b'{"error":{"reason":"not_found","message":"no such path; see the API page"}}'
)


UNAUTHORIZED = (
    b'{"error":{"reason":"unauthorized",'
    b'"message":"send the operators\' key as a bearer key"}}'
)


class StatusPages:
    """Answers /healthz, /readyz, /status, /v1/explain/ID and /v1/drain.

    :param key_hash: hash of the operators' key, empty for none.
    """

    def __init__(self, host: Host, key_hash: str):
        self._host = host
        self._key_hash = key_hash

    def answer(self, exchange: Exchange) -> None:
        """Answer a request that is not a caller's work."""
        path = exchange.path
        if exchange.method == "POST" and path == "/v1/drain":
            self._drain(exchange)
        elif exchange.method != "GET":
            exchange.reply(404, NOT_FOUND)
        elif path in ("/healthz", "/readyz"):
            self._answer_balancer(exchange, path)
        elif self._key_hash and not self._is_operator(exchange):
            exchange.reply(401, UNAUTHORIZED)
        elif path == "/status":
            exchange.reply(200, orjson.dumps(self.status()))
        elif path.startswith("/v1/explain/"):
            self._explain(exchange, unquote(path.removeprefix("/v1/explain/")))
        else:
            exchange.reply(404, NOT_FOUND)

    def _is_operator(self, exchange: Exchange) -> bool:
        given = hash_key(bearer_key(exchange.headers))
        return bool(self._key_hash) and compare_digest(given, self._key_hash)

    def _drain(self, exchange: Exchange) -> None:
        if not self._is_operator(exchange):
            exchange.reply(401, UNAUTHORIZED)
            return
        exchange.reply(202, b'{"draining":true}')
        self._host.dispatch(DrainRequested())

    def _answer_balancer(self, exchange: Exchange, path: str) -> None:
        if path == "/healthz":
            exchange.reply(200, b'{"healthy":true}')
        else:
            self._ready(exchange)

    def _ready(self, exchange: Exchange) -> None:
        is_ready = self._host.core.is_ready
        body = orjson.dumps({"ready": is_ready})
        exchange.reply(200 if is_ready else 503, body)

    def _explain(self, exchange: Exchange, subject: str) -> None:
        explanation = self._host.core.context.explain(subject)
        if explanation is None:
            exchange.reply(
                404,
                b'{"error":{"reason":"not_found","message":'
                b'"not in this instance\'s memory; try the others or the record"}}',
            )
            return
        exchange.reply(200, orjson.dumps(asdict(explanation)))

    def status(self) -> dict:
        """Return the state of the instance as a mapping."""
        core = self._host.core
        context = core.context
        now = self._host.now
        down = core.revisions.tail.down_since
        engines = []
        for name in context.fleet.live_engines():
            view = context.fleet.view(name)
            engines.append(
                {
                    "name": name,
                    "backlog_s": round(view.backlog_s(now), 3),
                    "memory_free": view.memory_free,
                    "report_age_s": round(now - view.as_of, 2) if view.as_of else None,
                    "ejected": context.fleet.health.is_ejected(name, now),
                    "models": view.models,
                }
            )
        return {
            "instance": core.identity.name,
            "incarnation": core.identity.incarnation,
            "data_centre": core.identity.data_centre,
            "ready": core.is_ready,
            "draining": context.draining,
            "revision": context.revision,
            "preset": context.configuration.preset if context.configuration else None,
            "revision_since": core.revisions.in_force_since,
            "log_down_s": round(now - down, 1) if down is not None else 0.0,
            "order_holder": core.orders.is_holder(now),
            "chats": len(context.chats),
            "queued": core.chats.dispatcher.queued,
            "calls": len(core.calls.calls),
            "record_waiting": len(context.recorder),
            "engines": engines,
            "peers": [m.name for m in context.membership.live(InstanceKind.ENTRY)],
            "counters": self._host.counters.totals,
        }

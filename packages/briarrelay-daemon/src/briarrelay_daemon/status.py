"""HTTP endpoints for load balancers and operators."""

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

NOT_FOUND_BODY = (
    b'{"error":{"reason":"not_found","message":"no such path; see the API page"}}'
)


UNAUTHORIZED_BODY = (
    b'{"error":{"reason":"unauthorized",'
    b'"message":"send the operators\' key as a bearer key"}}'
)


class StatusPages:
    """Serves /healthz, /readyz, /status, /v1/explain/ID and /v1/drain.

    :param key_hash: SHA-256 of the operators' key in hexadecimal, empty for none.
    """

    def __init__(self, host: Host, key_hash: str):
        self._host = host
        self._key_hash = key_hash

    def respond(self, exchange: Exchange) -> None:
        """Respond to any request but a chat or a service call."""
        path = exchange.path
        if exchange.method == "POST" and path == "/v1/drain":
            self._drain(exchange)
        elif exchange.method != "GET":
            exchange.reply(404, NOT_FOUND_BODY)
        elif path in ("/healthz", "/readyz"):
            self._respond_to_probe(exchange, path)
        elif self._key_hash and not self._is_operator(exchange):
            exchange.reply(401, UNAUTHORIZED_BODY)
        elif path == "/status":
            exchange.reply(200, orjson.dumps(self.status()))
        elif path.startswith("/v1/explain/"):
            self._explain(exchange, unquote(path.removeprefix("/v1/explain/")))
        else:
            exchange.reply(404, NOT_FOUND_BODY)

    def _is_operator(self, exchange: Exchange) -> bool:
        given = hash_key(bearer_key(exchange.headers))
        return bool(self._key_hash) and compare_digest(given, self._key_hash)

    def _drain(self, exchange: Exchange) -> None:
        if not self._is_operator(exchange):
            exchange.reply(401, UNAUTHORIZED_BODY)
            return
        exchange.reply(202, b'{"draining":true}')
        self._host.dispatch(DrainRequested())

    def _respond_to_probe(self, exchange: Exchange, path: str) -> None:
        if path == "/healthz":
            exchange.reply(200, b'{"healthy":true}')
        else:
            self._respond_ready(exchange)

    def _respond_ready(self, exchange: Exchange) -> None:
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
        """Return the body of /status: the state of the instance."""
        core = self._host.core
        context = core.context
        now = self._host.now
        log_down_since = core.revisions.tail.down_since
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
            "log_down_s": round(now - log_down_since, 1)
            if log_down_since is not None
            else 0.0,
            "order_holder": core.orders.is_holder(now),
            "chats": len(context.chats),
            "queued": core.chats.dispatcher.queued,
            "calls": len(core.calls.calls),
            "record_waiting": len(context.recorder),
            "engines": engines,
            "peers": [m.name for m in context.membership.live(InstanceKind.ENTRY)],
            "counters": self._host.counters.totals,
        }

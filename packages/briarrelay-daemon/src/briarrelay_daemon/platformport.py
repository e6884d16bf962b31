"""The platform's log, instance list and weight store over HTTP."""

from functools import partial
from urllib.parse import quote

import orjson

from briarrelay_core.mappings import MappingError, from_mapping
from briarrelay_core.ports.log import (
    AppendDone,
    AppendFailed,
    AppendLog,
    LogRead,
    LogRecord,
    ReadLog,
)
from briarrelay_core.ports.platform import (
    FetchWeights,
    InstanceList,
    ListedInstance,
    ReadInstanceList,
    WeightsStatus,
)
from briarrelay_daemon.host import Host
from briarrelay_daemon.httpcall import HttpClient
from briarrelay_daemon.jsonresponse import JsonResponse
from briarrelay_daemon.settings import Settings

__all__ = ["PlatformPort"]

ANSWER_S = 9.0
"""Seconds for an answer, beyond what the platform was told to wait."""


class PlatformPort:
    """Performs the effects that concern the platform."""

    def __init__(self, host: Host, client: HttpClient, settings: Settings):
        self._host = host
        self._client = client
        self._settings = settings
        self._list_asked = False
        host.register(AppendLog, self._append)
        host.register(ReadLog, self._read)
        host.register(ReadInstanceList, self._read_list)
        host.register(FetchWeights, self._fetch_weights)

    def _append(self, effect: AppendLog) -> None:
        body = orjson.dumps({"records": effect.bodies, "id": effect.append_id})
        self._client.call(
            self._settings.log,
            "POST",
            f"/v1/streams/{quote(effect.stream, safe='')}",
            JsonResponse(
                partial(self._on_appended, effect),
                lambda sent: self._host.dispatch(AppendFailed(effect.append_id, sent)),
            ),
            body=body,
            timeout=ANSWER_S,
        )

    def _on_appended(self, effect: AppendLog, status: int, value) -> None:
        if status != 200 or not isinstance(value, dict) or "offset" not in value:
            self._host.dispatch(AppendFailed(effect.append_id))
            return
        self._host.dispatch(AppendDone(effect.append_id, value["offset"]))

    def _read(self, effect: ReadLog) -> None:
        stream = quote(effect.stream, safe="")
        target = f"/v1/streams/{stream}?from={effect.start}&wait={effect.wait_s}"
        self._client.call(
            self._settings.log,
            "GET",
            target,
            JsonResponse(
                partial(self._on_read, effect),
                lambda sent: self._host.dispatch(_failed_read(effect)),
            ),
            timeout=effect.wait_s + ANSWER_S,
        )

    def _on_read(self, effect: ReadLog, status: int, value) -> None:
        try:
            records = tuple(LogRecord(o, body) for o, body in value["records"])
            answer = LogRead(
                effect.stream, effect.start, records, value["first"], value["end"]
            )
        except (TypeError, KeyError, ValueError):
            answer = _failed_read(effect)
        self._host.dispatch(answer if status == 200 else _failed_read(effect))

    def _read_list(self, effect: ReadInstanceList) -> None:
        if self._list_asked:
            return
        self._list_asked = True
        self._client.call(
            self._settings.instance_list,
            "GET",
            f"/v1/instances?known={effect.known_version}",
            JsonResponse(self._on_list, self._on_list_lost),
            timeout=ANSWER_S,
        )

    def _on_list_lost(self, sent: bool) -> None:
        self._list_asked = False
        self._host.dispatch(InstanceList(0, (), failed=True))

    def _on_list(self, status: int, value) -> None:
        self._list_asked = False
        if status == 304:
            return
        try:
            instances = tuple(
                from_mapping(ListedInstance, entry, "instances")
                for entry in value["instances"]
            )
            answer = InstanceList(value["version"], instances)
        except (MappingError, TypeError, KeyError) as error:
            self._host.logger.error("instance_list_bad", problem=str(error))
            answer = InstanceList(0, (), failed=True)
        self._host.dispatch(answer)

    def _fetch_weights(self, effect: FetchWeights) -> None:
        def done(status: int, value) -> None:
            wait = 0.0
            if isinstance(value, dict):
                wait = float(value.get("retry_after", 0.0))
            self._host.dispatch(WeightsStatus(effect.model, status == 200, wait))

        self._client.call(
            self._settings.weight_store,
            "POST",
            f"/v1/weights/{quote(effect.model, safe='')}",
            JsonResponse(
                done,
                lambda sent: self._host.dispatch(WeightsStatus(effect.model, False)),
            ),
            timeout=ANSWER_S,
        )


def _failed_read(effect: ReadLog) -> LogRead:
    return LogRead(effect.stream, effect.start, (), 0, 0, failed=True)

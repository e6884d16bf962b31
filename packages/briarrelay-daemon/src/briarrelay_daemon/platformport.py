"""HTTP adapter for the platform's log, instance list and weight store."""

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

RESPONSE_TIMEOUT_S = 9.0
"""Timeout of a response, in addition to the wait requested of the platform."""


class PlatformPort:
    """Performs the core's effects on the platform."""

    def __init__(self, host: Host, client: HttpClient, settings: Settings):
        self._host = host
        self._client = client
        self._settings = settings
        self._is_list_requested = False
        host.register(AppendLog, self._append_log)
        host.register(ReadLog, self._read_log)
        host.register(ReadInstanceList, self._read_instance_list)
        host.register(FetchWeights, self._fetch_weights)

    def _append_log(self, effect: AppendLog) -> None:
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
            timeout=RESPONSE_TIMEOUT_S,
        )

    def _on_appended(self, effect: AppendLog, status: int, value) -> None:
        if status != 200 or not isinstance(value, dict) or "offset" not in value:
            self._host.dispatch(AppendFailed(effect.append_id))
            return
        self._host.dispatch(AppendDone(effect.append_id, value["offset"]))

    def _read_log(self, effect: ReadLog) -> None:
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
            timeout=effect.wait_s + RESPONSE_TIMEOUT_S,
        )

    def _on_read(self, effect: ReadLog, status: int, value) -> None:
        try:
            records = tuple(
                LogRecord(offset, body) for offset, body in value["records"]
            )
            result = LogRead(
                effect.stream, effect.start, records, value["first"], value["end"]
            )
        except (TypeError, KeyError, ValueError):
            result = _failed_read(effect)
        self._host.dispatch(result if status == 200 else _failed_read(effect))

    def _read_instance_list(self, effect: ReadInstanceList) -> None:
        if self._is_list_requested:
            return
        self._is_list_requested = True
        self._client.call(
            self._settings.instance_list,
            "GET",
            f"/v1/instances?known={effect.known_version}",
            JsonResponse(self._on_instance_list, self._on_instance_list_lost),
            timeout=RESPONSE_TIMEOUT_S,
        )

    def _on_instance_list_lost(self, sent: bool) -> None:
        self._is_list_requested = False
        self._host.dispatch(InstanceList(0, (), failed=True))

    def _on_instance_list(self, status: int, value) -> None:
        self._is_list_requested = False
        if status == 304:
            return
        try:
            instances = tuple(
                from_mapping(ListedInstance, entry, "instances")
                for entry in value["instances"]
            )
            result = InstanceList(value["version"], instances)
        except (MappingError, TypeError, KeyError) as error:
            self._host.logger.error("instance_list_bad", problem=str(error))
            result = InstanceList(0, (), failed=True)
        self._host.dispatch(result)

    def _fetch_weights(self, effect: FetchWeights) -> None:
        def on_done(status: int, value) -> None:
            retry_after = 0.0
            if isinstance(value, dict):
                retry_after = float(value.get("retry_after", 0.0))
            self._host.dispatch(WeightsStatus(effect.model, status == 200, retry_after))

        self._client.call(
            self._settings.weight_store,
            "POST",
            f"/v1/weights/{quote(effect.model, safe='')}",
            JsonResponse(
                on_done,
                lambda sent: self._host.dispatch(WeightsStatus(effect.model, False)),
            ),
            timeout=RESPONSE_TIMEOUT_S,
        )


def _failed_read(effect: ReadLog) -> LogRead:
    return LogRead(effect.stream, effect.start, (), 0, 0, failed=True)

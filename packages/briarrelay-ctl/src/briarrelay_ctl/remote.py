"""HTTP clients of the log and of entry instances."""

import json
from http.client import HTTPConnection, HTTPException
from urllib.parse import quote

from attrs import define, frozen

from briarrelay_core.ports.log import LogRead, LogRecord
from briarrelay_core.ports.position import EraPosition
from briarrelay_ctl.settings import CtlSettings, Place

__all__ = ["InstanceClient", "LogClient", "RemoteError", "Response"]


class RemoteError(OSError):
    """A request got no response, or one with an error status.

    :param place: address of the server.
    :param sent: whether the server may have processed the request.
    """

    def __init__(self, place: Place, problem: str, sent: bool):
        self.sent = sent
        super().__init__(f"{place} does not answer ({problem}); check it and try again")


@frozen(slots=True)
class Response:
    """Status and JSON value of an HTTP response."""

    status: int
    value: object


def _call(place: Place, method: str, target: str, body, headers, timeout) -> Response:
    connection = HTTPConnection(place.host, place.port, timeout=timeout)
    try:
        connection.connect()
    except OSError as error:
        raise RemoteError(place, str(error), sent=False) from error
    try:
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        raw = response.read()
        return Response(response.status, json.loads(raw) if raw else None)
    except (OSError, HTTPException, ValueError) as error:
        raise RemoteError(place, str(error) or "no response", sent=True) from error
    finally:
        connection.close()


@define(slots=True)
class LogClient:
    """Client of the platform's log."""

    settings: CtlSettings

    def append(self, stream: str, bodies: list[str]) -> int:
        """Append records; return the offset of the first.

        :raises RemoteError: if the log does not confirm it.
        """
        body = json.dumps({"records": bodies})
        response = self._request("POST", stream, "", body)
        return response.value["offset"]

    def read(self, stream: str, start: int, wait_s: float = 0.0) -> LogRead:
        """Read records from an offset on.

        :param wait_s: seconds that the log may wait for a record.
        """
        response = self._request("GET", stream, f"?from={start}&wait={wait_s}", None)
        value = response.value
        records = tuple(LogRecord(offset, body) for offset, body in value["records"])
        return LogRead(stream, start, records, value["first"], value["end"])

    def read_all(self, stream: str, start: EraPosition):
        """Yield the records from a position to the end of a stream.

        This log has one era.
        """
        offset = start.number
        while True:
            response = self.read(stream, max(offset, 0))
            yield from response.records
            offset = (
                response.records[-1].offset + 1 if response.records else response.end
            )
            if offset >= response.end:
                return

    def _request(self, method: str, stream: str, query: str, body) -> Response:
        place = self.settings.log
        target = f"/v1/streams/{quote(stream, safe='')}{query}"
        response = _call(place, method, target, body, {}, self.settings.timeout_s)
        if response.status != 200:
            raise RemoteError(place, f"status {response.status}", sent=False)
        return response


@define(slots=True)
class InstanceClient:
    """Client of the operators' endpoints of entry instances."""

    settings: CtlSettings

    def get(self, place: Place, path: str) -> Response:
        """Send a GET request."""
        return self._request(place, "GET", path)

    def post(self, place: Place, path: str) -> Response:
        """Send a POST request."""
        return self._request(place, "POST", path)

    def _request(self, place: Place, method: str, path: str) -> Response:
        headers = {"Authorization": f"Bearer {self.settings.operator_key}"}
        return _call(place, method, path, None, headers, self.settings.timeout_s)

"""HTTP calls to the log and to entry instances."""

import json
from http.client import HTTPConnection, HTTPException
from urllib.parse import quote

from attrs import define, frozen

from briarrelay_core.ports.log import LogRead, LogRecord
from briarrelay_ctl.settings import CtlSettings, Place

__all__ = ["Answer", "InstanceClient", "LogClient", "RemoteError"]


class RemoteError(OSError):
    """Something did not answer.

    :param sent: whether it may have taken the call all the same.
    """

    def __init__(self, place: Place, problem: str, sent: bool):
        self.sent = sent
        super().__init__(f"{place} does not answer ({problem}); check it and try again")


@frozen(slots=True)
class Answer:
    """Status and JSON value of an answer."""

    status: int
    value: object


def _call(place: Place, method: str, target: str, body, headers, timeout) -> Answer:
    connection = HTTPConnection(place.host, place.port, timeout=timeout)
    try:
        connection.connect()
    except OSError as error:
        raise RemoteError(place, str(error), sent=False) from error
    try:
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        raw = response.read()
        return Answer(response.status, json.loads(raw) if raw else None)
    except (OSError, HTTPException, ValueError) as error:
        raise RemoteError(place, str(error) or "no answer", sent=True) from error
    finally:
        connection.close()


@define(slots=True)
class LogClient:
    """The platform's log."""

    settings: CtlSettings

    def append(self, stream: str, bodies: list[str]) -> int:
        """Append records; return the offset of the first.

        :raises RemoteError: if there was no answer.
        """
        body = json.dumps({"records": bodies})
        answer = self._ask("POST", stream, "", body)
        return answer.value["offset"]

    def read(self, stream: str, start: int, wait_s: float = 0.0) -> LogRead:
        """Read records from an offset on."""
        answer = self._ask("GET", stream, f"?from={start}&wait={wait_s}", None)
        value = answer.value
        records = tuple(LogRecord(offset, body) for offset, body in value["records"])
        return LogRead(stream, start, records, value["first"], value["end"])

    def read_all(self, stream: str, start: int):
        """Yield every record from an offset to the end."""
        while True:
            answer = self.read(stream, max(start, 0))
            yield from answer.records
            start = answer.records[-1].offset + 1 if answer.records else answer.end
            if start >= answer.end:
                return

    def _ask(self, method: str, stream: str, query: str, body) -> Answer:
        place = self.settings.log
        target = f"/v1/streams/{quote(stream, safe='')}{query}"
        answer = _call(place, method, target, body, {}, self.settings.timeout_s)
        if answer.status != 200:
            raise RemoteError(place, f"status {answer.status}", sent=False)
        return answer


@define(slots=True)
class InstanceClient:
    """The pages of entry instances."""

    settings: CtlSettings

    def get(self, place: Place, path: str) -> Answer:
        """Read a page."""
        return self._ask(place, "GET", path)

    def post(self, place: Place, path: str) -> Answer:
        """Tell an instance to do something."""
        return self._ask(place, "POST", path)

    def _ask(self, place: Place, method: str, path: str) -> Answer:
        headers = {"Authorization": f"Bearer {self.settings.operator_key}"}
        return _call(place, method, path, None, headers, self.settings.timeout_s)

"""Blocking HTTP client of briarrelay, for demos, tests and load generation."""

import json
from http.client import HTTPConnection
from time import monotonic, time

from attrs import define, field

__all__ = ["Caller", "ChatResponse"]

BYTES_PER_TOKEN = 4


@define(slots=True)
class ChatResponse:
    """Response to a chat request.

    :param ttft: seconds to the first text, None if there was none.
    :param seconds: seconds to the end of the response.
    :param is_complete: whether the response ended as its format requires.
    """

    status: int = 0
    text: str = ""
    request_id: str = ""
    ttft: float | None = None
    seconds: float = 0.0
    is_complete: bool = False
    error: dict = field(factory=dict)
    retry_after: str = ""


@define(slots=True)
class Caller:
    """Sends requests to one entry instance.

    :param key: API key of a workspace, sent as bearer token.
    """

    port: int
    key: str = "key-ws1"
    host: str = "127.0.0.1"

    def _headers(self, timeout: float, extra: dict[str, str]) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self.key}",
            "Request-Deadline": f"{time() + timeout:.3f}",
            **extra,
        }

    def chat(
        self,
        tokens: int,
        output_tokens: int = 20,
        timeout: float = 30.0,
        stream: bool = True,
        model: str = "base",
        **headers: str,
    ) -> ChatResponse:
        """Send a prompt of a given length in tokens and read the response.

        :param headers: additional headers; underscores in names become hyphens.
        """
        content = ("briar " * (tokens * BYTES_PER_TOKEN // 6 + 1))[
            : max(1, tokens * BYTES_PER_TOKEN - 6)
        ]
        value = {
            "model": model,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": output_tokens,
            "stream": stream,
        }
        extra = {name.replace("_", "-"): text for name, text in headers.items()}
        return self.post_chat(json.dumps(value), timeout, extra)

    def post_chat(
        self, body: str | bytes, timeout: float, extra: dict[str, str] | None = None
    ) -> ChatResponse:
        """Send a request body as given and read the response."""
        begin = monotonic()
        result = ChatResponse()
        connection = HTTPConnection(self.host, self.port, timeout=timeout + 10)
        try:
            headers = self._headers(timeout, extra or {})
            connection.request("POST", "/v1/chat/completions", body, headers)
            response = connection.getresponse()
            result.status = response.status
            result.request_id = response.getheader("X-Request-Id", "")
            result.retry_after = response.getheader("Retry-After", "")
            if response.getheader("Content-Type") == "text/event-stream":
                self._read_events(response, result, begin)
            else:
                self._read_json(response, result)
        finally:
            connection.close()
        result.seconds = monotonic() - begin
        return result

    def _read_events(self, response, result: ChatResponse, begin: float) -> None:
        chunks = []
        for line in response:
            data = line.removeprefix(b"data: ").strip()
            if not line.startswith(b"data: "):
                continue
            if data == b"[DONE]":
                result.is_complete = True
                continue
            event = json.loads(data)
            if "error" in event:
                result.error = event["error"]
                continue
            result.request_id = event["id"]
            text = event["choices"][0]["delta"].get("content", "")
            if text and result.ttft is None:
                result.ttft = monotonic() - begin
            chunks.append(text)
        result.text = "".join(chunks)

    def _read_json(self, response, result: ChatResponse) -> None:
        value = json.loads(response.read() or b"{}")
        if "error" in value:
            result.error = value["error"]
            return
        result.request_id = value["id"]
        result.text = value["choices"][0]["message"]["content"]
        result.is_complete = True

    def book(
        self, key: str, timeout: float = 10.0, slot: str = "10:00"
    ) -> tuple[int, dict]:
        """Call the booking service; return the status and the decoded JSON."""
        connection = HTTPConnection(self.host, self.port, timeout=timeout + 10)
        try:
            headers = self._headers(timeout, {"Idempotency-Key": key} if key else {})
            body = json.dumps({"slot": slot})
            connection.request("POST", "/v1/services/booking/slots", body, headers)
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"null")
        finally:
            connection.close()

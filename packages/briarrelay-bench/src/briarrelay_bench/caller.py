"""A caller of briarrelay, for demos, tests and load."""

import json
from http.client import HTTPConnection
from time import monotonic, time

from attrs import define, field

__all__ = ["Caller", "ChatAnswer"]

BYTES_PER_TOKEN = 4


@define(slots=True)
class ChatAnswer:
    """What a caller got.

    :param ttft: seconds to the first text, None without any.
    :param seconds: seconds to the end.
    :param is_whole: whether the answer was ended properly.
    """

    status: int = 0
    text: str = ""
    request_id: str = ""
    ttft: float | None = None
    seconds: float = 0.0
    is_whole: bool = False
    error: dict = field(factory=dict)
    retry_after: str = ""


@define(slots=True)
class Caller:
    """Sends requests to one entry instance.

    :param key: bearer key of a workspace.
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
    ) -> ChatAnswer:
        """Send a prompt of a length and read the whole answer."""
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
    ) -> ChatAnswer:
        """Send a body as it is."""
        begin = monotonic()
        answer = ChatAnswer()
        connection = HTTPConnection(self.host, self.port, timeout=timeout + 10)
        try:
            headers = self._headers(timeout, extra or {})
            connection.request("POST", "/v1/chat/completions", body, headers)
            response = connection.getresponse()
            answer.status = response.status
            answer.request_id = response.getheader("X-Request-Id", "")
            answer.retry_after = response.getheader("Retry-After", "")
            if response.getheader("Content-Type") == "text/event-stream":
                self._read_events(response, answer, begin)
            else:
                self._read_whole(response, answer)
        finally:
            connection.close()
        answer.seconds = monotonic() - begin
        return answer

    def _read_events(self, response, answer: ChatAnswer, begin: float) -> None:
        parts = []
        for line in response:
            data = line.removeprefix(b"data: ").strip()
            if not line.startswith(b"data: "):
                continue
            if data == b"[DONE]":
                answer.is_whole = True
                continue
            event = json.loads(data)
            if "error" in event:
                answer.error = event["error"]
                continue
            answer.request_id = event["id"]
            text = event["choices"][0]["delta"].get("content", "")
            if text and answer.ttft is None:
                answer.ttft = monotonic() - begin
            parts.append(text)
        answer.text = "".join(parts)

    def _read_whole(self, response, answer: ChatAnswer) -> None:
        value = json.loads(response.read() or b"{}")
        if "error" in value:
            answer.error = value["error"]
            return
        answer.request_id = value["id"]
        answer.text = value["choices"][0]["message"]["content"]
        answer.is_whole = True

    def book(
        self, key: str, timeout: float = 10.0, slot: str = "10:00"
    ) -> tuple[int, dict]:
        """Call the booking service; return the status and the JSON value."""
        connection = HTTPConnection(self.host, self.port, timeout=timeout + 10)
        try:
            headers = self._headers(timeout, {"Idempotency-Key": key} if key else {})
            body = json.dumps({"slot": slot})
            connection.request("POST", "/v1/services/booking/slots", body, headers)
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"null")
        finally:
            connection.close()

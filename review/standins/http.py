"""A minimal HTTP/1.1 server and client on asyncio."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

MAX_HEAD_BYTES = 65_536


class BadMessageError(Exception):
    """The bytes are no message of the protocol."""


@dataclass
class Message:
    """A request or a response; ``start`` holds the words of its first line."""

    start: list[str]
    headers: list[tuple[str, str]]
    body: bytes = b""
    is_complete: bool = True

    def header(self, name: str, default: str = "") -> str:
        wanted = name.lower()
        return next((v for n, v in self.headers if n.lower() == wanted), default)

    @property
    def path(self) -> str:
        return self.start[1].partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        return dict(parse_qsl(self.start[1].partition("?")[2], keep_blank_values=True))


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the first line and headers, None if the connection ended before."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BadMessageError("ended within the head") from error
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    return Message(lines[0].split(" "), headers)


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body.

    :raises BadMessageError: if the connection ends before the last one.
    """
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise BadMessageError("ended within the chunks")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    message = await read_head(reader)
    if message is None:
        return None
    if message.header("transfer-encoding").lower() == "chunked":
        message.body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        message.body = await reader.readexactly(
            int(message.header("content-length", "0"))
        )
    return message


def encode_response(status: int, headers=(), body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """Serves connections; ``handle(message, writer)`` writes each response."""

    def __init__(self):
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_HEAD_BYTES, backlog=512
        )

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_request(reader)) is not None:
                if len(message.start) != 3:
                    writer.write(encode_response(400, [("Connection", "close")]))
                    await writer.drain()
                    return
                await self.handle(message, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, BadMessageError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            with suppress(OSError):
                writer.close()


@dataclass
class Answer:
    """What a consumer received; status 0 if there was no head."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    problem: str = ""


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read a response into ``answer``, as far as it comes."""
    message = await read_head(reader)
    if message is None:
        answer.problem = "closed without an answer"
        return
    answer.status = int(message.start[1])
    answer.headers = {name.lower(): value for name, value in message.headers}
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        async for chunk in read_chunks(reader):
            answer.body += chunk
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read()
    answer.is_complete = True


async def send(
    host: str, port: int, request: bytes, timeout_s: float, connect_s: float = 1.0
) -> Answer:
    """Send a request on a new connection and return what came back."""
    answer = Answer()
    writer = None
    try:
        connection = asyncio.open_connection(host, port)
        reader, writer = await asyncio.wait_for(connection, connect_s)
        writer.write(request)
        await asyncio.wait_for(read_answer(reader, answer), timeout_s)
    except TimeoutError:
        answer.problem = "no complete answer in time"
    except (OSError, asyncio.IncompleteReadError, BadMessageError) as error:
        answer.problem = f"{type(error).__name__}: {error}"
    finally:
        if writer is not None:
            writer.close()
    return answer

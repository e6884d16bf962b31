"""The platform's store: a log with keyed topics, as the users' pages describe it."""

import asyncio
import json
import time
from base64 import b64encode
from struct import pack, unpack_from

from standins.http import Server, encode_response

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
READ_BYTES = 1_024 * 1_024


class Partition:
    """The records of a topic, and the newest one of each key."""

    def __init__(self):
        self.records: list[bytes] = []
        self.first = 0
        self.newest: dict[bytes, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, contents: list[bytes], is_keyed: bool) -> int:
        offset = self.end
        for content in contents:
            if is_keyed:
                stop = 1 + content[0]
                key, value = content[1:stop], content[stop:]
                if value:
                    self.newest[key] = (self.end, value)
                else:
                    self.newest.pop(key, None)
            self.records.append(content)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store(Server):
    """Serves the calls of the system; the operator and engines use :meth:`put`."""

    def __init__(self):
        super().__init__()
        self.partitions: dict[str, Partition] = {}
        self.reads: list[tuple[float, str, str]] = []

    def delete_records(self, topic: str) -> None:
        """Delete all records of a keyed topic; the newest of each key stays."""
        partition = self.partition(topic)
        partition.first, partition.records = partition.end, []

    def last_read(self, topic: str, host: str) -> float:
        """Return the time of the last read or listing of a topic by a machine."""
        times = (at for at, t, h in self.reads if (t, h) == (topic, host))
        return max(times, default=0.0)

    def partition(self, topic: str) -> Partition:
        if topic not in self.partitions:
            self.partitions[topic] = Partition()
        return self.partitions[topic]

    def put(self, topic: str, key: str | bytes, value) -> float:
        """Write a keyed record; return the time of the acknowledgement.

        :param value: bytes or what is encoded as JSON; None deletes the key.
        """
        name = key.encode() if isinstance(key, str) else key
        if value is None:
            value = b""
        elif not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.partition(topic).append([bytes([len(name)]) + name + value], True)
        return time.time()

    async def handle(self, message, writer) -> None:
        query = message.query
        topic = query.get("topic", "")
        if message.path != "/api/log-append":
            host = (writer.get_extra_info("peername") or ("",))[0]
            self.reads.append((time.time(), topic, host))
        if message.path == "/api/log-append":
            writer.write(self._append(topic, query, message.body))
        elif message.path == "/api/log-newest":
            writer.write(self._newest(topic, query))
        elif message.path == "/api/log-read":
            writer.write(await self._read(topic, query))
        else:
            writer.write(encode_response(404))

    def _append(self, topic: str, query: dict, body: bytes) -> bytes:
        partition, contents, position = self.partition(topic), [], 0
        if topic in ("keyed.op", "keyed.servers"):
            return encode_response(403)
        if "at" in query and int(query["at"]) != partition.end:
            return _json(412, {"end": partition.end})
        while position < len(body):
            (length,) = unpack_from(">I", body, position)
            contents.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        offset = partition.append(contents, topic.startswith("keyed."))
        return _json(200, {"offset": offset, "end": partition.end})

    def _newest(self, topic: str, query: dict) -> bytes:
        partition = self.partition(topic)
        after = query.get("after", "").encode()
        keys = sorted(key for key in partition.newest if key > after)
        items, size = [], 0
        for key in keys:
            offset, value = partition.newest[key]
            text = b64encode(value).decode()
            if items and (len(items) == PAGE_ITEMS or size + len(text) > PAGE_BYTES):
                break
            size += len(text)
            items.append({"key": key.decode(), "value": text, "offset": offset})
        has_more = len(items) < len(keys)
        page = {"items": items, "has-more": has_more, "end": partition.end}
        return _json(200, page)

    async def _read(self, topic: str, query: dict) -> bytes:
        partition, start = self.partition(topic), int(query["from"])
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while start == partition.end and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(partition.changed.wait(), left)
            except TimeoutError:
                break
        if not partition.first <= start <= partition.end:
            return _json(410, {"first": partition.first})
        body, index = pack(">QQ", partition.end, partition.first), start
        limit = int(query.get("max-kb", 1_024)) * 1_024
        while index < partition.end:
            content = partition.records[index - partition.first]
            if len(body) > 16 and len(body) + 4 + len(content) > limit:
                break
            body += pack(">I", len(content)) + content
            index += 1
        return encode_response(200, [], body)


def _json(status: int, value) -> bytes:
    headers = [("Content-Type", "application/json")]
    return encode_response(status, headers, json.dumps(value).encode())

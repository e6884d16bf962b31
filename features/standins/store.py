"""Stand-in for the platform's store: a log with topics, some of them keyed."""

import random
from base64 import b64encode
from struct import pack, unpack_from

import orjson

from standins.loop import StandInLoop, read_path, read_query

PAGE = 500


class Partition:
    """Records of one partition, and the newest record of each key."""

    def __init__(self, is_keyed: bool):
        self.is_keyed = is_keyed
        self.first = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, body: bytes) -> int:
        offset, at = self.end, 0
        while at < len(body):
            (length,) = unpack_from(">I", body, at)
            content = body[at + 4 : at + 4 + length]
            self.note(content)
            self.records.append(content)
            at += 4 + length
        return offset

    def note(self, content: bytes) -> None:
        if not self.is_keyed:
            return
        end = 1 + content[0]
        key, value = content[1:end].decode(), content[end:]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)

    def forget(self) -> None:
        """Drop the history."""
        self.first = self.end
        self.records = []


class StoreStandIn:
    """Answers the calls of the store.

    :ivar trouble: parts of the calls that are turned away, lost or done late.
    """

    def __init__(self, loop: StandInLoop, host: str, port: int, seed: int = 0):
        self.loop = loop
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.waiting: list = []
        self.random = random.Random(seed)
        self.trouble = {"busy": 0.0, "lost": 0.0, "late": 0.0, "slow_s": 0.0}
        self.refused_hosts: set[str] = set()
        self.calls = 0
        self.server = loop.serve(host, port, self.on_request)

    def partition(self, topic: str, part: int = 0) -> Partition:
        key = (topic, part)
        if key not in self.partitions:
            self.partitions[key] = Partition(topic.startswith("keyed."))
        return self.partitions[key]

    def put(self, topic: str, key: str, value: bytes, part: int = 0) -> int:
        """Write a keyed record as the operator or a server does."""
        content = bytes([len(key)]) + key.encode() + value
        offset = self.partition(topic, part).append(pack(">I", len(content)) + content)
        self.wake()
        return offset

    def on_request(self, exchange) -> None:
        path = read_path(exchange)
        if path.startswith("/standin/"):
            self.control(exchange, path)
            return
        self.calls += 1
        if self.random.random() < self.trouble["busy"]:
            exchange.reply(503, [], b"")
        elif self.trouble["slow_s"]:
            self.loop.later(self.trouble["slow_s"], lambda: self.answer(exchange, path))
        else:
            self.answer(exchange, path)

    def answer(self, exchange, path: str) -> None:
        query = read_query(exchange)
        is_lost = self.random.random() < self.trouble["lost"]
        if path == "/api/log-append":
            if self.random.random() < self.trouble["late"]:
                self.loop.later(2.0, lambda: self.append(None, query, exchange.body))
            else:
                self.append(None if is_lost else exchange, query, exchange.body)
        elif is_lost:
            return
        elif path == "/api/log-newest":
            self.list(exchange, query)
        elif path == "/api/log-read":
            self.read(exchange, query)
        else:
            exchange.reply(404, [], b"")

    def append(self, exchange, query: dict, body: bytes) -> None:
        partition = self.partition(query["topic"], int(query["part"]))
        if "at" in query and int(query["at"]) != partition.end:
            status, value = 412, {"end": partition.end}
        else:
            offset = partition.append(body)
            status, value = 200, {"offset": offset, "end": partition.end}
            self.wake()
        if exchange is not None:
            exchange.reply(status, [], orjson.dumps(value))

    def list(self, exchange, query: dict) -> None:
        partition = self.partition(query["topic"], int(query["part"]))
        keys = sorted(k for k in partition.newest if k > query.get("after", ""))
        items = [
            {
                "key": key,
                "value": b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        page = {"items": items, "has-more": len(keys) > PAGE, "end": partition.end}
        exchange.reply(200, [], orjson.dumps(page))

    def read(self, exchange, query: dict) -> None:
        partition = self.partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        if start < partition.first:
            body = orjson.dumps({"first": partition.first})
            exchange.reply(410, [], body)
            return
        wait_s = int(query.get("wait-ms", 0)) / 1000
        if start < partition.end or wait_s <= 0:
            exchange.reply(200, [], self.encode(partition, start))
            return
        entry = (exchange, query)
        self.waiting.append(entry)
        self.loop.later(wait_s, lambda: self.end_wait(entry, partition, start))

    def end_wait(self, entry, partition: Partition, start: int) -> None:
        if entry in self.waiting:
            self.waiting.remove(entry)
            entry[0].reply(200, [], self.encode(partition, start))

    def encode(self, partition: Partition, start: int) -> bytes:
        records = partition.records[max(0, start - partition.first) :]
        body = b"".join(pack(">I", len(r)) + r for r in records)
        return pack(">QQ", partition.end, partition.first) + body

    def wake(self) -> None:
        waiting, self.waiting = self.waiting, []
        for exchange, query in waiting:
            self.read(exchange, query)

    def control(self, exchange, path: str) -> None:
        """Take a test's word: records to write, trouble to make."""
        order = orjson.loads(exchange.body) if exchange.body else {}
        if path == "/standin/put":
            value = order["value"]
            text = orjson.dumps(value) if value is not None else b""
            self.put(order["topic"], order["key"], text)
        elif path == "/standin/trouble":
            self.trouble.update(order)
        elif path == "/standin/forget":
            for partition in self.partitions.values():
                partition.forget()
        elif path == "/standin/records":
            records = self.partition(order["topic"], order["part"]).records
            exchange.reply(200, [], orjson.dumps([r.decode() for r in records]))
            return
        exchange.reply(200, [], b"{}")

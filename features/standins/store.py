"""Stand-in for the platform's store: a log with plain and keyed topics."""

import random
from base64 import b64encode
from copy import deepcopy
from struct import pack, unpack_from

import orjson

from standins.loop import StandInLoop, read_path, read_query

PAGE_ITEMS = 500


class Partition:
    """Records of one partition and, in a keyed topic, the newest value of each key."""

    def __init__(self, is_keyed: bool):
        self.is_keyed = is_keyed
        self.first_offset = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        return self.first_offset + len(self.records)

    def append(self, body: bytes) -> int:
        offset, position = self.end, 0
        while position < len(body):
            (length,) = unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            self.index_key(content)
            self.records.append(content)
            position += 4 + length
        return offset

    def index_key(self, content: bytes) -> None:
        if not self.is_keyed:
            return
        end = 1 + content[0]
        key, value = content[1:end].decode(), content[end:]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)

    def drop_records(self) -> None:
        """Drop all records; the newest value of each key and the end stay."""
        self.first_offset = self.end
        self.records = []


class StoreStandIn:
    """Serves the store's HTTP calls, with faults that tests set.

    :ivar faults: ``busy`` is the probability that a call is rejected with 503,
        ``lost`` that its response is not sent, ``late`` that an append is applied 2 s
        later without a response; ``slow_s`` delays every call by so many seconds.
    :ivar era: rises each time that the store returns to its copy.
    :ivar copy: partitions at the time of the last copy.
    """

    def __init__(self, loop: StandInLoop, host: str, port: int, seed: int = 0):
        self.loop = loop
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.waiting_reads: list = []
        self.random = random.Random(seed)
        self.faults = {"busy": 0.0, "lost": 0.0, "late": 0.0, "slow_s": 0.0}
        self.refused_hosts: set[str] = set()
        self.era = 1
        self.copy: dict[tuple[str, int], Partition] = {}
        self.calls = 0
        self.server = loop.serve(host, port, self.on_request)

    def get_partition(self, topic: str, part: int = 0) -> Partition:
        key = (topic, part)
        if key not in self.partitions:
            self.partitions[key] = Partition(topic.startswith("keyed."))
        return self.partitions[key]

    def put(self, topic: str, key: str, value: bytes, part: int = 0) -> int:
        """Write a keyed record as the operator or a server does."""
        content = bytes([len(key)]) + key.encode() + value
        offset = self.get_partition(topic, part).append(
            pack(">I", len(content)) + content
        )
        self.answer_waiting_reads()
        return offset

    def on_request(self, exchange) -> None:
        path = read_path(exchange)
        if path.startswith("/standin/"):
            self.handle_control(exchange, path)
            return
        self.calls += 1
        if self.random.random() < self.faults["busy"]:
            self.reply(exchange, 503, b"")
        elif self.faults["slow_s"]:
            self.loop.call_later(
                self.faults["slow_s"], lambda: self.handle_call(exchange, path)
            )
        else:
            self.handle_call(exchange, path)

    def handle_call(self, exchange, path: str) -> None:
        query = read_query(exchange)
        is_lost = self.random.random() < self.faults["lost"]
        if path == "/api/log-append":
            if self.random.random() < self.faults["late"]:
                self.loop.call_later(
                    2.0, lambda: self.append(None, query, exchange.body)
                )
            else:
                self.append(None if is_lost else exchange, query, exchange.body)
        elif is_lost:
            return
        elif path == "/api/log-newest":
            self.list_newest(exchange, query)
        elif path == "/api/log-read":
            self.read_records(exchange, query)
        else:
            self.reply(exchange, 404, b"")

    def append(self, exchange, query: dict, body: bytes) -> None:
        partition = self.get_partition(query["topic"], int(query["part"]))
        if "at" in query and int(query["at"]) != partition.end:
            status, value = 412, {"end": partition.end}
        else:
            offset = partition.append(body)
            status, value = 200, {"offset": offset, "end": partition.end}
            self.answer_waiting_reads()
        if exchange is not None:
            self.reply(exchange, status, orjson.dumps(value))

    def reply(self, exchange, status: int, body: bytes) -> None:
        exchange.reply(status, [(b"Store-Era", b"%d" % self.era)], body)

    def return_to_copy(self) -> None:
        """Return to the copy; reads that wait are broken off."""
        self.partitions = deepcopy(self.copy)
        self.era += 1
        waiting, self.waiting_reads = self.waiting_reads, []
        for exchange, _ in waiting:
            exchange.abort()

    def list_newest(self, exchange, query: dict) -> None:
        partition = self.get_partition(query["topic"], int(query["part"]))
        keys = sorted(k for k in partition.newest if k > query.get("after", ""))
        items = [
            {
                "key": key,
                "value": b64encode(partition.newest[key][1]).decode(),
                "offset": partition.newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        page = {
            "items": items,
            "has-more": len(keys) > PAGE_ITEMS,
            "end": partition.end,
        }
        self.reply(exchange, 200, orjson.dumps(page))

    def read_records(self, exchange, query: dict) -> None:
        partition = self.get_partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        if not partition.first_offset <= start <= partition.end:
            body = orjson.dumps({"first": partition.first_offset})
            self.reply(exchange, 410, body)
            return
        wait_s = int(query.get("wait-ms", 0)) / 1000
        if start < partition.end or wait_s <= 0:
            self.reply(exchange, 200, self.encode_records(partition, start))
            return
        waiting_read = (exchange, query)
        self.waiting_reads.append(waiting_read)
        self.loop.call_later(
            wait_s, lambda: self.time_out_read(waiting_read, partition, start)
        )

    def time_out_read(self, waiting_read, partition: Partition, start: int) -> None:
        if waiting_read in self.waiting_reads:
            self.waiting_reads.remove(waiting_read)
            self.reply(waiting_read[0], 200, self.encode_records(partition, start))

    def encode_records(self, partition: Partition, start: int) -> bytes:
        records = partition.records[max(0, start - partition.first_offset) :]
        body = b"".join(pack(">I", len(r)) + r for r in records)
        return pack(">QQ", partition.end, partition.first_offset) + body

    def answer_waiting_reads(self) -> None:
        waiting, self.waiting_reads = self.waiting_reads, []
        for exchange, query in waiting:
            self.read_records(exchange, query)

    def handle_control(self, exchange, path: str) -> None:
        """Apply a test's command: write a record, set faults, drop or list records."""
        command = orjson.loads(exchange.body) if exchange.body else {}
        if path == "/standin/put":
            value = command["value"]
            text = orjson.dumps(value) if value is not None else b""
            self.put(command["topic"], command["key"], text)
        elif path == "/standin/trouble":
            self.faults.update(command)
        elif path == "/standin/forget":
            for partition in self.partitions.values():
                partition.drop_records()
        elif path == "/standin/copy":
            self.copy = deepcopy(self.partitions)
        elif path == "/standin/return":
            self.return_to_copy()
        elif path == "/standin/records":
            records = self.get_partition(command["topic"], command["part"]).records
            exchange.reply(200, [], orjson.dumps([r.decode() for r in records]))
            return
        exchange.reply(200, [], b"{}")

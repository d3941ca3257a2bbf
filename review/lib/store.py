"""Stand-in of the platform's store, by the section "The platform's metadata store" of PROTOCOL."""

import asyncio
import base64
import json
import time
from urllib.parse import unquote

from http_server import HttpServer, SILENT

ROW_BYTES = 65536
MOST_ENTRIES = 100
MOST_CALL_BYTES = 1_000_000
MOST_ROWS = 500
ANSWER_S = 0.004
TRANSACTION_S = 0.006
PART_WRITES_PER_S = 200


class Store:
    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key): (value, revision)
        self.history = []  # (revision, table, part, key, value or None)
        self.revision = 0
        self.changed = asyncio.Condition()
        self.writing = asyncio.Lock()
        self.down = False  # all calls get 503
        self.slow = 1.0  # answers take this many times as long
        self.lose = False  # transactions are done and not answered
        self.refused = []  # calls beyond the store's limits: (time, reason)
        self.server = HttpServer(self.handle)

    async def start(self, host, port):
        await self.server.start(host, port)

    def answer(self, rows=(), more=False, revision=None):
        return {"rows": list(rows), "Ver": self.revision if revision is None else revision,
                "HasMore": more, "NowMs": int(time.monotonic() * 1000)}

    @staticmethod
    def row(table, part, key, value, revision):
        entry = {"Table": table, "part": part, "Key": key, "Ver": revision}
        entry.update({"Value": value} if value is not None else {"Value": "", "Deleted": True})
        return entry

    async def handle(self, method, path, query, headers, body):
        if self.down:
            await asyncio.sleep(ANSWER_S)
            return 503, {}
        if path == "/rows-tx":
            return await self.transact(body)
        query = {name: unquote(value) for name, value in query.items()}
        if path == "/rows-get":
            await asyncio.sleep(ANSWER_S * self.slow / 2)
            answer = self.read(query)
            await asyncio.sleep(ANSWER_S * self.slow / 2)
            return 200, answer
        if path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, body):
        """Applies a transaction. One part handles its transactions one after another."""
        call = json.loads(body)
        conditions, writes, removals = (call.get(name) or []
                                        for name in ("ExpectRev", "Writes", "Remove"))
        reason = self.beyond_limits(body, conditions, writes, removals)
        if reason:
            self.refused.append((time.monotonic(), reason))
            self.record(f"store refuses a transaction: {reason}")
            await asyncio.sleep(ANSWER_S * self.slow)
            return 400, {}
        await asyncio.sleep(TRANSACTION_S * self.slow / 2)
        async with self.writing:
            await asyncio.sleep(1 / PART_WRITES_PER_S)
            place = lambda entry: (entry["Table"], entry.get("part", ""), entry["Key"])
            known = {place(entry): self.rows.get(place(entry)) for entry in conditions}
            holds = all((known[place(entry)][1] if known[place(entry)] else 0) == entry["Ver"]
                        for entry in conditions)
            if not holds:
                current = [self.row(*at, found[0], found[1]) for at, found in known.items() if found]
                status, answer = 412, self.answer(current)
            else:
                self.revision += 1
                for entry in writes:
                    self.rows[place(entry)] = (entry["Value"], self.revision)
                    self.history.append((self.revision, *place(entry), entry["Value"]))
                for entry in removals:
                    if self.rows.pop(place(entry), None):
                        self.history.append((self.revision, *place(entry), None))
                status, answer = 200, self.answer()
                async with self.changed:
                    self.changed.notify_all()
        await asyncio.sleep(TRANSACTION_S * self.slow / 2)
        return SILENT if self.lose else (status, answer)

    @staticmethod
    def beyond_limits(body, conditions, writes, removals):
        if len(conditions) + len(writes) + len(removals) > MOST_ENTRIES:
            return "more than 100 entries"
        if len(body) > MOST_CALL_BYTES:
            return f"a call of {len(body)} bytes"
        for entry in writes:
            size = len(base64.b64decode(entry["Value"]))
            if size > ROW_BYTES:
                return f"row {entry['Table']}/{entry['Key']} has {size} bytes, RowBytes is {ROW_BYTES}"
        return None

    def read(self, query):
        table, part, begin = query["Table"], query.get("part", ""), query.get("From", "")
        found = sorted(at for at in self.rows if at[:2] == (table, part) and at[2] >= begin)
        rows, size = [], 0
        for at in found:
            size += len(self.rows[at][0])
            if len(rows) == MOST_ROWS or size > MOST_CALL_BYTES:
                return self.answer(rows, True)
            rows.append(self.row(*at, *self.rows[at]))
        return self.answer(rows)

    async def feed(self, query):
        table, after = query["Table"], int(query["After"])
        until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            rows = [self.row(t, p, k, v, r) for r, t, p, k, v in self.history
                    if t == table and r > after]
            left = until - time.monotonic()
            if rows or left <= 0:
                answer = self.answer(rows)
                await asyncio.sleep(ANSWER_S * self.slow)
                return (503, {}) if self.down else (200, answer)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            if self.down:
                return 503, {}

    def put(self, table, key, content):
        """A write of the operator."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self.revision += 1
        self.rows[(table, "", key)] = (value, self.revision)
        self.history.append((self.revision, table, "", key, value))

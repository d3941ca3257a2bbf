"""Stand-ins of the users' platform for the cases of the third review.

One process serves the platform's store, the runners and the advice service on loopback addresses,
and starts the project's programs with the commands of the deploy file. Names and formats follow
PROTOCOL.md and DEPLOY.md. Nothing here is shared with the project's own code.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "eelgrass_batch")
MOST_LISTED_ENDS = 500
MOST_ROWS = 500


class CannotRun(Exception):
    """The case cannot run on this machine."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {kind} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        try:
            found = json.loads(self.body or b"{}")
        except ValueError:
            return None
        return found if isinstance(found, dict) else None


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or 0)
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class HttpServer:
    """Serves one address. `handle` returns (status, body) or None, which leaves the call unanswered."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 22)

    async def stop(self, abort=False):
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            if abort:
                writer.transport.abort()
            else:
                writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                data = content if isinstance(content, bytes) else json.dumps(content).encode()
                head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n")
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: rows with versions from one counter, transactions and feeds."""

    def __init__(self, answer_s=0.004):
        self.rows = {}  # (table, part, key) -> (value, version)
        self.changes = []  # (version, table, part, key, value or None)
        self.version = 0
        self.history_from = 0  # changes up to this one are forgotten
        self.answer_s = answer_s
        self.began = time.monotonic()
        self.changed = asyncio.Event()
        self.counts = {}
        self.before = None  # called with each request; may return an answer, or "silent"
        self.silent = False  # answers nothing, also no call that waits
        self.while_silent = None  # called with each request that comes meanwhile
        self.on_write = None  # called with (table, key, value) after each write

    def now_ms(self):
        return 50000 + int((time.monotonic() - self.began) * 1000)

    def stamped(self, body):
        body["Ver"] = self.version
        body["NowMs"] = self.now_ms()
        return body

    @staticmethod
    def shown(table, part, key, value, version):
        row = {"Table": table, "part": part, "Key": key, "Ver": version}
        if value is None:
            row["Deleted"] = True
        else:
            row["Value"] = base64.b64encode(value).decode()
        return row

    def put(self, table, key, value, part=""):
        """A transaction of the operator."""
        self.version += 1
        self.write(table, part, key, value)
        self.wake()

    def write(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (value, self.version)
        self.changes.append((self.version, table, part, key, value))
        if self.on_write is not None:
            self.on_write(table, key, value)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def transact(self, body):
        entries = [body.get(name) or [] for name in ("ExpectRev", "Writes", "Remove")]
        places = [(e["Table"], e.get("part", ""), e["Key"]) for group in entries for e in group]
        if len(places) > 100 or len({part for _, part, _ in places}) > 1:
            return 400, {}
        if any(table in ("op", "servers") for table, _, _ in places[len(entries[0]):]):
            return 403, {}
        current, holds = [], True
        for condition in entries[0]:
            place = (condition["Table"], condition.get("part", ""), condition["Key"])
            value, version = self.rows.get(place, (None, 0))
            holds = holds and version == condition.get("Ver", 0)
            if version:
                current.append(self.shown(*place, value, version))
        if not holds:
            return 412, self.stamped({"rows": current})
        self.version += 1
        for row in entries[1]:
            value = base64.b64decode(row["Value"])
            if len(value) > 65536:
                return 400, {}
            self.write(row["Table"], row.get("part", ""), row["Key"], value)
        for row in entries[2]:
            self.write(row["Table"], row.get("part", ""), row["Key"], None)
        self.wake()
        return 200, self.stamped({})

    def read(self, query):
        table, part, first = query.get("Table"), query.get("part", ""), query.get("From", "")
        keys = sorted(k for t, p, k in self.rows if t == table and p == part and k >= first)
        rows, size, more = [], 0, False
        for key in keys:
            value, version = self.rows[(table, part, key)]
            size += len(value) * 4 // 3 + 100
            if len(rows) == MOST_ROWS or (rows and size > 1_000_000):
                more = True
                break
            rows.append(self.shown(table, part, key, value, version))
        return 200, self.stamped({"rows": rows, "HasMore": more})

    def news(self, table, after):
        last = {}
        for version, t, part, key, value in reversed(self.changes):
            if version <= after:
                break
            if t == table and (part, key) not in last:
                last[(part, key)] = (version, value)
        rows = sorted((v, part, key, value) for (part, key), (v, value) in last.items())
        return [self.shown(table, part, key, value, v) for v, part, key, value in rows]

    async def handle(self, request):
        if self.silent:
            if self.while_silent is not None:
                self.while_silent(request)
            return None
        answer = await self.answer(request)
        return None if self.silent else answer

    async def answer(self, request):
        self.counts[request.path] = self.counts.get(request.path, 0) + 1
        if self.before is not None:
            answer = self.before(request)
            if answer == "silent":
                return None
            if answer is not None:
                return answer
        await asyncio.sleep(self.answer_s)
        if request.path == "/rows-tx":
            body = request.json()
            return (400, {}) if body is None else self.transact(body)
        if request.path == "/rows-get":
            return self.read(request.query)
        if request.path == "/rows-feed":
            until = time.monotonic() + int(request.query.get("WaitMs", "0")) / 1000
            while True:
                if int(request.query.get("After", "0")) < self.history_from:
                    return 410, self.stamped({})
                changed = self.changed
                rows = self.news(request.query.get("Table"), int(request.query.get("After", "0")))
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self.stamped({"rows": rows})
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Job:
    def __init__(self, name, steps, spec, work_ms, fails_after_s=None, advised=True):
        self.name, self.steps, self.spec, self.work_ms = name, steps, spec, work_ms
        self.advised = advised  # its queue has advice, if the site has the service
        self.fails_after_s = fails_after_s  # called for each run; None: it does not fail


class Gang:
    def __init__(self, size, now):
        self.size, self.first_at, self.members = size, now, {}
        self.began = None
        self.end = None


class Runner:
    """One machine's runner; `start_life` begins a life of it."""

    def __init__(self, site, number):
        self.site, self.number = site, number
        self.ip = site.worker_ip(number)
        self.address = f"{self.ip}:{site.app_port}"
        self.zone = site.zones[number % len(site.zones)]
        self.machine = f"m-{number:03d}"
        self.rack = f"r1-{number // site.rack_size}"
        self.kind = site.kinds.get(number, "a")
        self.server = HttpServer(self.ip, site.app_port, self.handle)
        self.up = False
        self.lives = 0
        self.beats = None
        self.grey = None  # seconds after which whatever starts now fails; None: it does not

    async def start_life(self, keep_id=False):
        self.lives += 1
        if not keep_id or self.lives == 1:
            self.id = f"i-{self.number:03d}{self.lives:02d}"
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.running = {}  # (task, run) -> dict
        self.ended = []  # [n, task, run, how, saved]
        self.barred = {}
        self.ends = 0
        self.seen = 0
        self.state = "ready"
        self.sequence = 0
        self.up = True
        self.news = asyncio.Event()
        await self.server.start()
        self.beats = asyncio.create_task(self.beat())
        self.site.record.line("runner-up", id=self.id, born=self.born, at=self.address)

    async def crash(self):
        self.up = False
        self.beats.cancel()
        self.site.record.line("runner-crashed", id=self.id,
                              running=",".join(f"{t}/{r}" for t, r in self.running))
        for (task, run), entry in list(self.running.items()):
            self.site.on_end(self, task, run, "crashed")
            if entry["gang"] is not None:
                entry["gang"].end = "broken"
        self.running.clear()
        await self.server.stop(abort=True)

    def clock(self):
        return 100000 + int((time.monotonic() - self.started) * 1000)

    async def beat(self):
        while True:
            self.sequence += 1
            body = {"Service": self.site.service, "Addr": self.address, "Zone": self.zone,
                    "Version": "v1", "Slots": 8, "State": self.state, "ColdMs": 0,
                    "Machine": self.machine, "Capacity": self.site.capacity,
                    "Labels": [self.kind, self.rack], "ClockMs": self.clock(), "Seq": self.sequence,
                    "born": self.born}
            try:
                await asyncio.wait_for(
                    call(self.ip, self.site.control_port, "PUT", "/instances/" + self.id, body), 1)
            except (OSError, asyncio.TimeoutError, CallFailed):
                pass
            await asyncio.sleep(self.site.heartbeat_s)

    def end(self, key, how, saved=""):
        entry = self.running.pop(key)
        self.ends += 1
        self.barred[key[0]] = max(self.barred.get(key[0], 0), key[1])
        self.ended.append([self.ends, key[0], key[1], how, saved])
        self.site.on_end(self, key[0], key[1], how)
        if entry["gang"] is not None and entry["gang"].end is None:
            entry["gang"].end = "done" if how == "done" else "broken"
        self.news.set()
        self.news = asyncio.Event()

    def advance(self):
        now = time.monotonic()
        lapsed = self.clock() > self.deadline_ms
        for key, entry in list(self.running.items()):
            gang = entry["gang"]
            if lapsed:
                self.end(key, "lapsed")
            elif entry["stop_at"] is not None and now >= entry["stop_at"]:
                self.end(key, "stopped")
            elif gang is not None and gang.end is not None:
                self.end(key, gang.end)
            elif gang is not None and gang.began is None:
                if now - gang.first_at > self.site.gang_timeout_s:
                    self.end(key, "alone")
            elif entry["fails_at"] is not None and now >= entry["fails_at"]:
                self.end(key, "failed")
            elif entry["lasts"]:
                continue
            elif now - (gang.began if gang else entry["at"]) >= entry["work_s"]:
                self.end(key, "done")

    def refuse(self, reason):
        return 409, {"ClockMs": self.clock(), "born": self.born, "Reason": reason}

    def start(self, body):
        key = (body["Task"], body["Run"])
        if body.get("Fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("Fence", 0)
        deadline = min(body.get("DeadlineMs", 0), self.clock() + self.site.hold_max_ms)
        if deadline <= self.clock():
            return self.refuse("late")
        if key in self.running:
            self.deadline_ms = max(self.deadline_ms, deadline)
            return 200, {"ClockMs": self.clock(), "born": self.born}
        self.deadline_ms = max(self.deadline_ms, deadline)
        if key[1] <= self.barred.get(key[0], 0):
            return self.refuse("old")
        name, _, step, _ = key[0].split(".")
        job = self.site.jobs.get(name)
        shape = job.steps[int(step)] if job else {}
        used = {"Cpu": 0, "MemMb": 0, "Gpu": 0}
        for entry in self.running.values():
            for part in used:
                used[part] += entry["needs"].get(part, 0)
        if any(used[part] + shape.get(part, 0) > self.site.capacity[part] for part in used):
            return self.refuse("room")
        advised = self.site.advice is not None and (job is None or job.advised)
        if advised and not self.site.advice.allows(body, self):
            return self.refuse("ticket")
        gang = None
        if shape.get("Gang"):
            place = (key[0].rsplit(".", 1)[0], key[1])
            gang = self.site.gangs.get(place)
            if gang is None:
                gang = self.site.gangs[place] = Gang(shape["Count"], time.monotonic())
            gang.members[key[0]] = self
            if len(gang.members) == gang.size:
                gang.began = time.monotonic()
        work = (job.work_ms[int(step)] if job else 1000) / 1000
        fails = job.fails_after_s() if job and job.fails_after_s else self.grey
        self.running[key] = {"at": time.monotonic(), "work_s": work, "stop_at": None,
                             "fails_at": None if fails is None else time.monotonic() + fails,
                             "gang": gang, "needs": shape, "lasts": shape.get("LongRunning")}
        self.site.on_start(self, body)
        return 200, {"ClockMs": self.clock(), "born": self.born}

    def stop(self, body):
        if body.get("Fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("Fence", 0)
        key = (body["Task"], body["Run"])
        self.barred[key[0]] = max(self.barred.get(key[0], 0), key[1])
        if key in self.running and self.running[key]["stop_at"] is None:
            self.running[key]["stop_at"] = time.monotonic() + self.site.stop_s
        return 200, {"ClockMs": self.clock(), "born": self.born}

    async def hold(self, body):
        if body.get("Fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("Fence", 0)
        if body.get("DeadlineMs", 0) > 0:
            latest = self.clock() + self.site.hold_max_ms
            self.deadline_ms = max(self.deadline_ms, min(body["DeadlineMs"], latest))
        upto = body.get("SeenUpto", 0)
        for end in self.ended:
            if end[0] <= upto:
                self.site.on_seen(self, end)
        self.seen = max(self.seen, upto)
        self.ended = [end for end in self.ended if end[0] > self.seen]
        until = time.monotonic() + body.get("WaitMs", 0) / 1000
        born = self.born
        while not self.ended and time.monotonic() < until and self.up and born == self.born:
            try:
                await asyncio.wait_for(self.news.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        if not self.up or born != self.born:
            return None
        self.advance()
        running = [[task, run, "", min(100 if entry["lasts"] else 99, self.percent(entry)), 0]
                   for (task, run), entry in self.running.items()]
        return 200, {"ClockMs": self.clock(), "born": self.born, "Running": running,
                     "Ended": self.ended[:MOST_LISTED_ENDS]}

    @staticmethod
    def percent(entry):
        if entry["lasts"]:
            return 100
        gang = entry["gang"]
        began = entry["at"] if gang is None else gang.began
        if began is None:
            return 0
        return int((time.monotonic() - began) / max(entry["work_s"], 0.001) * 100)

    async def handle(self, request):
        if not self.up:
            return None
        self.advance()
        body = request.json()
        expected = request.headers.get("x-eelgrasshaven-expect-instance")
        if expected and expected != self.id:
            return 421, {}
        if request.path == "/health":
            return 200, {}
        if body is None:
            return 400, {}
        if self.site.before_runner is not None:
            answer = await self.site.before_runner(self, request, body)
            if answer == "silent":
                return None
            if answer is not None:
                return answer
        if request.path == "/run-start":
            return self.start(body)
        if request.path == "/run-stop":
            return self.stop(body)
        if request.path == "/hold":
            return await self.hold(body)
        if request.path == "/pace":
            return 200, {"ClockMs": self.clock(), "born": self.born}
        return 404, {}


class Advice:
    """The advice service: one call at a time for each calling machine, in turn."""

    def __init__(self, site, decide_ms, period_ms, valid_ms):
        self.site = site
        self.decide_ms, self.period_ms, self.valid_ms = decide_ms, period_ms, valid_ms
        self.locks = {}
        self.waiting = 0
        self.tickets = {}  # (step, worker id) -> (ticket, valid until)
        self.calls = 0

    async def handle(self, request):
        body = request.json()
        if request.path != "/advise" or body is None or len(body.get("Workers", [])) > 100:
            return 400, {}
        if self.waiting >= 32:
            return 429, {}
        self.waiting += 1
        async with self.locks.setdefault("machine", asyncio.Lock()):
            self.waiting -= 1
            await asyncio.sleep((self.decide_ms + self.period_ms * len(body["Workers"])) / 1000)
        self.calls += 1
        known = {runner.id for runner in self.site.runners if runner.up}
        good = []
        for worker in body["Workers"]:
            if worker not in known:
                continue
            ticket = f"{self.calls:x}-{worker}"
            until = time.monotonic() + self.valid_ms / 1000
            self.tickets[(body["Step"], worker)] = (ticket, until)
            good.append([worker, ticket])
        self.site.record.line("advice", step=body["Step"], asked=len(body["Workers"]),
                              good=len(good))
        return 200, {"Good": good, "ValidMs": self.valid_ms}

    def allows(self, body, runner):
        step = body["Task"].rsplit(".", 1)[0]
        ticket, until = self.tickets.get((step, runner.id), ("", 0))
        return bool(ticket) and body.get("Ticket") == ticket and time.monotonic() < until


class CallFailed(Exception):
    """A call got no complete answer."""


async def call(ip, port, method, path, body=None, headers=None, source=None):
    """One call on a connection of its own. Returns the status and the parsed body."""
    local = (source, 0) if source else None
    reader, writer = await asyncio.open_connection(ip, port, limit=1 << 22, local_addr=local)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}",
                 "Content-Type: application/json", "Connection: close"]
        given = {"Host": f"{ip}:{port}"}
        given.update(headers or {})
        lines += [f"{name}: {value}" for name, value in given.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        await writer.drain()
        answer = await read_message(reader)
        if answer is None:
            raise CallFailed()
        status = int(answer[0].split(" ")[1])
        try:
            return status, json.loads(answer[2] or b"{}")
        except ValueError:
            return status, {}
    finally:
        writer.close()


class Site:
    """A small deployment: entries, agents beside runners, the store and what else it needs."""

    def __init__(self, folder, net, entries=3, workers=4, zones=3, rack_size=3, gpus=8,
                 memory_mb=260):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.net = net  # second part of all addresses
        self.entries, self.workers, self.rack_size = entries, workers, rack_size
        self.zones = [f"z{n}" for n in range(zones)]
        self.capacity = {"Cpu": 32000, "MemMb": 131072, "Gpu": gpus}
        self.memory_mb = memory_mb
        self.service = "huvo11a"
        self.front_port, self.ready_port, self.control_port, self.app_port = 8521, 8523, 8526, 8529
        self.first_port = 7000
        self.store_port = 8524
        self.heartbeat_s = 1.5
        self.hold_max_ms, self.stop_s, self.gang_timeout_s = 6000, 0.9, 3.0
        self.jobs, self.gangs, self.runners = {}, {}, []
        self.advice = None
        self.before_runner = None
        self.machines_handle = None
        self.processes = {}  # name -> process
        self.store = Store()
        self.servers = []
        self.starts, self.live, self.ends = [], {}, []
        self.seen_ends = []
        self.twice = []
        self.kinds = {}  # of machines, by number; "a" if there is none

    def ip(self, kind, number):
        return f"127.{self.net}.{kind}.{number + 1}"

    def worker_ip(self, number):
        return self.ip(2, number)

    # What the runners have seen.
    def on_start(self, runner, body):
        task, run = body["Task"], body["Run"]
        now = self.record.now()
        self.record.line("start", task=task, run=run, worker=runner.id, fence=body.get("Fence"))
        self.starts.append((now, task, run, runner.id, body))
        others = self.live.setdefault(task, {})
        if others:
            self.twice.append((now, task, run, runner.id, dict(others)))
            self.record.line("TWICE-AT-ONCE", task=task, run=run, worker=runner.id, beside=others)
        others[(runner.id, runner.born, run)] = now

    def on_end(self, runner, task, run, how):
        self.record.line("end", task=task, run=run, worker=runner.id, how=how)
        self.live.get(task, {}).pop((runner.id, runner.born, run), None)
        self.ends.append((self.record.now(), task, run, runner.id, how))

    def on_seen(self, runner, end):
        self.seen_ends.append((self.record.now(), end[1], end[2], runner.id, end[3]))

    def settings(self, role, number, seeds=None):
        ip = self.ip(1, number) if role == "entry" else self.worker_ip(number)
        zone = self.zones[number % len(self.zones)]
        body = {
            "Node": f"{role}-{number}", "Role": role,
            "Class": "edge" if role == "entry" else "side",
            "Serves": ["edge", "control"] if role == "entry" else ["side"],
            "Ip": ip, "Zone": zone, "Region": "cuyo",
            "Zones": {name: "cuyo" for name in self.zones},
            "Listen": {"Control": f"{ip}:{self.control_port}"},
            "PortRange": [self.first_port, self.first_port + 15],
            "Seeds": seeds or [f"{self.ip(1, n)}:{self.control_port}"
                               for n in range(min(3, self.entries))],
            "Bootstrap": True,
            "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": self.memory_mb, "MaxFds": 4100},
            "DataDir": None, "Discovery": "local", "Entry": "vip", "HeartbeatMs": 1500,
            "Bounds": {"ConfigApplyMs": 2000, "RevokeMs": 5000, "GraceS": 6, "HoldMaxMs": 6000,
                       "StopTimeoutMs": 900, "GangTimeoutMs": 3000, "RestoreMs": 600,
                       "early_ms": 250, "visible_ms": 3000, "cancel_ms": 3000, "finish_s": 14},
            "ControlMode": "call",
            "platform": {"Addr": f"127.{self.net}.0.1:{self.store_port}", "form": "table",
                         "WritesPerS": 800, "ReadsPerS": 2000, "RowBytes": 65536},
            "Cloud": {"Addr": f"127.{self.net}.0.2:{self.store_port}", "RatePerS": 60.0},
        }
        if role == "entry":
            body["Listen"]["Front"] = f"{ip}:{self.front_port}"
            body["Listen"]["Ready"] = f"{ip}:{self.ready_port}"
        else:
            body["app"] = f"{ip}:{self.app_port}"
        if self.advice is not None:
            body["Advice"] = f"127.{self.net}.0.3:{self.store_port}"
        return body

    async def machines(self, request):
        if request.path != "/machines":
            return 404, {}
        if self.machines_handle is not None:
            answer = self.machines_handle(request)
            if answer is not None:
                return answer
        found = [{"Machine": r.machine, "Pool": self.service, "State": "up" if r.up else "down",
                  "Zone": r.zone, "Labels": [r.kind, r.rack], "Capacity": self.capacity,
                  "Id": r.id if r.up else None} for r in self.runners]
        return 200, {"Machines": found, "NextToken": None}

    def pick_ports(self):
        """Moves to other ports if something listens at one that the case needs."""
        wanted = [(self.ip(1, 0), self.front_port), (self.ip(1, 0), self.first_port),
                  (f"127.{self.net}.0.1", self.store_port), (self.worker_ip(0), self.app_port)]
        for ip, port in wanted:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((ip, port))
                except OSError as problem:
                    raise CannotRun(f"{ip}:{port}: {problem}") from problem

    async def start(self, config):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/bin/eelgrass_batch is missing: build the deploy file first")
        self.pick_ports()
        self.work = tempfile.mkdtemp(prefix="eelgrass-review-")
        self.servers = [HttpServer(f"127.{self.net}.0.1", self.store_port, self.store.handle),
                        HttpServer(f"127.{self.net}.0.2", self.store_port, self.machines)]
        if self.advice is not None:
            self.servers.append(
                HttpServer(f"127.{self.net}.0.3", self.store_port, self.advice.handle))
        for server in self.servers:
            await server.start()
        self.store.put("op", "config", json.dumps(config).encode())
        for number in range(self.entries):
            self.launch("entry", number)
        for number in range(self.workers):
            self.launch("agent", number)
        for number in range(self.workers):
            runner = Runner(self, number)
            self.runners.append(runner)
            await runner.start_life()
        self.ticker = asyncio.create_task(self.tick())

    async def tick(self):
        while True:
            for runner in self.runners:
                if runner.up:
                    runner.advance()
            await asyncio.sleep(0.02)

    def launch(self, role, number, seeds=None):
        name = f"{role}-{number}"
        path = os.path.join(self.work, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(role, number, seeds), file)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["EELGRASSHAVEN_SETTINGS"] = path
        log = os.open(os.path.join(self.work, name + ".log"),
                      os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        pid = os.posix_spawn(PROGRAM, [PROGRAM, role], environment,
                             file_actions=[(os.POSIX_SPAWN_DUP2, log, 1),
                                           (os.POSIX_SPAWN_DUP2, log, 2),
                                           (os.POSIX_SPAWN_CLOSE, log)])
        os.close(log)
        self.processes[name] = pid
        self.record.line("process-started", name=name)

    def kill(self, name, number=signal.SIGKILL):
        self.record.line("signal", name=name, signal=signal.Signals(number).name)
        os.kill(self.processes[name], number)
        if number == signal.SIGKILL:
            os.waitpid(self.processes.pop(name), 0)

    def ended_processes(self):
        """The processes that have ended by themselves, with their exit statuses."""
        gone = {}
        for name, pid in list(self.processes.items()):
            found, status = os.waitpid(pid, os.WNOHANG)
            if found:
                gone[name] = os.waitstatus_to_exitcode(status)
                del self.processes[name]
                self.record.line("process-ended", name=name, status=gone[name])
        return gone

    def memory_of(self, name):
        """Resident memory of a process, in MB."""
        with open(f"/proc/{self.processes[name]}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            good = 0
            for number in range(self.entries):
                try:
                    status, _ = await asyncio.wait_for(
                        call(self.ip(1, number), self.ready_port, "GET", "/ready"), 1)
                    good += status == 200
                except (OSError, asyncio.TimeoutError, CallFailed):
                    pass
            if good == self.entries:
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the entries did not become ready")

    async def planner(self):
        """The number of the entry that plans, by the entries' metrics; None: none says so."""
        for number in range(self.entries):
            try:
                reader, writer = await asyncio.open_connection(self.ip(1, number),
                                                               self.first_port + 15)
                writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                continue
            if answer and b"eelgrass_planning 1" in answer[2]:
                return number
        return None

    async def client(self, entry, method, path, body=None, key="key-a", wait_ms=3000):
        """A client's call. Returns the status and body, or (0, {}) after no answer."""
        headers = {"Host": "nony24.example", "Authorization": "Bearer " + key,
                   "X-Eelgrasshaven-Deadline-Ms": str(wait_ms)}
        self.record.line("call", entry=entry, method=method, path=path)
        try:
            status, answer = await asyncio.wait_for(
                call(self.ip(1, entry), self.front_port, method, path, body, headers),
                wait_ms / 1000)
        except (OSError, asyncio.TimeoutError, CallFailed) as problem:
            status, answer = 0, {"problem": type(problem).__name__}
        self.record.line("answer", entry=entry, method=method, path=path, status=status,
                         body=json.dumps(answer))
        return status, answer

    def add_job(self, name, steps, work_ms, spec="text", fails_after_s=None, advised=True):
        self.jobs[name] = Job(name, steps, spec, work_ms, fails_after_s, advised)
        return {"Spec": spec, "Steps": steps}

    async def submit(self, prefix, name, body, tries=5, entry=0, key="key-a"):
        """Hands a job in as clients do: again after an answer that is none, at another entry."""
        told = []
        for turn in range(tries):
            status, _ = await self.client((entry + turn) % self.entries, "POST", prefix + name,
                                          body, key)
            told.append(status)
            if 200 <= status < 300:
                break
            await asyncio.sleep(0.5)
        return told

    async def stop(self):
        if hasattr(self, "ticker"):
            self.ticker.cancel()
        for runner in self.runners:
            if runner.beats is not None:
                runner.beats.cancel()
        for name, pid in self.processes.items():
            try:
                os.kill(pid, signal.SIGCONT)
                os.kill(pid, signal.SIGKILL)
                os.waitpid(pid, 0)
            except (ProcessLookupError, ChildProcessError):
                pass
        self.processes.clear()
        for server in self.servers + [runner.server for runner in self.runners]:
            await server.stop(abort=True)
        if hasattr(self, "work"):
            kept = os.environ.get("KEEP_LOGS")
            if kept:
                shutil.copytree(self.work, kept, dirs_exist_ok=True)
            shutil.rmtree(self.work, ignore_errors=True)


def route(name, prefix, priority=1, attempts=3, stretch=3.0, target_ms=1000, service="huvo11a",
          **more):
    found = {"Name": name, "Host": "nony24.example", "PathPrefix": prefix, "Kind": "unsafe",
             "TimeoutMs": 3000, "TargetLatencyMs": target_ms, "Priority": priority,
             "Service": service, "Attempts": attempts, "Stretch": stretch, "Public": False}
    found.update(more)
    return found


def config(version, routes, service="huvo11a"):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": service, "RejectsOverload": True}],
            "Limits": {"MaxBodyBytes": 262144},
            "Tenants": [{"Name": "tenant-a", "ApiKeys": ["key-a"], "GuaranteedGpus": 8},
                        {"Name": "tenant-b", "ApiKeys": ["key-b"], "GuaranteedGpus": 8}]}


def run_case(play, folder):
    """Plays a case. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run."""
    try:
        broken = asyncio.run(play(folder, os.environ.get("TROUBLE", "1") != "0"))
    except CannotRun as problem:
        print(f"cannot run: {problem}")
        return 2
    for line in broken:
        print(line)
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0

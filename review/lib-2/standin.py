"""Stand-ins of the users' platform for the scripts of the second review: the row store, the list of
machines, runners with their heartbeats, and clients. They follow PROTOCOL.md; where that page is
silent they behave like sound servers. All addresses are loopback addresses.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import signal
import socket
import time


def now_ms():
    return int(time.monotonic() * 1000)


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def elapsed(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.elapsed():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def serve(host, handler):
    """Serves HTTP/1.1 with kept connections; the handler returns a status and a body."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                status, answer = await handler(method, target, headers, body)
                if isinstance(answer, (dict, list)):
                    answer = json.dumps(answer, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode()
                    + answer
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, 0, limit=1 << 22)
    return server, server.sockets[0].getsockname()[1]


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One call on a connection of its own. Returns a status and a body; status 0: no answer."""
    host, port = address.rsplit(":", 1)
    data = b"" if body is None else json.dumps(body).encode()
    text = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(data)}\r\nConnection: close\r\n"
    for name, value in ({"Host": address} | (headers or {})).items():
        text += f"{name}: {value}\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
            writer.write(text.encode() + b"\r\n" + data)
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(answer) if answer else {}
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's metadata store, in the form 'table'."""

    TX_S = 0.006
    READ_S = 0.004

    def __init__(self):
        self.rows = {}  # (table, part) -> {key: (value, version)}
        self.keys = {}  # (table, part) -> sorted keys
        self.version = 0
        self.log = {}  # table -> [(version, part, key, value or None)]
        self.changed = asyncio.Condition()
        self.forgotten = 0  # history up to this version is gone

    async def start(self, host):
        self.server, port = await serve(host, self.handle)
        self.address = f"{host}:{port}"

    @staticmethod
    def row(table, part, key, value, version):
        row = {"Table": table, "part": part, "Key": key, "Ver": version}
        if value is None:
            row["Deleted"] = True
        else:
            row["Value"] = value
        return row

    def put(self, table, part, key, value, version):
        rows = self.rows.setdefault((table, part), {})
        keys = self.keys.setdefault((table, part), [])
        if value is None:
            if rows.pop(key, None) is not None:
                keys.pop(bisect.bisect_left(keys, key))
        else:
            if key not in rows:
                bisect.insort(keys, key)
            rows[key] = (value, version)
        self.log.setdefault(table, []).append((version, part, key, value))

    def preload(self, table, rows):
        """Adds many rows at once, as older writes, before anybody reads."""
        self.version += 1
        held = self.rows.setdefault((table, ""), {})
        held.update((key, (value, self.version)) for key, value in rows)
        self.keys[(table, "")] = sorted(held)

    def forget_history(self):
        """As PROTOCOL.md allows: "It may also discard its history sooner than `HistoryS`"."""
        self.forgotten = self.version

    async def operator_write(self, key, value):
        """The operator's write to the table 'op'."""
        self.version += 1
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.put("op", "", key, text, self.version)
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        given = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if path == "/rows-tx":
            return await self.transact(json.loads(body))
        if path == "/rows-get":
            return await self.get(given)
        if path == "/rows-feed":
            return await self.feed(given)
        return 404, {}

    async def transact(self, change):
        await asyncio.sleep(self.TX_S)
        expected = change.get("ExpectRev", [])
        writes = change.get("Writes", [])
        removals = change.get("Remove", [])
        if len(expected) + len(writes) + len(removals) > 100:
            return 400, {}
        if any(entry["Table"] in ("op", "servers") for entry in writes + removals):
            return 403, {}
        current, equal = [], True
        for entry in expected:
            at = (entry["Table"], entry.get("part", ""))
            value, version = self.rows.get(at, {}).get(entry["Key"], (None, 0))
            equal = equal and version == entry["Ver"]
            if version:
                current.append(self.row(*at, entry["Key"], value, version))
        if not equal:
            return 412, {"rows": current, "Ver": self.version, "NowMs": now_ms()}
        self.version += 1
        for entry in writes:
            self.put(entry["Table"], entry.get("part", ""), entry["Key"], entry["Value"], self.version)
        for entry in removals:
            self.put(entry["Table"], entry.get("part", ""), entry["Key"], None, self.version)
        version = self.version
        async with self.changed:
            self.changed.notify_all()
        return 200, {"Ver": version, "NowMs": now_ms()}

    async def get(self, given):
        await asyncio.sleep(self.READ_S)
        at = (given["Table"], given.get("part", ""))
        keys, rows = self.keys.get(at, []), self.rows.get(at, {})
        first = bisect.bisect_left(keys, given.get("From", ""))
        last = bisect.bisect_left(keys, given["Target"]) if "Target" in given else len(keys)
        found, size = [], 0
        for key in keys[first:last]:
            value, version = rows[key]
            size += len(value) + 120
            if found and (len(found) >= int(given.get("Limit", 500)) or len(found) >= 500 or size > 1_000_000):
                break
            found.append(self.row(*at, key, value, version))
        more = len(found) < last - first
        return 200, {"rows": found, "HasMore": more, "Ver": self.version, "NowMs": now_ms()}

    async def feed(self, given):
        await asyncio.sleep(self.READ_S)
        table, after = given["Table"], int(given["After"])
        until = time.monotonic() + int(given.get("WaitMs", 0)) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            changes = [entry for entry in self.log.get(table, []) if entry[0] > after]
            left = until - time.monotonic()
            if changes or left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
        newest = {}
        for version, part, key, value in changes:
            newest[(part, key)] = (version, value)
        rows = [
            self.row(table, part, key, value, version)
            for (part, key), (version, value) in sorted(newest.items(), key=lambda item: item[1][0])
        ]
        return 200, {"rows": rows, "Ver": self.version, "NowMs": now_ms()}


class Runner:
    """A runner that guards its room. A task's Spec says how long it works, in milliseconds."""

    STOP_S = 0.1
    STARTUP_S = 0.5
    HOLD_MAX_MS = 6000

    def __init__(self, name, zone, rack, service, jobs, record, capacity, machine):
        self.id, self.zone, self.rack, self.service = name, zone, rack, service
        self.jobs, self.record, self.capacity, self.machine = jobs, record, capacity, machine
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.running = {}  # task -> run
        self.ended = []
        self.done = []  # tasks that have ended so, also those whose ends are forgotten
        self.numbered = 0
        self.highest = {}  # task -> highest run that was stopped or ended
        self.fence = 0
        self.deadline = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.state = "ready"

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def start(self, host):
        self.server, port = await serve(host, self.handle)
        self.address = f"{host}:{port}"
        self.tasks = [asyncio.create_task(self.watch())]

    def register(self, control):
        self.tasks.append(asyncio.create_task(self.beat(control)))

    async def beat(self, control):
        while True:
            self.sequence += 1
            body = {
                "Service": self.service, "Addr": self.address, "Zone": self.zone, "Version": "v1",
                "Slots": 8, "State": self.state, "ColdMs": 0, "Capacity": self.capacity,
                "Labels": ["a", self.rack], "ClockMs": self.clock(), "Seq": self.sequence,
                "born": self.born, "Machine": self.machine,
            }
            status, _ = await call(control, "PUT", f"/instances/{self.id}", body, timeout=1.0)
            await asyncio.sleep(1.5 if status == 200 else 0.3)

    async def watch(self):
        """Ends what is done, and everything when the lease is over."""
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() >= self.deadline:
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                if run["stop_at"] and time.monotonic() >= run["stop_at"]:
                    self.end(task, "stopped")
                elif time.monotonic() >= run["done_at"]:
                    self.end(task, run["how"])

    def end(self, task, how):
        run = self.running.pop(task)
        self.numbered += 1
        self.ended.append([self.numbered, task, run["run"], how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        if how == "done":
            self.done.append(task)
        self.record(f"runner {self.id}: {task} run {run['run']} ended {how}")
        self.changed.set()

    def need(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["Steps"][int(step)]

    def percent(self, task, run):
        """A task that lasts is at work, with 100 percent, after a short startup."""
        lasts = self.need(task).get("LongRunning", False)
        return 100 if lasts and time.monotonic() - run["began"] > self.STARTUP_S else 50

    def fits(self, task):
        used = dict.fromkeys(("Cpu", "MemMb", "Gpu"), 0)
        for other in [*self.running, task]:
            for field in used:
                used[field] += self.need(other).get(field, 0)
        return all(used[field] <= self.capacity[field] for field in used)

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.001)
        instance = headers.get("x-eelgrasshaven-expect-instance")
        if instance and instance != self.id:
            return 421, {"ClockMs": self.clock(), "born": self.born}
        if method != "POST":
            return 200, {}
        given = json.loads(body)
        fence = given.get("Fence", 0)
        if fence < self.fence:
            return 409, {"ClockMs": self.clock(), "Reason": "fence"}
        self.fence = fence
        if target == "/run-start":
            return self.run_start(given)
        if target == "/run-stop":
            return self.run_stop(given)
        if target == "/hold":
            return await self.hold(given)
        return 200, {"ClockMs": self.clock()}

    def extend(self, given):
        wanted = given.get("DeadlineMs", 0)
        self.deadline = max(self.deadline, min(wanted, self.clock() + self.HOLD_MAX_MS))

    def run_start(self, given):
        task, run = given["Task"], given["Run"]
        refuse = lambda reason: (409, {"ClockMs": self.clock(), "Reason": reason})
        if task in self.running and self.running[task]["run"] == run:
            self.extend(given)
            return 200, {"ClockMs": self.clock()}
        if given["DeadlineMs"] <= self.clock():
            return refuse("late")
        self.extend(given)
        if run <= self.highest.get(task, 0) or task in self.running:
            return refuse("old")
        if not self.fits(task):
            return refuse("room")
        spec = dict(pair.split("=") for pair in given["Spec"].split(";")[0].split(",") if "=" in pair)
        self.running[task] = {
            "run": run, "began": time.monotonic(), "stop_at": 0, "how": spec.get("how", "done"),
            "done_at": time.monotonic() + int(spec.get("ms", 1000)) / 1000,
        }
        self.record(f"runner {self.id}: starts {task} run {run}")
        self.changed.set()
        return 200, {"ClockMs": self.clock()}

    def run_stop(self, given):
        task, run = given["Task"], given["Run"]
        held = self.running.get(task)
        if held and held["run"] == run:
            held["stop_at"] = held["stop_at"] or time.monotonic() + self.STOP_S
        else:
            self.highest[task] = max(self.highest.get(task, 0), run)
        return 200, {"ClockMs": self.clock()}

    async def hold(self, given):
        self.extend(given)
        seen = given.get("SeenUpto", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        if given.get("WaitMs") and not self.ended:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), min(given["WaitMs"], 2000) / 1000)
            except TimeoutError:
                pass
        running = [[task, run["run"], "", self.percent(task, run), 0] for task, run in self.running.items()]
        return 200, {"ClockMs": self.clock(), "born": self.born, "Running": running, "Ended": self.ended[:500]}


class Directory:
    """The platform's list of machines."""

    def __init__(self, runners):
        self.runners = runners

    async def start(self, host):
        self.server, port = await serve(host, self.handle)
        self.address = f"{host}:{port}"

    async def handle(self, method, target, headers, body):
        machines = [
            {
                "Machine": runner.machine, "Pool": runner.service, "State": "up", "Zone": runner.zone,
                "Labels": ["a", runner.rack], "Capacity": runner.capacity, "Id": runner.id,
            }
            for runner in self.runners
        ]
        return 200, {"Machines": machines}


def free_ports(host, count):
    """Ports that are free on this address now."""
    held = [socket.socket() for _ in range(count)]
    for one in held:
        one.bind((host, 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


class Deployment:
    """The system's processes with the commands of the deploy file, on loopback addresses."""

    ZONES = ("maipu", "lujan", "godoy")

    def __init__(self, root, folder, store, directory, record):
        self.root, self.folder, self.store, self.directory, self.record = root, folder, store, directory, record
        self.processes = {}  # node -> Popen-like process
        self.settings = {}
        self.seeds = []
        self.first, self.last, self.front, self.ready, self.control = free_ports("127.0.0.1", 5)

    def node_settings(self, node, role, address, zone, runner=None):
        edge = role == "entry"
        listen = {"Control": f"{address}:{self.control}"}
        if edge:
            listen |= {"Front": f"{address}:{self.front}", "Ready": f"{address}:{self.ready}"}
        settings = {
            "Node": node, "Role": role, "Class": "edge" if edge else "side", "Ip": address, "Zone": zone,
            "Serves": ["edge", "control"] if edge else ["side"], "Region": "cuyo",
            "Zones": dict.fromkeys(self.ZONES, "cuyo"), "Listen": listen,
            "PortRange": [self.first, self.last], "Seeds": list(self.seeds), "Bootstrap": True,
            "Limits": {"CpuShare": 0.25 if edge else 0.15, "Cores": 1, "MemoryMb": 260 if edge else 128,
                       "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
            "HeartbeatMs": 1500, "ControlMode": "call", "Tolerate": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Bounds": {"GraceS": 6, "ConfigApplyMs": 2000, "RevokeMs": 5000, "HoldMaxMs": Runner.HOLD_MAX_MS,
                       "early_ms": 250, "StopTimeoutMs": 900, "GangTimeoutMs": 3000},
            "platform": {"Addr": self.store.address, "form": "table", "WritesPerS": 800, "ReadsPerS": 2000,
                         "RowBytes": 65536, "Across": False, "HistoryS": 20},
            "Cloud": {"Addr": self.directory.address, "RatePerS": 60.0, "Duties": [], "DutyPerS": 60.0},
        }
        if runner is not None:
            settings |= {"app": runner.address, "Service": runner.service}
        return settings

    async def launch(self, node, role, address, zone, runner=None):
        path = os.path.join(self.folder, node + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.node_settings(node, role, address, zone, runner), file)
        log = open(os.path.join(self.folder, node + ".log"), "ab")
        process = await asyncio.create_subprocess_exec(
            os.path.join(self.root, "target/bin/eelgrass_batch"), role, cwd=self.root,
            env={"PATH": os.environ["PATH"], "EELGRASSHAVEN_SETTINGS": path},
            stdout=log, stderr=log, start_new_session=True,
        )
        log.close()
        self.processes[node] = process
        self.record(f"process {node}: started at {address}")
        return process

    def kill(self, node, how=signal.SIGKILL):
        process = self.processes[node]
        if process.returncode is None:
            process.send_signal(how)
            self.record(f"process {node}: {signal.Signals(how).name}")

    async def end_all(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()


def new_id():
    return "".join(random.choice("0123456789abcdef") for _ in range(16))


QUEUES = {"batch": "/pule252/", "cure": "/lohu930/", "urgent": "/pufi791/"}
HOST = "nony24.example"
KEY = "d4a3hwrr6x73d3zji9n7"
CALLER = {"Host": HOST, "Authorization": f"Bearer {KEY}", "X-Eelgrasshaven-Deadline-Ms": "3000"}


def route(name, prefix, priority, attempts=3):
    return {
        "Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": "unsafe", "TimeoutMs": 3000,
        "TargetLatencyMs": 3000, "Priority": priority, "Service": "huvo11a", "Attempts": attempts,
        "Stretch": 3.0, "Public": False,
    }


def configuration(version, routes, guaranteed=16):
    return {
        "Version": version, "Routes": routes,
        "Services": [{"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1",
                      "RejectsOverload": True, "Standby": False}],
        "Limits": {"MaxBodyBytes": 262144},
        "Tenants": [{"Name": "kaje80", "ApiKeys": [KEY], "Priority": 1, "GuaranteedGpus": {"Gpu": guaranteed}}],
    }


def all_routes():
    return [route("r-batch", QUEUES["batch"], 2), route("r-cure", QUEUES["cure"], 1),
            route("r-urgent", QUEUES["urgent"], 0, 4)]


class Site:
    """A small deployment: three zones, an entry in each, and some runners with their agents."""

    def __init__(self, folder, logs, runners=3):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.jobs = {}  # what clients have sent, by id
        self.store = Store()
        capacity = {"Cpu": 32000, "MemMb": 131072, "Gpu": 8}
        self.runners = [
            Runner(f"i-{i:08x}", Deployment.ZONES[i % 3], f"r{i // 3}", "huvo11a", self.jobs, self.record,
                   capacity, f"m-{i:05d}")
            for i in range(1, runners + 1)
        ]
        self.directory = Directory(self.runners)
        root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
        self.deployment = Deployment(root, logs, self.store, self.directory, self.record)
        self.entries = {}  # node -> address and zone

    async def start(self):
        await self.store.start("127.0.0.1")
        await self.directory.start("127.0.0.1")
        for i, runner in enumerate(self.runners):
            await runner.start(f"127.0.2.{i + 1}")
        self.deployment.seeds = [f"127.0.1.{i + 1}:{self.deployment.control}" for i in range(3)]
        await self.store.operator_write("config", configuration(7, all_routes()))
        for i, zone in enumerate(Deployment.ZONES):
            await self.start_entry(f"edge-{zone}-1", f"127.0.1.{i + 1}", zone)
        for i, runner in enumerate(self.runners):
            node, address = f"side-{runner.zone}-{i + 1}", f"127.0.2.{i + 1}"
            await self.deployment.launch(node, "agent", address, runner.zone, runner)
            runner.register(f"{address}:{self.deployment.control}")
        await self.until_ready()

    async def start_entry(self, node, address, zone):
        self.entries[node] = (address, zone)
        await self.deployment.launch(node, "entry", address, zone)

    async def ready(self, node):
        address, _ = self.entries[node]
        status, _ = await call(f"{address}:{self.deployment.ready}", "GET", "/ready", timeout=0.5)
        return status == 200

    async def until_ready(self, limit=20):
        """Until all entries are ready; False if they are not in time."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if all([await self.ready(node) for node in self.entries]):
                return True
            await asyncio.sleep(0.2)
        return False

    async def ask(self, method, queue, job="", body=None, node=None):
        """A client's call at an entry, by default any of them."""
        address, _ = self.entries[node or random.choice(list(self.entries))]
        status, answer = await call(f"{address}:{self.deployment.front}", method, QUEUES[queue] + job, body, CALLER)
        self.record(f"client: {method} {queue} {job} -> {status} {json.dumps(answer)}")
        return status, answer

    async def submit(self, queue, steps, spec):
        """Hands a job in, again after no answer or a refusal, as clients do. Returns its id, or None."""
        job, body = new_id(), {"Spec": spec, "Steps": steps}
        self.jobs[job] = body
        for _ in range(5):
            status, _ = await self.ask("POST", queue, job, body)
            if 200 <= status < 300:
                return job
            await asyncio.sleep(1)
        return None

    async def state(self, queue, job):
        status, answer = await self.ask("GET", queue, job)
        return answer.get("State") if status == 200 else None

    async def until_state(self, queue, job, state, limit):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.state(queue, job) == state:
                return True
            await asyncio.sleep(0.5)
        return False


def run(case, runners=3):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    import sys
    import tempfile
    import traceback

    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        with tempfile.TemporaryDirectory() as logs:
            site = Site(folder, os.environ.get("LOGS") or logs, runners)
            try:
                async with asyncio.timeout(112):
                    await site.start()
                    broken = await case(site, trouble)
                site.record(f"broken: {broken}" if broken else "the rule held")
                return 1 if broken else 0
            except Exception as problem:  # the case could not run
                site.record("could not run: " + "".join(traceback.format_exception(problem)))
                return 2
            finally:
                await site.deployment.end_all()

    async def leave():
        # Ends this process without waiting for the stand-ins' open connections.
        status = await main()
        print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[status], flush=True)
        os._exit(status)

    asyncio.run(leave())

"""A small deployment on loopback addresses: entries and agents as processes, the rest stand-ins."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from http_server import HttpServer, request
from runner import Runner
from store import Store

TOP = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(TOP, "target", "bin", "eelgrass_batch")
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4,
          "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2000,
          "RevokeMs": 5000, "EvacuateMs": 5000, "RecoveryS": 12, "HoldMaxMs": 6000,
          "StopTimeoutMs": 900, "GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
          "early_ms": 250, "finish_s": 14, "status_s": 120, "CheckpointIntervalS": 2,
          "RestoreMs": 600, "NoticeMs": 4500, "LeaseMs": 3000, "ReclaimMs": 3400}
KEY = "key-1"
HOST = "orders.example"
QUEUE = "/q/"
RETRIES = 4
DEADLINE_S = 3.0
LONGEST_RUN_S = 112
LOST_AFTER_S = 3.0


class CannotRun(Exception):
    pass


class Site:
    def __init__(self, folder, runners=3, entries=3, capacity=None, advice=None):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        folder = os.environ.get("RECORD_FOLDER", folder)  # for several runs at once
        self.log = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.work = tempfile.mkdtemp(prefix="review-")
        self.events = []  # (time, what, runner, born, task, run, number, how, valid)
        self.jobs = {}  # steps by job id
        self.answers = []  # (time, method, job, status, body)
        self.capacity = capacity or {"Cpu": 32000, "MemMb": 131072, "Gpu": 8}
        self.entries = [f"entry-{n}" for n in range(1, entries + 1)]
        self.agents = [f"agent-{n}" for n in range(1, runners + 1)]
        self.processes = {}
        self.net, self.port = self.free_ports()
        self.store = Store(self.record)
        self.cloud = HttpServer(self.list_machines)
        self.advice = advice  # DecideMs, PeriodMs and ValidMs of the queue; None: no policy
        self.adviser = HttpServer(self.advise)
        self.advising = asyncio.Lock()
        self.tickets = {}
        self.runners = {}

    def record(self, text):
        self.log.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def event(self, what, runner, run, number, how="", task=None, run_number=None, valid=True):
        task = run.task if run else task
        run_number = run.run if run else run_number
        self.events.append((time.monotonic(), what, runner.name, runner.born, task, run_number,
                            number, how, valid))
        if task:
            self.record(f"runner {runner.name} {what} {task} run {run_number}"
                        + (f" {how} as end {number}" if number else ""))

    def needs(self, task):
        job, _, step, _ = task.split(".")
        step = self.jobs[job]["Steps"][int(step)] if job in self.jobs else {}
        return {name: step.get(name, 0) for name in ("Cpu", "MemMb", "Gpu")}

    # Addresses

    def free_ports(self):
        for _ in range(50):
            net, port = random.randrange(80, 250), random.randrange(20, 300) * 100
            try:
                for host in (f"127.{net}.0.9", f"127.{net}.1.1", f"127.{net}.2.1"):
                    for offset in (0, 15, 21, 23, 26, 29, 50, 51, 52):
                        with socket.socket() as probe:
                            probe.bind((host, port + offset))
                return net, port
            except OSError:
                continue
        raise CannotRun("no free ports")

    def ip(self, name):
        role, number = name.split("-")
        return f"127.{self.net}.{1 if role == 'entry' else 2}.{number}"

    # Processes

    def settings(self, name):
        ip, role = self.ip(name), name.split("-")[0]
        zone = "z" + str(int(name.split("-")[1]) % 3)
        edge = role == "entry"
        listen = {"Front": f"{ip}:{self.port + 21}", "Ready": f"{ip}:{self.port + 23}",
                  "Control": f"{ip}:{self.port + 26}"}
        content = {
            "Node": name, "Role": role, "Class": "edge" if edge else "side",
            "Serves": ["edge", "control"] if edge else ["side"], "Ip": ip, "Zone": zone,
            "Region": "r", "Zones": {"z0": "r", "z1": "r", "z2": "r"}, "Listen": listen,
            "PortRange": [self.port, self.port + 15],
            "Seeds": [f"{self.ip(entry)}:{self.port + 26}" for entry in self.entries[:3]],
            "Bootstrap": True, "InTolerance": False,
            "Limits": {"CpuShare": 0.25 if edge else 0.15, "Cores": 1,
                       "MemoryMb": 260 if edge else 128, "MaxFds": 4100, "LinkMbps": 1000.0,
                       "DiskMb": 0},
            "DataDir": None, "Discovery": "local", "Entry": "vip", "HeartbeatMs": 1500,
            "Tolerate": {"Machines": 1, "Zones": 1, "Regions": 0}, "Bounds": BOUNDS,
            "ControlMode": "call",
            "platform": {"Addr": f"127.{self.net}.0.9:{self.port + 50}", "form": "table",
                         "WritesPerS": 800, "ReadsPerS": 2000, "TxMs": 6.0,
                         "PartWritesPerS": 200, "RowBytes": 65536, "Across": False,
                         "HistoryS": 20},
            "Cloud": {"Addr": f"127.{self.net}.0.9:{self.port + 51}", "RatePerS": 60.0,
                      "Duties": [], "DutyPerS": 60.0}}
        if self.advice:
            content["Advice"] = f"127.{self.net}.0.9:{self.port + 52}"
        if not edge:
            content["app"] = f"{ip}:{self.port + 29}"
        path = os.path.join(self.work, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(content, file)
        return path

    def spawn(self, name):
        environment = {"PATH": os.environ["PATH"], "EELGRASSHAVEN_SETTINGS": self.settings(name)}
        with open(os.path.join(self.work, name + ".log"), "a", encoding="utf-8") as log:
            self.processes[name] = subprocess.Popen(
                [PROGRAM, name.split("-")[0]], cwd=TOP, env=environment, stdout=log, stderr=log)
        self.record(f"process {name} started")

    def kill(self, name):
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()
        self.record(f"process {name} killed")

    async def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the deploy file's build has not been run")
        await self.store.start(f"127.{self.net}.0.9", self.port + 50)
        await self.cloud.start(f"127.{self.net}.0.9", self.port + 51)
        await self.adviser.start(f"127.{self.net}.0.9", self.port + 52)
        self.store.put("op", "config", {
            "Version": 1,
            "Routes": [{"Name": "q", "Host": HOST, "PathPrefix": QUEUE, "Service": "drying",
                        "Priority": 2, "Attempts": 3, "Stretch": 3.0, "TargetLatencyMs": 3000,
                        **({"Advice": self.advice} if self.advice else {})}],
            "Services": [{"Name": "drying", "RejectsOverload": True}],
            "Tenants": [{"Name": "t1", "ApiKeys": [KEY], "GuaranteedGpus": 8}],
            "Limits": {"MaxBodyBytes": 262144}})
        for name in self.entries + self.agents:
            self.spawn(name)
        for name in self.agents:
            number, ip = name.split("-")[1], self.ip(name)
            self.runners[f"i-{number}"] = runner = Runner(
                self, number, ip, self.port + 29, (ip, self.port + 26), "z" + str(int(number) % 3),
                self.capacity, BOUNDS["HoldMaxMs"], BOUNDS["StopTimeoutMs"])
            await runner.start()
        for _ in range(200):
            ready = [(await request(self.ip(name), self.port + 23, "GET", "/ready"))[0]
                     for name in self.entries]
            if ready == [200] * len(ready):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the entries did not become ready within 20 s")
        await asyncio.sleep(2.0)
        self.record("all entries are ready")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.work, file=sys.stderr)
        else:
            for name in os.listdir(self.work):
                os.unlink(os.path.join(self.work, name))
            os.rmdir(self.work)
        self.log.close()

    async def stop_standins(self):
        for runner in self.runners.values():
            if runner.up:
                runner.crash()
        self.store.server.stop()
        self.cloud.stop()
        self.adviser.stop()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0.2)

    async def metric(self, entry, name):
        _, body = await request(self.ip(entry), self.port + 15, "GET", "/metrics", timeout=1.0)
        for line in body.decode(errors="replace").splitlines():
            if line.startswith(f"eelgrass_{name} "):
                return float(line.split()[-1])
        return 0.0

    async def planner(self):
        for _ in range(100):
            for entry in self.entries:
                if await self.metric(entry, "planning") == 1:
                    return entry
            await asyncio.sleep(0.1)
        raise CannotRun("no entry plans")

    # Platform and clients

    async def list_machines(self, method, path, query, headers, body):
        return 200, {"NextToken": None, "Machines": [
            {"Machine": "m-" + runner.name, "Pool": "drying",
             "State": "up" if runner.up else "down", "Zone": runner.zone, "Labels": ["a"],
             "Capacity": self.capacity, "Id": runner.name if runner.up else None}
            for runner in self.runners.values()]}

    async def advise(self, method, path, query, headers, body):
        """Allows a step on every runner but one; answers one call at a time."""
        call = json.loads(body)
        async with self.advising:
            await asyncio.sleep((self.advice["DecideMs"] + self.advice["PeriodMs"]
                                 * len(call["Workers"])) / 1000)
            good = []
            for name in call["Workers"]:
                runner = self.runners[name]
                if runner.up and name != self.barred(call["Step"]):
                    until = time.monotonic() + self.advice["ValidMs"] / 1000
                    ticket = f"t{len(self.tickets)}"
                    self.tickets[ticket] = (call["Step"], name, runner.born, until)
                    good.append([name, ticket])
            self.record(f"advice for {call['Step']} on {len(call['Workers'])}: {len(good)} good")
            return 200, {"Good": good, "ValidMs": self.advice["ValidMs"]}

    def ticket_allows(self, runner, task, ticket):
        if not self.advice:
            return True
        step, name, born, until = self.tickets.get(ticket, ("", "", 0, 0))
        return (task.rsplit(".", 1)[0] == step and name == runner.name and born == runner.born
                and time.monotonic() < until)

    async def call(self, entry, method, job, body=None, timeout=DEADLINE_S):
        sent = time.monotonic()
        headers = {"Host": HOST, "Authorization": "Bearer " + KEY,
                   "Content-Type": "application/json",
                   "X-Eelgrasshaven-Deadline-Ms": str(int(DEADLINE_S * 1000))}
        data = json.dumps(body).encode() if body is not None else b""
        status, text = await request(self.ip(entry), self.port + 21, method, QUEUE + job, headers,
                                     data, timeout)
        self.answers.append((time.monotonic(), method, job, status, text))
        self.record(f"client {method} {job} at {entry}: {status} "
                    f"{text.decode(errors='replace')[:100]} after "
                    f"{(time.monotonic() - sent) * 1000:.0f} ms")
        return status, text

    async def call_with_retries(self, method, job, body=None, first=None):
        """A client's call: after no answer, 429, 503 or 504 it tries another node."""
        entry = first or random.choice(self.entries)
        for _ in range(RETRIES + 1):
            status, text = await self.call(entry, method, job, body)
            if status not in (None, 429, 502, 503, 504):
                return status, text
            entry = random.choice([other for other in self.entries if other != entry])
            await asyncio.sleep(0.5)
        return status, text

    async def submit(self, job, body):
        self.jobs[job] = body
        return (await self.call_with_retries("POST", job, body))[0]

    async def state(self, job):
        status, text = await self.call_with_retries("GET", job)
        return json.loads(text).get("State") if status == 200 else f"answer {status}"

    # Rules

    async def idle_jobs(self, jobs):
        """Of jobs that are not final: those that break LOST by having nothing running for 3 s.

        Each of them has a task whose turn has come, there is room for that task twice over on
        runners that may run it, and under half of the service's capacity is in use.
        """
        idle = set(jobs)
        until = time.monotonic() + LOST_AFTER_S
        while time.monotonic() < until and idle:
            used = {name: 0 for name in self.capacity}
            for runner in self.runners.values():
                for run in runner.runs.values():
                    idle.discard(run.task.split(".")[0])
                    for name in used:
                        used[name] += run.needs[name]
            if any(used[name] * 2 >= most * len(self.runners)
                   for name, most in self.capacity.items()):
                return []
            idle = {job for job in idle if self.room(job) >= 2}
            await asyncio.sleep(0.05)
        return [f"LOST: job {job} was accepted, is not final and has nothing running for 3 s"
                for job in sorted(idle)]

    def room(self, job):
        """How many tasks of the job's first step fit; the cases have steps of equal tasks."""
        needs = self.needs(job + ".0.0.0")
        fitting = 0
        for runner in self.runners.values():
            if not runner.up or runner.name == self.barred(job + ".0.0"):
                continue
            fitting += min((self.capacity[name] - sum(run.needs[name]
                                                      for run in runner.runs.values())) // amount
                           for name, amount in needs.items() if amount)
        return fitting

    def barred(self, step):
        """The runner on which the queue's policy does not allow a step."""
        names = sorted(self.runners)
        return names[sum(step.encode()) % len(names)] if self.advice else None

    def twice(self):
        """Starts that break TWICE, as texts. An end counts if it is taken note of at any time."""
        noted = {(what[2], what[3], what[6]) for what in self.events if what[1] == "noted" and what[8]}
        done = {}  # time of the first noted end of a task
        open_runs = {}  # (runner, born, run) by task
        broken = []
        for at, what, runner, born, task, run, number, how, _ in self.events:
            if what == "died":
                for runs in open_runs.values():
                    runs -= {entry for entry in runs if entry[:2] == (runner, born)}
            elif what == "end":
                open_runs.get(task, set()).discard((runner, born, run))
                if how == "done" and (runner, born, number) in noted and task not in done:
                    done[task] = (at, runner, run)
            elif what == "start":
                if task in done:
                    ended, where, first = done[task]
                    broken.append(f"{task}: run {run} starts on {runner} {at - ended:.2f} s after "
                                  f"run {first} ended done on {where}")
                runs = open_runs.setdefault(task, set())
                if runs:
                    broken.append(f"{task}: run {run} starts on {runner} beside {sorted(runs)}")
                runs.add((runner, born, run))
        return broken


def play(case, folder, **options):
    """Runs a case: `case(site)` returns a list of what was broken. Exits as issue 38 asks."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    site = Site(folder, **options)
    code = 2
    try:
        async def whole():
            try:
                async with asyncio.timeout(LONGEST_RUN_S):
                    await site.start()
                    return await case(site)
            finally:
                await site.stop_standins()
        broken = asyncio.run(whole())
        for text in broken[:20]:
            site.record("BROKEN " + text)
        site.record(f"{len(broken)} breaks of the rule")
        print(f"{len(broken)} breaks of the rule; " + (broken[0] if broken else "it held"))
        code = 1 if broken else 0
    except Exception as problem:  # an error of the case itself is no broken rule
        site.record(f"the case could not run: {problem!r}")
        print(f"the case could not run: {problem!r}")
    finally:
        site.stop()
    sys.exit(code)

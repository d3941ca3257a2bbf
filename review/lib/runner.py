"""Stand-in of a runner, by the section "Running tasks" of PROTOCOL. Gangs are not played."""

import asyncio
import json
import time

from http_server import HttpServer, request

MOST_ENDS = 500  # listed at a time
HEARTBEAT_S = 1.5
TICK_S = 0.01
CLOCK_ORIGIN_MS = 100_000


class Run:
    def __init__(self, task, run, spec, needs, now):
        self.task, self.run, self.needs = task, run, needs
        step = int(task.split(".")[2])
        self.ends_at = now + json.loads(spec)[step]["ms"] / 1000
        self.stop_at = None
        self.began = now


class Runner:
    """One machine's runner. It may crash and start again under its id."""

    def __init__(self, site, number, host, port, agent, zone, capacity, hold_max_ms, stop_ms):
        self.site, self.name, self.host, self.port = site, f"i-{number}", host, port
        self.agent, self.zone, self.capacity = agent, zone, capacity
        self.hold_max_ms, self.stop_ms = hold_max_ms, stop_ms
        self.up = False
        self.tasks = []
        self.server = None

    async def start(self):
        """Begins an incarnation."""
        self.up = True
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.deadline = None
        self.runs = {}
        self.barred = {}
        self.ended = []
        self.last_end = 0
        self.seen = 0
        self.lapsed_upto = 0
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle)
        await self.server.start(self.host, self.port)
        self.site.record(f"runner {self.name} starts, born {self.born}")
        self.site.event("born", self, None, 0)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    def crash(self):
        self.up = False
        for task in self.tasks:
            task.cancel()
        self.server.stop()
        self.site.record(f"runner {self.name} crashes: {len(self.runs)} runs, {self.last_end} ends")
        self.site.event("died", self, None, 0)

    def clock(self, now=None):
        return CLOCK_ORIGIN_MS + int(((now or time.monotonic()) - self.began) * 1000)

    async def beat(self):
        while True:
            self.sequence += 1
            body = {"Service": "drying", "Addr": f"{self.host}:{self.port}", "Zone": self.zone,
                    "Version": "v1", "Slots": 8, "State": "ready", "ColdMs": 0,
                    "Capacity": self.capacity, "Labels": ["a", "r-" + self.zone],
                    "ClockMs": self.clock(), "Seq": self.sequence, "born": self.born,
                    "Machine": "m-" + self.name}
            status, _ = await request(*self.agent, "PUT", "/instances/" + self.name,
                                      {"Content-Type": "application/json"},
                                      json.dumps(body).encode(), 1.0)
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    async def work(self):
        while True:
            await asyncio.sleep(TICK_S)
            await self.advance()

    async def advance(self):
        now = time.monotonic()
        over = []
        if self.deadline is not None and self.clock(now) > self.deadline:
            over = [(run, "lapsed") for run in self.runs.values()]
            self.lapsed_upto = self.last_end
            self.deadline = None
        else:
            for run in self.runs.values():
                if run.stop_at is not None and now >= run.stop_at:
                    over.append((run, "stopped"))
                elif now >= run.ends_at:
                    over.append((run, "done"))
        for run, how in over:
            del self.runs[(run.task, run.run)]
            self.barred[run.task] = max(self.barred.get(run.task, 0), run.run)
            self.last_end += 1
            self.ended.append([self.last_end, run.task, run.run, how, ""])
            self.site.event("end", self, run, self.last_end, how)
        if over:
            async with self.changed:
                self.changed.notify_all()

    def take_deadline(self, deadline):
        limit = self.clock() + self.hold_max_ms
        self.deadline = max(self.deadline or 0, min(deadline, limit))

    async def handle(self, method, path, query, headers, body):
        await self.advance()
        if headers.get("x-eelgrasshaven-expect-instance", self.name) != self.name:
            return 421, {}
        call = json.loads(body)
        told = {"ClockMs": self.clock(), "born": self.born}
        if call.get("Fence", 0) < self.fence:
            return 409, {**told, "Reason": "fence"}
        self.fence = call.get("Fence", 0)
        if path == "/run-start":
            return self.start_run(call, told)
        if path == "/run-stop":
            task, run = call["Task"], call["Run"]
            self.barred[task] = max(self.barred.get(task, 0), run)
            found = self.runs.get((task, run))
            if found is not None and found.stop_at is None:
                found.stop_at = time.monotonic() + self.stop_ms / 1000 / 2
            return 200, told
        if path == "/hold":
            return await self.hold(call)
        return 200, told

    def start_run(self, call, told):
        task, run = call["Task"], call["Run"]
        if call.get("DeadlineMs", 0) <= self.clock():
            return 409, {**told, "Reason": "late"}
        self.take_deadline(call["DeadlineMs"])
        if (task, run) in self.runs:
            return 200, told
        if run <= self.barred.get(task, 0):
            return 409, {**told, "Reason": "old"}
        if not self.site.ticket_allows(self, task, call.get("Ticket")):
            return 409, {**told, "Reason": "ticket"}
        needs = self.site.needs(task)
        for name, most in self.capacity.items():
            used = sum(other.needs.get(name, 0) for other in self.runs.values())
            if used + needs.get(name, 0) > most:
                return 409, {**told, "Reason": "room"}
        self.runs[(task, run)] = started = Run(task, run, call["Spec"], needs, time.monotonic())
        self.site.event("start", self, started, 0)
        return 200, told

    async def hold(self, call):
        if call.get("DeadlineMs"):
            self.take_deadline(call["DeadlineMs"])
        upto = call.get("SeenUpto", 0)
        for end in self.ended:
            if end[0] <= upto:
                self.site.event("noted", self, None, end[0], end[3], end[1], end[2],
                                end[0] > self.lapsed_upto)
        self.ended = [end for end in self.ended if end[0] > upto]
        if upto > max(self.seen, self.last_end):
            self.site.record(f"runner {self.name}, born {self.born}: SeenUpto is {upto}, but "
                             f"only {self.last_end} runs have ended here")
        self.seen = max(self.seen, upto)
        until = time.monotonic() + call.get("WaitMs", 0) / 1000
        while not self.ended and time.monotonic() < until:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        running = [[run.task, run.run, "", 100, 0] for run in self.runs.values()]
        return 200, {"ClockMs": self.clock(), "born": self.born, "Running": running,
                     "Ended": self.ended[:MOST_ENDS]}

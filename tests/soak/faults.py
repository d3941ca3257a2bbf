"""Faults from outside the processes, drawn from a seed; several overlap."""

import signal
import threading
import time


class Faults:
    """Each fault has a thread that begins it and ends it some time later."""

    def __init__(self, deployment, chance):
        self.deployment = deployment
        self.chance = chance
        self.log = []
        self.threads = []
        self._began = time.monotonic()
        self._busy = set()

    def begin_one(self):
        kind = self.chance.choice([
            self._kill, self._kill, self._kill_planner, self._terminate, self._pause, self._hangup,
            self._store, self._path, self._path, self._crash_runner, self._configure,
            self._kill_all])
        if kind is self._kill_all and self.chance.random() < 0.7:
            kind = self._kill
        length = self.chance.uniform(0.2, 4.0)
        thread = threading.Thread(target=kind, args=(self._pick(), length), daemon=True)
        self.threads.append(thread)
        thread.start()

    def join(self):
        for thread in self.threads:
            thread.join()

    def _pick(self):
        return self.chance.choice(self.deployment.entries + self.deployment.agents)

    def _note(self, what):
        self.log.append(f"{time.monotonic() - self._began:7.2f} {what}")

    def _own(self, name):
        """One fault a process at a time, so that each is ended by whoever began it."""
        if name in self._busy:
            return False
        self._busy.add(name)
        return True

    def _kill(self, name, length):
        if not self._own(name):
            return
        self._note(f"kill {name} for {length:.1f} s")
        self.deployment.kill(name)
        time.sleep(length)
        self.deployment.run(name)
        self._busy.discard(name)

    def _kill_planner(self, name, length):
        for entry in self.deployment.entries:
            if self.deployment.plans(entry):
                name = entry
        self._kill(name, length)

    def _kill_all(self, _, length):
        names = [n for n in self.deployment.entries + self.deployment.agents if self._own(n)]
        self._note(f"kill {len(names)} processes at once for {length / 2:.1f} s")
        for name in names:
            self.deployment.kill(name)
        time.sleep(length / 2)
        for name in names:
            self.deployment.run(name)
            self._busy.discard(name)

    def _terminate(self, name, length):
        if not self._own(name):
            return
        self._note(f"terminate {name}")
        self.deployment.terminate(name)
        time.sleep(length / 4)
        self.deployment.run(name)
        self._busy.discard(name)

    def _pause(self, name, length):
        if not self._own(name):
            return
        self._note(f"pause {name} for {length * 2:.1f} s")
        self.deployment.pause(name)
        time.sleep(length * 2)
        self.deployment.resume(name)
        self._busy.discard(name)

    def _hangup(self, name, _):
        self._note(f"hang up {name}")
        self.deployment.send(name, signal.SIGHUP)

    def _store(self, _, length):
        if not self._own("store"):
            return
        fault = self.chance.choice(["refuse", "silent", "lose", "late", "forget"])
        self._note(f"store {fault} for {length:.1f} s")
        self.deployment.standin(f"/standin/store?fault={fault}")
        time.sleep(length)
        self.deployment.standin("/standin/store?fault=none")
        self._busy.discard("store")

    def _path(self, _, length):
        what = self.chance.choice(sorted(self.deployment.proxies))
        if not self._own(what):
            return
        fault = self.chance.choice(["delay", "reset", "silent", "one_way"])
        self._note(f"path {what}: {fault} for {length:.1f} s")
        self.deployment.proxies[what].set_fault(fault)
        time.sleep(length)
        self.deployment.proxies[what].set_fault("none")
        self._busy.discard(what)

    def _crash_runner(self, _, length):
        index = self.chance.randrange(len(self.deployment.agents))
        if not self._own(f"runner {index}"):
            return
        self._note(f"crash runner {index} for {length:.1f} s")
        self.deployment.standin(f"/standin/crash?runner={index}")
        time.sleep(length)
        self.deployment.standin(f"/standin/revive?runner={index}")
        self._busy.discard(f"runner {index}")

    def _configure(self, _name, _length):
        self._note("a new configuration")
        self.deployment.configure()

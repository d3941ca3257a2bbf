"""Faults from outside the processes, drawn from a seed; several overlap."""

import signal
import threading
import time
from contextlib import contextmanager


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

    @contextmanager
    def _holding(self, names):
        """One fault at a time for each of these, so that whoever began it ends it.

        Gives those that were free; they are free again afterwards.
        """
        free = [name for name in names if name not in self._busy]
        self._busy.update(free)
        try:
            yield free
        finally:
            self._busy.difference_update(free)

    def _restart(self, names, length):
        time.sleep(length)
        for name in names:
            self.deployment.run(name)

    def _kill(self, name, length):
        with self._holding([name]) as held:
            for victim in held:
                self._note(f"kill {victim} for {length:.1f} s")
                self.deployment.kill(victim)
            self._restart(held, length)

    def _kill_planner(self, name, length):
        for entry in self.deployment.entries:
            if self.deployment.plans(entry):
                name = entry
        self._kill(name, length)

    def _kill_all(self, _, length):
        with self._holding(self.deployment.entries + self.deployment.agents) as held:
            self._note(f"kill {len(held)} processes at once for {length / 2:.1f} s")
            for victim in held:
                self.deployment.kill(victim)
            self._restart(held, length / 2)

    def _terminate(self, name, length):
        with self._holding([name]) as held:
            for leaver in held:
                self._note(f"terminate {leaver}")
                self.deployment.terminate(leaver)
            self._restart(held, length / 4)

    def _pause(self, name, length):
        with self._holding([name]) as held:
            for sleeper in held:
                self._note(f"pause {sleeper} for {length * 2:.1f} s")
                self.deployment.pause(sleeper)
                time.sleep(length * 2)
                self.deployment.resume(sleeper)

    def _hangup(self, name, _):
        self._note(f"hang up {name}")
        self.deployment.send(name, signal.SIGHUP)

    def _store(self, _, length):
        with self._holding(["store"]) as held:
            if not held:
                return
            fault = self.chance.choice(["refuse", "silent", "lose", "late", "forget"])
            self._note(f"store {fault} for {length:.1f} s")
            self.deployment.standin(f"/standin/store?fault={fault}")
            time.sleep(length)
            self.deployment.standin("/standin/store?fault=none")

    def _path(self, _, length):
        with self._holding([self.chance.choice(sorted(self.deployment.proxies))]) as held:
            for path in held:
                fault = self.chance.choice(["delay", "reset", "silent", "one_way"])
                self._note(f"path {path}: {fault} for {length:.1f} s")
                self.deployment.proxies[path].set_fault(fault)
                time.sleep(length)
                self.deployment.proxies[path].set_fault("none")

    def _crash_runner(self, _, length):
        index = self.chance.randrange(len(self.deployment.agents))
        with self._holding([f"runner {index}"]) as held:
            if not held:
                return
            self._note(f"crash runner {index} for {length:.1f} s")
            self.deployment.standin(f"/standin/crash?runner={index}")
            time.sleep(length)
            self.deployment.standin(f"/standin/revive?runner={index}")

    def _configure(self, _name, _length):
        self._note("a new configuration")
        self.deployment.configure()

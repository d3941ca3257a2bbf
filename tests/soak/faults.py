"""Injects faults from outside the processes, drawn from a seed. Faults can overlap."""

import signal
import threading
import time
from contextlib import contextmanager


class Faults:
    """Runs each fault in a thread that starts it and ends it after a random duration."""

    def __init__(self, deployment, rng, replace_entries=False):
        self.deployment = deployment
        self.rng = rng
        self.replace_entries = replace_entries
        self.log = []
        self.threads = []
        self._started = time.monotonic()
        self._reserved = set()

    def begin_random_fault(self):
        kind = self.rng.choice([
            self._kill, self._kill, self._kill_planner, self._terminate, self._pause,
            self._send_hangup, self._inject_store_fault, self._inject_path_fault,
            self._inject_path_fault, self._crash_runner, self._publish_config, self._kill_all])
        if self.replace_entries and self.rng.random() < 0.25:
            kind = self._replace_entries
        if kind is self._kill_all and self.rng.random() < 0.7:
            kind = self._kill
        duration = self.rng.uniform(0.2, 4.0)
        thread = threading.Thread(target=kind, args=(self._random_process(), duration), daemon=True)
        self.threads.append(thread)
        thread.start()

    def join(self):
        for thread in self.threads:
            thread.join()

    def _random_process(self):
        return self.rng.choice(self.deployment.entries + self.deployment.agents)

    def _record(self, what):
        self.log.append(f"{time.monotonic() - self._started:7.2f} {what}")

    @contextmanager
    def _reserve(self, names):
        """Reserves names, so that only one fault at a time affects each of them.

        Yields the names that were not reserved yet and releases them afterwards. Without this, one
        fault could end what another has started.
        """
        free = [name for name in names if name not in self._reserved]
        self._reserved.update(free)
        try:
            yield free
        finally:
            self._reserved.difference_update(free)

    def _restart_after(self, names, duration):
        time.sleep(duration)
        for name in names:
            self.deployment.start_process(name)

    def _kill(self, name, duration):
        with self._reserve([name]) as reserved:
            for process in reserved:
                self._record(f"kill {process} for {duration:.1f} s")
                self.deployment.kill(process)
            self._restart_after(reserved, duration)

    def _kill_planner(self, name, duration):
        for entry in self.deployment.entries:
            if self.deployment.is_planner(entry):
                name = entry
        self._kill(name, duration)

    def _kill_all(self, _, duration):
        with self._reserve(self.deployment.entries + self.deployment.agents) as reserved:
            self._record(f"kill {len(reserved)} processes at once for {duration / 2:.1f} s")
            for process in reserved:
                self.deployment.kill(process)
            self._restart_after(reserved, duration / 2)

    def _replace_entries(self, _, duration):
        """Replaces all entries at other addresses; the settings of the agents may stay stale."""
        with self._reserve(self.deployment.entries) as reserved:
            self._record(f"replace {len(reserved)} entries after {duration / 2:.1f} s")
            for process in reserved:
                self.deployment.remove_entry(process)
            if self.rng.random() < 0.5:
                for agent in self.deployment.agents:
                    self.deployment.write_settings(agent)
            self._restart_after(reserved, duration / 2)

    def _terminate(self, name, duration):
        with self._reserve([name]) as reserved:
            for process in reserved:
                self._record(f"terminate {process}")
                self.deployment.terminate(process)
            self._restart_after(reserved, duration / 4)

    def _pause(self, name, duration):
        with self._reserve([name]) as reserved:
            for process in reserved:
                self._record(f"pause {process} for {duration * 2:.1f} s")
                self.deployment.pause(process)
                time.sleep(duration * 2)
                self.deployment.resume(process)

    def _send_hangup(self, name, _):
        self._record(f"send SIGHUP to {name}")
        self.deployment.send_signal(name, signal.SIGHUP)

    def _inject_store_fault(self, _, duration):
        with self._reserve(["store"]) as reserved:
            if not reserved:
                return
            fault = self.rng.choice(["refuse", "silent", "lose", "late", "forget"])
            self._record(f"store {fault} for {duration:.1f} s")
            self.deployment.call_standin(f"/standin/store?fault={fault}")
            time.sleep(duration)
            self.deployment.call_standin("/standin/store?fault=none")

    def _inject_path_fault(self, _, duration):
        with self._reserve([self.rng.choice(sorted(self.deployment.proxies))]) as reserved:
            for path in reserved:
                fault = self.rng.choice(["delay", "reset", "silent", "one_way"])
                self._record(f"path {path}: {fault} for {duration:.1f} s")
                self.deployment.proxies[path].set_fault(fault)
                time.sleep(duration)
                self.deployment.proxies[path].set_fault("none")

    def _crash_runner(self, _, duration):
        index = self.rng.randrange(len(self.deployment.agents))
        with self._reserve([f"runner {index}"]) as reserved:
            if not reserved:
                return
            self._record(f"crash runner {index} for {duration:.1f} s")
            self.deployment.call_standin(f"/standin/crash?runner={index}")
            time.sleep(duration)
            self.deployment.call_standin(f"/standin/revive?runner={index}")

    def _publish_config(self, _name, _duration):
        self._record("publish a new configuration")
        self.deployment.publish_config()

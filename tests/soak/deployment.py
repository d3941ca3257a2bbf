"""Runs the real programs as processes on one machine, with proxies on the paths between them."""

import json
import os
import signal
import subprocess
import time
import urllib.request
from base64 import b64encode

from loopback_proxy import LoopbackProxy

STORE_PORT = 27500
PEER_PORTS = [27000, 27015]
START_TIMEOUT_S = 10.0


class Deployment:
    """Entries, agents and the platform stand-in. Stops only the processes that it started."""

    def __init__(self, binaries, folder, loopback_net, entries, agents, time_percents):
        self.binaries = binaries
        self.folder = folder
        self.loopback_net = loopback_net
        self.entries = [f"entry-{n}" for n in range(1, entries + 1)]
        self.agents = [f"agent-{n}" for n in range(1, agents + 1)]
        self.time_percents = time_percents
        self.processes = {}
        self.paused = set()
        self.proxies = {}
        self.store_ports = {}
        self.replacements = {name: 0 for name in self.entries}
        self.config_version = 0
        self.unclean_exits = []

    def ip(self, name):
        role, number = name.split("-")
        if role != "entry":
            return f"127.{self.loopback_net}.2.{number}"
        replaced = self.replacements[name]
        return f"127.{self.loopback_net}.{10 + replaced if replaced else 1}.{number}"

    def node_id(self, name):
        """The id under which a process runs; an entry at another address is another one."""
        replaced = self.replacements.get(name, 0)
        return f"{name}-{replaced}" if replaced else name

    def store_address(self):
        return f"127.{self.loopback_net}.0.9"

    def start(self):
        runners = []
        for name, time_percent in zip(self.agents, self.time_percents):
            ip = self.ip(name)
            self._add_proxy(f"runner of {name}", (ip, 27530), (ip, 27529))
            self._add_proxy(f"heartbeats of {name}", (ip, 27527), (ip, 27526))
            runners.append(f"{ip}:27529={ip}:27527@z{int(name[6:]) % 3}/{ip}:27530*{time_percent}")
        self._spawn("fleet", [os.path.join(self.binaries, "eelgrass_fleet"),
                              f"{self.store_address()}:{STORE_PORT}", "drying", *runners], {})
        for number, name in enumerate(self.entries + self.agents):
            port = STORE_PORT + 1 + number
            self._add_proxy(f"store of {name}", (self.store_address(), port),
                            (self.store_address(), STORE_PORT))
            self.store_ports[name] = port
            self.write_settings(name)
        self._wait_until(lambda: self.call_standin("/standin/broken") is not None)
        self.publish_config()
        for name in self.entries + self.agents:
            self.start_process(name)
        self._wait_until(lambda: all(self._ready(name) for name in self.entries))

    def _add_proxy(self, name, listen, target):
        self.proxies[name] = LoopbackProxy(listen, target)

    def write_settings(self, name):
        ip = self.ip(name)
        settings = {
            "Node": self.node_id(name), "Ip": ip, "Zone": f"z{int(name.split('-')[1]) % 3}",
            "PortRange": PEER_PORTS,
            "Listen": {"Front": f"{ip}:27521", "Ready": f"{ip}:27523", "Control": f"{ip}:27526"},
            "Seeds": [f"{self.ip(entry)}:27526" for entry in self.entries[:2]],
            "platform": {"Addr": f"{self.store_address()}:{self.store_ports[name]}"},
            "Cloud": {"Addr": f"{self.store_address()}:{STORE_PORT}"},
            "app": f"{ip}:27530",
            "Bounds": {"HoldMaxMs": 6000, "GraceS": 6, "RevokeMs": 5000},
        }
        path = os.path.join(self.folder, name + ".json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        os.replace(path + ".new", path)

    def _spawn(self, name, command, environment):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, env={**os.environ, **environment})
        log.close()

    def start_process(self, name):
        path = os.path.join(self.folder, name + ".json")
        role = name.split("-")[0]
        self._spawn(name, [os.path.join(self.binaries, "eelgrass_batch"), role],
                    {"EELGRASSHAVEN_SETTINGS": path})

    def is_running(self, name):
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def send_signal(self, name, number):
        if self.is_running(name):
            self.processes[name].send_signal(number)

    def kill(self, name):
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()
        self.paused.discard(name)

    def remove_entry(self, name):
        """Kills an entry for good. The next start under this name is another entry elsewhere."""
        self.kill(name)
        self.replacements[name] += 1
        self.write_settings(name)

    def terminate(self, name):
        """Stops a process with SIGTERM; it must exit with 0 within its grace time."""
        if not self.is_running(name):
            return
        self.send_signal(name, signal.SIGTERM)
        try:
            code = self.processes[name].wait(timeout=8)
        except subprocess.TimeoutExpired:
            code = "no exit in 8 s"
            self.kill(name)
        if code != 0 and name not in self.paused:
            self.unclean_exits.append(f"{name} ended with {code} after SIGTERM")

    def pause(self, name):
        self.paused.add(name)
        self.send_signal(name, signal.SIGSTOP)

    def resume(self, name):
        self.send_signal(name, signal.SIGCONT)
        self.paused.discard(name)

    def publish_config(self):
        self.config_version += 1
        routes = [{"Name": queue, "Host": "site", "PathPrefix": f"/{queue}/", "Service": "drying",
                   "Priority": priority, "Attempts": 3, "Stretch": 3.0,
                   "TargetLatencyMs": 1000 + self.config_version}
                  for queue, priority in (("urgent", 0), ("usual", 1), ("batch", 2))]
        config = {"Version": self.config_version, "Routes": routes,
                  "Services": [{"Name": "drying", "RejectsOverload": True}],
                  "Tenants": [{"Name": "t", "ApiKeys": ["key"], "GuaranteedGpus": {"Gpu": 8}}]}
        value = b64encode(json.dumps(config).encode()).decode()
        self.call_standin("/rows-tx", {"Writes": [
            {"Table": "op", "part": "", "Key": "config", "Value": value}]})

    def call_standin(self, path, body=None):
        """Sends a request to the stand-in and returns its JSON response, None on I/O errors."""
        data = None if body is None else json.dumps(body).encode()
        try:
            url = f"http://{self.store_address()}:{STORE_PORT}{path}"
            with urllib.request.urlopen(urllib.request.Request(url, data=data), timeout=3) as answer:
                return json.loads(answer.read() or b"{}")
        except OSError:
            return None

    def is_planner(self, name):
        """Returns whether an entry is the planner, from metrics up to one second old."""
        try:
            with urllib.request.urlopen(f"http://{self.ip(name)}:27015/metrics", timeout=1) as page:
                return b"\neelgrass_planning 1" in page.read()
        except OSError:
            return False

    def _ready(self, name):
        try:
            with urllib.request.urlopen(f"http://{self.ip(name)}:27523/ready", timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def _wait_until(self, condition):
        deadline = time.monotonic() + START_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise RuntimeError(f"the deployment did not start within {START_TIMEOUT_S} s")
            time.sleep(0.1)

    def clear_faults(self):
        self.call_standin("/standin/store?fault=none")
        for proxy in self.proxies.values():
            proxy.set_fault("none")
        for name in self.entries + self.agents:
            self.resume(name)
            if not self.is_running(name):
                self.start_process(name)

    def stop(self):
        for name in self.entries + self.agents + ["fleet"]:
            if self.is_running(name):
                self.resume(name)
                self.kill(name)
        for proxy in self.proxies.values():
            proxy.stop()

#!/usr/bin/env python3
"""Measures the control-plane overhead of entries and N idle worker agents, using stand-ins.

Usage: scripts/measure-capacity.py BIN [N...]. Prints the CPU use in percent of one core, resident
memory and peer traffic of each role, measured over ten seconds after a warm-up."""
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

BASE_PORT = 28000
PEER_KEY = {"EELGRASS_PEER_KEY": "measurement-key-of-all"}
ENTRIES = 3
WARM_UP_S = 8
WINDOW_S = 10
TICKS = os.sysconf("SC_CLK_TCK")


def start(binary, log, *arguments):
    return subprocess.Popen([binary, *arguments], stdout=log, stderr=log,
                            env={**os.environ, **PEER_KEY})


def process_usage(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        resident = int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1))
    return (int(fields[11]) + int(fields[12])) / TICKS, resident / 1024


def metrics(number):
    url = f"http://127.0.0.1:{BASE_PORT + 10 + number}/metrics"
    text = urllib.request.urlopen(url).read().decode()
    return {line.split()[0]: float(line.split()[1]) for line in text.splitlines() if line}


def wait_until_ready(number):
    for _ in range(200):
        try:
            urllib.request.urlopen(f"http://127.0.0.1:{BASE_PORT + 10 + number}/readyz")
            return
        except OSError:
            time.sleep(0.1)


def measure(binaries, count):
    log = open(os.path.join(tempfile.mkdtemp(), "log"), "w", encoding="utf-8")
    run = lambda program, *arguments: start(os.path.join(binaries, program), log, *arguments)
    digest = subprocess.check_output(
        [os.path.join(binaries, "eelgrassctl"), "token", "digest", "demo-operator-ana"],
        text=True).strip()
    platform = run("eelgrass_standin", "--listen", f"127.0.0.1:{BASE_PORT}")
    time.sleep(0.5)
    entries = [run("eelgrass_entry", "--id", f"e{i}", "--domain", "d0",
                   "--listen", f"127.0.0.1:{BASE_PORT + 10 + i}",
                   "--peer-listen", f"127.0.0.1:{BASE_PORT + 20 + i}",
                   "--store-url", f"http://127.0.0.1:{BASE_PORT}", "--bootstrap-digest", digest)
               for i in range(ENTRIES)]
    time.sleep(1.5)
    subprocess.check_call([os.path.join(binaries, "eelgrassctl"), "--entries",
                           f"127.0.0.1:{BASE_PORT + 10}", "--token", "demo-operator-ana", "config",
                           "apply", "examples/target.json"], stdout=log)
    seeds = ",".join(f"127.0.0.1:{BASE_PORT + 20 + i}" for i in range(ENTRIES))
    agents = [run("eelgrass_agent", "--role", "worker", "--id", f"w{i}", "--domain", f"d{i % 6}",
                  "--rack", "a0", "--region", "region-0", "--entries", seeds,
                  "--peer-listen", f"127.0.0.1:{BASE_PORT + 100 + i}",
                  "--worker-url", f"http://127.0.0.1:{BASE_PORT}/workers/w{i}")
              for i in range(count)]
    for i in range(ENTRIES):
        wait_until_ready(i)
    time.sleep(WARM_UP_S)
    before = [process_usage(p.pid) for p in entries + agents]
    frames = [metrics(i) for i in range(ENTRIES)]
    time.sleep(WINDOW_S)
    after = [process_usage(p.pid) for p in entries + agents]
    frames_after = [metrics(i) for i in range(ENTRIES)]
    cpu = [(b[0] - a[0]) / WINDOW_S * 100 for a, b in zip(before, after)]

    def rate(name, index):
        return (frames_after[index][name] - frames[index][name]) / WINDOW_S / 1000

    leader = max(range(ENTRIES), key=lambda i: frames_after[i]["eelgrass_leading"])
    kb_out = rate("eelgrass_peer_bytes_out_total", leader)
    kb_in = rate("eelgrass_peer_bytes_in_total", leader)
    writes = sum(rate("eelgrass_store_writes_total", i) for i in range(ENTRIES)) * 1000
    scans = sum(rate("eelgrass_store_scans_total", i) for i in range(ENTRIES)) * 1000
    agent_cpu = sum(cpu[ENTRIES:]) / count
    agent_mb = max(m for _, m in after[ENTRIES:])
    agent_kb = (kb_out + kb_in) * ENTRIES / count
    print(f"{count:6d} {cpu[leader]:9.2f} {after[leader][1]:9.1f} {kb_out:9.2f} {kb_in:9.2f} "
          f"{agent_cpu:9.2f} {agent_mb:9.1f} {agent_kb:10.3f} {writes:8.1f} {scans:8.1f}", flush=True)
    for process in agents + entries + [platform]:
        process.send_signal(signal.SIGTERM)
    for process in agents + entries + [platform]:
        process.wait()


def main():
    counts = [int(n) for n in sys.argv[2:]] or [10, 50, 100, 200]
    print("agents entry-cpu% entry-MB  out-KB/s   in-KB/s agent-cpu%  agent-MB agent-KB/s "
          "writes/s  scans/s")
    for count in counts:
        measure(sys.argv[1], count)


main()

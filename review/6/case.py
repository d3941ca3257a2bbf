"""All entry machines are removed for good, and new ones come at other addresses."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import standin

DARK_S = 2.0  # between the removal and the new machines, as in the site file


def steps_of(count, estimate):
    return [{"Count": count, "Cpu": 1000, "MemMb": 500, "Gpu": 1, "EstimateMs": estimate}]


def tell_seeds(site, seeds):
    """The platform writes the settings anew as they change, and sends SIGHUP."""
    site.deployment.seeds = seeds
    for node, process in site.deployment.processes.items():
        if not node.startswith("side"):
            continue
        path = os.path.join(site.deployment.folder, node + ".json")
        with open(path, encoding="utf-8") as file:
            settings = json.load(file)
        settings["Seeds"] = seeds
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        process.send_signal(standin.signal.SIGHUP)
    site.record(f"platform: the seeds are now {seeds}; SIGHUP to all agents")


async def case(site, trouble):
    job = await site.submit("batch", steps_of(2, 500), "ms=500;x")
    if job is None or not await site.until_state("batch", job, "completed", 15):
        raise RuntimeError("the first job did not complete")
    for node in site.entries:
        site.deployment.kill(node)
    await asyncio.sleep(DARK_S)
    before, site.entries = site.entries, {}
    for number, (node, (address, zone)) in enumerate(before.items()):
        if trouble:
            node, address = node[:-1] + "2", f"127.0.3.{number + 1}"
        await site.start_entry(node, address, zone)
    if trouble:
        tell_seeds(site, [f"127.0.3.{i + 1}:{site.deployment.control}" for i in range(3)])
    if not await site.until_ready():
        raise RuntimeError("the entries are not ready")
    job = await site.submit("batch", steps_of(2, 500), "ms=500;x")
    if job is None:
        raise RuntimeError("no entry accepted the job")
    if await site.until_state("batch", job, "completed", 40):
        return None
    return f"the accepted job {job} has not run 40 s after its acceptance, though all runners are idle"


standin.run(case)

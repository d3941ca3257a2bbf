"""Leaves in the store what the system itself has written for jobs of earlier days."""

import asyncio
import base64
import random

# Jobs a second by SYSTEM.md, mean steps and tasks as there, and the mean size of a request by the site file.
KINDS = (
    ("cure", 0.324, 1.0, 2, True, 500),
    ("urgent", 0.238, 1.0, 3, True, 1200),
    ("batch", 0.195, 1.3, 9, False, 1200),
)


def steps_of(number, count, gang):
    step = {"Count": count, "Cpu": 1000, "MemMb": 500, "Gpu": 1, "EstimateMs": 300}
    if gang:
        step["Gang"] = True
    return [step | ({"After": [i - 1]} if i else {}) for i in range(number)]


async def finished_samples(site, days):
    """Jobs of each kind that the system has taken, run and stored as completed, and how many such jobs come in that time."""
    samples = []
    for queue, rate, mean_steps, count, gang, size in KINDS:
        share = mean_steps - 1
        for number, part in ((1, 1 - share), (2, share)):
            if part <= 0:
                continue
            job = await site.submit(queue, steps_of(number, count, gang), "ms=300;" + "x" * (size - 300))
            if job is None or not await site.until_state(queue, job, "completed", 20):
                raise RuntimeError("a sample did not complete")
            samples.append((job, round(rate * part * 86400 * days)))
    await asyncio.sleep(1)
    return samples


def copy_rows(site, samples):
    """Stores copies, under other ids, of the rows that the system has written for the samples."""
    source = random.Random(1)
    copies = {"jobs": [], "progress": []}
    for job, number in samples:
        rows = {table: base64.b64decode(site.store.rows[(table, "")][job][0]).decode() for table in copies}
        site.record(f"row of a sample: {rows['jobs'][:300]}")
        site.record(f"row of its progress: {rows['progress']}")
        for _ in range(number):
            name = f"{source.getrandbits(64):016x}"
            for table, text in rows.items():
                copies[table].append((name, base64.b64encode(text.replace(job, name).encode()).decode()))
    for table, rows in copies.items():
        site.store.preload(table, rows)
    site.record(f"the store holds {len(copies['jobs'])} completed jobs more")


async def stop_entries(site, how):
    for node in site.entries:
        site.deployment.kill(node, how)
    for node in site.entries:
        await asyncio.wait_for(site.deployment.processes[node].wait(), 8)

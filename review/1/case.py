"""A wide job's progress outgrows a row of the store, and the planner stores nothing any more."""

import asyncio
import os
import time

from deployment_site import BOUNDS, play

WIDTH, STEPS, TIMES = 55, 3, 6  # the largest figures of the class price-quote of the site file
TASK = {"Cpu": 2800, "MemMb": 11000, "Gpu": 1, "EstimateMs": 2000}
SMALL_JOBS = 33


def wide_job(steps):
    return {"Spec": '[{"ms":2000},{"ms":2000},{"ms":2000}]', "Times": TIMES,
            "StartTimeMs": int(time.time() * 1000), "IntervalMs": 2000,
            "Steps": [{"Count": WIDTH, **TASK, **({"After": [n - 1]} if n else {})}
                      for n in range(steps)]}


SMALL_JOB = {"Spec": '[{"ms":500}]',
             "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 1000, "Gpu": 1, "EstimateMs": 500}]}


async def case(site):
    # Without the disruption the same tasks come as three jobs of a third of the size.
    wide = [("00000000000000a0", wide_job(STEPS))] if site.trouble else [
        (f"00000000000000a{n}", wide_job(1)) for n in range(STEPS)]
    accepted = [job for job, body in wide if await site.submit(job, body) == 200]
    for number in range(SMALL_JOBS):
        job = f"00000000000001{number:02d}"
        if await site.submit(job, SMALL_JOB) == 200:
            accepted.append(job)
        await asyncio.sleep(2.0)
    await asyncio.sleep(BOUNDS["finish_s"])
    broken, unfinished = [], []
    for job in accepted:
        state = await site.state(job)
        if state.startswith("answer"):
            broken.append(f"LOST: job {job} was accepted and is not known: {state}")
        elif state != "completed":
            unfinished.append(job)
    broken += await site.idle_jobs(unfinished)
    return broken


play(case, os.path.dirname(os.path.abspath(__file__)), runners=4)

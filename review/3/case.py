"""A runner starts again under its id while the write with its former life's ends is pending."""

import asyncio
import os

from deployment_site import play

DOWN_S = 1.4  # the site file's longest outage of the store is 4.5 s
CRASH_AFTER_S = 0.5
DARK_S = 0.3
TASK = {"Cpu": 4000, "MemMb": 4096, "Gpu": 1, "EstimateMs": 400}
JOBS = 120


async def case(site):
    async def feed():
        """A small job every 100 ms."""
        for number in range(JOBS):
            asyncio.create_task(site.submit(
                f"0000000000003{number:03d}",
                {"Spec": '[{"ms":400}]', "Steps": [{"Count": 3, **TASK}]}))
            await asyncio.sleep(0.1)

    feeding = asyncio.create_task(feed())
    await asyncio.sleep(4.0)
    runner = site.runners["i-1"]
    site.store.down = site.trouble
    site.record(f"the store is down: {site.store.down}")
    await asyncio.sleep(CRASH_AFTER_S)
    if site.trouble:
        runner.crash()
    await asyncio.sleep(DARK_S)
    if site.trouble:
        await runner.start()
    await asyncio.sleep(DOWN_S - CRASH_AFTER_S - DARK_S)
    site.store.down = False
    site.record("the store serves again")
    await feeding
    await asyncio.sleep(15.0)
    return ["TWICE: " + text for text in site.twice()]


play(case, os.path.dirname(os.path.abspath(__file__)), runners=10)

#!/usr/bin/env python3
"""Runs the real programs under random faults and checks the guarantees to callers and workers.

The stand-in's checker (standins/batch_check.h) verifies the guarantees from the responses that
callers report and from what its workers observe. This program starts the processes, injects the
faults and queries the checker.
"""

import argparse
import os
import random
import shutil
import sys
import tempfile
import time

from callers import Callers
from deployment import Deployment
from faults import Faults

# The time that work takes at a worker, in percent: a third is faster and a third slower.
TIME_PERCENTS = (60, 100, 160)

SCRIPT_FOLDER = os.path.dirname(os.path.abspath(__file__))


def run_seed(seed, options):
    """Runs one seed. Returns the violations, one line each, and a summary."""
    rng = random.Random(seed)
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    # Drawn apart from the faults, so that the seeds in seeds.txt play the faults that they did.
    speeds = random.Random(f"speeds {seed}")
    deployment = Deployment(options.binaries, folder, 80 + seed % 40, options.entries,
                            options.agents, speeds.choices(TIME_PERCENTS, k=options.agents))
    callers = Callers(deployment, random.Random(rng.random()))
    faults = Faults(deployment, random.Random(rng.random()), options.replace_entries)
    violations = []
    try:
        deployment.start()
        deadline = time.monotonic() + options.seconds
        next_fault = time.monotonic() + 1.0
        while time.monotonic() < deadline and not violations:
            callers.submit_job()
            if time.monotonic() >= next_fault:
                faults.begin_random_fault()
                next_fault = time.monotonic() + rng.expovariate(1 / options.gap)
            time.sleep(rng.uniform(0.05, 0.25))
            violations = deployment.call_standin("/standin/broken")["broken"]
        faults.join()
        deployment.clear_faults()
        callers.finish()
        violations = deployment.call_standin("/standin/broken?finish=1")["broken"]
        violations += [f"LOST {job} was {state}" for job, state in callers.unfinished.items()
                   if state == "accepted"]
        violations += deployment.unclean_exits
        for name in deployment.entries + deployment.agents:
            deployment.terminate(name)
        violations += [line for line in deployment.unclean_exits if line not in violations]
    finally:
        deployment.stop()
    summary = f"{len(callers.threads)} jobs, {len(faults.log)} faults, "
    summary += f"time percents {deployment.time_percents}, answers {callers.answers}"
    with open(os.path.join(folder, "faults.log"), "w", encoding="utf-8") as file:
        file.write("\n".join(faults.log + [summary] + violations) + "\n")
    if violations:
        summary += f"; logs in {folder}"
    else:
        shutil.rmtree(folder)
    return violations, summary


def select_seeds(options):
    if options.seed is not None:
        return [options.seed]
    kept = []
    with open(os.path.join(SCRIPT_FOLDER, "seeds.txt"), encoding="utf-8") as file:
        kept = [int(line.split()[0]) for line in file if line.strip() and line[0] != "#"]
    first = options.first if options.first is not None else random.SystemRandom().randrange(10**9)
    return (kept if options.kept else []) + [first + n for n in range(options.seeds)]


def main():
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--binaries", default="build/bin", help="folder with the programs")
    options.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds to run")
    options.add_argument("--first", type=int, help="first seed; random by default")
    options.add_argument("--seed", type=int, help="run only this seed")
    options.add_argument("--kept", action="store_true", help="also run the seeds in seeds.txt")
    options.add_argument("--seconds", type=float, default=15,
                         help="duration of load and faults for each seed")
    options.add_argument("--gap", type=float, default=0.8, help="mean seconds between faults")
    options.add_argument("--replace-entries", action="store_true",
                         help="also replace all entries at other addresses")
    options.add_argument("--entries", type=int, default=3)
    options.add_argument("--agents", type=int, default=4)
    options = options.parse_args()
    # The programs are copied, so that a build during a long run does not replace them.
    copies = tempfile.mkdtemp(prefix="soak-programs-")
    for program in ("eelgrass_batch", "eelgrass_fleet"):
        shutil.copy2(os.path.join(options.binaries, program), copies)
    options.binaries = copies
    failed = 0
    seeds = select_seeds(options)
    for seed in seeds:
        violations, summary = run_seed(seed, options)
        failed += 1 if violations else 0
        print(f"seed {seed}: {'BROKEN' if violations else 'kept'}; {summary}", flush=True)
        for line in violations:
            print(f"  {line}", flush=True)
    shutil.rmtree(copies)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

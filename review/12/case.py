"""Starts get no answer and are carried out late (applied_late); one worker after the other crashes and
starts again under its id (srv_crash)."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
import stand  # noqa: E402

# The doses of the site file: a share of 0.055 of the orders, each carried out 2 to 12 s later; 0.14 of
# the workers down for at most 4.5 s. One of twelve is down here.
LATE_SHARE = 0.055
LATE_S = (2.0, 7.0)
DOWN_S = 4.0
TRAFFIC_S = 60


async def case(fleet, trouble):
    await fleet.open()
    rng = random.Random()

    def late(path):
        return rng.uniform(*LATE_S) if path == "/run-start" and rng.random() < LATE_SHARE else None

    if trouble:
        for worker in fleet.workers:
            worker.late, worker.late_retries = late, True
    until = time.monotonic() + TRAFFIC_S
    jobs = []

    async def client():
        while time.monotonic() < until:
            body = {"spec": "loaves", "steps": [{"count": 12, "cpu": 4000, "mem_mb": 100,
                                                 "estimate_ms": 300}]}
            job = await fleet.submit(body, lambda task: rng.randint(100, 500))
            if job:
                jobs.append(job)
            await asyncio.sleep(rng.uniform(0.05, 0.3))

    async def crashes():
        await asyncio.sleep(8)
        while time.monotonic() < until - 7:
            await rng.choice(fleet.workers).crash(DOWN_S)
            await asyncio.sleep(0.5)

    parts = [client(), client()]
    if trouble:
        parts.append(crashes())
    await asyncio.gather(*parts)
    for worker in fleet.workers:
        worker.late = None
    await asyncio.sleep(12)
    fleet.record.note(f"jobs accepted: {len(jobs)}")


stand.play(HERE, case)

"""A worker fails all that it starts for some seconds while its pings are good (srv_grey, errors). A gang
is started there once; its members fail together, in one run of the gang."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
import stand  # noqa: E402

# The dose of the site file: 0.085 of the workers fail all that they start, for 6.5 s. Here it is one
# worker of twelve.
GREY_S = 6.5
FAILS_AFTER_MS = 200
MEMBERS = 3
MAX_ATTEMPTS = 2


async def case(fleet, trouble):
    await fleet.open([stand.queue(max_attempts=MAX_ATTEMPTS)])
    await asyncio.sleep(2)
    if trouble:
        fleet.workers[5].fails_after_ms = FAILS_AFTER_MS
        fleet.record.note(f"grey: {fleet.workers[5].name} fails all that it starts")
    began, jobs = time.monotonic(), []
    while time.monotonic() < began + GREY_S:
        step = {"count": MEMBERS, "cpu": 4000, "mem_mb": 100, "estimate_ms": 800, "gang": True}
        job = await fleet.submit({"spec": "loaves", "steps": [step]}, lambda task: 800)
        jobs += [job] if job else []
        await asyncio.sleep(0.1)
    fleet.workers[5].fails_after_ms = 0
    fleet.record.note("well: all workers")
    left = set(jobs)
    until = time.monotonic() + 30
    while left and time.monotonic() < until:
        for job in list(left):
            state = await fleet.state(job)
            if state in ("completed", "failed", "cancelled"):
                left.discard(job)
            if state == "failed":
                ends = [(task, end["run"]) for task, ends in fleet.ends.items() if task.startswith(job)
                        for end in ends if end["how"] == "failed"]
                runs = {run for _, run in ends}
                fleet.record.note(f"job {job} failed: ends {ends}")
                if len(runs) < MAX_ATTEMPTS:
                    fleet.record.breaks(f"LOST: job {job} is shown as failed after {len(runs)} failed run of "
                                        f"its gang ({len(ends)} members); max_attempts is {MAX_ATTEMPTS}")
        await asyncio.sleep(0.3)
    if left:
        raise stand.CannotRun(f"{len(left)} jobs have not ended")


stand.play(HERE, case)

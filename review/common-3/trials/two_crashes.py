"""Two workers crash, one after the other, each shortly after it has begun the same sound task
(srv_crash). No run of the task ends `failed`."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import stand  # noqa: E402

# The doses of the site file: 0.14 of the workers, for at most 4.5 s. One worker of eight is down here.
DOWN_S = 1.0
CRASHES = 2
CRASH_AFTER_S = 0.15


async def case(fleet, trouble):
    await fleet.open()
    await asyncio.sleep(2)
    body = {"spec": "loaves", "steps": [{"count": 1, "cpu": 4000, "mem_mb": 100, "estimate_ms": 2000}]}
    job = await fleet.submit(body, lambda task: 2000)
    if job is None:
        raise stand.CannotRun("the job was not accepted")
    task, crashed, hit = f"{job}.0.0.0", 0, set()
    until = time.monotonic() + 60
    state = None
    while time.monotonic() < until and state not in ("completed", "failed", "cancelled"):
        running = [key for key in fleet.running.get(task, {}) if key not in hit]
        if trouble and crashed < CRASHES and running:
            hit.add(running[0])
            await asyncio.sleep(CRASH_AFTER_S)
            worker = next(w for w in fleet.workers if w.name == running[0][0])
            crashed += 1
            fleet.spawn(worker.crash(DOWN_S))
        await asyncio.sleep(0.02)
        if not running or crashed == CRASHES or not trouble:
            state = await fleet.state(job)
            await asyncio.sleep(0.2 if crashed == CRASHES else 0.02)
    failed = [end for end in fleet.ends.get(task, []) if end["how"] == "failed"]
    fleet.record.note(f"crashes={crashed} state={state} runs that ended failed={len(failed)}")
    if state == "failed" and len(failed) < 2:
        fleet.record.breaks(f"LOST: job {job} is shown as failed; {len(failed)} of its runs ended failed, "
                            "max_attempts is 2")
    elif state != "completed":
        raise stand.CannotRun(f"the job is {state} after 60 s")


stand.play(HERE, case)

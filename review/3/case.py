"""Two workers crash, one after the other, soon after a task of a lasting job started on them."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import standin  # noqa: E402

JOB = "00000000000000b3"
TASK = f"{JOB}.0.0.0"
# One worker of eight at a time, for 3.4 s, as in the site files.
WORKERS, DOWN_S, CRASHES = 8, 3.4, 2
# Time from the start of the task to the crash of its worker.
AFTER_S = float(os.environ.get("AFTER_S", "0.4"))


async def come_back(worker):
    await asyncio.sleep(DOWN_S)
    worker.restart()


async def case(world):
    vms = [(f"edge-{number}", f"zone-{number}", 0.25) for number in (1, 2, 3)]
    workers = [(f"{number + 1:016x}", f"zone-{1 + number % 3}") for number in range(WORKERS)]
    await world.open(vms, workers)
    await asyncio.sleep(1)
    step = {"count": 4, "cpu": 2000, "mem_mb": 500, "long_running": True, "anti_affinity": 1}
    status, _ = await world.submit(world.vms[0], JOB, [step], {"ms": [0], "cpu": [2000]})
    if status != 200:
        raise RuntimeError("the job isn't accepted")
    crashed = 0
    state = None
    for turn in range(500):
        await asyncio.sleep(0.05)
        runs = world.book.running.get(TASK)
        if runs and standin.TROUBLE and crashed < CRASHES:
            await asyncio.sleep(AFTER_S)
            name = next(iter(world.book.running[TASK]))
            worker = next(worker for worker in world.workers if worker.name == name)
            worker.crash()
            asyncio.create_task(come_back(worker))
            crashed += 1
        if turn % 20 == 0:
            state = await world.state(world.vms[0], JOB)
            if state == "failed":
                break
    await asyncio.sleep(1)
    at_work = sum(1 for runs in world.book.running.values() if runs)
    world.record("at_the_end", state=state, tasks_at_work=at_work)
    failed = sum(world.book.failed.values())
    if state == "failed":
        return [f"LOST: job {JOB} is shown as failed; ends failed: {failed}; at work: {at_work} of 4"]
    return []


standin.main(HERE, case)

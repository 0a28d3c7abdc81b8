"""All entry VMs but one are lost for good. Nobody submits a job for some seconds."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import standin  # noqa: E402

LASTING, LATER = "00000000000000b2", "00000000000000c2"
# From RULES.md: 6 s after its last run, for 3 s, and these and the 4 s before them are calm.
AFTER_RUN_MS, IDLE_MS, CALM_MS, CONTACT_MS = 6000, 3000, 4000, 3000


async def case(world):
    vms = [(f"edge-{number}", f"zone-{number}", 0.25) for number in (1, 2, 3)]
    workers = [(f"{number:016x}", f"zone-{number}") for number in (1, 2, 3)]
    await world.open(vms, workers)
    step = {"count": 2, "cpu": 2000, "mem_mb": 500, "long_running": True, "image": "list"}
    status, _ = await world.submit(world.vms[0], LASTING, [step], {"ms": [0], "cpu": [2000]})
    await asyncio.sleep(3)
    tasks = [task for task, runs in world.book.running.items() if runs]
    if status != 200 or len(tasks) != 2:
        raise RuntimeError("the lasting tasks don't run")
    survivor = world.leader()
    lost_at = standin.now_ms()
    if standin.TROUBLE:
        for vm in world.vms:
            if vm is not survivor:
                vm.kill()
    broken = {}
    for _ in range(300):
        await asyncio.sleep(0.1)
        now = standin.now_ms()
        calm = now > lost_at + CONTACT_MS + CALM_MS + IDLE_MS
        for task in tasks:
            idle = not world.book.running.get(task)
            ended = world.book.last_ran.get(task, now)
            if idle and calm and now > ended + AFTER_RUN_MS + IDLE_MS:
                broken[task] = now - ended
    # What callers see; the check above is what decides.
    for _ in range(3):
        await world.state(survivor, LASTING)
    batch = [{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 500}]
    await world.submit(survivor, LATER, batch, {"ms": [500], "cpu": [1000]})
    return [f"LOST: {task} lasts and hasn't run for {ms} ms" for task, ms in broken.items()]


standin.main(HERE, case)

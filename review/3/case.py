"""A worker crashes and starts again; soon after, its failure domain is cut off, leader and all."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import standin  # noqa: E402

OLD, FILLING, TASKS = "00000000000000a3", "00000000000000c", "00000000000000b3"
# The worker is down for half a second. Its first entry in the store comes 0.6 s after its start,
# within a ping interval. The domain is cut off 0.7 s after the worker's start, for 12 s.
DOWN_S, ENTRY_MS, CUT_AFTER_S, CUT_S = 0.5, 600, 0.7, 12
ZONES = ["zone-1", "zone-2", "zone-3"]


def step(cpu, ms, zone=None):
    fields = {"count": 1, "cpu": cpu, "mem_mb": 500, "estimate_ms": ms}
    return [{**fields, "requires": f"r-{zone}"} if zone else fields], {"ms": [ms], "cpu": [cpu]}


async def case(world):
    vms = [(f"edge-{number}", zone, 0.25) for number, zone in enumerate(ZONES)]
    workers = [(f"{number + 1:016x}", zone) for number, zone in enumerate(ZONES)]
    world.net.side.update((name, zone) for name, zone, _ in vms)
    world.net.side.update(workers)
    await world.open(vms, workers)
    await asyncio.sleep(1)
    cut_off = world.leader().zone
    world.record("leader", vm=world.leader().name)
    # Everything outside of the leader's domain is on one side, with the platform.
    for name, zone in world.net.side.items():
        world.net.side[name] = "inside" if zone == cut_off else "outside"
    world.net.side["store"] = "outside"
    worker = next(worker for worker in world.workers if worker.zone == cut_off)
    # The other workers are full for a while.
    status, _ = await world.submit(world.vms[0], OLD, *step(12000, 9000, cut_off))
    for number, zone in enumerate(zone for zone in ZONES if zone != cut_off):
        await world.submit(world.vms[0], f"{FILLING}{number}", *step(15500, 9000, zone))
    await asyncio.sleep(3)
    if status != 200 or sum(1 for runs in world.book.running.values() if runs) != len(ZONES):
        raise RuntimeError("the workers aren't in use")
    if standin.TROUBLE:
        worker.crash()
    await asyncio.sleep(DOWN_S)
    if standin.TROUBLE:
        worker.restart()
        worker.pinged = standin.now_ms() - standin.PING_MS + ENTRY_MS
    await world.submit(world.vms[0], TASKS, *step(1500, 20000))
    await asyncio.sleep(CUT_AFTER_S)
    if f"{TASKS}.0.0.0" not in worker.runs:
        raise RuntimeError("the task isn't on the worker")
    if standin.TROUBLE:
        world.net.cut = True
        world.record("domain_cut_off", domain=cut_off)
    await asyncio.sleep(CUT_S)
    if standin.TROUBLE:
        world.net.cut = False
        world.record("domain_is_back", domain=cut_off)
    await asyncio.sleep(4)
    return [
        f"TWICE: {task} begins on {other} while it runs on {others}"
        for _, task, other, others in world.book.overlaps
    ]


standin.main(HERE, case)

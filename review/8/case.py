"""Tasks that last and wait for a worker that was lost, and others that any worker could run."""

import asyncio, json, os, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common-2"))
from standins import System, Worker, at, call, run

HOST, PREFIX = "ovens.example", "/bake/"
BOUND = 64          # jobs whose task needs the worker with the label "b"


async def case(record, trouble):
    system = System(record, vms=3)
    try:
        for i in range(1, 9):
            kind = "b" if i == 1 else "a"
            system.workers[f"w-{i}"] = Worker(f"w-{i}", "oven", system.store, record, cpu=64_000, kind=kind)
        system.manifest(1, [("ovens", HOST, PREFIX, "oven", 0, 3)])
        await system.start()
        await system.ready()
        await asyncio.sleep(3)
        return await play(system, record, trouble)
    finally:
        await system.stop()


async def play(system, record, trouble):
    vms = list(system.vms.values())
    spec = json.dumps({"lasts": True, "cpu": 900, "tail": 20})
    step = {"count": 1, "cpu": 900, "mem_mb": 100, "estimate_ms": 500, "long_running": True, "image": "watch",
            "target_ms": 100}
    accepted = {}

    async def submit(id, step):
        vm = vms[int(id, 16) % 3]
        status, _ = await call(vm.ports["callers"], "POST", PREFIX + id, HOST, {"spec": spec, "steps": [step]},
                               headers={"deadline-ms": 3000})
        record(f"POST {id} at {vm.name}: {status}")
        if status == 200:
            accepted[id] = at()

    for n in range(BOUND):
        await submit(f"{0xb000 + n:016x}", dict(step, requires="b"))
    await asyncio.sleep(5)
    record(f"at work: {sum(len(worker.runs) for worker in system.workers.values())}")
    if trouble:
        system.workers["w-1"].lose()
    await asyncio.sleep(15)
    # More than 4 s after the loss has had all its effects, another client's jobs come. Seven workers are idle.
    others = [f"{0xa000 + n:016x}" for n in range(6)]
    for id in others:
        await submit(id, dict(step, count=2))
    await asyncio.sleep(20)

    # LOST: each task that lasts has to run within 3 s of its turn, however full the service is.
    broken = []
    for id in others:
        if id not in accepted:
            continue
        rows = [row for worker in system.workers.values() for row in worker.history if row[0].startswith(id)]
        begun = {row[0]: row[2] for row in rows}
        waits = [begun.get(f"{id}.0.0.{index}", at()) - accepted[id] for index in (0, 1)]
        status, answer = await call(vms[0].ports["callers"], "GET", PREFIX + id, HOST)
        record(f"{id}: accepted at {accepted[id]}, its tasks began or wait after {[round(w, 3) for w in waits]} s; "
               f"GET: {status} {answer.decode(errors='replace')}")
        if max(waits) > 3.0:
            broken.append(id)
    used = sum(run["spec"]["cpu"] for w in system.workers.values() for run in w.runs.values())
    size = sum(worker.cpu for worker in system.workers.values() if not worker.lost)
    record(f"LOST: {len(broken)} of {len(others)} jobs; {used} of {size} thousandths of a core are in use")
    return not broken


run(os.path.dirname(os.path.abspath(__file__)), case)

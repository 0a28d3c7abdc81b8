"""A worker that crashes and is back, gets one start, and is cut off before its leader knows."""

import asyncio, json, os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import System, Worker, at, call, run

HOST, PREFIX = "ovens.example", "/bake/"


async def case(record, trouble):
    system = System(record, vms=3)
    try:
        for i, cpu in ((1, 64_000), (2, 16_000)):
            system.workers[f"w-{i}"] = Worker(f"w-{i}", "oven", system.store, record, cpu=cpu)
        system.manifest(1, [("ovens", HOST, PREFIX, "oven", 0, 3)])
        await system.start()
        await system.ready()
        await asyncio.sleep(8)
        worker = system.workers["w-1"]
        handle = worker.handle

        async def cut_off_at_start(method, path, *rest):
            result = await handle(method, path, *rest)
            if path == "/run-start":
                worker.silent = True
                record("w-1 is cut off, with the answer to the start")
            return result
        if trouble:
            worker.restart()
            worker.handle = cut_off_at_start
        step = {"count": 1, "cpu": 1000, "mem_mb": 10, "estimate_ms": 60_000}
        job = {"spec": json.dumps({"ms": 60_000, "cpu": 1000}), "steps": [step]}
        status, _ = await call(system.vms["edge-1"].ports["callers"], "POST", PREFIX + f"{0xa000:016x}", HOST, job)
        record(f"POST: {status}")
        await asyncio.sleep(16)
        rows = sorted((row[2], row[3] or at(), row[1], name) for name, w in system.workers.items() for row in w.history)
        for begun, ended, number, name in rows:
            record(f"run {number} on {name}: {begun} to {ended}")
        return len(rows) < 2 or rows[1][0] >= rows[0][1]
    finally:
        await system.stop()


run("/tmp", case)

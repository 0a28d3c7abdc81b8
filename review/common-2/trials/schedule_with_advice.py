"""A job with a schedule on a queue with advice: its first time waits for a worker that was lost."""

import asyncio, json, os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import System, Worker, call, reply, run, serve_http, unix

HOST, PREFIX = "ovens.example", "/bake/"
TIMES, INTERVAL_MS = 6, 4_000


async def case(record, trouble):
    system = System(record, vms=3)
    try:
        for i in range(1, 9):
            system.workers[f"w-{i}"] = Worker(f"w-{i}", "oven", system.store, record)

        async def advise(method, path, query, headers, body):
            """Allows one worker a step, another one for each time of a job."""
            asked = json.loads(body)
            allowed = f"w-{1 + int(asked['step'].split('.')[1]) % 8}"
            await asyncio.sleep((20 + 2 * len(asked["workers"])) / 1000)
            rows = [[name, f"t-{name}-{asked['step']}"] for name in asked["workers"] if name == allowed]
            record(f"advise {asked['step']}: {len(asked['workers'])} workers named, allowed {[row[0] for row in rows]}")
            return reply(200, {"allowed": rows, "valid_ms": 3000})
        system.advice = f"127.0.0.1:{(await serve_http(advise))[1]}"
        system.manifest(1, [("ovens", HOST, PREFIX, "oven", 0, 3)])
        await system.start()
        await system.ready()
        await asyncio.sleep(3)
        if trouble:
            system.workers["w-1"].lose()
        await asyncio.sleep(1)
        step = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 800}
        job = {"spec": json.dumps({"ms": 800, "cpu": 1000}), "steps": [step], "repeat_count": TIMES,
               "start_at_ms": unix() + 5000, "interval_ms": INTERVAL_MS}
        id = f"{0xa000:016x}"
        status, _ = await call(system.vms["edge-1"].ports["callers"], "POST", PREFIX + id, HOST, job)
        record(f"POST {id}: {status}")
        await asyncio.sleep(5 + TIMES * INTERVAL_MS / 1000 + 14)
        ran = {row[0] for worker in system.workers.values() for row in worker.history}
        record(f"LOST: {TIMES - 1 - len(ran - {id + '.0.0.0'})} later times of the job have never run")
        return len(ran - {id + ".0.0.0"}) == TIMES - 1
    finally:
        await system.stop()


run("/tmp", case)

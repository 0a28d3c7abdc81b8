"""A wide job whose tasks end while no entry VM leads: over 500 ends on a worker."""

import asyncio, json, os, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common-2"))
from standins import System, Worker, at, call, run, unix

HOST, PREFIX = "ovens.example", "/bake/"
TASKS, CPU = 1_300, 90      # two workers of 64 cores hold them all
WORK_S = 10                 # what all tasks wait for comes so long after they were handed in


async def case(record, trouble):
    system = System(record, vms=3)
    try:
        for i in (1, 2):
            system.workers[f"w-{i}"] = Worker(f"w-{i}", "oven", system.store, record, cpu=64_000)
        system.manifest(1, [("ovens", HOST, PREFIX, "oven", 0, 3)])
        await system.start()
        await system.ready()
        await asyncio.sleep(3)
        return await play(system, record, trouble)
    finally:
        await system.stop()


async def play(system, record, trouble):
    leader = system.leader()
    other = next(vm for name, vm in system.vms.items() if name != leader)
    id = f"{0xa000:016x}"
    step = {"count": TASKS, "cpu": CPU, "mem_mb": 100, "estimate_ms": WORK_S * 1000}
    until = unix() + WORK_S * 1000
    job = {"spec": json.dumps({"until": until, "cpu": CPU}), "steps": [step]}
    for worker in system.workers.values():
        worker.quiet = (id,)
    status, _ = await call(other.ports["callers"], "POST", PREFIX + id, HOST, job)
    record(f"POST {id} at {other.name}: {status}")
    if status != 200:
        raise RuntimeError("the job isn't accepted")
    begun = time.monotonic()
    while sum(len(worker.runs) for worker in system.workers.values()) < TASKS:
        await asyncio.sleep(0.01)
        if time.monotonic() > begun + 8:
            raise RuntimeError("the tasks don't start in time")
    record(f"all {TASKS} tasks run: {[len(worker.runs) for worker in system.workers.values()]}")
    await asyncio.sleep(max(0, (until - unix()) / 1000 - 0.4))
    if trouble:
        system.vms[leader].process.kill()
        record(f"{leader}, which leads, is killed")
    await asyncio.sleep(20)
    status, answer = await call(other.ports["callers"], "GET", PREFIX + id, HOST)
    record(f"GET {id}: {status} {answer.decode(errors='replace')}")

    # TWICE: a start after a run has ended `done`, if that end is taken note of (ack_cursor) then or later.
    done, twice = {}, []
    noted = {}
    for worker in system.workers.values():
        for number, task, how in worker.listed:
            if how == "done" and number <= worker.acked:
                noted[task] = min(noted.get(task, 1e9), worker.ended_at[number])
    for worker in system.workers.values():
        for task, number, started, ended, how in worker.history:
            if task in noted and started > noted[task]:
                twice.append((task, number, started, noted[task]))
    for task, number, started, ended in twice[:5]:
        record(f"{task} run {number} starts at {started}; a run of it had ended done at {ended}, and that end was taken note of")
    record(f"TWICE: {len(twice)} starts; runs in all: {sum(len(w.history) for w in system.workers.values())} of {TASKS} tasks")
    return not twice


run(os.path.dirname(os.path.abspath(__file__)), case)

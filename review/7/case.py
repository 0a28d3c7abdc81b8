"""A job that is handed in to catch up on a year, and what becomes of all others."""

import asyncio, json, os, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common-2"))
from standins import System, Worker, at, call, run, unix

HOST, PREFIX = "ovens.example", "/bake/"
HOUR = 3_600_000
TIMES, STEPS = 8_760, 12        # each hour of a year


async def case(record, trouble):
    system = System(record, vms=3)
    try:
        for i in (1, 2, 3):
            system.workers[f"w-{i}"] = Worker(f"w-{i}", "oven", system.store, record)
        system.manifest(1, [("ovens", HOST, PREFIX, "oven", 0, 3)])
        await system.start()
        await system.ready()
        await asyncio.sleep(2)
        return await play(system, record, trouble)
    finally:
        await system.stop()


async def play(system, record, trouble):
    vms = list(system.vms.values())
    accepted = {}

    async def attempts(method, id, body=None, tries=5):
        """A client's request with its retries, at one VM after the other."""
        for n in range(tries):
            vm = vms[(int(id, 16) + n) % len(vms)]
            status, answer = await call(vm.ports["callers"], method, PREFIX + id, HOST, body,
                                        headers={"deadline-ms": 3000})
            record(f"{method} {id} at {vm.name}: {status} {answer[:80].decode(errors='replace')}")
            if status not in (None, 429, 502, 503, 504):
                return status, answer
            await asyncio.sleep(1)
        return status, answer

    def job(ms, steps=1, **more):
        spec = json.dumps({"ms": ms, "cpu": 1000})
        step = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": ms}
        chain = [dict(step, depends_on=[i - 1]) if i else step for i in range(steps)]
        return {"spec": spec, "steps": chain, **more}

    async def submit(id, body):
        status, _ = await attempts("POST", id, body)
        accepted[id] = status == 200
        return accepted[id]

    # Jobs of other clients, before: their tasks take 6 s, so that they end after the large job came.
    before = [f"{0xa000 + i:016x}" for i in range(12)]
    for id in before:
        await submit(id, job(6_000))
    to_cancel = [f"{0xc000 + i:016x}" for i in range(4)]
    for id in to_cancel:
        await submit(id, job(90_000))
    large = f"{0xb000:016x}"
    times = TIMES if trouble else 24
    start = unix() - TIMES * HOUR
    schedule = {"repeat_count": times, "start_at_ms": start, "interval_ms": HOUR}
    record(f"the job that catches up: {times} times of {STEPS} steps, due each hour since a year ago")
    await submit(large, job(50, STEPS, **schedule))
    sent = time.monotonic()
    for worker in system.workers.values():
        worker.quiet = (large,)
    await asyncio.sleep(6)

    async def cancel(id):
        """Sends the cancel again each second until it is acknowledged, for 12 s at most."""
        first = at()
        while at() < first + 12:
            status, _ = await attempts("DELETE", id, tries=1)
            if status in (200, 410):
                return first, at()
            await asyncio.sleep(1)
        return first, None

    cancels = await asyncio.gather(*(cancel(id) for id in to_cancel))
    after = [f"{0xd000 + i:016x}" for i in range(2)]
    for id in after:
        await submit(id, job(500))
    await asyncio.sleep(max(0, sent + 45 - time.monotonic()))

    # UNASKED: a task runs on, or starts, later than cancel_ms + stop_timeout_ms after the ack of the
    # cancel, or after the cancel has waited ack_timeout_ms for its ack.
    broken = []
    for id, (first, acked) in zip(to_cancel, cancels):
        limit = (acked if acked is not None else first + 4.0) + 3.0 + 0.4
        rows = [row for worker in system.workers.values() for row in worker.history if row[0].startswith(id)]
        if any(row[3] is None or row[3] > limit for row in rows):
            broken.append(id)
            record(f"{id}: cancel sent at {first:.3f}, acknowledged: {acked}, still runs at {at():.3f}")
    unacked = sum(acked is None for _, acked in cancels)
    states = {}
    for id in before:
        _, answer = await attempts("GET", id, tries=2)
        states[id] = json.loads(answer).get("state") if answer else None
    listed = sum(worker.count for worker in system.workers.values())
    taken = sum(worker.acked for worker in system.workers.values())
    record(f"UNASKED: {len(broken)} of {len(to_cancel)} jobs run on after their cancel")
    record(f"Acks: {unacked} of {len(to_cancel)} cancels have no 2xx or 410; of {listed} ends that workers listed, "
           f"{taken} were taken note of")
    record(f"other jobs done for half a minute and not shown as completed: "
           f"{sum(state != 'completed' for state in states.values())} of {len(states)}; "
           f"new jobs rejected: {sum(not accepted[id] for id in after)} of {len(after)}")
    record(f"appends that the store refused: {system.store.refused}; takeovers: "
           f"{sum(len(vm.lines('leading')) for vm in vms)}")
    return not broken and unacked * 10 <= len(to_cancel) and taken * 5 >= listed * 4


run(os.path.dirname(os.path.abspath(__file__)), case)

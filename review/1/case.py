"""A failure domain is cut off from the others and from the platform for 12 s."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import standin  # noqa: E402

JOB = "00000000000000b1"
# The longest cut of machines in the site files.
CUT_S = 12
NORTH = [f"{number:016x}" for number in (1, 2, 3)]
SOUTH = [f"{number:016x}" for number in (4, 5)]


async def case(world):
    domains = {"north": [*NORTH, "north-1", "north-2"], "south": [*SOUTH, "south-1", "south-2"]}
    for domain, members in domains.items():
        world.net.side.update((name, domain) for name in members)
    # As in the grown installations, some VMs have more of a core.
    vms = [("south-1", "south", 0.5), ("south-2", "south", 0.5)]
    vms += [("north-1", "north", 0.25), ("north-2", "north", 0.25)]
    workers = [(name, "north") for name in NORTH] + [(name, "south") for name in SOUTH]
    await world.open(vms, workers)
    await asyncio.sleep(1)
    # The domain of the leader is the one to be cut off; the platform is on the other side.
    cut_off = world.leader().zone
    world.net.side["store"] = "north" if cut_off == "south" else "south"
    world.record("leader", vm=world.leader().name)
    steps = [{"count": 5, "cpu": 6000, "mem_mb": 500, "estimate_ms": 60000}]
    status, _ = await world.submit(world.vms[0], JOB, steps, {"ms": [60000], "cpu": [6000]})
    await asyncio.sleep(3)
    inside = [task for task, runs in world.book.running.items() if set(runs) & set(domains[cut_off])]
    if status != 200 or not inside:
        raise RuntimeError("no task runs in the domain that is to be cut off")
    if standin.TROUBLE:
        world.net.cut = True
        world.record("domain_cut_off", domain=cut_off)
    await asyncio.sleep(CUT_S)
    if standin.TROUBLE:
        world.net.cut = False
        world.record("domain_is_back", domain=cut_off)
    await asyncio.sleep(6)
    await world.state(world.vms[0], JOB)
    return [
        f"TWICE: {task} begins on {worker} while it runs on {others}"
        for _, task, worker, others in world.book.overlaps
    ]


standin.main(HERE, case)

"""Executors crash and start again under the ids that they had; shortly after, they are cut off and run on."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins  # noqa: E402

EXECUTORS = 24
DISTURBED = 3  # srv_crash: share 0.14, node_cut of executors: share 0.17
DOWN_S = 1.5  # srv_crash: 4.5 s at most
CUT_S = 5.5  # node_cut of executors
RACK = 6  # Executors of the rack that the job needs; three of them are disturbed.
ROUNDS = 5


def work_s(task):
    """The first three work items take 11 s (presentation-exam), the others 8 s."""
    return 11.0 if int(task.split(".")[3]) < DISTURBED else 8.0


def overlaps(system, record, job):
    """Pairs of runs of one work item at the same time."""
    runs = system.starts(job)
    end_of = lambda run: run[4] if run[4] is not None else record.seconds()
    return [(a, b) for i, a in enumerate(runs) for b in runs[i + 1:] if a[1] == b[1] and b[3] < end_of(a)]


async def disturb(system, record, disturbed, trouble):
    """One round. Returns the id of its job."""
    if trouble:
        for executor in disturbed:
            executor.crash()
    # One work item for each executor of the rack, and some work for the others.
    job = system.new_id()
    await system.submit("/exam/", job, [{"count": RACK, "cpu": 26000, "memMb": 38000, "gpu": 8, "estimateMs": 11000,
                                         "requiredLabel": "r1-1"}])
    other = system.new_id()
    await system.submit("/exam/", other, [{"count": EXECUTORS - RACK, "cpu": 26000, "memMb": 38000, "gpu": 4,
                                           "estimateMs": 11000}])
    await asyncio.sleep(DOWN_S)
    if trouble:
        for executor in disturbed:
            await executor.start()
        await asyncio.sleep(2.0)
        # The cut begins while the owner waits for the answer of its latest call.
        await disturbed[0].wait_for_hold()
        await asyncio.sleep(0.9)
        for executor in disturbed:
            record(executor.name, "cut off, runs on: %s; its lease ends in %d ms"
                   % ([(r.task, r.run) for r in executor.running.values()], executor.deadline - executor.clock()))
            executor.cut = True
        await asyncio.sleep(CUT_S)
        for executor in disturbed:
            executor.heal()
            record(executor.name, "reached again")
        await asyncio.sleep(3.0)
    else:
        await asyncio.sleep(11.4)
    await system.cancel(job)
    await system.cancel(other)
    await asyncio.sleep(2.0)
    return job


async def case(record, trouble):
    system = standins.System(record)
    try:
        await system.start(EXECUTORS, work_s, rack_of=lambda i: "r1-1" if i < RACK else "r1-%d" % (2 + i // 6))
        await asyncio.sleep(5.0)
        disturbed = sorted(system.executors[:RACK], key=lambda e: e.name)[:DISTURBED]
        broken = []
        for _ in range(ROUNDS):
            job = await disturb(system, record, disturbed, trouble)
            for a, b in overlaps(system, record, job):
                broken.append("TWICE: %s: run %d on %s from %.3f to %.3f (%s), and run %d on %s from %.3f to %.3f (%s)"
                              % (a[1], a[2], a[0], a[3], a[4] or -1, a[5], b[2], b[0], b[3], b[4] or -1, b[5]))
            if broken:
                break
        return broken
    finally:
        await system.end()


standins.main(case, os.path.dirname(os.path.abspath(__file__)))

"""A large job that comes at once: its stored progress outgrows rowBytes."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins  # noqa: E402

WORK_S = 9.5  # restock-forecast of large/tijera-sched-large.toml
CHECKPOINT_S = 1.0
TIMES = 4
LAST_DIGIT = "4"  # The last digit of the ids of the large job and of the first small jobs.
OTHER_DIGIT = "5"


def steps_of(count, steps):
    # The work item of PROTOCOL.md's example; several steps without `after`.
    return [{"count": count, "cpu": 500, "memMb": 256, "estimateMs": 9500,
             "checkpointable": True} for _ in range(steps)]


async def case(record, trouble):
    system = standins.System(record, bounds=standins.TIJERA_LARGE)
    try:
        await system.start(24, lambda task: WORK_S)
        for executor in system.executors:
            executor.checkpoint_s = CHECKPOINT_S
        # The largest size of large/tijera-sched-large.toml: width 230, 3 steps, 4 times, every 3 s. Without the
        # disruption the mean size: width 38, 1 step.
        count, steps = (230, 3) if trouble else (38, 1)
        large = system.new_id(LAST_DIGIT)
        await system.submit("/batch/", large, steps_of(count, steps), repeatCount=TIMES,
                            firstRunMs=int(time.time() * 1000) + 1000, intervalMs=3000)
        begin = record.seconds()
        small = {LAST_DIGIT: [], OTHER_DIGIT: []}
        # Small jobs of other consumers while the large job runs and after it.
        while record.seconds() < begin + 40:
            for digit, ids in small.items():
                job = system.new_id(digit)
                if await system.submit("/exam/", job, [{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 9500}],
                                       node=len(ids)):
                    ids.append(job)
            await asyncio.sleep(2.0)
        end_of_traffic = record.seconds()
        # finish_s after the end of the traffic the jobs are asked for; 6 s more are left for what runs.
        capacity = sum(executor.capacity["cpu"] for executor in system.executors)
        idle_s = 0
        for _ in range(int(system.bounds["finish_s"]) + 6):
            await asyncio.sleep(1.0)
            used = sum(len(executor.running) for executor in system.executors) * 500
            idle_s = idle_s + 1 if used < capacity / 2 else 0
            record("executors", "%d of %d thousandths of a core in use" % (used, capacity))
        if idle_s < 4:
            record("verdict", "half of the capacity is in use, so that the rule doesn't apply")
            return []
        broken = []
        for digit, ids in small.items():
            lost = []
            for job in ids:
                _, state = await system.state(job)
                if state != "completed" and not system.starts(job):
                    lost.append((job, state))
            record("verdict", "small jobs with ids that end in %s: %d accepted, %d never begun"
                   % (digit, len(ids), len(lost)))
            for job, state in lost:
                waited = record.seconds() - system.jobs[job]["accepted"]
                broken.append("LOST: job %s, accepted %.0f s ago, has no start, and is shown as %s; nothing else "
                              "keeps the executors busy" % (job, waited, state))
        record("verdict", "ends of runs: %d listed by executors, %d taken note of; rows refused for their size: %d"
               % (sum(e.number for e in system.executors), sum(len(e.noted) for e in system.executors),
                  system.store.too_large))
        _, state = await system.state(large)
        runs = system.starts(large)
        record("verdict", "large job %s: %s, %d starts of %d work items, traffic ended at %.0f s"
               % (large, state, len(runs), count * steps * TIMES, end_of_traffic))
        if state != "completed":
            broken.append("LOST: the large job is shown as %s; %d of %d work items were started, the last one %.0f s ago"
                          % (state, len({r[1] for r in runs}), count * steps * TIMES,
                             record.seconds() - max([r[3] for r in runs], default=0)))
        return broken
    finally:
        await system.end()


standins.main(case, os.path.dirname(os.path.abspath(__file__)))

"""A job whose checkpoints together exceed a row of the store never runs again after its runs have lapsed."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from standins2 import run  # noqa: E402

JOB, OTHER = "5c0e7a21d94b36f4", "00000000000000a5"
WIDTH, TIMES, WORK_S = 72, 4, 11.0  # the largest `amendment-batch` of the site file
TASKS = WIDTH * TIMES
CHECKPOINT_CHARS = int(os.environ.get("CHECKPOINT_CHARS", "240"))
DOWN_S = 9.5  # the dose of herd_kill in the site file
BODY = {"spec": "text", "repeatCount": TIMES, "intervalMs": 500,
        "steps": [{"count": WIDTH, "cpu": 5600, "memMb": 8000, "gpu": 1, "estimateMs": 11000, "checkpointable": True}]}
SMALL = {"spec": "text", "steps": [{"count": 2, "cpu": 5600, "memMb": 8000, "gpu": 1, "estimateMs": 1000}]}


async def scenario(world):
    broken = []
    world.durations = lambda task: WORK_S if task.startswith(JOB) else 1.0
    world.checkpoint = lambda task, ran_s: ("%04d" % int(ran_s // 2)) * (CHECKPOINT_CHARS // 4) if ran_s >= 2 else ""
    body = dict(BODY, firstRunMs=int(time.time() * 1000) + 1000)
    status, _ = await world.call(world.nodes[0], "POST", JOB, body)
    if status != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(4.5)
    if len(world.starts) < TASKS:
        raise RuntimeError("only %d of %d work items began" % (len(world.starts), TASKS))
    if world.trouble:
        await world.kill_all()
        await asyncio.sleep(DOWN_S)
        for name in world.nodes:
            await world.start_node(name)
        for name in world.nodes:
            await world.wait_ready(name)
    back = time.monotonic()
    await asyncio.sleep(5)
    await world.call(world.nodes[0], "POST", OTHER, SMALL)
    await asyncio.sleep(25)
    _, value = await world.call(world.nodes[0], "GET", JOB)
    _, other = await world.call(world.nodes[0], "GET", OTHER)
    done = {task for _, _, task, _, how in world.ends if how == "done" and task.startswith(JOB)}
    running = [t for e in world.executors for t in e.running if t.startswith(JOB)]
    starts = [s[0] for s in world.starts if s[2].startswith(JOB) and s[0] > back]
    world.log("harness", "30 s after the nodes are back: work items not done %d, running %d, starts since then %d; "
              "another job: %s" % (TASKS - len(done), len(running), len(starts), other))
    if len(done) < TASKS and not running:
        last = max([s[0] for s in world.starts if s[2].startswith(JOB)] +
                   [e[0] for e in world.ends if e[2].startswith(JOB)])
        idle = time.monotonic() - max(last, back)
        if idle > 17:
            broken.append("LOST: the job has had nothing running for %.1f s since the nodes are back, while all %d "
                          "executors are free; %d work items aren't done; it is shown as %s"
                          % (idle, len(world.executors), TASKS - len(done), value))
    return broken


run(FOLDER, scenario, nodes=2, executors=48, racks=6)

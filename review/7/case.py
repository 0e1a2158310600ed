"""A job whose cancelling was acknowledged with 410 starts seconds later."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from standins2 import run  # noqa: E402

JOB = "5c0e7a21d94b36f4"
LATE_S = 5.9  # kinds: "done 1 to 6 s later"
WINDOW_S = 4.5  # the site's dose of platform_lost: 0.35 of the writes for 4.5 s
SUBMIT_AT_S = 2.2
BODY = {"spec": "text", "steps": [{"count": 2, "cpu": 1000, "memMb": 512, "gpu": 1, "estimateMs": 1000}]}


async def scenario(world):
    broken = []
    first, _ = await world.call(world.nodes[0], "POST", "00000000000000a4", BODY)
    await asyncio.sleep(3)
    if first != 200 or not world.starts:
        raise RuntimeError("no service before the disruption")
    begin, writes = time.monotonic(), world.store.writes

    def fault(node, kind, target, body):
        if not world.trouble or kind != "tx" or time.monotonic() > begin + WINDOW_S or JOB not in body:
            return None
        return ("late", LATE_S)

    world.store.fault = fault
    await asyncio.sleep(SUBMIT_AT_S)
    status, _ = await world.call(world.nodes[0], "POST", JOB, BODY)
    world.log("harness", "submission answered %s" % status)
    cancelled, _ = await world.call(world.nodes[1], "DELETE", JOB)
    acknowledged = time.monotonic()
    if cancelled not in (200, 410):
        raise RuntimeError("the cancelling was not acknowledged: %s" % cancelled)
    await asyncio.sleep(max(0, begin + WINDOW_S - time.monotonic()))
    share = world.store.lost_writes / max(1, world.store.writes - writes)
    world.log("harness", "writes without an answer in the window: %d of %d, share %.2f"
              % (world.store.lost_writes, world.store.writes - writes, share))
    if share > 0.35:
        raise RuntimeError("the disruption was larger than the pages allow")
    await asyncio.sleep(7)
    await world.call(world.nodes[1], "GET", JOB)
    limit = world.bounds["cancel_ms"] / 1000
    in_touch = begin + WINDOW_S + world.bounds["contactMs"] / 1000
    for at, name, task, number in world.starts:
        if task.startswith(JOB) and at > acknowledged + limit and at > in_touch:
            broken.append("UNASKED: %s run=%d began on %s %.2f s after the cancelling was acknowledged with %d, "
                          "%.2f s after the disruption" % (task, number, name, at - acknowledged, cancelled,
                                                           at - begin - WINDOW_S))
    return broken


run(FOLDER, scenario, nodes=2, executors=4)

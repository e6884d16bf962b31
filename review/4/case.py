"""A machine restarts while it is cut off from the store; meanwhile a server leaves."""

import asyncio
import time

from standins.deployment import DRAIN_S, STABILITY_S, run_case

CUT_S = 5.5
"""The site file's `core_cut` with `how = "reset"` lasts as long."""

RESTART_S = 0.5
WATCH_S = 6.0


async def main(make, trouble: bool) -> list[str]:
    deployment = make(machines=4, llm=4, desk=4)
    await deployment.start()
    victim = deployment.machines[1]
    end = time.time() + 1.0 + CUT_S + STABILITY_S + WATCH_S
    consumers = asyncio.create_task(deployment.consume(deployment.machines, end))

    await asyncio.sleep(1.0)
    cut_at = time.time()
    if trouble:
        victim.link.cut()
        deployment.note(f"{victim.name}: cut off from the store")
        await asyncio.sleep(0.2)
        await deployment.kill(victim)
        await asyncio.sleep(RESTART_S)
        deployment.launch(victim)
        await deployment.wait_ready([victim], 3.0)
    await asyncio.sleep(max(0.0, cut_at + CUT_S - 1.5 - time.time()))
    leaving = deployment.most_used([victim])
    gone_at = leaving.leave()
    deployment.note(f"{leaving.name}: entry removed, acknowledged; serves on")
    await asyncio.sleep(max(0.0, cut_at + CUT_S - time.time()))
    victim.link.heal()
    in_touch_from = time.time() + STABILITY_S
    deployment.note(f"{victim.name}: reaches the store again")
    await consumers

    late = deployment.find_late(
        leaving,
        gone_at,
        lambda machine, at: trouble and machine is victim and at < in_touch_from,
    )
    if not late:
        return []
    return [
        f"{len(late)} requests from machines in touch reached {leaving.name} later "
        f"than {DRAIN_S} s after its removal was acknowledged"
    ]


run_case(__file__.rpartition("/")[0] or ".", main)

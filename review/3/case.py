"""The machine that reads the store for all is killed, and then a server leaves."""

import asyncio
import time

from standins.deployment import DRAIN_S, run_case

SERVERS = "keyed.servers"
ROUNDS = 6
QUIET_S = 7.0
DOWN_S = 3.5
"""The site file's `node_kill` lasts as long."""

ANNOUNCED_S = 0.25
"""After this time the other machines know of the last read."""

LEAVES_S = 0.2
WATCH_S = 2.0


async def kill_while_leaving(deployment, trouble: bool):
    """Let a server leave; return it and the time of the acknowledgement."""
    first, store = deployment.machines[0], deployment.store
    leaving = deployment.most_used(deployment.machines[2:])
    seen = store.last_read(SERVERS, first.link.host)
    while store.last_read(SERVERS, first.link.host) == seen:
        await asyncio.sleep(0.005)
    await asyncio.sleep(ANNOUNCED_S)
    if trouble:
        await deployment.kill(first)
    await asyncio.sleep(LEAVES_S)
    gone_at = leaving.leave()
    deployment.note(f"{leaving.name}: entry removed, acknowledged; serves on")
    if trouble:
        await asyncio.sleep(DOWN_S)
        deployment.launch(first)
    return leaving, gone_at


async def main(make, trouble: bool) -> list[str]:
    deployment = make(machines=4, llm=4, desk=3 + ROUNDS)
    await deployment.start()
    others = deployment.machines[1:]
    consumers = asyncio.create_task(deployment.consume(others, time.time() + 105.0))
    late = []
    for _ in range(ROUNDS):
        await asyncio.sleep(QUIET_S)
        leaving, gone_at = await kill_while_leaving(deployment, trouble)
        await asyncio.sleep(WATCH_S)
        late = deployment.find_late(leaving, gone_at, lambda machine, at: False)
        deployment.note_reads(SERVERS, gone_at - 2.0)
        if late:
            break
    consumers.cancel()
    if not late:
        return []
    return [
        f"{len(late)} requests from machines in touch reached {leaving.name} later "
        f"than {DRAIN_S} s after its removal was acknowledged"
    ]


run_case(__file__.rpartition("/")[0] or ".", main)

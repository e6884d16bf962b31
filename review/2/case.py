"""A machine restarts as planned, and just before it is back a server leaves."""

import asyncio
import time

from standins.deployment import DRAIN_S, run_case

SERVERS = "keyed.servers"
ROUNDS = 5
WATCH_S = 6.0
BEFORE_LISTING_S = 0.1
BEFORE_READ_S = 0.25
READ_INTERVAL_S = 0.9


async def next_read(store, host: str) -> float:
    """Return the time of a machine's next read of the servers."""
    seen = store.last_read(SERVERS, host)
    while (read_at := store.last_read(SERVERS, host)) == seen:
        await asyncio.sleep(0.005)
    return read_at


def find_start_s(deployment, machine) -> float:
    """Return the seconds from the last start of a process to its first listing."""
    times = (at for at, _, host in deployment.store.reads if host == machine.link.host)
    return min(at for at in times if at > machine.started_at) - machine.started_at


async def restart_while_leaving(deployment, trouble: bool, start_s: float):
    """Let a server leave; return it and the time of the acknowledgement.

    :param start_s: seconds from the start of a process to its first listing.
    """
    first, others = deployment.machines[0], deployment.machines[1:]
    leaving = deployment.most_used(others)
    if trouble:
        await deployment.stop(first)
        await asyncio.sleep(0.5)
        read_at = await next_read(deployment.store, others[0].link.host)
        # the listing is to come shortly before a read of the others
        lists_at = read_at + READ_INTERVAL_S - BEFORE_READ_S
        while lists_at - start_s < time.time():
            lists_at += READ_INTERVAL_S
        await asyncio.sleep(lists_at - start_s - time.time())
        deployment.launch(first)
        await asyncio.sleep(max(0.0, lists_at - BEFORE_LISTING_S - time.time()))
    else:
        await asyncio.sleep(4.0)
    gone_at = leaving.leave()
    deployment.note(f"{leaving.name}: entry removed, acknowledged; serves on")
    return leaving, gone_at


async def main(make, trouble: bool) -> list[str]:
    deployment = make(machines=4, llm=4, desk=3 + ROUNDS)
    await deployment.start()
    first, others = deployment.machines[0], deployment.machines[1:]
    consumers = asyncio.create_task(deployment.consume(others, time.time() + 90.0))
    await asyncio.sleep(2.0)
    late = []
    for _ in range(ROUNDS):
        start_s = find_start_s(deployment, first)
        leaving, gone_at = await restart_while_leaving(deployment, trouble, start_s)
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

"""Settings files change, and SIGHUP says so, while processes are starting."""

import asyncio
import signal
import time

from standins.deployment import run_case

ROUNDS = 4
SIGNAL_AFTER_S = 0.2
RESTART_S = 0.5
MIN_ENDS = 3
MIN_MACHINES = 2


async def change_settings(deployment, machine, trouble: bool) -> None:
    """Restart a machine as planned, and change its settings as it starts.

    A process that ends is started again after a short delay, as the platform does.
    """
    await deployment.stop(machine)
    for _ in range(ROUNDS):
        await asyncio.sleep(RESTART_S)
        if machine.process.poll() is not None:
            deployment.launch(machine)
        await asyncio.sleep(SIGNAL_AFTER_S)
        if trouble:
            deployment.write_settings(machine, first_start=False)
            machine.process.send_signal(signal.SIGHUP)
            deployment.note(f"{machine.name}: settings changed, SIGHUP")
        end = time.time() + 1.0
        while time.time() < end and machine.process.poll() is None:
            await asyncio.sleep(0.02)
        code = machine.process.poll()
        if code is not None:
            machine.ends.append(code)
            deployment.note(f"{machine.name}: process ended by itself, code {code}")
    if machine.process.poll() is not None:
        deployment.launch(machine)


async def main(make, trouble: bool) -> list[str]:
    deployment = make(machines=4, llm=3, desk=3)
    await deployment.start()
    changed = deployment.machines[:2]
    for machine in changed:
        await change_settings(deployment, machine, trouble)
    await deployment.wait_ready(deployment.machines)
    # the first end follows the planned restart within a second, which excuses it
    ended = [m for m in changed if len(m.ends) - 1 >= MIN_ENDS]
    if len(ended) < MIN_MACHINES:
        return []
    counts = ", ".join(f"{m.name}: {len(m.ends)}" for m in ended)
    return [f"processes ended by themselves ({counts})"]


run_case(__file__.rpartition("/")[0] or ".", main)

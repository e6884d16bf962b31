"""Comparison table of the policies by load and prompt length, for docs/POLICY.md."""

from concurrent.futures import ProcessPoolExecutor
from statistics import median

from briarrelay_bench.experiment import Settings, run_experiment
from briarrelay_bench.measures import Report

__all__ = ["format_policies"]

LOADS = (0.5, 0.7, 0.9)
POLICIES = (
    ("briarrelay", "short"),
    ("briarrelay", "ttft"),
    ("least-connections", "short"),
    ("round-robin", "short"),
)


def _report(settings: Settings) -> Report:
    return run_experiment(settings)[0]


def _format_cells(reports: list[Report]) -> list[str]:
    cells = [f"{median(r.short_slowdown_p95 for r in reports):.2f}"]
    for name in ("short", "medium", "long"):
        p50 = median(r.ttft_s[name]["p50"] for r in reports)
        p95 = median(r.ttft_s[name]["p95"] for r in reports)
        cells.append(f"{p50:.2f} / {p95:.2f}")
    failed = sum(sum(r.failed.values()) + sum(r.refused.values()) for r in reports)
    cells.append(f"{failed} of {sum(r.requests for r in reports)}")
    return cells


def format_policies(seeds: list[int], duration: float, jobs: int) -> str:
    """Run every policy at every load; return a Markdown table of medians.

    :param duration: seconds for which requests arrive in each run.
    :param jobs: number of worker processes.
    """
    plan = [
        (load, policy, objective, seed)
        for load in LOADS
        for policy, objective in POLICIES
        for seed in seeds
    ]
    settings = [
        Settings(policy=p, objective=o, seed=s, load=load, duration=duration)
        for load, p, o, s in plan
    ]
    with ProcessPoolExecutor(jobs) as pool:
        reports = list(pool.map(_report, settings))
    lines = [
        "| load | policy | short slowdown p95 | short p50 / p95 s | medium | long | "
        "failed or refused |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for load in LOADS:
        for policy, objective in POLICIES:
            matching = [
                report
                for entry, report in zip(plan, reports, strict=True)
                if entry[:3] == (load, policy, objective)
            ]
            name = f"{policy}, {objective}" if policy == "briarrelay" else policy
            lines.append(
                "| " + " | ".join([str(load), name, *_format_cells(matching)]) + " |"
            )
    return "\n".join(lines)

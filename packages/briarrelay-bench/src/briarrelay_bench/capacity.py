"""Tables of docs/CAPACITY.md, computed from costs measured on this machine."""

from attrs import define

from briarrelay_bench.control_cost import ControlCost, Slopes, measure_slopes
from briarrelay_bench.relay_cost import RelayCost, measure_relay_cost
from briarrelay_bench.unit_costs import UnitCost, measure_unit_costs

__all__ = ["Size", "format_capacity"]


@define(slots=True, frozen=True)
class Size:
    """The size in two years that the users stated, and assumptions where noted.

    :param keyed_fraction: fraction of the requests that are keyed calls (assumed).
    :param key_retention_s: seconds for which idempotency keys are stored.
    """

    daemons: int = 390
    engines: int = 1_100
    data_centres: int = 7
    requests_per_s: float = 12_000.0
    tokens_per_s: float = 4_100_000.0
    changes_per_day: float = 2_700.0
    restarts_per_day: float = 87.0
    keyed_fraction: float = 0.01
    key_retention_s: float = 3_600.0
    record_period_s: float = 2.0
    lease_renewal_s: float = 7.5


SECONDS_PER_DAY = 86_400.0


def _row(*cells: object) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _unit_table(units: list[UnitCost]) -> list[str]:
    lines = [
        _row("unit of work", "processor us", "bytes held", "bytes sent"),
        _row("---", "---", "---", "---"),
    ]
    lines += [
        _row(u.name, f"{u.us:.1f}", f"{u.bytes_held:.0f}", f"{u.bytes_sent:.0f}")
        for u in units
    ]
    return lines


def _serving_rows(size: Size, prompt: UnitCost, relay: RelayCost) -> list[str]:
    frame_rate = size.tokens_per_s / size.daemons
    request_rate = size.requests_per_s / size.daemons
    core = frame_rate * relay.us_per_frame / 1e6
    decisions = request_rate * prompt.us / 1e6
    return [
        _row(
            "serving: frames",
            f"{frame_rate:,.0f}/s",
            f"{core:.3f} of a core",
            f"{frame_rate:,.0f} x {relay.us_per_frame} us",
        ),
        _row(
            "serving: decisions",
            f"{request_rate:.1f}/s",
            f"{decisions:.4f} of a core",
            f"{request_rate:.1f} x {prompt.us:.0f} us",
        ),
    ]


def _claim_rows(size: Size, claim: UnitCost) -> list[str]:
    calls = size.requests_per_s * size.keyed_fraction
    memory_mb = calls * size.key_retention_s * claim.bytes_held / 1e6
    tail_kb_per_s = calls * claim.bytes_sent / 1_000
    core = calls * claim.us / 1e6
    return [
        _row(
            "claim reader",
            f"{calls:.0f} calls/s from all",
            f"{core:.4f} of a core",
            f"{calls:.0f} x {claim.us:.0f} us",
        ),
        _row(
            "claim reader: memory",
            f"{memory_mb:.0f} MB",
            "limit 128 MB",
            f"{calls:.0f}/s x {size.key_retention_s:.0f} s x {claim.bytes_held:.0f} B",
        ),
        _row(
            "claim reader: tail",
            f"{tail_kb_per_s:.1f} kB/s",
            "limit 7 kB/s",
            f"{calls:.0f} x {claim.bytes_sent:.0f} B",
        ),
    ]


def _configuration_rows(size: Size, units: dict[str, UnitCost]) -> list[str]:
    change = units["change of a workspace among 5,200"]
    snapshot = units["snapshot of 5,200 workspaces"]
    core = size.changes_per_day * change.us / 1e6 / SECONDS_PER_DAY
    tail_bytes_per_s = size.changes_per_day * change.bytes_sent / SECONDS_PER_DAY
    start_mb_per_day = size.restarts_per_day * snapshot.bytes_sent / 1e6
    snapshots_per_day = size.changes_per_day / 100
    return [
        _row(
            "configuration reader",
            f"{tail_bytes_per_s:.1f} B/s",
            f"{core:.5f} of a core",
            f"{size.changes_per_day:.0f} a day x {change.us / 1_000:.0f} ms",
        ),
        _row(
            "snapshot writer",
            f"{snapshots_per_day:.0f} a day, all instances together",
            f"{snapshot.us / 1_000:.0f} ms each",
            f"{size.changes_per_day:.0f} / 100",
        ),
        _row(
            "catch-up after a start",
            f"{start_mb_per_day:.0f} MB a day from the log",
            f"{snapshot.bytes_sent / 1e6:.2f} MB each",
            f"{size.restarts_per_day:.0f} x {snapshot.bytes_sent / 1e6:.2f} MB",
        ),
    ]


def _log_rows(size: Size, entry: UnitCost) -> list[str]:
    record = size.daemons / size.record_period_s
    leases = size.data_centres / size.lease_renewal_s
    calls = min(2 * size.requests_per_s * size.keyed_fraction, 2.0 * size.daemons)
    changes = size.changes_per_day / SECONDS_PER_DAY
    total = record + leases + calls + changes
    request_rate = size.requests_per_s / size.daemons
    return [
        _row(
            "record writer",
            f"{request_rate * entry.bytes_sent / 1_000:.1f} kB/s",
            f"{request_rate * entry.us / 1e6:.4f} of a core",
            f"{request_rate:.1f}/s x {entry.bytes_sent:.0f} B, {entry.us:.0f} us",
        ),
        _row(
            "the log: appends",
            f"{total:.0f}/s",
            "several hundred/s",
            f"record {record:.0f} + calls {calls:.0f} + leases {leases:.1f} + "
            f"changes {changes:.2f}",
        ),
        _row(
            "the log: readers",
            f"{3 * size.daemons:,} waiting reads",
            f"{3 * size.daemons / 20:.0f} renewals/s",
            "3 streams x daemons / 20 s",
        ),
    ]


def _control_rows(control: ControlCost, slopes: Slopes) -> list[str]:
    return [
        _row(
            "control of a daemon: processor",
            f"{control.core_share:.4f} of a core",
            "goal 0.03",
            f"{slopes.core_share_per_instance:.6f} an instance, "
            f"{slopes.core_share_per_engine:.6f} an engine",
        ),
        _row(
            "control: memory",
            f"{control.rss_mb} MB",
            "goal 128 MB",
            f"{slopes.rss_mb_per_instance:.3f} an instance, "
            f"{slopes.rss_mb_per_engine:.3f} an engine",
        ),
        _row(
            "control: bytes",
            f"{control.bytes_per_s:,.0f} B/s + list {control.list_bytes_per_s:,.0f}",
            "goal 7,000 B/s",
            f"{slopes.bytes_per_s_per_instance:.1f} an instance, "
            f"{slopes.bytes_per_s_per_engine:.1f} an engine",
        ),
    ]


def format_capacity(size: Size) -> str:
    """Measure all costs and return both tables as Markdown."""
    units = measure_unit_costs()
    costs = {slope.name: slope for slope in units}
    runs, slopes = measure_slopes(
        size.daemons // size.data_centres + 1, size.engines // size.data_centres
    )
    relay = measure_relay_cost()
    lines = [*_unit_table(units), ""]
    lines += [_row("role", "load or state", "cost or limit", "arithmetic")]
    lines += [_row("---", "---", "---", "---")]
    lines += _serving_rows(size, units[0], relay)
    lines += _claim_rows(size, units[1])
    lines += _configuration_rows(size, costs)
    lines += _log_rows(size, costs["entry of the record"])
    lines += _control_rows(runs[0], slopes)
    return "\n".join(lines)

"""Tables for docs/CAPACITY.md, from slopes measured here."""

from attrs import define

from briarrelay_bench.control_cost import ControlCost, Slopes, measure_slopes
from briarrelay_bench.relay_cost import RelayCost, measure_relay_cost
from briarrelay_bench.slopes import Slope, measure_unit_slopes

__all__ = ["Size", "format_capacity"]


@define(slots=True, frozen=True)
class Size:
    """The size in two years, from the users' letter, and what is assumed with it.

    :param keyed_part: part of the requests that are keyed calls, an assumption.
    :param key_window_s: seconds for which keys are kept.
    """

    daemons: int = 390
    engines: int = 1_100
    data_centres: int = 7
    requests_s: float = 12_000.0
    tokens_s: float = 4_100_000.0
    changes_a_day: float = 2_700.0
    restarts_a_day: float = 87.0
    keyed_part: float = 0.01
    key_window_s: float = 3_600.0
    record_period_s: float = 2.0
    lease_renewal_s: float = 7.5


SECONDS_A_DAY = 86_400.0


def _row(*cells: object) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _unit_table(slopes: list[Slope]) -> list[str]:
    lines = [
        _row("unit of work", "processor us", "bytes held", "bytes sent"),
        _row("---", "---", "---", "---"),
    ]
    lines += [
        _row(s.name, f"{s.us:.1f}", f"{s.bytes_held:.0f}", f"{s.bytes_sent:.0f}")
        for s in slopes
    ]
    return lines


def _serving(size: Size, prompt: Slope, relay: RelayCost) -> list[str]:
    frames = size.tokens_s / size.daemons
    requests = size.requests_s / size.daemons
    core = frames * relay.us_per_frame / 1e6
    decisions = requests * prompt.us / 1e6
    return [
        _row(
            "serving: frames",
            f"{frames:,.0f}/s",
            f"{core:.3f} of a core",
            f"{frames:,.0f} x {relay.us_per_frame} us",
        ),
        _row(
            "serving: decisions",
            f"{requests:.1f}/s",
            f"{decisions:.4f} of a core",
            f"{requests:.1f} x {prompt.us:.0f} us",
        ),
    ]


def _claim_rows(size: Size, claim: Slope) -> list[str]:
    calls = size.requests_s * size.keyed_part
    memory = calls * size.key_window_s * claim.bytes_held / 1e6
    rate = calls * claim.bytes_sent / 1_000
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
            f"{memory:.0f} MB",
            "limit 128 MB",
            f"{calls:.0f}/s x {size.key_window_s:.0f} s x {claim.bytes_held:.0f} B",
        ),
        _row(
            "claim reader: tail",
            f"{rate:.1f} kB/s",
            "limit 7 kB/s",
            f"{calls:.0f} x {claim.bytes_sent:.0f} B",
        ),
    ]


def _configuration_rows(size: Size, slopes: dict[str, Slope]) -> list[str]:
    change = slopes["change of a workspace among 5,200"]
    snapshot = slopes["snapshot of 5,200 workspaces"]
    core = size.changes_a_day * change.us / 1e6 / SECONDS_A_DAY
    tail = size.changes_a_day * change.bytes_sent / SECONDS_A_DAY
    starts = size.restarts_a_day * snapshot.bytes_sent / 1e6
    writes = size.changes_a_day / 100
    return [
        _row(
            "configuration reader",
            f"{tail:.1f} B/s",
            f"{core:.5f} of a core",
            f"{size.changes_a_day:.0f} a day x {change.us / 1_000:.0f} ms",
        ),
        _row(
            "snapshot writer",
            f"{writes:.0f} a day, all instances together",
            f"{snapshot.us / 1_000:.0f} ms each",
            f"{size.changes_a_day:.0f} / 100",
        ),
        _row(
            "catch-up after a start",
            f"{starts:.0f} MB a day from the log",
            f"{snapshot.bytes_sent / 1e6:.2f} MB each",
            f"{size.restarts_a_day:.0f} x {snapshot.bytes_sent / 1e6:.2f} MB",
        ),
    ]


def _log_rows(size: Size, entry: Slope) -> list[str]:
    record = size.daemons / size.record_period_s
    leases = size.data_centres / size.lease_renewal_s
    calls = min(2 * size.requests_s * size.keyed_part, 2.0 * size.daemons)
    changes = size.changes_a_day / SECONDS_A_DAY
    total = record + leases + calls + changes
    requests = size.requests_s / size.daemons
    return [
        _row(
            "record writer",
            f"{requests * entry.bytes_sent / 1_000:.1f} kB/s",
            f"{requests * entry.us / 1e6:.4f} of a core",
            f"{requests:.1f}/s x {entry.bytes_sent:.0f} B, {entry.us:.0f} us",
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
    """Measure everything and return both tables as Markdown."""
    units = measure_unit_slopes()
    by_name = {slope.name: slope for slope in units}
    runs, slopes = measure_slopes(
        size.daemons // size.data_centres + 1, size.engines // size.data_centres
    )
    relay = measure_relay_cost()
    lines = [*_unit_table(units), ""]
    lines += [_row("role", "load or state", "cost or limit", "arithmetic")]
    lines += [_row("---", "---", "---", "---")]
    lines += _serving(size, units[0], relay)
    lines += _claim_rows(size, units[1])
    lines += _configuration_rows(size, by_name)
    lines += _log_rows(size, by_name["entry of the record"])
    lines += _control_rows(runs[0], slopes)
    return "\n".join(lines)

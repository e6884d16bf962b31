"""Reports the check of a configuration before it is published."""

from collections.abc import Mapping

from attrs import asdict

from briarrelay_core.configcheck.checks import check_configuration
from briarrelay_core.configcheck.differences import compare_configurations
from briarrelay_core.configcheck.findings import Finding, Severity
from briarrelay_ctl.results import EXIT_FAULTS, EXIT_INVALID, Result

__all__ = ["report_check", "report_invalid"]


def report_check(
    configuration,
    in_force=None,
    servers: Mapping[str, int] | None = None,
    further: tuple[Finding, ...] = (),
) -> Result:
    """Return what a check finds, and what differs from the version in force.

    :param in_force: the version to compare with, None for no comparison.
    :param servers: number of servers of each service, None if it is not known.
    :param further: what was found while the configuration was read.
    """
    findings = [*further, *check_configuration(configuration, servers)]
    compared = in_force is not None
    differences = compare_configurations(configuration, in_force) if compared else []
    severities = {finding.severity for finding in findings} - {Severity.NOTE}
    code = 0
    if severities:
        code = EXIT_INVALID if Severity.ERROR in severities else EXIT_FAULTS
    lines = [str(finding) for finding in findings] or ["nothing found"]
    if compared:
        lines += [f"differs: {d}" for d in differences] or ["no difference"]
    value = {
        "findings": [asdict(finding) for finding in findings],
        "differences": [asdict(d) for d in differences] if compared else None,
    }
    return Result(code, value, "\n".join(lines))


def report_invalid(problem: str) -> Result:
    """Return the result for a file that holds no configuration."""
    finding = Finding(Severity.ERROR, "$", problem, "correct the file")
    value = {"findings": [asdict(finding)], "differences": None}
    return Result(EXIT_INVALID, value, str(finding))

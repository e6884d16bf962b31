"""Implements the commands, apart from parsing arguments and printing results."""

from time import monotonic, sleep

from attrs import asdict, define

from briarrelay_core.agreement.changes import ChangeKind, ConfigurationFold, Verdict
from briarrelay_core.agreement.configuration import merge_patch, read_configuration
from briarrelay_core.mappings import MappingError, to_mapping
from briarrelay_ctl.audits import find_entries
from briarrelay_ctl.changes import ChangeClient
from briarrelay_ctl.configchecks import report_check, report_invalid
from briarrelay_ctl.remote import InstanceClient, RemoteError
from briarrelay_ctl.results import (
    EXIT_CONFLICT,
    EXIT_INVALID,
    EXIT_NO_RESPONSE,
    EXIT_NOT_FOUND,
    Result,
)
from briarrelay_ctl.settings import CtlSettings, Place, SettingsError, read_json
from briarrelay_ctl.tables import format_table

__all__ = ["Commands"]

IN_FORCE = "in-force"
"""Names the configuration in force instead of a file."""

IN_FORCE_TIMEOUT_S = 30.0
"""Longest wait for a change to be in force on every instance."""

POLL_INTERVAL_S = 0.1
"""Seconds between polls of the instances."""


@define(slots=True)
class Commands:
    """The operators' commands, one method each."""

    settings: CtlSettings
    changes: ChangeClient
    instances: InstanceClient

    def publish(self, patch: object, base: int | None, wait: bool) -> Result:
        """Publish a configuration patch."""
        fold = self.changes.read()
        if not isinstance(patch, dict):
            return _invalid("the patch is not a JSON object; write a JSON merge patch")
        current = fold.configuration
        mapping = to_mapping(current) if current is not None else {}
        try:
            read_configuration(merge_patch(mapping, patch), "patch")
        except MappingError as error:
            return _invalid(str(error))
        revision = fold.revision if base is None else base
        verdict = self.changes.publish(ChangeKind.PATCH, revision, patch)
        return self._report_verdict(verdict, wait)

    def check(self, path: str, against: str | None) -> Result:
        """Check a configuration before it is published.

        :param against: ``in-force`` or another file to compare with.
        """
        try:
            configuration = read_configuration(read_json(path), path)
        except (MappingError, SettingsError) as error:
            return report_invalid(str(error))
        if against is None:
            return report_check(configuration)
        if against != IN_FORCE:
            return report_check(
                configuration, read_configuration(read_json(against), against)
            )
        in_force = self.changes.read().configuration
        if in_force is None:
            text = "no configuration is in force yet; check without --against"
            return Result(EXIT_NOT_FOUND, None, text)
        return report_check(configuration, in_force)

    def activate(self, name: str, base: int | None, wait: bool) -> Result:
        """Put a preset in force."""
        fold = self.changes.read()
        presets = fold.configuration.presets if fold.configuration else {}
        if name not in presets:
            known = ", ".join(sorted(presets)) or "none"
            return _invalid(f"preset {name!r} is not defined; name one of: {known}")
        revision = fold.revision if base is None else base
        verdict = self.changes.publish(ChangeKind.PRESET, revision, {}, name)
        return self._report_verdict(verdict, wait)

    def settle(self, change_id: str) -> Result:
        """Return the verdict of a change whose response was lost."""
        return self._report_verdict(self.changes.wait_for_verdict(change_id), False)

    def _report_verdict(self, verdict: Verdict, wait: bool) -> Result:
        value = to_mapping(verdict)
        if not verdict.accepted:
            return self._report_rejection(verdict, value)
        text = f"accepted: revision {verdict.revision}, change {verdict.id}"
        if wait:
            in_force = self._wait_until_in_force(verdict.revision)
            value["in_force_s"] = in_force
            pending = [place for place, seconds in in_force.items() if seconds is None]
            rows = [
                (p, "not yet" if s is None else f"{s:.2f} s")
                for p, s in in_force.items()
            ]
            text += "\n" + format_table(("instance", "in force after"), rows)
            if pending:
                return Result(EXIT_NO_RESPONSE, value, text)
        return Result(0, value, text)

    def _report_rejection(self, verdict: Verdict, value: dict) -> Result:
        if not verdict.winner:
            code = EXIT_INVALID if "revision" not in verdict.problem else EXIT_CONFLICT
            return Result(code, value, f"rejected: {verdict.problem}")
        winner = self.changes.read().verdict_of(verdict.winner)
        winner_label = (
            f"{winner.author} ({winner.kind.value})" if winner else verdict.winner
        )
        value["winner_author"] = winner.author if winner else ""
        text = (
            f"rejected: {winner_label} changed revision {verdict.base} first, now at "
            f"revision {verdict.revision}; run 'config show', then publish again"
        )
        return Result(EXIT_CONFLICT, value, text)

    def _wait_until_in_force(self, revision: int) -> dict[str, float | None]:
        """Wait until a revision is in force on every instance.

        :returns: seconds for each instance, None if it timed out.
        """
        started_at = monotonic()
        in_force_after: dict[str, float | None] = dict.fromkeys(
            map(str, self.settings.instances)
        )
        while (
            monotonic() - started_at < IN_FORCE_TIMEOUT_S
            and None in in_force_after.values()
        ):
            for place in self.settings.instances:
                if (
                    in_force_after[str(place)] is None
                    and self._read_revision(place) >= revision
                ):
                    in_force_after[str(place)] = round(monotonic() - started_at, 3)
            sleep(POLL_INTERVAL_S)
        return in_force_after

    def _read_revision(self, place: Place) -> int:
        try:
            return int(self.instances.get(place, "/status").value["revision"])
        except (RemoteError, KeyError, TypeError):
            return -1

    def show(self) -> Result:
        """Show the configuration in force."""
        fold = self.changes.read()
        value = {
            "revision": fold.revision,
            "configuration": to_mapping(fold.configuration),
        }
        if fold.configuration is None:
            return Result(EXIT_NOT_FOUND, value, "no configuration yet; publish one")
        return Result(0, value, _format_configuration(fold))

    def history(self) -> Result:
        """List the latest changes and their verdicts."""
        verdicts = self.changes.read().verdicts
        rows = [
            (
                v.offset,
                "accepted" if v.accepted else "rejected",
                v.revision,
                v.kind.value,
                v.author,
                v.id,
                v.problem,
            )
            for v in verdicts
        ]
        headers = ("offset", "verdict", "revision", "kind", "author", "id", "problem")
        return Result(0, [to_mapping(v) for v in verdicts], format_table(headers, rows))

    def list(self) -> Result:
        """List the presets; the one in force is marked."""
        fold = self.changes.read()
        if fold.configuration is None:
            return Result(EXIT_NOT_FOUND, [], "no configuration yet; publish one")
        in_force = fold.configuration.preset
        rows = [
            ("*" if name == in_force else "", name, preset.objective.value)
            for name, preset in sorted(fold.configuration.presets.items())
        ]
        value = {
            "in_force": in_force,
            "presets": to_mapping(fold.configuration)["presets"],
        }
        return Result(0, value, format_table(("in force", "preset", "objective"), rows))

    def status(self) -> Result:
        """Show the state of every instance."""
        value, rows, code = {}, [], 0
        for place in self.settings.instances:
            try:
                state = self.instances.get(place, "/status").value
            except RemoteError as error:
                value[str(place)] = {"error": str(error)}
                rows.append((place, "no response", "", "", "", "", ""))
                code = EXIT_NO_RESPONSE
                continue
            value[str(place)] = state
            rows.append(_status_row(place, state))
        headers = (
            "place",
            "instance",
            "state",
            "revision",
            "preset",
            "chats",
            "queued",
        )
        return Result(code, value, format_table(headers, rows))

    def explain(self, subject: str) -> Result:
        """Show why a request or change had its outcome.

        Queries the instances first, then searches the audit record.
        """
        for place in self.settings.instances:
            try:
                response = self.instances.get(place, f"/v1/explain/{subject}")
            except RemoteError:
                continue
            if response.status == 200:
                value = {"instance": str(place), **response.value}
                lines = [f"{value['kind']} {subject}: {value['outcome']} at {place}"]
                lines += [f"  {step}" for step in value["why"]]
                return Result(0, value, "\n".join(lines))
        found = find_entries(self.changes.log, subject)
        if not found:
            text = f"no entry about {subject} found; search an older export"
            return Result(EXIT_NOT_FOUND, [], text)
        value = [{"instance": name, **asdict(entry)} for name, entry in found]
        lines = []
        for name, entry in found:
            lines.append(f"{entry.kind} {subject}: {entry.outcome} at {name}")
            lines += [f"  {step}" for step in entry.why.split("; ")]
        return Result(0, value, "\n".join(lines))

    def drain(self, place: str) -> Result:
        """Start the graceful stop of an instance."""
        host, _, port = place.rpartition(":")
        response = self.instances.post(Place(host, int(port)), "/v1/drain")
        if response.status != 202:
            problem = (
                f"{place} refused the request ({response.status}); check operator_key"
            )
            return Result(EXIT_NO_RESPONSE, response.value, problem)
        return Result(
            0,
            response.value,
            f"{place} is draining; it stops when its requests are complete",
        )


def _invalid(problem: str) -> Result:
    return Result(EXIT_INVALID, {"accepted": False, "problem": problem}, problem)


def _format_configuration(fold: ConfigurationFold) -> str:
    configuration = fold.configuration
    rows = [
        ("revision", fold.revision),
        ("preset in force", configuration.preset),
        ("presets", ", ".join(sorted(configuration.presets))),
        ("models", ", ".join(sorted(configuration.models))),
        ("services", ", ".join(sorted(configuration.services))),
        ("workspaces", len(configuration.workspaces)),
    ]
    return format_table(("field", "value"), rows)


def _status_row(place: Place, state: dict) -> tuple:
    name = "draining" if state["draining"] else "ready" if state["ready"] else "unready"
    return (
        place,
        state["instance"],
        name,
        state["revision"],
        state["preset"],
        state["chats"],
        state["queued"],
    )

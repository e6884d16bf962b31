"""What each command does, apart from printing it."""

from time import monotonic, sleep

from attrs import asdict, define

from briarrelay_core.agreement.changes import ChangeKind, ConfigurationFold, Verdict
from briarrelay_core.agreement.configuration import merge_patch, read_configuration
from briarrelay_core.mappings import MappingError, to_mapping
from briarrelay_ctl.audits import find
from briarrelay_ctl.changes import Changes
from briarrelay_ctl.remote import InstanceClient, RemoteError
from briarrelay_ctl.results import (
    EXIT_INVALID,
    EXIT_NO_ANSWER,
    EXIT_NOTHING,
    EXIT_RACE,
    Result,
)
from briarrelay_ctl.settings import CtlSettings, Place
from briarrelay_ctl.tables import format_table

__all__ = ["Commands"]

WAIT_S = 30.0
"""Longest time to wait for a change to be in force everywhere."""

LOOK_S = 0.1
"""Seconds between looks at the instances."""


@define(slots=True)
class Commands:
    """The operators' commands."""

    settings: CtlSettings
    changes: Changes
    instances: InstanceClient

    def publish(self, patch: object, base: int | None, wait: bool) -> Result:
        """Publish a configuration patch."""
        fold = self.changes.read()
        if not isinstance(patch, dict):
            return _invalid("the patch is not an object; write a JSON merge patch")
        current = fold.configuration
        mapping = to_mapping(current) if current is not None else {}
        try:
            read_configuration(merge_patch(mapping, patch), "patch")
        except MappingError as error:
            return _invalid(str(error))
        revision = fold.revision if base is None else base
        verdict = self.changes.publish(ChangeKind.PATCH, revision, patch)
        return self._result(verdict, wait)

    def activate(self, name: str, base: int | None, wait: bool) -> Result:
        """Put a preset in force."""
        fold = self.changes.read()
        presets = fold.configuration.presets if fold.configuration else {}
        if name not in presets:
            known = ", ".join(sorted(presets)) or "none"
            return _invalid(f"preset {name!r} is not defined; name one of: {known}")
        revision = fold.revision if base is None else base
        verdict = self.changes.publish(ChangeKind.PRESET, revision, {}, name)
        return self._result(verdict, wait)

    def settle(self, change_id: str) -> Result:
        """Tell what became of a change whose answer was lost."""
        return self._result(self.changes.settle(change_id), False)

    def _result(self, verdict: Verdict, wait: bool) -> Result:
        value = to_mapping(verdict)
        if not verdict.accepted:
            return self._lost(verdict, value)
        text = f"accepted: revision {verdict.revision}, change {verdict.id}"
        if wait:
            in_force = self._wait(verdict.revision)
            value["in_force_s"] = in_force
            late = [place for place, seconds in in_force.items() if seconds is None]
            rows = [
                (p, "not yet" if s is None else f"{s:.2f} s")
                for p, s in in_force.items()
            ]
            text += "\n" + format_table(("instance", "in force after"), rows)
            if late:
                return Result(EXIT_NO_ANSWER, value, text)
        return Result(0, value, text)

    def _lost(self, verdict: Verdict, value: dict) -> Result:
        if not verdict.winner:
            code = EXIT_INVALID if "revision" not in verdict.problem else EXIT_RACE
            return Result(code, value, f"rejected: {verdict.problem}")
        winner = self.changes.read().verdict_of(verdict.winner)
        who = f"{winner.author} ({winner.kind.value})" if winner else verdict.winner
        value["winner_author"] = winner.author if winner else ""
        text = (
            f"rejected: {who} changed revision {verdict.base} first, now at revision "
            f"{verdict.revision}; run 'config show', then publish again"
        )
        return Result(EXIT_RACE, value, text)

    def _wait(self, revision: int) -> dict[str, float | None]:
        """Return seconds until each instance has a revision in force."""
        begin = monotonic()
        seen: dict[str, float | None] = dict.fromkeys(map(str, self.settings.instances))
        while monotonic() - begin < WAIT_S and None in seen.values():
            for place in self.settings.instances:
                if seen[str(place)] is None and self._revision(place) >= revision:
                    seen[str(place)] = round(monotonic() - begin, 3)
            sleep(LOOK_S)
        return seen

    def _revision(self, place: Place) -> int:
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
            return Result(EXIT_NOTHING, value, "no configuration yet; publish one")
        return Result(0, value, _describe(fold))

    def history(self) -> Result:
        """List the latest changes."""
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
        heads = ("offset", "verdict", "revision", "kind", "author", "id", "problem")
        return Result(0, [to_mapping(v) for v in verdicts], format_table(heads, rows))

    def list(self) -> Result:
        """List the presets; the one in force is marked."""
        fold = self.changes.read()
        if fold.configuration is None:
            return Result(EXIT_NOTHING, [], "no configuration yet; publish one")
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
        """Show every instance."""
        value, rows, code = {}, [], 0
        for place in self.settings.instances:
            try:
                state = self.instances.get(place, "/status").value
            except RemoteError as error:
                value[str(place)] = {"error": str(error)}
                rows.append((place, "no answer", "", "", "", "", ""))
                code = EXIT_NO_ANSWER
                continue
            value[str(place)] = state
            rows.append(_status_row(place, state))
        heads = ("place", "instance", "state", "revision", "preset", "chats", "queued")
        return Result(code, value, format_table(heads, rows))

    def explain(self, subject: str) -> Result:
        """Tell why a request or change went as it did."""
        for place in self.settings.instances:
            try:
                answer = self.instances.get(place, f"/v1/explain/{subject}")
            except RemoteError:
                continue
            if answer.status == 200:
                value = {"instance": str(place), **answer.value}
                lines = [f"{value['kind']} {subject}: {value['outcome']} at {place}"]
                lines += [f"  {step}" for step in value["why"]]
                return Result(0, value, "\n".join(lines))
        found = find(self.changes.log, subject)
        if not found:
            text = f"nothing is known of {subject}; look in an older export"
            return Result(EXIT_NOTHING, [], text)
        value = [{"instance": name, **asdict(entry)} for name, entry in found]
        lines = []
        for name, entry in found:
            lines.append(f"{entry.kind} {subject}: {entry.outcome} at {name}")
            lines += [f"  {step}" for step in entry.why.split("; ")]
        return Result(0, value, "\n".join(lines))

    def drain(self, place: str) -> Result:
        """Begin the graceful stop of an instance."""
        host, _, port = place.rpartition(":")
        answer = self.instances.post(Place(host, int(port)), "/v1/drain")
        if answer.status != 202:
            problem = f"{place} refused ({answer.status}); check operator_key"
            return Result(EXIT_NO_ANSWER, answer.value, problem)
        return Result(0, answer.value, f"{place} drains; it ends when all is done")


def _invalid(problem: str) -> Result:
    return Result(EXIT_INVALID, {"accepted": False, "problem": problem}, problem)


def _describe(fold: ConfigurationFold) -> str:
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

"""What differs between two configurations."""

from collections.abc import Iterable, Mapping
from functools import singledispatch

from attrs import fields, frozen

from briarrelay_core.agreement.configuration import Configuration
from briarrelay_core.routes.model import RouteConfiguration

__all__ = ["Difference", "compare_configurations"]

SECRET_FIELDS = frozenset({"keys", "key_hashes"})
"""Fields whose values are not shown."""

CUTTING_LIMITS = frozenset({"header_bytes", "body_bytes", "header_s"})
"""Limits that are checked again while a request is arriving."""

MISSING = "missing"


@frozen(slots=True)
class Difference:
    """A field that differs from the version in force.

    :param place: the entry and field, as ``routes[name].field``.
    :param loses_requests: requests that are arriving may be refused by it; all others
        in progress keep the route and service that they began with.
    """

    place: str
    before: str
    after: str
    loses_requests: bool = False

    def __str__(self) -> str:
        text = f"{self.place}: {self.before} -> {self.after}"
        return text + " (refuses requests in progress)" * self.loses_requests


@singledispatch
def compare_configurations(new, old) -> list[Difference]:
    """Return what a configuration changes against another of its kind."""
    raise TypeError(f"no comparison of {type(new).__name__}; register one")


@compare_configurations.register
def _(new: RouteConfiguration, old: RouteConfiguration) -> list[Difference]:
    found = _compare_entries("routes", _by_name(new.routes), _by_name(old.routes))
    found += _compare_entries("services", new.services, old.services)
    found += _compare_entries(
        "workspaces", _by_name(new.holders), _by_name(old.holders)
    )
    return found + [
        Difference(
            f"limits.{name}",
            str(before),
            str(after),
            name in CUTTING_LIMITS and after < before,
        )
        for name, before, after in _changed_fields(new.limits, old.limits)
    ]


@compare_configurations.register
def _(new: Configuration, old: Configuration) -> list[Difference]:
    found = []
    for section in ("models", "services", "workspaces", "presets"):
        found += _compare_entries(section, getattr(new, section), getattr(old, section))
    if new.preset != old.preset:
        found.append(Difference("preset", old.preset, new.preset))
    return found


def _by_name(entries: Iterable) -> dict[str, object]:
    return {entry.name: entry for entry in entries}


def _compare_entries(section: str, new: Mapping, old: Mapping) -> list[Difference]:
    found = [
        Difference(f"{section}[{name}]", "present", MISSING)
        for name in old
        if name not in new
    ]
    for name, entry in new.items():
        place = f"{section}[{name}]"
        if name not in old:
            found.append(Difference(place, MISSING, "present"))
        elif entry != old[name]:
            found += [
                Difference(f"{place}.{field}", *_shown(field, before, after))
                for field, before, after in _changed_fields(entry, old[name])
            ]
    return found


def _changed_fields(new, old) -> list[tuple[str, object, object]]:
    return [
        (field.name, getattr(old, field.name), getattr(new, field.name))
        for field in fields(type(new))
        if getattr(old, field.name) != getattr(new, field.name)
    ]


def _shown(field: str, before: object, after: object) -> tuple[str, str]:
    if field in SECRET_FIELDS:
        return f"{len(before)} keys", f"{len(after)} keys"
    return str(before), str(after)

"""Conversion between plain mappings and attrs classes with strict type checks."""

from enum import Enum

import cattrs
from cattrs import Converter, transform_error

from briarrelay_core.descriptions import describe

__all__ = ["MappingError", "from_mapping", "to_mapping"]


class MappingError(ValueError):
    """A mapping does not match its class; the message is one line and says what to do.

    :param source: file or stream that the mapping was read from.
    :param field: path of the invalid field, ``$`` for the whole mapping.
    :param problem: what is wrong with the field.
    """

    def __init__(self, source: str, field: str, problem: str):
        self.source = source
        self.field = field
        self.problem = problem
        super().__init__(f"{source}: {field}: {problem}; correct this field")


def _make_type_check(kind: type):
    def structure(value, _):
        if type(value) is not kind and not (kind is float and type(value) is int):
            raise TypeError(f"given {describe(value)}, expected {kind.__name__}")
        return kind(value)

    return structure


def _is_enum(cls) -> bool:
    return isinstance(cls, type) and issubclass(cls, Enum)


def _structure_enum(value, cls):
    allowed = [member.value for member in cls]
    if value not in allowed:
        problem = f"given {describe(value)}, expected one of {', '.join(allowed)}"
        raise TypeError(problem)
    return cls(value)


def _make_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True)
    for kind in (int, float, str, bool):
        converter.register_structure_hook_func(
            lambda cls, kind=kind: cls is kind, _make_type_check(kind)
        )
    converter.register_structure_hook_func(_is_enum, _structure_enum)
    return converter


_CONVERTER = _make_converter()


def _format_problem(exc: Exception, type_) -> str:
    if isinstance(exc, KeyError):
        return f"required field {exc} is missing"
    if isinstance(exc, cattrs.errors.ForbiddenExtraKeysError):
        return f"unknown field {', '.join(sorted(exc.extra_fields))}"
    text = " ".join(str(part) for part in exc.args if isinstance(part, str))
    return text or f"not a valid {getattr(type_, '__name__', type_)}"


def from_mapping(cls: type, mapping: object, source: str):
    """Build an attrs class from a mapping.

    :param source: file or stream that the mapping was read from.
    :raises MappingError: for the first invalid field.
    """
    if not isinstance(mapping, dict):
        problem = f"given {describe(mapping)}, expected an object"
        raise MappingError(source, "$", problem)
    try:
        return _CONVERTER.structure(mapping, cls)
    except Exception as error:
        lines = transform_error(error, format_exception=_format_problem)
        problem, _, path = lines[0].rpartition(" @ ")
        raise MappingError(source, path.removeprefix("$.") or "$", problem) from error


def to_mapping(value: object):
    """Return an attrs object as a plain mapping."""
    return _CONVERTER.unstructure(value)

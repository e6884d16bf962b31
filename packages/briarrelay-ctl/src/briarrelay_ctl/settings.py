"""Settings of briarrelayctl: JSON with comments, checked."""

import getpass
from pathlib import Path

import jsonc
from attrs import field, frozen, validators

from briarrelay_core.mappings import MappingError, from_mapping

__all__ = ["CtlSettings", "Place", "SettingsError", "read_settings"]


class SettingsError(ValueError):
    """The settings can not be used; the message names file, field and remedy."""


@frozen(slots=True)
class Place:
    """An IP number and a port."""

    host: str
    port: int = field(validator=[validators.ge(1), validators.le(65_535)])

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@frozen(slots=True, kw_only=True)
class CtlSettings:
    """Where the platform and the entry instances are.

    :param log: the platform's log service.
    :param instances: where entry instances listen for callers.
    :param operator_key: key whose hash the daemons' settings carry.
    :param author: name under which changes are published.
    :param timeout_s: seconds to wait for any one answer.
    :param settle_s: seconds to look for a change whose answer was lost.
    """

    log: Place
    instances: tuple[Place, ...] = ()
    operator_key: str = ""
    author: str = field(factory=getpass.getuser)
    timeout_s: float = field(default=10.0, validator=validators.gt(0))
    settle_s: float = field(default=15.0, validator=validators.ge(0))


def read_json(path: str) -> object:
    """Read a file of JSON with comments.

    :raises SettingsError: in one line, with the file and the remedy.
    """
    try:
        return jsonc.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: can not be read ({error}); name a readable file"
        ) from error
    except ValueError as error:
        raise SettingsError(
            f"{path}: not JSON with comments ({error}); correct the file"
        ) from error


def read_settings(path: str) -> CtlSettings:
    """Read and check a settings file."""
    try:
        return from_mapping(CtlSettings, read_json(path), path)
    except MappingError as error:
        raise SettingsError(str(error)) from error


__all__ += ["read_json"]

"""Reads and validates the settings of briarrelayctl."""

import getpass
from pathlib import Path

import jsonc
from attrs import field, frozen, validators

from briarrelay_core.mappings import MappingError, from_mapping

__all__ = ["CtlSettings", "Place", "SettingsError", "read_settings"]


class SettingsError(ValueError):
    """A file can not be used; the message names the file, the field and the remedy."""


@frozen(slots=True)
class Place:
    """IP address and port."""

    host: str
    port: int = field(validator=[validators.ge(1), validators.le(65_535)])

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@frozen(slots=True, kw_only=True)
class CtlSettings:
    """Settings of briarrelayctl.

    :param log: address of the platform's log service.
    :param instances: addresses at which entry instances accept callers.
    :param operator_key: key whose hash is in the settings of the daemons.
    :param author: author of published changes.
    :param timeout_s: seconds to wait for a response.
    :param settle_s: seconds to search for a change whose response was lost.
    """

    log: Place
    instances: tuple[Place, ...] = ()
    operator_key: str = ""
    author: str = field(factory=getpass.getuser)
    timeout_s: float = field(default=10.0, validator=validators.gt(0))
    settle_s: float = field(default=15.0, validator=validators.ge(0))


def read_json(path: str) -> object:
    """Read a file of JSON with comments.

    :raises SettingsError: with one line that names the file and the remedy.
    """
    try:
        return jsonc.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: can not be read ({error}); name a readable file"
        ) from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(
            f"{path}: not JSON with comments ({error}); correct the file"
        ) from error


def read_settings(path: str) -> CtlSettings:
    """Read and validate a settings file.

    :raises SettingsError: with one line that names file, field and remedy.
    """
    try:
        return from_mapping(CtlSettings, read_json(path), path)
    except MappingError as error:
        raise SettingsError(str(error)) from error


__all__ += ["read_json"]

"""Settings of briarrelayd: JSON with comments, checked."""

from ipaddress import ip_address
from pathlib import Path

import jsonc
from attrs import field, frozen, validators

from briarrelay_core.mappings import MappingError, from_mapping

__all__ = ["Address", "SeedPeer", "Settings", "SettingsError", "read_settings"]


class SettingsError(ValueError):
    """The settings can not be used; the message names file, field and remedy."""


def _is_ip(_, attribute, value) -> None:
    try:
        ip_address(value)
    except ValueError:
        raise ValueError(f"given {value!r}, expected an IP number") from None


@frozen(slots=True)
class Address:
    """An IP number and a port."""

    host: str = field(validator=_is_ip)
    port: int = field(validator=[validators.ge(0), validators.le(65_535)])

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@frozen(slots=True, kw_only=True)
class SeedPeer:
    """An entry instance to ask while the instance list can not be read."""

    name: str
    data_centre: str
    address: Address


@frozen(slots=True, kw_only=True)
class Settings:
    """Settings of one entry instance.

    :param name: name in the instance list.
    :param listen: where callers connect.
    :param peer_listen: where other entry instances connect.
    :param log: the platform's log service.
    :param instance_list: the platform's list of live and leaving instances.
    :param weight_store: the platform's weight store.
    :param seed_peers: entry instances to ask for the configuration in force when an
        instance starts while the platform is out of reach.
    :param statsd: where counters go; without it they are not sent.
    :param max_body_bytes: longest body of a request.
    :param caller_buffer_bytes: unread answer that is kept for a slow caller.
    :param caller_idle_s: seconds that a connection may take to send a request.
    :param operator_key_hash: SHA-256 of the key for status, explanations and drain,
        in hexadecimal; without it those pages are open and drain is refused.
    :param bytes_per_token: bytes of prompt text counted as one token.
    """

    name: str = field(validator=validators.matches_re(r"[A-Za-z0-9_.-]{1,64}"))
    data_centre: str = field(validator=validators.matches_re(r"[A-Za-z0-9_.-]{1,64}"))
    listen: Address
    peer_listen: Address
    log: Address
    instance_list: Address
    weight_store: Address
    seed_peers: tuple[SeedPeer, ...] = ()
    statsd: Address | None = None
    log_level: str = field(
        default="info",
        validator=validators.in_(("debug", "info", "warning", "error")),
    )
    max_body_bytes: int = field(
        default=8_000_000, validator=[validators.ge(1_000), validators.le(2**30)]
    )
    caller_buffer_bytes: int = field(
        default=262_144, validator=[validators.ge(4_096), validators.le(2**27)]
    )
    caller_idle_s: float = field(
        default=20.0, validator=[validators.ge(0.1), validators.le(600)]
    )
    operator_key_hash: str = field(
        default="", validator=validators.matches_re(r"([0-9a-f]{64})?")
    )
    bytes_per_token: float = field(
        default=4.0, validator=[validators.gt(0), validators.le(64)]
    )


def read_settings(path: str) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: in one line, with the file, the field and the remedy.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: can not be read ({error}); name a readable file with --settings"
        ) from error
    try:
        mapping = jsonc.loads(text)
    except ValueError as error:
        raise SettingsError(
            f"{path}: not JSON with comments ({error}); correct the file"
        ) from error
    try:
        return from_mapping(Settings, mapping, path)
    except MappingError as error:
        raise SettingsError(str(error)) from error

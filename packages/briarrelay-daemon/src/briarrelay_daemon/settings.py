"""Settings of briarrelayd, read from JSON with comments and validated."""

from ipaddress import IPv4Address
from pathlib import Path

import jsonc
from attrs import field, frozen, validators

from briarrelay_core.mappings import MappingError, from_mapping
from briarrelay_core.ports.control import DEFAULT_RECORD_WAIT_S

__all__ = [
    "DEFAULT_MEMORY_BYTES",
    "Address",
    "SeedPeer",
    "Settings",
    "SettingsError",
    "read_settings",
]

DEFAULT_MEMORY_BYTES = 1_000_000_000
"""Memory of a process whose settings do not name it."""


class SettingsError(ValueError):
    """The settings are invalid; the message names the file, the field and a remedy."""


def _validate_ip(_, attribute, value) -> None:
    try:
        IPv4Address(value)
    except ValueError:
        raise ValueError(f"given {value!r}, expected an IP number") from None


@frozen(slots=True)
class Address:
    """An IP address and a port."""

    host: str = field(validator=_validate_ip)
    port: int = field(validator=[validators.ge(0), validators.le(65_535)])

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@frozen(slots=True, kw_only=True)
class SeedPeer:
    """An entry instance to contact while the instance list can not be read."""

    name: str
    data_centre: str
    address: Address


@frozen(slots=True, kw_only=True)
class Settings:
    """Settings of one entry instance.

    :param name: name in the instance list.
    :param listen: address to listen on for callers.
    :param peer_listen: address to listen on for other entry instances.
    :param log: address of the platform's log service.
    :param instance_list: address of the platform's list of live and leaving instances.
    :param weight_store: address of the platform's weight store.
    :param seed_peers: entry instances from which to fetch the configuration in force
        when this instance starts while the platform is unreachable.
    :param statsd: address that receives counters; without it they are not sent.
    :param max_body_bytes: longest request body.
    :param caller_buffer_bytes: most bytes of a streamed response buffered for a
        caller that reads slowly; beyond it the connection is closed.
    :param caller_idle_s: seconds that a caller's connection may stay open without a
        complete request.
    :param operator_key_hash: SHA-256 of the key for status, explanations and drain,
        in hexadecimal; without it status and explanations need no key, and drain is
        refused.
    :param record_wait_s: seconds for which a stop waits, after the last request, until
        the log or a peer has the records; beyond it they are counted as lost.
    :param memory_bytes: memory that the process may use; what callers may hold follows
        from it.
    :param max_descriptors: descriptors that the process may open; without it the
        system's limit.
    :param bytes_per_token: bytes of prompt text that are counted as one token.
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
    record_wait_s: float = field(
        default=DEFAULT_RECORD_WAIT_S,
        validator=[validators.ge(0), validators.le(3_600)],
    )
    memory_bytes: int = field(
        default=DEFAULT_MEMORY_BYTES,
        validator=[validators.ge(64_000_000), validators.le(2**42)],
    )
    max_descriptors: int | None = field(
        default=None, validator=validators.optional(validators.ge(128))
    )
    bytes_per_token: float = field(
        default=4.0, validator=[validators.gt(0), validators.le(64)]
    )


def read_settings(path: str) -> Settings:
    """Read and validate a settings file.

    :raises SettingsError: if it is invalid; the message is one line.
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

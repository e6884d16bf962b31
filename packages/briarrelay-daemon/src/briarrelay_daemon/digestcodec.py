"""Encoding of digests as datagrams.

Digests are JSON arrays, which are fast to decode: an instance receives hundreds a
second.
"""

from math import isfinite

import orjson

from briarrelay_core.ports.digest import (
    MAX_CONTENT_CHARS,
    MAX_CONTENTS,
    MAX_CRASH_REPORTS,
    MAX_CUT_OFF_REPORTS,
    MAX_LIMIT_REPORTS,
    MAX_PROBE_S,
    MAX_QUARANTINE_REPORTS,
    MAX_REPORT_SERVERS,
    MAX_SURVIVED_REPORTS,
    UNKNOWN_AGE_S,
    CrashReport,
    LimitReport,
    LoadDigest,
    QuarantineReport,
    ServerLoad,
)
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.ports.position import EraPosition
from briarrelay_core.ports.room import PeerRoom
from briarrelay_core.ports.route import MAX_PAUSE_S, RateLimit
from briarrelay_daemon.coldcodec import decode_cold, encode_cold
from briarrelay_daemon.evacuationcodec import decode_evacuations, encode_evacuations
from briarrelay_daemon.heldcodec import decode_held, encode_held

__all__ = ["DigestError", "decode_digest", "encode_digest"]


MAX_MEMBERS = 10_000
"""Largest number of instances that a digest may report."""

MAX_TEXT_CHARS = 200
"""Longest name of an engine's incarnation in a report of a crash."""


class DigestError(ValueError):
    """A datagram is not a digest of a known version."""


def encode_digest(digest: LoadDigest) -> bytes:
    """Return a digest encoded as a datagram.

    Pauses, crashes, quarantines, limits and services out of reach are left out while
    there are none, so that earlier releases can read it.
    """
    fields = [
        _encode_address(digest.sender),
        digest.incarnation,
        digest.number,
        digest.version,
        {
            name: [
                round(load.read_s, 4),
                load.lead_requests,
                load.helper_requests,
                load.tokens,
                [[limit, round(weight, 2)] for limit, weight in load.streams],
            ]
            for name, load in digest.loads.items()
        },
        digest.leaving,
        [_encode_address(peer) for peer in digest.peers],
        _encode_position(digest.presets),
        _encode_position(digest.directory),
        round(digest.directory_age_s, 3),
        digest.gone,
    ]
    has_reports = (
        digest.crashes or digest.quarantined or digest.survived or digest.probed
    )
    optional = [
        digest.paused or {},
        _encode_reports(digest) if has_reports else None,
        [digest.members, _encode_limits(digest.limits)] if digest.limits else None,
        digest.cut_off or None,
        encode_evacuations(digest.evacuations),
        encode_cold(digest.cold),
        encode_held(digest.held),
        _encode_room(digest.room),
        [round(digest.reach, 3)] if digest.reach < 1 else None,
    ]
    while optional and not optional[-1]:
        optional.pop()
    fields += optional
    return orjson.dumps(fields)


def decode_digest(data: bytes) -> LoadDigest:
    """Return the digest that a datagram holds.

    :raises DigestError: if the datagram is not a digest.
    """
    try:
        # digests of earlier releases end after `peers`
        sender, incarnation, number, version, loads, leaving, peers, *optional = (
            orjson.loads(data)
        )
        return LoadDigest(
            sender=_decode_address(sender),
            incarnation=int(incarnation),
            number=int(number),
            version=int(version),
            loads={str(name): _decode_load(row) for name, row in loads.items()},
            leaving=tuple(str(server) for server in leaving),
            peers=tuple(_decode_address(row) for row in peers),
            **_decode_optional(*optional),
        )
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise DigestError(f"not a digest: {error}") from error


def _encode_position(position: EraPosition) -> int | list[int]:
    """Encode a position, one of the first era as earlier releases do."""
    return [position.era, position.number] if position.era else position.number


def _decode_position(value: int | list[int]) -> EraPosition:
    """Decode a position; earlier releases send a number without an era."""
    if isinstance(value, list):
        era, number = value
        return EraPosition(int(era), int(number))
    return EraPosition(0, int(value))


def _decode_optional(
    presets: int | list[int] = 0,
    directory: int | list[int] = 0,
    age_s: float = UNKNOWN_AGE_S,
    gone: tuple = (),
    paused: dict | None = None,
    reports: list | None = None,
    limits: list | None = None,
    cut_off: list | None = None,
    evacuations: list | None = None,
    cold: list | None = None,
    held: list | None = None,
    room: list | None = None,
    reach: list | None = None,
    *_,
) -> dict:
    """Return the fields that were added to digests later.

    Fields of later releases are ignored.
    """
    evacuation_reports, invalid_evacuations = decode_evacuations(evacuations)
    cold_reports, invalid_cold = decode_cold(cold)
    return {
        "presets": _decode_position(presets),
        "directory": _decode_position(directory),
        "directory_age_s": float(age_s),
        "gone": tuple(str(server) for server in gone),
        "paused": {
            str(server): min(MAX_PAUSE_S, max(0.0, float(pause_s)))
            for server, pause_s in (paused or {}).items()
        },
        **(_decode_reports(*reports) if reports else {}),
        **(_decode_limits(*limits) if limits else {}),
        "cut_off": _decode_services(cut_off) if cut_off else (),
        "evacuations": evacuation_reports,
        "cold": cold_reports,
        "invalid_reports": invalid_evacuations + invalid_cold,
        **_merge_dropped(
            _decode_held_field(held),
            _decode_room_field(room),
            _decode_reach_field(reach),
        ),
    }


def _decode_held_field(held: list | None) -> dict:
    """Return what servers still hold; an invalid report is dropped alone."""
    if held is None:
        return {}
    try:
        return {"held": decode_held(held)}
    except ValueError:
        return {"dropped_fields": ("held",)}


def _merge_dropped(*decoded: dict) -> dict:
    """Return the fields of all, with all names of fields that were dropped."""
    merged: dict = {}
    for fields in decoded:
        dropped = merged.get("dropped_fields", ()) + fields.get("dropped_fields", ())
        merged |= fields | ({"dropped_fields": dropped} if dropped else {})
    return merged


def _encode_room(room: PeerRoom | None) -> list | None:
    if room is None:
        return None
    return [int(room.requests_per_s), int(room.bytes_per_s)]


def _decode_room_field(room: list | None) -> dict:
    """Return the sender's room; an invalid one is dropped alone."""
    if not room:
        return {}
    try:
        requests_per_s, bytes_per_s, *_ = room
        return {"room": PeerRoom(requests_per_s, bytes_per_s)}
    except (TypeError, ValueError):
        return {"dropped_fields": ("room",)}


def _decode_reach_field(reach: list | None) -> dict:
    """Return the sender's share of reached servers; an invalid one is dropped."""
    if reach is None:
        return {}
    try:
        [share] = reach
        if not 0 <= _decode_number(share) <= 1:
            raise ValueError("share out of bounds")
    except (TypeError, ValueError):
        return {"dropped_fields": ("reach",)}
    return {"reach": float(share)}


def _decode_services(services: list) -> tuple[str, ...]:
    if not isinstance(services, list):
        raise ValueError("not a list of services")
    return tuple(map(_decode_text, services[:MAX_CUT_OFF_REPORTS]))


def _decode_members(count: int) -> int:
    """Return a number of instances; a wrong one would stop the use of limits."""
    if type(count) is not int or not 0 < count <= MAX_MEMBERS:
        raise ValueError("number of instances out of bounds")
    return count


def _encode_limits(limits: tuple[LimitReport, ...]) -> list:
    return [
        [
            report.server,
            report.born,
            None if report.limit is None else report.limit.per_s,
            round(report.age_s, 3),
            round(report.since_age_s, 3),
        ]
        for report in limits
    ]


def _decode_limits(members: int, limits: list, *_) -> dict:
    return {
        "members": _decode_members(members),
        "limits": tuple(
            LimitReport(
                server=_decode_text(server),
                born=float(born),
                limit=None if per_s is None else RateLimit(_decode_number(per_s)),
                age_s=_decode_seconds(age_s),
                since_age_s=_decode_seconds(since_age_s),
            )
            for server, born, per_s, age_s, since_age_s in limits[:MAX_LIMIT_REPORTS]
        ),
    }


def _encode_reports(digest: LoadDigest) -> list:
    """Encode what the sender knows of crashes and of the contents that cause them."""
    return [
        [
            [crash.server, crash.contents, crash.sent_age_s, crash.lost_age_s]
            for crash in digest.crashes
        ],
        [
            [report.content, report.remaining_s, report.since_age_s, report.servers]
            for report in digest.quarantined
        ],
        digest.survived,
        digest.probed,
    ]


def _decode_reports(
    crashes: list, quarantined: list, survived: dict, probed: dict, *_
) -> dict:
    return {
        "crashes": tuple(
            CrashReport(
                server=_decode_text(server),
                contents=tuple(
                    _decode_content(content) for content in contents[:MAX_CONTENTS]
                ),
                sent_age_s=_decode_seconds(sent_age_s),
                lost_age_s=_decode_seconds(lost_age_s),
            )
            for server, contents, sent_age_s, lost_age_s in crashes[:MAX_CRASH_REPORTS]
        ),
        "quarantined": tuple(
            QuarantineReport(
                content=_decode_content(content),
                remaining_s=_decode_seconds(remaining_s),
                since_age_s=_decode_seconds(since_age_s),
                servers=tuple(
                    _decode_text(server) for server in servers[:MAX_REPORT_SERVERS]
                ),
            )
            for content, remaining_s, since_age_s, servers in quarantined[
                :MAX_QUARANTINE_REPORTS
            ]
        ),
        "survived": _decode_content_times(survived),
        "probed": {
            content: min(MAX_PROBE_S, left_s)
            for content, left_s in _decode_content_times(probed).items()
        },
    }


def _decode_content_times(times: dict) -> dict[str, float]:
    return {
        _decode_content(content): _decode_seconds(seconds)
        for content, seconds in list(times.items())[:MAX_SURVIVED_REPORTS]
    }


def _decode_content(value: str) -> str:
    """Return the name of a content."""
    if not 0 < len(_decode_text(value)) <= MAX_CONTENT_CHARS:
        raise ValueError("name of a content out of bounds")
    return value


def _decode_text(value: str) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_CHARS:
        raise ValueError("not a short text")
    return value


def _decode_seconds(value: float) -> float:
    """Return a number of seconds, at least 0."""
    return min(UNKNOWN_AGE_S, _decode_number(value))


def _decode_number(value: float) -> float:
    """Return a number that is finite and not negative."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError("not a number")
    if not isfinite(value) or value < 0:
        raise ValueError("number out of bounds")
    return float(value)


def _encode_address(address: PeerAddress) -> list:
    return [
        address.name,
        address.host,
        address.question_port,
        address.digest_port,
        address.data_centre,
    ]


def _decode_address(row: list) -> PeerAddress:
    name, host, question_port, digest_port, data_centre = row
    return PeerAddress(
        name=str(name),
        host=str(host),
        question_port=int(question_port),
        digest_port=int(digest_port),
        data_centre=str(data_centre),
    )


def _decode_load(row: list) -> ServerLoad:
    read_s, leads, helps, tokens, streams = row
    pairs = tuple((float(limit), float(weight)) for limit, weight in streams)
    return ServerLoad(float(read_s), int(leads), int(helps), int(tokens), pairs)

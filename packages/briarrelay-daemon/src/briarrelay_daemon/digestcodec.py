"""Encoding of digests as datagrams.

Digests are JSON arrays, which are fast to decode: an instance receives hundreds a
second.
"""

import orjson

from briarrelay_core.ports.digest import UNKNOWN_AGE_S, LoadDigest, ServerLoad
from briarrelay_core.ports.directory import PeerAddress
from briarrelay_core.ports.position import EraPosition
from briarrelay_core.ports.route import MAX_PAUSE_S

__all__ = ["DigestError", "decode_digest", "encode_digest"]


class DigestError(ValueError):
    """A datagram is not a digest of a known version."""


def encode_digest(digest: LoadDigest) -> bytes:
    """Return a digest encoded as a datagram.

    Pauses are left out while there are none, so that earlier releases can read it.
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
    if digest.paused:
        fields.append(digest.paused)
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
    *_,
) -> dict:
    """Return the fields that were added to digests later.

    Fields of later releases are ignored.
    """
    return {
        "presets": _decode_position(presets),
        "directory": _decode_position(directory),
        "directory_age_s": float(age_s),
        "gone": tuple(str(server) for server in gone),
        "paused": {
            str(server): min(MAX_PAUSE_S, max(0.0, float(pause_s)))
            for server, pause_s in (paused or {}).items()
        },
    }


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

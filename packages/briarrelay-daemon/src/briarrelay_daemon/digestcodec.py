"""Digests as datagrams: JSON arrays, since one instance reads hundreds a second."""

import orjson

from briarrelay_core.ports.digest import UNKNOWN_AGE_S, LoadDigest, ServerLoad
from briarrelay_core.ports.directory import PeerAddress

__all__ = ["DigestError", "decode_digest", "encode_digest"]


class DigestError(ValueError):
    """A datagram is no digest of this version."""


def encode_digest(digest: LoadDigest) -> bytes:
    """Return a digest's datagram."""
    return orjson.dumps(
        [
            _address(digest.sender),
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
            [_address(peer) for peer in digest.peers],
            digest.presets,
            digest.directory,
            round(digest.directory_age_s, 3),
            digest.gone,
        ]
    )


def decode_digest(data: bytes) -> LoadDigest:
    """Return the digest of a datagram.

    :raises DigestError: if it is none.
    """
    try:
        # an instance of an earlier release ends here
        sender, incarnation, number, version, loads, leaving, peers, *more = (
            orjson.loads(data)
        )
        return LoadDigest(
            sender=_read_address(sender),
            incarnation=int(incarnation),
            number=int(number),
            version=int(version),
            loads={str(name): _read_load(row) for name, row in loads.items()},
            leaving=tuple(str(news) for news in leaving),
            peers=tuple(_read_address(row) for row in peers),
            **_read_more(*more),
        )
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise DigestError(f"not a digest: {error}") from error


def _read_more(
    presets: int = 0, directory: int = 0, age_s: float = UNKNOWN_AGE_S, gone: tuple = ()
) -> dict:
    return {
        "presets": int(presets),
        "directory": int(directory),
        "directory_age_s": float(age_s),
        "gone": tuple(str(news) for news in gone),
    }


def _address(address: PeerAddress) -> list:
    return [
        address.name,
        address.host,
        address.question_port,
        address.digest_port,
        address.data_centre,
    ]


def _read_address(row: list) -> PeerAddress:
    name, host, question_port, digest_port, data_centre = row
    return PeerAddress(
        name=str(name),
        host=str(host),
        question_port=int(question_port),
        digest_port=int(digest_port),
        data_centre=str(data_centre),
    )


def _read_load(row: list) -> ServerLoad:
    read_s, leads, helps, tokens, streams = row
    pairs = tuple((float(limit), float(weight)) for limit, weight in streams)
    return ServerLoad(float(read_s), int(leads), int(helps), int(tokens), pairs)

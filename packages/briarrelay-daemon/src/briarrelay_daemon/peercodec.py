"""Conversion between the core's peer messages and their protobuf form."""

import re
import typing

import attrs

from briarrelay_core.ports.peer import PeerMessage
from briarrelay_daemon import peer_pb2

__all__ = ["PeerCodecError", "decode_message", "encode_message"]


class PeerCodecError(ValueError):
    """A peer sent something that is no message; update the older side."""


def _kind_name(cls: type) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", cls.__name__).lower()


_CLASSES = {_kind_name(cls): cls for cls in typing.get_args(PeerMessage)}


def _fill(proto, value) -> None:
    """Copy the fields of an attrs object into a protobuf message."""
    for field in attrs.fields(type(value)):
        content = getattr(value, field.name)
        if not isinstance(content, tuple):
            setattr(proto, field.name, content)
            continue
        target = getattr(proto, field.name)
        for item in content:
            if attrs.has(type(item)):
                _fill(target.add(), item)
            else:
                target.append(item)


def _item_class(field: attrs.Attribute) -> type | None:
    arguments = typing.get_args(field.type)
    item = arguments[0] if arguments else None
    return item if isinstance(item, type) and attrs.has(item) else None


def _read(proto, cls: type):
    """Return the attrs object that a protobuf message holds."""
    values = {}
    for field in attrs.fields(cls):
        content = getattr(proto, field.name)
        if typing.get_origin(field.type) is not tuple:
            values[field.name] = content
            continue
        item = _item_class(field)
        values[field.name] = tuple(_read(c, item) if item else c for c in content)
    return cls(**values)


def encode_message(message: PeerMessage) -> peer_pb2.PeerMessage:
    """Return the protobuf form of a message."""
    proto = peer_pb2.PeerMessage()
    part = getattr(proto, _kind_name(type(message)))
    part.SetInParent()
    _fill(part, message)
    return proto


def decode_message(proto: peer_pb2.PeerMessage) -> PeerMessage:
    """Return the message of a protobuf form.

    :raises PeerCodecError: if it holds no known message.
    """
    kind = proto.WhichOneof("kind")
    if kind not in _CLASSES:
        raise PeerCodecError(f"given the kind {kind!r}; update the older instance")
    try:
        return _read(getattr(proto, kind), _CLASSES[kind])
    except (TypeError, ValueError) as error:
        raise PeerCodecError(f"given a broken {kind}: {error}") from error

"""Conversion between the core's peer messages and protobuf.

A message class maps to the field of the ``kind`` oneof that has its name in snake
case; attrs fields map to protobuf fields of the same name.
"""

import re
import typing

import attrs

from briarrelay_core.ports.peer import PeerMessage
from briarrelay_daemon import peer_pb2

__all__ = ["PeerCodecError", "decode_message", "encode_message"]


class PeerCodecError(ValueError):
    """A peer sent a message that can not be decoded; update the older instance."""


def _kind_name(cls: type) -> str:
    """Return the name of a message class in snake case."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", cls.__name__).lower()


_CLASS_BY_KIND = {_kind_name(cls): cls for cls in typing.get_args(PeerMessage)}


def _copy_to_proto(proto, value) -> None:
    """Copy the fields of an attrs object to a protobuf message."""
    for field in attrs.fields(type(value)):
        content = getattr(value, field.name)
        if not isinstance(content, tuple):
            setattr(proto, field.name, content)
            continue
        target = getattr(proto, field.name)
        for item in content:
            if attrs.has(type(item)):
                _copy_to_proto(target.add(), item)
            else:
                target.append(item)


def _item_class(field: attrs.Attribute) -> type | None:
    """Return the attrs class of a tuple field's items, None for scalar items."""
    arguments = typing.get_args(field.type)
    item = arguments[0] if arguments else None
    return item if isinstance(item, type) and attrs.has(item) else None


def _read_attrs(proto, cls: type):
    """Return the attrs object decoded from a protobuf message."""
    values = {}
    for field in attrs.fields(cls):
        content = getattr(proto, field.name)
        if typing.get_origin(field.type) is not tuple:
            values[field.name] = content
            continue
        item_class = _item_class(field)
        values[field.name] = tuple(
            _read_attrs(c, item_class) if item_class else c for c in content
        )
    return cls(**values)


def encode_message(message: PeerMessage) -> peer_pb2.PeerMessage:
    """Return a message as protobuf."""
    proto = peer_pb2.PeerMessage()
    target = getattr(proto, _kind_name(type(message)))
    target.SetInParent()
    _copy_to_proto(target, message)
    return proto


def decode_message(proto: peer_pb2.PeerMessage) -> PeerMessage:
    """Return the message decoded from protobuf.

    :raises PeerCodecError: if its kind is unknown or its fields are invalid.
    """
    kind = proto.WhichOneof("kind")
    if kind not in _CLASS_BY_KIND:
        raise PeerCodecError(f"given the kind {kind!r}; update the older instance")
    try:
        return _read_attrs(getattr(proto, kind), _CLASS_BY_KIND[kind])
    except (TypeError, ValueError) as error:
        raise PeerCodecError(f"given a broken {kind}: {error}") from error
